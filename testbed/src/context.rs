//! State that all simulated peers of one testbed share.
use crate::directory_scenario::DirectoryScenario;
use crate::machine::MachineBehaviour;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::Launch;
use basaltpitch_invariants::InvariantChecker;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// Returns what an attempt uses while it runs: cores, memory, and its run time in microseconds.
pub type TaskUsage = Box<dyn Fn(&Launch) -> (f64, f64, i64)>;

/// State that all simulated peers of one testbed share.
pub struct TestbedContext {
    /// The clock that all times of the testbed are read from.
    pub clock: Clock,
    /// Checks the invariants against the traffic of all simulated peers.
    pub checker: RefCell<InvariantChecker>,
    /// How machines behave, and how often clients retry a connection.
    pub behaviour: MachineBehaviour,
    /// Number of active attempts of each keyed task, by group of machines and task key.
    pub active_keyed: RefCell<HashMap<(String, String), u32>>,
    /// Draws the usage of an attempt when a machine accepts it.
    pub usage: RefCell<TaskUsage>,
    /// The tenant directory; `None` if the scenario has none.
    pub directory: RefCell<Option<Rc<DirectoryScenario>>>,
}
