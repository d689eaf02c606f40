//! Which of the machines that a task fits it goes to.
use super::capacity::Placement;
use super::estimates::MachineLoad;
use super::Planner;
use crate::host::Host;
use std::cmp::Reverse;

/// Machines whose used capacity at confidence is within this many cores of the best are drawn from at random.
const TIE_CORES: f64 = 0.1;
/// Own tasks yet to start that a machine may have before others go first.
const MAX_STARTING_TASKS: usize = 6;
/// How full the machines may be on average that the fleet's load is kept to; the others run empty.
const PACKED_SHARE: f64 = 0.4;
/// Share in use, over all reports, from which on machines that warm up come first in their turn.
const PRESSED_UTILIZATION: f64 = 0.6;
/// Machines of a service that all planners agree on, so that its program is kept on few.
const HOMES: usize = 2;
/// The last marks of a suitability tell only of comfort: they are looked at among homes alone.
const COMFORT_MARKS: u32 = 2;

/// A machine for a task.
pub(super) struct Candidate {
    pub(super) machine: usize,
    /// How full it would be, in cores; the fullest is preferred.
    pub(super) fill: f64,
    /// See `Planner::suitability`.
    pub(super) suitability: u8,
}

/// What a machine would have in use, as it is ranked for packing.
struct Fullness {
    machine: usize,
    cores: f64,
    memory: f64,
    /// The larger of the shares in use.
    share: f64,
}

impl<H: Host> Planner<H> {
    /// Of the candidates those that suit best; of these the most preferred, the service's homes, then the
    /// fullest, drawn at random among equals.
    pub(super) fn choose(&mut self, placement: &Placement, mut candidates: Vec<Candidate>) -> Option<usize> {
        let needs = |candidate: &Candidate| candidate.suitability >> COMFORT_MARKS;
        let best_needs = candidates.iter().map(needs).max().unwrap_or(0);
        candidates.retain(|candidate| needs(candidate) == best_needs);
        let scores: Vec<u64> = candidates
            .iter()
            .map(|candidate| self.host.preference_score(placement.task, candidate.machine))
            .collect();
        let best_score = scores.iter().copied().max().unwrap_or(0);
        let mut preferred = scores.iter().map(|&score| score == best_score);
        candidates.retain(|_| preferred.next() == Some(true));
        candidates
            .sort_by_cached_key(|candidate| Reverse(self.affinity(placement.service, candidate.machine)));
        candidates.truncate(HOMES);
        let best = candidates.iter().map(|candidate| candidate.suitability).max().unwrap_or(0);
        candidates.retain(|candidate| candidate.suitability == best);
        let fullest = candidates.iter().map(|candidate| candidate.fill).fold(f64::MIN, f64::max);
        candidates.retain(|candidate| candidate.fill >= fullest - TIE_CORES);
        if candidates.is_empty() {
            return None;
        }
        Some(candidates[self.rng.usize(0..candidates.len())].machine)
    }

    /// Every planner computes the same number for a service on a machine: the machines where it is highest
    /// are the service's homes.
    pub(super) fn affinity(&self, service: usize, machine: usize) -> u64 {
        let service = self.service_numbers.get(service).copied().unwrap_or(service as u64);
        let mixed = (service.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ self.machines.stable_number[machine])
            .wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (mixed ^ mixed >> 31).wrapping_mul(0x94d0_49bb_1331_11eb) ^ mixed >> 29
    }

    /// How well a fitting machine suits, a bit for each mark, the weightiest first: it warms up and, among
    /// many planners, this one's turn has come, while the fleet is pressed (mass losses, deploys); it is calm,
    /// for what crowding stops; few own tasks start there; it is one of those that the fleet's load is kept
    /// to; it has the program, as a start takes far longer without; it is near; it stays calm for the task
    /// and for others. `fill` is its used capacity at confidence with the task.
    pub(super) fn suitability(&self, placement: &Placement, machine: usize, fill: f64, packed: bool) -> u8 {
        let (framework, service) = (placement.framework, placement.service);
        let is_calm =
            |framework: usize| self.frameworks[framework].calm_level * self.machines.cores[machine] >= fill;
        let starting = self.own_tasks_on(machine).filter(|task| task.running_at == 0).count();
        let started_at = self.machines.started_at[machine];
        let has_program =
            self.own_tasks_on(machine).any(|task| task.service == service && task.sent_at >= started_at);
        let calm_for_others = self.own_tasks_on(machine).all(|task| is_calm(task.framework));
        let near = self.preferred_zone.is_none_or(|zone| zone == self.machines.location[machine].1);
        let tolerant = self.frameworks[framework].crowding_tolerance >= 0.0;
        let marks = [
            self.slow_start_goes_first(machine),
            tolerant || is_calm(framework),
            starting < MAX_STARTING_TASKS,
            packed,
            has_program,
            near,
            is_calm(framework),
            calm_for_others,
        ];
        marks.iter().fold(0, |all, &mark| 2 * all + u8::from(mark))
    }

    /// Whether a machine that warms up comes first: while the fleet is pressed, where planners take turns.
    fn slow_start_goes_first(&self, machine: usize) -> bool {
        let utilization = self.cores_utilization.mean.max(self.memory_utilization.mean);
        self.now < self.machines.slow_start_until[machine]
            && utilization > PRESSED_UTILIZATION
            && self.setting("familyInfo.coldSends") < self.setting("nInstances")
    }

    /// The fullest machines that the load of all would fill to `PACKED_SHARE`: it is kept to them, as each
    /// machine that holds a task has a price. Many planners can't keep up with a fleet and would all crowd
    /// the same few.
    pub(super) fn packed_machines(&self, loads: &[(usize, MachineLoad)]) -> Vec<bool> {
        let machines = &self.machines;
        if self.fleet_outruns_probes() {
            return vec![true; machines.listed.len()];
        }
        let fullness = |&(machine, ref load): &(usize, MachineLoad)| {
            let cores_share = load.cores / machines.cores[machine].max(1.0);
            let share = cores_share.max(load.memory / machines.memory[machine].max(1.0));
            Fullness { machine, cores: load.cores, memory: load.memory, share }
        };
        let mut all: Vec<Fullness> = loads.iter().map(fullness).collect();
        all.sort_by(|one, other| other.share.total_cmp(&one.share).then(one.machine.cmp(&other.machine)));
        let mut cores = all.iter().map(|one| one.cores).sum::<f64>();
        let mut memory = all.iter().map(|one| one.memory).sum::<f64>();
        let mut packed = vec![false; machines.listed.len()];
        for Fullness { machine, .. } in all {
            packed[machine] = cores > 0.0 || memory > 0.0;
            cores -= PACKED_SHARE * machines.cores[machine];
            memory -= PACKED_SHARE * machines.memory[machine];
        }
        packed
    }
}
