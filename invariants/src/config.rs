//! Configuration of the checker: limits, frameworks and machine locations. Times are microseconds.
use std::collections::HashMap;

/// Limits that the invariants are checked against.
#[derive(Clone, Debug)]
pub struct InvariantConfig {
    /// How long after a request's deadline its final answer is still accepted.
    pub answer_grace_us: i64,
    /// How long a planner may still launch on a machine after it was notified that the machine
    /// drains or is gone.
    pub drain_grace_us: i64,
    /// How long a machine is warming up after its start.
    pub warm_up_us: i64,
    /// Length of the window in which launches on a machine that is warming up are counted.
    pub offer_window_us: i64,
    /// Maximum number of launches on a machine that is warming up, within `offer_window_us`.
    pub max_offers: usize,
    /// Largest time by which frames of two sockets may be observed out of the order of sending.
    pub reorder_tolerance_us: i64,
    /// Frameworks by name.
    pub frameworks: HashMap<String, Framework>,
}

/// How a framework's tasks may be repeated, how they are spread, and how they are prioritized.
#[derive(Clone, Debug)]
pub struct Framework {
    /// Idempotency of the tasks: `repeatable`, `keyed` (repeats are dropped by key) or `once-only`.
    pub idempotency: String,
    /// For keyed tasks: the machines that drop each other's repeats: `all`, or those of one `zone`
    /// or one `cell`.
    pub group: String,
    /// For keyed tasks: how long after a launch its repeats are dropped.
    pub window_us: i64,
    /// The domains over which tasks of a service are spread: `none`, `machine`, `cell` or `zone`.
    pub spread: String,
    /// Maximum number of tasks of one service in one domain of the spread.
    pub max_together: usize,
    /// Priority weight of one task.
    pub priority_weight: f64,
    /// Latency objective: the time from a request's submission within which it should be placed.
    pub latency_objective_us: i64,
}

/// The location and the kind of a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The zone's name.
    pub zone: String,
    /// The cell, or rack, within the zone.
    pub cell: u32,
    /// The kind of machine.
    pub kind: String,
    /// The machine's labels, which constraints can refer to.
    pub labels: Vec<String>,
}
