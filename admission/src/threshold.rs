//! The admission threshold: which requests are worth starting, decided from the summaries of all
//! planners. The same summaries give the same threshold on every planner.
use crate::demand_summary::{DemandSummary, DemandTotals};
use crate::{RequestDemand, FREE_CORE_CLASSES, LATENCY_BOUNDS_US, LATENCY_BUCKETS, PRIORITY_BANDS};

/// Minimum number of placement latencies from which a quantile is taken.
const MIN_LATENCY_SAMPLES: f64 = 8.0;
/// Quantile of recent placement latencies that is taken as the latency without a queue.
const UNLOADED_QUANTILE: f64 = 0.1;
/// Share of the placement rate below which a queue counts as not draining.
const MIN_DRAIN_SHARE: f64 = 0.02;
/// Bounds of the delay before a client may repeat a rejected request.
const MIN_RETRY_US: i64 = 200_000;
const MAX_RETRY_US: i64 = 30_000_000;

/// Demand, placement rate and free capacity of all planners together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionThreshold {
    offered: [f64; PRIORITY_BANDS],
    waiting: [f64; PRIORITY_BANDS],
    placed: f64,
    latency_counts: [f64; LATENCY_BUCKETS],
    free_cores: [f64; FREE_CORE_CLASSES.len()],
    /// Number of other planners whose summaries are merged.
    pub peer_count: usize,
    /// Age of the oldest merged summary, in microseconds.
    pub oldest_age_us: i64,
}

/// Summary of one peer, or of several planners of a zone combined: the sum of their demands and the
/// median of their estimates of the machines.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSummary {
    /// Age of the oldest of the combined summaries, in microseconds.
    pub age_us: i64,
    /// Number of planners whose summaries are combined.
    pub planners: usize,
    /// Combined demand and estimates of these planners.
    pub summary: DemandSummary,
}

/// Decision on a request that arrives.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Admitted: there is capacity for the request and for all waiting requests of its priority or
    /// above.
    Start,
    /// Admitted: the request must wait, but is expected to be placed in time.
    Queue,
    /// Rejected: the request is not expected to be placed in time.
    Reject {
        /// Delay before the client may repeat the request, in microseconds.
        retry_after_us: i64,
        /// Expected placement latency in microseconds; `None` if the queue ahead of the request
        /// does not drain.
        expected_us: Option<i64>,
        /// Cores of waiting requests of the same priority or above.
        cores_ahead: f64,
        /// Free cores on machines that are large enough for the request.
        cores_free: f64,
    },
}

/// Returns the median of several estimates of one fleet, or 0 if there are none. Of an even number
/// of values it is the lower middle one, so that no single planner's error adds capacity.
pub fn lower_median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// Returns the factor that reduces a peer's total demand to `limit` if it is larger.
fn limit_factor(total: f64, limit: f64) -> f64 {
    if total > limit {
        limit / total
    } else {
        1.0
    }
}

impl AdmissionThreshold {
    /// Merges the planner's own current summary with those of its peers. A summary that combines
    /// several planners counts as that many.
    ///
    /// Wrong numbers of one planner move the threshold by a bounded amount. A peer's demand counts
    /// for no more than that of all other planners together (or an even share of the fleet, if that
    /// is more), so that a peer at most doubles the sums; its estimates move the median by one
    /// position. The same holds for a zone's summary, with as many positions as it has planners.
    pub fn merge(own: &DemandSummary, peers: &[PeerSummary]) -> AdmissionThreshold {
        let mut merged = AdmissionThreshold {
            peer_count: peers.iter().map(|peer| peer.planners).sum(),
            oldest_age_us: peers.iter().map(|peer| peer.age_us).max().unwrap_or(0),
            ..AdmissionThreshold::default()
        };
        let all: Vec<(usize, &DemandSummary)> =
            std::iter::once((1, own)).chain(peers.iter().map(|p| (p.planners, &p.summary))).collect();
        // A planner that sees no machine has no estimates to merge.
        let with_machines = || all.iter().filter(|(_, summary)| summary.total_cores > 0.0);
        let median = |value: &dyn Fn(&DemandSummary) -> f64| {
            let values = with_machines().flat_map(|(planners, s)| std::iter::repeat_n(value(s), *planners));
            lower_median(values.collect())
        };
        for (class, free) in merged.free_cores.iter_mut().enumerate() {
            *free = median(&|summary| summary.free_cores[class]);
        }
        let even_share = median(&|summary| summary.total_cores) / (1 + merged.peer_count) as f64;
        let sums = all.iter().fold(DemandTotals::default(), |sums, (_, summary)| {
            let totals = summary.totals();
            DemandTotals {
                offered: sums.offered + totals.offered,
                waiting: sums.waiting + totals.waiting,
                placed: sums.placed + totals.placed,
            }
        });
        merged.add(own, DemandTotals { offered: 1.0, waiting: 1.0, placed: 1.0 });
        for (planners, summary) in &all[1..] {
            let totals = summary.totals();
            let factor =
                |sum: f64, total: f64| limit_factor(total, (sum - total).max(even_share * *planners as f64));
            let factors = DemandTotals {
                offered: factor(sums.offered, totals.offered),
                waiting: factor(sums.waiting, totals.waiting),
                placed: factor(sums.placed, totals.placed),
            };
            merged.add(summary, factors);
        }
        merged
    }

