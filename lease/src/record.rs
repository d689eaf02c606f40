//! What a voter stores, reported as deltas. A voter numbers the changes of its record by a revision of its own
//! incarnation; a request names the incarnation and revision that the client has, and the reply brings the leases that
//! changed since, or all of them where that incarnation is not known. Revisions of two voters have nothing to do with
//! each other, so a client tracks one for each.
//!
//! Why nothing is missed: a delta names the revision from which on it reports, and the one that it brings the client
//! up to; it is accepted only where the client has the first, and the second counts only once all of it was applied. A
//! doubled or late delta brings nothing new, or is one of an incarnation that is over, with which the voter is asked
//! for everything again. Why nothing older is reported: of each lease the newest version reported is remembered, and
//! only what is above it is newer, whichever voter reports it.
use crate::voter::StoredVote;
use std::collections::{BTreeMap, BTreeSet};

/// The incarnation of a voter, by the time of its start, and the revision of its record there. 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RevisionState {
    /// The time of the voter's start; 0: none.
    pub incarnation: u64,
    /// How many changes of its record the state includes.
    pub revision: u64,
}

/// What a delta covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordDelta {
    /// It holds what changed after this revision; 0: everything.
    pub since: u64,
    /// What a client has once it applied the delta.
    pub up_to: RevisionState,
}

/// What counts as a change: that a vote expired, not that a holder renewed it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RecordFingerprint {
    token: u64,
    is_held: bool,
    renewed: bool,
    metadata: LeaseVersion,
}

/// A lease's token, and the number of the metadata written under it: versions of a lease are ordered by both.
pub type LeaseVersion = (u64, u64);

/// A voter's side: at which revision each lease changed last. `L` is the type of lease names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevisionLog<L> {
    current: RevisionState,
    changed: BTreeMap<L, (RecordFingerprint, u64)>,
}

impl<L: Ord + Clone> RevisionLog<L> {
    /// `incarnation` is over 0, and another at each start of the voter.
    pub fn new(incarnation: u64) -> Self {
        RevisionLog { current: RevisionState { incarnation, revision: 1 }, changed: BTreeMap::new() }
    }

    /// The delta for a client that has this state, of the votes as they are stored now.
    pub fn delta_for<'a, C: 'a>(
        &mut self,
        now: i64,
        client_state: RevisionState,
        votes: impl Iterator<Item = (&'a L, &'a StoredVote<C>)>,
    ) -> RecordDelta
    where
        L: 'a,
    {
        let next = self.current.revision + 1;
        for (lease, vote) in votes {
            let fingerprint = RecordFingerprint {
                token: vote.token,
                is_held: vote.holder.is_some() && now < vote.expires_at_us,
                renewed: vote.renewed,
                metadata: (vote.metadata.token, vote.metadata.number),
            };
            if self.changed.get(lease).is_none_or(|(before, _)| *before != fingerprint) {
                self.changed.insert(lease.clone(), (fingerprint, next));
                self.current.revision = next;
            }
        }
        let is_known = client_state.incarnation == self.current.incarnation
            && client_state.revision <= self.current.revision;
        RecordDelta { since: if is_known { client_state.revision } else { 0 }, up_to: self.current }
    }

    /// Whether a delta has to name this lease. One that was not looked at is named.
    pub fn includes(&self, delta: &RecordDelta, lease: &L) -> bool {
        self.changed.get(lease).is_none_or(|(_, changed_at)| *changed_at > delta.since)
    }
}

/// A client's side: what it has of each voter's record, by a part of it (`P`), and the newest version reported of each
/// lease (`L`).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevisionTracker<P, L> {
    states: BTreeMap<(usize, P), RevisionState>,
    newest: BTreeMap<L, LeaseVersion>,
}

impl<P, L> Default for RevisionTracker<P, L> {
    fn default() -> Self {
        RevisionTracker { states: BTreeMap::new(), newest: BTreeMap::new() }
    }
}

impl<P: Ord + Clone, L: Ord + Clone> RevisionTracker<P, L> {
    /// The state to name in a request to this voter.
    pub fn state(&self, voter: usize, part: &P) -> RevisionState {
        self.states.get(&(voter, part.clone())).copied().unwrap_or_default()
    }

    /// Whether a delta may be applied. One of an older build (incarnation 0) reports everything each time.
    pub fn accepts(&self, voter: usize, part: &P, delta: &RecordDelta) -> bool {
        let state = self.state(voter, part);
        if delta.up_to.incarnation == state.incarnation && state.incarnation != 0 {
            delta.since <= state.revision
        } else {
            delta.since == 0
        }
    }

    /// Whether a version is above the newest one reported of a lease.
    pub fn is_newer(&self, lease: &L, version: LeaseVersion) -> bool {
        self.newest.get(lease).is_none_or(|newest| version > *newest)
    }

    /// All newer versions of an accepted delta were applied.
    pub fn applied(
        &mut self,
        voter: usize,
        part: &P,
        delta: &RecordDelta,
        newer: impl IntoIterator<Item = (L, LeaseVersion)>,
    ) {
        if delta.up_to.incarnation != 0 {
            self.states.insert((voter, part.clone()), delta.up_to);
        }
        self.newest.extend(newer);
    }
}

/// Which leases are held, as each voter's deltas report it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolders<L>(BTreeMap<usize, BTreeSet<L>>);

impl<L> Default for LeaseHolders<L> {
    fn default() -> Self {
        LeaseHolders(BTreeMap::new())
    }
}

impl<L: Ord> LeaseHolders<L> {
    /// An accepted delta of a voter names these leases, each held or not.
    pub fn update(&mut self, voter: usize, delta: &RecordDelta, leases: impl IntoIterator<Item = (L, bool)>) {
        let held = self.0.entry(voter).or_default();
        if delta.since == 0 {
            held.clear();
        }
        for (lease, is_held) in leases {
            if is_held {
                held.insert(lease);
            } else {
                held.remove(&lease);
            }
        }
    }

    /// Leases that are held, as this voter reported last.
    pub fn held_at(&self, voter: usize) -> impl Iterator<Item = &L> {
        self.0.get(&voter).into_iter().flatten()
    }
}
