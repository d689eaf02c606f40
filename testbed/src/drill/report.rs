//! The report of a drill. Serialized names of fields stay the same across versions, as tools read
//! them.
use crate::process_harness::SlotReport;
use basaltpitch_invariants::{TrafficTotals, Violation};
use serde::Serialize;

/// The report of a drill.
#[derive(Clone, Debug, Serialize)]
pub struct DrillReport {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Number of machines.
    pub machines: usize,
    /// Number of planners.
    pub planners: usize,
    /// Tasks that clients had to get placed.
    #[serde(rename = "wanted")]
    pub tasks: u64,
    /// Requests that clients submitted for these tasks.
    #[serde(rename = "asked")]
    pub submitted: u64,
    /// Tasks that ran to their end.
    #[serde(rename = "done")]
    pub completed: u64,
    /// Tasks that were lost while they ran.
    pub lost: u64,
    /// Requests without an answer that clients gave up.
    pub given_up: u64,
    /// Tasks that clients gave up after the last permitted request.
    pub unplaced: u64,
    /// Attempts that machines ran.
    pub ran: u64,
    /// Times from a request to its answer "placed", in milliseconds.
    pub placed_ms: Percentiles,
    /// Counts of the traffic that the checker saw.
    pub traffic: TrafficTotals,
    /// Violations of the invariants.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Answers based on stale knowledge of the directory; 0 without a directory.
    pub stale_answers: u64,
    /// Answers other than "not allowed" to the client that joins the tenants during a directory
    /// outage; 0 without a directory.
    #[serde(rename = "newcomers")]
    pub newcomer_answers: u64,
    /// Answers that contradict the directory.
    #[serde(rename = "tenant_faults")]
    pub tenant_errors: Vec<String>,
    /// How slots were held; `None` for a scenario without slots.
    #[serde(rename = "seats")]
    pub slots: Option<SlotReport>,
}

/// Percentiles of a duration.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
}
