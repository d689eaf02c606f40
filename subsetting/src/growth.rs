//! When a subset is too small. A task that waits too long for its deadline, or that no linked machine could ever
//! take, becomes a query to the registry: which machines have capacity for this? Those get extra links. Where
//! that goes on while machines outside have capacity, the subset widens; it narrows again slowly. No I/O; times
//! are whole microseconds.
use std::collections::BTreeMap;

/// A task may wait for one part in so many of its time before the registry is queried.
const WAIT_DIVISOR: i64 = 8;
/// Between two queries.
const QUERY_INTERVAL_US: i64 = 200_000;
/// After this time an unanswered query counts as lost.
const QUERY_TIMEOUT_US: i64 = 1_000_000;
/// A task that still waits is queried for again after this time.
const REQUERY_DELAY_US: i64 = 1_000_000;
/// Machines that one query asks for at the most.
pub const MAX_MACHINES_PER_QUERY: u32 = 4;
/// Names that one query to the registry holds at the most.
pub const MAX_NAMES_PER_QUERY: usize = 32;
/// Shortage is judged over this time: it takes this many cases, and this part of all requests.
const WINDOW_US: i64 = 5_000_000;
const MIN_SHORTAGES: u64 = 5;
const MIN_SHORTAGE_SHARE: f64 = 0.05;
/// Without shortage for so long, the subset narrows by a step.
const NARROW_AFTER_US: i64 = 60_000_000;
/// A step up and a step down, in percent of the width before.
const WIDEN_PERCENT: u32 = 150;
const NARROW_PERCENT: u32 = 80;
/// The widest that a subset becomes, in percent of the even share.
pub const MAX_WIDTH_PERCENT: u32 = 300;

/// What a machine must have to take a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskRequirement {
    /// Free cores.
    pub cores: f64,
    /// Free memory, in the unit of the machines' sizes.
    pub memory: f64,
    /// Index of the machine kind, where the task is bound to one.
    pub kind: Option<usize>,
    /// Index of the zone, where the task is bound to one.
    pub zone: Option<usize>,
}

impl TaskRequirement {
    /// Whether every machine that fulfils `other` fulfils this.
    fn is_covered_by(&self, other: &TaskRequirement) -> bool {
        let same_place = self.kind == other.kind && self.zone == other.zone;
        same_place && self.cores <= other.cores && self.memory <= other.memory
    }
}

/// A query to the registry for machines with capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityQuery {
    /// Rises from query to query; the answer repeats it.
    pub number: u64,
    /// The task that waits longest.
    pub task: usize,
    /// What the machines must have.
    pub requirement: TaskRequirement,
    /// Machines asked for at the most.
    pub max_machines: u32,
}

#[derive(Clone, Debug)]
struct PendingTask {
    requirement: TaskRequirement,
    /// When the registry is queried for it, if it still waits then.
    query_at: i64,
}

#[derive(Clone, Copy, Debug)]
struct OutstandingQuery {
    number: u64,
    sent_at: i64,
}

/// The window over which shortage is judged.
#[derive(Clone, Copy, Debug)]
struct ShortageWindow {
    began_at: i64,
    requests: u64,
    shortages: u64,
}

/// Decides when to query the registry, and how wide the subset is to be.
#[derive(Clone, Debug)]
pub struct SubsetGrowth {
    pending: BTreeMap<usize, PendingTask>,
    last_number: u64,
    outstanding: Option<OutstandingQuery>,
    last_query_at: i64,
    /// The last answer named machines.
    capacity_outside: bool,
    window: ShortageWindow,
    last_shortage_at: i64,
    width_percent: u32,
    widened_because: Option<String>,
    queries: u64,
    queries_with_capacity: u64,
}

impl SubsetGrowth {
    /// Nothing waits, and the subset is the even share.
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

    /// A task waits from now on, with so much time left. `fits_linked`: some linked machine is large enough.
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

    /// A task was placed, or is over.
    pub fn task_settled(&mut self, task: usize) {
        self.pending.remove(&task);
    }

    /// A machine refused a task for lack of capacity, or a request was rejected for it.
    pub fn capacity_refused(&mut self) {
        self.window.shortages += 1;
    }

    /// The registry answered; false if that query is not outstanding. `machines`: how many of those named are
    /// outside the subset.
    pub fn query_answered(&mut self, number: u64, machines: usize) -> bool {
        if self.outstanding.take_if(|query| query.number == number).is_none() {
            return false;
        }
        self.capacity_outside = machines > 0;
        self.queries_with_capacity += u64::from(machines > 0);
        true
    }

    /// How wide the subset is to be, in percent of the even share.
    pub fn width_percent(&self) -> u32 {
        self.width_percent
    }

    /// Why it was last widened.
    pub fn widened_because(&self) -> Option<&str> {
        self.widened_because.as_deref()
    }

    /// Queries since the start.
    pub fn queries(&self) -> u64 {
        self.queries
    }

    /// Queries since the start whose answers named machines.
    pub fn queries_with_capacity(&self) -> u64 {
        self.queries_with_capacity
    }

    /// When `poll` has something to do, if nothing else happens.
    pub fn next_at(&self) -> i64 {
        let next = self.pending.values().map(|task| task.query_at).min().unwrap_or(i64::MAX);
        let free = self
            .outstanding
            .map_or(self.last_query_at + QUERY_INTERVAL_US, |query| query.sent_at + QUERY_TIMEOUT_US);
        next.max(free).min(self.window.began_at + WINDOW_US)
    }

    /// Time passes: the next query, if there is one.
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
            // Where no machine outside has capacity, more links bring nothing.
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
