//! The state of a lease client, and how it handles frames of voters and commands of its process.
use super::{LeaseClientConfig, LeaseDeadline, LeaseEvent, SlotEvent};
use crate::voter_links::{boottime_us, process_name, VoterLinkEvent};
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_lease::client::LeaseClient;
use basaltpitch_lease::record::{LeaseHolders, RevisionTracker};
use basaltpitch_lease::slots::{SlotChoice, SlotSelector};
use basaltpitch_lease::{LeaseMetadata, VoteReply};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// A held lease other than the slot's own.
pub(super) struct HeldLease {
    pub token: u64,
    pub deadline: LeaseDeadline,
    /// The number of the last metadata written; 0 if none was written.
    pub written_number: u64,
}

/// The state of a lease client.
pub(super) struct Actor {
    pub duration_us: i64,
    pub client: LeaseClient<Rc<str>>,
    pub slots: SlotSelector<Rc<str>>,
    /// The name under which this process requests votes.
    pub process: Rc<str>,
    /// The command channel of the link to each voter; `None` while the link is down.
    pub voters: Vec<Option<mpsc::Sender<LinkCommand>>>,
    /// The deadline of the slot.
    pub deadline: LeaseDeadline,
    /// Receives the events of the slot.
    pub slot_events: mpsc::Sender<SlotEvent>,
    /// The held slot; `None` while the process holds none.
    pub slot: Option<Rc<str>>,
    /// Whether the process may acquire a slot; false after the loss of a slot, until its planner
    /// has stopped.
    pub seeks_slot: bool,
    /// The leases that the process acquires beside a slot.
    pub leases: Vec<Rc<str>>,
    /// The leases whose metadata is reported, as a majority of voters stores it, while the process
    /// holds one of `leases`.
    pub followed: Vec<Rc<str>>,
    /// The prefix of all slots' names; `None` if the holders of other slots are not reported.
    pub slot_prefix: Option<Rc<str>>,
    /// The leases whose metadata is reported, as one voter stores it, while the process holds a
    /// slot.
    pub announced: Vec<Rc<str>>,
    /// Number of polls since the slot was acquired, by which the voter to request records from is
    /// chosen.
    pub polls: usize,
    /// The revision up to which each voter's record was received, by prefix of the lease names.
    pub tracker: RevisionTracker<Rc<str>, Rc<str>>,
    /// The slots that are held, as each voter reports them.
    pub holders: LeaseHolders<Rc<str>>,
    /// The held leases other than the slot's own.
    pub held: BTreeMap<Rc<str>, HeldLease>,
    /// Receives the events of leases; `None` while the process holds no slot.
    pub lease_events: Option<mpsc::Sender<LeaseEvent>>,
    /// By followed lease and voter, the metadata that the voter stores.
    pub followed_metadata: BTreeMap<(Rc<str>, usize), LeaseMetadata>,
    /// By followed lease, the token and the number of the metadata last reported.
    pub reported_metadata: BTreeMap<Rc<str>, (u64, u64)>,
    /// Leases that are being transferred, each with the name of the successor; an empty name means
    /// any process.
    pub transfers: BTreeMap<Rc<str>, String>,
    /// By transferred lease, the time from which the process may request it again, in microseconds.
    pub reacquire_at_us: BTreeMap<Rc<str>, i64>,
}

impl Actor {
    /// Creates a client that holds nothing yet.
    pub fn new(
        config: LeaseClientConfig,
        deadline: LeaseDeadline,
        slot_events: mpsc::Sender<SlotEvent>,
    ) -> Self {
        let (voters, seed, identity) = (config.voters.len(), config.seed, &config.identity);
        let mut actor = Actor {
            duration_us: config.lease_config.duration_us,
            client: LeaseClient::new(config.lease_config, voters, seed, identity.epoch),
            slots: SlotSelector::new(config.slots, voters, seed),
            process: process_name(&identity.name, identity.epoch),
            voters: vec![None; voters],
            deadline,
            slot_events,
            slot: None,
            seeks_slot: true,
            leases: config.leases,
            followed: config.followed,
            slot_prefix: config.slot_prefix,
            announced: config.announced,
            polls: 0,
            tracker: RevisionTracker::default(),
            holders: LeaseHolders::default(),
            held: BTreeMap::new(),
            lease_events: config.events,
            followed_metadata: BTreeMap::new(),
            reported_metadata: BTreeMap::new(),
            transfers: BTreeMap::new(),
            reacquire_at_us: BTreeMap::new(),
        };
        if actor.lease_events.is_some() {
            actor.acquire_leases();
        }
        actor
    }

    /// Requests all leases that the process acquires beside a slot.
    pub fn acquire_leases(&mut self) {
        let now_us = boottime_us();
        self.leases.iter().for_each(|lease| self.client.acquire(now_us, lease.clone()));
    }

    /// Handles an event of the link to a voter.
    pub fn on_link_event(&mut self, voter: usize, event: VoterLinkEvent) {
        match event {
            VoterLinkEvent::Up(commands) => {
                let brief = wire::Record { brief: true, ..wire::Record::default() };
                let _ = commands.try_send(LinkCommand::Send(Body::Record(brief), None));
                self.voters[voter] = Some(commands);
            }
            VoterLinkEvent::Down => {
                self.voters[voter] = None;
                self.slots.forget_voter(voter);
            }
            VoterLinkEvent::Frame(Body::Votes(votes)) => self.on_votes(voter, votes),
            VoterLinkEvent::Frame(Body::Freed(freed)) => self.on_vote_freed(voter, freed),
            VoterLinkEvent::Frame(Body::Kept(record)) => self.on_record(voter, record),
            VoterLinkEvent::Frame(Body::HandOn(transfer)) => self.on_transfer(transfer),
            VoterLinkEvent::Frame(_) => {}
        }
    }

