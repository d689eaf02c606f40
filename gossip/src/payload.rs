//! What summaries carry: figures of one layout, the same at all planners of an installation. What a figure
//! means is the caller's matter; how much of a change matters, and how figures of several planners make one,
//! is the layout's to say.
use std::rc::Rc;

/// Figures, at most so many of them.
pub const MAX_METRICS: usize = 256;
/// A sum is told anew once it moved by this part of its size; what is believed of machines, by half of that:
/// thresholds are laid on it.
const SUMS: f32 = 0.125;
const BELIEFS: f32 = 0.0625;
/// What moves by less than this is never told for that alone.
const LEAST: f32 = 0.1;

/// Figures as they go on the wire, bit by bit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Metrics(pub(crate) Rc<[u32]>);

impl Metrics {
    /// The figure at a place; 0 where there is none.
    pub fn get(&self, place: usize) -> f32 {
        self.0.get(place).map_or(0.0, |bits| f32::from_bits(*bits))
    }

    pub fn iter(&self) -> impl Iterator<Item = f32> + '_ {
        self.0.iter().map(|bits| f32::from_bits(*bits))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<f32> for Metrics {
    fn from_iter<I: IntoIterator<Item = f32>>(all: I) -> Self {
        Metrics(all.into_iter().map(f32::to_bits).collect())
    }
}

/// What is to be known of figures to carry them.
pub trait Payload {
    /// How many there are.
    fn metric_count(&self) -> usize;

    /// A figure as it is told.
    fn rounded(&self, place: usize, figure: f32) -> f32;

    /// Whether it moved enough to be told anew. `coarse`: with how many doublings of what is enough, where the
    /// bytes are short.
    fn is_significant(&self, place: usize, was: f32, is: f32, coarse: u32) -> bool;

    /// Whether its moves are told before others'.
    fn is_urgent(&self, place: usize) -> bool;

    /// What several planners say, as one. Parts are never empty.
    fn merge(&self, parts: &[&Metrics]) -> Vec<f32>;
}

/// How figures of several planners make one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MergeRule {
    /// Of different owners: what one has, the others have not.
    Sum,
    /// Of the same machines: the middle of what is believed; of an even number the lower. Only those have a
    /// say whose figure at the place `sees` is above 0. `first`: told before others.
    Median { observed_by: usize, urgent: bool },
    /// All such figures together are one word, and the highest counts: compared in their order. Exact up to
    /// 2^24, and told before others.
    HighestRecord,
    /// Of the first that says it.
    First,
}

/// A rule for each figure.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MetricLayout(pub Rc<[MergeRule]>);

impl MetricLayout {
    fn rule(&self, place: usize) -> MergeRule {
        self.0.get(place).copied().unwrap_or(MergeRule::First)
    }

    fn words(&self) -> impl Iterator<Item = usize> + '_ {
        self.0
            .iter()
            .enumerate()
            .filter(|(_, rule)| **rule == MergeRule::HighestRecord)
            .map(|(place, _)| place)
    }
}

impl Payload for MetricLayout {
    fn metric_count(&self) -> usize {
        self.0.len()
    }

    /// Eight bits of it say enough, and are three bytes on the wire.
    fn rounded(&self, place: usize, figure: f32) -> f32 {
        match self.rule(place) {
            MergeRule::Sum | MergeRule::Median { .. } if figure.is_finite() => {
                let rounded = f32::from_bits(figure.to_bits().wrapping_add(0x8000) & 0xffff_0000);
                if rounded.is_finite() {
                    rounded
                } else {
                    figure
                }
            }
            _ => figure,
        }
    }

    fn is_significant(&self, place: usize, was: f32, is: f32, coarse: u32) -> bool {
        let (moved, size) = ((is - was).abs(), was.abs().max(is.abs()) * (1 << coarse) as f32);
        match self.rule(place) {
            MergeRule::Sum => moved >= LEAST && moved > SUMS * size,
            MergeRule::Median { .. } => moved >= LEAST && moved > BELIEFS * size,
            MergeRule::HighestRecord | MergeRule::First => was != is,
        }
    }

    fn is_urgent(&self, place: usize) -> bool {
        matches!(self.rule(place), MergeRule::HighestRecord | MergeRule::Median { urgent: true, .. })
    }

    fn merge(&self, parts: &[&Metrics]) -> Vec<f32> {
        let above = |a: &&&Metrics, b: &&&Metrics| {
            let compared = self.words().map(|w| a.get(w).total_cmp(&b.get(w)));
            compared.fold(std::cmp::Ordering::Equal, |so_far, next| so_far.then(next))
        };
        let newest = parts.iter().max_by(above);
        let of = |place: usize| match self.rule(place) {
            MergeRule::Sum => parts.iter().map(|p| p.get(place)).sum(),
            MergeRule::Median { observed_by, .. } => {
                let says = parts.iter().filter(|p| p.get(observed_by) > 0.0);
                let mut all: Vec<f32> = says.map(|p| p.get(place)).collect();
                all.sort_by(f32::total_cmp);
                all.get(all.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
            }
            MergeRule::HighestRecord => newest.map_or(0.0, |p| p.get(place)),
            MergeRule::First => parts.first().map_or(0.0, |p| p.get(place)),
        };
        (0..self.metric_count()).map(of).collect()
    }
}
