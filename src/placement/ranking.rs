//! Ranking: which of the candidate machines a task is placed on.
use super::capacity::Placement;
use super::estimates::MachineLoad;
use super::Planner;
use crate::host::Host;
use std::cmp::Reverse;

/// Machines whose `Candidate::fill` is within this many cores of the highest count as equal, and
/// one of them is drawn at random.
const TIE_CORES: f64 = 0.1;
/// Number of own tasks that have not started yet at which a machine ranks below the others.
const MAX_STARTING_TASKS: usize = 6;
/// Average share of capacity up to which the preferred machines are filled; the fleet's load is
/// packed on them so that other machines run empty.
const PACKED_SHARE: f64 = 0.4;
/// Average utilization of the fleet above which machines that warm up rank first in this planner's
/// turn.
const HIGH_UTILIZATION: f64 = 0.6;
/// Number of candidates with the highest affinity to a service among which the choice is made. All
/// planners compute the same affinity, so that few machines have to hold the service's program.
const AFFINITY_MACHINES: usize = 2;
/// Number of trailing criteria of a suitability that are only compared between the machines with
/// the highest affinity.
const SOFT_CRITERIA: u32 = 2;

/// A machine on which a task can be placed.
pub(super) struct Candidate {
    pub(super) machine: usize,
    /// Rank by load in cores, where the highest is preferred: the cores in use at confidence on a
    /// machine that fits the task, or the negated excess of cores on a congested machine.
    pub(super) fill: f64,
    /// Criteria that the machine meets, as computed by `Planner::suitability`; 0 on a congested
    /// machine.
    pub(super) suitability: u8,
}

/// The load of a machine, as ranked by `Planner::packed_machines`.
struct Fullness {
    machine: usize,
    cores: f64,
    memory: f64,
    /// The share of the cores or of the memory in use, whichever is larger.
    share: f64,
}

