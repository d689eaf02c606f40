//! Admission control: decides which requests are worth starting, from their time left and the
//! capacity left in the fleet.
//!
//! The **slack** of a request is the time left to its deadline less the expected time until it is
//! placed. A request without slack is rejected on arrival, before any work is done for it
//! (deadline-aware admission; compare "DAGOR", Zhou and others, "Overload control for scaling
//! WeChat microservices", 2018, which orders by priority but not by time). The crate does no I/O
//! and reads no clock: times are whole microseconds, cores and priority weights are plain numbers.
//!
//! Every planner computes the same **admission threshold** from the same summaries. Planners'
//! estimates of the machines are merged by their *median*, because all planners see the same
//! machines. Their demands are *summed*, because each planner has clients of its own. Summed
//! estimates would count the fleet once for every planner, and a median of demands would count one
//! queue in place of hundreds.
mod demand_summary;
mod local_demand;
mod threshold;

pub use demand_summary::DemandSummary;
pub use local_demand::LocalDemand;
pub use threshold::{lower_median, AdmissionDecision, AdmissionThreshold, PeerSummary};

/// Number of bands of priority weight per core; the lower bound of each band is twice the one
/// before, and the fifth band begins at 1.
pub const PRIORITY_BANDS: usize = 8;
/// Upper bounds of the histogram of placement latencies, in microseconds; one more bucket counts
/// those beyond the last bound.
pub const LATENCY_BOUNDS_US: [i64; 7] = [50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000, 5_000_000];
/// Number of buckets of the histogram of placement latencies.
pub const LATENCY_BUCKETS: usize = LATENCY_BOUNDS_US.len() + 1;
/// Minimum free cores of a machine, by class: a class sums the free cores of all machines that have
/// at least this many.
pub const FREE_CORE_CLASSES: [f64; 3] = [1.0, 4.0, 16.0];

/// Properties of a request on which admission depends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestDemand {
    /// Priority weight of the task's framework.
    pub priority_weight: f64,
    /// Cores that the task needs.
    pub cores: f64,
    /// Time within which the task should start, in microseconds.
    pub latency_objective_us: i64,
    /// Time left to the request's deadline, in microseconds.
    pub time_left_us: i64,
}

impl RequestDemand {
    /// Returns the priority band of the request.
    pub fn band(&self) -> usize {
        priority_band(self.priority_weight, self.cores)
    }
}

/// Returns the priority band of a task with the given weight and cores.
pub fn priority_band(priority_weight: f64, cores: f64) -> usize {
    let per_core = priority_weight / cores.max(1e-6);
    (1..PRIORITY_BANDS).take_while(|band| per_core >= 2f64.powi(*band as i32 - 4)).count()
}

/// Returns the histogram bucket of a placement latency.
pub(crate) fn latency_bucket(latency_us: i64) -> usize {
    LATENCY_BOUNDS_US.iter().take_while(|bound| latency_us >= **bound).count()
}
