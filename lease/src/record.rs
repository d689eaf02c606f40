//! Deltas of a voter's record, which holds its stored votes. A voter numbers the changes of its
//! record by a revision that counts within one incarnation of the voter. A request names the
//! incarnation and revision that the client has; the reply contains the leases that changed since,
//! or all leases if the voter does not know that incarnation. Revisions of different voters are
//! unrelated, so a client tracks one for each voter.
//!
//! No change is missed: a delta names the revision that it starts from and the revision that it
//! brings the client up to. A client accepts a delta only if it has the first, and records the
//! second only once it has applied the whole delta. A duplicated or late delta either contains
//! nothing new or belongs to an earlier incarnation, after which the client requests the whole
//! record again. No older version is reported after a newer one: the client remembers the newest
//! version of each lease and passes on only higher ones, whichever voter reports them.
use crate::voter::StoredVote;
use std::collections::{BTreeMap, BTreeSet};

/// A state of one voter's record: an incarnation of the voter and a revision within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RevisionState {
    /// The start time of the voter; 0 if there is no state, or in a delta of an older build.
    pub incarnation: u64,
    /// The number of changes of the record that the state includes.
    pub revision: u64,
}

/// The range of revisions that a delta covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordDelta {
    /// The delta contains the changes after this revision; 0 if it contains the whole record.
    pub since: u64,
    /// The state that a client has once it has applied the delta.
    pub up_to: RevisionState,
}

/// The fields whose change starts a new revision. The expiry of a vote is a change; a later expiry
/// time is not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RecordFingerprint {
    token: u64,
    is_held: bool,
    renewed: bool,
    metadata: LeaseVersion,
}

/// The version of a lease, by which reports are ordered: its token, then the number of the metadata
/// written under that token.
pub type LeaseVersion = (u64, u64);

/// The voter's side: the revision at which each lease last changed. `L` is the type of lease names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RevisionLog<L> {
    current: RevisionState,
    changed: BTreeMap<L, (RecordFingerprint, u64)>,
}

impl<L: Ord + Clone> RevisionLog<L> {
    /// Creates an empty log. `incarnation` must be above 0 and differ at each start of the voter.
    pub fn new(incarnation: u64) -> Self {
        RevisionLog { current: RevisionState { incarnation, revision: 1 }, changed: BTreeMap::new() }
    }

    /// Compares the votes as they are stored now with the logged ones and returns the delta for a
    /// client that has `client_state`.
    pub fn delta_for<'a, C: 'a>(
        &mut self,
        now_us: i64,
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
                is_held: vote.holder.is_some() && now_us < vote.expires_at_us,
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

    /// Returns whether a delta must contain this lease. A lease that was never logged is included.
    pub fn includes(&self, delta: &RecordDelta, lease: &L) -> bool {
        self.changed.get(lease).is_none_or(|(_, changed_at)| *changed_at > delta.since)
    }
}

/// The client's side: the state that it has of each voter's record, separately for each prefix of
/// lease names (`P`), and the newest version reported of each lease (`L`).
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
    /// Returns the state to name in a request to this voter.
    pub fn state(&self, voter: usize, prefix: &P) -> RevisionState {
        self.states.get(&(voter, prefix.clone())).copied().unwrap_or_default()
    }

    /// Returns whether a delta may be applied. A delta with incarnation 0 comes from an older
    /// build, which reports the whole record each time.
    pub fn accepts(&self, voter: usize, prefix: &P, delta: &RecordDelta) -> bool {
        let state = self.state(voter, prefix);
        if delta.up_to.incarnation == state.incarnation && state.incarnation != 0 {
            delta.since <= state.revision
        } else {
            delta.since == 0
        }
    }

    /// Returns whether a version is above the newest one that was reported of the lease.
    pub fn is_newer(&self, lease: &L, version: LeaseVersion) -> bool {
        self.newest.get(lease).is_none_or(|newest| version > *newest)
    }

    /// Records the state of an accepted delta, once all of its newer versions were applied.
    pub fn applied(
        &mut self,
        voter: usize,
        prefix: &P,
        delta: &RecordDelta,
        newer: impl IntoIterator<Item = (L, LeaseVersion)>,
    ) {
        if delta.up_to.incarnation != 0 {
            self.states.insert((voter, prefix.clone()), delta.up_to);
        }
        self.newest.extend(newer);
    }
}

/// The leases that are held, by voter, as the voter's deltas report them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolders<L>(BTreeMap<usize, BTreeSet<L>>);

impl<L> Default for LeaseHolders<L> {
    fn default() -> Self {
        LeaseHolders(BTreeMap::new())
    }
}

impl<L: Ord> LeaseHolders<L> {
    /// Applies an accepted delta of a voter, which lists each lease with whether it is held.
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

    /// Returns the leases that are held according to the last delta of this voter.
    pub fn held_at(&self, voter: usize) -> impl Iterator<Item = &L> {
        self.0.get(&voter).into_iter().flatten()
    }
}
