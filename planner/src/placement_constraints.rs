//! The installation's constraints as the host adapter keeps them: which group each open task is in, and which
//! attempts count where. It decides nothing: `basaltpitch_constraints` does.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::state::{AttemptKey, ConstraintState, MachineState};
use basaltpitch_constraints::{Constraint, MachineAttributes, TaskAttributes};
use basaltpitch_ledger::AttemptId;
use std::rc::Rc;

/// Steps that finding a conflict may take.
const MAX_CONFLICT_STEPS: u64 = 500_000;

/// Constraints, and the tasks and attempts that they are kept for.
pub struct PlacementConstraints {
    /// What the constraints forbid, kept by the change.
    pub state: ConstraintState,
    /// Groups of the placement module's tasks.
    task_groups: Vec<Option<usize>>,
}

/// Whether hard constraints let a task run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Some machine is allowed now.
    Eligible,
    /// None is allowed now, and one could be: what runs keeps it out.
    Blocked,
    /// No machine that is known could ever take it.
    Infeasible {
        /// The constraints that say so, by their place in the files.
        constraints: Vec<usize>,
        /// Whether none of them can be left out.
        minimal: bool,
    },
}

fn key(attempt: AttemptId) -> AttemptKey {
    (attempt.epoch, attempt.number)
}

impl PlacementConstraints {
    /// Of these constraints, with no machine and no task yet.
    pub fn new(constraints: Vec<Constraint>) -> Self {
        PlacementConstraints { state: ConstraintState::new(constraints), task_groups: Vec::new() }
    }

    /// The placement module is asked for a task.
    pub fn task_opened(&mut self, task: usize, facts: &TaskAttributes) {
        if task >= self.task_groups.len() {
            self.task_groups.resize(task + 1, None);
        }
        let group = self.state.acquire_group(facts);
        if let Some(before) = self.task_groups[task].replace(group) {
            self.state.release_group(before);
        }
    }

    /// The placement module has done with a task.
    pub fn task_closed(&mut self, task: usize) {
        if let Some(group) = self.task_groups.get_mut(task).and_then(Option::take) {
            self.state.release_group(group);
        }
    }

    /// The group of an open task.
    pub fn group(&self, task: usize) -> Option<usize> {
        self.task_groups.get(task).copied().flatten()
    }

    /// An attempt is on a machine, or was sent there.
    pub fn attempt_started(&mut self, attempt: AttemptId, machine: usize, facts: &Rc<TaskAttributes>) {
        let group = self.state.acquire_group(facts);
        self.state.attempt_started(key(attempt), group, machine);
        self.state.release_group(group);
    }

    /// An attempt is over, or is known never to have begun.
    pub fn attempt_ended(&mut self, attempt: AttemptId) {
        self.state.attempt_ended(key(attempt));
    }

    /// Whether a task that is to be asked for could run.
    pub fn eligibility(&mut self, facts: &TaskAttributes) -> Eligibility {
        let group = self.state.acquire_group(facts);
        let allowed = self.state.allows_any(group);
        self.state.release_group(group);
        if allowed {
            return Eligibility::Eligible;
        }
        let fleet = self.state.fleet().filter(|entry| entry.2 != MachineState::Gone).map(|entry| entry.1);
        match conflict(self.state.constraints(), fleet, facts, MAX_CONFLICT_STEPS) {
            Some(found) => Eligibility::Infeasible { constraints: found.constraints, minimal: found.minimal },
            None => Eligibility::Blocked,
        }
    }

    /// A machine as it is listed now.
    pub fn update_machine(&mut self, machine: usize, facts: MachineAttributes, state: MachineState) {
        self.state.update_machine(machine, facts, state);
    }
}
