//! The summary of demand and estimated capacity that one planner publishes to the others, as plain
//! numbers.
use crate::{FREE_CORE_CLASSES, LATENCY_BUCKETS, PRIORITY_BANDS};

/// Demand and estimated capacity as one planner sees them. The summary holds only what the
/// admission threshold needs, because each number that changes is sent to every planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSummary {
    /// Cores requested per second, by priority band.
    pub offered: [f64; PRIORITY_BANDS],
    /// Cores of requests that wait to be placed, by priority band.
    pub waiting: [f64; PRIORITY_BANDS],
    /// Cores placed per second, by priority band.
    pub placed: [f64; PRIORITY_BANDS],
    /// Histogram of placement latencies, with decaying counts.
    pub latency_counts: [f64; LATENCY_BUCKETS],
    /// Free cores by the classes of `FREE_CORE_CLASSES`.
    pub free_cores: [f64; FREE_CORE_CLASSES.len()],
    /// Total cores of all machines that the planner offers work to.
    pub total_cores: f64,
}

/// Sums over all priority bands of a summary.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DemandTotals {
    /// Cores requested per second.
    pub offered: f64,
    /// Cores of waiting requests.
    pub waiting: f64,
    /// Cores placed per second.
    pub placed: f64,
}

impl DemandSummary {
    /// Number of values of a summary.
    pub const LEN: usize = Self::SUMMED_LEN + FREE_CORE_CLASSES.len() + 1;
    /// Number of leading values that describe the demand of the planner's own clients; they are
    /// summed over planners. The remaining values estimate the fleet that all planners see and are
    /// merged by the median. The last value is above 0 if the planner sees any machine.
    pub const SUMMED_LEN: usize = PRIORITY_BANDS * 3 + LATENCY_BUCKETS;

    /// Returns the values in the order in which they are sent.
    pub fn to_values(&self) -> Vec<f64> {
        let mut values = Vec::with_capacity(Self::LEN);
        values.extend(self.offered);
        values.extend(self.waiting);
        values.extend(self.placed);
        values.extend(self.latency_counts);
        values.extend(self.free_cores);
        values.push(self.total_cores);
        values
    }

    /// Reads the values of another planner's summary; `None` if values are missing, negative or not
    /// finite.
    pub fn from_values(values: &[f64]) -> Option<DemandSummary> {
        if values.len() < Self::LEN || values.iter().any(|x| !x.is_finite() || *x < 0.0) {
            return None;
        }
        let mut summary = DemandSummary::default();
        let mut rest = values;
        let mut fill = |to: &mut [f64]| {
            let (head, tail) = rest.split_at(to.len());
            to.copy_from_slice(head);
            rest = tail;
        };
        fill(&mut summary.offered);
        fill(&mut summary.waiting);
        fill(&mut summary.placed);
        fill(&mut summary.latency_counts);
        fill(&mut summary.free_cores);
        summary.total_cores = rest[0];
        Some(summary)
    }

    pub(crate) fn totals(&self) -> DemandTotals {
        DemandTotals {
            offered: self.offered.iter().sum(),
            waiting: self.waiting.iter().sum(),
            placed: self.placed.iter().sum(),
        }
    }
}