    /// Adds a summary's demand, each total multiplied by its factor.
    fn add(&mut self, summary: &DemandSummary, factors: DemandTotals) {
        for band in 0..PRIORITY_BANDS {
            self.offered[band] += summary.offered[band] * factors.offered;
            self.waiting[band] += summary.waiting[band] * factors.waiting;
            self.placed += summary.placed[band] * factors.placed;
        }
        for (sum, count) in self.latency_counts.iter_mut().zip(summary.latency_counts) {
            *sum += count * factors.placed;
        }
    }

    /// Adds cores of a request that this planner admitted since the threshold was computed, or
    /// subtracts those of one that no longer waits (negative `cores`).
    pub(crate) fn add_waiting(&mut self, band: usize, cores: f64) {
        self.waiting[band] = (self.waiting[band] + cores).max(0.0);
    }

    /// Returns the cores requested per second, by priority band.
    pub fn offered(&self) -> &[f64] {
        &self.offered
    }

    /// Returns the cores of waiting requests, by priority band.
    pub fn waiting(&self) -> &[f64] {
        &self.waiting
    }

    /// Returns the free cores by the classes of `FREE_CORE_CLASSES`.
    pub fn free_cores(&self) -> &[f64] {
        &self.free_cores
    }

    /// Returns the cores placed per second.
    pub fn placed(&self) -> f64 {
        self.placed
    }

    /// Returns the free cores on machines that are large enough for a task, as far as the classes
    /// distinguish.
    fn free_cores_for(&self, cores: f64) -> f64 {
        let last = FREE_CORE_CLASSES.len() - 1;
        let class = FREE_CORE_CLASSES.iter().position(|at_least| *at_least >= cores).unwrap_or(last);
        self.free_cores[class]
    }

    /// Returns a lower bound of the placement latency without a queue, in microseconds: the lower
    /// bound of the bucket that holds the `UNLOADED_QUANTILE` of recent latencies, or 0 if there
    /// are too few.
    fn unloaded_latency_us(&self) -> i64 {
        let count: f64 = self.latency_counts.iter().sum();
        if count < MIN_LATENCY_SAMPLES {
            return 0;
        }
        let mut cumulative = 0.0;
        let bucket = (0..LATENCY_BUCKETS).find(|bucket| {
            cumulative += self.latency_counts[*bucket];
            cumulative >= UNLOADED_QUANTILE * count
        });
        bucket.filter(|bucket| *bucket > 0).map_or(0, |bucket| LATENCY_BOUNDS_US[bucket - 1])
    }

    /// Decides on a request. Of two requests with the same needs and time left, the one with the
    /// lower priority is never treated better.
    pub fn decide(&self, demand: &RequestDemand) -> AdmissionDecision {
        let band = demand.band();
        let cores_ahead: f64 = self.waiting[band..].iter().sum();
        let cores_free = self.free_cores_for(demand.cores);
        let cores_missing = cores_ahead + demand.cores - cores_free;
        let offered_above: f64 = self.offered[band + 1..].iter().sum();
        // While more cores are requested than placed, a queue never drains: a request that waits
        // beyond its latency objective makes all later ones wait as long, and each loses value by
        // it.
        let overloaded = offered_above + self.offered[band] > self.placed;
        let time_left = demand.time_left_us;
        let max_wait = if overloaded { demand.latency_objective_us.min(time_left) } else { time_left };
        let unloaded_us = self.unloaded_latency_us();
        let expected_us = if cores_missing <= 0.0 {
            if unloaded_us <= time_left {
                return AdmissionDecision::Start;
            }
            Some(unloaded_us)
        } else if self.placed <= 0.0 {
            // Without recent placements the drain rate of the queue is unknown.
            return AdmissionDecision::Queue;
        } else {
            let drain_rate = self.placed - offered_above;
            let is_stalled = drain_rate < MIN_DRAIN_SHARE * self.placed;
            (!is_stalled).then(|| unloaded_us + (cores_missing / drain_rate * 1e6) as i64)
        };
        match expected_us {
            Some(expected) if expected <= max_wait => AdmissionDecision::Queue,
            _ => {
                let retry_after = expected_us.map_or(time_left, |x| x.saturating_sub(max_wait));
                let retry_after_us = retry_after.clamp(MIN_RETRY_US, MAX_RETRY_US);
                AdmissionDecision::Reject { retry_after_us, expected_us, cores_ahead, cores_free }
            }
        }
    }
}

/// Extrapolates a peer's summary to the present from the change of this planner's own demand:
/// `then` is this planner's summary at the time of the peer's, `now` its current one. Summaries are
/// seconds old; during a burst that adds hundreds of requests in that time, every planner would
/// otherwise count capacity that the other planners take as its own.
pub(crate) fn extrapolate(peer: &PeerSummary, then: &DemandSummary, now: &DemandSummary) -> DemandSummary {
    let mut summary = peer.summary.clone();
    let offered_then = then.totals().offered;
    if offered_then <= 0.0 {
        return summary;
    }
    // A planner with little demand sees mostly noise, which must not be scaled up to a larger
    // peer's demand.
    let relative_size = (summary.totals().offered / offered_then).min(2.0 * peer.planners as f64);
    let growth = (now.totals().offered / offered_then).clamp(0.5, 4.0);
    for band in 0..PRIORITY_BANDS {
        summary.offered[band] *= growth;
        let more = (now.waiting[band] - then.waiting[band]) * relative_size;
        summary.waiting[band] = (summary.waiting[band] + more).max(0.0);
    }
    summary
}
