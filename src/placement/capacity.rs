//! Capacity at confidence: whether a task fits on a machine, judged by the mean of the cores in use
//! plus a safety margin. The margin decays while the task waits, because a delay costs more than a
//! small margin. The paper whose formula is used is "Solving the Batch Stochastic Bin Packing
//! Problem in Cloud: A Chance-constrained Optimization Approach".
use super::estimates::MachineLoad;
use super::ranking::Candidate;
use super::Planner;
use crate::host::Host;

/// Quantile of the standard normal distribution for a confidence of 99% (D in the paper's formula;
/// the paper's design runs at 99.9% and 99%).
pub(super) const CONFIDENCE_QUANTILE: f64 = 2.326;
/// Share of a machine's cores that the mean plus the margin may fill (see docs/design.md).
pub(super) const CORES_SHARE: f64 = 1.0;
/// Share of a machine's memory that may be filled for a task whose margin has not decayed.
pub(super) const MEMORY_SHARE: f64 = 0.95;
/// Share of a machine's memory that may be filled for a task whose margin has fully decayed. It may
/// exceed 1, because recently sent requests count in full although tasks use only part of them.
const MEMORY_SHARE_WITHOUT_MARGIN: f64 = 1.1;
/// Share of the latency objective after which the margin of a waiting task has fully decayed.
const MARGIN_DECAY_SHARE: f64 = 0.3;

/// A task to place, with the settings and estimates that are the same for every machine.
pub(super) struct Placement {
    pub(super) task: usize,
    pub(super) framework: usize,
    pub(super) service: usize,
    /// Requested cores.
    cores: f64,
    /// Requested memory units.
    memory: f64,
    /// Estimated mean of the cores that the task will use.
    mean_cores: f64,
    /// Estimated variance of the cores that the task will use.
    variance: f64,
    /// Share of the safety margin that has decayed: 0 when the task arrives, 1 when no margin is
    /// left.
    margin_decay: f64,
    /// Maximum ratio of the cores requested of a machine to its cores.
    cores_overcommit: f64,
    /// Maximum ratio of the memory requested of a machine to its memory.
    memory_overcommit: f64,
    /// Share of a machine's memory that may be filled for this task.
    memory_share: f64,
}

/// The machines on which a task can be placed.
#[derive(Default)]
pub(super) struct Candidates {
    /// Machines on which the task fits.
    pub(super) fitting: Vec<Candidate>,
    /// Machines that would be congested with the task, if its margin has fully decayed and its
    /// framework tolerates congestion.
    pub(super) congested: Vec<Candidate>,
    /// The preemption that frees the smallest share of a machine; `None` if no preemption is
    /// possible. Only used if there are no fitting and no congested machines.
    pub(super) preemption: Option<Preemption>,
}

/// A possible preemption on one machine.
pub(super) struct Preemption {
    /// The share of the machine's cores or of its memory that must be freed, whichever is larger.
    freed_share: f64,
    /// The machine to free capacity on.
    pub(super) machine: usize,
    /// Cores that must be freed.
    pub(super) cores: f64,
    /// Memory units that must be freed.
    pub(super) memory: f64,
    /// The tasks that may be evicted; not all of them may be needed.
    pub(super) tasks: Vec<usize>,
}

/// By how much a machine's usage with a task would exceed the usable capacity. The task fits if
/// both excesses are 0 or negative.
struct Excess {
    /// Excess of the mean plus the remaining margin over the usable cores.
    cores: f64,
    /// Excess of the memory over the usable memory units.
    memory: f64,
    /// Cores in use at confidence with the task, with the full margin.
    cores_at_confidence: f64,
}

impl<H: Host> Planner<H> {
    /// Returns the task with the settings and estimates that placing it requires.
    pub(super) fn placement_of(&self, task: usize) -> Placement {
        let new = &self.tasks[task];
        let usage = &self.service_usage[new.service];
        let waited = self.now - new.requested_at;
        let decay_us = MARGIN_DECAY_SHARE * self.frameworks[new.framework].latency_objective_us;
        let margin_decay = (waited as f64 / decay_us.max(1.0)).min(1.0);
        Placement {
            task,
            framework: new.framework,
            service: new.service,
            cores: new.cores,
            memory: new.memory,
            mean_cores: usage.mean,
            variance: usage.variance,
            margin_decay,
            cores_overcommit: self.setting("familyInfo.admitCores"),
            memory_overcommit: self.setting("familyInfo.admitMemory"),
            memory_share: MEMORY_SHARE + margin_decay * (MEMORY_SHARE_WITHOUT_MARGIN - MEMORY_SHARE),
        }
    }

