//! Incremental evaluation of placement constraints. Tasks that the same constraints apply to in the
//! same way form a group. A group stores, for each machine, how many hard constraints forbid it, so
//! that a query is one look-up. A change (an attempt started or ended, a machine listed, drained or
//! removed) re-evaluates only the constraints that depend on the domains where it happened.
//!
//! A `BoundConstraint` is a constraint as it applies to some groups, with the machines that it
//! forbids. Attempts are counted by topology domain (machine, rack or zone) in `DomainCounts`, one
//! for each scope and level that a constraint refers to.
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

/// Number of unused groups that are kept, as tasks of a service often return.
const MAX_IDLE_GROUPS: usize = 256;
/// Maximum number of entries in the cache of groups, one per distinct set of task attributes; the
/// cache is cleared when it is full.
const MAX_CACHED_TASKS: usize = 100_000;

/// Whether a machine accepts tasks, and whether the attempts counted on it satisfy affinity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// The machine accepts tasks.
    Ready,
    /// The machine is listed but accepts no tasks, as it drains.
    Down,
    /// The link to the machine is not healthy. Its attempts count for spread and anti-affinity, but
    /// do not satisfy affinity, as they may have ended.
    Far,
    /// The machine is no longer listed; its attempts may still be counted.
    Gone,
}

/// A machine as last listed, with the attempts on it.
#[derive(Clone, Debug)]
struct MachineEntry {
    attributes: MachineAttributes,
    state: MachineState,
    /// The machine's domain of each level: itself, its rack, its zone.
    domains: [usize; 3],
    /// The group of each attempt on the machine; a group occurs once for each of its attempts.
    groups: Vec<usize>,
}

/// The domains of one topology level, by name, and the machines in each.
#[derive(Clone, Debug, Default)]
struct Domains {
    names: FnvHashMap<(String, u32), usize>,
    machines: Vec<Vec<usize>>,
}

/// The number of attempts of a scope's tasks in each domain of a level.
#[derive(Clone, Debug)]
struct DomainCounts {
    scope: Scope,
    /// The service whose tasks are counted; `None` counts the tasks of all services.
    service: Option<u64>,
    level: TopologyLevel,
    /// By domain: the attempts on all machines, whatever the health of their links.
    by_domain: Vec<u32>,
    /// By domain: the attempts on machines whose link is healthy.
    reachable: Vec<u32>,
    /// The sum of `reachable` over all domains.
    total: u32,
    /// Bound constraints that depend on these counts.
    watchers: Vec<usize>,
}

/// A rule with its scopes resolved to indices of `DomainCounts`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum BoundRule {
    /// Allows the selected machines if `inside` is set, otherwise the machines not selected.
    Selector { selector: MachineSelector, inside: bool },
    /// Allows the domains that run a counted task on a machine whose link is healthy.
    /// `may_be_first`: the group's tasks are in the affinity's scope themselves, so that a first
    /// task may be placed while no counted task runs.
    With { counts: usize, may_be_first: bool },
    /// Allows the domains that run no counted task.
    Apart { counts: usize },
    /// Limits the counted tasks of a domain to `max`, and to `skew` more than the eligible domain
    /// with the fewest tasks runs.
    Spread {
        counts: usize,
        max: Option<u32>,
        skew: Option<u32>,
        unavailable: UnavailableDomains,
        /// With a skew: the hard constraints that restrict the tasks to machines by attributes. A
        /// domain without such a machine does not count as the one with the fewest tasks.
        selectors: Vec<usize>,
    },
}

/// A constraint as it applies to some groups, and the machines that it forbids to them.
#[derive(Clone, Debug)]
struct BoundConstraint {
    constraint: usize,
    test: BoundRule,
    forbids: Vec<bool>,
    groups: Vec<usize>,
    /// Of a spread with a skew: by domain, how many machines make it eligible as the domain with
    /// the fewest tasks.
    counted_machines: Vec<u32>,
    /// Of a spread with a skew: by machine, the domain that it makes eligible; `None`: it makes
    /// none.
    counted_domain: Vec<Option<usize>>,
    /// Of a spread with a skew: the fewest tasks in an eligible domain.
    fewest: u32,
}

/// Tasks that the same constraints apply to in the same way.
#[derive(Clone, Debug, Default)]
struct TaskGroup {
    /// Bound constraints that are hard.
    hard: Vec<usize>,
    /// Bound constraints that are preferences, highest rank first.
    soft: Vec<usize>,
    /// The `DomainCounts` that count the group's tasks.
    counted_in: Vec<usize>,
    /// By machine: how many of the `hard` constraints forbid it.
    blocking: Vec<u16>,
    /// Number of tasks and attempts that use the group.
    uses: u32,
}

/// Identifies a group: its hard and soft bound constraints, and the counts that count its tasks.
type GroupKey = (Vec<usize>, Vec<usize>, Vec<usize>);

/// Identifies an attempt; unique among the attempts that are counted.
pub type AttemptKey = (u64, u64);

/// The constraints of an installation, and the machines that they forbid to each group of tasks.
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
    /// Unused groups, the group that has been unused for longest first.
    idle: VecDeque<usize>,
    /// Cache of the group of each task.
    group_of_task: FnvHashMap<TaskAttributes, usize>,
    /// Whether some constraint refers to task keys. If none does, the cache of groups ignores keys.
    by_key: bool,
    /// By attempt: its group and its machine.
    attempts: FnvHashMap<AttemptKey, (usize, usize)>,
}

fn level_index(level: TopologyLevel) -> usize {
    level as usize
}

/// Stores an item at a free index, or at a new one if none is free. Returns the index.
fn put<T>(items: &mut Vec<T>, free: &mut Vec<usize>, item: T) -> usize {
    match free.pop() {
        Some(index) => {
            items[index] = item;
            index
        }
        None => {
            items.push(item);
            items.len() - 1
        }
    }
}

impl ConstraintState {
    /// Creates the state of these constraints, without machines or attempts.
    pub fn new(constraints: Vec<Constraint>) -> Self {
        let uses_key = |scope: &Scope| scope.task.is_some();
        let by_key = constraints.iter().any(|constraint| {
            uses_key(&constraint.scope)
                || matches!(&constraint.rule, Rule::With(scope, _) | Rule::Apart(scope, _) if uses_key(scope))
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
        // Counts that are not limited to one service are created now, as attempts must be counted
        // in them before the first task that the constraint applies to arrives.
        for constraint in state.constraints.clone().iter() {
            match &constraint.rule {
                Rule::With(scope, level) => {
                    state.counts_for(scope, None, *level);
                }
                Rule::Apart(scope, level) => {
                    state.counts_for(scope, None, *level);
                    state.counts_for(&constraint.scope, None, *level);
                }
                Rule::Spread { over, by: SpreadGrouping::All, .. } => {
                    state.counts_for(&constraint.scope, None, *over);
                }
                _ => {}
            }
        }
        state
    }

    /// Returns the constraints, in the order of the configuration files.
    pub fn constraints(&self) -> &[Constraint] {
        &self.constraints
    }
}
