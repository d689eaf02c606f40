//! Schedules the connection attempts of a planner to its peers. Does no I/O; times are whole
//! microseconds.
//!
//! Each peer has its own exponential backoff with jitter. A token bucket over all peers limits the
//! attempts per second, so that a planner does not reconnect to the whole fleet at once when a
//! switch recovers.
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Settings of the backoff of each peer and of the rate limit over all peers.
#[derive(Clone, Copy, Debug)]
pub struct DialConfig {
    /// Backoff in microseconds after a stable link ended; doubled with each consecutive failure.
    pub first_backoff_us: i64,
    /// Maximum backoff in microseconds.
    pub max_backoff_us: i64,
    /// Connection attempts per second over all peers.
    pub attempts_per_s: f64,
    /// Size of the token bucket: connection attempts that may be made at once.
    pub burst: f64,
    /// Microseconds for which a link must be up before the failure count of its peer is reset.
    pub stable_after_us: i64,
}

impl DialConfig {
    /// Settings of a planner.
    pub const DEFAULT: DialConfig = DialConfig {
        first_backoff_us: 50_000,
        max_backoff_us: 5_000_000,
        attempts_per_s: 200.0,
        burst: 50.0,
        stable_after_us: 2_000_000,
    };
}

#[derive(Clone, Debug, Default)]
struct Peer {
    /// Consecutive failures.
    failures: u32,
    /// Time of the next attempt; `None` while an attempt is under way or the link is up.
    due_us: Option<i64>,
    /// Time since which the link is up; `None` while it is not.
    up_since_us: Option<i64>,
}

/// The peers to which a planner connects, each with the time of its next connection attempt.
pub struct DialQueue {
    config: DialConfig,
    rng: StdRng,
    peers: BTreeMap<usize, Peer>,
    /// Peers that wait for an attempt, ordered by the time at which it is due.
    queue: BTreeSet<(i64, usize)>,
    /// Tokens in the bucket of the rate limit, one for each attempt.
    tokens: f64,
    /// Time at which the bucket was last refilled.
    refilled_us: i64,
}

impl DialQueue {
    /// Returns a queue without peers. `seed` initialises the generator of the jitter.
    pub fn new(seed: u64, now: i64, config: DialConfig) -> Self {
        DialQueue {
            config,
            rng: StdRng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            queue: BTreeSet::new(),
            tokens: config.burst,
            refilled_us: now,
        }
    }

    /// Adds a peer that is due at once. Does nothing if the peer was added before.
    pub fn add(&mut self, peer: usize, now: i64) {
        self.peers.entry(peer).or_insert_with(|| {
            self.queue.insert((now, peer));
            Peer { due_us: Some(now), ..Peer::default() }
        });
    }

    /// Removes a peer, to which no more attempts are made.
    pub fn remove(&mut self, peer: usize) {
        if let Some(due) = self.peers.remove(&peer).and_then(|state| state.due_us) {
            self.queue.remove(&(due, peer));
        }
    }

    /// Records that the link to a peer is up.
    pub fn link_up(&mut self, peer: usize, now: i64) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.up_since_us = Some(now);
        }
    }

    /// Records that an attempt failed or a link ended, and schedules the next attempt after a
    /// backoff that grows with the number of consecutive failures.
    pub fn link_down(&mut self, peer: usize, now: i64) {
        let Some(state) = self.peers.get_mut(&peer) else { return };
        if state.due_us.is_some() {
            return;
        }
        let stable = state.up_since_us.take().is_some_and(|at| now - at >= self.config.stable_after_us);
        state.failures = if stable { 0 } else { state.failures.saturating_add(1) };
        let backoff =
            (self.config.first_backoff_us << state.failures.min(20)).min(self.config.max_backoff_us);
        let due = now + self.rng.random_range(backoff / 2..=backoff);
        state.due_us = Some(due);
        self.queue.insert((due, peer));
    }

    /// Returns the peer to connect to now, if one is due and the rate limit allows an attempt.
    pub fn next_due(&mut self, now: i64) -> Option<usize> {
        let since_s = (now - self.refilled_us).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + since_s * self.config.attempts_per_s).min(self.config.burst);
        self.refilled_us = self.refilled_us.max(now);
        let &(due, peer) = self.queue.first()?;
        if due > now || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        self.queue.pop_first();
        if let Some(state) = self.peers.get_mut(&peer) {
            state.due_us = None;
        }
        Some(peer)
    }

    /// Returns the earliest time at which `next_due` can return a peer, or `None` if none waits.
    pub fn next_due_at(&self) -> Option<i64> {
        let &(due, _) = self.queue.first()?;
        let missing = (1.0 - self.tokens).max(0.0);
        Some(due.max(self.refilled_us + (missing / self.config.attempts_per_s * 1e6).ceil() as i64))
    }
}
