//! What services and machines use: mean and variance, learnt from statuses and reports, and the load that
//! follows for each machine.
use super::capacity::CONFIDENCE_QUANTILE;
use super::health::REPORT_STALE_US;
use super::Planner;
use crate::host::{text, Host, MachineEstimate, Resources};

/// A report or an entry of the list is taken to contain a task that had run this long when it came.
pub(super) const REPORT_LAG_US: i64 = 1_500_000;
/// Samples over which the share of a machine in use is averaged.
const UTILIZATION_MEMORY: f64 = 16.0;
/// Samples over which the use of one service's tasks is averaged.
const SERVICE_MEMORY: f64 = 32.0;
/// Samples over which the used share of requested cores is averaged.
const CORES_RATIO_MEMORY: f64 = 64.0;
/// Samples over which the used share of requested memory is averaged.
const MEMORY_RATIO_MEMORY: f64 = 128.0;
/// Share of a machine's cores that must be requested for its report to tell of the used share.
const MIN_REQUESTED_SHARE: f64 = 0.1;

/// Mean and variance of a use, and the samples that they rest on.
#[derive(Clone)]
pub(super) struct UsageEstimate {
    pub(super) mean: f64,
    pub(super) variance: f64,
    pub(super) samples: f64,
}

impl UsageEstimate {
    /// The prior, which counts as one sample.
    pub(super) const START: UsageEstimate = UsageEstimate { mean: 1.0, variance: 0.25, samples: 0.0 };

    /// Each sample moves mean and variance by at least one part in `memory`.
    pub(super) fn learn(&mut self, value: f64, memory: f64) {
        self.samples += 1.0;
        let weight = (1.0 / (self.samples + 1.0)).max(1.0 / memory);
        let deviation = value - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }
}

/// What is in use on a machine.
#[derive(Clone, Copy)]
pub(super) struct MachineLoad {
    /// Mean and variance of the cores in use.
    pub(super) cores: f64,
    pub(super) variance: f64,
    pub(super) memory: f64,
    /// What own attempts request that neither the report nor the list can contain.
    pub(super) unseen: Resources,
}

impl<H: Host> Planner<H> {
    /// What is believed of a machine, for operators.
    pub fn machine_estimate(&self, machine: usize) -> MachineEstimate {
        let load = self.load(machine, self.variance_ratio());
        let machines = &self.machines;
        MachineEstimate {
            listed: machines.listed[machine],
            cores: machines.cores[machine],
            memory: machines.memory[machine],
            mean_cores: load.cores,
            cores_variance: load.variance,
            cores_at_confidence: load.cores + CONFIDENCE_QUANTILE * load.variance.sqrt(),
            used_memory: load.memory,
            own_tasks: machines.own_tasks[machine].len(),
            reported_at: machines.reported_at[machine],
            slow_start_until: machines.slow_start_until[machine],
            ejected_until: machines.ejected_until[machine],
            may_launch: self.slow_start_allows(machine),
        }
    }

    /// The estimate of a service's tasks; a new one starts from what its task requests.
    pub(super) fn ensure_service_usage(&mut self, service: usize, requested_cores: f64) {
        let known = self.service_usage.len().max(service + 1);
        self.service_usage.resize(known, UsageEstimate::START);
        if self.service_usage[service].samples == 0.0 {
            // The request and a quarter of its square, until statuses of other tasks tell better.
            let ratio = &self.cores_use_ratio;
            self.service_usage[service].mean = requested_cores * ratio.mean;
            self.service_usage[service].variance = requested_cores * requested_cores * ratio.variance;
        }
    }

    /// Learns from the cores that a task uses.
    pub(super) fn learn_cores(&mut self, task: usize, value: f64) {
        let task = &self.tasks[task];
        self.cores_use_ratio.learn(value / task.cores.max(0.001), CORES_RATIO_MEMORY);
        self.service_usage[task.service].learn(value, SERVICE_MEMORY);
    }

    /// Learns from the memory that a task uses.
    pub(super) fn learn_memory(&mut self, task: usize, value: f64) {
        self.memory_use_ratio.learn(value / self.tasks[task].memory.max(0.001), MEMORY_RATIO_MEMORY);
    }

