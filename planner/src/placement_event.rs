//! What the placement module is told, one value for each of its methods, so that it can be written down and
//! told again. Names and codes of outcomes and states are those of the file format, in
//! `docs/design/agent-path.md`.
use basaltpitch::host::{AttemptOutcome, Host, Readiness};
use basaltpitch::placement::Planner;
use serde::{Deserialize, Serialize};

/// An event that the module is told of. Machines, tasks, services, frameworks and tenants are its indices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementEvent {
    /// A machine list begins.
    ListBegins {
        /// Machines that are not in it are gone.
        whole: bool,
        /// It comes from the registry, now.
        fresh: bool,
    },
    /// An entry of the list.
    Machine {
        /// The machine.
        #[serde(rename = "m")]
        machine: usize,
        /// A number of its name that is the same in every planner.
        number: u64,
        /// Its kind, zone and cell.
        #[serde(rename = "at")]
        location: (usize, usize, usize),
        /// Its readiness, as a code.
        #[serde(rename = "ready")]
        readiness: u8,
        /// When it last started, in microseconds.
        #[serde(rename = "started")]
        started_us: i64,
        /// The cores and memory left on it.
        #[serde(rename = "left")]
        remaining: (f64, f64),
    },
    /// The machine list ends.
    ListEnds,
    /// The list is no longer kept up to date.
    ListLost,
    /// A service has an index.
    Service {
        /// The service.
        #[serde(rename = "s")]
        service: usize,
        /// Its number among clients.
        number: u64,
    },
    /// A service's index is free.
    ServiceLeft {
        /// The service.
        #[serde(rename = "s")]
        service: usize,
    },
    /// A machine's index is free.
    MachineLeft {
        /// The machine.
        #[serde(rename = "m")]
        machine: usize,
    },
    /// A tenant's share of the fleet.
    TenantShare {
        /// The tenant.
        tenant: usize,
        /// Its share, 0 to 1.
        share: f64,
    },
    /// A task waits for a place.
    Wanted {
        /// The task.
        task: usize,
        /// Its framework.
        #[serde(rename = "f")]
        framework: usize,
        /// Its tenant.
        tenant: Option<usize>,
        /// Its service.
        #[serde(rename = "s")]
        service: usize,
        /// The cores and memory that it needs.
        #[serde(rename = "asks")]
        size: (f64, f64),
        /// The time left for an answer.
        #[serde(rename = "left")]
        time_left_us: i64,
    },
    /// A task was found running.
    Found {
        /// The task.
        task: usize,
        /// Its framework.
        #[serde(rename = "f")]
        framework: usize,
        /// Its tenant.
        tenant: Option<usize>,
        /// Its service.
        #[serde(rename = "s")]
        service: usize,
        /// The cores and memory that it needs.
        #[serde(rename = "asks")]
        size: (f64, f64),
        /// The machine that it runs on.
        #[serde(rename = "m")]
        machine: usize,
    },
    /// A machine accepted the task's attempt.
    Accepted {
        /// The task.
        task: usize,
    },
    /// A machine reports something of a running task.
    Noted {
        /// The task.
        task: usize,
        /// What is reported, as in `docs/protocol/agent.md`.
        sort: i64,
        /// Its value.
        value: f64,
    },
    /// The task's attempt has an outcome.
    Resolved {
        /// The task.
        task: usize,
        /// The outcome, as a code.
        #[serde(rename = "end")]
        outcome: u8,
        /// The machine's code for the reason; 0 for none.
        #[serde(rename = "why")]
        reason_code: i64,
        /// Whether the task is over, or waits again.
        over: bool,
        /// The machine's report that came with it.
        report: Vec<f64>,
    },
    /// The task's request ended; it no longer waits.
    Expired {
        /// The task.
        task: usize,
    },
    /// A timer of the module's is due.
    Timer {
        /// The module's token for it.
        token: u64,
    },
    /// A health check has an outcome.
    Probed {
        /// The machine.
        #[serde(rename = "m")]
        machine: usize,
        /// The outcome, as a code.
        #[serde(rename = "end")]
        outcome: u8,
        /// The machine's report that came with it.
        report: Vec<f64>,
    },
}

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

/// A code in a recording that stands for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidCode {
    /// Of an outcome.
    #[error("outcome {0}; expected one of the eight known")]
    Outcome(u8),
    /// Of a readiness.
    #[error("readiness {0}; expected 0 to 2")]
    Readiness(u8),
}

/// The code of an outcome.
pub fn outcome_code(outcome: AttemptOutcome) -> u8 {
    OUTCOMES.iter().find(|entry| entry.1 == outcome).map_or(0, |entry| entry.0)
}

fn outcome_of(code: u8) -> Result<AttemptOutcome, InvalidCode> {
    let entry = OUTCOMES.iter().find(|entry| entry.0 == code);
    entry.map(|entry| entry.1).ok_or(InvalidCode::Outcome(code))
}

/// The code of a readiness.
pub fn readiness_code(readiness: Readiness) -> u8 {
    match readiness {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    }
}

fn readiness_of(code: u8) -> Result<Readiness, InvalidCode> {
    let all = [Readiness::Ready, Readiness::Draining, Readiness::Gone];
    all.get(usize::from(code)).copied().ok_or(InvalidCode::Readiness(code))
}

impl PlacementEvent {
    /// Tells the module.
    ///
    /// # Errors
    /// A code stands for nothing; the module is not told then.
    pub fn apply<H: Host>(&self, planner: &mut Planner<H>) -> Result<(), InvalidCode> {
        match self {
            Self::ListBegins { whole, fresh } => planner.list_started(*whole, *fresh),
            Self::Machine { machine, number, location, readiness, started_us, remaining } => {
                let readiness = readiness_of(*readiness)?;
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
                planner.attempt_ended(*task, outcome_of(*outcome)?, *reason_code, *over, report);
            }
            Self::Expired { task } => planner.task_expired(*task),
            Self::Timer { token } => planner.timer_fired(*token),
            Self::Probed { machine, outcome, report } => {
                planner.probe_finished(*machine, outcome_of(*outcome)?, report);
            }
        }
        Ok(())
    }
}
