//! What `basaltpitch_lease` decided, as frames to voters and events of the process.
use super::actor::{Actor, HeldLease};
use super::{LeaseDeadline, LeaseEvent, SlotEvent, INBOX};
use crate::voter_links::boottime_us;
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_lease::client::LeaseAction;
use basaltpitch_lease::record::{LeaseHolders, RevisionTracker};
use basaltpitch_lease::VoteReply;
use std::rc::Rc;
use tokio::sync::mpsc;

impl Actor {
    /// Sends a frame to all voters that are linked.
    pub fn send_to_voters(&mut self, body: impl Fn() -> Body) {
        for orders in self.voters.iter().flatten() {
            // What a voter that does not read is not handed counts as lost.
            let _ = orders.try_send(LinkCommand::Send(body(), None));
        }
    }

    /// Does what was decided, and moves the deadlines of what is held.
    pub async fn run_actions(&mut self) {
        let mut ballots = Vec::new();
        while let Some(action) = self.client.next_action() {
            match action {
                LeaseAction::RequestVotes { lease, token, round, metadata, renews } => {
                    let (note_number, note) = metadata.map_or((0, Vec::new()), |it| (it.number, it.bytes));
                    let duty = lease.to_string();
                    ballots.push(wire::Ballot { duty, token, round, note_number, note, renews });
                    self.refuse_for_unlinked(&lease, round);
                }
                LeaseAction::ReleaseVotes { lease, token } => {
                    // What is released may be among what is requested in this moment.
                    self.send_ballots(&mut ballots);
                    self.release_votes(lease, token);
                }
                LeaseAction::Acquired { lease, token, metadata } if self.leases.contains(&lease) => {
                    self.on_lease_acquired(lease, token, metadata.bytes);
                }
                LeaseAction::Acquired { lease, token, .. } => self.on_slot_acquired(lease, token).await,
                LeaseAction::Lost { lease, token } if self.leases.contains(&lease) => {
                    tracing::info!(lease = &*lease, token, "the lease is held no more");
                    if let Some(held) = self.held.remove(&lease) {
                        held.deadline.set_us(0);
                    }
                    self.send_lease_event(LeaseEvent::Lost { lease });
                }
                LeaseAction::Lost { lease, token } => self.on_slot_lost(&lease, token).await,
                LeaseAction::MetadataRecorded { lease, number } => {
                    if self.held.get(&lease).is_some_and(|held| held.written_number == number) {
                        self.send_lease_event(LeaseEvent::MetadataRecorded { lease });
                    }
                }
            }
        }
        self.send_ballots(&mut ballots);
        self.move_deadlines();
    }

    /// A voter that cannot be asked is not waited for: votes of the others are released sooner.
    fn refuse_for_unlinked(&mut self, lease: &Rc<str>, round: u64) {
        let (now, voters) = (boottime_us(), &self.voters);
        for voter in (0..voters.len()).filter(|&voter| voters[voter].is_none()) {
            let refused = VoteReply::Refused { token: 0, retry_after_us: 0 };
            self.client.on_vote_reply(now, voter, lease, round, refused);
        }
    }

    fn release_votes(&mut self, lease: Rc<str>, token: u64) {
        let duty = lease.to_string();
        let to = self.transfers.remove(&lease);
        if to.is_some() {
            self.reacquire_at_us.insert(lease, boottime_us() + self.duration_us);
        }
        let release = wire::GiveBack { duty, token, to: to.unwrap_or_default() };
        self.send_to_voters(|| Body::GiveBack(release.clone()));
    }

    fn on_lease_acquired(&mut self, lease: Rc<str>, token: u64, metadata: Vec<u8>) {
        tracing::info!(lease = &*lease, token, "the lease is held");
        let now = boottime_us();
        let deadline = LeaseDeadline::at_us(now + self.client.remaining_us(now, &lease));
        let held = HeldLease { token, deadline: deadline.clone(), written_number: 0 };
        self.held.insert(lease.clone(), held);
        self.reported_metadata.clear();
        self.send_lease_event(LeaseEvent::Acquired { lease, token, metadata, deadline });
    }

    async fn on_slot_acquired(&mut self, slot: Rc<str>, token: u64) {
        tracing::info!(slot = &*slot, token, "slot acquired");
        // Another incarnation wants to receive everything anew.
        (self.slot, self.polls) = (Some(slot.clone()), 0);
        (self.tracker, self.holders) = (RevisionTracker::default(), LeaseHolders::default());
        let (events, lease_events) = mpsc::channel(INBOX);
        self.lease_events = Some(events);
        let _ = self.slot_events.send(SlotEvent::Acquired { slot, token, lease_events }).await;
        self.acquire_leases();
        // Before its first machine is linked it is to know what is announced of zones.
        self.poll_records();
    }

    async fn on_slot_lost(&mut self, slot: &Rc<str>, token: u64) {
        tracing::warn!(slot = &**slot, token, "slot lost");
        // It comes back as a spare once what acted under the slot has stopped.
        (self.slot, self.seeks_slot) = (None, false);
        self.release_leases();
        self.client.release(slot);
        self.slots.slot_lost();
        let _ = self.slot_events.send(SlotEvent::Lost).await;
    }

    /// Reports an event of a lease beside the slot. Who does not receive it does not act on it: others shall have it.
    fn send_lease_event(&mut self, event: LeaseEvent) {
        if self.lease_events.as_ref().is_some_and(|events| events.try_send(event).is_err()) {
            self.release_leases();
        }
    }

    /// All that is requested in one moment goes in one frame.
    fn send_ballots(&mut self, ballots: &mut Vec<wire::Ballot>) {
        if !ballots.is_empty() {
            let ballots = std::mem::take(ballots);
            self.send_to_voters(|| Body::Ballots(wire::Ballots { ballots: ballots.clone() }));
        }
    }

    fn move_deadlines(&mut self) {
        let now = boottime_us();
        let deadline_us = |lease: &Rc<str>| match self.client.remaining_us(now, lease) {
            0 => 0,
            remaining_us => now + remaining_us,
        };
        self.deadline.set_us(self.slot.as_ref().map_or(0, deadline_us));
        self.held.iter().for_each(|(lease, held)| held.deadline.set_us(deadline_us(lease)));
    }
}
