//! Links to other planners: which planners are dialled, and which links are replaced or closed.
use crate::{Gossip, GossipAction, InvalidSummary, Payload};
use std::collections::{BTreeMap, BTreeSet};

/// The planner at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkedPeer {
    /// The peer's slot.
    pub slot: usize,
    /// The token under which the peer states that it holds the slot.
    pub token: u64,
    /// Whether this planner dialled the peer.
    pub outbound: bool,
}

/// The version of a summary that the peer has, by its token and number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerVersion {
    pub token: u64,
    pub number: u64,
    /// The time at which this planner learned of that version, in microseconds.
    pub since_us: i64,
}

/// A request whose reply has not arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OpenRequest {
    pub id: u64,
    pub sent_us: i64,
}

/// A reply that the peer has not acknowledged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UnconfirmedReply {
    pub request_id: u64,
    /// The versions that the peer has once the reply arrives, by subject.
    pub versions: Vec<(usize, PeerVersion)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Link {
    pub slot: usize,
    pub token: u64,
    pub outbound: bool,
    pub open: Option<OpenRequest>,
    pub requested_us: i64,
    /// The last request of this planner whose reply was accepted; 0 if there is none.
    pub acknowledged: u64,
    /// Slots and zones whose stored version the next request must state again.
    pub corrections: BTreeSet<usize>,
    /// The last request received from the peer; 0 if there is none.
    pub peer_request_id: u64,
    /// Whether that request still waits for its reply.
    pub reply_pending: bool,
    pub peer_versions: BTreeMap<usize, PeerVersion>,
    pub unconfirmed: Option<UnconfirmedReply>,
}

impl Link {
    fn new(peer: LinkedPeer) -> Self {
        Link {
            slot: peer.slot,
            token: peer.token,
            outbound: peer.outbound,
            open: None,
            requested_us: i64::MIN,
            acknowledged: 0,
            corrections: BTreeSet::new(),
            peer_request_id: 0,
            reply_pending: false,
            peer_versions: BTreeMap::new(),
            unconfirmed: None,
        }
    }
}

/// The links to planners of other zones that this planner maintains.
struct RemoteTarget {
    count: usize,
    /// Whether to prefer zones of another region over other zones of this planner's own region.
    other_region: bool,
}

impl<P: Payload> Gossip<P> {
    /// Records that a link to a peer is up, whichever side dialled. Requests summaries at once,
    /// because a planner that has just acquired its slot knows nothing.
    ///
    /// # Errors
    /// The peer's slot does not exist or is this planner's own, or the peer holds it under an
    /// outdated token. The caller must close the link.
    pub fn link_up(&mut self, now_us: i64, link: u64, peer: LinkedPeer) -> Result<(), InvalidSummary> {
        let LinkedPeer { slot, token, outbound } = peer;
        if outbound {
            self.dialing.remove(&slot);
        }
        let expected = self.slots.get(slot).map_or(0, |known| known.token);
        if slot >= self.slots.len() || slot == self.membership.own_slot {
            return Err(InvalidSummary::Slot { peer: slot, found: slot, slots: self.slots.len() });
        }
        if token < expected {
            return Err(InvalidSummary::StaleHolder { peer: slot, found: token, expected });
        }
        self.links.insert(link, Link::new(peer));
        self.request(now_us, link);
        Ok(())
    }

    /// Records that a link is down.
    pub fn link_down(&mut self, now_us: i64, link: u64) {
        if let Some(gone) = self.links.remove(&link).filter(|gone| gone.outbound) {
            self.slots[gone.slot].dial_at_us = now_us + self.config.timeout_us;
        }
    }

    /// Records that a dial failed. The slot is not dialled again before the timeout has passed.
    pub fn dial_failed(&mut self, now_us: i64, slot: usize) {
        self.dialing.remove(&slot);
        self.slots[slot].dial_at_us = now_us + self.config.timeout_us;
    }

    /// Returns the slot of the planner at the other end of a link.
    pub fn peer_slot(&self, link: u64) -> Option<usize> {
        self.links.get(&link).map(|link| link.slot)
    }

