//! The installation's clauses as the placing module's hands hold them: which group each open task is in, and
//! which copies count where. It decides nothing: `basaltpitch_constraints` does.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::state::{ConstraintState, MachineState};
use basaltpitch_constraints::{Constraint, MachineAttributes, TaskAttributes};
use basaltpitch_ledger::AttemptId;
use std::rc::Rc;

/// Steps that naming a conflict may take.
const STEPS: u64 = 500_000;

pub struct PlacementConstraints {
    pub state: ConstraintState,
    /// Groups of the module's tasks.
    of_task: Vec<Option<usize>>,
}

/// How a task stands to the hard clauses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// Some machine is allowed now.
    Eligible,
    /// None is allowed now, and one could be: what runs keeps it out.
    Blocked,
    /// No machine that is known could ever take it: the clauses that say so, and whether none can be left
    /// out.
    Infeasible { constraints: Vec<usize>, minimal: bool },
}

fn copy(launch: AttemptId) -> (u64, u64) {
    (launch.epoch, launch.number)
}

impl PlacementConstraints {
    pub fn new(clauses: Vec<Constraint>) -> Self {
        PlacementConstraints { state: ConstraintState::new(clauses), of_task: Vec::new() }
    }

    pub fn task_opened(&mut self, task: usize, facts: &TaskAttributes) {
        if task >= self.of_task.len() {
            self.of_task.resize(task + 1, None);
        }
        let g = self.state.acquire_group(facts);
        if let Some(before) = self.of_task[task].replace(g) {
            self.state.release_group(before);
        }
    }

    pub fn task_closed(&mut self, task: usize) {
        if let Some(g) = self.of_task.get_mut(task).and_then(Option::take) {
            self.state.release_group(g);
        }
    }

    pub fn group(&self, task: usize) -> Option<usize> {
        self.of_task.get(task).copied().flatten()
    }

    pub fn attempt_started(&mut self, launch: AttemptId, machine: usize, facts: &Rc<TaskAttributes>) {
        let g = self.state.acquire_group(facts);
        self.state.attempt_started(copy(launch), g, machine);
        self.state.release_group(g);
    }

    pub fn attempt_ended(&mut self, launch: AttemptId) {
        self.state.attempt_ended(copy(launch));
    }

    /// How a task that is to be asked for stands.
    pub fn eligibility(&mut self, facts: &TaskAttributes) -> Eligibility {
        let g = self.state.acquire_group(facts);
        let free = self.state.allows_any(g);
        self.state.release_group(g);
        if free {
            return Eligibility::Eligible;
        }
        let fleet = self.state.fleet().filter(|x| x.2 != MachineState::Gone).map(|x| x.1);
        match conflict(self.state.constraints(), fleet, facts, STEPS) {
            Some(found) => Eligibility::Infeasible { constraints: found.constraints, minimal: found.minimal },
            None => Eligibility::Blocked,
        }
    }

    pub fn update_machine(&mut self, m: usize, facts: MachineAttributes, state: MachineState) {
        self.state.update_machine(m, facts, state);
    }
}
