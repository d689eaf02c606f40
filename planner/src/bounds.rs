//! The installation's clauses as the placing module's hands hold them: which group each open task is in, and
//! which copies count where. It decides nothing: `basaltpitch_constraints` does.
use basaltpitch_constraints::conflict::conflict;
use basaltpitch_constraints::deciding::{Deciding, State};
use basaltpitch_constraints::{Clause, Machine, Task};
use basaltpitch_ledger::Launch;
use std::rc::Rc;

/// Steps that naming a conflict may take.
const STEPS: u64 = 500_000;

pub struct Bounds {
    pub deciding: Deciding,
    /// Groups of the module's tasks.
    of_task: Vec<Option<usize>>,
}

/// How a task stands to the hard clauses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stands {
    /// Some machine is allowed now.
    Free,
    /// None is allowed now, and one could be: what runs keeps it out.
    KeptOut,
    /// No machine that is known could ever take it: the clauses that say so, and whether none can be left
    /// out.
    Never { clauses: Vec<usize>, smallest: bool },
}

fn copy(launch: Launch) -> (u64, u64) {
    (launch.epoch, launch.number)
}

impl Bounds {
    pub fn new(clauses: Vec<Clause>) -> Self {
        Bounds { deciding: Deciding::new(clauses), of_task: Vec::new() }
    }

    pub fn enter(&mut self, task: usize, facts: &Task) {
        if task >= self.of_task.len() {
            self.of_task.resize(task + 1, None);
        }
        let g = self.deciding.enter(facts);
        if let Some(before) = self.of_task[task].replace(g) {
            self.deciding.leave(before);
        }
    }

    pub fn leave(&mut self, task: usize) {
        if let Some(g) = self.of_task.get_mut(task).and_then(Option::take) {
            self.deciding.leave(g);
        }
    }

    pub fn group(&self, task: usize) -> Option<usize> {
        self.of_task.get(task).copied().flatten()
    }

    pub fn began(&mut self, launch: Launch, machine: usize, facts: &Rc<Task>) {
        let g = self.deciding.enter(facts);
        self.deciding.placed(copy(launch), g, machine);
        self.deciding.leave(g);
    }

    pub fn over(&mut self, launch: Launch) {
        self.deciding.over(copy(launch));
    }

    /// How a task that is to be asked for stands.
    pub fn stands(&mut self, facts: &Task) -> Stands {
        let g = self.deciding.enter(facts);
        let free = self.deciding.allows_any(g);
        self.deciding.leave(g);
        if free {
            return Stands::Free;
        }
        let fleet = self.deciding.fleet().filter(|x| x.2 != State::Gone).map(|x| x.1);
        match conflict(self.deciding.clauses(), fleet, facts, STEPS) {
            Some(found) => Stands::Never { clauses: found.clauses, smallest: found.smallest },
            None => Stands::KeptOut,
        }
    }

    pub fn machine(&mut self, m: usize, facts: Machine, state: State) {
        self.deciding.machine(m, facts, state);
    }
}