impl<H: Host> Planner<H> {
    /// Returns the machine to place a task on, or `None` if there are no candidates.
    ///
    /// Each step keeps the best candidates of the previous one: those that meet the weightiest hard
    /// criteria, those with the highest preference score, the `AFFINITY_MACHINES` with the highest
    /// affinity, those with the highest suitability, and those with the highest fill. One of the
    /// rest is drawn at random.
    pub(super) fn choose(&mut self, placement: &Placement, mut candidates: Vec<Candidate>) -> Option<usize> {
        let hard_criteria = |candidate: &Candidate| candidate.suitability >> SOFT_CRITERIA;
        let best_hard_criteria = candidates.iter().map(hard_criteria).max().unwrap_or(0);
        candidates.retain(|candidate| hard_criteria(candidate) == best_hard_criteria);
        let scores: Vec<u64> = candidates
            .iter()
            .map(|candidate| self.host.preference_score(placement.task, candidate.machine))
            .collect();
        let best_score = scores.iter().copied().max().unwrap_or(0);
        let mut preferred = scores.iter().map(|&score| score == best_score);
        candidates.retain(|_| preferred.next() == Some(true));
        candidates
            .sort_by_cached_key(|candidate| Reverse(self.affinity(placement.service, candidate.machine)));
        candidates.truncate(AFFINITY_MACHINES);
        let best = candidates.iter().map(|candidate| candidate.suitability).max().unwrap_or(0);
        candidates.retain(|candidate| candidate.suitability == best);
        let fullest = candidates.iter().map(|candidate| candidate.fill).fold(f64::MIN, f64::max);
        candidates.retain(|candidate| candidate.fill >= fullest - TIE_CORES);
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.rng.usize(0..candidates.len())].machine)
    }

    /// Returns the affinity of a service to a machine, a rendezvous hash of their numbers. Every
    /// planner computes the same value, so all prefer the same machines for a service.
    pub(super) fn affinity(&self, service: usize, machine: usize) -> u64 {
        let service = self.service_numbers.get(service).copied().unwrap_or(service as u64);
        let mixed = (service.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.machines.stable_number[machine])
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ mixed >> 31).wrapping_mul(0x94d0_49bb_1331_11eb) ^ mixed >> 29
    }

    /// Returns how well a fitting machine suits a task: one bit per criterion, the weightiest
    /// first, so that a larger number is better. `fill` is the cores in use at confidence with the
    /// task. The criteria, in order of weight:
    ///
    /// 1. The machine warms up, the fleet is highly utilized (after mass failures or deployments),
    ///    and planners take turns at machines that warm up; the machine is then only eligible in
    ///    the turn of this planner.
    /// 2. The machine stays below the task's congestion threshold, or congestion only slows the
    ///    task.
    /// 3. Fewer than `MAX_STARTING_TASKS` own tasks are starting there.
    /// 4. The machine is one of those on which the fleet's load is packed (`packed`).
    /// 5. An own task of the same service has been sent there since the machine started and has not
    ///    ended, so the machine has the program; without it, a start takes far longer.
    /// 6. The machine is in the planner's zone, or the zone does not matter.
    /// 7. The machine stays below the task's congestion threshold.
    /// 8. The machine stays below the congestion thresholds of this planner's tasks that run there.
    pub(super) fn suitability(&self, placement: &Placement, machine: usize, fill: f64, packed: bool) -> u8 {
        let (framework, service) = (placement.framework, placement.service);
        let is_uncongested =
            |index: usize| self.frameworks[index].congestion_threshold * self.machines.cores[machine] >= fill;
        let starting = self.own_tasks_on(machine).filter(|task| task.running_at == 0).count();
        let started_at = self.machines.started_at[machine];
        let has_program =
            self.own_tasks_on(machine).any(|task| task.service == service && task.sent_at >= started_at);
        let uncongested_for_others = self.own_tasks_on(machine).all(|task| is_uncongested(task.framework));
        let in_preferred_zone =
            self.preferred_zone.is_none_or(|zone| zone == self.machines.location[machine].1);
        let tolerant = self.frameworks[framework].congestion_tolerance >= 0.0;
        let criteria = [
            self.ranks_warming_up_first(machine),
            tolerant || is_uncongested(framework),
            starting < MAX_STARTING_TASKS,
            packed,
            has_program,
            in_preferred_zone,
            is_uncongested(framework),
            uncongested_for_others,
        ];
        criteria.iter().fold(0, |bits, &is_met| 2 * bits + u8::from(is_met))
    }

    /// Returns whether a machine that warms up ranks first: the fleet is highly utilized, and there
    /// are more planners than attempts in the machine's slow-start budget, so that planners take
    /// turns.
    fn ranks_warming_up_first(&self, machine: usize) -> bool {
        let utilization = self.cores_utilization.mean.max(self.memory_utilization.mean);
        self.now < self.machines.slow_start_until[machine]
            && utilization > HIGH_UTILIZATION
            && self.setting("familyInfo.coldSends") < self.setting("nInstances")
    }

    /// Returns, by machine, whether the machine is one of the fullest that together could carry the
    /// load of the whole fleet at `PACKED_SHARE` of their capacity. Placement prefers them, because
    /// each machine that holds a task has a cost.
    ///
    /// Returns true for all machines if reports expire between probes: with so many planners on
    /// outdated reports, all would overload the same few machines.
    pub(super) fn packed_machines(&self, loads: &[(usize, MachineLoad)]) -> Vec<bool> {
        let machines = &self.machines;
        if self.reports_expire_between_probes() {
            return vec![true; machines.listed.len()];
        }
        let fullness = |&(machine, ref load): &(usize, MachineLoad)| {
            let cores_share = load.cores / machines.cores[machine].max(1.0);
            let share = cores_share.max(load.memory / machines.memory[machine].max(1.0));
            Fullness { machine, cores: load.cores, memory: load.memory, share }
        };
        let mut by_fullness: Vec<Fullness> = loads.iter().map(fullness).collect();
        by_fullness
            .sort_by(|one, other| other.share.total_cmp(&one.share).then(one.machine.cmp(&other.machine)));
        let mut cores = by_fullness.iter().map(|one| one.cores).sum::<f64>();
        let mut memory = by_fullness.iter().map(|one| one.memory).sum::<f64>();
        let mut packed = vec![false; machines.listed.len()];
        for Fullness { machine, .. } in by_fullness {
            packed[machine] = cores > 0.0 || memory > 0.0;
            cores -= PACKED_SHARE * machines.cores[machine];
            memory -= PACKED_SHARE * machines.memory[machine];
        }
        packed
    }
}
