//! A voter of the quorum: it has one vote for each lease and grants it to one client at a time.
use crate::{LeaseConfig, LeaseMetadata, VoteReply};
use std::collections::BTreeMap;

/// The most leases for which a voter stores votes; requests for any further lease are refused.
pub const MAX_LEASES: usize = 4096;

/// What a voter stores about one lease. `C` is the type of client names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredVote<C> {
    /// The highest token that the voter voted for or that a client released.
    pub token: u64,
    /// The client that has the vote; `None` if the vote was released.
    pub holder: Option<C>,
    /// When the vote expires, in microseconds of the voter's clock.
    pub expires_at_us: i64,
    /// Whether the client renewed the vote under its token: then it holds the lease, rather than
    /// being one of several clients that request it.
    pub renewed: bool,
    /// The newest metadata that a holder wrote.
    pub metadata: LeaseMetadata,
}

/// A lease that the voter never voted for.
impl<C> Default for StoredVote<C> {
    fn default() -> Self {
        StoredVote {
            token: 0,
            holder: None,
            expires_at_us: 0,
            renewed: false,
            metadata: LeaseMetadata::default(),
        }
    }
}

/// What a voter that lost its state recovers about one lease from another voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecoveredVote<L, C> {
    /// The lease's name.
    pub lease: L,
    /// The highest token that the other voter knows.
    pub token: u64,
    /// The client that held the lease under that token; `None` if no holder is known.
    pub holder: Option<C>,
    /// The newest metadata that a holder wrote.
    pub metadata: LeaseMetadata,
}

