//! The slots, who holds them, and who is near whom: near planners pass on summaries of each slot, others those
//! of whole zones.
use crate::links::Link;
use crate::{Gossip, Payload};
use std::rc::Rc;

/// Who this planner is, among which others.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// How many slots there are.
    pub slots: usize,
    /// The slot that this planner holds.
    pub own_slot: usize,
    /// The token under which it does.
    pub own_token: u64,
    /// The zone that this planner is in.
    pub own_zone: usize,
    /// The region of each zone.
    pub zone_regions: Rc<[usize]>,
}

/// Where the holder of a slot is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerAddress {
    /// Where it listens.
    pub address: Rc<str>,
    /// The zone that it is in.
    pub zone: usize,
}

/// A slot, as the voters announced it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Slot {
    /// Its holder's token; 0: nobody is known to have held it.
    pub token: u64,
    pub address: Option<PeerAddress>,
    /// Not dialled before this time.
    pub dial_at_us: i64,
}

impl<P: Payload> Gossip<P> {
    /// A slot is held under this token, by the planner at this address, if that is known. What an earlier
    /// holder published counts no more.
    pub fn slot_assigned(&mut self, now_us: i64, slot: usize, token: u64, address: Option<PeerAddress>) {
        let own_slot = self.membership.own_slot;
        let Some(known) = self.slots.get_mut(slot).filter(|_| slot != own_slot) else { return };
        if token > known.token {
            // Links to the one before: its successor is to be linked to.
            let is_older = |link: &Link| link.slot == slot && link.token < token;
            let older: Vec<u64> =
                self.links.iter().filter(|(_, link)| is_older(link)).map(|(id, _)| *id).collect();
            older.into_iter().for_each(|link| self.close_link(now_us, link));
            self.slots[slot] = Slot { token, address, dial_at_us: now_us };
            for subject in [slot, slot + self.membership.slots] {
                self.summaries[subject] = None;
                // What came under this token before the voters announced it was refused.
                for link in self.links.values_mut() {
                    link.corrections.insert(subject);
                }
            }
        } else if token == known.token && address.is_some() {
            known.address = address;
        }
    }

    /// The zone that a slot's holder is in, as far as the voters announced it.
    pub fn zone_of(&self, slot: usize) -> Option<usize> {
        if slot == self.membership.own_slot {
            return Some(self.membership.own_zone);
        }
        self.slots[slot].address.as_ref().map(|address| address.zone)
    }

    /// Other zones than this planner's, by index; none where all slots are passed on one by one.
    pub fn remote_zones(&self) -> impl Iterator<Item = usize> + '_ {
        let count = if self.config.flat { 0 } else { self.membership.zone_regions.len() };
        (0..count).filter(|zone| *zone != self.membership.own_zone)
    }

    /// The slot that made the summary of a subject.
    pub(crate) fn slot_of(&self, subject: usize) -> usize {
        subject % self.membership.slots
    }

    /// Whether a subject is a zone, as one slot made its summary.
    pub(crate) fn is_zone(&self, subject: usize) -> bool {
        subject >= self.membership.slots
    }

    /// Whether summaries of this slot are passed on by themselves.
    pub(crate) fn is_near(&self, slot: usize) -> bool {
        self.config.flat || self.zone_of(slot) == Some(self.membership.own_zone)
    }

    /// Whether the slot's holder is in another region.
    pub(crate) fn is_remote_region(&self, slot: usize) -> bool {
        let region = |zone: Option<usize>| zone.and_then(|zone| self.membership.zone_regions.get(zone));
        !self.is_near(slot) && region(self.zone_of(slot)) != region(Some(self.membership.own_zone))
    }

    /// Whether a subject is passed on over a link to this slot.
    pub(crate) fn is_passed_on(&self, subject: usize, to_slot: usize) -> bool {
        if self.is_zone(subject) {
            !self.config.flat
        } else {
            self.is_near(subject) && self.is_near(to_slot)
        }
    }

    pub(crate) fn stale_after_us(&self, subject: usize) -> i64 {
        if self.is_zone(subject) {
            self.config.zone_stale_after_us
        } else {
            self.config.stale_after_us
        }
    }

    /// Whether a slot counts as alive where one is to act for others. For somewhat longer than it is fresh:
    /// each change of who acts is passed on to all. Who has just started knows nobody yet, and takes those who
    /// hold a slot to be alive.
    pub(crate) fn counts_as_alive(&self, now_us: i64, slot: usize) -> bool {
        let stale_after_us = self.config.stale_after_us;
        let is_recent = |at_us: i64| now_us < at_us + stale_after_us + stale_after_us / 2;
        let heard = self.summaries[slot].as_ref().is_some_and(|summary| is_recent(summary.made_at_us));
        self.slots[slot].token > 0 && (heard || is_recent(self.started_us))
    }
}
