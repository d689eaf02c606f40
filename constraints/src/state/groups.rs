//! Groups: tasks that the same constraints bind in the same way.
use super::{
    put, BoundConstraint, BoundRule, ConstraintState, DomainCounts, TaskGroup, MAX_IDLE_GROUPS,
    MAX_REMEMBERED_TASKS,
};
use crate::{Constraint, MachineSelector, Rule, SpreadGrouping, TaskAttributes};

impl ConstraintState {
    /// The group of a task, held until `release_group`. What it is called or belongs to must not change meanwhile.
    pub fn acquire_group(&mut self, task: &TaskAttributes) -> usize {
        let plain = TaskAttributes {
            key: if self.by_key { task.key.clone() } else { String::new() },
            ..task.clone()
        };
        let group = match self.group_of_task.get(&plain) {
            Some(&group) => group,
            None => {
                let group = self.find_group(task);
                if self.group_of_task.len() >= MAX_REMEMBERED_TASKS {
                    self.group_of_task.clear();
                }
                self.group_of_task.insert(plain, group);
                group
            }
        };
        self.groups[group].uses += 1;
        group
    }

    /// Gives up a hold on a group; some that nothing holds are kept, as services come back.
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

    /// Forgets a group, and what was kept for it alone.
    pub(super) fn drop_group(&mut self, group: usize) {
        let dropped = std::mem::take(&mut self.groups[group]);
        self.group_of.remove(&(dropped.hard.clone(), dropped.soft.clone(), dropped.counted_in.clone()));
        self.group_of_task.retain(|_, other| *other != group);
        self.free_groups.push(group);
        for constraint in dropped.hard.iter().chain(&dropped.soft).copied() {
            self.bound[constraint].groups.retain(|&other| other != group);
            // Only what was made for one service goes.
            let own = match self.bound[constraint].test {
                BoundRule::Spread { counts, .. } => self.counts[counts].service.map(|_| counts),
                _ => None,
            };
            if let (Some(counts), true) = (own, self.bound[constraint].groups.is_empty()) {
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

    /// The group of a task by what binds it, made where there is none.
    pub(super) fn find_group(&mut self, task: &TaskAttributes) -> usize {
        let constraints = self.constraints.clone();
        let binds: Vec<usize> = (0..constraints.len()).filter(|&c| constraints[c].of.matches(task)).collect();
        let fixed = |c: &usize| {
            constraints[*c].is_hard() && matches!(constraints[*c].rule, Rule::In(_) | Rule::NotIn(_))
        };
        let among: Vec<usize> = binds.iter().copied().filter(fixed).collect();
        let (mut hard, mut soft) = (Vec::new(), Vec::new());
        for (index, clause) in constraints.iter().enumerate() {
            let tests = self.bound_rules(clause, task, &among);
            for test in tests {
                let constraint = self.bind_constraint(index, test);
                if clause.is_hard() { &mut hard } else { &mut soft }.push(constraint);
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

    /// What a constraint looks at for a task; nothing where it does not bind it. `among`: the constraints that
    /// say which machines the task may use.
    fn bound_rules(&mut self, clause: &Constraint, task: &TaskAttributes, among: &[usize]) -> Vec<BoundRule> {
        let mut tests = Vec::new();
        let binds = clause.of.matches(task);
        match &clause.rule {
            Rule::In(selector) if binds => {
                tests.push(BoundRule::Selector { selector: selector.clone(), inside: true })
            }
            Rule::NotIn(selector) if binds => {
                tests.push(BoundRule::Selector { selector: selector.clone(), inside: false })
            }
            Rule::With(scope, level) if binds => {
                let counts = self.counts_for(scope, None, *level);
                tests.push(BoundRule::With { counts, may_begin: scope.matches(task) });
            }
            Rule::Apart(scope, level) => {
                if binds {
                    tests.push(BoundRule::Apart { counts: self.counts_for(scope, None, *level) });
                }
                // The other way round: where a bound task is, none of these may come.
                if scope.matches(task) && clause.of != *scope {
                    tests.push(BoundRule::Apart { counts: self.counts_for(&clause.of, None, *level) });
                }
            }
            Rule::Spread { over, by, most, skew, gone } if binds => {
                let service = (*by == SpreadGrouping::Service).then_some(task.service);
                let counts = self.counts_for(&clause.of, service, *over);
                let among = if skew.is_some() { among.to_vec() } else { Vec::new() };
                tests.push(BoundRule::Spread { counts, most: *most, skew: *skew, gone: *gone, among });
            }
            _ => {}
        }
        tests
    }

    /// The constraint as it binds by a rule, made where there is none.
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
            counting: Vec::new(),
            counted: vec![None; size],
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