    /// Handles a voter's replies to ballots.
    fn on_votes(&mut self, voter: usize, votes: wire::Votes) {
        if votes.term_us < self.duration_us {
            // The configuration files differ. This process would still act under a slot that the
            // voters have already granted to another.
            let (found, expected) = (votes.term_us, self.duration_us);
            tracing::error!(
                voter,
                found,
                expected,
                "the voter's lease duration (council.term) is shorter than this process's; ignoring its votes"
            );
            return;
        }
        let now_us = boottime_us();
        for vote in votes.votes {
            let reply = if vote.granted {
                let (token, number) = (vote.note_token, vote.note_number);
                VoteReply::Granted { metadata: LeaseMetadata { token, number, bytes: vote.note } }
            } else {
                VoteReply::Refused { token: vote.token, retry_after_us: vote.left_us }
            };
            self.client.on_vote_reply(now_us, voter, &vote.duty.into(), vote.round, reply);
        }
    }

    /// Handles a voter's notice that a vote for a lease was released.
    fn on_vote_freed(&mut self, voter: usize, freed: wire::Freed) {
        let (now_us, lease) = (boottime_us(), freed.duty.into());
        if freed.handed {
            // The freed lease may have been transferred to this process. A slot that this process
            // transferred shortly before is then no reason to refrain from requesting it.
            let leases = &self.leases;
            self.reacquire_at_us.retain(|lease, _| leases.contains(lease));
        }
        self.slots.vote_freed(voter, &lease);
        self.request_free_slot(now_us);
        self.client.vote_freed(now_us, &lease);
    }

    /// Handles an operator's request to transfer a lease that this process holds. A slot is
    /// released only once its planner has stopped.
    fn on_transfer(&mut self, transfer: wire::HandOn) {
        let lease: Rc<str> = transfer.duty.into();
        let is_slot = self.slot.as_ref() == Some(&lease);
        let token = self.client.held_token(boottime_us(), &lease);
        if token != Some(transfer.token) || self.transfers.contains_key(&lease) {
            return;
        }
        // If the event channel is full, the request is dropped; the operator can repeat it.
        if is_slot && self.slot_events.try_send(SlotEvent::Lost).is_err() {
            return;
        }
        tracing::info!(lease = &*lease, to = transfer.to, "transferring the lease at an operator's request");
        self.transfers.insert(lease.clone(), transfer.to);
        if !is_slot {
            self.client.release(&lease);
        }
    }

    /// Handles the command to seek a slot again: the planner that acted under the last slot has
    /// stopped. Releases that slot if it is being transferred.
    pub fn seek_again(&mut self) {
        self.seeks_slot = true;
        if let Some(slot) = self.slot.clone().filter(|slot| self.transfers.contains_key(slot)) {
            self.client.release(&slot);
        }
    }

    /// Requests transferred leases again once a lease duration has passed. An earlier request could
    /// take the lease back from its successor.
    pub fn reacquire_transferred(&mut self) {
        let now_us = boottime_us();
        let due = self.reacquire_at_us.extract_if(.., |_, at_us| now_us >= *at_us);
        let due: Vec<Rc<str>> =
            due.map(|(lease, _)| lease).filter(|lease| self.leases.contains(lease)).collect();
        if self.slot.is_some() {
            due.into_iter().for_each(|lease| self.client.acquire(now_us, lease));
        }
    }

    /// Requests a slot that appears to be free, if the process seeks a slot and holds none.
    pub fn request_free_slot(&mut self, now_us: i64) {
        // After a transfer of its slot, the process waits so that another process can take the
        // slot.
        if !self.seeks_slot || self.slot.is_some() || !self.reacquire_at_us.is_empty() {
            return;
        }
        let SlotChoice { request, release } = self.slots.choose();
        release.iter().for_each(|slot| self.client.release(slot));
        request.into_iter().for_each(|slot| self.client.acquire(now_us, slot));
    }

    /// Writes the metadata of the slot or of a lease beside it, if it is held under this token.
    pub fn write_metadata(&mut self, lease: &Rc<str>, token: u64, metadata: Vec<u8>) {
        let now_us = boottime_us();
        if let Some(held) = self.held.get_mut(lease).filter(|held| held.token == token) {
            if let Some(number) = self.client.write_metadata(now_us, lease, metadata) {
                held.written_number = number;
            }
        } else if self.slot.as_ref() == Some(lease) && self.client.held_token(now_us, lease) == Some(token) {
            self.client.write_metadata(now_us, lease, metadata);
        }
    }

    /// Releases the leases beside the slot.
    pub fn release_leases(&mut self) {
        self.held.values().for_each(|held| held.deadline.set_us(0));
        self.held.clear();
        (self.lease_events, self.reported_metadata) = (None, BTreeMap::new());
        self.leases.iter().for_each(|lease| self.client.release(lease));
    }

    /// Releases the slot, or the request for one, and all leases.
    pub fn release_all(&mut self) {
        self.deadline.set_us(0);
        self.release_leases();
        if let Some(slot) = self.slots.requested().cloned() {
            self.client.release(&slot);
        }
    }
}
