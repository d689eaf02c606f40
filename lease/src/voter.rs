//! A voter: one vote for each lease, granted to one client at a time.
use crate::{LeaseConfig, LeaseMetadata, VoteReply};
use std::collections::BTreeMap;

/// A voter stores votes for at most so many leases; requests for others are refused.
pub const MAX_LEASES: usize = 4096;

/// What a voter stores of one lease. `C` is the type of client names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredVote<C> {
    /// The highest token that it voted for, or that was released.
    pub token: u64,
    /// Who has the vote; `None`: released.
    pub holder: Option<C>,
    /// Until when the vote is valid, in microseconds of the voter's clock.
    pub expires_at_us: i64,
    /// The client renewed under its token: it is a holder, not one of many that try.
    pub renewed: bool,
    /// What a holder left.
    pub metadata: LeaseMetadata,
}

/// Nothing was voted for.
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

/// What a voter that lost its state recovers of one lease from another voter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RecoveredVote<L, C> {
    /// The lease's name.
    pub lease: L,
    /// The highest token that the other voter knows.
    pub token: u64,
    /// Who held the lease under that token.
    pub holder: Option<C>,
    /// What a holder left.
    pub metadata: LeaseMetadata,
}

/// `L` is the type of lease names; `C` that of client names, each process another.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter<L, C> {
    config: LeaseConfig,
    /// No vote is given before this time.
    votes_from_us: i64,
    /// Which of the other voters must still report what they store: see `recover_from`.
    recovery: Option<Recovery>,
    votes: BTreeMap<L, StoredVote<C>>,
    /// Leases that were transferred: to whom alone the vote is free, and until when. A refusal harms nothing.
    transfers: BTreeMap<L, (C, i64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Recovery {
    voters: usize,
    /// Who reported, and whether it had everything that it ever stored.
    reported: BTreeMap<usize, bool>,
}

impl<L: Ord + Clone, C: PartialEq + Clone> Voter<L, C> {
    /// A voter of a quorum that never voted before.
    pub fn new(config: LeaseConfig, now: i64) -> Self {
        let (votes, transfers) = (BTreeMap::new(), BTreeMap::new());
        Voter { config, votes_from_us: now, recovery: None, votes, transfers }
    }

    /// A voter without what it stored, among so many in all. It may have voted a moment ago: it waits until that vote
    /// has expired. It may have been one of the two that knew the newest token or metadata: it recovers them from
    /// the others.
    pub fn without_state(config: LeaseConfig, now: i64, voters: usize) -> Self {
        let recovery = (voters > 1).then(|| Recovery { voters, reported: BTreeMap::new() });
        let votes_from_us = now + config.recovery_wait_us();
        Voter { votes_from_us, recovery, ..Voter::new(config, now) }
    }

    /// A voter with what it stored in an incarnation for which `is_voting` was true: a start soon after another that
    /// had lost everything would else vote while what was voted before that is still valid. How long it was away is
    /// not known: granted votes are valid for a whole lease duration more.
    pub fn restored(
        config: LeaseConfig,
        now: i64,
        votes: impl IntoIterator<Item = (L, StoredVote<C>)>,
    ) -> Self {
        let mut voter = Voter { votes: votes.into_iter().collect(), ..Voter::new(config, now) };
        let expires_at_us = now + config.recovery_wait_us();
        voter.votes.values_mut().for_each(|vote| vote.expires_at_us = expires_at_us);
        voter
    }

    /// What another voter that lost its state recovers from this one. A client that only requested a lease is not
    /// named: under a token that it shares with another it could else become a second holder.
    pub fn votes_for_recovery(&self) -> Vec<RecoveredVote<L, C>> {
        let recovered = |(lease, vote): (&L, &StoredVote<C>)| RecoveredVote {
            lease: lease.clone(),
            token: vote.token,
            holder: vote.holder.clone().filter(|_| vote.renewed),
            metadata: vote.metadata.clone(),
        };
        self.votes.iter().map(recovered).collect()
    }

    /// Another voter reported what it stores, and whether that is everything that it ever stored. Enough have reported
    /// once every majority that this voter was part of has another member among them; or once all others have, as
    /// there is nobody more to ask.
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
            // Without its name, the holder of that very token would be refused until there is another.
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

    /// Whether it gives votes: only from then on what it stores is enough for its next incarnation.
    pub fn is_voting(&self, now: i64) -> bool {
        now >= self.votes_from_us && self.recovery.is_none()
    }

    /// Whether it has everything that it ever stored, or has recovered it.
    pub fn is_complete(&self) -> bool {
        self.recovery.is_none()
    }

    /// A client requests a lease under a token of its choice, or renews it under the one that it has. The vote stores
    /// its metadata, if it brings any.
    pub fn request_vote(
        &mut self,
        now: i64,
        lease: &L,
        client: &C,
        token: u64,
        metadata: Option<LeaseMetadata>,
    ) -> VoteReply {
        let config = self.config;
        if !self.is_voting(now) {
            let retry_after_us = (self.votes_from_us - now).max(config.clock_drift_us);
            return VoteReply::Refused { token: 0, retry_after_us };
        }
        if self.votes.len() >= MAX_LEASES && !self.votes.contains_key(lease) {
            return VoteReply::Refused { token: 0, retry_after_us: config.duration_us };
        }
        let vote = self.votes.entry(lease.clone()).or_default();
        let transferred = self.transfers.get(lease);
        if let Some((_, until)) = transferred.filter(|(to, until)| to != client && now < *until) {
            return VoteReply::Refused { token: vote.token, retry_after_us: until - now };
        }
        let renews = vote.holder.as_ref() == Some(client) && vote.token == token;
        if !renews {
            if vote.holder.is_some() && now < vote.expires_at_us {
                // One of many clients mostly releases its vote at once: the others need not wait for it to expire.
                let longest = if vote.renewed { config.duration_us } else { config.round_timeout_us() };
                let retry_after_us = (vote.expires_at_us - now).min(longest);
                return VoteReply::Refused { token: vote.token, retry_after_us };
            }
            if token <= vote.token {
                return VoteReply::Refused { token: vote.token, retry_after_us: 0 };
            }
        }
        // Not before it has the vote: its first request may be refused for its token, and others would get the lease.
        self.transfers.remove(lease);
        vote.renewed = renews;
        (vote.token, vote.holder) = (token, Some(client.clone()));
        vote.expires_at_us = now + config.duration_us;
        let before = vote.metadata.clone();
        if let Some(metadata) = metadata.filter(|new| new.token == token && *new > vote.metadata) {
            vote.metadata = metadata;
        }
        VoteReply::Granted { metadata: before }
    }

    /// A client releases a vote: it does not hold the lease, or does not act on it any more. True where a holder's vote
    /// is free by this, which others will want to know. A request under that token that comes late finds nothing.
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

    /// What was just released is transferred: for a lease duration the vote is free for this client alone.
    pub fn transfer(&mut self, now: i64, lease: &L, to: C) {
        if self.votes.get(lease).is_some_and(|vote| vote.holder.is_none()) {
            self.transfers.insert(lease.clone(), (to, now + self.config.duration_us));
        }
    }

    /// What it stores of one lease.
    pub fn stored_vote(&self, lease: &L) -> Option<&StoredVote<C>> {
        self.votes.get(lease)
    }

    /// Everything that it stores, for the disk and for operators.
    pub fn stored_votes(&self) -> impl Iterator<Item = (&L, &StoredVote<C>)> {
        self.votes.iter()
    }

    /// The time from which on it votes, if it is complete, in microseconds.
    pub fn votes_from_us(&self) -> i64 {
        self.votes_from_us
    }
}
