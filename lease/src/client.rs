//! The client's side: the leases that one process requests, renews and holds.
use crate::{LeaseConfig, LeaseMetadata, VoteReply};
use std::collections::{BTreeMap, VecDeque};

/// A holder renews its leases after this fraction (1/3) of the time for which it may act.
const RENEWAL_DIVISOR: i64 = 3;
/// Requests are spread over up to this fraction (1/8) of a lease duration, so that concurrent
/// clients do not split the votes.
const JITTER_DIVISOR: i64 = 8;
/// Delays that are not retries use random draws numbered from these constants on; the delay of a
/// retry is drawn by its number of failed rounds.
const FIRST_REQUEST_DRAW: u32 = 1 << 17;
const VOTE_FREED_DRAW: u32 = 1 << 16;

/// What the caller must do. `L` is the type of lease names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction<L> {
    /// Request the votes of all voters.
    RequestVotes {
        /// The lease's name.
        lease: L,
        /// The token under which the lease is requested or renewed.
        token: u64,
        /// The round, which each reply names.
        round: u64,
        /// The metadata for the voters to store, if there is any.
        metadata: Option<LeaseMetadata>,
        /// Whether the lease is held and this renews it: replies then need not contain the stored
        /// metadata.
        renews: bool,
    },
    /// Release the votes of all voters.
    ReleaseVotes {
        /// The lease's name.
        lease: L,
        /// The token under which the lease was requested or held.
        token: u64,
    },
    /// The lease is held from now on.
    Acquired {
        /// The lease's name.
        lease: L,
        /// The fencing token.
        token: u64,
        /// The newest metadata that a majority is known to have stored, or a later one that was
        /// still being written.
        metadata: LeaseMetadata,
    },
    /// The lease is no longer held.
    Lost {
        /// The lease's name.
        lease: L,
        /// The token under which the lease was held.
        token: u64,
    },
    /// A majority of voters stores the metadata with this number.
    MetadataRecorded {
        /// The lease's name.
        lease: L,
        /// The number that `write_metadata` returned.
        number: u64,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct LeaseState {
    is_wanted: bool,
    /// The token under which the lease is requested or held; 0 if it is neither.
    token: u64,
    /// The highest token observed for this lease, whoever used it.
    highest_token: u64,
    round: u64,
    /// When the round began, in microseconds; meaningless while no round is open.
    round_started_us: i64,
    round_open: bool,
    /// Bit sets of the voters that granted and refused their votes in the open round.
    granted: u32,
    refused: u32,
    /// By voter that refused: when its vote becomes free, counted from when its reply arrived.
    free_at_us: BTreeMap<usize, i64>,
    is_held: bool,
    expires_at_us: i64,
    /// The newest metadata that a voter reported in this round.
    newest_metadata: LeaseMetadata,
    /// The holder's metadata that no majority has stored yet.
    metadata: Option<LeaseMetadata>,
    /// The number of the metadata sent with the open round; 0 if none was sent.
    sent_number: u64,
    /// The number of the last metadata that a majority stored; 0 if there is none.
    recorded_number: u64,
    next_request_us: i64,
    failed_rounds: u32,
}

/// The leases that one process requests or holds. `L` is the type of lease names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseClient<L> {
    config: LeaseConfig,
    voters: usize,
    seed: u64,
    lowest_token: u64,
    leases: BTreeMap<L, LeaseState>,
    actions: VecDeque<LeaseAction<L>>,
}

impl<L: Ord + Clone> LeaseClient<L> {
    /// Creates a client of `voters` voters, at most 32. Its tokens are at least `lowest_token`, for
    /// which a process passes its start time: tokens serve as epochs, and a process without voters
    /// takes its start time as its epoch.
    pub fn new(config: LeaseConfig, voters: usize, seed: u64, lowest_token: u64) -> Self {
        let (leases, actions) = (BTreeMap::new(), VecDeque::new());
        LeaseClient { config, voters, seed, lowest_token, leases, actions }
    }

    fn majority(&self) -> u32 {
        self.voters as u32 / 2 + 1
    }

    /// Returns the next action for the caller, in order.
    pub fn next_action(&mut self) -> Option<LeaseAction<L>> {
        self.actions.pop_front()
    }

    /// Returns the time at which `advance` next has work, in microseconds; `None` if no lease is
    /// requested or held.
    pub fn next_wakeup_us(&self) -> Option<i64> {
        let wanted = self.leases.values().filter(|state| state.is_wanted);
        let due = |state: &LeaseState| match (state.is_held, state.round_open) {
            (true, _) => state.expires_at_us.min(state.next_request_us),
            (false, true) => state.round_started_us + self.config.round_timeout_us(),
            (false, false) => state.next_request_us,
        };
        wanted.map(due).min()
    }

    fn jitter_us(&self, longest_us: i64, draw: u32) -> i64 {
        fastrand::Rng::with_seed(self.seed.wrapping_add(u64::from(draw) << 32)).i64(0..=longest_us.max(0))
    }

