//! The registry's machine list: applies it, passes machines to the placement module and the
//! constraints, and holds back the machines of failed and recovering zones.
use super::*;

impl PlannerState {
    /// Handles a new link to the registry.
    pub fn registry_up(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.link_up(REGISTRY, now);
        self.registry_up = true;
        if self.registry_pushes {
            self.watching = true;
            self.watch(true);
        }
    }

    /// Handles the end of the registry's link; the last machine list stays in use.
    pub fn registry_down(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.link_down(REGISTRY, now);
        if std::mem::take(&mut self.registry_up) && std::mem::take(&mut self.watching) {
            self.notify_placement(PlacementEvent::ListLost);
        }
        self.perform_pending();
    }

    /// Handles a frame of the registry.
    ///
    /// # Errors
    /// The frame is not a valid machine list; no entry of it is applied then.
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

    /// Checks that an entry has a known kind and zone, a machine name and finite capacity.
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

    /// Subscribes to changes of the machine list, or unsubscribes. A planner with a subset asks the
    /// registry to omit changes that only affect a machine's free capacity, unless the machine
    /// drains.
    pub(super) fn watch(&mut self, on: bool) {
        let brief = self.subset.is_some();
        self.outputs.push_back(Output::Registry(Body::Watch(wire::Watch { on, brief })));
    }

    /// Updates or adds a machine from a valid list entry, and returns its index.
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
                self.machine_listed(machine);
            }
            None => self.machine_unlisted(machine),
        }
        self.report_machine(machine);
        machine
    }

    /// Handles a machine that the list no longer has: no new connection is made. The attempts on
    /// the machine count as lost once its link is down.
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

    /// Handles a list entry with a newer start of a machine: its earlier attempts no longer run,
    /// and a link from before the restart is closed.
    fn machine_restarted(&mut self, machine: usize) {
        self.placement.host.on_ledger(|ledger, actions| ledger.machine_lost(machine, actions));
        let record = self.machines[machine].as_mut();
        if let Some(record) = record.filter(|record| record.availability.link.is_up()) {
            record.availability.link = LinkState::None;
            self.outputs.push_back(Output::Disconnect { machine, why: "the machine started anew" });
        }
    }

    /// Passes a machine's current state to the constraints and to the placement module, between
    /// `ListBegins` and `ListEnds`.
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

    /// Passes a machine's current state to the constraints. Must happen before the placement module
    /// gets the machine, because the module then queries the constraints.
    pub(super) fn update_machine_constraints(&mut self, machine: usize, ready: Readiness) {
        let (Some(record), Some(constraints)) =
            (&self.machines[machine], &mut self.placement.host.constraints)
        else {
            return;
        };
        let availability = &record.availability;
        let (kind, zone, cell) = availability.location;
        let attributes = MachineAttributes {
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
        constraints.update_machine(machine, attributes, state);
    }

    /// Handles a change of a machine's availability: passes the machine to the placement module if
    /// its readiness changed.
    pub(super) fn availability_changed(&mut self, machine: usize) {
        let availability = self.machine(machine).map(|record| &record.availability);
        match availability.map(|availability| (availability.last_reported, availability.readiness())) {
            Some((reported, ready)) if reported != Some(ready) => {
                self.notify_placement(PlacementEvent::ListBegins { whole: false, fresh: false });
                self.report_machine(machine);
                self.notify_placement(PlacementEvent::ListEnds);
            }
            // The constraints also depend on the state of the link.
            Some((_, ready)) => self.update_machine_constraints(machine, ready),
            None => {}
        }
        self.perform_pending();
    }

    /// Withholds work from machines according to the phases of their zones: from all machines of a
    /// failed zone, and from those machines of a recovering zone that the recovery ramp has not
    /// reached. Machines are ranked by a hash of their names, so that all planners offer work to
    /// the same ones.
    pub fn hold_back_zones(&mut self, now: i64, phases: &[ZonePhase]) {
        self.set_clock(now);
        let mut by_zone: Vec<Vec<(bool, u64, usize)>> = vec![Vec::new(); phases.len()];
        for (machine, record) in self.machines.iter().enumerate() {
            let Some(availability) = record.as_ref().map(|record| &record.availability) else { continue };
            if let Some(ranked) = by_zone.get_mut(availability.location.1) {
                // Machines off the list rank last: one that is listed again is held back until the
                // ramp reaches its rank.
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
                    &mut self.machines[machine].as_mut().expect("a ranked machine has a record").availability;
                if std::mem::replace(&mut availability.held_back, held_back) != held_back {
                    self.availability_changed(machine);
                }
            }
        }
    }

    /// Returns the attempt counts of a machine's zone; `None` if the machine is not known.
    pub(super) fn zone_attempts_mut(&mut self, machine: usize) -> Option<&mut ZoneAttempts> {
        let zone = self.machine(machine)?.availability.location.1;
        if zone >= self.zone_attempts.len() {
            self.zone_attempts.resize(zone + 1, ZoneAttempts::default());
        }
        self.zone_attempts.get_mut(zone)
    }

    /// Returns the attempt counts of a zone since the planner's start.
    pub(crate) fn zone_attempts(&self, zone: usize) -> ZoneAttempts {
        self.zone_attempts.get(zone).copied().unwrap_or_default()
    }
}
