//! What the traffic is checked against. All times are microseconds.
use std::collections::HashMap;

/// Limits that the invariants rest on.
#[derive(Clone, Debug)]
pub struct InvariantConfig {
    /// An answer may come so long after the request's time limit.
    pub answer_grace_us: i64,
    /// A planner may launch on a machine so long after it was told that the machine drains or is gone.
    pub drain_grace_us: i64,
    /// A machine warms up for so long after its start.
    pub warm_up_us: i64,
    /// The window in which offers to a machine that warms up are counted.
    pub offer_window_us: i64,
    /// Offers within that window, at most.
    pub max_offers: usize,
    /// Frames on two sockets can be seen in another order than they were sent in, by this much.
    pub reorder_tolerance_us: i64,
    /// By name.
    pub frameworks: HashMap<String, Framework>,
}

/// How tasks of a framework may be repeated and placed.
#[derive(Clone, Debug)]
pub struct Framework {
    /// Whether a task may run again: `repeatable`, `keyed` or `once-only`.
    pub repeats: String,
    /// Of keyed tasks, the machines that know of each other's repeats: `all`, `zone` or `cell`.
    pub group: String,
    /// Of keyed tasks: repeats are known for so long.
    pub window_us: i64,
    /// Where tasks of one service are kept apart: `none`, `machine`, `cell` or `zone`.
    pub spread: String,
    /// Tasks of one service in one such place, at most.
    pub max_together: usize,
    /// What one task counts.
    pub priority_weight: f64,
    /// A task should be placed within this time of its request.
    pub latency_objective_us: i64,
}

/// Where a machine is, and what it is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The zone's name.
    pub zone: String,
    /// The cell, or rack, within the zone.
    pub cell: u32,
    /// The kind of machine.
    pub kind: String,
    /// Labels that constraints may name.
    pub labels: Vec<String>,
}