    /// Requests the lease from now on.
    pub fn acquire(&mut self, now_us: i64, lease: L) {
        // A hundred spares may learn at the same time that a slot is free; a random delay spreads
        // their requests.
        let delay_us = self.jitter_us(self.config.duration_us / JITTER_DIVISOR, FIRST_REQUEST_DRAW);
        let state = self.leases.entry(lease).or_default();
        if !std::mem::replace(&mut state.is_wanted, true) {
            state.next_request_us = now_us + delay_us;
        }
    }

    /// Stops requesting or holding the lease and releases its votes. The caller must have stopped
    /// whatever acts under the lease.
    pub fn release(&mut self, lease: &L) {
        let Some(state) = self.leases.get_mut(lease).filter(|state| state.is_wanted) else { return };
        let (token, was_held) = (state.token, state.is_held);
        // Tokens and rounds continue, so that no token is used twice if the lease is requested
        // again.
        let (highest_token, round) = (state.highest_token, state.round);
        *state = LeaseState { highest_token, round, ..LeaseState::default() };
        if was_held {
            self.actions.push_back(LeaseAction::Lost { lease: lease.clone(), token });
        }
        if token > 0 {
            self.actions.push_back(LeaseAction::ReleaseVotes { lease: lease.clone(), token });
        }
    }

    /// Returns the token under which the caller may act on the lease at this moment. The caller
    /// must check before each action and attach the token to it, because the process may be
    /// suspended in between.
    pub fn held_token(&self, now_us: i64, lease: &L) -> Option<u64> {
        let held = self.leases.get(lease).filter(|state| state.is_held && now_us < state.expires_at_us);
        held.map(|state| state.token)
    }

    /// Returns how long a held lease is still valid, in microseconds; 0 if the lease is not held.
    pub fn remaining_us(&self, now_us: i64, lease: &L) -> i64 {
        let held = self.leases.get(lease).filter(|state| state.is_held);
        held.map_or(0, |state| (state.expires_at_us - now_us).max(0))
    }

    /// Queues a holder's metadata to be stored by a majority and returns its number, which
    /// `MetadataRecorded` repeats once that is done. Returns `None` if the lease is not held.
    pub fn write_metadata(&mut self, now_us: i64, lease: &L, bytes: Vec<u8>) -> Option<u64> {
        let held = |state: &&mut LeaseState| state.is_held && now_us < state.expires_at_us;
        let state = self.leases.get_mut(lease).filter(held)?;
        let pending = state.metadata.as_ref().map_or(state.recorded_number, |pending| pending.number);
        let number = pending.max(state.recorded_number) + 1;
        state.metadata = Some(LeaseMetadata { token: state.token, number, bytes });
        state.next_request_us = now_us;
        Some(number)
    }

    /// Records a token seen elsewhere, in a refusal or in another process's action.
    pub fn observe_token(&mut self, lease: &L, token: u64) {
        if let Some(state) = self.leases.get_mut(lease) {
            state.highest_token = state.highest_token.max(token);
        }
    }

    /// Records that a voter reported its vote as free, and requests the lease again soon.
    pub fn vote_freed(&mut self, now_us: i64, lease: &L) {
        let is_waiting = |state: &&LeaseState| state.is_wanted && !state.is_held && !state.round_open;
        let Some(state) = self.leases.get(lease).filter(is_waiting) else { return };
        let draw = state.failed_rounds.wrapping_add(VOTE_FREED_DRAW);
        let request_us = now_us + self.jitter_us(self.config.round_timeout_us(), draw);
        if let Some(state) = self.leases.get_mut(lease) {
            state.next_request_us = state.next_request_us.min(request_us);
        }
    }

    /// Advances the time: leases expire, and rounds end and begin.
    pub fn advance(&mut self, now_us: i64) {
        let wanted = self.leases.iter().filter(|(_, state)| state.is_wanted);
        let wanted: Vec<L> = wanted.map(|(lease, _)| lease.clone()).collect();
        // All held leases are renewed together, so that their requests share one frame.
        let renews = self.leases.values().any(|state| state.is_held && now_us >= state.next_request_us);
        for lease in wanted {
            let Some(mut state) = self.leases.remove(&lease) else { continue };
            if state.is_held && now_us >= state.expires_at_us {
                self.expire(&lease, &mut state, now_us);
            }
            let round_ends_us = state.round_started_us + self.config.round_timeout_us();
            if state.round_open && !state.is_held && now_us >= round_ends_us {
                self.fail_round(&lease, &mut state, now_us);
            }
            let is_due =
                if state.is_held { renews } else { now_us >= state.next_request_us && !state.round_open };
            if is_due {
                self.begin_round(&lease, &mut state, now_us);
            }
            self.leases.insert(lease, state);
        }
    }

    fn renewal_interval_us(&self) -> i64 {
        (self.config.holder_duration_us() / RENEWAL_DIVISOR).max(1)
    }

