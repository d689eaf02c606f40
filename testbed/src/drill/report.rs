//! What came of a drill. The names of the fields in JSON are those that reports have always had.
use crate::process_harness::SlotReport;
use basaltpitch_invariants::{TrafficTotals, Violation};
use serde::Serialize;

/// What came of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct DrillReport {
    /// Where chance started from.
    pub seed: u64,
    /// How many machines there were.
    pub machines: usize,
    /// How many planners there were.
    pub planners: usize,
    /// Tasks that clients were to place.
    #[serde(rename = "wanted")]
    pub tasks: u64,
    /// Requests that clients submitted for them.
    #[serde(rename = "asked")]
    pub submitted: u64,
    /// Tasks that ran to their end.
    #[serde(rename = "done")]
    pub completed: u64,
    /// Tasks that were lost while they ran.
    pub lost: u64,
    /// Requests that clients gave up.
    pub given_up: u64,
    /// Tasks that were never placed.
    pub unplaced: u64,
    /// Attempts that machines ran.
    pub ran: u64,
    /// From a request to its answer "placed", in milliseconds.
    pub placed_ms: Percentiles,
    /// Counts of what was seen.
    pub traffic: TrafficTotals,
    /// Violations of the invariants.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Of a scenario with a directory: answers that rested on stale knowledge.
    pub stale_answers: u64,
    /// Answers to a newcomer that were not "not allowed".
    #[serde(rename = "newcomers")]
    pub newcomer_answers: u64,
    /// What was wrong with answers that rest on the directory.
    #[serde(rename = "tenant_faults")]
    pub tenant_errors: Vec<String>,
    /// Of a scenario with slots.
    #[serde(rename = "seats")]
    pub slots: Option<SlotReport>,
}

/// Percentiles of a time.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 99th.
    pub p99: f64,
    /// The 99.9th.
    pub p999: f64,
}
