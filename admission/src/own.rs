//! What one planner sees itself: what it is asked for, what waits, what was placed and how soon; and the
//! verdict at its door.
use crate::line::{grown, Line, Other, Verdict};
use crate::share::Share;
use crate::{band, bucket, BANDS, FITS, STEPS};
use std::collections::{BTreeMap, VecDeque};

/// What was seen fades to a third in this time, in microseconds.
const FADES: f64 = 3_000_000.0;
/// What it saw itself is kept for so long, to bring up to now what others said then.
const REMEMBERS: i64 = 6_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Waiting {
    band: usize,
    cores: f64,
    since: i64,
    limit_at: i64,
}

/// One planner's own askings, by their keys, and the line that it goes by.
#[derive(Clone, Debug)]
pub struct Own<K> {
    now: i64,
    /// Sums that fade: cores asked for, cores placed, and counts of times to placed.
    offered: [f64; BANDS],
    placed: [f64; BANDS],
    times: [f64; STEPS.len() + 1],
    /// In order: sums of floats differ by the order in which they are added.
    waiting: BTreeMap<K, Waiting>,
    room: [f64; FITS.len()],
    cores: f64,
    /// What it saw, and when; the newest at the end.
    seen: VecDeque<(i64, Share)>,
    line: Line,
    seed: u64,
    draws: u64,
}

impl<K: Ord + Clone> Own<K> {
    pub fn new(now: i64, seed: u64) -> Self {
        Own {
            now,
            offered: [0.0; BANDS],
            placed: [0.0; BANDS],
            times: [0.0; STEPS.len() + 1],
            waiting: BTreeMap::new(),
            room: [0.0; FITS.len()],
            cores: 0.0,
            seen: VecDeque::new(),
            line: Line::default(),
            seed,
            draws: 0,
        }
    }

    fn fade(&mut self, now: i64) {
        // Finer steps change nothing that is decided, and cost as much each.
        if now < self.now + 10_000 {
            return;
        }
        // By products alone, which are the same on every machine: e to the minus x, nearly.
        let left = (1.0 - (now - self.now) as f64 / FADES / 64.0).max(0.0).powi(64);
        self.now = now;
        let all = self.offered.iter_mut().chain(&mut self.placed).chain(&mut self.times);
        all.for_each(|x| *x *= left);
    }

    // What can happen.

    /// An owner asks: is it worth starting? If so, it waits here from now on.
    pub fn asked(&mut self, now: i64, key: K, worth: f64, cores: f64, goal: i64, left: i64) -> Verdict {
        self.fade(now);
        let own = band(worth, cores);
        self.offered[own] += cores;
        let mut verdict = self.line.verdict(worth, cores, goal, left);
        if let Verdict::Declined { retry_after, .. } = &mut verdict {
            // Owners that are refused in one moment must not come back in one.
            self.draws += 1;
            let mut chance = fastrand::Rng::with_seed(self.seed.wrapping_add(self.draws << 20));
            *retry_after += chance.i64(0..=*retry_after);
            return verdict;
        }
        self.gone(&key);
        let waits = Waiting { band: own, cores, since: now, limit_at: now.saturating_add(left) };
        self.waiting.insert(key, waits);
        self.line.waits_more(own, cores);
        verdict
    }

    /// One that waits was placed.
    pub fn placed(&mut self, now: i64, key: &K) {
        self.fade(now);
        if let Some(w) = self.gone(key) {
            self.placed[w.band] += w.cores;
            self.times[bucket(now - w.since, &STEPS)] += 1.0;
        }
    }

    /// One that waits found no room in time.
    pub fn missed(&mut self, now: i64, key: &K) {
        self.fade(now);
        if self.gone(key).is_some() {
            self.times[STEPS.len()] += 1.0;
        }
    }

    /// One that waits is gone for another reason: it was withdrawn, say.
    pub fn over(&mut self, key: &K) {
        self.gone(key);
    }

    fn gone(&mut self, key: &K) -> Option<Waiting> {
        let w = self.waiting.remove(key)?;
        self.line.waits_more(w.band, -w.cores);
        Some(w)
    }

    /// What this planner believes of machines that are offered work: of each, its cores and those free.
    pub fn fleet(&mut self, machines: impl Iterator<Item = (f64, f64)>) {
        (self.room, self.cores) = ([0.0; FITS.len()], 0.0);
        for (cores, free) in machines {
            self.cores += cores;
            for (room, fit) in self.room.iter_mut().zip(FITS) {
                *room += if free >= fit { free } else { 0.0 };
            }
        }
    }

    /// What other planners say that are heard, each with its age; the line is drawn anew.
    pub fn others(&mut self, now: i64, mut others: Vec<Other>) {
        // What went without a word is not waited for.
        let line = &mut self.line;
        self.waiting.retain(|_, w| {
            let keeps = now < w.limit_at.saturating_add(REMEMBERS);
            if !keeps {
                line.waits_more(w.band, -w.cores);
            }
            keeps
        });
        let own = self.share(now);
        while self.seen.front().is_some_and(|s| s.0 < now - REMEMBERS) {
            self.seen.pop_front();
        }
        for other in &mut others {
            if let Some((_, then)) = self.seen.iter().rev().find(|s| s.0 <= now - other.age) {
                other.share = grown(other, then, &own);
            }
        }
        self.line = Line::fuse(&own, &others);
        self.seen.push_back((now, own));
    }

    /// What it tells the others.
    pub fn share(&mut self, now: i64) -> Share {
        self.fade(now);
        let rate = |sum: f64| sum / FADES * 1e6;
        let mut waiting = [0.0; BANDS];
        for w in self.waiting.values() {
            waiting[w.band] += w.cores;
        }
        Share {
            offered: self.offered.map(rate),
            waiting,
            placed: self.placed.map(rate),
            times: self.times,
            room: self.room,
            cores: self.cores,
        }
    }

    pub fn line(&self) -> &Line {
        &self.line
    }

    /// Askings that wait here.
    pub fn waits(&self) -> usize {
        self.waiting.len()
    }
}
