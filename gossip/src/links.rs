//! Links to other planners: which are dialled, exchanged for others, and given up.
use crate::{Gossip, GossipAction, InvalidSummary, Payload};
use std::collections::{BTreeMap, BTreeSet};

/// A planner at the other end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LinkedPeer {
    /// Its slot.
    pub slot: usize,
    /// The token under which it holds that slot, as it says.
    pub token: u64,
    /// Whether this side dialled.
    pub outbound: bool,
}

/// What the other end of a link has of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerVersion {
    pub token: u64,
    pub number: u64,
    /// Since when it is known to have it.
    pub since_us: i64,
}

/// A request that waits for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OpenRequest {
    pub id: u64,
    pub sent_us: i64,
}

/// A reply of which it is not known that it came through.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UnconfirmedReply {
    pub request_id: u64,
    /// By subject, what the other end has once it did.
    pub versions: Vec<(usize, PeerVersion)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Link {
    pub slot: usize,
    pub token: u64,
    pub outbound: bool,
    pub open: Option<OpenRequest>,
    pub requested_us: i64,
    /// The last request whose reply was accepted.
    pub acknowledged: u64,
    /// Subjects of which the other end must be told anew what is held here.
    pub corrections: BTreeSet<usize>,
    /// The last request of the other end.
    pub peer_request_id: u64,
    /// It still waits for its reply.
    pub owes_reply: bool,
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
            owes_reply: false,
            peer_versions: BTreeMap::new(),
            unconfirmed: None,
        }
    }
}

/// The planners of other zones that this one is to link to.
struct RemoteTarget {
    count: usize,
    /// In another region, rather than in its own.
    other_region: bool,
}

impl<P: Payload> Gossip<P> {
    /// A link to a planner is up, whoever dialled. It is asked at once: a planner that has just acquired its
    /// slot knows nothing.
    ///
    /// # Errors
    /// The peer holds no slot of another planner, or held its slot earlier: the link is to be closed.
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

    /// A link is gone.
    pub fn link_down(&mut self, now_us: i64, link: u64) {
        if let Some(gone) = self.links.remove(&link).filter(|gone| gone.outbound) {
            self.slots[gone.slot].dial_at_us = now_us + self.config.timeout_us;
        }
    }

    /// A planner that was dialled does not answer.
    pub fn dial_failed(&mut self, now_us: i64, slot: usize) {
        self.dialing.remove(&slot);
        self.slots[slot].dial_at_us = now_us + self.config.timeout_us;
    }

    /// The slot of the planner at the other end of a link.
    pub fn peer_slot(&self, link: u64) -> Option<usize> {
        self.links.get(&link).map(|link| link.slot)
    }

    /// The slots of the planners to which a link is up.
    pub fn linked_slots(&self) -> impl Iterator<Item = usize> + '_ {
        self.links.values().map(|link| link.slot)
    }

    pub(crate) fn close_link(&mut self, now_us: i64, link: u64) {
        self.link_down(now_us, link);
        self.actions.push_back(GossipAction::CloseLink { link });
    }

    /// Closes links with a request open for too long, and forgets dials without a link for as long.
    pub(crate) fn give_up_stalled(&mut self, now_us: i64) {
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

    /// Planners that it dialled, linked or not yet, in its zone or beyond it.
    fn partner_count(&self, near: bool) -> usize {
        let linked = self.links.values().filter(|link| link.outbound).map(|link| link.slot);
        linked.chain(self.dialing.keys().copied()).filter(|slot| self.is_near(*slot) == near).count()
    }

    /// Some planners of a zone link to other zones: the lowest that are alive, each second one to another
    /// region; each to more where its zone has few to talk to.
    fn remote_target(&self, now_us: i64) -> RemoteTarget {
        let nothing = RemoteTarget { count: 0, other_region: false };
        if self.config.flat {
            return nothing;
        }
        let own_slot = self.membership.own_slot;
        let near_peers = || (0..self.slots.len()).filter(|slot| *slot != own_slot && self.is_near(*slot));
        let lower =
            near_peers().filter(|slot| *slot < own_slot && self.counts_as_alive(now_us, *slot)).count();
        if lower >= self.config.remote_links {
            return nothing;
        }
        let count = 1 + self.config.partners.saturating_sub(near_peers().count());
        RemoteTarget { count, other_region: lower % 2 == 1 }
    }

    pub(crate) fn look_for_partners(&mut self, now_us: i64) {
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
        // Who links to its own region links to another where its own has nobody else, and the other way round.
        candidates
            .sort_by_key(|slot| !self.is_near(*slot) && self.is_remote_region(*slot) != remote.other_region);
        let swaps = now_us >= self.swap_at_us;
        for (near, wanted) in [(true, self.config.partners), (false, remote.count)] {
            let candidates: Vec<usize> =
                candidates.iter().copied().filter(|slot| self.is_near(*slot) == near).collect();
            if let Some(link) = self.link_to_give_up(near, wanted, &remote, &candidates, swaps) {
                self.close_link(now_us, link);
            }
            let missing = wanted.saturating_sub(self.partner_count(near));
            for slot in candidates.into_iter().take(missing) {
                self.dial(now_us, slot);
            }
        }
        if swaps {
            self.swap_at_us = now_us + self.config.partner_swap_us;
        }
    }

    /// The link that is closed as there are too many, as it is time to exchange one, or as a candidate is in the
    /// region that is looked for and this one is not.
    fn link_to_give_up(
        &mut self,
        near: bool,
        wanted: usize,
        remote: &RemoteTarget,
        candidates: &[usize],
        swaps: bool,
    ) -> Option<u64> {
        let count = self.partner_count(near);
        let outbound =
            || self.links.iter().filter(|(_, link)| link.outbound && self.is_near(link.slot) == near);
        let fits = |slot: usize| self.is_remote_region(slot) == remote.other_region;
        let has_better = !near && candidates.first().is_some_and(|slot| fits(*slot));
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
