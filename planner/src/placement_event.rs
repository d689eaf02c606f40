//! What the placing module is told, one value for each of its methods, so that it can be written down and
//! told again. Numbers of outcomes and states are those of the file format, in `docs/design/agent-path.md`.
use basaltpitch::host::{Host, Outcome, Readiness};
use basaltpitch::logic::Planner;
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

const OUTCOMES: [(u8, Outcome); 8] = [
    (0, Outcome::Ended),
    (5, Outcome::Error),
    (11, Outcome::Full),
    (104, Outcome::Reset),
    (110, Outcome::TimedOut),
    (111, Outcome::ConnectFailed),
    (114, Outcome::Moot),
    (125, Outcome::Cancelled),
];

pub fn outcome_code(outcome: Outcome) -> u8 {
    OUTCOMES.iter().find(|x| x.1 == outcome).map_or(0, |x| x.0)
}

fn outcome(number: u8) -> Option<Outcome> {
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
            PlacementEvent::ListBegins { whole, fresh } => p.list_begins(*whole, *fresh),
            PlacementEvent::Machine { m, number, at, ready, started, left } => {
                let ready = readiness(*ready).ok_or_else(|| format!("readiness {ready}; expected 0 to 2"))?;
                p.machine_number(*m, *number);
                p.machine_listed(*m, *at, ready, *started, *left);
            }
            PlacementEvent::ListEnds => p.list_ends(),
            PlacementEvent::ListLost => p.list_lost(),
            PlacementEvent::Service { s, number } => p.service_number(*s, *number),
            PlacementEvent::ServiceLeft { s } => p.service_left(*s),
            PlacementEvent::MachineLeft { m } => p.machine_left(*m),
            PlacementEvent::TenantShare { tenant, share } => p.tenant_share(*tenant, *share),
            PlacementEvent::Wanted { task, f, tenant, s, asks, left } => {
                p.wanted(*task, *f, *tenant, *s, *asks, *left)
            }
            PlacementEvent::Found { task, f, tenant, s, asks, m } => {
                p.found(*task, *f, *tenant, *s, *asks, *m)
            }
            PlacementEvent::Accepted { task } => p.accepted(*task),
            PlacementEvent::Noted { task, sort, value } => p.noted(*task, *sort, *value),
            PlacementEvent::Resolved { task, end: n, why, over, report } => {
                p.resolved(*task, end(*n)?, *why, *over, report)
            }
            PlacementEvent::Expired { task } => p.expired(*task),
            PlacementEvent::Timer { token } => p.timer_due(*token),
            PlacementEvent::Probed { m, end: n, report } => p.probed(*m, end(*n)?, report),
        }
        Ok(())
    }
}
