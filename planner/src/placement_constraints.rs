//! The installation's constraints, for the host adapter: tracks the group of each open task and the
//! machine of each attempt. `basaltpitch_constraints` evaluates the constraints.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::state::{AttemptKey, ConstraintState, MachineState};
use basaltpitch_constraints::{Constraint, MachineAttributes, TaskAttributes};
use basaltpitch_ledger::AttemptId;
use std::rc::Rc;

/// Limit on the steps of one search for a conflicting set of constraints.
const MAX_CONFLICT_STEPS: u64 = 500_000;

/// The constraints, with the open tasks and the attempts that they apply to.
pub struct PlacementConstraints {
    /// The machines that the constraints allow for each group, updated incrementally.
    pub state: ConstraintState,
    /// By the placement module's task index, the task's group; `None` if the task is not open.
    task_groups: Vec<Option<usize>>,
}

/// Whether hard constraints allow a task to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// At least one machine is allowed now.
    Eligible,
    /// No machine is allowed now because of the tasks that run, but some machine could be allowed
    /// later.
    Blocked,
    /// No known machine could ever be allowed, whichever tasks run.
    Infeasible {
        /// The conflicting constraints, as indices in the order of the settings files.
        constraints: Vec<usize>,
        /// Whether the set is minimal: without any one of the constraints there would be no
        /// conflict.
        minimal: bool,
    },
}

fn attempt_key(attempt: AttemptId) -> AttemptKey {
    (attempt.epoch, attempt.number)
}

impl PlacementConstraints {
    /// Creates a state for `constraints`, without machines and tasks.
    pub fn new(constraints: Vec<Constraint>) -> Self {
        PlacementConstraints { state: ConstraintState::new(constraints), task_groups: Vec::new() }
    }

    /// Records that the placement module was given a task under this index.
    pub fn task_opened(&mut self, task: usize, attributes: &TaskAttributes) {
        if task >= self.task_groups.len() {
            self.task_groups.resize(task + 1, None);
        }
        let group = self.state.acquire_group(attributes);
        if let Some(previous_group) = self.task_groups[task].replace(group) {
            self.state.release_group(previous_group);
        }
    }

    /// Records that the placement module no longer has the task with this index.
    pub fn task_closed(&mut self, task: usize) {
        if let Some(group) = self.task_groups.get_mut(task).and_then(Option::take) {
            self.state.release_group(group);
        }
    }

    /// Returns the group of an open task; `None` if the task is not open.
    pub fn group(&self, task: usize) -> Option<usize> {
        self.task_groups.get(task).copied().flatten()
    }

    /// Records that an attempt was sent to a machine or was found on it.
    pub fn attempt_started(&mut self, attempt: AttemptId, machine: usize, attributes: &Rc<TaskAttributes>) {
        let group = self.state.acquire_group(attributes);
        self.state.attempt_started(attempt_key(attempt), group, machine);
        self.state.release_group(group);
    }

    /// Records that an attempt ended, or is known never to have started.
    pub fn attempt_ended(&mut self, attempt: AttemptId) {
        self.state.attempt_ended(attempt_key(attempt));
    }

    /// Returns whether a task with these attributes could run on any machine.
    pub fn eligibility(&mut self, attributes: &TaskAttributes) -> Eligibility {
        let group = self.state.acquire_group(attributes);
        let allowed = self.state.allows_any(group);
        self.state.release_group(group);
        if allowed {
            return Eligibility::Eligible;
        }
        let fleet = self.state.fleet().filter(|entry| entry.2 != MachineState::Gone).map(|entry| entry.1);
        match conflict(self.state.constraints(), fleet, attributes, MAX_CONFLICT_STEPS) {
            Some(found) => Eligibility::Infeasible { constraints: found.constraints, minimal: found.minimal },
            None => Eligibility::Blocked,
        }
    }

    /// Records a machine's current attributes and state.
    pub fn update_machine(&mut self, machine: usize, attributes: MachineAttributes, state: MachineState) {
        self.state.update_machine(machine, attributes, state);
    }
}
