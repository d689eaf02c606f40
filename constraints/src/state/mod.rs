//! Which machines are allowed for whom, kept by the change. Tasks that the same constraints bind in the same way
//! form a group; a group holds, for each machine, how many of its constraints forbid it, so that a question is
//! one look-up. A change (a task placed or over, a machine listed, down, ready, gone) touches only the
//! constraints that watch the place where it happened.
//!
//! A constraint binds a group by a `BoundConstraint`, which keeps the machines that it forbids. What runs is
//! counted by topology domain (a machine, a rack, a zone) in `DomainCounts`, one for each scope and level that
//! a constraint looks at.
mod counts;
mod groups;
mod machines;
mod queries;

use crate::{
    Constraint, MachineAttributes, MachineSelector, Rule, Scope, SpreadGrouping, TaskAttributes,
    TopologyLevel, UnavailableDomains,
};
use fnv::FnvHashMap;
use std::collections::VecDeque;
use std::rc::Rc;

/// Groups that no task uses are kept up to so many: services come back.
const MAX_IDLE_GROUPS: usize = 256;
/// Tasks whose group is remembered by what they are; then all is found anew.
const MAX_REMEMBERED_TASKS: usize = 100_000;

/// Whether a machine takes work, and whether what runs there can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// Takes work.
    Ready,
    /// Known, and takes none now: it drains.
    Down,
    /// Its link is not well: what is there counts against others, and not as company.
    Far,
    /// Not listed any more; what ran there may still be counted.
    Gone,
}

/// A machine as it was last listed.
#[derive(Clone, Debug)]
struct MachineEntry {
    facts: MachineAttributes,
    state: MachineState,
    /// Domains of the machine: itself, its rack, its zone.
    domains: [usize; 3],
    /// Groups of the attempts on it, one each.
    groups: Vec<usize>,
}

/// Domains of one level, and the machines in each.
#[derive(Clone, Debug, Default)]
struct Domains {
    names: FnvHashMap<(String, u32), usize>,
    machines: Vec<Vec<usize>>,
}

/// How many attempts of some tasks are in each domain.
#[derive(Clone, Debug)]
struct DomainCounts {
    scope: Scope,
    service: Option<u64>,
    level: TopologyLevel,
    by_domain: Vec<u32>,
    /// Of these, those on machines whose link is well.
    reachable: Vec<u32>,
    /// Those on such machines, of all domains.
    total: u32,
    /// Bound constraints that look at it.
    watchers: Vec<usize>,
}

/// A rule with what it looks at.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum BoundRule {
    Selector {
        selector: MachineSelector,
        inside: bool,
    },
    /// `may_begin`: the tasks bound are of those themselves.
    With {
        counts: usize,
        may_begin: bool,
    },
    Apart {
        counts: usize,
    },
    Spread {
        counts: usize,
        most: Option<u32>,
        skew: Option<u32>,
        gone: UnavailableDomains,
        among: Vec<usize>,
    },
}

/// A constraint as it binds some groups, and the machines that it forbids them.
#[derive(Clone, Debug)]
struct BoundConstraint {
    constraint: usize,
    test: BoundRule,
    forbids: Vec<bool>,
    groups: Vec<usize>,
    /// Of a spread with a skew: how many machines count by domain, in which domain each counts, and the fewest
    /// tasks in a domain that counts.
    counting: Vec<u32>,
    counted: Vec<Option<usize>>,
    fewest: u32,
}

#[derive(Clone, Debug, Default)]
struct TaskGroup {
    hard: Vec<usize>,
    /// By rank, highest first.
    soft: Vec<usize>,
    /// Counts that its tasks are in.
    counted_in: Vec<usize>,
    /// By machine, how many of the hard ones forbid it.
    blocking: Vec<u16>,
    /// Tasks and attempts that hold it.
    uses: u32,
}

/// What makes a group: hard and soft bound constraints, and the counts that its tasks count in.
type GroupKey = (Vec<usize>, Vec<usize>, Vec<usize>);

/// Names an attempt of a task for as long as it counts.
pub type AttemptKey = (u64, u64);

/// The constraints of an installation, and for each group of tasks the machines that they forbid.
pub struct ConstraintState {
    constraints: Rc<[Constraint]>,
    machines: Vec<Option<MachineEntry>>,
    domains: [Domains; 3],
    counts: Vec<DomainCounts>,
    counts_of: FnvHashMap<(Scope, Option<u64>, TopologyLevel), usize>,
    free_counts: Vec<usize>,
    bound: Vec<BoundConstraint>,
    bound_of: FnvHashMap<(usize, BoundRule), usize>,
    free_bound: Vec<usize>,
    groups: Vec<TaskGroup>,
    group_of: FnvHashMap<GroupKey, usize>,
    free_groups: Vec<usize>,
    idle: VecDeque<usize>,
    group_of_task: FnvHashMap<TaskAttributes, usize>,
    /// Some constraint looks at keys.
    by_key: bool,
    attempts: FnvHashMap<AttemptKey, (usize, usize)>,
}

fn level_index(level: TopologyLevel) -> usize {
    level as usize
}

/// Puts something into a slot that is free, or a new one.
fn put<T>(all: &mut Vec<T>, free: &mut Vec<usize>, one: T) -> usize {
    match free.pop() {
        Some(slot) => {
            all[slot] = one;
            slot
        }
        None => {
            all.push(one);
            all.len() - 1
        }
    }
}

impl ConstraintState {
    /// Of these constraints, with no machine and no attempt yet.
    pub fn new(constraints: Vec<Constraint>) -> Self {
        let looks = |scope: &Scope| scope.task.is_some();
        let by_key = constraints.iter().any(|clause| {
            looks(&clause.of)
                || matches!(&clause.rule, Rule::With(scope, _) | Rule::Apart(scope, _) if looks(scope))
        });
        let mut state = ConstraintState {
            constraints: constraints.into(),
            machines: Vec::new(),
            domains: Default::default(),
            counts: Vec::new(),
            counts_of: FnvHashMap::default(),
            free_counts: Vec::new(),
            bound: Vec::new(),
            bound_of: FnvHashMap::default(),
            free_bound: Vec::new(),
            groups: Vec::new(),
            group_of: FnvHashMap::default(),
            free_groups: Vec::new(),
            idle: VecDeque::new(),
            group_of_task: FnvHashMap::default(),
            by_key,
            attempts: FnvHashMap::default(),
        };
        // Counts that are not of one service stand from the start: tasks count before anybody asks about
        // them.
        for clause in state.constraints.clone().iter() {
            match &clause.rule {
                Rule::With(scope, level) => {
                    state.counts_for(scope, None, *level);
                }
                Rule::Apart(scope, level) => {
                    state.counts_for(scope, None, *level);
                    state.counts_for(&clause.of, None, *level);
                }
                Rule::Spread { over, by: SpreadGrouping::All, .. } => {
                    state.counts_for(&clause.of, None, *over);
                }
                _ => {}
            }
        }
        state
    }

    /// The constraints, in the order of the files.
    pub fn constraints(&self) -> &[Constraint] {
        &self.constraints
    }
}
