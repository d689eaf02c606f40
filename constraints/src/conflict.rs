//! Whether any machine of the known fleet could ever take a task, and if none could, a smallest set of
//! clauses that says so: none of them can be left out. What runs now does not count here, as it ends: a task
//! that is kept out by others, by full machines or by machines that are down waits. Work is bounded in steps,
//! and an end for want of steps is said.
use crate::{Constraint, MachineAttributes, Rule, Scope, TaskAttributes, TopologyLevel};
use std::collections::BTreeSet;

/// How far clauses of those that a task must be with are followed.
const MAX_DEPTH: u32 = 3;

/// A set of clauses, by their place in the files, that no machine meets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Their places in the files.
    pub constraints: Vec<usize>,
    /// None can be left out; false: the steps ended before that was sure.
    pub minimal: bool,
}

/// TaskSelector clauses are about: the task itself, or any that it must be with.
enum TaskSelector<'a> {
    Task(&'a TaskAttributes),
    AnyOf(&'a Scope),
}

struct Search<'a> {
    constraints: &'a [Constraint],
    /// Machines that differ in what is listed of them.
    fleet: Vec<&'a MachineAttributes>,
    /// How many machines there are of each.
    count_of: Vec<usize>,
    steps: u64,
}

impl Search<'_> {
    fn near(&self, a: usize, b: usize, level: TopologyLevel) -> bool {
        let (a, b) = (self.fleet[a], self.fleet[b]);
        // Machines of one row here may be one machine or several: the same row is as near as can be.
        match level {
            TopologyLevel::Machine => a == b,
            TopologyLevel::Rack => (&a.zone, a.rack) == (&b.zone, b.rack),
            TopologyLevel::Zone => a.zone == b.zone,
        }
    }

    /// Whether the clauses let some machine like `m` have the task, with those that it must be with somewhere
    /// near.
    fn meets(
        &mut self,
        among: &BTreeSet<usize>,
        selector: &TaskSelector,
        machine: usize,
        depth: u32,
    ) -> Option<bool> {
        let constraints = self.constraints;
        let binds = |constraint: &Constraint| match selector {
            TaskSelector::Task(task) => constraint.of.matches(task),
            TaskSelector::AnyOf(scope) => constraint.of.covers(scope),
        };
        for &c in among {
            let constraint = &constraints[c];
            if !binds(constraint) {
                continue;
            }
            self.steps = self.steps.checked_sub(1)?;
            let met = match &constraint.rule {
                Rule::In(machines) => machines.names(self.fleet[machine]),
                Rule::NotIn(machines) => !machines.names(self.fleet[machine]),
                Rule::With(others, level) => {
                    let itself = match selector {
                        TaskSelector::Task(task) => others.matches(task),
                        TaskSelector::AnyOf(scope) => others.covers(scope),
                    };
                    itself
                        || depth == 0
                        || self.companion_near(among, selector, machine, others, *level, depth)?
                }
                Rule::Apart(..) | Rule::Spread { .. } => true,
            };
            if !met {
                return Some(false);
            }
        }
        Some(true)
    }

    /// Whether one of `others` could be near a machine like `m`, and not so near that it must be apart.
    fn companion_near(
        &mut self,
        among: &BTreeSet<usize>,
        selector: &TaskSelector,
        machine: usize,
        others: &Scope,
        level: TopologyLevel,
        depth: u32,
    ) -> Option<bool> {
        let constraints = self.constraints;
        let apart = among.iter().filter_map(|&c| {
            let Rule::Apart(from, far) = &constraints[c].rule else { return None };
            let of = &constraints[c].of;
            let there = match selector {
                TaskSelector::Task(task) => {
                    of.matches(task) && from.covers(others) || from.matches(task) && of.covers(others)
                }
                TaskSelector::AnyOf(scope) => {
                    of.covers(scope) && from.covers(others) || from.covers(scope) && of.covers(others)
                }
            };
            there.then_some(*far)
        });
        let apart = apart.max();
        for n in 0..self.fleet.len() {
            self.steps = self.steps.checked_sub(1)?;
            if !self.near(machine, n, level) {
                continue;
            }
            let too_near = match apart {
                // Two machines of one row are two machines.
                Some(TopologyLevel::Machine) => {
                    n == machine && (self.count_of[machine] < 2 || level == TopologyLevel::Machine)
                }
                Some(far) => self.near(machine, n, far),
                None => false,
            };
            if !too_near && self.meets(among, &TaskSelector::AnyOf(others), n, depth - 1)? {
                return Some(true);
            }
        }
        Some(false)
    }

    /// Whether any machine meets a set of clauses; `None`: the steps ended.
    fn possible(&mut self, among: &BTreeSet<usize>, task: &TaskAttributes) -> Option<bool> {
        for machine in 0..self.fleet.len() {
            if self.meets(among, &TaskSelector::Task(task), machine, MAX_DEPTH)? {
                return Some(true);
            }
        }
        Some(false)
    }
}

/// Hard clauses that can matter to a task: such as bind it, or those that it must be with, and so on.
fn relevant(constraints: &[Constraint], task: &TaskAttributes) -> BTreeSet<usize> {
    let mut company: Vec<&Scope> = Vec::new();
    let mut set = BTreeSet::new();
    for _ in 0..=MAX_DEPTH {
        for (c, constraint) in constraints.iter().enumerate().filter(|x| x.1.is_hard()) {
            let about = |s: &Scope| s.matches(task) || company.iter().any(|x| s.covers(x));
            let apart = matches!(&constraint.rule, Rule::Apart(from, _) if about(from));
            if (about(&constraint.of) || apart) && set.insert(c) {
                if let Rule::With(others, _) = &constraint.rule {
                    company.push(others);
                }
            }
        }
    }
    set
}

/// Why no machine of a fleet could ever take a task; `None`: one could, or the steps ended before that was
/// known, and then the task waits as if one could.
pub fn conflict<'a>(
    constraints: &[Constraint],
    fleet: impl Iterator<Item = &'a MachineAttributes>,
    task: &TaskAttributes,
    steps: u64,
) -> Option<Conflict> {
    let mut rows: Vec<&MachineAttributes> = fleet.collect();
    rows.sort();
    let mut count_of: Vec<usize> = Vec::new();
    let mut kinds: Vec<&MachineAttributes> = Vec::new();
    for machine in rows {
        if kinds.last() == Some(&machine) {
            *count_of.last_mut()? += 1;
        } else {
            kinds.push(machine);
            count_of.push(1);
        }
    }
    if kinds.is_empty() {
        return None;
    }
    let mut search = Search { constraints, fleet: kinds, count_of, steps };
    let mut set = relevant(constraints, task);
    if search.possible(&set, task)? {
        return None;
    }
    // Leaving one out at a time: fewer clauses never make less possible, so what stays cannot be left out.
    for c in set.clone() {
        set.remove(&c);
        match search.possible(&set, task) {
            Some(false) => {}
            Some(true) => {
                set.insert(c);
            }
            None => {
                set.insert(c);
                let constraints = set.into_iter().collect();
                return Some(Conflict { constraints, minimal: false });
            }
        }
    }
    Some(Conflict { constraints: set.into_iter().collect(), minimal: true })
}
