//! Updates of machines: their topology domains, and the constraints that depend on them.
use super::{level_index, BoundRule, ConstraintState, MachineEntry, MachineState};
use crate::{MachineAttributes, Rule, TopologyLevel, UnavailableDomains};

impl ConstraintState {
    /// Sets a machine's listed attributes and its state. An index may be reused for another machine
    /// once no attempt is counted on it.
    pub fn update_machine(&mut self, machine: usize, attributes: MachineAttributes, state: MachineState) {
        if machine >= self.machines.len() {
            self.machines.resize(machine + 1, None);
        }
        let known = self.machines[machine].take();
        if known.as_ref().is_some_and(|known| known.attributes == attributes && known.state == state) {
            self.machines[machine] = known;
            return;
        }
        let before = known.as_ref().map(|known| known.domains);
        let groups = known.as_ref().map(|known| known.groups.clone()).unwrap_or_default();
        // If the machine becomes reachable or unreachable, or moves to other domains, its attempts
        // are subtracted from the counts of the old domains and added to those of the new.
        let reachability_changed = known.as_ref().is_some_and(|known| known.state == MachineState::Far)
            != (state == MachineState::Far);
        let zone = self.domain(TopologyLevel::Zone, (attributes.zone.clone(), 0));
        let rack = self.domain(TopologyLevel::Rack, (attributes.zone.clone(), attributes.rack));
        let domains = [machine, rack, zone];
        let moved = before.is_some_and(|old| old != domains);
        if before != Some(domains) {
            if let Some(old) = before {
                for level in [TopologyLevel::Rack, TopologyLevel::Zone] {
                    self.domains[level_index(level)].machines[old[level_index(level)]]
                        .retain(|&other| other != machine);
                }
            }
            for level in [TopologyLevel::Rack, TopologyLevel::Zone] {
                self.domains[level_index(level)].machines[domains[level_index(level)]].push(machine);
            }
        }
        for counts in 0..self.counts.len() {
            let domain_count = self.domain_count(self.counts[counts].level);
            self.counts[counts].by_domain.resize(domain_count, 0);
            self.counts[counts].reachable.resize(domain_count, 0);
        }
        let recounted = (moved || reachability_changed) && !groups.is_empty();
        if recounted {
            let was_unreachable = known.as_ref().is_some_and(|known| known.state == MachineState::Far);
            for &group in &groups {
                self.adjust_counts(group, before.unwrap_or(domains), was_unreachable, false);
                self.adjust_counts(group, domains, state == MachineState::Far, true);
            }
        }
        self.machines[machine] = Some(MachineEntry { attributes, state, domains, groups });
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

    /// Returns the index of a domain by its name, and creates the domain where absent.
    pub(super) fn domain(&mut self, level: TopologyLevel, name: (String, u32)) -> usize {
        let domains = &mut self.domains[level_index(level)];
        let new = domains.machines.len();
        let domain = *domains.names.entry(name).or_insert(new);
        if domain == new {
            domains.machines.push(Vec::new());
        }
        domain
    }

    /// Updates a bound constraint for a machine that is new or has changed.
    pub(super) fn machine_changed(&mut self, constraint: usize, machine: usize) {
        let size = self.machines.len();
        let entry = &mut self.bound[constraint];
        entry.forbids.resize(size, false);
        entry.counted_domain.resize(size, None);
        if self.recount_domain(constraint, machine) && self.update_fewest(constraint) {
            return self.refresh_all(constraint);
        }
        self.refresh(constraint, machine);
    }

    /// Re-evaluates whether a machine makes its domain eligible as the domain with the fewest tasks
    /// of a spread. Returns whether a domain became eligible or ceased to be.
    pub(super) fn recount_domain(&mut self, constraint: usize, machine: usize) -> bool {
        let BoundRule::Spread { counts, skew: Some(_), unavailable, selectors, .. } =
            &self.bound[constraint].test
        else {
            return false;
        };
        let Some(known) = &self.machines[machine] else { return false };
        let level = level_index(self.counts[*counts].level);
        let selected = selectors.iter().all(|&c| match &self.constraints[c].rule {
            Rule::In(selector) => selector.selects(&known.attributes),
            Rule::NotIn(selector) => !selector.selects(&known.attributes),
            _ => true,
        });
        let counted =
            selected && (known.state == MachineState::Ready || *unavailable == UnavailableDomains::Counted);
        let domain = known.domains[level];
        let entry = &mut self.bound[constraint];
        if entry.counted_machines.len() <= domain {
            entry.counted_machines.resize(domain + 1, 0);
        }
        let now = counted.then_some(domain);
        let before = std::mem::replace(&mut entry.counted_domain[machine], now);
        if before == now {
            return false;
        }
        let mut eligibility_changed = false;
        if let Some(domain) = before {
            entry.counted_machines[domain] -= 1;
            eligibility_changed |= entry.counted_machines[domain] == 0;
        }
        if let Some(domain) = now {
            eligibility_changed |= entry.counted_machines[domain] == 0;
            entry.counted_machines[domain] += 1;
        }
        eligibility_changed
    }

    /// Recomputes the fewest tasks in an eligible domain of a spread. Returns whether the number
    /// changed.
    pub(super) fn update_fewest(&mut self, constraint: usize) -> bool {
        let BoundRule::Spread { counts, skew: Some(_), .. } = self.bound[constraint].test else {
            return false;
        };
        let by_domain = &self.counts[counts].by_domain;
        let entry = &mut self.bound[constraint];
        let counting = entry.counted_machines.iter().enumerate().filter(|entry| *entry.1 > 0);
        let fewest =
            counting.map(|(domain, _)| by_domain.get(domain).copied().unwrap_or(0)).min().unwrap_or(0);
        std::mem::replace(&mut entry.fewest, fewest) != fewest
    }
}
