//! What the registry says of machines, what the placement module and constraints are told of it, and zones
//! whose machines are held back.
use super::*;

impl PlannerState {
    /// The registry answers.
    pub fn registry_up(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.link_up(REGISTRY, now);
        self.registry_up = true;
        if self.registry_pushes {
            self.watching = true;
            self.watch(true);
        }
    }

    /// The registry answers no more; the last list stands.
    pub fn registry_down(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.link_down(REGISTRY, now);
        if std::mem::take(&mut self.registry_up) && std::mem::take(&mut self.watching) {
            self.notify_placement(PlacementEvent::ListLost);
        }
        self.perform_pending();
    }

    /// A frame of the registry's.
    ///
    /// # Errors
    /// The frame is no machine list in order; nothing of it is taken in then.
    pub fn registry_frame(&mut self, now: i64, body: Body) -> Result<(), RegistryFrameError> {
        self.set_clock(now);
        let Body::List(list) = body else { return Err(RegistryFrameError::NotAList) };
        for entry in &list.entries {
            self.check_list_entry(entry)?;
        }
        self.notify_placement(PlacementEvent::ListBegins { whole: list.whole, fresh: true });
        let mut named = Vec::new();
        let mut is_named = vec![false; self.machines.len()];
        for entry in list.entries {
            let machine = self.apply_list_entry(entry);
            named.push(machine);
            is_named.resize(self.machines.len(), false);
            is_named[machine] = true;
        }
        if list.whole {
            for machine in (0..is_named.len()).filter(|&machine| !is_named[machine]) {
                if let Some(record) = self.machines[machine].as_mut() {
                    record.availability.listed = None;
                    record.availability.last_reported = Some(Readiness::Gone);
                    self.update_machine_constraints(machine, Readiness::Gone);
                    self.machine_unlisted(machine);
                }
            }
        }
        self.notify_placement(PlacementEvent::ListEnds);
        self.perform_pending();
        self.subset_list_received(list.question, &named);
        Ok(())
    }

    fn check_list_entry(&self, entry: &wire::Entry) -> Result<(), RegistryFrameError> {
        let check = |field, found: &str, expected: &[String]| match index_of_name(expected, found) {
            Some(_) => Ok(()),
            None => Err(RegistryFrameError::UnknownName {
                machine: entry.machine.clone(),
                field,
                found: found.to_owned(),
                expected: expected.to_owned(),
            }),
        };
        check("kind", &entry.kind, &self.names.kinds)?;
        check("zone", &entry.zone, &self.names.zones)?;
        if entry.machine.is_empty() || !entry.cores_left.is_finite() || !entry.memory_left.is_finite() {
            return Err(RegistryFrameError::IncompleteEntry(entry.machine.clone()));
        }
        Ok(())
    }

    pub(super) fn watch(&mut self, on: bool) {
        let brief = self.subset.is_some();
        self.outputs.push_back(Output::Registry(Body::Watch(wire::Watch { on, brief })));
    }

    fn apply_list_entry(&mut self, entry: wire::Entry) -> usize {
        let now = self.now();
        let machine = self.machine_ids.intern(entry.machine.as_str().into(), now);
        if machine >= self.machines.len() {
            self.machines.resize_with(machine + 1, || None);
        }
        let address: Rc<str> = entry.address.as_str().into();
        let zone = index_of_name(&self.names.zones, &entry.zone).unwrap_or(0);
        let kind = index_of_name(&self.names.kinds, &entry.kind).unwrap_or(0);
        let new = || MachineRecord {
            address: address.clone(),
            labels: Vec::new(),
            availability: MachineAvailability::default(),
            link: 0,
            retained: false,
        };
        let record = self.machines[machine].get_or_insert_with(new);
        record.address = address;
        record.labels = entry.labels;
        record.availability.location = (kind, zone, entry.cell as usize);
        record.availability.remaining = (entry.cores_left, entry.memory_left);
        record.availability.listed = Some(match wire::Readiness::try_from(entry.readiness) {
            Ok(wire::Readiness::Ready) => Readiness::Ready,
            Ok(wire::Readiness::Draining) => Readiness::Draining,
            _ => Readiness::Gone,
        });
        if entry.started_us > 0 && record.availability.observe_start(entry.started_us) {
            self.machine_restarted(machine);
        }
        match self.machines[machine].as_mut().filter(|record| record.availability.is_wanted()) {
            Some(record) => {
                if !std::mem::replace(&mut record.retained, true) {
                    self.machine_ids.acquire_index(machine);
                }
                self.want(machine);
            }
            None => self.machine_unlisted(machine),
        }
        self.report_machine(machine);
        machine
    }

    /// The list has a machine no longer: no new connection is made. What is on it is lost once no link
    /// is up.
    pub(super) fn machine_unlisted(&mut self, machine: usize) {
        self.dials.remove(machine);
        self.subset_machine_unlisted(machine);
        let now = self.now();
        let Some(record) = self.machines[machine].as_mut() else { return };
        if record.availability.is_lost() {
            if std::mem::take(&mut record.retained) {
                self.machine_ids.release(machine, now);
            }
            self.placement.host.on_ledger(|ledger, actions| ledger.machine_lost(machine, actions));
        }
    }

