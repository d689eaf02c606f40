//! The metrics of a planner's summary: which index has which, there and back. What they mean, and how those of
//! several planners are merged, is said by the packages that they come from.
use basaltpitch_admission::DemandSummary;
use basaltpitch_gossip::{MergeRule, MetricLayout, Metrics, MAX_METRICS};
use basaltpitch_zone_failover::{MetricMerge, ZoneMetrics, ZONE_METRICS};

// A summary holds, in this order: counts; the planner's zone; the failover decision that it goes by, token and
// number in parts that a metric holds exactly, and each zone's phase; its demand; and its metrics of each zone.

/// The counts of a planner, by the names that are printed.
pub const COUNTS: [&str; 4] = ["open", "placed", "declined", "aborted"];
const OWN_ZONE_AT: usize = COUNTS.len();
const DECISION_AT: usize = OWN_ZONE_AT + 1;
/// Parts of a token.
const TOKEN_PARTS: usize = 3;
/// Parts of a decision's number.
const NUMBER_PARTS: usize = 2;
const PHASES_AT: usize = DECISION_AT + TOKEN_PARTS + NUMBER_PARTS;
/// Bits of a part: a 32-bit float holds 24 exactly.
const PART_BITS: u32 = 22;
/// A zone's summary has two counts behind these metrics.
const MAX_SHARED: usize = MAX_METRICS - 2;

/// A failover decision, as planners pass it on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedDecision {
    /// The lease token of the coordinator that decided; 0: none did.
    pub token: u64,
    /// The number of the decision under that token.
    pub number: u64,
    /// By zone, its phase as a number.
    pub phases: Vec<f64>,
}

/// What one planner reports, or several of a zone as one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedMetrics {
    /// In the order of [`COUNTS`].
    pub counts: [f64; COUNTS.len()],
    /// The zone that it is in.
    pub own_zone: usize,
    /// The failover decision that it goes by.
    pub decision: SharedDecision,
    /// What clients ask of it, and the free capacity that it sees.
    pub demand: DemandSummary,
    /// What it sees of each zone.
    pub zones: Vec<ZoneMetrics>,
}

/// A number in parts, the highest bits first.
fn split(number: u64, parts: usize) -> impl Iterator<Item = f32> {
    let mask = (1 << PART_BITS) - 1;
    (0..parts as u32).rev().map(move |part| (number.checked_shr(part * PART_BITS).unwrap_or(0) & mask) as f32)
}

fn join(parts: &[f32]) -> u64 {
    parts.iter().fold(0, |number, part| number.wrapping_shl(PART_BITS) | *part as u64)
}

/// The number of zones of which metrics are shared, of so many: as many as fit.
pub fn shared_zone_count(zone_count: usize) -> usize {
    zone_count.min((MAX_SHARED - PHASES_AT - DemandSummary::LEN) / (1 + ZONE_METRICS.len()))
}

/// How metrics are merged, in an installation with so many zones.
pub fn layout(zone_count: usize) -> MetricLayout {
    let zone_count = shared_zone_count(zone_count);
    let mut rules = vec![MergeRule::Sum; COUNTS.len()];
    rules.push(MergeRule::First);
    rules.extend(vec![MergeRule::HighestRecord; TOKEN_PARTS + NUMBER_PARTS + zone_count]);
    rules.extend(vec![MergeRule::Sum; DemandSummary::SUMMED_LEN]);
    // The last metric of the demand is above 0 where any machine is seen.
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
    /// As metrics of the [`layout`] for so many zones; what is missing of a zone is 0.
    pub fn to_metrics(&self, zone_count: usize) -> Metrics {
        let zone_count = shared_zone_count(zone_count);
        let single = |metric: &f64| *metric as f32;
        let mut all: Vec<f32> = self.counts.iter().map(single).collect();
        all.push(self.own_zone as f32);
        let SharedDecision { token, number, phases } = &self.decision;
        all.extend(split(*token, TOKEN_PARTS).chain(split(*number, NUMBER_PARTS)));
        let phases = phases.iter().chain(std::iter::repeat(&0.0));
        all.extend(phases.take(zone_count).map(single));
        all.extend(self.demand.to_values().iter().map(single));
        let zones = self.zones.iter().chain(std::iter::repeat(&[0.0; ZONE_METRICS.len()]));
        all.extend(zones.take(zone_count).flatten().map(single));
        all.into_iter().collect()
    }

    /// From metrics of the [`layout`] for so many zones; none where they cannot be that.
    pub fn from_metrics(metrics: &Metrics, zone_count: usize) -> Option<SharedMetrics> {
        let all: Vec<f64> = metrics.iter().map(f64::from).collect();
        let zone_count = shared_zone_count(zone_count);
        let demand_at = PHASES_AT + zone_count;
        let zones_at = demand_at + DemandSummary::LEN;
        let parts: Vec<f32> = metrics.iter().skip(DECISION_AT).take(TOKEN_PARTS + NUMBER_PARTS).collect();
        let zones = all.get(zones_at..zones_at + zone_count * ZONE_METRICS.len())?;
        let mut shared = SharedMetrics {
            counts: [0.0; COUNTS.len()],
            own_zone: all[OWN_ZONE_AT] as usize,
            decision: SharedDecision {
                token: join(&parts[..TOKEN_PARTS]),
                number: join(&parts[TOKEN_PARTS..]),
                phases: all[PHASES_AT..demand_at].to_vec(),
            },
            demand: DemandSummary::from_values(&all[demand_at..zones_at])?,
            zones: zones
                .chunks_exact(ZONE_METRICS.len())
                .map(|zone| std::array::from_fn(|index| zone[index]))
                .collect(),
        };
        shared.counts.copy_from_slice(&all[..COUNTS.len()]);
        Some(shared)
    }
}
