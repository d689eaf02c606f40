//! Events of the placement module: one variant for each method that the planner calls on it, so
//! that the calls can be written to a recording and replayed. The serialized names and the codes of
//! outcomes and states are those of the recording's file format, described in
//! `docs/design/agent-path.md`.
use basaltpitch::host::{AttemptOutcome, Host, Readiness};
use basaltpitch::placement::Planner;
use serde::{Deserialize, Serialize};

/// An event for the placement module. Machines, tasks, services, frameworks and tenants are given
/// as indices of the placement module; times are microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementEvent {
    /// A machine list begins: `Machine` events follow until `ListEnds`.
    ListBegins {
        /// Whether the list is complete, so that machines missing from it are gone.
        whole: bool,
        /// Whether the list was just received from the registry; false for a change of a machine's
        /// availability that the planner itself observed.
        fresh: bool,
    },
    /// An entry of the machine list.
    Machine {
        /// The machine's index.
        #[serde(rename = "m")]
        machine: usize,
        /// A hash of the machine's name, which is the same in every planner.
        number: u64,
        /// The machine's kind, zone and cell.
        #[serde(rename = "at")]
        location: (usize, usize, usize),
        /// The machine's readiness, as a code: see `readiness_code`.
        #[serde(rename = "ready")]
        readiness: u8,
        /// The time of the machine's last start, in microseconds.
        #[serde(rename = "started")]
        started_us: i64,
        /// The free cores and memory of the machine.
        #[serde(rename = "left")]
        remaining: (f64, f64),
    },
    /// The machine list is complete: no further `Machine` events belong to it.
    ListEnds,
    /// The machine list is no longer kept up to date, because the registry does not answer.
    ListLost,
    /// A service was assigned an index.
    Service {
        /// The service's index.
        #[serde(rename = "s")]
        service: usize,
        /// The number that clients use for the service.
        number: u64,
    },
    /// A service's index was freed and may be assigned to another service.
    ServiceLeft {
        /// The service's index.
        #[serde(rename = "s")]
        service: usize,
    },
    /// A machine's index was freed and may be assigned to another machine.
    MachineLeft {
        /// The machine's index.
        #[serde(rename = "m")]
        machine: usize,
    },
    /// A tenant's share of the fleet is set.
    TenantShare {
        /// The tenant's index.
        tenant: usize,
        /// The tenant's share, between 0 and 1.
        share: f64,
    },
    /// A task waits to be placed.
    Wanted {
        /// The task's index.
        task: usize,
        /// The index of the task's framework.
        #[serde(rename = "f")]
        framework: usize,
        /// The index of the task's tenant; `None` if the task has no known tenant.
        tenant: Option<usize>,
        /// The index of the task's service.
        #[serde(rename = "s")]
        service: usize,
        /// The cores and memory that the task needs.
        #[serde(rename = "asks")]
        size: (f64, f64),
        /// Time left until the request's deadline, in microseconds.
        #[serde(rename = "left")]
        time_left_us: i64,
    },
    /// A running task that this planner did not know was found in a machine's inventory.
    Found {
        /// The task's index.
        task: usize,
        /// The index of the task's framework.
        #[serde(rename = "f")]
        framework: usize,
        /// The index of the task's tenant; `None` if the task has no known tenant.
        tenant: Option<usize>,
        /// The index of the task's service.
        #[serde(rename = "s")]
        service: usize,
        /// The cores and memory that the task needs.
        #[serde(rename = "asks")]
        size: (f64, f64),
        /// The index of the machine that the task runs on.
        #[serde(rename = "m")]
        machine: usize,
    },
    /// A machine accepted the attempt to run a task.
    Accepted {
        /// The task's index.
        task: usize,
    },
    /// A machine sent a status note about a running task.
    Noted {
        /// The task's index.
        task: usize,
        /// The kind of note, as numbered in `docs/protocol/agent.md`.
        sort: i64,
        /// The note's value; its meaning depends on `sort`.
        value: f64,
    },
    /// The outcome of the task's current attempt is known.
    Resolved {
        /// The task's index.
        task: usize,
        /// The attempt's outcome, as a code: see `outcome_code`.
        #[serde(rename = "end")]
        outcome: u8,
        /// The machine's code for the reason; 0 if it gave none.
        #[serde(rename = "why")]
        reason_code: i64,
        /// Whether the task is over; otherwise it waits to be placed again.
        over: bool,
        /// The machine's usage report that came with the outcome; empty if there was none.
        report: Vec<f64>,
    },
    /// The task's request ended without a placement; the task no longer waits.
    Expired {
        /// The task's index.
        task: usize,
    },
    /// A timer that the module set is due.
    Timer {
        /// The token that the module gave when it set the timer.
        token: u64,
    },
    /// The outcome of a probe is known.
    Probed {
        /// The machine's index.
        #[serde(rename = "m")]
        machine: usize,
        /// The probe's outcome, as a code: see `outcome_code`.
        #[serde(rename = "end")]
        outcome: u8,
        /// The machine's usage report that came with the probe; empty if there was none.
        report: Vec<f64>,
    },
}

