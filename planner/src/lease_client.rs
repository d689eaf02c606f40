//! Runs a planner's lease client on sockets: the links to the voters, the slot that the process
//! holds, the leases that it acquires beside the slot, and the deadline that is checked before each
//! action under a lease. The decisions are made by `basaltpitch_lease`, which determines what to
//! request and what is held.
mod actions;
mod actor;
mod records;

use crate::voter_links::{boottime_us, VoterDialer, VoterEndpoint};
use actor::Actor;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::session::{LinkConfig, PeerIdentity};
use basaltpitch_lease::LeaseConfig;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Limit on the events that wait in each channel of the lease client.
const EVENT_CAPACITY: usize = 256;
/// Time that the links' tasks have to send the last frames before the client ends.
const FLUSH_TIME: Duration = Duration::from_millis(30);
/// Longest sleep between two readings of the clock, in microseconds.
const MAX_SLEEP_US: i64 = 1_000_000;

/// Configuration of a lease client.
pub struct LeaseClientConfig {
    /// The duration of a lease and the tolerated clock drift.
    pub lease_config: LeaseConfig,
    /// The endpoints of all voters.
    pub voters: Vec<VoterEndpoint>,
    /// The slots of which the process may acquire one.
    pub slots: Vec<Rc<str>>,
    /// The leases that the process acquires beside a slot.
    pub leases: Vec<Rc<str>>,
    /// The leases whose metadata the client reports while the process holds one of `leases`.
    pub followed: Vec<Rc<str>>,
    /// The prefix of all slots' names. With it, the client reports the holders of all slots while
    /// the process holds a slot; with `None` it does not.
    pub slot_prefix: Option<Rc<str>>,
    /// The leases whose metadata the client reports, as one voter stores it, while the process
    /// holds a slot.
    pub announced: Vec<Rc<str>>,
    /// Receives the events of leases in a process that acquires leases without a slot; `None` if
    /// leases are acquired only beside a slot.
    pub events: Option<mpsc::Sender<LeaseEvent>>,
    /// The identity with which the process requests votes: its name and its epoch.
    pub identity: PeerIdentity,
    /// The settings that these links share with the process's other links.
    pub links: LinkConfig,
    /// The random seed.
    pub seed: u64,
}

/// The time until which the holder of a lease may act, by a clock that keeps running while the
/// machine is suspended. The holder checks it before each action. Clones share one value, which
/// renewals extend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseDeadline(Rc<Cell<i64>>);

impl LeaseDeadline {
    /// Creates a deadline at this time of the clock `boottime_us`.
    pub fn at_us(deadline_us: i64) -> LeaseDeadline {
        LeaseDeadline(Rc::new(Cell::new(deadline_us)))
    }

    /// Returns whether the deadline has not passed yet.
    pub fn is_held(&self) -> bool {
        boottime_us() < self.0.get()
    }

    fn set_us(&self, deadline_us: i64) {
        self.0.set(deadline_us);
    }
}

/// A change of the slot that the process holds.
#[derive(Debug)]
pub enum SlotEvent {
    /// The process acquired a slot. Events of other leases arrive on `lease_events`.
    Acquired {
        /// The slot's name.
        slot: Rc<str>,
        /// The slot's fencing token.
        token: u64,
        /// Events of the leases beside the slot, until the slot is lost.
        lease_events: mpsc::Receiver<LeaseEvent>,
    },
    /// The process no longer holds the slot, or an operator requested its transfer.
    Lost,
}

/// A voter's record of one slot or announced lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The lease's name.
    pub lease: Rc<str>,
    /// The token of the slot's holder; for an announced lease, the token under which the metadata
    /// was written.
    pub token: u64,
    /// The metadata that the holder wrote; `None` if it wrote none.
    pub metadata: Option<Vec<u8>>,
}

/// An event of the leases beside a slot, or of the voters' records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The process acquired the lease and holds it until the deadline passes.
    Acquired {
        /// The lease's name.
        lease: Rc<str>,
        /// The lease's fencing token.
        token: u64,
        /// The metadata that the previous holder wrote.
        metadata: Vec<u8>,
        /// The time until which the process may act under the lease.
        deadline: LeaseDeadline,
    },
    /// The process no longer holds the lease.
    Lost {
        /// The lease's name.
        lease: Rc<str>,
    },
    /// A majority of voters stores the metadata that was last written.
    MetadataRecorded {
        /// The lease's name.
        lease: Rc<str>,
    },
    /// The metadata of a followed lease changed, as a majority of voters stores it.
    MetadataChanged {
        /// The lease's name.
        lease: Rc<str>,
        /// The metadata that its holder wrote.
        metadata: Vec<u8>,
    },
    /// The slots and announced leases that changed, as one voter stores them.
    Records(Vec<LeaseRecord>),
    /// The names of all slots that are currently held, as one voter stores them.
    HeldSlots(Vec<Rc<str>>),
}

/// A command of the process to its lease client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCommand {
    /// The planner that acted under the slot has stopped. The client releases the slot and all
    /// leases, and ends.
    ReleaseAll,
    /// The planner that acted under the lost slot has stopped. The client may acquire another slot.
    SeekSlot,
    /// Stores metadata at a majority of voters, if the lease is held under this token.
    WriteMetadata {
        /// The lease's name.
        lease: Rc<str>,
        /// The token under which the lease is held.
        token: u64,
        /// The metadata to store.
        metadata: Vec<u8>,
    },
}

/// Acquires a slot when one is free, renews it, and reports its loss. Returns after
/// [`LeaseCommand::ReleaseAll`], or once `commands` is closed. `deadline` is set to the time until
/// which the slot is held.
pub async fn run(
    config: LeaseClientConfig,
    deadline: LeaseDeadline,
    slot_events: mpsc::Sender<SlotEvent>,
    mut commands: mpsc::Receiver<LeaseCommand>,
) {
    let (link_event_sender, mut link_events) = mpsc::channel(EVENT_CAPACITY);
    let dialer = VoterDialer {
        links: config.links.clone(),
        identity: config.identity.clone(),
        clock: Clock::start(),
        events: link_event_sender,
    };
    for (voter, endpoint) in config.voters.iter().enumerate() {
        tokio::task::spawn_local(dialer.clone().maintain_link(voter, endpoint.clone()));
    }
    let poll_us = (config.lease_config.duration_us / 4).max(10_000);
    let mut actor = Actor::new(config, deadline, slot_events);
    let mut polls = tokio::time::interval(Duration::from_micros(poll_us as u64));
    // Missed ticks are not caught up: polls that were skipped are no longer needed.
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        actor.reacquire_transferred();
        actor.client.advance(boottime_us());
        actor.run_actions().await;
        let sleep_us = actor
            .client
            .next_wakeup_us()
            .map_or(MAX_SLEEP_US, |wakeup_us| (wakeup_us - boottime_us()).clamp(0, MAX_SLEEP_US));
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                Some(LeaseCommand::SeekSlot) => actor.seek_again(),
                Some(LeaseCommand::WriteMetadata { lease, token, metadata }) => {
                    actor.write_metadata(&lease, token, metadata);
                }
                Some(LeaseCommand::ReleaseAll) | None => {
                    actor.release_all();
                    actor.run_actions().await;
                    tokio::time::sleep(FLUSH_TIME).await;
                    return;
                }
            },
            Some((voter, event)) = link_events.recv() => actor.on_link_event(voter, event),
            _ = polls.tick() => actor.poll_records(),
            () = tokio::time::sleep(Duration::from_micros(sleep_us as u64)) => {}
        }
    }
}
