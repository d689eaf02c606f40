//! The state of a lease client, and what it does on frames of voters and commands of its process.
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

/// A lease beside the slot that is held.
pub(super) struct HeldLease {
    pub token: u64,
    pub deadline: LeaseDeadline,
    /// The number of the last metadata written; 0: none.
    pub written_number: u64,
}

pub(super) struct Actor {
    pub duration_us: i64,
    pub client: LeaseClient<Rc<str>>,
    pub slots: SlotSelector<Rc<str>>,
    pub process: Rc<str>,
    pub voters: Vec<Option<mpsc::Sender<LinkCommand>>>,
    /// Of the slot.
    pub deadline: LeaseDeadline,
    pub slot_events: mpsc::Sender<SlotEvent>,
    pub slot: Option<Rc<str>>,
    /// Whether a slot is wanted at all.
    pub seeks_slot: bool,
    pub leases: Vec<Rc<str>>,
    pub followed: Vec<Rc<str>>,
    pub slot_prefix: Option<Rc<str>>,
    pub announced: Vec<Rc<str>>,
    /// Polls since the slot was acquired: at each, another voter is asked for the slots.
    pub polls: usize,
    /// What it has of each voter's record, by what the leases' names begin with.
    pub tracker: RevisionTracker<Rc<str>, Rc<str>>,
    /// Which slots are held, as each voter reports it.
    pub holders: LeaseHolders<Rc<str>>,
    /// The leases beside the slot that are held.
    pub held: BTreeMap<Rc<str>, HeldLease>,
    /// Where events of leases go, while it has a slot.
    pub lease_events: Option<mpsc::Sender<LeaseEvent>>,
    /// By followed lease and voter: the metadata that it stores.
    pub followed_metadata: BTreeMap<(Rc<str>, usize), LeaseMetadata>,
    /// By followed lease: token and number of the metadata last reported.
    pub reported_metadata: BTreeMap<Rc<str>, (u64, u64)>,
    /// Leases that are being transferred, and to whom.
    pub transfers: BTreeMap<Rc<str>, String>,
    /// When what was transferred is wanted again.
    pub reacquire_at_us: BTreeMap<Rc<str>, i64>,
}

impl Actor {
    /// A client that holds nothing yet.
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

    /// Requests all leases that the process acquires beside its slot.
    pub fn acquire_leases(&mut self) {
        let now = boottime_us();
        self.leases.iter().for_each(|lease| self.client.acquire(now, lease.clone()));
    }

    /// What becomes of the link to a voter, and its frames.
    pub fn on_link_event(&mut self, voter: usize, event: VoterLinkEvent) {
        match event {
            VoterLinkEvent::Up(orders) => {
                let brief = wire::Record { brief: true, ..wire::Record::default() };
                let _ = orders.try_send(LinkCommand::Send(Body::Record(brief), None));
                self.voters[voter] = Some(orders);
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

    fn on_votes(&mut self, voter: usize, votes: wire::Votes) {
        if votes.term_us < self.duration_us {
            // Files that differ: it would hold a slot that its voters have given away.
            let (found, expected) = (votes.term_us, self.duration_us);
            tracing::error!(voter, found, expected, "council.term: a voter's vote is valid for less");
            return;
        }
        let now = boottime_us();
        for vote in votes.votes {
            let reply = if vote.granted {
                let (token, number) = (vote.note_token, vote.note_number);
                VoteReply::Granted { metadata: LeaseMetadata { token, number, bytes: vote.note } }
            } else {
                VoteReply::Refused { token: vote.token, retry_after_us: vote.left_us }
            };
            self.client.on_vote_reply(now, voter, &vote.duty.into(), vote.round, reply);
        }
    }

    fn on_vote_freed(&mut self, voter: usize, freed: wire::Freed) {
        let (now, lease) = (boottime_us(), freed.duty.into());
        if freed.handed {
            // What it has transferred itself a moment ago is no reason to leave this one.
            let leases = &self.leases;
            self.reacquire_at_us.retain(|lease, _| leases.contains(lease));
        }
        self.slots.vote_freed(voter, &lease);
        self.request_free_slot(now);
        self.client.vote_freed(now, &lease);
    }

    /// An operator wants what is held here to go to another. A slot is released once its incarnation has ended.
    fn on_transfer(&mut self, transfer: wire::HandOn) {
        let lease: Rc<str> = transfer.duty.into();
        let is_slot = self.slot.as_ref() == Some(&lease);
        let token = self.client.held_token(boottime_us(), &lease);
        if token != Some(transfer.token) || self.transfers.contains_key(&lease) {
            return;
        }
        // Not received, it is no harm: the operator asks again.
        if is_slot && self.slot_events.try_send(SlotEvent::Lost).is_err() {
            return;
        }
        tracing::info!(lease = &*lease, to = transfer.to, "transferred at an operator's request");
        self.transfers.insert(lease.clone(), transfer.to);
        if !is_slot {
            self.client.release(&lease);
        }
    }

    /// What acted under the slot has stopped.
    pub fn seek_again(&mut self) {
        self.seeks_slot = true;
        if let Some(slot) = self.slot.clone().filter(|slot| self.transfers.contains_key(slot)) {
            self.client.release(&slot);
        }
    }

    /// What was transferred is wanted again after a lease duration; before that it would be taken back.
    pub fn reacquire_transferred(&mut self) {
        let now = boottime_us();
        let due = self.reacquire_at_us.extract_if(.., |_, at_us| now >= *at_us);
        let due: Vec<Rc<str>> =
            due.map(|(lease, _)| lease).filter(|lease| self.leases.contains(lease)).collect();
        if self.slot.is_some() {
            due.into_iter().for_each(|lease| self.client.acquire(now, lease));
        }
    }

    /// Requests a slot that looks free, if none is held.
    pub fn request_free_slot(&mut self, now: i64) {
        // Who transferred its slot takes none before another could.
        if !self.seeks_slot || self.slot.is_some() || !self.reacquire_at_us.is_empty() {
            return;
        }
        let SlotChoice { request, release } = self.slots.choose();
        release.iter().for_each(|slot| self.client.release(slot));
        request.into_iter().for_each(|slot| self.client.acquire(now, slot));
    }

    /// Metadata is to be recorded, of the slot or of a lease beside it.
    pub fn write_metadata(&mut self, lease: &Rc<str>, token: u64, metadata: Vec<u8>) {
        let now = boottime_us();
        if let Some(held) = self.held.get_mut(lease).filter(|held| held.token == token) {
            if let Some(number) = self.client.write_metadata(now, lease, metadata) {
                held.written_number = number;
            }
        } else if self.slot.as_ref() == Some(lease) && self.client.held_token(now, lease) == Some(token) {
            self.client.write_metadata(now, lease, metadata);
        }
    }

    /// Releases the leases beside the slot.
    pub fn release_leases(&mut self) {
        self.held.values().for_each(|held| held.deadline.set_us(0));
        self.held.clear();
        (self.lease_events, self.reported_metadata) = (None, BTreeMap::new());
        self.leases.iter().for_each(|lease| self.client.release(lease));
    }

    /// Releases everything.
    pub fn release_all(&mut self) {
        self.deadline.set_us(0);
        self.release_leases();
        if let Some(slot) = self.slots.requested().cloned() {
            self.client.release(&slot);
        }
    }
}
