//! The metrics that one planner reports of a zone, and how the reports of several planners are
//! merged.

/// How one metric of several planners is merged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricMerge {
    /// The median, for metrics of machines that all planners see. Only planners whose metric at
    /// this index is above 0 count.
    Median(usize),
    /// The same median for metrics that evidence is based on, which are passed on before others.
    UrgentMedian(usize),
    /// The sum, for counts of a planner's own attempts.
    Sum,
}

/// Index of the number of machines on the machine list.
pub const MACHINES: usize = 0;
/// Index of the number of machines that take work.
pub const READY: usize = 1;
/// Index of the cores of the machines that take work.
pub const CORES: usize = 2;
/// Index of the used cores, at confidence, of the machines that take work.
pub const CORES_USED: usize = 3;
/// Index of the number of machines that answer, whether or not work is held back from them.
pub const ANSWERING: usize = 4;
/// Index of the number of recent attempts.
pub const ATTEMPTS: usize = 5;
/// Index of the number of recent attempts that were refused or failed.
pub const FAILED_ATTEMPTS: usize = 6;

/// The metrics of a zone: the name of each in status replies, and how it is merged.
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
