//! Carries out the decisions of `basaltpitch_lease`: sends frames to voters and events to the
//! process.
use super::actor::{Actor, HeldLease};
use super::{LeaseDeadline, LeaseEvent, SlotEvent, EVENT_CAPACITY};
use crate::voter_links::boottime_us;
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_lease::client::LeaseAction;
use basaltpitch_lease::record::{LeaseHolders, RevisionTracker};
use basaltpitch_lease::VoteReply;
use std::rc::Rc;
use tokio::sync::mpsc;

impl Actor {
    /// Sends a frame to all voters to which a link is up.
    pub fn send_to_voters(&mut self, body: impl Fn() -> Body) {
        for commands in self.voters.iter().flatten() {
            // A frame that the full queue of a link does not accept is dropped; it counts as lost.
            let _ = commands.try_send(LinkCommand::Send(body(), None));
        }
    }

    /// Carries out the pending decisions, then updates the deadlines of the held leases.
    pub async fn run_actions(&mut self) {
        let mut ballots = Vec::new();
        while let Some(action) = self.client.next_action() {
            match action {
                LeaseAction::RequestVotes { lease, token, round, metadata, renews } => {
                    let (note_number, note) =
                        metadata.map_or((0, Vec::new()), |written| (written.number, written.bytes));
                    let duty = lease.to_string();
                    ballots.push(wire::Ballot { duty, token, round, note_number, note, renews });
                    self.refuse_for_unlinked(&lease, round);
                }
                LeaseAction::ReleaseVotes { lease, token } => {
                    // A pending ballot may be for the same lease, so it must be sent before the
                    // release.
                    self.send_ballots(&mut ballots);
                    self.release_votes(lease, token);
                }
                LeaseAction::Acquired { lease, token, metadata } if self.leases.contains(&lease) => {
                    self.on_lease_acquired(lease, token, metadata.bytes);
                }
                LeaseAction::Acquired { lease, token, .. } => self.on_slot_acquired(lease, token).await,
                LeaseAction::Lost { lease, token } if self.leases.contains(&lease) => {
                    tracing::info!(lease = &*lease, token, "the lease was lost");
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
        self.update_deadlines();
    }

    /// Counts voters without a link as having refused, so that a round that cannot reach a majority
    /// ends early and releases the votes of the other voters sooner.
    fn refuse_for_unlinked(&mut self, lease: &Rc<str>, round: u64) {
        let (now_us, voters) = (boottime_us(), &self.voters);
        for voter in (0..voters.len()).filter(|&voter| voters[voter].is_none()) {
            let refused = VoteReply::Refused { token: 0, retry_after_us: 0 };
            self.client.on_vote_reply(now_us, voter, lease, round, refused);
        }
    }

    /// Sends the release of a lease's votes; a lease that is being transferred names its successor.
    fn release_votes(&mut self, lease: Rc<str>, token: u64) {
        let duty = lease.to_string();
        let to = self.transfers.remove(&lease);
        if to.is_some() {
            self.reacquire_at_us.insert(lease, boottime_us() + self.duration_us);
        }
        let release = wire::GiveBack { duty, token, to: to.unwrap_or_default() };
        self.send_to_voters(|| Body::GiveBack(release.clone()));
    }

    /// Records and reports a lease acquired beside the slot.
    fn on_lease_acquired(&mut self, lease: Rc<str>, token: u64, metadata: Vec<u8>) {
        tracing::info!(lease = &*lease, token, "lease acquired");
        let now_us = boottime_us();
        let deadline = LeaseDeadline::at_us(now_us + self.client.remaining_us(now_us, &lease));
        let held = HeldLease { token, deadline: deadline.clone(), written_number: 0 };
        self.held.insert(lease.clone(), held);
        self.reported_metadata.clear();
        self.send_lease_event(LeaseEvent::Acquired { lease, token, metadata, deadline });
    }

    /// Records and reports the acquired slot, and requests the leases beside it.
    async fn on_slot_acquired(&mut self, slot: Rc<str>, token: u64) {
        tracing::info!(slot = &*slot, token, "slot acquired");
        // The planner that starts under this slot must receive all records again.
        (self.slot, self.polls) = (Some(slot.clone()), 0);
        (self.tracker, self.holders) = (RevisionTracker::default(), LeaseHolders::default());
        let (events, lease_events) = mpsc::channel(EVENT_CAPACITY);
        self.lease_events = Some(events);
        let _ = self.slot_events.send(SlotEvent::Acquired { slot, token, lease_events }).await;
        self.acquire_leases();
        // The planner needs the announced failover decision before it links its first machine.
        self.poll_records();
    }

    /// Reports the loss of the slot and releases the leases beside it.
    async fn on_slot_lost(&mut self, slot: &Rc<str>, token: u64) {
        tracing::warn!(slot = &**slot, token, "slot lost");
        // The process seeks a slot again once the planner that acted under this slot has stopped.
        (self.slot, self.seeks_slot) = (None, false);
        self.release_leases();
        self.client.release(slot);
        self.slots.slot_lost();
        let _ = self.slot_events.send(SlotEvent::Lost).await;
    }

    /// Reports an event of a lease beside the slot. If the process does not receive events, it
    /// cannot act on them, so the leases are released for other processes.
    fn send_lease_event(&mut self, event: LeaseEvent) {
        if self.lease_events.as_ref().is_some_and(|events| events.try_send(event).is_err()) {
            self.release_leases();
        }
    }

    /// Sends the ballots collected so far in one frame.
    fn send_ballots(&mut self, ballots: &mut Vec<wire::Ballot>) {
        if !ballots.is_empty() {
            let ballots = std::mem::take(ballots);
            self.send_to_voters(|| Body::Ballots(wire::Ballots { ballots: ballots.clone() }));
        }
    }

    /// Sets the deadlines of the slot and of all held leases to the ends of their leases.
    fn update_deadlines(&mut self) {
        let now_us = boottime_us();
        let deadline_us = |lease: &Rc<str>| match self.client.remaining_us(now_us, lease) {
            0 => 0,
            remaining_us => now_us + remaining_us,
        };
        self.deadline.set_us(self.slot.as_ref().map_or(0, deadline_us));
        self.held.iter().for_each(|(lease, held)| held.deadline.set_us(deadline_us(lease)));
    }
}