    fn begin_round(&mut self, lease: &L, state: &mut LeaseState, now_us: i64) {
        if !state.is_held {
            state.token = (state.highest_token + 1).max(self.lowest_token);
            state.highest_token = state.token;
            state.newest_metadata = LeaseMetadata::default();
        }
        state.round += 1;
        (state.round_started_us, state.round_open) = (now_us, true);
        (state.granted, state.refused) = (0, 0);
        state.free_at_us.clear();
        state.next_request_us = now_us + if state.is_held { self.renewal_interval_us() } else { 0 };
        state.sent_number = state.metadata.as_ref().map_or(0, |pending| pending.number);
        self.actions.push_back(LeaseAction::RequestVotes {
            lease: lease.clone(),
            token: state.token,
            round: state.round,
            metadata: state.metadata.clone(),
            renews: state.is_held,
        });
    }

    /// Handles a voter's reply to a request. A reply to an earlier round is ignored, because it
    /// does not tell how long the votes of this round are valid.
    pub fn on_vote_reply(&mut self, now_us: i64, voter: usize, lease: &L, round: u64, reply: VoteReply) {
        let Some(mut state) = self.leases.remove(lease) else { return };
        if state.is_held && now_us >= state.expires_at_us {
            self.expire(lease, &mut state, now_us);
        }
        if state.round_open && state.round == round && voter < self.voters {
            match reply {
                VoteReply::Granted { metadata } => {
                    state.granted |= 1 << voter;
                    state.newest_metadata = metadata.max(std::mem::take(&mut state.newest_metadata));
                    if state.granted.count_ones() >= self.majority() {
                        self.complete_round(lease, &mut state, now_us);
                    }
                }
                VoteReply::Refused { token, retry_after_us } => {
                    state.refused |= 1 << voter;
                    state.highest_token = state.highest_token.max(token);
                    state.free_at_us.insert(voter, now_us + retry_after_us);
                    let refused = state.refused.count_ones();
                    let has_failed = refused > self.voters as u32 - self.majority();
                    if has_failed && !state.is_held {
                        self.fail_round(lease, &mut state, now_us);
                    }
                }
            }
        }
        self.leases.insert(lease.clone(), state);
    }

    /// Acquires or renews the lease after a majority granted its votes in the open round.
    fn complete_round(&mut self, lease: &L, state: &mut LeaseState, now_us: i64) {
        let expires_at_us = state.round_started_us + self.config.holder_duration_us();
        if !state.is_held && now_us >= expires_at_us {
            return self.fail_round(lease, state, now_us);
        }
        (state.round_open, state.failed_rounds) = (false, 0);
        state.expires_at_us = expires_at_us.max(state.expires_at_us);
        if !state.is_held {
            (state.is_held, state.recorded_number, state.metadata) = (true, 0, None);
            state.next_request_us = state.round_started_us + self.renewal_interval_us();
            let (token, metadata) = (state.token, state.newest_metadata.clone());
            self.actions.push_back(LeaseAction::Acquired { lease: lease.clone(), token, metadata });
        } else if let Some(written) = state.metadata.take_if(|it| it.number == state.sent_number) {
            let number = written.number;
            state.recorded_number = number;
            self.actions.push_back(LeaseAction::MetadataRecorded { lease: lease.clone(), number });
        }
    }

    /// Ends a round without a majority: releases the votes that were granted and schedules the next
    /// request for when a majority of votes can be free.
    fn fail_round(&mut self, lease: &L, state: &mut LeaseState, now_us: i64) {
        self.actions.push_back(LeaseAction::ReleaseVotes { lease: lease.clone(), token: state.token });
        let mut free_at_us: Vec<i64> = state.free_at_us.values().copied().collect();
        free_at_us.sort_unstable();
        // The round can succeed once this many of the refusing voters are free.
        let missing = self.majority() as usize + state.refused.count_ones() as usize;
        let last_missing = missing.checked_sub(self.voters + 1).and_then(|index| free_at_us.get(index));
        let majority_free_us = last_missing.copied().unwrap_or(now_us);
        state.failed_rounds = state.failed_rounds.saturating_add(1);
        let factor = i64::from(state.failed_rounds.min(4));
        let spread_us = (self.config.duration_us / JITTER_DIVISOR).saturating_mul(factor);
        let delay_us = self.jitter_us(spread_us, state.failed_rounds);
        state.next_request_us = majority_free_us.max(now_us + 1) + delay_us;
        (state.round_open, state.token) = (false, 0);
    }

    fn expire(&mut self, lease: &L, state: &mut LeaseState, now_us: i64) {
        self.actions.push_back(LeaseAction::Lost { lease: lease.clone(), token: state.token });
        self.actions.push_back(LeaseAction::ReleaseVotes { lease: lease.clone(), token: state.token });
        (state.is_held, state.round_open, state.token, state.metadata) = (false, false, 0, None);
        state.next_request_us = now_us + 1;
    }
}
