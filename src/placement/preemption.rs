//! Preemption: tasks of lower priority make way for one that has no machine or is served badly.
use super::capacity::MEMORY_SHARE;
use super::state::TaskPhase;
use super::Planner;
use crate::host::Host;

/// Served below this share, own tasks of lower priority make way.
const SERVED_FULLY: f64 = 0.9;
/// Served below this share, a task of higher priority is better off moved.
const SERVED_POORLY: f64 = 0.5;
/// Share of the calm level in use from which on evicting others is taken to help.
const CROWDED_SHARE: f64 = 0.6;
/// Share of a machine's cores that is freed for a task that is served badly.
const RELIEF_SHARE: f64 = 0.1;

impl<H: Host> Planner<H> {
    /// Own placed tasks on a machine that give way to a framework: of lower priority, and free to run again.
    pub(super) fn preemptible(&self, machine: usize, framework: usize) -> Vec<usize> {
        let rules = |task: usize| &self.frameworks[self.tasks[task].framework];
        let gives_way = |task: usize| {
            rules(task).semantics == "retryable" && rules(task).priority < self.frameworks[framework].priority
        };
        let placed = |&task: &usize| self.tasks[task].phase == TaskPhase::Placed && gives_way(task);
        self.machines.own_tasks[machine].iter().copied().filter(placed).collect()
    }

    /// Evicts tasks, the largest first, until they free so many cores and memory units.
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

    /// A task told how well it is served. Where it is badly, from whatever cause, own tasks of lower priority
    /// make way; where there are none, one of higher priority leaves itself for a machine that is calm for it.
    pub(super) fn service_level_changed(&mut self, task: usize, served: f64) {
        let (framework, machine) = (self.tasks[task].framework, self.tasks[task].machine);
        let calm = self.frameworks[framework].calm_level;
        let lower = self.preemptible(machine, framework);
        let cores = self.machines.cores[machine];
        if served < SERVED_FULLY
            && !lower.is_empty()
            && self.load(machine, 0.0).cores > CROWDED_SHARE * calm * cores
        {
            self.evict(lower, RELIEF_SHARE * cores, 0.0);
        } else if served < SERVED_POORLY
            && self.frameworks[framework].priority > 0.0
            && self.tasks[task].phase == TaskPhase::Placed
            && self.ready_machines().any(|other| other != machine && self.is_calm_for(other, task))
        {
            let mean = self.service_usage[self.tasks[task].service].mean;
            self.evict(vec![task], mean, 0.0);
        }
    }

    /// Whether a machine that is not ejected would stay calm with a task.
    fn is_calm_for(&self, machine: usize, task: usize) -> bool {
        let task = &self.tasks[task];
        let calm = self.frameworks[task.framework].calm_level;
        let mean = self.service_usage[task.service].mean;
        let load = self.load(machine, 0.0);
        self.now >= self.machines.ejected_until[machine]
            && load.cores + mean <= calm * self.machines.cores[machine]
            && load.memory + task.memory <= MEMORY_SHARE * self.machines.memory[machine]
    }
}
