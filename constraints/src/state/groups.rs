//! Groups of tasks that the same constraints apply to in the same way.
use super::{
    put, BoundConstraint, BoundRule, ConstraintState, DomainCounts, TaskGroup, MAX_CACHED_TASKS,
    MAX_IDLE_GROUPS,
};
use crate::{Constraint, MachineSelector, Rule, SpreadGrouping, TaskAttributes};

impl ConstraintState {
    /// Returns the group of a task and counts one more user of it, until `release_group`. The names
    /// of the task's framework and tenant must not change in between.
    pub fn acquire_group(&mut self, task: &TaskAttributes) -> usize {
        let group_key = TaskAttributes {
            key: if self.by_key { task.key.clone() } else { String::new() },
            ..task.clone()
        };
        let group = match self.group_of_task.get(&group_key) {
            Some(&group) => group,
            None => {
                let group = self.find_group(task);
                if self.group_of_task.len() >= MAX_CACHED_TASKS {
                    self.group_of_task.clear();
                }
                self.group_of_task.insert(group_key, group);
                group
            }
        };
        self.groups[group].uses += 1;
        group
    }

    /// Counts one user of a group less. Up to `MAX_IDLE_GROUPS` unused groups are kept, as services
    /// often return; beyond that, the group that has been unused for longest is dropped.
    pub fn release_group(&mut self, group: usize) {
        self.groups[group].uses -= 1;
        if self.groups[group].uses > 0 {
            return;
        }
        self.idle.push_back(group);
        while self.idle.len() > MAX_IDLE_GROUPS {
            let Some(oldest) = self.idle.pop_front() else { return };
            if self.groups[oldest].uses == 0 && !self.idle.contains(&oldest) {
                self.drop_group(oldest);
            }
        }
    }

    /// Drops a group, and the bound constraints and counts that only this group used.
    pub(super) fn drop_group(&mut self, group: usize) {
        let dropped = std::mem::take(&mut self.groups[group]);
        self.group_of.remove(&(dropped.hard.clone(), dropped.soft.clone(), dropped.counted_in.clone()));
        self.group_of_task.retain(|_, other| *other != group);
        self.free_groups.push(group);
        for constraint in dropped.hard.iter().chain(&dropped.soft).copied() {
            self.bound[constraint].groups.retain(|&other| other != group);
            // Only what was created for a single service is dropped: a bound constraint and its
            // counts.
            let service_counts = match self.bound[constraint].test {
                BoundRule::Spread { counts, .. } => self.counts[counts].service.map(|_| counts),
                _ => None,
            };
            if let (Some(counts), true) = (service_counts, self.bound[constraint].groups.is_empty()) {
                let entry = &mut self.bound[constraint];
                self.bound_of.remove(&(entry.constraint, entry.test.clone()));
                entry.test = BoundRule::Selector { selector: MachineSelector::default(), inside: true };
                self.free_bound.push(constraint);
                self.counts[counts].watchers.retain(|&other| other != constraint);
                let entry = &self.counts[counts];
                if entry.watchers.is_empty() && entry.by_domain.iter().all(|n| *n == 0) {
                    self.counts_of.remove(&(entry.scope.clone(), entry.service, entry.level));
                    self.counts[counts].by_domain.clear();
                    self.counts[counts].reachable.clear();
                    self.free_counts.push(counts);
                }
            }
        }
    }

