//! Whether any machine of the known fleet could ever take a task, and if none could, a smallest set of
//! clauses that says so: none of them can be left out. What runs now does not count here, as it ends: a task
//! that is kept out by others, by full machines or by machines that are down waits. Work is bounded in steps,
//! and an end for want of steps is said.
use crate::{Constraint, MachineAttributes, Rule, Scope, TaskAttributes, TopologyLevel};
use std::collections::BTreeSet;

/// How far clauses of those that a task must be with are followed.
const DEEP: u32 = 3;

/// A set of clauses, by their place in the files, that no machine meets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    pub clauses: Vec<usize>,
    /// None can be left out; false: the steps ended before that was sure.
    pub smallest: bool,
}

/// TaskSelector clauses are about: the task itself, or any that it must be with.
enum TaskSelector<'a> {
    Task(&'a TaskAttributes),
    Some(&'a Scope),
}

struct Search<'a> {
    clauses: &'a [Constraint],
    /// Machines that differ in what is listed of them.
    fleet: Vec<&'a MachineAttributes>,
    /// How many machines there are of each.
    many: Vec<usize>,
    steps: u64,
}

impl Search<'_> {
    fn near(&self, a: usize, b: usize, level: TopologyLevel) -> bool {
        let (a, b) = (self.fleet[a], self.fleet[b]);
        // Machines of one row here may be one machine or several: the same row is as near as can be.
        match level {
            TopologyLevel::Machine => a == b,
            TopologyLevel::Rack => (&a.hall, a.rack) == (&b.hall, b.rack),
            TopologyLevel::Zone => a.hall == b.hall,
        }
    }

    /// Whether the clauses let some machine like `m` have the task, with those that it must be with somewhere
    /// near.
    fn meets(&mut self, among: &BTreeSet<usize>, whom: &TaskSelector, m: usize, depth: u32) -> Option<bool> {
        let clauses = self.clauses;
        let binds = |c: &Constraint| match whom {
            TaskSelector::Task(t) => c.of.matches(t),
            TaskSelector::Some(s) => c.of.covers(s),
        };
        for &c in among {
            let clause = &clauses[c];
            if !binds(clause) {
                continue;
            }
            self.steps = self.steps.checked_sub(1)?;
            let met = match &clause.rule {
                Rule::In(which) => which.names(self.fleet[m]),
                Rule::NotIn(which) => !which.names(self.fleet[m]),
                Rule::With(others, level) => {
                    let itself = match whom {
                        TaskSelector::Task(t) => others.matches(t),
                        TaskSelector::Some(s) => others.covers(s),
                    };
                    itself || depth == 0 || self.somebody_near(among, whom, m, others, *level, depth)?
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
    fn somebody_near(
        &mut self,
        among: &BTreeSet<usize>,
        whom: &TaskSelector,
        m: usize,
        others: &Scope,
        level: TopologyLevel,
        depth: u32,
    ) -> Option<bool> {
        let clauses = self.clauses;
        let apart = among.iter().filter_map(|&c| {
            let Rule::Apart(from, far) = &clauses[c].rule else { return None };
            let of = &clauses[c].of;
            let there = match whom {
                TaskSelector::Task(t) => {
                    of.matches(t) && from.covers(others) || from.matches(t) && of.covers(others)
                }
                TaskSelector::Some(s) => {
                    of.covers(s) && from.covers(others) || from.covers(s) && of.covers(others)
                }
            };
            there.then_some(*far)
        });
        let apart = apart.max();
        for n in 0..self.fleet.len() {
            self.steps = self.steps.checked_sub(1)?;
            if !self.near(m, n, level) {
                continue;
            }
            let too_near = match apart {
                // Two machines of one row are two machines.
                Some(TopologyLevel::Machine) => {
                    n == m && (self.many[m] < 2 || level == TopologyLevel::Machine)
                }
                Some(far) => self.near(m, n, far),
                None => false,
            };
            if !too_near && self.meets(among, &TaskSelector::Some(others), n, depth - 1)? {
                return Some(true);
            }
        }
        Some(false)
    }

    /// Whether any machine meets a set of clauses; `None`: the steps ended.
    fn possible(&mut self, among: &BTreeSet<usize>, task: &TaskAttributes) -> Option<bool> {
        for m in 0..self.fleet.len() {
            if self.meets(among, &TaskSelector::Task(task), m, DEEP)? {
                return Some(true);
            }
        }
        Some(false)
    }
}

/// Hard clauses that can matter to a task: such as bind it, or those that it must be with, and so on.
fn relevant(clauses: &[Constraint], task: &TaskAttributes) -> BTreeSet<usize> {
    let mut company: Vec<&Scope> = Vec::new();
    let mut set = BTreeSet::new();
    for _ in 0..=DEEP {
        for (c, clause) in clauses.iter().enumerate().filter(|x| x.1.must()) {
            let about = |s: &Scope| s.matches(task) || company.iter().any(|x| s.covers(x));
            let apart = matches!(&clause.rule, Rule::Apart(from, _) if about(from));
            if (about(&clause.of) || apart) && set.insert(c) {
                if let Rule::With(others, _) = &clause.rule {
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
    clauses: &[Constraint],
    fleet: impl Iterator<Item = &'a MachineAttributes>,
    task: &TaskAttributes,
    steps: u64,
) -> Option<Conflict> {
    let mut rows: Vec<&MachineAttributes> = fleet.collect();
    rows.sort();
    let mut many: Vec<usize> = Vec::new();
    let mut kinds: Vec<&MachineAttributes> = Vec::new();
    for m in rows {
        if kinds.last() == Some(&m) {
            *many.last_mut()? += 1;
        } else {
            kinds.push(m);
            many.push(1);
        }
    }
    if kinds.is_empty() {
        return None;
    }
    let mut search = Search { clauses, fleet: kinds, many, steps };
    let mut set = relevant(clauses, task);
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
                let clauses = set.into_iter().collect();
                return Some(Conflict { clauses, smallest: false });
            }
        }
    }
    Some(Conflict { clauses: set.into_iter().collect(), smallest: true })
}
