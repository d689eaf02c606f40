//! A planner's lease client on sockets: links to the voters, the slot that it holds, the leases beside it, and the
//! deadline that is checked before each act. It decides nothing: `basaltpitch_lease` says what to request and what
//! is held.
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

const INBOX: usize = 256;
/// How long the links' tasks are given to send the last frames.
const FLUSH_TIME: Duration = Duration::from_millis(30);
/// The longest time between two looks at the clock, in microseconds.
const LONGEST_SLEEP_US: i64 = 1_000_000;

/// How a lease client is started.
pub struct LeaseClientConfig {
    /// How long votes bind.
    pub lease_config: LeaseConfig,
    /// All voters.
    pub voters: Vec<VoterEndpoint>,
    /// The slots that it may take.
    pub slots: Vec<Rc<str>>,
    /// The leases that it acquires beside a slot.
    pub leases: Vec<Rc<str>>,
    /// The leases whose metadata it follows while it holds one of `leases`.
    pub followed: Vec<Rc<str>>,
    /// What the names of all slots begin with, for a process that is to know of the others while it has a slot.
    pub slot_prefix: Option<Rc<str>>,
    /// The leases whose metadata it is to know of while it has a slot.
    pub announced: Vec<Rc<str>>,
    /// Where events of leases go, for a process that wants them without a slot.
    pub events: Option<mpsc::Sender<LeaseEvent>>,
    /// Who it is: a name of its own and the time of its start.
    pub identity: PeerIdentity,
    /// What its links to voters share with the others of the process.
    pub links: LinkConfig,
    /// Where chance starts from.
    pub seed: u64,
}

/// Until when the holder of a lease may act, by the clock that runs on while the machine is suspended. To be asked
/// before each act. Its clones share one value, which renewals move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseDeadline(Rc<Cell<i64>>);

impl LeaseDeadline {
    /// A deadline at this time of `boottime_us`.
    pub fn at_us(deadline_us: i64) -> LeaseDeadline {
        LeaseDeadline(Rc::new(Cell::new(deadline_us)))
    }

    /// Whether it is still ahead.
    pub fn is_held(&self) -> bool {
        boottime_us() < self.0.get()
    }

    fn set_us(&self, deadline_us: i64) {
        self.0.set(deadline_us);
    }
}

/// What becomes of the slot.
#[derive(Debug)]
pub enum SlotEvent {
    /// A slot is held from now on. What comes of other leases meanwhile is received from `lease_events`.
    Acquired {
        /// The slot's name.
        slot: Rc<str>,
        /// Its fencing token.
        token: u64,
        /// Events of the leases beside the slot, until it is lost.
        lease_events: mpsc::Receiver<LeaseEvent>,
    },
    /// The slot is held no more.
    Lost,
}

/// What a voter keeps of one lease that its holder announced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// The lease's name.
    pub lease: Rc<str>,
    /// The token of its holder, or the one under which the metadata was written.
    pub token: u64,
    /// What the holder has written, if anything.
    pub metadata: Option<Vec<u8>>,
}

/// What becomes of the leases beside a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// It is held from now on, until the deadline passes.
    Acquired {
        /// The lease's name.
        lease: Rc<str>,
        /// Its fencing token.
        token: u64,
        /// What its last holder left.
        metadata: Vec<u8>,
        /// Until when its holder may act.
        deadline: LeaseDeadline,
    },
    /// It is held no more.
    Lost {
        /// The lease's name.
        lease: Rc<str>,
    },
    /// A majority keeps the metadata that was last written.
    MetadataRecorded {
        /// The lease's name.
        lease: Rc<str>,
    },
    /// The metadata of a followed lease, as a majority keeps it.
    MetadataChanged {
        /// The lease's name.
        lease: Rc<str>,
        /// What its holder has written.
        metadata: Vec<u8>,
    },
    /// Slots and announced leases that changed, as one voter keeps them.
    Records(Vec<LeaseRecord>),
    /// All slots that are held now, as one voter keeps them.
    HeldSlots(Vec<Rc<str>>),
}

/// What the process asks of its lease client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseCommand {
    /// What acted under the slot has stopped: it is released, and none is wanted any more.
    ReleaseAll,
    /// What acted under a slot that was lost has stopped: another may be taken.
    SeekSlot,
    /// Metadata is to be kept by a majority, if the lease is held under this token.
    WriteMetadata {
        /// The lease's name.
        lease: Rc<str>,
        /// The token under which it is held.
        token: u64,
        /// What is to be kept.
        metadata: Vec<u8>,
    },
}

/// Takes a slot when one is free, holds it, and reports when it is lost; until `commands` ends or says to release all.
/// `deadline` is that of the slot.
pub async fn run(
    config: LeaseClientConfig,
    deadline: LeaseDeadline,
    slot_events: mpsc::Sender<SlotEvent>,
    mut commands: mpsc::Receiver<LeaseCommand>,
) {
    let (link_events, mut link_events_in) = mpsc::channel(INBOX);
    let dialer = VoterDialer {
        links: config.links.clone(),
        identity: config.identity.clone(),
        clock: Clock::start(),
        events: link_events,
    };
    for (voter, endpoint) in config.voters.iter().enumerate() {
        tokio::task::spawn_local(dialer.clone().maintain_link(voter, endpoint.clone()));
    }
    let poll_us = (config.lease_config.duration_us / 4).max(10_000);
    let mut actor = Actor::new(config, deadline, slot_events);
    let mut polls = tokio::time::interval(Duration::from_micros(poll_us as u64));
    // Polls that were not needed while a slot was held are not made up.
    polls.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        actor.reacquire_transferred();
        actor.client.advance(boottime_us());
        actor.run_actions().await;
        let sleep_us = actor
            .client
            .next_wakeup_us()
            .map_or(LONGEST_SLEEP_US, |wakeup_us| (wakeup_us - boottime_us()).clamp(0, LONGEST_SLEEP_US));
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
            Some((voter, event)) = link_events_in.recv() => actor.on_link_event(voter, event),
            _ = polls.tick() => actor.poll_records(),
            () = tokio::time::sleep(Duration::from_micros(sleep_us as u64)) => {}
        }
    }
}
