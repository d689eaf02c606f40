//! The placement module: every scheduling decision of basaltpitch.
//!
//! One `Planner` is one scheduler; planners share no state. A caller (the planner process, the node
//! on the platform, or the simulator's adapter `benchlink`) creates a planner with its settings, a
//! random seed and a `Host`, and then calls one method per event: machine list, task, attempt,
//! status, probe or timer. The planner acts by calling methods of the host before it returns.
//! `host.rs` defines the interface; `docs/design.md` gives the reasons for the design.
//!
//! Each submodule holds one decision and the events that lead to it:
//!
//! - `machine_list`: which machines exist, and whether the list is recent enough to rely on;
//! - `health`: when machines are probed, and for how long a failing machine is ejected;
//! - `estimates`: mean and variance of the resources that services and machines use;
//! - `eligibility`, `slow_start`: whether a task may run on a machine, regardless of capacity;
//! - `capacity`: whether a task fits on a machine at confidence;
//! - `ranking`: which of the machines with enough capacity is chosen;
//! - `preemption`: which tasks of lower priority are evicted;
//! - `attempts`: how answers, statuses and outcomes of attempts are handled, including retries;
//! - `queue`: tasks that wait for capacity, and timers.
//!
//! Recordings are replayed bit for bit, so the sequence of random draws, the order of iteration and
//! the order of floating-point operations are part of the behaviour.
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

/// Interval of the planner's periodic timer, which drives list requests, probes and waiting tasks.
const TICK_US: i64 = 100_000;

/// One scheduler: its state, and the host through which it acts.
pub struct Planner<H: Host> {
    /// The host through which the planner acts.
    pub host: H,
    settings: Settings,
    rng: fastrand::Rng,
    /// The current time, as last set by `set_clock`, in microseconds.
    now: i64,
    /// The time at which this planner started, in microseconds.
    started_at: i64,
    /// Number of probes without an outcome.
    probes_in_flight: usize,
    /// Whether any answer to a probe has contained a usage report.
    probes_return_reports: bool,
    /// The time before which no probe is sent only to see whether answers contain reports, in
    /// microseconds.
    next_report_check_at: i64,
    /// The sequence number of the task that was added last.
    last_sequence: u64,
    /// Tasks by index.
    tasks: Vec<Task>,
    /// Indices of the tasks that wait for capacity.
    waiting: Vec<usize>,
    /// The time at which a fresh machine list was last received, in microseconds.
    list_received_at: i64,
    /// The time at which the machine list is requested next, in microseconds; `i64::MAX` if no
    /// request is due, because a watch is active or the list is pushed without one.
    list_request_at: i64,
    /// Number of failures of the machine list since it was last received.
    list_failures: u32,
    /// Estimated cores in use per task, by service.
    service_usage: Vec<UsageEstimate>,
    /// Numbers of the services that are the same in every planner, by service.
    service_numbers: Vec<u64>,
    /// Estimated cores in use per requested core, over all tasks.
    cores_use_ratio: UsageEstimate,
    /// Estimated memory in use per requested memory unit, over all tasks.
    memory_use_ratio: UsageEstimate,
    /// Estimated share of a machine's cores in use, over the reports of all machines.
    cores_utilization: UsageEstimate,
    /// Estimated share of a machine's memory in use, over the reports of all machines.
    memory_utilization: UsageEstimate,
    /// Whether the machine list contains the resources that no task has requested.
    list_shows_requests: bool,
    /// Smoothed time from launching an attempt to its acceptance in microseconds, by framework.
    answer_us: Vec<f64>,
    /// Settings of the frameworks, by framework.
    frameworks: Vec<FrameworkRules>,
    /// The zone of this planner; `None` if it is unknown or tasks in other zones cost no more.
    preferred_zone: Option<usize>,
    /// State of the machines, by machine.
    machines: Machines,
}

impl<H: Host> Planner<H> {
    /// Creates a planner without machines at the time `now` (microseconds). It starts a watch of
    /// the machine list if the settings require one, and sets its periodic timer.
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
            probes_return_reports: false,
            next_report_check_at: 0,
            last_sequence: 0,
            tasks: Vec::new(),
            waiting: Vec::new(),
            list_received_at: now,
            list_request_at: i64::MAX,
            list_failures: 0,
            service_usage: Vec::new(),
            service_numbers: Vec::new(),
            cores_use_ratio: UsageEstimate::PRIOR,
            memory_use_ratio: UsageEstimate::PRIOR,
            cores_utilization: UsageEstimate::PRIOR,
            memory_utilization: UsageEstimate::PRIOR,
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

    /// Sets the current time in microseconds, which holds until the next call.
    pub fn set_clock(&mut self, now: i64) {
        self.now = now;
    }

    /// Sets a tenant's share of the fleet, replacing the share from the settings.
    pub fn set_tenant_share(&mut self, tenant: usize, share: f64) {
        self.settings.insert(format!("tenants.{tenant}.share"), Value::Number(share));
    }
}
