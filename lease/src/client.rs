//! A client: the leases that one process requests, renews and holds.
use crate::{LeaseConfig, LeaseMetadata, VoteReply};
use std::collections::{BTreeMap, VecDeque};

/// A holder renews after this part of the time for which it may act.
const RENEWAL_DIVISOR: i64 = 3;
/// Requests spread over this part of a lease duration, so that the votes don't split among many clients.
const JITTER_DIVISOR: i64 = 8;
/// Attempt numbers from which on the delays are drawn that are no retries.
const FIRST_REQUEST_DRAW: u32 = 1 << 17;
const VOTE_FREED_DRAW: u32 = 1 << 16;

/// What the caller has to do. `L` is the type of lease names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseAction<L> {
    /// Request the votes of all voters.
    RequestVotes {
        /// The lease's name.
        lease: L,
        /// The token under which it is requested or renewed.
        token: u64,
        /// Replies name this round.
        round: u64,
        /// What the voters are to store.
        metadata: Option<LeaseMetadata>,
        /// The lease is held and renewed: what the voters have stored is not needed.
        renews: bool,
    },
    /// Tell all voters that their votes are free.
    ReleaseVotes {
        /// The lease's name.
        lease: L,
        /// The token under which it was requested or held.
        token: u64,
    },
    /// The lease is held from now on.
    Acquired {
        /// The lease's name.
        lease: L,
        /// Its fencing token.
        token: u64,
        /// The last that a holder is sure to have recorded, or one that was on its way after that.
        metadata: LeaseMetadata,
    },
    /// The lease is held no more.
    Lost {
        /// The lease's name.
        lease: L,
        /// The token under which it was held.
        token: u64,
    },
    /// A majority stores the metadata with this number.
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
    /// The token under which it is requested or held; 0: neither.
    token: u64,
    /// The highest token that was seen anywhere.
    highest_token: u64,
    round: u64,
    /// When the round began; meaningless while none is open.
    round_started_us: i64,
    round_open: bool,
    /// Bit sets, by voter.
    granted: u32,
    refused: u32,
    /// By voter: until when its vote is not free, counted from when it replied.
    free_at_us: BTreeMap<usize, i64>,
    is_held: bool,
    expires_at_us: i64,
    /// The newest metadata that a voter reported in this round.
    newest_metadata: LeaseMetadata,
    /// What is to be recorded, the number of what went with the open round, and of the last that is recorded.
    metadata: Option<LeaseMetadata>,
    sent_number: u64,
    recorded_number: u64,
    next_request_us: i64,
    failed_rounds: u32,
}

