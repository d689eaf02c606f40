//! Finds out whether any machine of the known fleet could ever run a task and, if none could, which
//! constraints conflict: a minimal set, of which none can be left out. Running tasks are ignored,
//! as they end: a task that is kept out by other tasks, by full machines or by draining machines
//! waits. The search is bounded by a number of steps. Once they are exhausted, it reports no
//! conflict, or a set that may contain constraints that could be left out.
use crate::{Constraint, MachineAttributes, Rule, Scope, TaskAttributes, TopologyLevel};
use std::collections::BTreeSet;

/// Number of affinities that are followed in a row, from a task to the tasks that it must run with.
const MAX_DEPTH: u32 = 3;

/// Constraints that no machine satisfies together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Indices of the constraints, in the order of the configuration files.
    pub constraints: Vec<usize>,
    /// Whether each of the constraints is known to be necessary for the conflict. `false`: the
    /// steps were exhausted before that was established.
    pub minimal: bool,
}

/// The tasks for which the search looks for a machine: the given task, or any task of a scope that
/// it must run with.
enum TaskSelector<'a> {
    Task(&'a TaskAttributes),
    AnyOf(&'a Scope),
}

struct Search<'a> {
    constraints: &'a [Constraint],
    /// The distinct attributes of the fleet's machines.
    fleet: Vec<&'a MachineAttributes>,
    /// The number of machines with each entry of `fleet`.
    count_of: Vec<usize>,
    /// Steps left before the search gives up.
    steps: u64,
}

impl Search<'_> {
    /// Returns whether machines of two entries of `fleet` can share a domain of a level.
    fn near(&self, a: usize, b: usize, level: TopologyLevel) -> bool {
        let (a, b) = (self.fleet[a], self.fleet[b]);
        // An entry stands for one machine or several, so two uses of it can mean the same machine.
        match level {
            TopologyLevel::Machine => a == b,
            TopologyLevel::Rack => (&a.zone, a.rack) == (&b.zone, b.rack),
            TopologyLevel::Zone => a.zone == b.zone,
        }
    }

    /// Returns whether the constraints `subset` allow the task on a machine with the attributes of
    /// `machine`, with the tasks that it must run with placed nearby. `None`: steps exhausted.
    fn meets(
        &mut self,
        subset: &BTreeSet<usize>,
        selector: &TaskSelector,
        machine: usize,
        depth: u32,
    ) -> Option<bool> {
        let constraints = self.constraints;
        let binds = |constraint: &Constraint| match selector {
            TaskSelector::Task(task) => constraint.scope.matches(task),
            TaskSelector::AnyOf(scope) => constraint.scope.covers(scope),
        };
        for &c in subset {
            let constraint = &constraints[c];
            if !binds(constraint) {
                continue;
            }
            self.steps = self.steps.checked_sub(1)?;
            let met = match &constraint.rule {
                Rule::In(machines) => machines.selects(self.fleet[machine]),
                Rule::NotIn(machines) => !machines.selects(self.fleet[machine]),
                Rule::With(others, level) => {
                    let itself = match selector {
                        TaskSelector::Task(task) => others.matches(task),
                        TaskSelector::AnyOf(scope) => others.covers(scope),
                    };
                    itself
                        || depth == 0
                        || self.companion_near(subset, selector, machine, others, *level, depth)?
                }
                Rule::Apart(..) | Rule::Spread { .. } => true,
            };
            if !met {
                return Some(false);
            }
        }
        Some(true)
    }

    /// Returns whether a task of the scope `others` could run in the same domain of `level` as a
    /// machine with the attributes of `machine`, outside the domains that anti-affinity excludes.
    /// `None`: steps exhausted.
    fn companion_near(
        &mut self,
        subset: &BTreeSet<usize>,
        selector: &TaskSelector,
        machine: usize,
        others: &Scope,
        level: TopologyLevel,
        depth: u32,
    ) -> Option<bool> {
        let constraints = self.constraints;
        let apart = subset.iter().filter_map(|&c| {
            let Rule::Apart(from, far) = &constraints[c].rule else { return None };
            let of = &constraints[c].scope;
            let applies = match selector {
                TaskSelector::Task(task) => {
                    of.matches(task) && from.covers(others) || from.matches(task) && of.covers(others)
                }
                TaskSelector::AnyOf(scope) => {
                    of.covers(scope) && from.covers(others) || from.covers(scope) && of.covers(others)
                }
            };
            applies.then_some(*far)
        });
        let apart = apart.max();
        for n in 0..self.fleet.len() {
            self.steps = self.steps.checked_sub(1)?;
            if !self.near(machine, n, level) {
                continue;
            }
            let too_near = match apart {
                // With two or more machines of the same attributes, the tasks can use one each.
                Some(TopologyLevel::Machine) => {
                    n == machine && (self.count_of[machine] < 2 || level == TopologyLevel::Machine)
                }
                Some(far) => self.near(machine, n, far),
                None => false,
            };
            if !too_near && self.meets(subset, &TaskSelector::AnyOf(others), n, depth - 1)? {
                return Some(true);
            }
        }
        Some(false)
    }

    /// Returns whether any machine satisfies a set of constraints; `None`: steps exhausted.
    fn possible(&mut self, subset: &BTreeSet<usize>, task: &TaskAttributes) -> Option<bool> {
        for machine in 0..self.fleet.len() {
            if self.meets(subset, &TaskSelector::Task(task), machine, MAX_DEPTH)? {
                return Some(true);
            }
        }
        Some(false)
    }
}

/// Returns the hard constraints that can affect a task: those that apply to the task, or to tasks
/// that it must run with directly or through other tasks.
fn relevant(constraints: &[Constraint], task: &TaskAttributes) -> BTreeSet<usize> {
    let mut companions: Vec<&Scope> = Vec::new();
    let mut set = BTreeSet::new();
    for _ in 0..=MAX_DEPTH {
        for (c, constraint) in constraints.iter().enumerate().filter(|x| x.1.is_hard()) {
            let concerns = |s: &Scope| s.matches(task) || companions.iter().any(|x| s.covers(x));
            let apart = matches!(&constraint.rule, Rule::Apart(from, _) if concerns(from));
            if (concerns(&constraint.scope) || apart) && set.insert(c) {
                if let Rule::With(others, _) = &constraint.rule {
                    companions.push(others);
                }
            }
        }
    }
    set
}

/// Returns the constraints because of which no machine of a fleet could ever run a task. `None`: a
/// machine could, or the fleet is empty, or the steps were exhausted before that was known; the
/// task then waits as if a machine could run it.
pub fn conflict<'a>(
    constraints: &[Constraint],
    fleet: impl Iterator<Item = &'a MachineAttributes>,
    task: &TaskAttributes,
    steps: u64,
) -> Option<Conflict> {
    let mut machines: Vec<&MachineAttributes> = fleet.collect();
    machines.sort();
    let mut count_of: Vec<usize> = Vec::new();
    let mut distinct: Vec<&MachineAttributes> = Vec::new();
    for machine in machines {
        if distinct.last() == Some(&machine) {
            *count_of.last_mut()? += 1;
        } else {
            distinct.push(machine);
            count_of.push(1);
        }
    }
    if distinct.is_empty() {
        return None;
    }
    let mut search = Search { constraints, fleet: distinct, count_of, steps };
    let mut set = relevant(constraints, task);
    if search.possible(&set, task)? {
        return None;
    }
    // Removes each constraint that the conflict does not need. Removing constraints never makes
    // fewer machines possible, so a constraint that is necessary now stays necessary, and a single
    // pass is enough.
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
