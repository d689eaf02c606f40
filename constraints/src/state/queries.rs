//! Queries: which machines are allowed, which constraints forbid a machine, and how far preferences
//! are met.
use super::{ConstraintState, MachineState};
use crate::MachineAttributes;

impl ConstraintState {
    /// Returns whether the hard constraints allow a group's tasks on a machine, whatever its state.
    pub fn allows(&self, group: usize, machine: usize) -> bool {
        self.groups[group].blocking.get(machine).is_some_and(|blocking| *blocking == 0)
    }

    /// Returns whether the hard constraints allow a group's tasks on any listed machine.
    pub fn allows_any(&self, group: usize) -> bool {
        self.groups[group].blocking.iter().zip(&self.machines).any(|(blocking, known)| {
            *blocking == 0 && known.as_ref().is_some_and(|known| known.state != MachineState::Gone)
        })
    }

    /// Scores how well a machine meets a group's preferences; higher is better. A preference
    /// outweighs all preferences of lower rank together. Only the 64 preferences of highest rank
    /// count, with one bit of the score each.
    pub fn preference_score(&self, group: usize, machine: usize) -> u64 {
        let soft = &self.groups[group].soft;
        soft.iter()
            .take(64)
            .fold(0, |all, &constraint| 2 * all + u64::from(!self.bound[constraint].forbids[machine]))
    }

    /// Returns the hard constraints that forbid a machine, by their index in the files.
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

    /// Returns the hard constraints of a group, by their index in the files, each with the number
    /// of listed machines that it allows.
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

    /// Returns how many groups exist, unused ones included.
    pub fn group_count(&self) -> usize {
        self.groups.len() - self.free_groups.len()
    }

    /// Returns all known machines: index, listed attributes and state.
    pub fn fleet(&self) -> impl Iterator<Item = (usize, &MachineAttributes, MachineState)> {
        self.machines
            .iter()
            .enumerate()
            .filter_map(|(index, known)| known.as_ref().map(|known| (index, &known.attributes, known.state)))
    }
}