/// A voter's state. `L` is the type of lease names, `C` the type of client names; each process is a
/// client with a name of its own.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter<L, C> {
    config: LeaseConfig,
    /// The voter grants no vote before this time, in microseconds of its clock.
    votes_from_us: i64,
    /// The progress of recovery from the other voters, see `recover_from`; `None` if the voter's
    /// state is complete.
    recovery: Option<Recovery>,
    votes: BTreeMap<L, StoredVote<C>>,
    /// Leases that were transferred: the only client that may get the vote, and until when. A
    /// refusal that turns out to be unnecessary does no harm.
    transfers: BTreeMap<L, (C, i64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Recovery {
    voters: usize,
    /// By voter that has reported: whether that voter's own state was complete.
    reported: BTreeMap<usize, bool>,
}

impl<L: Ord + Clone, C: PartialEq + Clone> Voter<L, C> {
    /// Creates a voter of a quorum that has never voted.
    pub fn new(config: LeaseConfig, now_us: i64) -> Self {
        let (votes, transfers) = (BTreeMap::new(), BTreeMap::new());
        Voter { config, votes_from_us: now_us, recovery: None, votes, transfers }
    }

    /// Creates a voter that lost its state, in a quorum of `voters`. It may have voted just before
    /// the loss, so it waits until such a vote has expired. It may also have been one of only two
    /// voters that knew the newest token or metadata, so it recovers them from the other voters.
    pub fn without_state(config: LeaseConfig, now_us: i64, voters: usize) -> Self {
        let recovery = (voters > 1).then(|| Recovery { voters, reported: BTreeMap::new() });
        let votes_from_us = now_us + config.recovery_wait_us();
        Voter { votes_from_us, recovery, ..Voter::new(config, now_us) }
    }

    /// Creates a voter from the votes that it stored in an incarnation in which `is_voting` was
    /// true. Without that condition, a voter that restarts soon after it lost its state could vote
    /// while votes from before the loss are still valid. The length of the downtime is unknown, so
    /// granted votes stay valid for a whole lease duration plus the clock drift.
    pub fn restored(
        config: LeaseConfig,
        now_us: i64,
        votes: impl IntoIterator<Item = (L, StoredVote<C>)>,
    ) -> Self {
        let mut voter = Voter { votes: votes.into_iter().collect(), ..Voter::new(config, now_us) };
        let expires_at_us = now_us + config.recovery_wait_us();
        voter.votes.values_mut().for_each(|vote| vote.expires_at_us = expires_at_us);
        voter
    }

    /// Returns the votes from which another voter recovers its state. A client that requested a
    /// lease but never held it is left out: if it used the same token as another client, it could
    /// otherwise become a second holder.
    pub fn votes_for_recovery(&self) -> Vec<RecoveredVote<L, C>> {
        let recovered = |(lease, vote): (&L, &StoredVote<C>)| RecoveredVote {
            lease: lease.clone(),
            token: vote.token,
            holder: vote.holder.clone().filter(|_| vote.renewed),
            metadata: vote.metadata.clone(),
        };
        self.votes.iter().map(recovered).collect()
    }

    /// Merges the votes that another voter reported; `is_complete` tells whether that voter's own
    /// state is complete. Recovery ends once every majority that this voter was part of has another
    /// member among the complete voters that reported, or once all other voters have reported.
    pub fn recover_from(
        &mut self,
        other: usize,
        is_complete: bool,
        votes: impl IntoIterator<Item = RecoveredVote<L, C>>,
    ) {
        let Some(recovery) = &mut self.recovery else { return };
        recovery.reported.insert(other, is_complete);
        let complete = recovery.reported.values().filter(|is_complete| **is_complete).count();
        let voters = recovery.voters;
        let enough = complete > voters - (voters / 2 + 1) || recovery.reported.len() + 1 >= voters;
        for recovered in votes {
            let vote = self.votes.entry(recovered.lease).or_default();
            // If the holder of this token were left out, the voter would refuse its renewals until
            // there is a newer holder.
            if recovered.token > vote.token || (recovered.token == vote.token && vote.holder.is_none()) {
                vote.renewed = recovered.holder.is_some();
                vote.holder = recovered.holder;
            }
            vote.token = vote.token.max(recovered.token);
            vote.metadata = recovered.metadata.max(std::mem::take(&mut vote.metadata));
        }
        if enough {
            self.recovery = None;
        }
    }

    /// Returns whether the voter grants votes. A voter may be restored only from votes that it
    /// stored while it granted votes.
    pub fn is_voting(&self, now_us: i64) -> bool {
        now_us >= self.votes_from_us && self.recovery.is_none()
    }

    /// Returns whether the voter has everything that it ever stored, or has recovered it.
    pub fn is_complete(&self) -> bool {
        self.recovery.is_none()
    }

    /// Handles a client's request for the vote, under a token of its choice or, for a renewal,
    /// under the token that it has. The vote stores the client's metadata, if the request carries
    /// any.
    pub fn request_vote(
        &mut self,
        now_us: i64,
        lease: &L,
        client: &C,
        token: u64,
        metadata: Option<LeaseMetadata>,
    ) -> VoteReply {
        let config = self.config;
        if !self.is_voting(now_us) {
            let retry_after_us = (self.votes_from_us - now_us).max(config.clock_drift_us);
            return VoteReply::Refused { token: 0, retry_after_us };
        }
        if self.votes.len() >= MAX_LEASES && !self.votes.contains_key(lease) {
            return VoteReply::Refused { token: 0, retry_after_us: config.duration_us };
        }
        let vote = self.votes.entry(lease.clone()).or_default();
        let transferred = self.transfers.get(lease);
        if let Some((_, until)) = transferred.filter(|(to, until)| to != client && now_us < *until) {
            return VoteReply::Refused { token: vote.token, retry_after_us: until - now_us };
        }
        let renews = vote.holder.as_ref() == Some(client) && vote.token == token;
        if !renews {
            if vote.holder.is_some() && now_us < vote.expires_at_us {
                // One of several requesting clients usually releases its vote soon, so the others
                // need not wait until it expires.
                let longest_us = if vote.renewed { config.duration_us } else { config.round_timeout_us() };
                let retry_after_us = (vote.expires_at_us - now_us).min(longest_us);
                return VoteReply::Refused { token: vote.token, retry_after_us };
            }
            if token <= vote.token {
                return VoteReply::Refused { token: vote.token, retry_after_us: 0 };
            }
        }
        // The transfer ends only once its client has the vote: the client's first request may be
        // refused because of its token, and other clients would then get the lease.
        self.transfers.remove(lease);
        vote.renewed = renews;
        (vote.token, vote.holder) = (token, Some(client.clone()));
        vote.expires_at_us = now_us + config.duration_us;
        let before = vote.metadata.clone();
        if let Some(metadata) = metadata.filter(|new| new.token == token && *new > vote.metadata) {
            vote.metadata = metadata;
        }
        VoteReply::Granted { metadata: before }
    }

    /// Releases the vote of a client that did not get the lease or no longer acts on it. Returns
    /// whether this freed the vote of a holder, which the voter announces to other clients. The
    /// token is stored, so a late request under the same token is refused.
    pub fn release_vote(&mut self, lease: &L, client: &C, token: u64) -> bool {
        let Some(vote) = self.votes.get_mut(lease) else { return false };
        if vote.holder.as_ref() == Some(client) && vote.token == token {
            vote.holder = None;
            return vote.renewed;
        } else if vote.holder.is_none() {
            vote.token = vote.token.max(token);
        }
        false
    }

    /// Reserves a released vote for the client `to`: for one lease duration no other client gets
    /// it.
    pub fn transfer(&mut self, now_us: i64, lease: &L, to: C) {
        if self.votes.get(lease).is_some_and(|vote| vote.holder.is_none()) {
            self.transfers.insert(lease.clone(), (to, now_us + self.config.duration_us));
        }
    }

    /// Returns what the voter stores about one lease.
    pub fn stored_vote(&self, lease: &L) -> Option<&StoredVote<C>> {
        self.votes.get(lease)
    }

    /// Returns all stored votes, for the voter's state file and for operators.
    pub fn stored_votes(&self) -> impl Iterator<Item = (&L, &StoredVote<C>)> {
        self.votes.iter()
    }

    /// Returns the time from which the voter grants votes if its state is complete, in
    /// microseconds.
    pub fn votes_from_us(&self) -> i64 {
        self.votes_from_us
    }
}
