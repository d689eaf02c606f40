//! The admission threshold: what is worth starting, from what all planners tell. The same summaries give the
//! same threshold on every planner.
use crate::demand_summary::{DemandSummary, DemandTotals};
use crate::{RequestDemand, FREE_CORE_CLASSES, LATENCY_BOUNDS_US, LATENCY_BUCKETS, PRIORITY_BANDS};

/// Fewer times to placed than this are no evidence.
const MIN_LATENCY_SAMPLES: f64 = 8.0;
/// The quantile of recent times to placed that counts as the time without any queue.
const UNLOADED_QUANTILE: f64 = 0.1;
/// A queue that drains by less than this part of the placement rate counts as not draining.
const MIN_DRAIN_SHARE: f64 = 0.02;
/// Bounds of the time after which to ask again.
const MIN_RETRY_US: i64 = 200_000;
const MAX_RETRY_US: i64 = 30_000_000;

/// What all planners together are asked for, place and have capacity for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionThreshold {
    offered: [f64; PRIORITY_BANDS],
    waiting: [f64; PRIORITY_BANDS],
    placed: f64,
    latency_counts: [f64; LATENCY_BUCKETS],
    free_cores: [f64; FREE_CORE_CLASSES.len()],
    /// Other planners whose summaries are merged here.
    pub peer_count: usize,
    /// The age of the oldest of these summaries, in microseconds.
    pub oldest_age_us: i64,
}

/// The summary of one peer, or of several planners of a zone as one: of their demand the sum, of their
/// estimates of machines the median.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerSummary {
    /// The age of its oldest part, in microseconds.
    pub age_us: i64,
    /// How many planners it stands for.
    pub planners: usize,
    /// What they tell.
    pub summary: DemandSummary,
}

/// What becomes of a request on arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// Admitted: there is capacity for it and for all that waits at its priority or above.
    Start,
    /// Admitted: it will have its turn in time.
    Queue,
    /// Its time would be over before its turn.
    Reject {
        /// The time after which to ask again, in microseconds.
        retry_after_us: i64,
        /// Expected time to placed in microseconds; none where its turn never comes.
        expected_us: Option<i64>,
        /// Cores of waiting requests of its priority or above.
        cores_ahead: f64,
        /// Free cores on machines on which it fits.
        cores_free: f64,
    },
}

/// The median of what is estimated of one fleet; of an even number of values the lower middle one, so that no
/// single planner's error adds capacity. 0 where there are no values.
pub fn lower_median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

/// How much a peer's demand counts: `limit` at the most.
fn limit_factor(total: f64, limit: f64) -> f64 {
    if total > limit {
        limit / total
    } else {
        1.0
    }
}

