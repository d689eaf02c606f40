//! The slots, their holders, and the zones that holders are in. Planners of one zone pass on the
//! summary of each slot; planners of different zones pass on zone summaries.
use crate::links::Link;
use crate::{Gossip, Payload};
use std::rc::Rc;

/// The slot, token and zone of this planner, and the slots and zones of its installation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// The number of planner slots of the installation.
    pub slots: usize,
    /// The slot that this planner holds.
    pub own_slot: usize,
    /// The token under which this planner holds its slot.
    pub own_token: u64,
    /// The zone that this planner is in.
    pub own_zone: usize,
    /// The region of each zone, by zone index.
    pub zone_regions: Rc<[usize]>,
}

/// The address and zone of a slot's holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// The address on which the holder listens.
    pub address: Rc<str>,
    /// The zone of the holder.
    pub zone: usize,
}

/// A slot as the voters announced it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Slot {
    /// The holder's token; 0 if no holder was ever announced.
    pub token: u64,
    pub address: Option<PeerAddress>,
    /// The holder is not dialled before this time, in microseconds.
    pub dial_at_us: i64,
}

impl<P: Payload> Gossip<P> {
    /// Records that the voters announced a slot's holder under this token, with its address if it
    /// is known. Summaries of an earlier holder are dropped.
    pub fn slot_assigned(&mut self, now_us: i64, slot: usize, token: u64, address: Option<PeerAddress>) {
        let own_slot = self.membership.own_slot;
        let Some(known) = self.slots.get_mut(slot).filter(|_| slot != own_slot) else { return };
        if token > known.token {
            // Links to the earlier holder are closed, so that the new one can be dialled.
            let is_older = |link: &Link| link.slot == slot && link.token < token;
            let older: Vec<u64> =
                self.links.iter().filter(|(_, link)| is_older(link)).map(|(id, _)| *id).collect();
            older.into_iter().for_each(|link| self.close_link(now_us, link));
            self.slots[slot] = Slot { token, address, dial_at_us: now_us };
            for subject in [slot, slot + self.membership.slots] {
                self.summaries[subject] = None;
                // Summaries that arrived under the new token before the announcement were rejected.
                for link in self.links.values_mut() {
                    link.corrections.insert(subject);
                }
            }
        } else if token == known.token && address.is_some() {
            known.address = address;
        }
    }

    /// Returns the zone of a slot's holder, if the voters announced it.
    pub fn zone_of(&self, slot: usize) -> Option<usize> {
        if slot == self.membership.own_slot {
            return Some(self.membership.own_zone);
        }
        self.slots[slot].address.as_ref().map(|address| address.zone)
    }

    /// Returns the indices of all zones but this planner's own; none if zones are not summarised.
    pub fn remote_zones(&self) -> impl Iterator<Item = usize> + '_ {
        let count = if self.config.flat { 0 } else { self.membership.zone_regions.len() };
        (0..count).filter(|zone| *zone != self.membership.own_zone)
    }

    /// Returns the slot whose holder makes the summary of a subject (a slot or a zone).
    pub(crate) fn slot_of(&self, subject: usize) -> usize {
        subject % self.membership.slots
    }

    /// Returns whether a subject is a zone's summary, as made by one slot.
    pub(crate) fn is_zone(&self, subject: usize) -> bool {
        subject >= self.membership.slots
    }

    /// Returns whether single summaries of this slot are passed on to this planner: the slot's
    /// holder is in its zone, or zones are not summarised.
    pub(crate) fn is_local(&self, slot: usize) -> bool {
        self.config.flat || self.zone_of(slot) == Some(self.membership.own_zone)
    }

    /// Returns whether the slot's holder is in another region.
    pub(crate) fn is_remote_region(&self, slot: usize) -> bool {
        let region = |zone: Option<usize>| zone.and_then(|zone| self.membership.zone_regions.get(zone));
        !self.is_local(slot) && region(self.zone_of(slot)) != region(Some(self.membership.own_zone))
    }

    /// Returns whether summaries of a subject (a slot or a zone) are passed on to this slot's
    /// holder.
    pub(crate) fn is_passed_on(&self, subject: usize, to_slot: usize) -> bool {
        if self.is_zone(subject) {
            !self.config.flat
        } else {
            self.is_local(subject) && self.is_local(to_slot)
        }
    }

    pub(crate) fn stale_after_us(&self, subject: usize) -> i64 {
        if self.is_zone(subject) {
            self.config.zone_stale_after_us
        } else {
            self.config.stale_after_us
        }
    }

    /// Returns whether a slot counts as alive when the planner that acts for its zone is chosen.
    /// The limit is one and a half times that for freshness, because every change of that planner
    /// is passed on to all others. A planner that has just started knows no summaries and takes
    /// every slot with a holder to be alive.
    pub(crate) fn counts_as_alive(&self, now_us: i64, slot: usize) -> bool {
        let stale_after_us = self.config.stale_after_us;
        let is_recent = |at_us: i64| now_us < at_us + stale_after_us + stale_after_us / 2;
        let reported_recently =
            self.summaries[slot].as_ref().is_some_and(|summary| is_recent(summary.made_at_us));
        self.slots[slot].token > 0 && (reported_recently || is_recent(self.started_us))
    }
}
