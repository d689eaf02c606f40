//! Every decision of basaltpitch. One `Planner` is one scheduler; it shares nothing with another.
//! A caller (the planner, the node on the platform, `benchlink`) makes it with the settings, a seed and a
//! `Host`, then calls one method for each event: list, task, attempt, status, probe, timer. The planner acts
//! by calling the host at once. The interface is in `host.rs`, the reasons in `docs/design.md`.
//!
//! Each module holds one decision and the events that lead to it:
//!
//! - `machine_list`: which machines there are, and whether the list can be relied on;
//! - `health`: probes, and which machines are ejected for a time;
//! - `estimates`: mean and variance of what services and machines use;
//! - `eligibility`, `slow_start`: whether a task may go to a machine at all;
//! - `capacity`: whether it fits there, at confidence;
//! - `ranking`: which of the fitting machines it goes to;
//! - `preemption`: which tasks of lower priority make way;
//! - `attempts`: what follows from answers and outcomes, retries among it;
//! - `queue`: tasks that wait for capacity, and timers.
//!
//! Random draws, the order of iteration and the order of arithmetic are part of the behaviour: recordings are
//! replayed to the last bit.
mod attempts;
mod capacity;
mod eligibility;
mod estimates;
mod health;
mod machine_list;
mod preemption;
mod queue;
mod ranking;
mod slow_start;
mod state;

use crate::host::{number, text, Host, Settings, Value};
use estimates::UsageEstimate;
use state::{FrameworkRules, Machines, Task};

/// Interval of the planner's own timer, which drives probes and waiting tasks.
const TICK_US: i64 = 100_000;

/// One scheduler: what it knows, and the host that it acts through.
pub struct Planner<H: Host> {
    /// What the planner acts through.
    pub host: H,
    settings: Settings,
    rng: fastrand::Rng,
    /// The clock as `set_clock` last gave it, and when this planner was started; in microseconds.
    now: i64,
    started_at: i64,
    probes_in_flight: usize,
    /// Whether probes bring a report, and until when it is not tried again whether they do.
    probes_bring_reports: bool,
    no_report_check_until: i64,
    /// The sequence number given to the latest task.
    last_sequence: u64,
    tasks: Vec<Task>,
    waiting: Vec<usize>,
    /// When the list was last heard.
    list_heard_at: i64,
    /// When to ask for it again: never while a watch stands.
    list_due_at: i64,
    list_failures: u32,
    /// Used cores of one task of each service.
    service_usage: Vec<UsageEstimate>,
    service_numbers: Vec<u64>,
    /// Share of the requested cores and memory that all tasks use.
    cores_use_ratio: UsageEstimate,
    memory_use_ratio: UsageEstimate,
    /// Share of a machine's cores and memory in use, over all reports.
    cores_utilization: UsageEstimate,
    memory_utilization: UsageEstimate,
    /// Whether the list tells what is requested of machines.
    list_shows_requests: bool,
    /// Smoothed time until an attempt is answered, by framework.
    answer_us: Vec<f64>,
    frameworks: Vec<FrameworkRules>,
    /// This planner's zone, where running tasks in another has a price.
    preferred_zone: Option<usize>,
    machines: Machines,
}

impl<H: Host> Planner<H> {
    /// A planner that knows no machine yet; `now` is the clock in microseconds. It asks for the list and sets
    /// its first timer.
    pub fn new(host: H, seed: u64, now: i64, settings: Settings) -> Self {
        let list_shows_requests = number(&settings, "familyInfo.view").unwrap_or(0.0) > 0.0;
        let priced = number(&settings, "tariffs.crossZone").unwrap_or(0.0) > 0.0;
        let mut zones = (0..)
            .map(|zone| text(&settings, &format!("localities.{zone}")))
            .take_while(|zone| !zone.is_empty());
        let preferred_zone = zones.position(|zone| priced && zone == text(&settings, "myZone"));
        let frameworks: Vec<FrameworkRules> =
            (0..).map_while(|index| FrameworkRules::read(&settings, index, capacity::CORES_SHARE)).collect();
        let mut planner = Planner {
            host,
            settings,
            rng: fastrand::Rng::with_seed(seed),
            now,
            started_at: now,
            probes_in_flight: 0,
            probes_bring_reports: false,
            no_report_check_until: 0,
            last_sequence: 0,
            tasks: Vec::new(),
            waiting: Vec::new(),
            list_heard_at: now,
            list_due_at: i64::MAX,
            list_failures: 0,
            service_usage: Vec::new(),
            service_numbers: Vec::new(),
            cores_use_ratio: UsageEstimate::START,
            memory_use_ratio: UsageEstimate::START,
            cores_utilization: UsageEstimate::START,
            memory_utilization: UsageEstimate::START,
            list_shows_requests,
            answer_us: frameworks.iter().map(|rules| rules.latency_objective_us * 0.5).collect(),
            frameworks,
            preferred_zone,
            machines: Machines::default(),
        };
        if text(&planner.settings, "discovery") == "ask" {
            planner.request_list();
        }
        planner.host.set_timer(TICK_US, 0);
        planner
    }

    /// The present time in microseconds, for all that follows.
    pub fn set_clock(&mut self, now: i64) {
        self.now = now;
    }

    /// A tenant's share of the fleet, in place of the one that the settings gave.
    pub fn set_tenant_share(&mut self, tenant: usize, share: f64) {
        self.settings.insert(format!("tenants.{tenant}.share"), Value::Number(share));
    }
}
