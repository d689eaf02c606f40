//! Checks the scheduler's invariants from the traffic that machines, the registry and clients see,
//! never from a planner's own state. Shares no code with the planner's decisions. Times are
//! microseconds of a single clock, that of the testbed's process.
//!
//! A link to a machine may delay frames, so each frame is recorded at the time that matters for a
//! check: a planner's action when its frame is on the machine's socket, a planner's knowledge when
//! the frame is written to the planner's socket, and a machine's action or knowledge when the
//! machine itself sends or receives the frame.
//!
//! | number | invariant | checked in |
//! | --- | --- | --- |
//! | 1 | each request gets one final answer in time, and no launch after it | `requests`, `repeats` |
//! | 2 | no task runs twice unless its idempotency allows it | `repeats` |
//! | 3 | no launch on a machine that is known to drain | `drains` |
//! | 4 | a machine that is warming up gets few launches | `warm_up` |
//! | 5 | tasks of a service are spread over domains | `spread` |
//! | 6 | placement constraints hold | `placement` |
//! | 7 | only the latest holder of a planner's name acts | `fencing` |
//! | 8 | a rolling restart stays within its limits | `rolling_restart` |
//! | 10 | a recovering zone gets launches in steps | `zone_recovery` |
//! | 11 | tasks of higher priority are placed first | `priority` |
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

/// One process that held a planner's name: the name and the epoch.
pub type Incarnation = (String, u64);

/// Identifies a request: the planner that it was submitted to, the task's key, and the request
/// number that the client chose.
type RequestId = (Incarnation, String, u64);

/// Observes the traffic and collects violations of the invariants.
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
    /// By name: zones that all planners declared failed and whose machines are back.
    recoveries: HashMap<String, ZoneRecovery>,
    /// The rolling restart that was started last, if any.
    rolling_restart: Option<RollingRestart>,
    violations: Vec<Violation>,
    totals: TrafficTotals,
}

impl InvariantChecker {
    /// Creates a checker that has observed no traffic.
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

    /// Sets the placement constraints to check as invariant 6.
    pub fn set_placement_invariants(&mut self, invariants: Vec<PlacementInvariant>) {
        self.placement_invariants = invariants;
    }

    /// Sets the location and the kind of a machine.
    pub fn set_location(&mut self, machine: &str, location: Location) {
        self.locations.insert(machine.to_owned(), location);
    }

    /// Records that a machine started. It runs no tasks and is warming up from now on.
    pub fn machine_started(&mut self, at_us: i64, machine: &str) {
        self.warm_ups.started(at_us, machine);
        if let Some(restart) = &mut self.rolling_restart {
            restart.machine_started(at_us, machine);
        }
        self.drains.forget_machine(machine);
        self.launches.machine_started(machine);
    }

    /// Records a violation.
    fn report(&mut self, invariant: u8, at_us: i64, planner: &Incarnation, subject: &str, text: String) {
        self.violations.push(Violation {
            invariant,
            at_us,
            planner: format!("{} epoch {}", planner.0, planner.1),
            subject: subject.to_owned(),
            description: text,
        });
    }

    /// Ends the scenario and runs the checks that need all of its traffic. Returns the violations
    /// in the order of their times, and the totals.
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
