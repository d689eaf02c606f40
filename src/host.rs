//! The interface between the placement module and its caller: the `Host` trait, through which the
//! placement module acts, and the plain types that both sides exchange.
//!
//! Tasks, machines, services, frameworks, tenants, kinds and zones are identified by small indices
//! that the caller assigns. All times are in whole microseconds.
use std::collections::BTreeMap;

/// The settings of a planner by dotted name, such as `rules.coldUs` or `classes.0.name`.
pub type Settings = BTreeMap<String, Value>;

/// The value of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number; a flag that is set has the value 1.
    Number(f64),
    /// A string.
    Text(String),
}

/// Returns the number stored under `name` (1 for a flag that is set), or `None` if the setting is
/// absent or a string.
pub fn number(settings: &Settings, name: &str) -> Option<f64> {
    match settings.get(name) {
        Some(Value::Number(found)) => Some(*found),
        _ => None,
    }
}

/// Returns the string stored under `name`, or an empty string if the setting is absent or a number.
pub fn text<'a>(settings: &'a Settings, name: &str) -> &'a str {
    match settings.get(name) {
        Some(Value::Text(found)) => found,
        _ => "",
    }
}

/// An amount of resources: cores and memory units.
pub type Resources = (f64, f64);

/// The kind, zone and cell of a machine, each as an index.
pub type Location = (usize, usize, usize);

/// How an attempt or a probe ended, as far as the planner's host knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The task ran to completion, or the machine answered the probe.
    Ended,
    /// The machine answered with an error.
    Error,
    /// The machine refused the attempt; the task did not run there.
    Refused,
    /// The machine did not answer within the timeout; the task may have run.
    TimedOut,
    /// The machine could not be reached; the task did not run there.
    ConnectFailed,
    /// The link to the machine or the task itself was cut; the task may have run.
    Reset,
    /// The planner cancelled the attempt; the task may have run.
    Cancelled,
    /// The attempt ended before it was sent to the machine; the task did not run there.
    NotSent,
}

/// Whether a machine accepts work, as stated by the machine list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The machine accepts new tasks.
    Ready,
    /// The machine finishes its tasks and accepts no new ones.
    Draining,
    /// The machine no longer exists.
    Gone,
}

/// A planner's current estimates for one machine, as shown to operators. Placement does not read
/// this type; it works on the values from which the estimates are computed. The paper is "Solving
/// the Batch Stochastic Bin Packing Problem in Cloud: A Chance-constrained Optimization Approach".
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineEstimate {
    /// Whether the machine list shows the machine as ready.
    pub listed: bool,
    /// Total cores of the machine.
    pub cores: f64,
    /// Total memory units of the machine.
    pub memory: f64,
    /// Mean of the cores in use (C in the paper's formula).
    pub mean_cores: f64,
    /// Variance of the cores in use (B in the paper's formula).
    pub cores_variance: f64,
    /// Cores in use at confidence (UCaC = C + D x square root of B in the paper, with the normal
    /// quantile D).
    pub cores_at_confidence: f64,
    /// Memory units in use.
    pub used_memory: f64,
    /// Number of this planner's tasks with an attempt on the machine that has not ended.
    pub own_tasks: usize,
    /// Time of the machine's last usage report, in microseconds; 0 if it has sent none.
    pub reported_at: i64,
    /// Time at which the machine's slow start ends, in microseconds; 0 if it never warmed up.
    pub slow_start_until: i64,
    /// Time at which the machine's ejection ends, in microseconds; 0 if it was never ejected.
    pub ejected_until: i64,
    /// Whether slow start allows this planner to launch an attempt on the machine now.
    pub may_launch: bool,
}

/// The actions and queries that a planner calls while it handles an event. Each action takes effect
/// at the time of that event.
pub trait Host {
    /// Sends an attempt of the task to the machine. The attempts of a task are numbered from 0 in
    /// the order of these calls.
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64);
    /// Cancels the attempt of the task with the given number.
    fn cancel(&mut self, task: usize, attempt: u32);
    /// Answers the client that the task was not placed; the client may submit it again after
    /// `retry_after_us`.
    fn reject(&mut self, task: usize, retry_after_us: i64);
    /// Answers the client that the request ended and that the task may or may not have run.
    fn abort(&mut self, task: usize);
    /// Stops a placed task on its machine, so that its client submits it again.
    fn evict(&mut self, task: usize);
    /// Sends a health check to the machine, which also requests its usage report.
    fn probe(&mut self, machine: usize);
    /// Starts (`on`) or stops a watch of the machine list.
    fn watch_list(&mut self, on: bool);
    /// Requests the machine list once, without a watch.
    fn fetch_list(&mut self);
    /// Sets a timer; when it is due, the caller passes the token to `Planner::timer_fired`.
    fn set_timer(&mut self, after_us: i64, token: u64);
    /// Writes a line of text to the log.
    fn log(&mut self, text: &str);
    /// Returns whether the installation's constraints allow the task on the machine now.
    fn allows(&self, _task: usize, _machine: usize) -> bool {
        true
    }
    /// Returns how well the machine meets the task's preferences; higher is better. Only called to
    /// choose between machines that rank equally in the criteria that come before preferences.
    fn preference_score(&self, _task: usize, _machine: usize) -> u64 {
        0
    }
    /// Returns a number that is equal for tasks of one framework with the same constraints. While
    /// the planner serves its queue, a task that finds no machine also rules out the later tasks of
    /// its group that request at least as many cores.
    fn constraint_group(&self, _task: usize) -> usize {
        0
    }
}
