//! What a check found. The names of the fields in JSON are those that reports have always had.
use serde::Serialize;

/// An invariant that was not kept: which task or machine, when, and the frames that show it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The invariant's number.
    #[serde(rename = "rule")]
    pub invariant: u8,
    /// When, in microseconds.
    #[serde(rename = "at")]
    pub at_us: i64,
    /// The planner's name and epoch, or who else broke it.
    pub planner: String,
    /// The task or machine that it is about.
    #[serde(rename = "about")]
    pub subject: String,
    /// The frames that show it.
    #[serde(rename = "what")]
    pub description: String,
}

/// Counts of what was seen.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TrafficTotals {
    /// Requests that clients submitted.
    #[serde(rename = "asks")]
    pub requests: usize,
    /// Requests whose first answer was "placed".
    pub placed: usize,
    /// Requests whose first answer was "declined".
    pub declined: usize,
    /// Requests whose first answer was another.
    pub aborted: usize,
    /// Requests whose planner died, whose connection broke or whose client withdrew: no answer is owed.
    pub excused: usize,
    /// Launches that machines read.
    pub launches: usize,
    /// Launches that machines read once more.
    #[serde(rename = "repeats")]
    pub repeated_launches: usize,
    /// Launches that machines accepted.
    #[serde(rename = "yes")]
    pub accepted: usize,
    /// Launches that machines refused.
    pub refused: usize,
    /// The most offers that a machine that warmed up got within a window.
    #[serde(rename = "most_cold_offers")]
    pub max_warm_up_offers: usize,
    /// Declined for want of capacity when over half of its time had gone: admitted, and not worth it.
    pub missed: usize,
    /// Priority weight of all tasks that were requested.
    #[serde(rename = "worth_asked")]
    pub weight_requested: f64,
    /// Priority weight of those that were placed.
    #[serde(rename = "worth_placed")]
    pub weight_placed: f64,
    /// Priority weight of those that were placed within their latency objective.
    #[serde(rename = "worth_in_goal")]
    pub weight_in_objective: f64,
}
