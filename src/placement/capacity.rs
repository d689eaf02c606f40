//! Capacity at confidence: whether a task fits a machine, as mean plus margin. The margin melts while the
//! task waits, as waiting costs more than a thin margin.
use super::estimates::MachineLoad;
use super::ranking::Candidate;
use super::Planner;
use crate::host::Host;

/// Confidence 99%: the standard normal quantile (the paper's D; DESIGN runs 99.9% and 99%).
pub(super) const CONFIDENCE_QUANTILE: f64 = 2.326;
/// Share of a machine's cores that the mean plus margin may fill (see docs/design.md).
pub(super) const CORES_SHARE: f64 = 1.0;
/// Share of a machine's memory that may be filled.
pub(super) const MEMORY_SHARE: f64 = 0.95;
/// The memory share for a task whose margin has melted: requests count in full but are not used in full.
const MEMORY_SHARE_WITHOUT_MARGIN: f64 = 1.1;
/// Share of the latency objective over which a waiting task's margin melts.
const MARGIN_MELTS_OVER: f64 = 0.3;

/// A task to place, with the settings and estimates that are the same for each machine.
pub(super) struct Placement {
    pub(super) task: usize,
    pub(super) framework: usize,
    pub(super) service: usize,
    cores: f64,
    memory: f64,
    /// Mean and variance of the cores that it will use.
    mean_cores: f64,
    variance: f64,
    /// How much of its margin has melted: 0 at first, 1 when none is left.
    melted: f64,
    /// Shares of a machine's cores and memory that may be requested of it.
    requestable_cores: f64,
    requestable_memory: f64,
    memory_share: f64,
}

/// Machines for a task.
#[derive(Default)]
pub(super) struct Candidates {
    /// Those that it fits.
    pub(super) fitting: Vec<Candidate>,
    /// Those that would be crowded, for a task that crowding only slows and that has no margin left.
    pub(super) crowded: Vec<Candidate>,
    /// Where the least must be evicted, while none fits.
    pub(super) preemption: Option<Preemption>,
}

/// Tasks that would have to make way on a machine.
pub(super) struct Preemption {
    /// The larger of the shares of its cores and memory that must be freed.
    loss: f64,
    pub(super) machine: usize,
    pub(super) cores: f64,
    pub(super) memory: f64,
    pub(super) tasks: Vec<usize>,
}

/// By how much a machine would be overfull with a task; at most 0 where it fits.
struct Excess {
    cores: f64,
    memory: f64,
    /// Used capacity at confidence, with the task.
    cores_at_confidence: f64,
}

impl<H: Host> Planner<H> {
    pub(super) fn placement_of(&self, task: usize) -> Placement {
        let new = &self.tasks[task];
        let usage = &self.service_usage[new.service];
        let waited = self.now - new.requested_at;
        let melts_over_us = MARGIN_MELTS_OVER * self.frameworks[new.framework].latency_objective_us;
        let melted = (waited as f64 / melts_over_us.max(1.0)).min(1.0);
        Placement {
            task,
            framework: new.framework,
            service: new.service,
            cores: new.cores,
            memory: new.memory,
            mean_cores: usage.mean,
            variance: usage.variance,
            melted,
            requestable_cores: self.setting("familyInfo.admitCores"),
            requestable_memory: self.setting("familyInfo.admitMemory"),
            memory_share: MEMORY_SHARE + melted * (MEMORY_SHARE_WITHOUT_MARGIN - MEMORY_SHARE),
        }
    }

    /// The ready machines that may take a task, in the order of their indices.
    pub(super) fn candidates(&self, placement: &Placement) -> Candidates {
        let mut found = Candidates::default();
        let ratio = self.variance_ratio();
        let reliable = self.list_is_reliable();
        let loads: Vec<(usize, MachineLoad)> =
            self.ready_machines().map(|machine| (machine, self.load(machine, ratio))).collect();
        let packed = self.packed_machines(&loads);
        let rules = &self.frameworks[placement.framework];
        for (machine, load) in loads {
            if !reliable || !self.is_eligible(placement.task, machine) {
                continue;
            }
            let Some(excess) = self.excess(placement, machine, &load) else { continue };
            let tolerated = rules.crowding_tolerance * self.machines.cores[machine];
            if excess.cores <= 0.0 && excess.memory <= 0.0 {
                let fill = excess.cores_at_confidence;
                let suitability = self.suitability(placement, machine, fill, packed[machine]);
                found.fitting.push(Candidate { machine, fill, suitability });
            } else if placement.melted == 1.0 && excess.memory <= 0.0 && excess.cores <= tolerated {
                // A task that crowding only slows goes to the least crowded machine.
                found.crowded.push(Candidate { machine, fill: -excess.cores, suitability: 0 });
            } else if rules.priority > 0.0 && found.fitting.is_empty() {
                self.consider_preemption(placement.framework, machine, &excess, &mut found.preemption);
            }
        }
        found
    }

    /// `None`: more would be requested of the machine than it accepts.
    fn excess(&self, placement: &Placement, machine: usize, load: &MachineLoad) -> Option<Excess> {
        let (cores, memory) = (self.machines.cores[machine], self.machines.memory[machine]);
        let margin_root = (load.variance + placement.variance).sqrt();
        let cores_at_confidence = load.cores + placement.mean_cores + CONFIDENCE_QUANTILE * margin_root;
        let excess_cores =
            load.cores + placement.mean_cores + (1.0 - placement.melted) * CONFIDENCE_QUANTILE * margin_root
                - CORES_SHARE * cores;
        // All that a machine has accepted, listed late; where no list tells, own tasks at least.
        let listed = self.requested(machine);
        let requested = if self.list_shows_requests {
            listed.0 + load.unseen.0
        } else {
            self.own_tasks_on(machine).map(|task| task.cores).sum()
        };
        let requested_memory = if self.list_shows_requests { listed.1 + load.unseen.1 } else { 0.0 };
        if requested + placement.cores > placement.requestable_cores * cores
            || requested_memory + placement.memory > placement.requestable_memory * memory
        {
            return None;
        }
        // Memory must fit what nobody requested, or else a share of all by use.
        let mut excess_memory = load.memory + placement.memory - placement.memory_share * memory;
        if self.list_shows_requests {
            excess_memory = excess_memory.min(requested_memory + placement.memory - memory);
        }
        Some(Excess { cores: excess_cores, memory: excess_memory, cores_at_confidence })
    }

    /// Takes a machine as the one to preempt on, where enough can make way and less must than on the best so
    /// far.
    fn consider_preemption(
        &self,
        framework: usize,
        machine: usize,
        excess: &Excess,
        best: &mut Option<Preemption>,
    ) {
        let tasks = self.preemptible(machine, framework);
        let leaving = || tasks.iter().map(|&task| &self.tasks[task]);
        let free: f64 = leaving().map(|task| self.service_usage[task.service].mean).sum();
        let free_memory = leaving().map(|task| task.memory).sum::<f64>() * self.memory_use_ratio.mean;
        let cores_loss = excess.cores / self.machines.cores[machine];
        let loss = cores_loss.max(excess.memory / self.machines.memory[machine]);
        let best_loss = best.as_ref().map_or(f64::MAX, |preemption| preemption.loss);
        if free >= excess.cores && free_memory >= excess.memory && loss < best_loss {
            let (cores, memory) = (excess.cores, excess.memory);
            *best = Some(Preemption { loss, machine, cores, memory, tasks });
        }
    }
}
