//! What one planner sees itself: the demand of its clients, what waits, what was placed and how soon; and the
//! decision on each request that arrives.
use crate::threshold::{extrapolate, AdmissionDecision, AdmissionThreshold, PeerSummary};
use crate::{
    latency_bucket, DemandSummary, RequestDemand, FREE_CORE_CLASSES, LATENCY_BUCKETS, PRIORITY_BANDS,
};
use std::collections::{BTreeMap, VecDeque};

/// Time constant of the decaying sums, in microseconds.
const DECAY_US: f64 = 3_000_000.0;
/// Finer steps of the decay change nothing that is decided, and cost as much each.
const DECAY_STEP_US: i64 = 10_000;
/// How long the planner's own summaries are kept, to extrapolate those of peers that were made meanwhile.
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
    /// Decaying sums: cores requested, cores placed, and counts of times to placed.
    offered: [f64; PRIORITY_BANDS],
    placed: [f64; PRIORITY_BANDS],
    latency_counts: [f64; LATENCY_BUCKETS],
    /// Ordered, since sums of floats depend on the order of their terms.
    waiting: BTreeMap<K, WaitingRequest>,
    free_cores: [f64; FREE_CORE_CLASSES.len()],
    total_cores: f64,
    /// The newest at the end.
    history: VecDeque<HistoryEntry>,
    threshold: AdmissionThreshold,
    seed: u64,
    /// Random numbers drawn so far, each from a generator of its own.
    draws: u64,
}

impl<K: Ord + Clone> LocalDemand<K> {
    /// Nothing seen yet; `seed` determines the jitter of the times after which to ask again.
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
        // By products alone, which are the same on every machine: nearly e to the minus x.
        let factor = (1.0 - (now - self.now) as f64 / DECAY_US / 64.0).max(0.0).powi(64);
        self.now = now;
        let sums = self.offered.iter_mut().chain(&mut self.placed).chain(&mut self.latency_counts);
        sums.for_each(|x| *x *= factor);
    }

    /// A request arrives: is it worth starting? If so, it counts as waiting from now on.
    pub fn request_arrived(&mut self, now: i64, key: K, demand: &RequestDemand) -> AdmissionDecision {
        self.decay(now);
        let band = demand.band();
        self.offered[band] += demand.cores;
        let mut decision = self.threshold.decide(demand);
        if let AdmissionDecision::Reject { retry_after_us, .. } = &mut decision {
            // Clients that are rejected in one moment must not come back in one.
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

    /// A waiting request was placed.
    pub fn request_placed(&mut self, now: i64, key: &K) {
        self.decay(now);
        if let Some(request) = self.remove(key) {
            self.placed[request.band] += request.cores;
            self.latency_counts[latency_bucket(now - request.arrived_at)] += 1.0;
        }
    }

    /// A waiting request found no capacity before its deadline.
    pub fn request_expired(&mut self, now: i64, key: &K) {
        self.decay(now);
        if self.remove(key).is_some() {
            self.latency_counts[LATENCY_BUCKETS - 1] += 1.0;
        }
    }

    /// A waiting request ended for another reason, such as that it was withdrawn.
    pub fn request_withdrawn(&mut self, key: &K) {
        self.remove(key);
    }

    fn remove(&mut self, key: &K) -> Option<WaitingRequest> {
        let request = self.waiting.remove(key)?;
        self.threshold.add_waiting(request.band, -request.cores);
        Some(request)
    }

    /// What this planner estimates of the machines that are offered work: total and free cores of each.
    pub fn set_machines(&mut self, machines: impl Iterator<Item = (f64, f64)>) {
        (self.free_cores, self.total_cores) = ([0.0; FREE_CORE_CLASSES.len()], 0.0);
        for (cores, free) in machines {
            self.total_cores += cores;
            for (sum, at_least) in self.free_cores.iter_mut().zip(FREE_CORE_CLASSES) {
                *sum += if free >= at_least { free } else { 0.0 };
            }
        }
    }

    /// Recomputes the threshold from the peers' summaries that are fresh.
    pub fn set_peer_summaries(&mut self, now: i64, mut peers: Vec<PeerSummary>) {
        // A request that ended without notice is not waited for.
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

    /// What this planner tells its peers.
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

    /// The threshold that is applied now.
    pub fn threshold(&self) -> &AdmissionThreshold {
        &self.threshold
    }

    /// How many requests wait here.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
}
