//! The metrics in a summary, in one layout for all planners of an installation. The caller defines
//! what a metric means; the layout defines which changes are significant and how metrics of several
//! planners are merged.
use std::cmp::Ordering;
use std::rc::Rc;

/// The most metrics that a summary can have.
pub const MAX_METRICS: usize = 256;
/// A sum is passed on again once it changed by more than this fraction.
const SUM_THRESHOLD: f32 = 0.125;
/// A median is passed on again once it changed by more than this fraction; callers compare medians
/// with limits, so it is half of that for sums.
const MEDIAN_THRESHOLD: f32 = 0.0625;
/// A smaller absolute change is never significant.
const MIN_CHANGE: f32 = 0.1;
/// The bits of a float that rounding keeps: the sign, the exponent and 7 bits of the fraction.
const ROUNDED_MASK: u32 = 0xffff_0000;
/// Half of the lowest bit that rounding keeps.
const ROUNDING: u32 = 0x8000;

/// Metrics in their encoded form, as the bits of 32-bit floats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Metrics(pub(crate) Rc<[u32]>);

impl Metrics {
    /// Returns the metric at an index; 0 if there is none.
    pub fn get(&self, index: usize) -> f32 {
        self.0.get(index).map_or(0.0, |bits| f32::from_bits(*bits))
    }

    /// Returns all metrics in the order of the layout.
    pub fn iter(&self) -> impl Iterator<Item = f32> + '_ {
        self.0.iter().map(|bits| f32::from_bits(*bits))
    }

    /// Returns the number of metrics.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no metrics.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<f32> for Metrics {
    fn from_iter<I: IntoIterator<Item = f32>>(metrics: I) -> Self {
        Metrics(metrics.into_iter().map(f32::to_bits).collect())
    }
}

/// The properties of metrics that gossip needs to pass them on.
pub trait Payload {
    /// Returns the number of metrics.
    fn metric_count(&self) -> usize;

    /// Returns a metric as it is passed on.
    fn rounded(&self, index: usize, metric: f32) -> f32;

    /// Returns whether a metric changed enough to be passed on again. `coarseness` is how many
    /// times the least such change is doubled because the byte budget is short.
    fn is_significant(&self, index: usize, before: f32, after: f32, coarseness: u32) -> bool;

    /// Returns whether changes of a metric are passed on before changes of other metrics.
    fn is_urgent(&self, index: usize) -> bool;

    /// Merges the metrics of several planners into one set. `reports` is never empty.
    fn merge(&self, reports: &[&Metrics]) -> Vec<f32>;
}

/// How one metric of several planners is merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MergeRule {
    /// The sum, for metrics of different clients, which are disjoint between planners.
    Sum,
    /// The median of the planners' estimates, for metrics of the same machines; of an even number
    /// the lower one.
    Median {
        /// The index of a metric that must be above 0 for a planner's estimate to count.
        observed_by: usize,
        /// Whether changes are passed on before changes of other metrics.
        urgent: bool,
    },
    /// The highest record. All metrics with this rule form one record, and records are compared
    /// metric by metric in order. Exact up to 2^24, and passed on before other metrics.
    HighestRecord,
    /// The metric of the first planner that reports it.
    First,
}

/// A layout as one merge rule per metric.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MetricLayout(pub Rc<[MergeRule]>);

impl MetricLayout {
    fn rule(&self, index: usize) -> MergeRule {
        self.0.get(index).copied().unwrap_or(MergeRule::First)
    }

    /// Compares the records of two planners.
    fn compare_records(&self, one: &Metrics, other: &Metrics) -> Ordering {
        let rules = self.0.iter().enumerate();
        let record = rules.filter(|(_, rule)| **rule == MergeRule::HighestRecord).map(|(index, _)| index);
        let compared = record.map(|index| one.get(index).total_cmp(&other.get(index)));
        compared.fold(Ordering::Equal, |so_far, next| so_far.then(next))
    }
}

/// Returns the median at an index, over the planners whose metric at `observed_by` is above 0.
fn median(reports: &[&Metrics], index: usize, observed_by: usize) -> f32 {
    let observers = reports.iter().filter(|report| report.get(observed_by) > 0.0);
    let mut metrics: Vec<f32> = observers.map(|report| report.get(index)).collect();
    metrics.sort_by(f32::total_cmp);
    metrics.get(metrics.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

impl Payload for MetricLayout {
    fn metric_count(&self) -> usize {
        self.0.len()
    }

    /// Rounds sums and medians to 8 significant bits, which is precise enough and takes three bytes
    /// when encoded.
    fn rounded(&self, index: usize, metric: f32) -> f32 {
        match self.rule(index) {
            MergeRule::Sum | MergeRule::Median { .. } if metric.is_finite() => {
                let rounded = f32::from_bits(metric.to_bits().wrapping_add(ROUNDING) & ROUNDED_MASK);
                if rounded.is_finite() {
                    rounded
                } else {
                    metric
                }
            }
            _ => metric,
        }
    }

    fn is_significant(&self, index: usize, before: f32, after: f32, coarseness: u32) -> bool {
        let change = (after - before).abs();
        let size = before.abs().max(after.abs()) * (1 << coarseness) as f32;
        match self.rule(index) {
            MergeRule::Sum => change >= MIN_CHANGE && change > SUM_THRESHOLD * size,
            MergeRule::Median { .. } => change >= MIN_CHANGE && change > MEDIAN_THRESHOLD * size,
            MergeRule::HighestRecord | MergeRule::First => before != after,
        }
    }

    fn is_urgent(&self, index: usize) -> bool {
        matches!(self.rule(index), MergeRule::HighestRecord | MergeRule::Median { urgent: true, .. })
    }

    fn merge(&self, reports: &[&Metrics]) -> Vec<f32> {
        let newest = reports.iter().max_by(|one, other| self.compare_records(one, other));
        let merged = |index: usize| match self.rule(index) {
            MergeRule::Sum => reports.iter().map(|report| report.get(index)).sum(),
            MergeRule::Median { observed_by, .. } => median(reports, index, observed_by),
            MergeRule::HighestRecord => newest.map_or(0.0, |report| report.get(index)),
            MergeRule::First => reports.first().map_or(0.0, |report| report.get(index)),
        };
        (0..self.metric_count()).map(merged).collect()
    }
}
