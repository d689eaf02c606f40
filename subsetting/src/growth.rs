//! Detects when a subset is too small. A task that has waited too long for its deadline, or that
//! fits no linked machine, becomes a query to the registry for machines with capacity for it; those
//! get extra links. The subset widens when such shortage persists while machines outside it have
//! capacity, and narrows again slowly. No I/O; times are whole microseconds.
use std::collections::BTreeMap;

/// Divisor of a task's time left: a task that waits longer than the quotient becomes a query.
const WAIT_DIVISOR: i64 = 8;
/// Minimum interval between two queries.
const QUERY_INTERVAL_US: i64 = 200_000;
/// Time after which an unanswered query counts as lost.
const QUERY_TIMEOUT_US: i64 = 1_000_000;
/// Delay before a task that still waits becomes a query again.
const REQUERY_DELAY_US: i64 = 1_000_000;
/// Maximum number of machines that one query requests.
pub const MAX_MACHINES_PER_QUERY: u32 = 4;
/// Maximum number of machine names in one query to the registry.
pub const MAX_NAMES_PER_QUERY: usize = 32;
/// Length of the window over which shortage is measured.
const WINDOW_US: i64 = 5_000_000;
/// Minimum number of shortages in a window that counts as a window of shortage.
const MIN_SHORTAGES: u64 = 5;
/// Share of a window's requests that its shortages must exceed to count as a window of shortage.
const MIN_SHORTAGE_SHARE: f64 = 0.05;
/// Time without shortage after which the subset narrows by a step.
const NARROW_AFTER_US: i64 = 60_000_000;
/// New width after a step up or down, in percent of the width before.
const WIDEN_PERCENT: u32 = 150;
const NARROW_PERCENT: u32 = 80;
/// Maximum width of a subset, in percent of the even share.
pub const MAX_WIDTH_PERCENT: u32 = 300;

/// Resources and properties that a machine must have to run a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskRequirement {
    /// Free cores that the machine must have.
    pub cores: f64,
    /// Free memory that the machine must have, in the unit of the machines' sizes.
    pub memory: f64,
    /// Index of the required machine kind; `None` for any.
    pub kind: Option<usize>,
    /// Index of the required zone; `None` for any.
    pub zone: Option<usize>,
}

impl TaskRequirement {
    /// Returns whether this requirement has the kind and zone of `other` and needs no more cores
    /// and memory, so that every machine that fulfils `other` fulfils this requirement too.
    fn is_covered_by(&self, other: &TaskRequirement) -> bool {
        let same_place = self.kind == other.kind && self.zone == other.zone;
        same_place && self.cores <= other.cores && self.memory <= other.memory
    }
}

/// A query to the registry for machines with capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityQuery {
    /// Number of the query, which increases from query to query and is repeated by the answer.
    pub number: u64,
    /// The task that has been due for a query the longest.
    pub task: usize,
    /// Requirement that the machines must fulfil.
    pub requirement: TaskRequirement,
    /// Maximum number of machines requested.
    pub max_machines: u32,
}

#[derive(Clone, Debug)]
struct PendingTask {
    requirement: TaskRequirement,
    /// Time at which the registry is queried for the task if it still waits, in microseconds.
    query_at: i64,
}

#[derive(Clone, Copy, Debug)]
struct OutstandingQuery {
    number: u64,
    sent_at: i64,
}

/// Requests and shortages counted in the current window.
#[derive(Clone, Copy, Debug)]
struct ShortageWindow {
    began_at: i64,
    requests: u64,
    shortages: u64,
}

/// Decides when to query the registry and how wide the subset should be.
#[derive(Clone, Debug)]
pub struct SubsetGrowth {
    pending: BTreeMap<usize, PendingTask>,
    last_number: u64,
    outstanding: Option<OutstandingQuery>,
    last_query_at: i64,
    /// Whether the last answer named machines outside the subset.
    capacity_outside: bool,
    window: ShortageWindow,
    last_shortage_at: i64,
    width_percent: u32,
    widened_because: Option<String>,
    queries: u64,
    queries_with_capacity: u64,
}

impl SubsetGrowth {
    /// Creates a state without pending tasks, with the subset at the even share.
    pub fn new(now: i64) -> SubsetGrowth {
        SubsetGrowth {
            pending: BTreeMap::new(),
            last_number: 0,
            outstanding: None,
            last_query_at: i64::MIN / 2,
            capacity_outside: false,
            window: ShortageWindow { began_at: now, requests: 0, shortages: 0 },
            last_shortage_at: now,
            width_percent: 100,
            widened_because: None,
            queries: 0,
            queries_with_capacity: 0,
        }
    }

