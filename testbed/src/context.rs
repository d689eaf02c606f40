//! What all simulated peers of one testbed share.
use crate::directory_scenario::DirectoryScenario;
use crate::machine::MachineBehaviour;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::Launch;
use basaltpitch_invariants::InvariantChecker;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// What a launch uses when it runs: cores, memory, and microseconds.
pub type TaskUsage = Box<dyn Fn(&Launch) -> (f64, f64, i64)>;

/// What all simulated peers of one testbed share.
pub struct TestbedContext {
    /// The one clock that all times are of.
    pub clock: Clock,
    /// Sees the traffic of all simulated peers.
    pub checker: RefCell<InvariantChecker>,
    /// How the machines behave.
    pub behaviour: MachineBehaviour,
    /// Attempts of keyed tasks that are active, by group of machines and key.
    pub active_keyed: RefCell<HashMap<(String, String), u32>>,
    /// What tasks use.
    pub usage: RefCell<TaskUsage>,
    /// The directory of tenants, if the scenario has one.
    pub directory: RefCell<Option<Rc<DirectoryScenario>>>,
}
