//! Counts of attempts by topology domain, and the machines that constraints forbid because of them.
use super::{level_index, put, AttemptKey, BoundRule, ConstraintState, DomainCounts, MachineState};
use crate::{Scope, TopologyLevel};

impl ConstraintState {
    /// Returns the index of a scope's counts by domain of a level, and creates them where absent.
    pub(super) fn counts_for(&mut self, scope: &Scope, service: Option<u64>, level: TopologyLevel) -> usize {
        let key = (scope.clone(), service, level);
        if let Some(&counts) = self.counts_of.get(&key) {
            return counts;
        }
        let by_domain = vec![0; self.domain_count(level)];
        let reachable = by_domain.clone();
        let entry = DomainCounts {
            scope: scope.clone(),
            service,
            level,
            by_domain,
            reachable,
            total: 0,
            watchers: Vec::new(),
        };
        let counts = put(&mut self.counts, &mut self.free_counts, entry);
        self.counts_of.insert(key, counts);
        counts
    }

    /// Returns how many domains of a level exist.
    pub(super) fn domain_count(&self, level: TopologyLevel) -> usize {
        if level == TopologyLevel::Machine {
            self.machines.len()
        } else {
            self.domains[level_index(level)].machines.len()
        }
    }

    /// Adds an attempt of a group to the counts of a machine's `domains`, or subtracts it.
    /// `unreachable`: the machine is [`MachineState::Far`].
    pub(super) fn adjust_counts(&mut self, group: usize, domains: [usize; 3], unreachable: bool, add: bool) {
        for &counts in &self.groups[group].counted_in {
            let entry = &mut self.counts[counts];
            let domain = domains[level_index(entry.level)];
            for (count, applies) in [
                (&mut entry.by_domain[domain], true),
                (&mut entry.reachable[domain], !unreachable),
                (&mut entry.total, !unreachable),
            ] {
                if applies {
                    *count = if add { *count + 1 } else { *count - 1 };
                }
            }
        }
    }

    /// Records an attempt of a group's task on a machine, running or sent with unknown outcome.
    pub fn attempt_started(&mut self, attempt: AttemptKey, group: usize, machine: usize) {
        if self.attempts.insert(attempt, (group, machine)).is_none() {
            self.groups[group].uses += 1;
            self.count(group, machine, true);
        }
    }

    /// Records that an attempt ended, or is known never to have started.
    pub fn attempt_ended(&mut self, attempt: AttemptKey) {
        if let Some((group, machine)) = self.attempts.remove(&attempt) {
            self.count(group, machine, false);
            self.release_group(group);
        }
    }

    /// Adds an attempt of a group on a machine, or removes it, and updates the constraints that
    /// depend on the changed counts.
    pub(super) fn count(&mut self, group: usize, machine: usize, add: bool) {
        let Some(known) = self.machines.get_mut(machine).and_then(Option::as_mut) else { return };
        if add {
            known.groups.push(group);
        } else if let Some(i) = known.groups.iter().position(|&other| other == group) {
            known.groups.swap_remove(i);
        }
        let (domains, unreachable) = (known.domains, known.state == MachineState::Far);
        let totals_before: Vec<u32> =
            self.groups[group].counted_in.iter().map(|&counts| self.counts[counts].total).collect();
        self.adjust_counts(group, domains, unreachable, add);
        for (i, total_before) in totals_before.into_iter().enumerate() {
            let counts = self.groups[group].counted_in[i];
            let entry = &self.counts[counts];
            let domain = domains[level_index(entry.level)];
            let (level, emptiness_changed) = (entry.level, (total_before == 0) != (entry.total == 0));
            for w in 0..self.counts[counts].watchers.len() {
                let constraint = self.counts[counts].watchers[w];
                let affinity_switched =
                    emptiness_changed && matches!(self.bound[constraint].test, BoundRule::With { .. });
                if affinity_switched || self.update_fewest(constraint) {
                    self.refresh_all(constraint);
                } else if level == TopologyLevel::Machine {
                    self.refresh(constraint, domain);
                } else {
                    for n in 0..self.domains[level_index(level)].machines[domain].len() {
                        let machine = self.domains[level_index(level)].machines[domain][n];
                        self.refresh(constraint, machine);
                    }
                }
            }
        }
    }

    /// Returns whether a bound constraint forbids a machine, according to the current counts.
    pub(super) fn forbids(&self, constraint: usize, machine: usize) -> bool {
        let Some(known) = &self.machines[machine] else { return true };
        let entry = &self.bound[constraint];
        let count_in_domain = |counts: usize| {
            let entry = &self.counts[counts];
            entry.by_domain.get(known.domains[level_index(entry.level)]).copied().unwrap_or(0)
        };
        match &entry.test {
            BoundRule::Selector { selector, inside } => selector.selects(&known.attributes) != *inside,
            BoundRule::With { counts, may_be_first } if self.counts[*counts].total == 0 => !may_be_first,
            BoundRule::With { counts, .. } => {
                let entry = &self.counts[*counts];
                entry.reachable.get(known.domains[level_index(entry.level)]).is_none_or(|n| *n == 0)
            }
            BoundRule::Apart { counts } => count_in_domain(*counts) > 0,
            BoundRule::Spread { counts, max, skew, .. } => {
                max.is_some_and(|max| count_in_domain(*counts) >= max)
                    || skew.is_some_and(|skew| count_in_domain(*counts) + 1 > entry.fewest + skew)
            }
        }
    }

    /// Re-evaluates whether a bound constraint forbids a machine, and updates its groups' counts of
    /// hard constraints that block the machine.
    pub(super) fn refresh(&mut self, constraint: usize, machine: usize) {
        let forbids = self.forbids(constraint, machine);
        let entry = &mut self.bound[constraint];
        if std::mem::replace(&mut entry.forbids[machine], forbids) == forbids
            || !self.constraints[entry.constraint].is_hard()
        {
            return;
        }
        for &group in &entry.groups {
            let blocking = &mut self.groups[group].blocking[machine];
            *blocking = if forbids { *blocking + 1 } else { *blocking - 1 };
        }
    }

    /// Re-evaluates a bound constraint for all machines.
    pub(super) fn refresh_all(&mut self, constraint: usize) {
        for machine in 0..self.machines.len() {
            self.refresh(constraint, machine);
        }
    }
}