    /// A newer start of a machine was told of: what was on it runs no more, and a link of before is dead.
    fn machine_restarted(&mut self, machine: usize) {
        self.placement.host.on_ledger(|ledger, actions| ledger.machine_lost(machine, actions));
        let record = self.machines[machine].as_mut();
        if let Some(record) = record.filter(|record| record.availability.link.is_up()) {
            record.availability.link = LinkState::None;
            self.outputs.push_back(Output::Disconnect { machine, why: "the machine started anew" });
        }
    }

    /// Tells the module of a machine as it stands, within a list or as one of its own.
    fn report_machine(&mut self, machine: usize) {
        let Some(record) = self.machines[machine].as_mut() else { return };
        let availability = &mut record.availability;
        let ready = availability.readiness();
        availability.last_reported = Some(ready);
        let (location, remaining) = (availability.location, availability.remaining);
        let started_us = availability.started_us;
        self.update_machine_constraints(machine, ready);
        let number = fnv1a_64(self.machine_ids.ids.id(machine));
        let readiness = readiness_code(ready);
        self.notify_placement(PlacementEvent::Machine {
            machine,
            number,
            location,
            readiness,
            started_us,
            remaining,
        });
    }

    /// Constraints are told of a machine before the module is.
    pub(super) fn update_machine_constraints(&mut self, machine: usize, ready: Readiness) {
        let (Some(record), Some(constraints)) =
            (&self.machines[machine], &mut self.placement.host.constraints)
        else {
            return;
        };
        let availability = &record.availability;
        let (kind, zone, cell) = availability.location;
        let facts = MachineAttributes {
            kind: self.names.kinds[kind].clone(),
            zone: self.names.zones[zone].clone(),
            rack: cell as u32,
            labels: record.labels.clone(),
        };
        let reachable = availability.link == LinkState::Healthy && !availability.outside_subset;
        let state = match ready {
            Readiness::Ready => MachineState::Ready,
            Readiness::Draining if reachable => MachineState::Down,
            Readiness::Draining => MachineState::Far,
            Readiness::Gone => MachineState::Gone,
        };
        constraints.update_machine(machine, facts, state);
    }

    /// Something of a machine's availability changed: the module is told if that makes a difference to it.
    pub(super) fn availability_changed(&mut self, machine: usize) {
        let availability = self.machine(machine).map(|record| &record.availability);
        match availability.map(|availability| (availability.last_reported, availability.readiness())) {
            Some((reported, ready)) if reported != Some(ready) => {
                self.notify_placement(PlacementEvent::ListBegins { whole: false, fresh: false });
                self.report_machine(machine);
                self.notify_placement(PlacementEvent::ListEnds);
            }
            // Constraints depend on how the link is, too.
            Some((_, ready)) => self.update_machine_constraints(machine, ready),
            None => {}
        }
        self.perform_pending();
    }

    /// Machines of zones that are not healthy are held back, those of a recovering one but for the ones whose
    /// turn it is. Which those are depends on their names alone, so that all planners offer work to the same.
    pub fn hold_back_zones(&mut self, now: i64, phases: &[ZonePhase]) {
        self.set_clock(now);
        let mut by_zone: Vec<Vec<(bool, u64, usize)>> = vec![Vec::new(); phases.len()];
        for (machine, record) in self.machines.iter().enumerate() {
            let Some(availability) = record.as_ref().map(|record| &record.availability) else { continue };
            if let Some(ranked) = by_zone.get_mut(availability.location.1) {
                // Those off the list have the last ranks: one that comes back to it is held until its turn.
                let number = fnv1a_64(self.machine_ids.ids.id(machine));
                ranked.push((!availability.is_wanted(), number, machine));
            }
        }
        for (phase, mut ranked) in phases.iter().zip(by_zone) {
            ranked.sort_unstable();
            let listed_count = ranked.iter().filter(|entry| !entry.0).count();
            for (rank, (unlisted, _, machine)) in ranked.into_iter().enumerate() {
                let held_back =
                    if unlisted { *phase != ZonePhase::Healthy } else { !phase.offers(rank, listed_count) };
                let availability =
                    &mut self.machines[machine].as_mut().expect("ranked machines are known").availability;
                if std::mem::replace(&mut availability.held_back, held_back) != held_back {
                    self.availability_changed(machine);
                }
            }
        }
    }

    /// The counts of a machine's zone.
    pub(super) fn zone_attempts_mut(&mut self, machine: usize) -> Option<&mut ZoneAttempts> {
        let zone = self.machine(machine)?.availability.location.1;
        if zone >= self.zone_attempts.len() {
            self.zone_attempts.resize(zone + 1, ZoneAttempts::default());
        }
        self.zone_attempts.get_mut(zone)
    }

    /// Attempts in a zone since the start.
    pub(crate) fn zone_attempts(&self, zone: usize) -> ZoneAttempts {
        self.zone_attempts.get(zone).copied().unwrap_or_default()
    }
}
