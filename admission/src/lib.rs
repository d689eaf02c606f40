//! Admission control: which requests are worth starting, by the time and capacity left in the fleet.
//!
//! The **slack** of a request is the time left to its deadline less the expected time to *placed*; a request
//! whose slack is gone is rejected on arrival, before anything is done for it (deadline-aware admission;
//! compare "DAGOR", Zhou and others, "Overload control for scaling WeChat microservices", 2018, which orders
//! by priority but not by time). No I/O and no clock of its own: times are whole microseconds, cores and
//! priority weights plain numbers.
//!
//! Every planner computes the same **admission threshold** from the same summaries. What planners estimate of
//! the machines is merged by the *median*, as all see the same machines. What they are asked for is *summed*,
//! as each has clients of its own. The other way round, hundreds of planners would see hundreds of fleets, or
//! one queue in place of hundreds.
mod demand_summary;
mod local_demand;
mod threshold;

pub use demand_summary::DemandSummary;
pub use local_demand::LocalDemand;
pub use threshold::{lower_median, AdmissionDecision, AdmissionThreshold, PeerSummary};

/// Bands of priority weight per core, each twice the one before; the fifth begins at 1.
pub const PRIORITY_BANDS: usize = 8;
/// Upper bounds of the histogram of times to placed, in microseconds; one more bucket is beyond the last.
pub const LATENCY_BOUNDS_US: [i64; 7] = [50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000, 5_000_000];
/// Buckets of the histogram of times to placed.
pub const LATENCY_BUCKETS: usize = LATENCY_BOUNDS_US.len() + 1;
/// Free cores are counted separately on machines with at least so many cores free.
pub const FREE_CORE_CLASSES: [f64; 3] = [1.0, 4.0, 16.0];

/// What a request asks for, as far as admission depends on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestDemand {
    /// The priority weight of the task's class.
    pub priority_weight: f64,
    /// Cores that the task needs.
    pub cores: f64,
    /// The time within which the task should start, in microseconds.
    pub latency_objective_us: i64,
    /// Time left to the request's deadline, in microseconds.
    pub time_left_us: i64,
}

impl RequestDemand {
    /// The priority band of the request.
    pub fn band(&self) -> usize {
        priority_band(self.priority_weight, self.cores)
    }
}

/// The priority band of a task of this weight and so many cores.
pub fn priority_band(priority_weight: f64, cores: f64) -> usize {
    let per_core = priority_weight / cores.max(1e-6);
    (1..PRIORITY_BANDS).take_while(|band| per_core >= 2f64.powi(*band as i32 - 4)).count()
}

/// The histogram bucket of a time to placed.
pub(crate) fn latency_bucket(latency_us: i64) -> usize {
    LATENCY_BOUNDS_US.iter().take_while(|bound| latency_us >= **bound).count()
}
