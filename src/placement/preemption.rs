//! Preemption: tasks of lower priority are evicted for a task that finds no capacity or runs too
//! slowly.
use super::capacity::MEMORY_SHARE;
use super::state::TaskPhase;
use super::Planner;
use crate::host::Host;

/// Service level of a task below which own tasks of lower priority on its machine are evicted.
const FULL_SERVICE_LEVEL: f64 = 0.9;
/// Service level below which a task with a priority above 0 is itself evicted, to run elsewhere.
const POOR_SERVICE_LEVEL: f64 = 0.5;
/// Share of a framework's congestion threshold that must be in use for evictions to help its tasks.
/// Below this load, the machine is slow for another reason.
const CONGESTED_SHARE: f64 = 0.6;
/// Share of a machine's cores that evictions free for a task that runs too slowly.
const RELIEF_SHARE: f64 = 0.1;

impl<H: Host> Planner<H> {
    /// Returns the own placed tasks on a machine that may be evicted for a task of the framework:
    /// those of lower priority whose framework allows them to run again.
    pub(super) fn preemptible(&self, machine: usize, framework: usize) -> Vec<usize> {
        let rules = |task: usize| &self.frameworks[self.tasks[task].framework];
        let gives_way = |task: usize| {
            rules(task).semantics == "retryable" && rules(task).priority < self.frameworks[framework].priority
        };
        let placed = |&task: &usize| self.tasks[task].phase == TaskPhase::Placed && gives_way(task);
        self.machines.own_tasks[machine].iter().copied().filter(placed).collect()
    }

    /// Evicts tasks, the largest request for cores first, until their estimated usage adds up to
    /// the given cores and memory units.
    pub(super) fn evict(&mut self, mut tasks: Vec<usize>, mut cores: f64, mut memory: f64) {
        let size = |task: usize| self.tasks[task].cores;
        tasks.sort_by(|&one, &other| size(other).total_cmp(&size(one)).then(one.cmp(&other)));
        for task in tasks {
            if cores <= 0.0 && memory <= 0.0 {
                return;
            }
            cores -= self.service_usage[self.tasks[task].service].mean;
            memory -= self.tasks[task].memory * self.memory_use_ratio.mean;
            self.tasks[task].phase = TaskPhase::Over;
            self.host.evict(task);
        }
    }

    /// Handles the service level reported by a task, 1 for full speed. If the level is below
    /// `FULL_SERVICE_LEVEL` on a loaded machine, own tasks of lower priority there are evicted.
    /// Otherwise, if the level is below `POOR_SERVICE_LEVEL` for any cause and the task has a
    /// priority above 0, the task itself is evicted, provided that another machine would stay
    /// uncongested with it.
    pub(super) fn service_level_changed(&mut self, task: usize, service_level: f64) {
        let (framework, machine) = (self.tasks[task].framework, self.tasks[task].machine);
        let threshold = self.frameworks[framework].congestion_threshold;
        let lower = self.preemptible(machine, framework);
        let cores = self.machines.cores[machine];
        if service_level < FULL_SERVICE_LEVEL
            && !lower.is_empty()
            && self.load(machine, 0.0).cores > CONGESTED_SHARE * threshold * cores
        {
            self.evict(lower, RELIEF_SHARE * cores, 0.0);
        } else if service_level < POOR_SERVICE_LEVEL
            && self.frameworks[framework].priority > 0.0
            && self.tasks[task].phase == TaskPhase::Placed
            && self.ready_machines().any(|other| other != machine && self.stays_uncongested_with(other, task))
        {
            let mean = self.service_usage[self.tasks[task].service].mean;
            self.evict(vec![task], mean, 0.0);
        }
    }

    /// Returns whether a machine is not ejected and would stay below the congestion threshold of a
    /// task and below the usable share of memory if the task ran there.
    fn stays_uncongested_with(&self, machine: usize, task: usize) -> bool {
        let task = &self.tasks[task];
        let threshold = self.frameworks[task.framework].congestion_threshold;
        let mean = self.service_usage[task.service].mean;
        let load = self.load(machine, 0.0);
        self.now >= self.machines.ejected_until[machine]
            && load.cores + mean <= threshold * self.machines.cores[machine]
            && load.memory + task.memory <= MEMORY_SHARE * self.machines.memory[machine]
    }
}
