//! When a planner connects to its peers, and connects again. No I/O; times are whole microseconds.
//! Each peer backs off by itself, with jitter; over all peers a bucket of tokens bounds the attempts in a
//! second, so that a switch that heals brings back the fleet in a file and not in a storm.
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

/// How attempts are paced.
#[derive(Clone, Copy, Debug)]
pub struct DialConfig {
    /// The pause after the first failure; it doubles with each.
    pub first_us: i64,
    pub most_us: i64,
    /// Attempts in a second over all peers, and how many of them may come at once.
    pub per_s: f64,
    pub burst: f64,
    /// A link must stand for so long before its peer's failures are forgotten.
    pub stands_us: i64,
}

impl DialConfig {
    pub const DEFAULT: DialConfig =
        DialConfig { first_us: 50_000, most_us: 5_000_000, per_s: 200.0, burst: 50.0, stands_us: 2_000_000 };
}

#[derive(Clone, Debug, Default)]
struct Peer {
    fails: u32,
    due: Option<i64>,
    up_at: Option<i64>,
}

/// The peers that a planner wants to be connected to.
pub struct DialQueue {
    pace: DialConfig,
    chance: StdRng,
    peers: BTreeMap<usize, Peer>,
    line: BTreeSet<(i64, usize)>,
    tokens: f64,
    filled_at: i64,
}

impl DialQueue {
    pub fn new(seed: u64, now: i64, pace: DialConfig) -> Self {
        DialQueue {
            pace,
            chance: StdRng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            line: BTreeSet::new(),
            tokens: pace.burst,
            filled_at: now,
        }
    }

    /// A peer that is wanted from now on; nothing changes if it is already.
    pub fn add(&mut self, peer: usize, now: i64) {
        self.peers.entry(peer).or_insert_with(|| {
            self.line.insert((now, peer));
            Peer { due: Some(now), ..Peer::default() }
        });
    }

    /// A peer that is wanted no more.
    pub fn remove(&mut self, peer: usize) {
        if let Some(at) = self.peers.remove(&peer).and_then(|p| p.due) {
            self.line.remove(&(at, peer));
        }
    }

    /// The link to a peer stands.
    pub fn link_up(&mut self, peer: usize, now: i64) {
        if let Some(p) = self.peers.get_mut(&peer) {
            p.up_at = Some(now);
        }
    }

    /// An attempt failed, or a link ended: the peer waits, the longer the more often that happened in a row.
    pub fn link_down(&mut self, peer: usize, now: i64) {
        let Some(p) = self.peers.get_mut(&peer) else { return };
        if p.due.is_some() {
            return;
        }
        let stood = p.up_at.take().is_some_and(|at| now - at >= self.pace.stands_us);
        p.fails = if stood { 0 } else { p.fails.saturating_add(1) };
        let wait = (self.pace.first_us << p.fails.min(20)).min(self.pace.most_us);
        let at = now + self.chance.random_range(wait / 2..=wait);
        p.due = Some(at);
        self.line.insert((at, peer));
    }

    /// The next peer to connect to now, if one is due and the fleet's bound leaves room.
    pub fn next_due(&mut self, now: i64) -> Option<usize> {
        let since = (now - self.filled_at).max(0) as f64 / 1e6;
        self.tokens = (self.tokens + since * self.pace.per_s).min(self.pace.burst);
        self.filled_at = self.filled_at.max(now);
        let &(at, peer) = self.line.first()?;
        if at > now || self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        self.line.pop_first();
        if let Some(p) = self.peers.get_mut(&peer) {
            p.due = None;
        }
        Some(peer)
    }

    /// When `next` may have something, if nothing else happens.
    pub fn next_due_at(&self) -> Option<i64> {
        let &(at, _) = self.line.first()?;
        let lack = (1.0 - self.tokens).max(0.0);
        Some(at.max(self.filled_at + (lack / self.pace.per_s * 1e6).ceil() as i64))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Attempts of a thousand peers that all fail for ten seconds after a switch broke.
    #[test]
    fn a_healed_switch_is_no_storm() {
        let mut dials = DialQueue::new(3, 0, DialConfig::DEFAULT);
        (0..1000).for_each(|peer| dials.add(peer, 0));
        let (mut times, mut now) = (Vec::new(), 0);
        while now < 10_000_000 {
            while let Some(peer) = dials.next_due(now) {
                times.push(now);
                dials.link_down(peer, now);
            }
            now = dials.next_due_at().unwrap().max(now + 1);
        }
        for (i, &at) in times.iter().enumerate() {
            let within = times[i..].iter().take_while(|&&t| t < at + 1_000_000).count();
            assert!(within <= 250, "{within} attempts in the second from {at} us");
        }
        assert!(times.len() > 1500, "the bound is used: {}", times.len());
    }

    #[test]
    fn a_link_that_falls_at_once_does_not_reset_the_wait() {
        let mut dials = DialQueue::new(3, 0, DialConfig::DEFAULT);
        dials.add(0, 0);
        let (mut now, mut waits) = (0, Vec::new());
        for _ in 0..6 {
            assert_eq!(dials.next_due(now), Some(0));
            dials.link_up(0, now);
            dials.link_down(0, now + 1000);
            waits.push(dials.next_due_at().unwrap() - now);
            now = dials.next_due_at().unwrap();
        }
        assert!(waits.windows(2).all(|w| w[1] > w[0] / 2) && waits[5] > 8 * waits[0], "{waits:?}");
        assert_eq!(dials.next_due(now), Some(0));
        dials.link_up(0, now);
        dials.link_down(0, now + 3_000_000);
        assert!(dials.next_due_at().unwrap() - now - 3_000_000 <= 50_000, "it stood: soon again");
    }
}
