//! What one planner tells the others of its demand and of the fleet, as plain numbers.
use crate::{FREE_CORE_CLASSES, LATENCY_BUCKETS, PRIORITY_BANDS};

/// Demand and estimated capacity as one planner sees them. It holds no more than the admission threshold
/// needs: each number that changes is sent to every planner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandSummary {
    /// By priority band: cores requested per second.
    pub offered: [f64; PRIORITY_BANDS],
    /// By priority band: cores of requests that wait to be placed.
    pub waiting: [f64; PRIORITY_BANDS],
    /// By priority band: cores placed per second.
    pub placed: [f64; PRIORITY_BANDS],
    /// Histogram of times to placed, with counts that decay.
    pub latency_counts: [f64; LATENCY_BUCKETS],
    /// Free cores on machines with at least so many free, by `FREE_CORE_CLASSES`.
    pub free_cores: [f64; FREE_CORE_CLASSES.len()],
    /// Cores of all machines that are offered work.
    pub total_cores: f64,
}

/// Sums over all bands of a summary.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DemandTotals {
    /// Cores requested per second.
    pub offered: f64,
    /// Cores of requests that wait.
    pub waiting: f64,
    /// Cores placed per second.
    pub placed: f64,
}

impl DemandSummary {
    /// How many numbers a summary is.
    pub const LEN: usize = Self::SUMMED_LEN + FREE_CORE_CLASSES.len() + 1;
    /// The first so many numbers describe the demand of this planner's own clients and are summed over planners;
    /// the others estimate the fleet that all planners see and are merged by the median. The last number is
    /// above 0 where any machine is seen.
    pub const SUMMED_LEN: usize = PRIORITY_BANDS * 3 + LATENCY_BUCKETS;

    /// The numbers in the order in which they are sent.
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

    /// Reads the numbers of another planner; none where some are missing, negative or not finite.
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
