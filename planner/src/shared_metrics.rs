//! The layout of the metrics in a planner's summary: converts between the flat list that gossip
//! sends and its parts. The crates that the parts come from define what the metrics mean and how
//! those of several planners are merged.
use basaltpitch_admission::DemandSummary;
use basaltpitch_gossip::{MergeRule, MetricLayout, Metrics, MAX_METRICS};
use basaltpitch_zone_failover::{MetricMerge, ZoneMetrics, ZONE_METRICS};

// A summary contains, in this order: the counts; the planner's zone; the failover decision that the
// planner follows, with its token and number split into parts that a metric represents exactly, and
// the phase of each zone; the planner's demand summary; and its metrics of each zone.

/// The names of a planner's task counts, as printed for operators.
pub const COUNTS: [&str; 4] = ["open", "placed", "declined", "aborted"];
/// Index of the planner's own zone.
const OWN_ZONE_AT: usize = COUNTS.len();
/// Index of the first part of the failover decision's token.
const DECISION_AT: usize = OWN_ZONE_AT + 1;
/// Number of metrics that hold the decision's token.
const TOKEN_PARTS: usize = 3;
/// Number of metrics that hold the decision's number.
const NUMBER_PARTS: usize = 2;
/// Index of the first zone's phase.
const PHASES_AT: usize = DECISION_AT + TOKEN_PARTS + NUMBER_PARTS;
/// Bits of one part of a token or number: a 32-bit float represents 24 bits exactly.
const PART_BITS: u32 = 22;
/// Limit on the metrics of one planner: a zone's summary has two counts after them.
const MAX_SHARED: usize = MAX_METRICS - 2;

/// A zone failover decision, as planners publish it to their peers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedDecision {
    /// The lease token of the coordinator that made the decision; 0 if there is no decision.
    pub token: u64,
    /// The number of the decision under that token.
    pub number: u64,
    /// By zone, the code of its phase.
    pub phases: Vec<f64>,
}

/// The metrics of one planner, or of several planners of a zone merged into one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedMetrics {
    /// Task counts, in the order of [`COUNTS`].
    pub counts: [f64; COUNTS.len()],
    /// The index of the planner's zone.
    pub own_zone: usize,
    /// The failover decision that the planner follows.
    pub decision: SharedDecision,
    /// The demand of the planner's clients, and the free capacity that the planner estimates.
    pub demand: DemandSummary,
    /// By zone, what the planner observes of it.
    pub zones: Vec<ZoneMetrics>,
}

/// Splits a number into parts of `PART_BITS` bits, the most significant first.
fn split(number: u64, parts: usize) -> impl Iterator<Item = f32> {
    let mask = (1 << PART_BITS) - 1;
    (0..parts as u32).rev().map(move |part| (number.checked_shr(part * PART_BITS).unwrap_or(0) & mask) as f32)
}

/// Joins the parts made by `split`.
fn join(parts: &[f32]) -> u64 {
    parts.iter().fold(0, |number, part| number.wrapping_shl(PART_BITS) | *part as u64)
}

/// Returns for how many of an installation's `zone_count` zones metrics are shared: as many as fit
/// into a summary.
pub fn shared_zone_count(zone_count: usize) -> usize {
    zone_count.min((MAX_SHARED - PHASES_AT - DemandSummary::LEN) / (1 + ZONE_METRICS.len()))
}

/// Returns how each metric is merged, in an installation with `zone_count` zones.
pub fn layout(zone_count: usize) -> MetricLayout {
    let zone_count = shared_zone_count(zone_count);
    let mut rules = vec![MergeRule::Sum; COUNTS.len()];
    rules.push(MergeRule::First);
    rules.extend(vec![MergeRule::HighestRecord; TOKEN_PARTS + NUMBER_PARTS + zone_count]);
    rules.extend(vec![MergeRule::Sum; DemandSummary::SUMMED_LEN]);
    // The last metric of the demand summary is above 0 if the planner knows any machine.
    let observed_by = rules.len() + DemandSummary::LEN - DemandSummary::SUMMED_LEN - 1;
    let median = MergeRule::Median { observed_by, urgent: false };
    rules.extend(vec![median; DemandSummary::LEN - DemandSummary::SUMMED_LEN]);
    for _ in 0..zone_count {
        let zone_at = rules.len();
        rules.extend(ZONE_METRICS.iter().map(|(_, merge)| match merge {
            MetricMerge::Median(by) => MergeRule::Median { observed_by: zone_at + by, urgent: false },
            MetricMerge::UrgentMedian(by) => MergeRule::Median { observed_by: zone_at + by, urgent: true },
            MetricMerge::Sum => MergeRule::Sum,
        }));
    }
    MetricLayout(rules.into())
}

impl SharedMetrics {
    /// Converts to metrics in the [`layout`] for `zone_count` zones; missing values of a zone
    /// become 0.
    pub fn to_metrics(&self, zone_count: usize) -> Metrics {
        let zone_count = shared_zone_count(zone_count);
        let single = |metric: &f64| *metric as f32;
        let mut values: Vec<f32> = self.counts.iter().map(single).collect();
        values.push(self.own_zone as f32);
        let SharedDecision { token, number, phases } = &self.decision;
        values.extend(split(*token, TOKEN_PARTS).chain(split(*number, NUMBER_PARTS)));
        let phases = phases.iter().chain(std::iter::repeat(&0.0));
        values.extend(phases.take(zone_count).map(single));
        values.extend(self.demand.to_values().iter().map(single));
        let zones = self.zones.iter().chain(std::iter::repeat(&[0.0; ZONE_METRICS.len()]));
        values.extend(zones.take(zone_count).flatten().map(single));
        values.into_iter().collect()
    }

    /// Converts from metrics in the [`layout`] for `zone_count` zones; `None` if the metrics do not
    /// have this layout.
    pub fn from_metrics(metrics: &Metrics, zone_count: usize) -> Option<SharedMetrics> {
        let values: Vec<f64> = metrics.iter().map(f64::from).collect();
        let zone_count = shared_zone_count(zone_count);
        let demand_at = PHASES_AT + zone_count;
        let zones_at = demand_at + DemandSummary::LEN;
        let parts: Vec<f32> = metrics.iter().skip(DECISION_AT).take(TOKEN_PARTS + NUMBER_PARTS).collect();
        let zones = values.get(zones_at..zones_at + zone_count * ZONE_METRICS.len())?;
        let mut shared = SharedMetrics {
            counts: [0.0; COUNTS.len()],
            own_zone: values[OWN_ZONE_AT] as usize,
            decision: SharedDecision {
                token: join(&parts[..TOKEN_PARTS]),
                number: join(&parts[TOKEN_PARTS..]),
                phases: values[PHASES_AT..demand_at].to_vec(),
            },
            demand: DemandSummary::from_values(&values[demand_at..zones_at])?,
            zones: zones
                .chunks_exact(ZONE_METRICS.len())
                .map(|zone| std::array::from_fn(|index| zone[index]))
                .collect(),
        };
        shared.counts.copy_from_slice(&values[..COUNTS.len()]);
        Some(shared)
    }
}
