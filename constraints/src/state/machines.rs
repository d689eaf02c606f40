//! Machines: where they are, and what changes for constraints when one does.
use super::{level_index, BoundRule, ConstraintState, MachineEntry, MachineState};
use crate::{MachineAttributes, Rule, TopologyLevel, UnavailableDomains};

impl ConstraintState {
    /// A machine as it is listed now. The same index may be another machine's later, once nothing counts on
    /// it.
    pub fn update_machine(&mut self, machine: usize, facts: MachineAttributes, state: MachineState) {
        if machine >= self.machines.len() {
            self.machines.resize(machine + 1, None);
        }
        let known = self.machines[machine].take();
        if known.as_ref().is_some_and(|known| known.facts == facts && known.state == state) {
            self.machines[machine] = known;
            return;
        }
        let before = known.as_ref().map(|known| known.domains);
        let groups = known.as_ref().map(|known| known.groups.clone()).unwrap_or_default();
        // What is on it is taken off where it was, and put where it is now.
        let again = known.as_ref().is_some_and(|known| known.state == MachineState::Far)
            != (state == MachineState::Far);
        let zone = self.domain(TopologyLevel::Zone, (facts.zone.clone(), 0));
        let rack = self.domain(TopologyLevel::Rack, (facts.zone.clone(), facts.rack));
        let at = [machine, rack, zone];
        let moved = before.is_some_and(|old| old != at);
        if before != Some(at) {
            if let Some(old) = before {
                for level in [TopologyLevel::Rack, TopologyLevel::Zone] {
                    self.domains[level_index(level)].machines[old[level_index(level)]]
                        .retain(|&other| other != machine);
                }
            }
            for level in [TopologyLevel::Rack, TopologyLevel::Zone] {
                self.domains[level_index(level)].machines[at[level_index(level)]].push(machine);
            }
        }
        for counts in 0..self.counts.len() {
            let domains = self.domain_count(self.counts[counts].level);
            self.counts[counts].by_domain.resize(domains, 0);
            self.counts[counts].reachable.resize(domains, 0);
        }
        let recounted = (moved || again) && !groups.is_empty();
        if recounted {
            let was_far = known.as_ref().is_some_and(|known| known.state == MachineState::Far);
            for &group in &groups {
                self.adjust_counts(group, before.unwrap_or(at), was_far, false);
                self.adjust_counts(group, at, state == MachineState::Far, true);
            }
        }
        self.machines[machine] = Some(MachineEntry { facts, state, domains: at, groups });
        for group in &mut self.groups {
            if group.blocking.len() <= machine {
                group.blocking.resize(machine + 1, 0);
            }
        }
        for constraint in 0..self.bound.len() {
            self.machine_changed(constraint, machine);
            if moved || recounted {
                self.update_fewest(constraint);
                self.refresh_all(constraint);
            }
        }
    }

    /// A domain by its name, made where there is none.
    pub(super) fn domain(&mut self, level: TopologyLevel, name: (String, u32)) -> usize {
        let domains = &mut self.domains[level_index(level)];
        let new = domains.machines.len();
        let domain = *domains.names.entry(name).or_insert(new);
        if domain == new {
            domains.machines.push(Vec::new());
        }
        domain
    }

    /// A bound constraint hears of a machine that is new or another than before.
    pub(super) fn machine_changed(&mut self, constraint: usize, machine: usize) {
        let size = self.machines.len();
        let entry = &mut self.bound[constraint];
        entry.forbids.resize(size, false);
        entry.counted.resize(size, None);
        if self.recount_domain(constraint, machine) && self.update_fewest(constraint) {
            return self.refresh_all(constraint);
        }
        self.refresh(constraint, machine);
    }

    /// Whether a machine counts for a spread's fewest; true: a domain began or ceased to count.
    pub(super) fn recount_domain(&mut self, constraint: usize, machine: usize) -> bool {
        let BoundRule::Spread { counts, skew: Some(_), gone, among, .. } = &self.bound[constraint].test
        else {
            return false;
        };
        let Some(known) = &self.machines[machine] else { return false };
        let level = level_index(self.counts[*counts].level);
        let named = among.iter().all(|&c| match &self.constraints[c].rule {
            Rule::In(selector) => selector.names(&known.facts),
            Rule::NotIn(selector) => !selector.names(&known.facts),
            _ => true,
        });
        let counted = named && (known.state == MachineState::Ready || *gone == UnavailableDomains::Counted);
        let domain = known.domains[level];
        let entry = &mut self.bound[constraint];
        if entry.counting.len() <= domain {
            entry.counting.resize(domain + 1, 0);
        }
        let now = counted.then_some(domain);
        let before = std::mem::replace(&mut entry.counted[machine], now);
        if before == now {
            return false;
        }
        let mut turned = false;
        if let Some(domain) = before {
            entry.counting[domain] -= 1;
            turned |= entry.counting[domain] == 0;
        }
        if let Some(domain) = now {
            turned |= entry.counting[domain] == 0;
            entry.counting[domain] += 1;
        }
        turned
    }

    /// Finds the fewest tasks in a domain that counts; true: it is another than before.
    pub(super) fn update_fewest(&mut self, constraint: usize) -> bool {
        let BoundRule::Spread { counts, skew: Some(_), .. } = self.bound[constraint].test else {
            return false;
        };
        let by_domain = &self.counts[counts].by_domain;
        let entry = &mut self.bound[constraint];
        let counting = entry.counting.iter().enumerate().filter(|entry| *entry.1 > 0);
        let fewest =
            counting.map(|(domain, _)| by_domain.get(domain).copied().unwrap_or(0)).min().unwrap_or(0);
        std::mem::replace(&mut entry.fewest, fewest) != fewest
    }
}