/// The codes of outcomes in recordings.
const OUTCOMES: [(u8, AttemptOutcome); 8] = [
    (0, AttemptOutcome::Ended),
    (5, AttemptOutcome::Error),
    (11, AttemptOutcome::Refused),
    (104, AttemptOutcome::Reset),
    (110, AttemptOutcome::TimedOut),
    (111, AttemptOutcome::ConnectFailed),
    (114, AttemptOutcome::NotSent),
    (125, AttemptOutcome::Cancelled),
];

/// A code in a recording that has no meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCode {
    /// No outcome has this code.
    #[error("unknown outcome code {0}; expected one of the eight known codes")]
    Outcome(u8),
    /// No readiness has this code.
    #[error("unknown readiness code {0}; expected 0 (ready), 1 (draining) or 2 (gone)")]
    Readiness(u8),
}

/// Returns the code of an outcome in recordings.
pub fn outcome_code(outcome: AttemptOutcome) -> u8 {
    OUTCOMES.iter().find(|entry| entry.1 == outcome).map_or(0, |entry| entry.0)
}

fn outcome_from_code(code: u8) -> Result<AttemptOutcome, InvalidCode> {
    let entry = OUTCOMES.iter().find(|entry| entry.0 == code);
    entry.map(|entry| entry.1).ok_or(InvalidCode::Outcome(code))
}

/// Returns the code of a readiness in recordings.
pub fn readiness_code(readiness: Readiness) -> u8 {
    match readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    }
}

fn readiness_from_code(code: u8) -> Result<Readiness, InvalidCode> {
    let all = [Readiness::Ready, Readiness::Draining, Readiness::Gone];
    all.get(usize::from(code)).copied().ok_or(InvalidCode::Readiness(code))
}

impl PlacementEvent {
    /// Calls the method of the placement module that this event stands for.
    ///
    /// # Errors
    /// A code has no meaning; the placement module is not called then.
    pub fn apply<H: Host>(&self, planner: &mut Planner<H>) -> Result<(), InvalidCode> {
        match self {
            Self::ListBegins { whole, fresh } => planner.list_started(*whole, *fresh),
            Self::Machine { machine, number, location, readiness, started_us, remaining } => {
                let readiness = readiness_from_code(*readiness)?;
                planner.set_machine_number(*machine, *number);
                planner.machine_listed(*machine, *location, readiness, *started_us, *remaining);
            }
            Self::ListEnds => planner.list_finished(),
            Self::ListLost => planner.list_lost(),
            Self::Service { service, number } => planner.set_service_number(*service, *number),
            Self::ServiceLeft { service } => planner.service_removed(*service),
            Self::MachineLeft { machine } => planner.machine_removed(*machine),
            Self::TenantShare { tenant, share } => planner.set_tenant_share(*tenant, *share),
            Self::Wanted { task, framework, tenant, service, size, time_left_us } => {
                planner.task_requested(*task, *framework, *tenant, *service, *size, *time_left_us);
            }
            Self::Found { task, framework, tenant, service, size, machine } => {
                planner.running_task_found(*task, *framework, *tenant, *service, *size, *machine);
            }
            Self::Accepted { task } => planner.attempt_accepted(*task),
            Self::Noted { task, sort, value } => planner.task_status(*task, *sort, *value),
            Self::Resolved { task, outcome, reason_code, over, report } => {
                planner.attempt_ended(*task, outcome_from_code(*outcome)?, *reason_code, *over, report);
            }
            Self::Expired { task } => planner.task_expired(*task),
            Self::Timer { token } => planner.timer_fired(*token),
            Self::Probed { machine, outcome, report } => {
                planner.probe_finished(*machine, outcome_from_code(*outcome)?, report);
            }
        }
        Ok(())
    }
}
