//! What one planner reports of a zone, and how the reports of several planners are merged.

/// How reports of several planners are merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricMerge {
    /// About machines that all planners see: the median, of those whose metric at this index is above 0.
    Median(usize),
    /// The same, of what evidence rests on: passed on before others.
    UrgentMedian(usize),
    /// Counted from this planner's own attempts: the sum.
    Sum,
}

/// Index of the machines on the machine list.
pub const MACHINES: usize = 0;
/// Index of the machines that take work.
pub const READY: usize = 1;
/// Index of the cores of those.
pub const CORES: usize = 2;
/// Index of the cores of those that are used, at confidence.
pub const CORES_USED: usize = 3;
/// Index of the machines that answer, whether they are held back or not.
pub const ANSWERING: usize = 4;
/// Index of the recent attempts.
pub const ATTEMPTS: usize = 5;
/// Index of the recent attempts that were refused or failed.
pub const FAILED_ATTEMPTS: usize = 6;

/// The metrics of a zone: what they are called where they are printed, and how they are merged.
pub const ZONE_METRICS: [(&str, MetricMerge); 7] = [
    ("machines", MetricMerge::Median(MACHINES)),
    ("ready", MetricMerge::Median(MACHINES)),
    ("cores", MetricMerge::Median(READY)),
    ("used", MetricMerge::Median(READY)),
    ("answer", MetricMerge::UrgentMedian(MACHINES)),
    ("launched", MetricMerge::Sum),
    ("refused", MetricMerge::Sum),
];

/// The metrics of one zone, in the order of [`ZONE_METRICS`].
pub type ZoneMetrics = [f64; ZONE_METRICS.len()];
