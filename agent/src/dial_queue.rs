//! When a planner connects to its peers, and connects again. No I/O; times are whole microseconds.
//! Each peer backs off by itself, with jitter; over all peers a bucket of tokens bounds the attempts in a
//! second, so that the whole fleet does not reconnect at once when a switch recovers.
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// Backoff of one peer, and the rate limit over all peers.
#[derive(Clone, Copy, Debug)]
pub struct DialConfig {
    /// The pause after the first failure; it doubles with each.
    pub first_backoff_us: i64,
    /// The longest pause.
    pub max_backoff_us: i64,
    /// Attempts in a second over all peers.
    pub attempts_per_s: f64,
    /// Attempts that may come at once.
    pub burst: f64,
    /// A link must be up for so long before its peer's failures are forgotten.
    pub stable_after_us: i64,
}

impl DialConfig {
    /// What a planner goes by.
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
    failures: u32,
    due_us: Option<i64>,
    up_since_us: Option<i64>,
}

/// The peers that a planner wants to be connected to.
pub struct DialQueue {
    config: DialConfig,
    rng: StdRng,
    peers: BTreeMap<usize, Peer>,
    /// Peers that wait, by the time at which they are due.
    queue: BTreeSet<(i64, usize)>,
    tokens: f64,
    refilled_us: i64,
}

impl DialQueue {
    /// A queue without peers. The generator that spreads the attempts begins from `seed`.
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

    /// Adds a peer, due at once; nothing changes if it is there already.
    pub fn add(&mut self, peer: usize, now: i64) {
        self.peers.entry(peer).or_insert_with(|| {
            self.queue.insert((now, peer));
            Peer { due_us: Some(now), ..Peer::default() }
        });
    }

    /// Removes a peer: it is not dialled any more.
    pub fn remove(&mut self, peer: usize) {
        if let Some(due) = self.peers.remove(&peer).and_then(|state| state.due_us) {
            self.queue.remove(&(due, peer));
        }
    }

    /// The link to a peer is up.
    pub fn link_up(&mut self, peer: usize, now: i64) {
        if let Some(state) = self.peers.get_mut(&peer) {
            state.up_since_us = Some(now);
        }
    }

    /// An attempt failed, or a link ended: the peer waits, the longer the more often that happened in a row.
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

    /// The next peer to connect to now, if one is due and the rate limit allows it.
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

    /// When `next_due` may have a peer, if nothing else happens.
    pub fn next_due_at(&self) -> Option<i64> {
        let &(due, _) = self.queue.first()?;
        let missing = (1.0 - self.tokens).max(0.0);
        Some(due.max(self.refilled_us + (missing / self.config.attempts_per_s * 1e6).ceil() as i64))
    }
}
