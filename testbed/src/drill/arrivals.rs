//! Arrivals of tasks. Arrival times do not depend on the answers to earlier tasks (an open load).
use crate::client::SubmitPlan;
use crate::fault_scenario::LoadModifiers;
use basaltpitch_agent::wire::Submit;
use basaltpitch_config::{PlainValue, ResolvedValue};
use rand::{rngs::StdRng, Rng};
use rand_distr::{Distribution, Exp};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// In a scenario with a directory, one of this many tasks is submitted by the client that joins the
/// tenants during an outage.
const NEWCOMER_SHARE: u64 = 20;

/// Senders that hand tasks to the clients.
pub(crate) struct Clients {
    /// Clients that are members of all tenants from the start.
    pub(crate) usual: Vec<mpsc::Sender<SubmitPlan>>,
    /// The client that joins the tenants during a directory outage; `None` without a directory.
    pub(crate) newcomer: Option<mpsc::Sender<SubmitPlan>>,
}

/// Submits tasks until the scenario's length is over, and returns their number.
pub(crate) async fn submit_all(
    installation: &ResolvedValue,
    scenario: &ResolvedValue,
    load: &LoadModifiers,
    clients: &Clients,
    rng: &mut StdRng,
) -> u64 {
    let sources = scenario.list("tasks");
    let start = Instant::now();
    let length_s = scenario.duration_us("length").unwrap_or(0) as f64 / 1e6;
    let mut next: Vec<f64> = sources.iter().map(|source| gap_s(source, load, rng)).collect();
    let mut submitted = 0;
    let soonest = |next: &[f64]| next.iter().copied().enumerate().min_by(|a, b| a.1.total_cmp(&b.1));
    while let Some((index, at_s)) = soonest(&next).filter(|soonest| soonest.1 < length_s) {
        tokio::time::sleep_until(start + Duration::from_secs_f64(at_s)).await;
        next[index] = at_s + gap_s(&sources[index], load, rng);
        submitted += 1;
        let plan = draw_task(installation, scenario, (index, submitted), rng);
        let client = &clients.usual[rng.random_range(0..clients.usual.len())];
        let newcomer = clients.newcomer.as_ref().filter(|_| submitted % NEWCOMER_SHARE == 0);
        let _ = newcomer.unwrap_or(client).try_send(plan);
    }
    submitted
}

/// Draws the time until a source's next task, in seconds.
fn gap_s(source: &ResolvedValue, load: &LoadModifiers, rng: &mut StdRng) -> f64 {
    let burst = if load.burst.get() > 0.0 { load.burst.get() } else { 1.0 };
    let tenant_burst = load.tenant_burst.borrow();
    let own_burst =
        tenant_burst.as_ref().filter(|(tenant, _)| source.text("tenant") == Some(tenant.as_str()));
    let rate = source.number("per_s").unwrap_or(1.0) * burst * own_burst.map_or(1.0, |burst| burst.1);
    Exp::new(rate).map_or(1.0, |distribution| distribution.sample(rng))
}

/// Draws the task of this number from the source at `index`.
fn draw_task(
    installation: &ResolvedValue,
    scenario: &ResolvedValue,
    (index, number): (usize, u64),
    rng: &mut StdRng,
) -> SubmitPlan {
    let source = &scenario.list("tasks")[index];
    let framework = source.text("framework").unwrap_or("");
    let settings = installation
        .list("frameworks")
        .iter()
        .find(|framework_settings| framework_settings.text("name") == Some(framework));
    let limit_us = settings.and_then(|f| f.duration_us("limit")).unwrap_or(1_000_000);
    let repeatable = settings.and_then(|f| f.text("repeat")) == Some("repeatable");
    let value = |settings: &ResolvedValue| match settings.value {
        PlainValue::Number(number) => number,
        _ => 0.0,
    };
    let size = rng.random_range(0..source.list("cores").len());
    let services = source.number("services").unwrap_or(1.0) as u64;
    let submit = Submit {
        key: format!("{framework}/{index}/{number}"),
        ask: 0,
        framework: framework.to_owned(),
        tenant: source.text("tenant").unwrap_or("").to_owned(),
        service: (index as u64) * 1000 + rng.random_range(0..services),
        cores: value(&source.list("cores")[size]),
        memory: value(&source.list("memory")[size]),
        runs_for_us: source.duration_us("runs").unwrap_or(1_000_000),
        time_left_us: 0,
    };
    let attempts = scenario.number("tries").unwrap_or(3.0) as u32;
    let tenant = submit.tenant.clone();
    SubmitPlan { submit, tenant, limit_us, repeatable, attempts }
}
