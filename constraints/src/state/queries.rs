//! Answers from what is kept.
use super::{ConstraintState, MachineState};
use crate::MachineAttributes;

impl ConstraintState {
    /// Whether a group's task may go to a machine, its state aside.
    pub fn allows(&self, group: usize, machine: usize) -> bool {
        self.groups[group].blocking.get(machine).is_some_and(|constraint| *constraint == 0)
    }

    /// Whether any machine that is known is allowed.
    pub fn allows_any(&self, group: usize) -> bool {
        self.groups[group].blocking.iter().zip(&self.machines).any(|(constraint, known)| {
            *constraint == 0 && known.as_ref().is_some_and(|known| known.state != MachineState::Gone)
        })
    }

    /// How well wishes are met on a machine; more is better. A wish of a higher rank weighs more than all
    /// below it.
    pub fn preference_score(&self, group: usize, machine: usize) -> u64 {
        let soft = &self.groups[group].soft;
        soft.iter()
            .take(64)
            .fold(0, |all, &constraint| 2 * all + u64::from(!self.bound[constraint].forbids[machine]))
    }

    /// The constraints that forbid a machine, by their place in the files; hard ones.
    pub fn violated_constraints(&self, group: usize, machine: usize) -> Vec<usize> {
        let mut all: Vec<usize> = self.groups[group]
            .hard
            .iter()
            .filter(|&&constraint| self.bound[constraint].forbids[machine])
            .map(|&constraint| self.bound[constraint].constraint)
            .collect();
        all.dedup();
        all
    }

    /// The hard constraints that bind a group, and how many known machines each leaves.
    pub fn machines_left(&self, group: usize) -> Vec<(usize, usize)> {
        let known = |machine: &usize| {
            self.machines[*machine].as_ref().is_some_and(|known| known.state != MachineState::Gone)
        };
        let left = |constraint: usize| {
            (0..self.machines.len())
                .filter(known)
                .filter(|&machine| !self.bound[constraint].forbids[machine])
                .count()
        };
        self.groups[group]
            .hard
            .iter()
            .map(|&constraint| (self.bound[constraint].constraint, left(constraint)))
            .collect()
    }

    /// Groups that are kept now.
    pub fn group_count(&self) -> usize {
        self.groups.len() - self.free_groups.len()
    }

    /// Machines that are known, by what is listed of them.
    pub fn fleet(&self) -> impl Iterator<Item = (usize, &MachineAttributes, MachineState)> {
        self.machines
            .iter()
            .enumerate()
            .filter_map(|(machine, known)| known.as_ref().map(|known| (machine, &known.facts, known.state)))
    }
}