    /// Returns the slots of the planners to which a link is up.
    pub fn linked_slots(&self) -> impl Iterator<Item = usize> + '_ {
        self.links.values().map(|link| link.slot)
    }

    pub(crate) fn close_link(&mut self, now_us: i64, link: u64) {
        self.link_down(now_us, link);
        self.actions.push_back(GossipAction::CloseLink { link });
    }

    /// Closes links whose open request has timed out, and gives up dials that have timed out.
    pub(crate) fn close_stalled_links(&mut self, now_us: i64) {
        let timeout_us = self.config.timeout_us;
        let is_stalled = |link: &Link| link.open.is_some_and(|open| now_us >= open.sent_us + timeout_us);
        let stalled: Vec<u64> =
            self.links.iter().filter(|(_, link)| is_stalled(link)).map(|(id, _)| *id).collect();
        stalled.into_iter().for_each(|link| self.close_link(now_us, link));
        let is_dead = |since_us: i64| now_us >= since_us + timeout_us;
        let dead: Vec<usize> =
            self.dialing.iter().filter(|(_, since)| is_dead(**since)).map(|(slot, _)| *slot).collect();
        dead.into_iter().for_each(|slot| self.dial_failed(now_us, slot));
    }

    /// Returns how many planners this planner has dialled, linked or not yet, within its zone
    /// (`local`) or outside it.
    fn partner_count(&self, local: bool) -> usize {
        let linked = self.links.values().filter(|link| link.outbound).map(|link| link.slot);
        linked.chain(self.dialing.keys().copied()).filter(|slot| self.is_local(*slot) == local).count()
    }

    /// Returns the links to other zones that this planner maintains. Only the lowest slots of a
    /// zone that are alive have such links; every second one prefers another region. A planner with
    /// few peers in its own zone maintains more of them.
    fn remote_target(&self, now_us: i64) -> RemoteTarget {
        let nothing = RemoteTarget { count: 0, other_region: false };
        if self.config.flat {
            return nothing;
        }
        let own_slot = self.membership.own_slot;
        let local_peers = || (0..self.slots.len()).filter(|slot| *slot != own_slot && self.is_local(*slot));
        let lower =
            local_peers().filter(|slot| *slot < own_slot && self.counts_as_alive(now_us, *slot)).count();
        if lower >= self.config.remote_links {
            return nothing;
        }
        let count = 1 + self.config.partners.saturating_sub(local_peers().count());
        RemoteTarget { count, other_region: lower % 2 == 1 }
    }

    pub(crate) fn select_partners(&mut self, now_us: i64) {
        let is_linked = |slot: usize| self.links.values().any(|link| link.slot == slot);
        let is_candidate = |slot: &usize| {
            let known = &self.slots[*slot];
            let is_free =
                *slot != self.membership.own_slot && !is_linked(*slot) && !self.dialing.contains_key(slot);
            is_free && known.address.is_some() && now_us >= known.dial_at_us
        };
        let mut candidates: Vec<usize> = (0..self.slots.len()).filter(is_candidate).collect();
        self.rng().shuffle(&mut candidates);
        let remote = self.remote_target(now_us);
        // Planners of the preferred region come first; the others are used if it has none.
        candidates
            .sort_by_key(|slot| !self.is_local(*slot) && self.is_remote_region(*slot) != remote.other_region);
        let swaps = now_us >= self.swap_at_us;
        for (local, wanted) in [(true, self.config.partners), (false, remote.count)] {
            let candidates: Vec<usize> =
                candidates.iter().copied().filter(|slot| self.is_local(*slot) == local).collect();
            if let Some(link) = self.link_to_close(local, wanted, &remote, &candidates, swaps) {
                self.close_link(now_us, link);
            }
            let missing = wanted.saturating_sub(self.partner_count(local));
            for slot in candidates.into_iter().take(missing) {
                self.dial(now_us, slot);
            }
        }
        if swaps {
            self.swap_at_us = now_us + self.config.partner_swap_us;
        }
    }

    /// Returns the link to close because there are too many, because one is due to be replaced, or
    /// because a candidate is in the preferred region and the linked planner is not.
    fn link_to_close(
        &mut self,
        local: bool,
        wanted: usize,
        remote: &RemoteTarget,
        candidates: &[usize],
        swaps: bool,
    ) -> Option<u64> {
        let count = self.partner_count(local);
        let outbound =
            || self.links.iter().filter(|(_, link)| link.outbound && self.is_local(link.slot) == local);
        let fits = |slot: usize| self.is_remote_region(slot) == remote.other_region;
        let has_better = !local && candidates.first().is_some_and(|slot| fits(*slot));
        if count > wanted || swaps && count == wanted && !candidates.is_empty() {
            let all: Vec<u64> = outbound().map(|(id, _)| *id).collect();
            return self.rng().choice(all);
        }
        let mut worse = outbound().filter(|(_, link)| has_better && !fits(link.slot));
        worse.next().map(|(id, _)| *id)
    }

    fn dial(&mut self, now_us: i64, slot: usize) {
        let Some(peer) = &self.slots[slot].address else { return };
        let address = peer.address.clone();
        self.dialing.insert(slot, now_us);
        self.actions.push_back(GossipAction::Dial { slot, address });
    }
}
