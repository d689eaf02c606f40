//! What the decision module is called with and what it calls: the `Host` trait and plain types.
//! Tasks, machines, services, frameworks, tenants, kinds and zones are small indices that the caller
//! hands out; all times are whole microseconds.
use std::collections::BTreeMap;

/// The settings of a planner under their dotted names, such as `rules.coldUs` or `classes.0.name`.
pub type Settings = BTreeMap<String, Value>;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Number(f64),
    Text(String),
}

/// The number under `name`; a mark that is set reads as 1. `None` where it is absent or a text.
pub fn number(given: &Settings, name: &str) -> Option<f64> {
    match given.get(name) {
        Some(Value::Number(n)) => Some(*n),
        _ => None,
    }
}

/// The text under `name`, empty where there is none.
pub fn text<'a>(given: &'a Settings, name: &str) -> &'a str {
    match given.get(name) {
        Some(Value::Text(t)) => t,
        _ => "",
    }
}

/// Cores and memory units.
pub type Resources = (f64, f64);

/// Kind, zone and cell of a machine.
pub type Location = (usize, usize, usize);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Ended,
    Error,
    Full,
    TimedOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    Gone,
}

/// What a planner believes of a machine, for operators: nothing is decided from it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineEstimate {
    pub listed: bool,
    pub cores: f64,
    pub memory: f64,
    /// The paper's C and B, and UCaC = C + D x root of B: cores used at confidence.
    pub c: f64,
    pub b: f64,
    pub ucac: f64,
    pub used_memory: f64,
    /// Own launches and tasks without an outcome.
    pub held: usize,
    /// Clock times in microseconds, 0 where there was none: last report, cold until, barred until.
    pub report_at: i64,
    pub cold_until: i64,
    pub shun_until: i64,
    /// Whether the cold budget lets this planner launch here now.
    pub may_launch: bool,
}

/// What the planner can do. Each call takes effect at the time of the event being handled.
pub trait Host {
    /// Offers the task to the machine; launches of a task count 0, 1, 2 ...
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64);
    fn cancel(&mut self, task: usize, launch: u32);
    fn reject(&mut self, task: usize, retry_after_us: i64);
    fn abort(&mut self, task: usize);
    /// Stops a placed task, so that its owner asks again.
    fn evict(&mut self, task: usize);
    fn probe(&mut self, machine: usize);
    fn watch_list(&mut self, on: bool);
    fn fetch_list(&mut self);
    fn set_timer(&mut self, after_us: i64, token: u64);
    fn log(&mut self, text: &str);
    /// Whether clauses of the installation let the task go to the machine now.
    fn allows(&self, _task: usize, _machine: usize) -> bool {
        true
    }
    /// How well its wishes are met there; more is better. Asked of machines that fit and suit equally well.
    fn preference_score(&self, _task: usize, _machine: usize) -> u64 {
        0
    }
    /// Tasks of one framework with the same number are bound alike: where one cannot go, no larger one can.
    fn constraint_group(&self, _task: usize) -> usize {
        0
    }
}