    /// Records that a task waits from now on, with `time_left_us` to its deadline. `fits_linked`
    /// tells whether some linked machine is large enough for it.
    pub fn task_pending(
        &mut self,
        now: i64,
        task: usize,
        requirement: TaskRequirement,
        time_left_us: i64,
        fits_linked: bool,
    ) {
        let query_at = if fits_linked { now + time_left_us.max(0) / WAIT_DIVISOR } else { now };
        self.pending.insert(task, PendingTask { requirement, query_at });
        self.window.requests += 1;
    }

    /// Records that a task was placed or is over.
    pub fn task_settled(&mut self, task: usize) {
        self.pending.remove(&task);
    }

    /// Records that a machine refused a task, or a request was rejected, for lack of capacity.
    pub fn capacity_refused(&mut self) {
        self.window.shortages += 1;
    }

    /// Records the registry's answer to a query; `machines` is the number of named machines outside
    /// the subset. Returns false if the query is not outstanding.
    pub fn query_answered(&mut self, number: u64, machines: usize) -> bool {
        if self.outstanding.take_if(|query| query.number == number).is_none() {
            return false;
        }
        self.capacity_outside = machines > 0;
        self.queries_with_capacity += u64::from(machines > 0);
        true
    }

    /// Returns the wanted width of the subset in percent of the even share.
    pub fn width_percent(&self) -> u32 {
        self.width_percent
    }

    /// Returns the reason for the last widening; `None` if there was none.
    pub fn widened_because(&self) -> Option<&str> {
        self.widened_because.as_deref()
    }

    /// Returns the number of queries since the start.
    pub fn queries(&self) -> u64 {
        self.queries
    }

    /// Returns the number of queries since the start whose answers named machines outside the
    /// subset.
    pub fn queries_with_capacity(&self) -> u64 {
        self.queries_with_capacity
    }

    /// Returns the time at which `poll` must be called next if no other event occurs, in
    /// microseconds.
    pub fn next_at(&self) -> i64 {
        let next = self.pending.values().map(|task| task.query_at).min().unwrap_or(i64::MAX);
        let free = self
            .outstanding
            .map_or(self.last_query_at + QUERY_INTERVAL_US, |query| query.sent_at + QUERY_TIMEOUT_US);
        next.max(free).min(self.window.began_at + WINDOW_US)
    }

    /// Closes the shortage window and drops a lost query once their time is over, and returns the
    /// next query if one is due.
    pub fn poll(&mut self, now: i64) -> Option<CapacityQuery> {
        if now >= self.window.began_at + WINDOW_US {
            self.close_window(now);
        }
        self.outstanding.take_if(|query| now >= query.sent_at + QUERY_TIMEOUT_US);
        if self.outstanding.is_some() || now < self.last_query_at + QUERY_INTERVAL_US {
            return None;
        }
        let due = self.pending.iter().filter(|entry| entry.1.query_at <= now);
        let (&task, first) = due.min_by_key(|entry| entry.1.query_at)?;
        let requirement = first.requirement;
        let covered =
            |task: &PendingTask| task.query_at <= now && task.requirement.is_covered_by(&requirement);
        for task in self.pending.values_mut().filter(|task| covered(task)) {
            task.query_at = now + REQUERY_DELAY_US;
            self.window.shortages += 1;
        }
        self.last_number += 1;
        self.queries += 1;
        self.outstanding = Some(OutstandingQuery { number: self.last_number, sent_at: now });
        self.last_query_at = now;
        let (number, max_machines) = (self.last_number, MAX_MACHINES_PER_QUERY);
        Some(CapacityQuery { number, task, requirement, max_machines })
    }

    fn close_window(&mut self, now: i64) {
        let next = ShortageWindow { began_at: now, requests: 0, shortages: 0 };
        let ShortageWindow { requests, shortages, .. } = std::mem::replace(&mut self.window, next);
        if shortages >= MIN_SHORTAGES && shortages as f64 > MIN_SHORTAGE_SHARE * requests as f64 {
            self.last_shortage_at = now;
            // If no machine outside the subset has capacity, more links do not help.
            if self.capacity_outside && self.width_percent < MAX_WIDTH_PERCENT {
                self.width_percent = (self.width_percent * WIDEN_PERCENT / 100).min(MAX_WIDTH_PERCENT);
                self.widened_because =
                    Some(format!("{shortages} refusals and long waits at {requests} askings in 5 s"));
            }
        } else if now - self.last_shortage_at >= NARROW_AFTER_US && self.width_percent > 100 {
            self.last_shortage_at = now;
            self.width_percent = (self.width_percent * NARROW_PERCENT / 100).max(100);
        }
    }
}
