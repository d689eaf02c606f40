//! Which slot a spare requests: one that no majority of votes is granted for, at random, so that many spares spread
//! over many slots.
use std::collections::{BTreeMap, BTreeSet};

/// What changes by a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotChoice<L> {
    /// The slot to request from now on.
    pub request: Option<L>,
    /// The slot to release before that: it turned out to be another's.
    pub release: Option<L>,
}

/// Chooses the slot that one process requests. `L` is the type of lease names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotSelector<L> {
    slots: Vec<L>,
    voters: usize,
    /// By voter: the slots that its votes are granted for, as it last reported.
    taken: BTreeMap<usize, BTreeSet<L>>,
    seed: u64,
    choices: u64,
    requested: Option<L>,
}

impl<L: Ord + Clone> SlotSelector<L> {
    /// A process that may take any of these slots, among so many voters; the choice is drawn from `seed`.
    pub fn new(slots: Vec<L>, voters: usize, seed: u64) -> Self {
        SlotSelector { slots, voters, taken: BTreeMap::new(), seed, choices: 0, requested: None }
    }

    /// A voter reported for which leases its votes are granted to others.
    pub fn set_taken(&mut self, voter: usize, taken: impl IntoIterator<Item = L>) {
        self.taken.insert(voter, taken.into_iter().collect());
    }

    /// A voter reported that its vote is free.
    pub fn vote_freed(&mut self, voter: usize, slot: &L) {
        self.taken.entry(voter).or_default().remove(slot);
    }

    /// A voter is not connected any more: a slot whose holder died with it would stay taken for ever.
    pub fn forget_voter(&mut self, voter: usize) {
        self.taken.remove(&voter);
    }

    /// The slot that is requested or held.
    pub fn requested(&self) -> Option<&L> {
        self.requested.as_ref()
    }

    fn is_taken(&self, slot: &L) -> bool {
        2 * self.taken.values().filter(|taken| taken.contains(slot)).count() > self.voters
    }

    /// The slot to request from now on, and the one to release for it. Nothing changes while no slot is free or no
    /// voter has reported.
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

    /// The slot is held no more; the next choice starts anew.
    pub fn slot_lost(&mut self) {
        self.requested = None;
    }
}
