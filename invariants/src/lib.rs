//! Checks the scheduler's invariants from the traffic that machines, the registry and clients saw, never from
//! a planner's own words. It shares no code with the planner's decisions. Times are whole microseconds of one
//! clock, that of the process in which the testbed lives. A link to a machine may hold frames back, so each
//! frame counts when it matters: what a planner does, when it is on the machine's socket; what it can know,
//! when that is written there; what a machine does and knows, when the machine itself sends or receives it.
//!
//! | number | invariant | checked in |
//! | --- | --- | --- |
//! | 1 | one final answer to each request, in time | [`requests`], [`repeats`] |
//! | 2 | nothing runs twice that must not | [`repeats`] |
//! | 3 | no launch on a machine that is known to drain | [`drains`] |
//! | 4 | a machine that warms up gets few offers | [`warm_up`] |
//! | 5 | tasks of a service are spread | [`spread`] |
//! | 6 | placement constraints hold | [`placement`] |
//! | 7 | one holder of a planner's name acts | [`fencing`] |
//! | 8 | a rolling restart stays within its limit | [`rolling_restart`] |
//! | 10 | a zone that recovers is used step by step | [`zone_recovery`] |
//! | 11 | higher priority goes first | [`priority`] |
mod config;
mod drains;
mod fencing;
mod launches;
pub mod placement;
mod planners;
mod priority;
mod repeats;
mod report;
mod requests;
mod rolling_restart;
mod spread;
mod warm_up;
mod zone_recovery;

use crate::drains::DrainNotices;
use crate::fencing::Epochs;
use crate::launches::Launches;
use crate::placement::PlacementInvariant;
use crate::planners::Planners;
use crate::requests::RequestRecord;
use crate::rolling_restart::RollingRestart;
use crate::warm_up::WarmUps;
use crate::zone_recovery::ZoneRecovery;
use std::collections::{BTreeMap, HashMap};

pub use crate::config::{Framework, InvariantConfig, Location};
pub use crate::report::{TrafficTotals, Violation};

/// One incarnation of a planner: its name and its epoch.
pub type Incarnation = (String, u64);

/// A request: the planner that it was submitted to, the task's key, and the client's number of the request.
type RequestId = (Incarnation, String, u64);

/// Watches the traffic and collects violations of the invariants.
pub struct InvariantChecker {
    config: InvariantConfig,
    placement_invariants: Vec<PlacementInvariant>,
    requests: BTreeMap<RequestId, RequestRecord>,
    launches: Launches,
    locations: HashMap<String, Location>,
    drains: DrainNotices,
    warm_ups: WarmUps,
    planners: Planners,
    epochs: Epochs,
    /// By zone that all planners declared failed and whose machines are back.
    recoveries: HashMap<String, ZoneRecovery>,
    /// The rolling restart that was started, if any.
    rolling_restart: Option<RollingRestart>,
    violations: Vec<Violation>,
    totals: TrafficTotals,
}

impl InvariantChecker {
    /// A checker that has seen no traffic yet.
    pub fn new(config: InvariantConfig) -> Self {
        InvariantChecker {
            config,
            placement_invariants: Vec::new(),
            requests: BTreeMap::new(),
            launches: Launches::default(),
            locations: HashMap::new(),
            drains: DrainNotices::default(),
            warm_ups: WarmUps::default(),
            planners: Planners::default(),
            epochs: Epochs::default(),
            recoveries: HashMap::new(),
            rolling_restart: None,
            violations: Vec::new(),
            totals: TrafficTotals::default(),
        }
    }

    /// Placement constraints to check, as invariant 6.
    pub fn set_placement_invariants(&mut self, invariants: Vec<PlacementInvariant>) {
        self.placement_invariants = invariants;
    }

    /// Says where a machine is.
    pub fn set_location(&mut self, machine: &str, location: Location) {
        self.locations.insert(machine.to_owned(), location);
    }

    /// A machine started, with nothing on it, and warms up from now on.
    pub fn machine_started(&mut self, at_us: i64, machine: &str) {
        self.warm_ups.started(at_us, machine);
        if let Some(restart) = &mut self.rolling_restart {
            restart.machine_started(at_us, machine);
        }
        self.drains.forget_machine(machine);
        self.launches.machine_started(machine);
    }

    fn report(&mut self, invariant: u8, at_us: i64, planner: &Incarnation, subject: &str, text: String) {
        self.violations.push(Violation {
            invariant,
            at_us,
            planner: format!("{} epoch {}", planner.0, planner.1),
            subject: subject.to_owned(),
            description: text,
        });
    }

    /// The scenario is over: what can only be checked from the whole is checked now. Violations come in the
    /// order of their times.
    pub fn finish(mut self, now_us: i64) -> (Vec<Violation>, TrafficTotals) {
        let requests = std::mem::take(&mut self.requests);
        self.check_unanswered(&requests, now_us);
        self.check_priority(&requests);
        let launches = self.launches.take_by_request();
        for (id, sent) in &launches {
            if let Some(request) = requests.get(id) {
                self.check_request(id, request, sent);
            }
        }
        self.violations.sort_by_key(|violation| violation.at_us);
        (self.violations, self.totals)
    }
}
