//! One planner's own demand: the requests of its clients, which of them wait, and which were placed
//! how soon. Also decides on each request that arrives.
use crate::threshold::{extrapolate, AdmissionDecision, AdmissionThreshold, PeerSummary};
use crate::{
    latency_bucket, DemandSummary, RequestDemand, FREE_CORE_CLASSES, LATENCY_BUCKETS, PRIORITY_BANDS,
};
use std::collections::{BTreeMap, VecDeque};

/// Time constant of the decaying sums, in microseconds.
const DECAY_US: f64 = 3_000_000.0;
/// Minimum interval between two decay steps; finer steps cost as much each and change no decision.
const DECAY_STEP_US: i64 = 10_000;
/// Time for which the planner keeps its own summaries, to extrapolate peers' summaries of the same
/// age.
const HISTORY_US: i64 = 6_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
struct WaitingRequest {
    band: usize,
    cores: f64,
    arrived_at: i64,
    deadline: i64,
}

#[derive(Clone, Debug)]
struct HistoryEntry {
    at: i64,
    summary: DemandSummary,
}

/// The requests of one planner by their keys, and the admission threshold that it applies.
#[derive(Clone, Debug)]
pub struct LocalDemand<K> {
    now: i64,
    /// Decaying sums of requested cores, placed cores, and counts of placement latencies.
    offered: [f64; PRIORITY_BANDS],
    placed: [f64; PRIORITY_BANDS],
    latency_counts: [f64; LATENCY_BUCKETS],
    /// Waiting requests, in the order of their keys because a sum of floats depends on the order of
    /// its terms.
    waiting: BTreeMap<K, WaitingRequest>,
    free_cores: [f64; FREE_CORE_CLASSES.len()],
    total_cores: f64,
    /// The planner's own recent summaries, newest last.
    history: VecDeque<HistoryEntry>,
    threshold: AdmissionThreshold,
    seed: u64,
    /// Number of random numbers drawn so far; each draw uses a generator of its own.
    draws: u64,
}

impl<K: Ord + Clone> LocalDemand<K> {
    /// Creates a state without requests; `seed` determines the jitter of retry delays.
    pub fn new(now: i64, seed: u64) -> Self {
        LocalDemand {
            now,
            offered: [0.0; PRIORITY_BANDS],
            placed: [0.0; PRIORITY_BANDS],
            latency_counts: [0.0; LATENCY_BUCKETS],
            waiting: BTreeMap::new(),
            free_cores: [0.0; FREE_CORE_CLASSES.len()],
            total_cores: 0.0,
            history: VecDeque::new(),
            threshold: AdmissionThreshold::default(),
            seed,
            draws: 0,
        }
    }

    fn decay(&mut self, now: i64) {
        if now < self.now + DECAY_STEP_US {
            return;
        }
        // Approximates e^-x, with products only, because these give the same result on every
        // machine.
        let factor = (1.0 - (now - self.now) as f64 / DECAY_US / 64.0).max(0.0).powi(64);
        self.now = now;
        let sums = self.offered.iter_mut().chain(&mut self.placed).chain(&mut self.latency_counts);
        sums.for_each(|x| *x *= factor);
    }

    /// Decides on a request that arrives. An admitted request counts as waiting from now on.
    pub fn request_arrived(&mut self, now: i64, key: K, demand: &RequestDemand) -> AdmissionDecision {
        self.decay(now);
        let band = demand.band();
        self.offered[band] += demand.cores;
        let mut decision = self.threshold.decide(demand);
        if let AdmissionDecision::Reject { retry_after_us, .. } = &mut decision {
            // Jitter keeps clients that are rejected together from retrying together.
            self.draws += 1;
            let mut random = fastrand::Rng::with_seed(self.seed.wrapping_add(self.draws << 20));
            *retry_after_us += random.i64(0..=*retry_after_us);
            return decision;
        }
        self.remove(&key);
        let deadline = now.saturating_add(demand.time_left_us);
        self.waiting.insert(key, WaitingRequest { band, cores: demand.cores, arrived_at: now, deadline });
        self.threshold.add_waiting(band, demand.cores);
        decision
    }

    /// Records that a waiting request was placed.
    pub fn request_placed(&mut self, now: i64, key: &K) {
        self.decay(now);
        if let Some(request) = self.remove(key) {
            self.placed[request.band] += request.cores;
            self.latency_counts[latency_bucket(now - request.arrived_at)] += 1.0;
        }
    }

    /// Records that a waiting request found no capacity before its deadline.
    pub fn request_expired(&mut self, now: i64, key: &K) {
        self.decay(now);
        if self.remove(key).is_some() {
            self.latency_counts[LATENCY_BUCKETS - 1] += 1.0;
        }
    }

    /// Records that a waiting request ended for another reason, for example that it was withdrawn.
    pub fn request_withdrawn(&mut self, key: &K) {
        self.remove(key);
    }

    fn remove(&mut self, key: &K) -> Option<WaitingRequest> {
        let request = self.waiting.remove(key)?;
        self.threshold.add_waiting(request.band, -request.cores);
        Some(request)
    }

    /// Sets this planner's estimate of the machines that it offers work to, each as total cores and
    /// free cores.
    pub fn set_machines(&mut self, machines: impl Iterator<Item = (f64, f64)>) {
        (self.free_cores, self.total_cores) = ([0.0; FREE_CORE_CLASSES.len()], 0.0);
        for (cores, free) in machines {
            self.total_cores += cores;
            for (sum, at_least) in self.free_cores.iter_mut().zip(FREE_CORE_CLASSES) {
                *sum += if free >= at_least { free } else { 0.0 };
            }
        }
    }

    /// Recomputes the threshold from the planner's own summary and its peers' fresh ones.
    pub fn set_peer_summaries(&mut self, now: i64, mut peers: Vec<PeerSummary>) {
        // A request whose end was not reported stops counting `HISTORY_US` after its deadline.
        let threshold = &mut self.threshold;
        self.waiting.retain(|_, request| {
            let keep = now < request.deadline.saturating_add(HISTORY_US);
            if !keep {
                threshold.add_waiting(request.band, -request.cores);
            }
            keep
        });
        let own = self.summary(now);
        while self.history.front().is_some_and(|entry| entry.at < now - HISTORY_US) {
            self.history.pop_front();
        }
        for peer in &mut peers {
            let then = self.history.iter().rev().find(|entry| entry.at <= now - peer.age_us);
            if let Some(then) = then {
                peer.summary = extrapolate(peer, &then.summary, &own);
            }
        }
        self.threshold = AdmissionThreshold::merge(&own, &peers);
        self.history.push_back(HistoryEntry { at: now, summary: own });
    }

    /// Returns the summary that this planner publishes to its peers.
    pub fn summary(&mut self, now: i64) -> DemandSummary {
        self.decay(now);
        let per_second = |sum: f64| sum / DECAY_US * 1e6;
        let mut waiting = [0.0; PRIORITY_BANDS];
        for request in self.waiting.values() {
            waiting[request.band] += request.cores;
        }
        DemandSummary {
            offered: self.offered.map(per_second),
            waiting,
            placed: self.placed.map(per_second),
            latency_counts: self.latency_counts,
            free_cores: self.free_cores,
            total_cores: self.total_cores,
        }
    }

    /// Returns the threshold that is currently applied.
    pub fn threshold(&self) -> &AdmissionThreshold {
        &self.threshold
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
}
