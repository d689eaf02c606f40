//! What summaries carry: metrics in one layout, the same at all planners of an installation. What a metric
//! means is the caller's matter; how much of a change matters, and how metrics of several planners are merged,
//! is the layout's to say.
use std::cmp::Ordering;
use std::rc::Rc;

/// A summary has at most so many metrics.
pub const MAX_METRICS: usize = 256;
/// A sum is passed on anew once it changed by more than this part of its size.
const SUM_THRESHOLD: f32 = 0.125;
/// A median, once it changed by more than this part: limits are laid on it.
const MEDIAN_THRESHOLD: f32 = 0.0625;
/// A smaller change is never passed on for itself.
const MIN_CHANGE: f32 = 0.1;
/// The bits of a float that are kept: sign, exponent and seven of the fraction.
const ROUNDED_MASK: u32 = 0xffff_0000;
/// Half of the least bit that is kept.
const ROUNDING: u32 = 0x8000;

/// Metrics as they go on the wire, as the bits of 32-bit floats.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Metrics(pub(crate) Rc<[u32]>);

impl Metrics {
    /// The metric at an index; 0 where there is none.
    pub fn get(&self, index: usize) -> f32 {
        self.0.get(index).map_or(0.0, |bits| f32::from_bits(*bits))
    }

    /// All metrics, in their order.
    pub fn iter(&self) -> impl Iterator<Item = f32> + '_ {
        self.0.iter().map(|bits| f32::from_bits(*bits))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<f32> for Metrics {
    fn from_iter<I: IntoIterator<Item = f32>>(metrics: I) -> Self {
        Metrics(metrics.into_iter().map(f32::to_bits).collect())
    }
}

/// What gossip needs to know of metrics to pass them on.
pub trait Payload {
    /// How many there are.
    fn metric_count(&self) -> usize;

    /// A metric as it is passed on.
    fn rounded(&self, index: usize, metric: f32) -> f32;

    /// Whether it changed enough to be passed on anew. `coarseness`: how often the least such change is
    /// doubled, where bytes are short.
    fn is_significant(&self, index: usize, before: f32, after: f32, coarseness: u32) -> bool;

    /// Whether its changes are passed on before others'.
    fn is_urgent(&self, index: usize) -> bool;

    /// What several planners report, as one. `parts` is never empty.
    fn merge(&self, parts: &[&Metrics]) -> Vec<f32>;
}

/// How a metric of several planners is merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MergeRule {
    /// Of different clients: what one planner has, the others have not.
    Sum,
    /// Of the same machines: the median of what is believed; of an even number the lower.
    Median {
        /// Only those planners count whose metric at this index is above 0.
        observed_by: usize,
        /// Passed on before others.
        urgent: bool,
    },
    /// All such metrics together are one record, and the highest counts: compared in their order. Exact up to
    /// 2^24, and passed on before others.
    HighestRecord,
    /// Of the first planner that reports it.
    First,
}

/// A rule for each metric.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MetricLayout(pub Rc<[MergeRule]>);

impl MetricLayout {
    fn rule(&self, index: usize) -> MergeRule {
        self.0.get(index).copied().unwrap_or(MergeRule::First)
    }

    /// Which of two planners has the higher record.
    fn compare_records(&self, one: &Metrics, other: &Metrics) -> Ordering {
        let rules = self.0.iter().enumerate();
        let record = rules.filter(|(_, rule)| **rule == MergeRule::HighestRecord).map(|(index, _)| index);
        let compared = record.map(|index| one.get(index).total_cmp(&other.get(index)));
        compared.fold(Ordering::Equal, |so_far, next| so_far.then(next))
    }
}

/// The median at an index, of the parts that see what it is about.
fn median(parts: &[&Metrics], index: usize, observed_by: usize) -> f32 {
    let observers = parts.iter().filter(|part| part.get(observed_by) > 0.0);
    let mut metrics: Vec<f32> = observers.map(|part| part.get(index)).collect();
    metrics.sort_by(f32::total_cmp);
    metrics.get(metrics.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}

impl Payload for MetricLayout {
    fn metric_count(&self) -> usize {
        self.0.len()
    }

    /// Eight bits of it say enough, and are three bytes on the wire.
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

    fn merge(&self, parts: &[&Metrics]) -> Vec<f32> {
        let newest = parts.iter().max_by(|one, other| self.compare_records(one, other));
        let merged = |index: usize| match self.rule(index) {
            MergeRule::Sum => parts.iter().map(|part| part.get(index)).sum(),
            MergeRule::Median { observed_by, .. } => median(parts, index, observed_by),
            MergeRule::HighestRecord => newest.map_or(0.0, |part| part.get(index)),
            MergeRule::First => parts.first().map_or(0.0, |part| part.get(index)),
        };
        (0..self.metric_count()).map(merged).collect()
    }
}