/// The leases that one process wants. `L` is the type of lease names.
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
    /// A client of so many voters, at most 32. Its tokens are at least `lowest_token`: as tokens are epochs, and an
    /// epoch without voters is the time of a start, that is the time of its own.
    pub fn new(config: LeaseConfig, voters: usize, seed: u64, lowest_token: u64) -> Self {
        let (leases, actions) = (BTreeMap::new(), VecDeque::new());
        LeaseClient { config, voters, seed, lowest_token, leases, actions }
    }

    fn majority(&self) -> u32 {
        self.voters as u32 / 2 + 1
    }

    /// The next thing to do, in order.
    pub fn next_action(&mut self) -> Option<LeaseAction<L>> {
        self.actions.pop_front()
    }

    /// When `advance` has something to do, in microseconds.
    pub fn next_wakeup_us(&self) -> Option<i64> {
        let wanted = self.leases.values().filter(|state| state.is_wanted);
        let due = |state: &LeaseState| match (state.is_held, state.round_open) {
            (true, _) => state.expires_at_us.min(state.next_request_us),
            (false, true) => state.round_started_us + self.config.round_timeout_us(),
            (false, false) => state.next_request_us,
        };
        wanted.map(due).min()
    }

    fn jitter_us(&self, longest: i64, draw: u32) -> i64 {
        fastrand::Rng::with_seed(self.seed.wrapping_add(u64::from(draw) << 32)).i64(0..=longest.max(0))
    }

    /// The lease is wanted from now on.
    pub fn acquire(&mut self, now: i64, lease: L) {
        // A hundred spares learn in one moment that a slot is free: they must not request it in one moment.
        let delay_us = self.jitter_us(self.config.duration_us / JITTER_DIVISOR, FIRST_REQUEST_DRAW);
        let state = self.leases.entry(lease).or_default();
        if !std::mem::replace(&mut state.is_wanted, true) {
            state.next_request_us = now + delay_us;
        }
    }

    /// The lease is wanted no more; what acts on it has stopped. Its votes are released.
    pub fn release(&mut self, lease: &L) {
        let Some(state) = self.leases.get_mut(lease).filter(|state| state.is_wanted) else { return };
        let (token, was_held) = (state.token, state.is_held);
        // No token is used twice, also not after the lease is wanted again.
        let (highest_token, round) = (state.highest_token, state.round);
        *state = LeaseState { highest_token, round, ..LeaseState::default() };
        if was_held {
            self.actions.push_back(LeaseAction::Lost { lease: lease.clone(), token });
        }
        if token > 0 {
            self.actions.push_back(LeaseAction::ReleaseVotes { lease: lease.clone(), token });
        }
    }

    /// The token under which the lease may be acted on at this moment. To be asked before each act, which carries the
    /// token, as this process may be stopped in between.
    pub fn held_token(&self, now: i64, lease: &L) -> Option<u64> {
        let held = self.leases.get(lease).filter(|state| state.is_held && now < state.expires_at_us);
        held.map(|state| state.token)
    }

    /// How long a held lease is still valid, in microseconds; 0 where it is not held.
    pub fn remaining_us(&self, now: i64, lease: &L) -> i64 {
        let held = self.leases.get(lease).filter(|state| state.is_held);
        held.map_or(0, |state| (state.expires_at_us - now).max(0))
    }

    /// A holder's metadata, to be recorded by a majority; `MetadataRecorded` names its number once it is.
    pub fn write_metadata(&mut self, now: i64, lease: &L, bytes: Vec<u8>) -> Option<u64> {
        let held = |state: &&mut LeaseState| state.is_held && now < state.expires_at_us;
        let state = self.leases.get_mut(lease).filter(held)?;
        let pending = state.metadata.as_ref().map_or(state.recorded_number, |pending| pending.number);
        let number = pending.max(state.recorded_number) + 1;
        state.metadata = Some(LeaseMetadata { token: state.token, number, bytes });
        state.next_request_us = now;
        Some(number)
    }

    /// Somebody was refused, or saw somebody act, under this token.
    pub fn observe_token(&mut self, lease: &L, token: u64) {
        if let Some(state) = self.leases.get_mut(lease) {
            state.highest_token = state.highest_token.max(token);
        }
    }

    /// A voter reports that its vote became free.
    pub fn vote_freed(&mut self, now: i64, lease: &L) {
        let waits = |state: &&LeaseState| state.is_wanted && !state.is_held && !state.round_open;
        let Some(state) = self.leases.get(lease).filter(waits) else { return };
        let draw = state.failed_rounds.wrapping_add(VOTE_FREED_DRAW);
        let request_us = now + self.jitter_us(self.config.round_timeout_us(), draw);
        if let Some(state) = self.leases.get_mut(lease) {
            state.next_request_us = state.next_request_us.min(request_us);
        }
    }

    /// Time passes: leases expire, rounds end and begin.
    pub fn advance(&mut self, now: i64) {
        let wanted = self.leases.iter().filter(|(_, state)| state.is_wanted);
        let wanted: Vec<L> = wanted.map(|(lease, _)| lease.clone()).collect();
        // What is held is renewed together, so that it goes in one frame.
        let renews = self.leases.values().any(|state| state.is_held && now >= state.next_request_us);
        for lease in wanted {
            let Some(mut state) = self.leases.remove(&lease) else { continue };
            if state.is_held && now >= state.expires_at_us {
                self.expire(&lease, &mut state, now);
            }
            let round_ends_us = state.round_started_us + self.config.round_timeout_us();
            if state.round_open && !state.is_held && now >= round_ends_us {
                self.fail_round(&lease, &mut state, now);
            }
            let is_due =
                if state.is_held { renews } else { now >= state.next_request_us && !state.round_open };
            if is_due {
                self.begin_round(&lease, &mut state, now);
            }
            self.leases.insert(lease, state);
        }
    }

    fn renewal_interval_us(&self) -> i64 {
        (self.config.holder_duration_us() / RENEWAL_DIVISOR).max(1)
    }

    fn begin_round(&mut self, lease: &L, state: &mut LeaseState, now: i64) {
        if !state.is_held {
            state.token = (state.highest_token + 1).max(self.lowest_token);
            state.highest_token = state.token;
            state.newest_metadata = LeaseMetadata::default();
        }
        state.round += 1;
        (state.round_started_us, state.round_open) = (now, true);
        (state.granted, state.refused) = (0, 0);
        state.free_at_us.clear();
        state.next_request_us = now + if state.is_held { self.renewal_interval_us() } else { 0 };
        state.sent_number = state.metadata.as_ref().map_or(0, |pending| pending.number);
        self.actions.push_back(LeaseAction::RequestVotes {
            lease: lease.clone(),
            token: state.token,
            round: state.round,
            metadata: state.metadata.clone(),
            renews: state.is_held,
        });
    }

    /// A voter's reply to the request of a round; replies to earlier rounds say nothing of how long this one's votes are
    /// valid.
    pub fn on_vote_reply(&mut self, now: i64, voter: usize, lease: &L, round: u64, reply: VoteReply) {
        let Some(mut state) = self.leases.remove(lease) else { return };
        if state.is_held && now >= state.expires_at_us {
            self.expire(lease, &mut state, now);
        }
        if state.round_open && state.round == round && voter < self.voters {
            match reply {
                VoteReply::Granted { metadata } => {
                    state.granted |= 1 << voter;
                    state.newest_metadata = metadata.max(std::mem::take(&mut state.newest_metadata));
                    if state.granted.count_ones() >= self.majority() {
                        self.complete_round(lease, &mut state, now);
                    }
                }
                VoteReply::Refused { token, retry_after_us } => {
                    state.refused |= 1 << voter;
                    state.highest_token = state.highest_token.max(token);
                    state.free_at_us.insert(voter, now + retry_after_us);
                    let refused = state.refused.count_ones();
                    let has_failed = refused > self.voters as u32 - self.majority();
                    if has_failed && !state.is_held {
                        self.fail_round(lease, &mut state, now);
                    }
                }
            }
        }
        self.leases.insert(lease.clone(), state);
    }

    /// A majority voted for the round that is open.
    fn complete_round(&mut self, lease: &L, state: &mut LeaseState, now: i64) {
        let expires_at_us = state.round_started_us + self.config.holder_duration_us();
        if !state.is_held && now >= expires_at_us {
            return self.fail_round(lease, state, now);
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

    /// The round brought no majority: votes that it did bring are released, and requested again once enough of the
    /// others are free.
    fn fail_round(&mut self, lease: &L, state: &mut LeaseState, now: i64) {
        self.actions.push_back(LeaseAction::ReleaseVotes { lease: lease.clone(), token: state.token });
        let mut free_at_us: Vec<i64> = state.free_at_us.values().copied().collect();
        free_at_us.sort_unstable();
        // With so many votes free, a majority could be had.
        let missing = self.majority() as usize + state.refused.count_ones() as usize;
        let last_missing = missing.checked_sub(self.voters + 1).and_then(|index| free_at_us.get(index));
        let majority_free_us = last_missing.copied().unwrap_or(now);
        state.failed_rounds = state.failed_rounds.saturating_add(1);
        let factor = i64::from(state.failed_rounds.min(4));
        let spread_us = (self.config.duration_us / JITTER_DIVISOR).saturating_mul(factor);
        let delay_us = self.jitter_us(spread_us, state.failed_rounds);
        state.next_request_us = majority_free_us.max(now + 1) + delay_us;
        (state.round_open, state.token) = (false, 0);
    }

    fn expire(&mut self, lease: &L, state: &mut LeaseState, now: i64) {
        self.actions.push_back(LeaseAction::Lost { lease: lease.clone(), token: state.token });
        self.actions.push_back(LeaseAction::ReleaseVotes { lease: lease.clone(), token: state.token });
        (state.is_held, state.round_open, state.token, state.metadata) = (false, false, 0, None);
        state.next_request_us = now + 1;
    }
}