    /// A machine's report: what it has free, in the order that the settings name.
    pub(super) fn read_report(&mut self, machine: usize, report: &[f64]) {
        let requested = self.requested(machine);
        self.machines.requested_at_report[machine] = requested;
        for (field, &free) in report.iter().enumerate() {
            match text(&self.settings, &format!("stats.fields.{field}")) {
                "x0" => {
                    let total = self.machines.cores[machine];
                    let used = (total - free).max(0.0);
                    (self.machines.used_cores[machine], self.machines.reported_at[machine]) =
                        (used, self.now);
                    self.cores_utilization.learn(used / total.max(1.0), UTILIZATION_MEMORY);
                    if self.list_shows_requests && requested.0 > MIN_REQUESTED_SHARE * total {
                        self.cores_use_ratio.learn(used / requested.0, CORES_RATIO_MEMORY);
                    }
                }
                "x1" => {
                    let total = self.machines.memory[machine];
                    let used = (total - free).max(0.0);
                    self.machines.used_memory[machine] = used;
                    self.memory_utilization.learn(used / total.max(1.0), UTILIZATION_MEMORY);
                }
                _ => {}
            }
        }
    }

    /// Mean and variance of the cores of a machine and the memory in use there: as reported, brought up to
    /// date by what the list shows as requested since, and own attempts that neither can contain. Without a
    /// report that is not stale, what the list shows as requested times the share in use, or the average
    /// where it shows nothing. `ratio` is that of `variance_ratio`.
    pub(super) fn load(&self, machine: usize, ratio: f64) -> MachineLoad {
        let machines = &self.machines;
        let (mut seen, mut more, mut variance, mut unseen) = (0.0, 0.0, 0.0, (0.0, 0.0));
        let reported_at = machines.reported_at[machine];
        let seen_at =
            if self.list_shows_requests { machines.listed_at[machine].max(reported_at) } else { reported_at };
        let since_start = |sent_at: i64| sent_at >= machines.started_at[machine];
        for task in self.own_tasks_on(machine).filter(|task| since_start(task.sent_at)) {
            let usage = &self.service_usage[task.service];
            variance += usage.variance;
            if task.running_at > 0 && task.running_at + REPORT_LAG_US <= seen_at {
                seen += usage.mean;
            } else {
                more += usage.mean;
                unseen = (unseen.0 + task.cores, unseen.1 + task.memory);
            }
        }
        let (used, memory) = self.used_now(machine);
        MachineLoad {
            cores: used + more,
            variance: variance + (used - seen).max(0.0) * ratio,
            memory: memory + unseen.1,
            unseen,
        }
    }

    /// Cores and memory in use on a machine, own attempts that were not seen yet left out.
    fn used_now(&self, machine: usize) -> Resources {
        let machines = &self.machines;
        let reported_at = machines.reported_at[machine];
        let fresh = reported_at > 0 && self.now - reported_at < REPORT_STALE_US;
        let (used, memory) = (machines.used_cores[machine], machines.used_memory[machine]);
        if self.list_shows_requests {
            let (now, then) = (self.requested(machine), machines.requested_at_report[machine]);
            let (used, memory, then) = if fresh { (used, memory, then) } else { (0.0, 0.0, (0.0, 0.0)) };
            let cores = (used + self.cores_use_ratio.mean * (now.0 - then.0)).max(0.0);
            return (cores, (memory + self.memory_use_ratio.mean * (now.1 - then.1)).max(0.0));
        }
        if !fresh && self.cores_utilization.samples > 0.0 {
            let cores = self.cores_utilization.mean * machines.cores[machine];
            return (cores, self.memory_utilization.mean * machines.memory[machine]);
        }
        (used, memory)
    }

    /// Cores and memory requested of a machine, as the list shows it.
    pub(super) fn requested(&self, machine: usize) -> Resources {
        let machines = &self.machines;
        let (cores, memory) = machines.unrequested[machine];
        (machines.cores[machine] - cores, machines.memory[machine] - memory)
    }

    /// Mean variance-to-mean ratio of the known services.
    pub(super) fn variance_ratio(&self) -> f64 {
        let known = || self.service_usage.iter().filter(|usage| usage.samples > 0.0 && usage.mean > 0.0);
        known().map(|usage| usage.variance / usage.mean).sum::<f64>() / known().count().max(1) as f64
    }
}
