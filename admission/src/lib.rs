//! Which askings are worth starting, by the time and the room that all planners share. The **slack** of an
//! asking is the time left to its limit less the expected time to *placed*; one whose slack is gone is
//! declined at once, before anything is done for it (deadline-aware admission; compare "DAGOR", Zhou and
//! others, "Overload control for scaling WeChat microservices", 2018, which orders by worth but not by
//! time). No I/O, no clock of its own: times are whole microseconds, cores and worth plain numbers.
//!
//! Every planner computes the same **line** from the same shares. What planners believe of the machines is
//! *fused*, as all see the same ones: the middle of their beliefs. What they are asked for is *summed*, as
//! each has owners of its own. The wrong way round, hundreds of planners would see hundreds of fleets, or
//! one queue in place of hundreds.
pub mod line;
pub mod own;
pub mod share;

pub use line::{middle, Line, Other, Verdict};
pub use own::Own;
pub use share::Share;

/// Bands of worth a core, each twice the one before; the fifth begins at 1.
pub const BANDS: usize = 8;
/// Times to placed are counted up to these, in microseconds, and beyond.
pub const STEPS: [i64; 7] = [50_000, 100_000, 200_000, 500_000, 1_000_000, 2_000_000, 5_000_000];
/// Room is counted on machines that have at least so many cores free.
pub const FITS: [f64; 3] = [1.0, 4.0, 16.0];

/// The band of a task of this worth and so many cores.
pub fn band(worth: f64, cores: f64) -> usize {
    let a_core = worth / cores.max(1e-6);
    (1..BANDS).take_while(|b| a_core >= 2f64.powi(*b as i32 - 4)).count()
}

/// The bucket of a time taken, by where buckets begin.
pub(crate) fn bucket(at: i64, begin: &[i64]) -> usize {
    begin.iter().take_while(|b| at >= **b).count()
}