impl AdmissionThreshold {
    /// Merges the planner's own summary of now with those of its peers. A summary that stands for several
    /// planners counts as so many.
    ///
    /// One planner's wrong numbers move the threshold by a bounded amount: of demand, a peer counts for no more
    /// than all other planners together (at least an even share of the fleet), so that it at most doubles the
    /// sums; of capacity, it moves the median by one place. The same holds for a zone's summary, with as many
    /// places as it has planners.
    pub fn merge(own: &DemandSummary, peers: &[PeerSummary]) -> AdmissionThreshold {
        let mut merged = AdmissionThreshold {
            peer_count: peers.iter().map(|peer| peer.planners).sum(),
            oldest_age_us: peers.iter().map(|peer| peer.age_us).max().unwrap_or(0),
            ..AdmissionThreshold::default()
        };
        let all: Vec<(usize, &DemandSummary)> =
            std::iter::once((1, own)).chain(peers.iter().map(|p| (p.planners, &p.summary))).collect();
        // A planner that sees no machine estimates nothing of them.
        let seeing = || all.iter().filter(|(_, summary)| summary.total_cores > 0.0);
        let median = |value: &dyn Fn(&DemandSummary) -> f64| {
            let values = seeing().flat_map(|(planners, s)| std::iter::repeat_n(value(s), *planners));
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

    /// Adds a planner's demand, each part times its factor.
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

    /// What this planner itself admitted since the threshold was computed, or no longer waits for.
    pub(crate) fn add_waiting(&mut self, band: usize, cores: f64) {
        self.waiting[band] = (self.waiting[band] + cores).max(0.0);
    }

    /// By priority band: cores requested per second.
    pub fn offered(&self) -> &[f64] {
        &self.offered
    }

    /// By priority band: cores of requests that wait.
    pub fn waiting(&self) -> &[f64] {
        &self.waiting
    }

    /// Free cores on machines with at least so many free, by `FREE_CORE_CLASSES`.
    pub fn free_cores(&self) -> &[f64] {
        &self.free_cores
    }

    /// Cores placed per second.
    pub fn placed(&self) -> f64 {
        self.placed
    }

    /// Free cores on machines on which a task fits, as far as that is counted.
    fn free_cores_for(&self, cores: f64) -> f64 {
        let last = FREE_CORE_CLASSES.len() - 1;
        let class = FREE_CORE_CLASSES.iter().position(|at_least| *at_least >= cores).unwrap_or(last);
        self.free_cores[class]
    }

    /// The time to placed without any queue: at least as long as the quickest tenth took lately, 0 where too
    /// few were placed.
    fn unloaded_latency_us(&self) -> i64 {
        let count: f64 = self.latency_counts.iter().sum();
        if count < MIN_LATENCY_SAMPLES {
            return 0;
        }
        let mut sum = 0.0;
        let bucket = (0..LATENCY_BUCKETS).find(|bucket| {
            sum += self.latency_counts[*bucket];
            sum >= UNLOADED_QUANTILE * count
        });
        bucket.filter(|bucket| *bucket > 0).map_or(0, |bucket| LATENCY_BOUNDS_US[bucket - 1])
    }

    /// Decides on a request. Of two requests with the same needs and time left, the one of lower priority is
    /// never treated better.
    pub fn decide(&self, demand: &RequestDemand) -> AdmissionDecision {
        let band = demand.band();
        let cores_ahead: f64 = self.waiting[band..].iter().sum();
        let cores_free = self.free_cores_for(demand.cores);
        let cores_missing = cores_ahead + demand.cores - cores_free;
        let offered_above: f64 = self.offered[band + 1..].iter().sum();
        // Where more is offered than is placed a queue never drains: a request that waits beyond its latency
        // objective only makes all later ones wait as long, each losing value by it.
        let overloaded = offered_above + self.offered[band] > self.placed;
        let time_left = demand.time_left_us;
        let max_wait = if overloaded { demand.latency_objective_us.min(time_left) } else { time_left };
        let unloaded = self.unloaded_latency_us();
        let expected_us = if cores_missing <= 0.0 {
            if unloaded <= time_left {
                return AdmissionDecision::Start;
            }
            Some(unloaded)
        } else if self.placed <= 0.0 {
            // Without recent placements nothing is known of how the queue drains.
            return AdmissionDecision::Queue;
        } else {
            let drain_rate = self.placed - offered_above;
            let stuck = drain_rate < MIN_DRAIN_SHARE * self.placed;
            (!stuck).then(|| unloaded + (cores_missing / drain_rate * 1e6) as i64)
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

/// A peer's summary brought up to now by how this planner's own demand went on since: `then` is what this
/// planner saw when the summary was made, `now` what it sees. Summaries are seconds old, and in a rush that
/// grows by the hundred meanwhile each planner would take the others' capacity for its own.
pub(crate) fn extrapolate(peer: &PeerSummary, then: &DemandSummary, now: &DemandSummary) -> DemandSummary {
    let mut summary = peer.summary.clone();
    let offered_then = then.totals().offered;
    if offered_then <= 0.0 {
        return summary;
    }
    // A planner with little demand sees little: its fluctuations are not taken for the others'.
    let relative_size = (summary.totals().offered / offered_then).min(2.0 * peer.planners as f64);
    let growth = (now.totals().offered / offered_then).clamp(0.5, 4.0);
    for band in 0..PRIORITY_BANDS {
        summary.offered[band] *= growth;
        let more = (now.waiting[band] - then.waiting[band]) * relative_size;
        summary.waiting[band] = (summary.waiting[band] + more).max(0.0);
    }
    summary
}
