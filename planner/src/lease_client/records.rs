//! Requests and handles the voters' records: which slots are free or held, and the metadata of
//! leases.
use super::actor::Actor;
use super::{LeaseEvent, LeaseRecord};
use crate::voter_links::boottime_us;
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_lease::record::{LeaseVersion, RecordDelta, RevisionState};
use basaltpitch_lease::{majority_value, LeaseMetadata};
use std::rc::Rc;

/// Converts a voter's record of a slot that has a holder. Its version is the token with the number
/// of the metadata.
fn slot_record(stored: &wire::KeptDuty) -> (LeaseVersion, LeaseRecord) {
    let has_metadata = stored.note_token == stored.token && !stored.note.is_empty();
    let metadata = has_metadata.then(|| stored.note.clone());
    let number = if has_metadata { stored.note_number } else { 0 };
    let lease = Rc::from(stored.duty.as_str());
    ((stored.token, number), LeaseRecord { lease, token: stored.token, metadata })
}

/// Converts a voter's record of a lease whose metadata is announced. Its version is the token under
/// which the metadata was written with the number of the metadata.
fn announced_record(stored: &wire::KeptDuty) -> (LeaseVersion, LeaseRecord) {
    let (lease, token) = (Rc::from(stored.duty.as_str()), stored.note_token);
    let metadata = Some(stored.note.clone());
    ((stored.note_token, stored.note_number), LeaseRecord { lease, token, metadata })
}

impl Actor {
    /// Requests those records of the voters that the process currently needs.
    pub fn poll_records(&mut self) {
        if self.seeks_slot && self.slot.is_none() {
            let record = wire::Record { brief: self.held.is_empty(), ..wire::Record::default() };
            self.send_to_voters(|| Body::Record(record.clone()));
        } else if !self.held.is_empty() {
            // Followed leases are reported as a majority stores them, so all voters are asked.
            for voter in 0..self.voters.len() {
                self.followed.iter().for_each(|lease| self.request_record(voter, lease));
            }
        }
        let Some(prefix) = self.slot_prefix.as_ref().filter(|_| self.slot.is_some()) else { return };
        // Each voter of the majority that granted a renewal stores it, so every second poll asks
        // only one voter, in rotation because a voter may be cut off or behind. The first poll
        // after the slot was acquired asks all voters.
        self.polls += 1;
        if self.polls == 1 || self.polls.is_multiple_of(2) {
            let linked: Vec<usize> =
                (0..self.voters.len()).filter(|&voter| self.voters[voter].is_some()).collect();
            let chosen = linked.get(self.polls / 2 % linked.len().max(1)).filter(|_| self.polls > 1);
            for voter in chosen.map_or(linked.clone(), |voter| vec![*voter]) {
                let prefixes = std::iter::once(prefix).chain(&self.announced);
                prefixes.for_each(|prefix| self.request_record(voter, prefix));
            }
        }
    }

    /// Requests from a voter the leases with this name prefix that changed since its last delta.
    fn request_record(&self, voter: usize, prefix: &Rc<str>) {
        let RevisionState { incarnation, revision } = self.tracker.state(voter, prefix);
        let request = wire::Record { brief: true, prefix: prefix.to_string(), life: incarnation, revision };
        if let Some(commands) = &self.voters[voter] {
            let _ = commands.try_send(LinkCommand::Send(Body::Record(request), None));
        }
    }

    /// Handles a voter's reply to a request for its record.
    pub fn on_record(&mut self, voter: usize, record: wire::Kept) {
        if self.slot.is_none() {
            // While the process holds a slot, the reply may be limited to leases with one prefix.
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

    /// Reports the records of slots and announced leases in a voter's delta that are newer than
    /// those reported before. All are sent in one event, so that hundreds of slots do not fill the
    /// event channel.
    fn apply_delta(&mut self, voter: usize, record: &wire::Kept) {
        let (Some(lease_events), Some(prefix)) = (&self.lease_events, &self.slot_prefix) else { return };
        let requested_prefix: Rc<str> = Rc::from(record.prefix.as_str());
        let up_to = RevisionState { incarnation: record.life, revision: record.revision };
        let delta = RecordDelta { since: record.since, up_to };
        if !self.tracker.accepts(voter, &requested_prefix, &delta) {
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
        // If the channel is full, the delta is not applied, neither to the records nor to the
        // holders, and a later poll requests it again.
        if !newer.is_empty() && lease_events.try_send(LeaseEvent::Records(newer)).is_err() {
            return;
        }
        self.tracker.applied(voter, &requested_prefix, &delta, versions);
        if requested_prefix == *prefix {
            let is_held = |stored: &wire::KeptDuty| has_holder(stored) && stored.left_us > 0;
            let slots = record.duties.iter().filter(is_slot);
            let slots = slots.map(|stored| (Rc::from(stored.duty.as_str()), is_held(stored)));
            self.holders.update(voter, &delta, slots);
            let held = self.holders.held_at(voter).cloned().collect();
            let _ = lease_events.try_send(LeaseEvent::HeldSlots(held));
        }
    }

    /// Reports the metadata that a majority of voters stores of each followed lease, if it differs
    /// from the metadata last reported.
    fn report_followed(&mut self) {
        for lease in &self.followed {
            let stored = self.followed_metadata.iter().filter(|((followed, _), _)| followed == lease);
            let stored = stored.map(|(_, metadata)| metadata);
            let Some(metadata) = majority_value(self.voters.len(), stored) else { continue };
            let version = (metadata.token, metadata.number);
            if self.reported_metadata.get(lease) != Some(&version) {
                let (lease, metadata) = (lease.clone(), metadata.bytes.clone());
                let event = LeaseEvent::MetadataChanged { lease: lease.clone(), metadata };
                // If the channel is full, the next poll reports the metadata.
                if self.lease_events.as_ref().is_some_and(|events| events.try_send(event).is_ok()) {
                    self.reported_metadata.insert(lease, version);
                }
            }
        }
    }
}
