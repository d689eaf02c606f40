//! What voters store, as far as a lease client needs it: which slots are free or held, and metadata of leases.
use super::actor::Actor;
use super::{LeaseEvent, LeaseRecord};
use crate::voter_links::boottime_us;
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_lease::record::{LeaseVersion, RecordDelta, RevisionState};
use basaltpitch_lease::{majority_value, LeaseMetadata};
use std::rc::Rc;

/// A slot that has a holder.
fn slot_record(stored: &wire::KeptDuty) -> (LeaseVersion, LeaseRecord) {
    let has_metadata = stored.note_token == stored.token && !stored.note.is_empty();
    let metadata = has_metadata.then(|| stored.note.clone());
    let number = if has_metadata { stored.note_number } else { 0 };
    let lease = Rc::from(stored.duty.as_str());
    ((stored.token, number), LeaseRecord { lease, token: stored.token, metadata })
}

/// A lease whose metadata is announced.
fn announced_record(stored: &wire::KeptDuty) -> (LeaseVersion, LeaseRecord) {
    let (lease, token) = (Rc::from(stored.duty.as_str()), stored.note_token);
    let metadata = Some(stored.note.clone());
    ((stored.note_token, stored.note_number), LeaseRecord { lease, token, metadata })
}

impl Actor {
    /// Asks what the voters store, as far as it is needed.
    pub fn poll_records(&mut self) {
        if self.seeks_slot && self.slot.is_none() {
            let record = wire::Record { brief: self.held.is_empty(), ..wire::Record::default() };
            self.send_to_voters(|| Body::Record(record.clone()));
        } else if !self.held.is_empty() {
            // What a majority stores is wanted of leases that are followed.
            for voter in 0..self.voters.len() {
                self.followed.iter().for_each(|lease| self.request_record(voter, lease));
            }
        }
        let Some(prefix) = self.slot_prefix.as_ref().filter(|_| self.slot.is_some()) else { return };
        // Of a holder that renewed each voter of its majority knows: one is enough, and another each time, as one may
        // be cut off or behind. With a new slot it asks them all.
        self.polls += 1;
        if self.polls == 1 || self.polls.is_multiple_of(2) {
            let linked: Vec<usize> =
                (0..self.voters.len()).filter(|&voter| self.voters[voter].is_some()).collect();
            let one = linked.get(self.polls / 2 % linked.len().max(1)).filter(|_| self.polls > 1);
            for voter in one.map_or(linked.clone(), |one| vec![*one]) {
                let prefixes = std::iter::once(prefix).chain(&self.announced);
                prefixes.for_each(|prefix| self.request_record(voter, prefix));
            }
        }
    }

    /// Asks a voter for leases whose names begin so, as far as they changed since its last delta.
    fn request_record(&self, voter: usize, prefix: &Rc<str>) {
        let RevisionState { incarnation, revision } = self.tracker.state(voter, prefix);
        let request = wire::Record { brief: true, prefix: prefix.to_string(), life: incarnation, revision };
        if let Some(orders) = &self.voters[voter] {
            let _ = orders.try_send(LinkCommand::Send(Body::Record(request), None));
        }
    }

    /// What a voter stores, in reply to a request.
    pub fn on_record(&mut self, voter: usize, record: wire::Kept) {
        if self.slot.is_none() {
            // With a slot, it may have asked for some leases alone.
            let is_taken = |stored: &&wire::KeptDuty| stored.left_us > 0 && *stored.holder != *self.process;
            let taken = record.duties.iter().filter(is_taken);
            self.slots.set_taken(voter, taken.map(|stored| Rc::from(stored.duty.as_str())));
            self.request_free_slot(boottime_us());
        }
        self.apply_delta(voter, &record);
        for stored in record.duties {
            let is_followed = |lease: &&Rc<str>| ***lease == *stored.duty && !stored.note.is_empty();
            if let Some(lease) = self.followed.iter().find(is_followed) {
                let (token, number) = (stored.note_token, stored.note_number);
                let metadata = LeaseMetadata { token, number, bytes: stored.note };
                self.followed_metadata.insert((lease.clone(), voter), metadata);
            }
        }
        if !self.held.is_empty() {
            self.report_followed();
        }
    }

    /// Reports who has slots, as a voter stores it, where that is newer: in one event, so that hundreds of them don't
    /// fill the queue of what must be received.
    fn apply_delta(&mut self, voter: usize, record: &wire::Kept) {
        let (Some(lease_events), Some(prefix)) = (&self.lease_events, &self.slot_prefix) else { return };
        let part: Rc<str> = Rc::from(record.prefix.as_str());
        let up_to = RevisionState { incarnation: record.life, revision: record.revision };
        let delta = RecordDelta { since: record.since, up_to };
        if !self.tracker.accepts(voter, &part, &delta) {
            return;
        }
        let is_slot = |stored: &&wire::KeptDuty| stored.duty.starts_with(&**prefix);
        let has_holder = |stored: &wire::KeptDuty| stored.renewed && !stored.holder.is_empty();
        let is_announced = |stored: &&wire::KeptDuty| {
            !stored.note.is_empty() && self.announced.iter().any(|lease| **lease == *stored.duty)
        };
        let slots = record.duties.iter().filter(|stored| is_slot(stored) && has_holder(stored));
        let announced = record.duties.iter().filter(is_announced);
        let records = slots.map(slot_record).chain(announced.map(announced_record));
        let newer = records.filter(|(version, record)| self.tracker.is_newer(&record.lease, *version));
        let (versions, newer): (Vec<_>, Vec<LeaseRecord>) =
            newer.map(|(version, record)| ((record.lease.clone(), version), record)).unzip();
        // Not received, it is reported at one of the next polls; who holds what goes by the same revision.
        if !newer.is_empty() && lease_events.try_send(LeaseEvent::Records(newer)).is_err() {
            return;
        }
        self.tracker.applied(voter, &part, &delta, versions);
        if part == *prefix {
            let is_held = |stored: &wire::KeptDuty| has_holder(stored) && stored.left_us > 0;
            let slots = record.duties.iter().filter(is_slot);
            let slots = slots.map(|stored| (Rc::from(stored.duty.as_str()), is_held(stored)));
            self.holders.update(voter, &delta, slots);
            let held = self.holders.held_at(voter).cloned().collect();
            let _ = lease_events.try_send(LeaseEvent::HeldSlots(held));
        }
    }

    /// Reports of each followed lease the metadata that a majority stores, if it is other than before.
    fn report_followed(&mut self) {
        for lease in &self.followed {
            let stored = self.followed_metadata.iter().filter(|((followed, _), _)| followed == lease);
            let stored = stored.map(|(_, metadata)| metadata);
            let Some(metadata) = majority_value(self.voters.len(), stored) else { continue };
            let version = (metadata.token, metadata.number);
            if self.reported_metadata.get(lease) != Some(&version) {
                let (lease, metadata) = (lease.clone(), metadata.bytes.clone());
                let event = LeaseEvent::MetadataChanged { lease: lease.clone(), metadata };
                // Not received, it is reported at the next poll.
                if self.lease_events.as_ref().is_some_and(|events| events.try_send(event).is_ok()) {
                    self.reported_metadata.insert(lease, version);
                }
            }
        }
    }
}
