//! Selects the slot that a spare process requests: a random one among the slots for which no
//! majority of votes is granted, so that many spares spread over many slots.
use std::collections::{BTreeMap, BTreeSet};

/// The result of choosing a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotChoice<L> {
    /// The slot to request from now on; `None` if the choice has not changed or no slot is free.
    pub request: Option<L>,
    /// The slot to release first, because a majority granted it to another process.
    pub release: Option<L>,
}

/// Selects the slot that one process requests. `L` is the type of lease names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotSelector<L> {
    slots: Vec<L>,
    voters: usize,
    /// By voter: the slots for which its vote is granted to other processes, as it last reported.
    taken: BTreeMap<usize, BTreeSet<L>>,
    seed: u64,
    choices: u64,
    requested: Option<L>,
}

impl<L: Ord + Clone> SlotSelector<L> {
    /// Creates a selector for a process that may take any of `slots`, which `voters` voters grant.
    /// `seed` seeds the random choice.
    pub fn new(slots: Vec<L>, voters: usize, seed: u64) -> Self {
        SlotSelector { slots, voters, taken: BTreeMap::new(), seed, choices: 0, requested: None }
    }

    /// Records the leases for which a voter reported that its vote is granted to other processes.
    pub fn set_taken(&mut self, voter: usize, taken: impl IntoIterator<Item = L>) {
        self.taken.insert(voter, taken.into_iter().collect());
    }

    /// Records that a voter reported its vote for `slot` as free.
    pub fn vote_freed(&mut self, voter: usize, slot: &L) {
        self.taken.entry(voter).or_default().remove(slot);
    }

    /// Drops the reports of a voter that is no longer connected. Otherwise a slot whose holder died
    /// at the same time would count as taken forever.
    pub fn forget_voter(&mut self, voter: usize) {
        self.taken.remove(&voter);
    }

    /// Returns the slot that is requested or held.
    pub fn requested(&self) -> Option<&L> {
        self.requested.as_ref()
    }

    fn is_taken(&self, slot: &L) -> bool {
        2 * self.taken.values().filter(|taken| taken.contains(slot)).count() > self.voters
    }

    /// Chooses the slot to request from now on, and the slot to release for it. Nothing changes
    /// while no slot is free or no voter has reported.
    pub fn choose(&mut self) -> SlotChoice<L> {
        let lost = self.requested.as_ref().is_some_and(|slot| self.is_taken(slot));
        let release = if lost { self.requested.take() } else { None };
        if self.requested.is_some() || self.taken.is_empty() {
            return SlotChoice { request: None, release };
        }
        let free: Vec<&L> = self.slots.iter().filter(|slot| !self.is_taken(slot)).collect();
        if free.is_empty() {
            return SlotChoice { request: None, release };
        }
        self.choices += 1;
        let rng = &mut fastrand::Rng::with_seed(self.seed.wrapping_add(self.choices << 20));
        self.requested = Some(free[rng.usize(0..free.len())].clone());
        SlotChoice { request: self.requested.clone(), release }
    }

    /// Records that the slot is no longer held, so that the next choice starts afresh.
    pub fn slot_lost(&mut self) {
        self.requested = None;
    }
}