    /// Returns the ready machines on which a task can be placed, in the order of their indices.
    /// There are none while the machine list is not reliable.
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
            let tolerated_cores = rules.congestion_tolerance * self.machines.cores[machine];
            if excess.cores <= 0.0 && excess.memory <= 0.0 {
                let fill = excess.cores_at_confidence;
                let suitability = self.suitability(placement, machine, fill, packed[machine]);
                found.fitting.push(Candidate { machine, fill, suitability });
            } else if placement.margin_decay == 1.0 && excess.memory <= 0.0 && excess.cores <= tolerated_cores
            {
                // Congestion slows this task but does not stop it. The negated excess ranks the
                // least congested machine highest.
                found.congested.push(Candidate { machine, fill: -excess.cores, suitability: 0 });
            } else if rules.priority > 0.0 && found.fitting.is_empty() {
                self.consider_preemption(placement.framework, machine, &excess, &mut found.preemption);
            }
        }
        found
    }

    /// Returns the excess of a machine's usage with the task, or `None` if the requests of its
    /// tasks would exceed the overcommit limits.
    fn excess(&self, placement: &Placement, machine: usize, load: &MachineLoad) -> Option<Excess> {
        let (cores, memory) = (self.machines.cores[machine], self.machines.memory[machine]);
        let margin_root = (load.variance + placement.variance).sqrt();
        let cores_at_confidence = load.cores + placement.mean_cores + CONFIDENCE_QUANTILE * margin_root;
        let excess_cores = load.cores
            + placement.mean_cores
            + (1.0 - placement.margin_decay) * CONFIDENCE_QUANTILE * margin_root
            - CORES_SHARE * cores;
        // The machine list shows the requests of all planners with a delay, so own attempts that
        // the list cannot include yet are added. Without such a list, only own tasks are known.
        let listed = self.requested(machine);
        let requested = if self.list_shows_requests {
            listed.0 + load.unaccounted.0
        } else {
            self.own_tasks_on(machine).map(|task| task.cores).sum()
        };
        let requested_memory = if self.list_shows_requests { listed.1 + load.unaccounted.1 } else { 0.0 };
        if requested + placement.cores > placement.cores_overcommit * cores
            || requested_memory + placement.memory > placement.memory_overcommit * memory
        {
            return None;
        }
        // The requested memory must fit into the memory that no task has requested, or the memory
        // in use must stay below the usable share.
        let mut excess_memory = load.memory + placement.memory - placement.memory_share * memory;
        if self.list_shows_requests {
            excess_memory = excess_memory.min(requested_memory + placement.memory - memory);
        }
        Some(Excess { cores: excess_cores, memory: excess_memory, cores_at_confidence })
    }

    /// Replaces `best` with a preemption on the machine, if evicting tasks of lower priority frees
    /// enough there and the share to be freed is smaller than with `best`.
    fn consider_preemption(
        &self,
        framework: usize,
        machine: usize,
        excess: &Excess,
        best: &mut Option<Preemption>,
    ) {
        let tasks = self.preemptible(machine, framework);
        let victims = || tasks.iter().map(|&task| &self.tasks[task]);
        let freeable_cores: f64 = victims().map(|task| self.service_usage[task.service].mean).sum();
        let freeable_memory = victims().map(|task| task.memory).sum::<f64>() * self.memory_use_ratio.mean;
        let cores_share = excess.cores / self.machines.cores[machine];
        let freed_share = cores_share.max(excess.memory / self.machines.memory[machine]);
        let best_freed_share = best.as_ref().map_or(f64::MAX, |preemption| preemption.freed_share);
        if freeable_cores >= excess.cores
            && freeable_memory >= excess.memory
            && freed_share < best_freed_share
        {
            let (cores, memory) = (excess.cores, excess.memory);
            *best = Some(Preemption { freed_share, machine, cores, memory, tasks });
        }
    }
}
