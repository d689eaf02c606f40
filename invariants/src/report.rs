//! Results of a check: violations and totals. The JSON field names are part of the report format
//! and stay stable.
use serde::Serialize;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The invariant's number.
    #[serde(rename = "rule")]
    pub invariant: u8,
    /// The time of the violation, in microseconds.
    #[serde(rename = "at")]
    pub at_us: i64,
    /// The planner that violated the invariant, by name and epoch. The epoch is 0 for a violation
    /// by all planners together, or by the coordinator of a rolling restart.
    pub planner: String,
    /// The task's key or the machine's name that the violation concerns.
    #[serde(rename = "about")]
    pub subject: String,
    /// What was observed, with the frames that show it.
    #[serde(rename = "what")]
    pub description: String,
}

/// Totals of the observed traffic.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TrafficTotals {
    /// Number of requests that clients submitted.
    #[serde(rename = "asks")]
    pub requests: usize,
    /// Number of requests whose first answer was "placed".
    pub placed: usize,
    /// Number of requests whose first answer was "declined".
    pub declined: usize,
    /// Number of requests whose first answer was neither "placed" nor "declined".
    pub aborted: usize,
    /// Number of unanswered requests that required no answer, as the planner's process was killed
    /// or stopped, the connection ended, or the client withdrew the request.
    pub excused: usize,
    /// Number of launches that reached machines, without repetitions of the same launch.
    pub launches: usize,
    /// Number of launch frames that repeated an earlier launch.
    #[serde(rename = "repeats")]
    pub repeated_launches: usize,
    /// Number of launches that machines accepted.
    #[serde(rename = "yes")]
    pub accepted: usize,
    /// Number of launches that machines refused.
    pub refused: usize,
    /// The largest number of launches on one machine within one window while it was warming up.
    #[serde(rename = "most_cold_offers")]
    pub max_warm_up_offers: usize,
    /// Number of requests that were declined for lack of capacity after more than half of their
    /// time: they were admitted and took part in scheduling without being placed.
    pub missed: usize,
    /// Priority weight of all tasks that were requested.
    #[serde(rename = "worth_asked")]
    pub weight_requested: f64,
    /// Priority weight of the tasks that were placed.
    #[serde(rename = "worth_placed")]
    pub weight_placed: f64,
    /// Priority weight of the tasks that were placed within their latency objective.
    #[serde(rename = "worth_in_goal")]
    pub weight_in_objective: f64,
}
