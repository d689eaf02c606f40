//! What the placing module is told, one value for each of its methods, so that it can be written down and
//! told again. Numbers of outcomes and states are those of the file format, in `docs/design/agent-path.md`.
use basaltpitch::host::{AttemptOutcome, Host, Readiness};
use basaltpitch::placement::Planner;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementEvent {
    ListBegins { whole: bool, fresh: bool },
    Machine { m: usize, number: u64, at: (usize, usize, usize), ready: u8, started: i64, left: (f64, f64) },
    ListEnds,
    ListLost,
    Service { s: usize, number: u64 },
    ServiceLeft { s: usize },
    MachineLeft { m: usize },
    TenantShare { tenant: usize, share: f64 },
    Wanted { task: usize, f: usize, tenant: Option<usize>, s: usize, asks: (f64, f64), left: i64 },
    Found { task: usize, f: usize, tenant: Option<usize>, s: usize, asks: (f64, f64), m: usize },
    Accepted { task: usize },
    Noted { task: usize, sort: i64, value: f64 },
    Resolved { task: usize, end: u8, why: i64, over: bool, report: Vec<f64> },
    Expired { task: usize },
    Timer { token: u64 },
    Probed { m: usize, end: u8, report: Vec<f64> },
}

const OUTCOMES: [(u8, AttemptOutcome); 8] = [
    (0, AttemptOutcome::Ended),
    (5, AttemptOutcome::Error),
    (11, AttemptOutcome::Full),
    (104, AttemptOutcome::Reset),
    (110, AttemptOutcome::TimedOut),
    (111, AttemptOutcome::ConnectFailed),
    (114, AttemptOutcome::Moot),
    (125, AttemptOutcome::Cancelled),
];

pub fn outcome_code(outcome: AttemptOutcome) -> u8 {
    OUTCOMES.iter().find(|x| x.1 == outcome).map_or(0, |x| x.0)
}

fn outcome(number: u8) -> Option<AttemptOutcome> {
    OUTCOMES.iter().find(|x| x.0 == number).map(|x| x.1)
}

pub fn readiness_code(ready: Readiness) -> u8 {
    match ready {
        Readiness::Ready => 0,
        Readiness::Draining => 1,
        Readiness::Gone => 2,
    }
}

fn readiness(number: u8) -> Option<Readiness> {
    [Readiness::Ready, Readiness::Draining, Readiness::Gone].get(usize::from(number)).copied()
}

impl PlacementEvent {
    /// Tells the module. An error names a number that stands for nothing.
    pub fn apply<H: Host>(&self, p: &mut Planner<H>) -> Result<(), String> {
        let end = |n: u8| outcome(n).ok_or_else(|| format!("outcome {n}; expected one of the eight known"));
        match self {
            PlacementEvent::ListBegins { whole, fresh } => p.list_started(*whole, *fresh),
            PlacementEvent::Machine { m, number, at, ready, started, left } => {
                let ready = readiness(*ready).ok_or_else(|| format!("readiness {ready}; expected 0 to 2"))?;
                p.set_machine_number(*m, *number);
                p.machine_listed(*m, *at, ready, *started, *left);
            }
            PlacementEvent::ListEnds => p.list_finished(),
            PlacementEvent::ListLost => p.list_lost(),
            PlacementEvent::Service { s, number } => p.set_service_number(*s, *number),
            PlacementEvent::ServiceLeft { s } => p.service_removed(*s),
            PlacementEvent::MachineLeft { m } => p.machine_removed(*m),
            PlacementEvent::TenantShare { tenant, share } => p.set_tenant_share(*tenant, *share),
            PlacementEvent::Wanted { task, f, tenant, s, asks, left } => {
                p.task_requested(*task, *f, *tenant, *s, *asks, *left)
            }
            PlacementEvent::Found { task, f, tenant, s, asks, m } => {
                p.running_task_found(*task, *f, *tenant, *s, *asks, *m)
            }
            PlacementEvent::Accepted { task } => p.attempt_accepted(*task),
            PlacementEvent::Noted { task, sort, value } => p.task_status(*task, *sort, *value),
            PlacementEvent::Resolved { task, end: n, why, over, report } => {
                p.attempt_ended(*task, end(*n)?, *why, *over, report)
            }
            PlacementEvent::Expired { task } => p.task_expired(*task),
            PlacementEvent::Timer { token } => p.timer_fired(*token),
            PlacementEvent::Probed { m, end: n, report } => p.probe_finished(*m, end(*n)?, report),
        }
        Ok(())
    }
}
