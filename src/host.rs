//! What the placement module is called with and what it calls: the `Host` trait and plain types.
//! Tasks, machines, services, frameworks, tenants, kinds and zones are small indices that the caller
//! hands out; all times are whole microseconds.
use std::collections::BTreeMap;

/// The settings of a planner under their dotted names, such as `rules.coldUs` or `classes.0.name`.
pub type Settings = BTreeMap<String, Value>;

/// The value of one setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number; a mark that is set is 1.
    Number(f64),
    /// A text.
    Text(String),
}

/// The number under `name`; a mark that is set reads as 1. `None` where it is absent or a text.
pub fn number(settings: &Settings, name: &str) -> Option<f64> {
    match settings.get(name) {
        Some(Value::Number(found)) => Some(*found),
        _ => None,
    }
}

/// The text under `name`, empty where there is none.
pub fn text<'a>(settings: &'a Settings, name: &str) -> &'a str {
    match settings.get(name) {
        Some(Value::Text(found)) => found,
        _ => "",
    }
}

/// Cores and memory units.
pub type Resources = (f64, f64);

/// Kind, zone and cell of a machine.
pub type Location = (usize, usize, usize);

/// How an attempt or a probe ended, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It ran to its end; a probe was answered.
    Ended,
    /// The machine answered with an error.
    Error,
    /// The machine refused it; it never ran.
    Full,
    /// No answer came within the timeout; it may have run.
    TimedOut,
    /// The machine could not be reached; it never ran.
    ConnectFailed,
    /// The link or the task was cut; it may have run.
    Reset,
    /// The planner cancelled it; it may have run.
    Cancelled,
    /// It was over before it was sent; it never ran.
    Moot,
}

/// Whether a machine takes work, as listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It takes work.
    Ready,
    /// It takes no new work.
    Draining,
    /// It is not there any more.
    Gone,
}

/// What a planner believes of a machine, for operators: nothing is decided from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineEstimate {
    /// Whether the list shows it as ready.
    pub listed: bool,
    /// All cores of the machine.
    pub cores: f64,
    /// All memory units of the machine.
    pub memory: f64,
    /// Mean of the cores in use: the paper's C.
    pub mean_cores: f64,
    /// Variance of the cores in use: the paper's B.
    pub cores_variance: f64,
    /// Cores used at confidence: the paper's UCaC = C + D x root of B.
    pub cores_at_confidence: f64,
    /// Memory units in use.
    pub used_memory: f64,
    /// Own tasks with an attempt that has no outcome yet.
    pub own_tasks: usize,
    /// Clock time of the last report, in microseconds, 0 where there was none.
    pub reported_at: i64,
    /// Clock time until which it warms up, in microseconds, 0 where it does not.
    pub slow_start_until: i64,
    /// Clock time until which it is ejected, in microseconds, 0 where it is not.
    pub ejected_until: i64,
    /// Whether slow start lets this planner send an attempt there now.
    pub may_launch: bool,
}

/// What the planner can do. Each call takes effect at the time of the event being handled.
pub trait Host {
    /// Offers the task to the machine; attempts of a task count 0, 1, 2 ...
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64);
    /// Calls back an attempt of a task.
    fn cancel(&mut self, task: usize, attempt: u32);
    /// Answers that the task does not run; its client may ask again after that time.
    fn reject(&mut self, task: usize, retry_after_us: i64);
    /// Answers that it is not known whether the task ran.
    fn abort(&mut self, task: usize);
    /// Stops a placed task, so that its client asks again.
    fn evict(&mut self, task: usize);
    /// Asks a machine whether it is well, and for its report.
    fn probe(&mut self, machine: usize);
    /// Begins or ends a watch of the machine list.
    fn watch_list(&mut self, on: bool);
    /// Asks for the machine list once.
    fn fetch_list(&mut self);
    /// Sets a timer, which comes back as `Planner::timer_fired` with the token.
    fn set_timer(&mut self, after_us: i64, token: u64);
    /// Writes a line to the log.
    fn log(&mut self, text: &str);
    /// Whether the installation's constraints let the task go to the machine now.
    fn allows(&self, _task: usize, _machine: usize) -> bool {
        true
    }
    /// How well its preferences are met there; more is better. Asked of machines that fit and suit equally well.
    fn preference_score(&self, _task: usize, _machine: usize) -> u64 {
        0
    }
    /// Tasks of one framework with the same number have the same constraints: where one cannot go, no larger one
    /// can.
    fn constraint_group(&self, _task: usize) -> usize {
        0
    }
}
