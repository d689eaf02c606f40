//! Usage estimates: mean and variance of the resources that services and machines use, updated from
//! task statuses and machine reports, and the load of each machine that follows from them.
use super::capacity::CONFIDENCE_QUANTILE;
use super::health::REPORT_STALE_US;
use super::Planner;
use crate::host::{text, Host, MachineEstimate, Resources};

/// Delay of reports and list entries: one is taken to include a task only if the task had run for
/// at least this long when the report or entry arrived.
pub(super) const REPORT_LAG_US: i64 = 1_500_000;
/// Number of samples over which the utilization of machines is averaged.
const UTILIZATION_WINDOW: f64 = 16.0;
/// Number of samples over which the cores in use by one service's tasks are averaged.
const SERVICE_WINDOW: f64 = 32.0;
/// Number of samples over which the ratio of used to requested cores is averaged.
const CORES_RATIO_WINDOW: f64 = 64.0;
/// Number of samples over which the ratio of used to requested memory is averaged.
const MEMORY_RATIO_WINDOW: f64 = 128.0;
/// Share of a machine's cores that must be requested before its report yields a sample of the ratio
/// of used to requested cores.
const MIN_REQUESTED_SHARE: f64 = 0.1;

/// Running mean and variance of a quantity, with the number of samples taken.
#[derive(Clone)]
pub(super) struct UsageEstimate {
    pub(super) mean: f64,
    pub(super) variance: f64,
    pub(super) samples: f64,
}

impl UsageEstimate {
    /// The estimate before any sample; it has the weight of one sample.
    pub(super) const PRIOR: UsageEstimate = UsageEstimate { mean: 1.0, variance: 0.25, samples: 0.0 };

    /// Adds a sample. Its weight is 1 / (samples + 1), but at least 1 / `window`, so that old
    /// samples are forgotten exponentially.
    pub(super) fn add_sample(&mut self, value: f64, window: f64) {
        self.samples += 1.0;
        let weight = (1.0 / (self.samples + 1.0)).max(1.0 / window);
        let deviation = value - self.mean;
        self.mean += weight * deviation;
        self.variance = (1.0 - weight) * (self.variance + weight * deviation * deviation);
    }
}

/// The estimated load of a machine.
#[derive(Clone, Copy)]
pub(super) struct MachineLoad {
    /// Mean of the cores in use.
    pub(super) cores: f64,
    /// Variance of the cores in use.
    pub(super) variance: f64,
    /// Memory units in use.
    pub(super) memory: f64,
    /// Cores and memory requested by own attempts that are too recent for the latest report or list
    /// entry to include.
    pub(super) unaccounted: Resources,
}

impl<H: Host> Planner<H> {
    /// Returns the current estimates for a machine, for display to operators.
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

    /// Grows the usage estimates to contain the service. A service without samples starts from the
    /// cores that its task requests.
    pub(super) fn ensure_service_usage(&mut self, service: usize, requested_cores: f64) {
        let known = self.service_usage.len().max(service + 1);
        self.service_usage.resize(known, UsageEstimate::PRIOR);
        if self.service_usage[service].samples == 0.0 {
            // Before any sample, the ratio's prior gives the requested cores as the mean and a
            // quarter of their square as the variance; samples of other tasks then adjust the
            // ratio.
            let ratio = &self.cores_use_ratio;
            self.service_usage[service].mean = requested_cores * ratio.mean;
            self.service_usage[service].variance = requested_cores * requested_cores * ratio.variance;
        }
    }

    /// Adds a sample of the cores in use by a task.
    pub(super) fn add_cores_sample(&mut self, task: usize, value: f64) {
        let task = &self.tasks[task];
        self.cores_use_ratio.add_sample(value / task.cores.max(0.001), CORES_RATIO_WINDOW);
        self.service_usage[task.service].add_sample(value, SERVICE_WINDOW);
    }

    /// Adds a sample of the memory in use by a task.
    pub(super) fn add_memory_sample(&mut self, task: usize, value: f64) {
        self.memory_use_ratio.add_sample(value / self.tasks[task].memory.max(0.001), MEMORY_RATIO_WINDOW);
    }

    /// Processes a machine's report. It holds the machine's free resources in the order of the
    /// settings `stats.fields`, where `x0` stands for cores and `x1` for memory; other fields are
    /// ignored.
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
                    self.cores_utilization.add_sample(used / total.max(1.0), UTILIZATION_WINDOW);
                    if self.list_shows_requests && requested.0 > MIN_REQUESTED_SHARE * total {
                        self.cores_use_ratio.add_sample(used / requested.0, CORES_RATIO_WINDOW);
                    }
                }
                "x1" => {
                    let total = self.machines.memory[machine];
                    let used = (total - free).max(0.0);
                    self.machines.used_memory[machine] = used;
                    self.memory_utilization.add_sample(used / total.max(1.0), UTILIZATION_WINDOW);
                }
                _ => {}
            }
        }
    }

    /// Returns the estimated load of a machine: the usage from `used_now`, plus own attempts that
    /// are too recent for the latest report or list entry to include. The variance of own tasks
    /// comes from their services; that of the remaining usage is its mean times `ratio`, the result
    /// of `variance_ratio`.
    pub(super) fn load(&self, machine: usize, ratio: f64) -> MachineLoad {
        let machines = &self.machines;
        let (mut accounted, mut additional, mut variance, mut unaccounted) = (0.0, 0.0, 0.0, (0.0, 0.0));
        let reported_at = machines.reported_at[machine];
        let observed_at =
            if self.list_shows_requests { machines.listed_at[machine].max(reported_at) } else { reported_at };
        let since_start = |sent_at: i64| sent_at >= machines.started_at[machine];
        for task in self.own_tasks_on(machine).filter(|task| since_start(task.sent_at)) {
            let usage = &self.service_usage[task.service];
            variance += usage.variance;
            if task.running_at > 0 && task.running_at + REPORT_LAG_US <= observed_at {
                accounted += usage.mean;
            } else {
                additional += usage.mean;
                unaccounted = (unaccounted.0 + task.cores, unaccounted.1 + task.memory);
            }
        }
        let (used, memory) = self.used_now(machine);
        MachineLoad {
            cores: used + additional,
            variance: variance + (used - accounted).max(0.0) * ratio,
            memory: memory + unaccounted.1,
            unaccounted,
        }
    }

    /// Returns the cores and memory in use on a machine, without own attempts that are too recent
    /// for the latest report or list entry to include.
    ///
    /// If the machine list shows requests, the result is the last fresh report plus the change in
    /// requests since then, scaled by the ratio of used to requested resources; without a fresh
    /// report, all requests are scaled. Otherwise the result is the last report, or the average
    /// utilization of all machines if the report is stale or missing and any report has been
    /// received.
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

    /// Returns the cores and memory requested of a machine according to the machine list.
    pub(super) fn requested(&self, machine: usize) -> Resources {
        let machines = &self.machines;
        let (cores, memory) = machines.unrequested[machine];
        (machines.cores[machine] - cores, machines.memory[machine] - memory)
    }

    /// Returns the average variance-to-mean ratio of the cores in use, over all services with
    /// samples.
    pub(super) fn variance_ratio(&self) -> f64 {
        let known = || self.service_usage.iter().filter(|usage| usage.samples > 0.0 && usage.mean > 0.0);
        known().map(|usage| usage.variance / usage.mean).sum::<f64>() / known().count().max(1) as f64
    }
}