    /// Finds the group of a task by the constraints that apply to it, and creates it where absent.
    pub(super) fn find_group(&mut self, task: &TaskAttributes) -> usize {
        let constraints = self.constraints.clone();
        let applicable: Vec<usize> =
            (0..constraints.len()).filter(|&c| constraints[c].scope.matches(task)).collect();
        let is_selector = |c: &usize| {
            constraints[*c].is_hard() && matches!(constraints[*c].rule, Rule::In(_) | Rule::NotIn(_))
        };
        let selectors: Vec<usize> = applicable.iter().copied().filter(is_selector).collect();
        let (mut hard, mut soft) = (Vec::new(), Vec::new());
        for (index, constraint) in constraints.iter().enumerate() {
            let tests = self.bound_rules(constraint, task, &selectors);
            for test in tests {
                let bound = self.bind_constraint(index, test);
                if constraint.is_hard() { &mut hard } else { &mut soft }.push(bound);
            }
        }
        soft.sort_by_key(|&constraint| {
            std::cmp::Reverse(constraints[self.bound[constraint].constraint].preference_rank)
        });
        let counts_task = |entry: &DomainCounts| {
            entry.scope.matches(task) && entry.service.is_none_or(|service| service == task.service)
        };
        let mut counted_in: Vec<usize> =
            self.counts_of.values().copied().filter(|&index| counts_task(&self.counts[index])).collect();
        counted_in.sort_unstable();
        let key = (hard, soft, counted_in);
        if let Some(&group) = self.group_of.get(&key) {
            return group;
        }
        let blocked = |machine: usize| {
            key.0.iter().filter(|&&constraint| self.bound[constraint].forbids[machine]).count() as u16
        };
        let blocking = (0..self.machines.len()).map(blocked).collect();
        let (hard, soft, counted_in) = key.clone();
        let new = TaskGroup { hard: hard.clone(), soft: soft.clone(), counted_in, blocking, uses: 0 };
        let group = put(&mut self.groups, &mut self.free_groups, new);
        for constraint in hard.into_iter().chain(soft) {
            self.bound[constraint].groups.push(group);
        }
        self.group_of.insert(key, group);
        group
    }

    /// Returns the rules by which a constraint affects a task; none where it does not. `selectors`:
    /// the hard constraints that restrict the task to certain machines by their attributes.
    fn bound_rules(
        &mut self,
        constraint: &Constraint,
        task: &TaskAttributes,
        selectors: &[usize],
    ) -> Vec<BoundRule> {
        let mut tests = Vec::new();
        let binds = constraint.scope.matches(task);
        match &constraint.rule {
            Rule::In(selector) if binds => {
                tests.push(BoundRule::Selector { selector: selector.clone(), inside: true })
            }
            Rule::NotIn(selector) if binds => {
                tests.push(BoundRule::Selector { selector: selector.clone(), inside: false })
            }
            Rule::With(scope, level) if binds => {
                let counts = self.counts_for(scope, None, *level);
                tests.push(BoundRule::With { counts, may_be_first: scope.matches(task) });
            }
            Rule::Apart(scope, level) => {
                if binds {
                    tests.push(BoundRule::Apart { counts: self.counts_for(scope, None, *level) });
                }
                // Anti-affinity is symmetric: tasks of the scope stay out of the domains that run
                // tasks the constraint applies to.
                if scope.matches(task) && constraint.scope != *scope {
                    tests.push(BoundRule::Apart { counts: self.counts_for(&constraint.scope, None, *level) });
                }
            }
            Rule::Spread { over, by, max, skew, unavailable } if binds => {
                let service = (*by == SpreadGrouping::Service).then_some(task.service);
                let counts = self.counts_for(&constraint.scope, service, *over);
                let selectors = if skew.is_some() { selectors.to_vec() } else { Vec::new() };
                tests.push(BoundRule::Spread {
                    counts,
                    max: *max,
                    skew: *skew,
                    unavailable: *unavailable,
                    selectors,
                });
            }
            _ => {}
        }
        tests
    }

    /// Returns the bound constraint of a constraint and a rule, and creates it where absent.
    pub(super) fn bind_constraint(&mut self, constraint: usize, test: BoundRule) -> usize {
        if let Some(&bound) = self.bound_of.get(&(constraint, test.clone())) {
            return bound;
        }
        let watched = match &test {
            BoundRule::With { counts, .. }
            | BoundRule::Apart { counts }
            | BoundRule::Spread { counts, .. } => Some(*counts),
            BoundRule::Selector { .. } => None,
        };
        let size = self.machines.len();
        let new = BoundConstraint {
            constraint,
            test: test.clone(),
            forbids: vec![false; size],
            groups: Vec::new(),
            counted_machines: Vec::new(),
            counted_domain: vec![None; size],
            fewest: 0,
        };
        let bound = put(&mut self.bound, &mut self.free_bound, new);
        if let Some(counts) = watched {
            self.counts[counts].watchers.push(bound);
        }
        self.bound_of.insert((constraint, test), bound);
        for machine in 0..size {
            self.recount_domain(bound, machine);
        }
        self.update_fewest(bound);
        self.refresh_all(bound);
        bound
    }
}
