//! The core's room for what the register and machines say, and for halls that are held back.
use super::*;

impl PlannerState {
    // The register.

    pub fn registry_up(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.link_up(REGISTRY, now);
        self.registry_up = true;
        if self.registry_pushes {
            self.watching = true;
            self.watch(true);
        }
    }

    pub fn registry_down(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.link_down(REGISTRY, now);
        if std::mem::take(&mut self.registry_up) && std::mem::take(&mut self.watching) {
            self.notify_placement(PlacementEvent::ListLost);
        }
        self.perform_pending();
    }

    /// A frame of the register's. An error names field, what was found and what was expected; nothing of the
    /// list is taken in then.
    pub fn registry_frame(&mut self, now: i64, body: Body) -> Result<(), String> {
        self.set_clock(now);
        let Body::List(list) = body else {
            return Err("found a frame that is no list; expected a list".into());
        };
        for e in &list.entries {
            let named = |field: &str, name: &str, of: &[String]| match index_of_name(of, name) {
                Some(_) => Ok(()),
                None => Err(format!(
                    "machine {}: {field}: found {name:?}; expected one of {}",
                    e.machine,
                    of.join(", ")
                )),
            };
            named("kind", &e.kind, &self.names.kinds)?;
            named("zone", &e.zone, &self.names.zones)?;
            if e.machine.is_empty() || !e.cores_left.is_finite() || !e.memory_left.is_finite() {
                return Err(format!("machine {:?}: found no name or no number; expected both", e.machine));
            }
        }
        self.notify_placement(PlacementEvent::ListBegins { whole: list.whole, fresh: true });
        let mut named = Vec::new();
        let mut seen = vec![false; self.machines.len()];
        for e in list.entries {
            let m = self.apply_list_entry(e);
            named.push(m);
            seen.resize(self.machines.len(), false);
            seen[m] = true;
        }
        if list.whole {
            for m in (0..seen.len()).filter(|&m| !seen[m]) {
                if let Some(machine) = self.machines[m].as_mut() {
                    machine.availability.listed = None;
                    machine.availability.last_reported = Some(Readiness::Gone);
                    self.update_machine_constraints(m, Readiness::Gone);
                    self.machine_unlisted(m);
                }
            }
        }
        self.notify_placement(PlacementEvent::ListEnds);
        self.perform_pending();
        self.part_listed(list.question, &named);
        Ok(())
    }

    pub(super) fn watch(&mut self, on: bool) {
        let brief = self.part.is_some();
        self.outputs.push_back(Output::Registry(Body::Watch(wire::Watch { on, brief })));
    }

    pub(super) fn apply_list_entry(&mut self, e: wire::Entry) -> usize {
        let now = self.now();
        let m = self.machine_ids.intern(e.machine.as_str().into(), now);
        if m >= self.machines.len() {
            self.machines.resize_with(m + 1, || None);
        }
        let address: Rc<str> = e.address.as_str().into();
        let new = || MachineRecord {
            address: address.clone(),
            labels: Vec::new(),
            availability: MachineAvailability::default(),
            link: 0,
            held: false,
        };
        let machine = self.machines[m].get_or_insert_with(new);
        machine.address = address;
        machine.labels = e.labels;
        let zone = index_of_name(&self.names.zones, &e.zone).unwrap_or(0);
        let kind = index_of_name(&self.names.kinds, &e.kind).unwrap_or(0);
        machine.availability.location = (kind, zone, e.cell as usize);
        machine.availability.remaining = (e.cores_left, e.memory_left);
        machine.availability.listed = Some(match wire::Readiness::try_from(e.readiness) {
            Ok(wire::Readiness::Ready) => Readiness::Ready,
            Ok(wire::Readiness::Draining) => Readiness::Draining,
            _ => Readiness::Gone,
        });
        if e.started_us > 0 && machine.availability.observe_start(e.started_us) {
            self.machine_restarted(m);
        }
        if self.machines[m].as_ref().is_some_and(|x| x.availability.is_wanted()) {
            if !std::mem::replace(&mut self.machines[m].as_mut().expect("just seen").held, true) {
                self.machine_ids.acquire_index(m);
            }
            self.want(m);
        } else {
            self.machine_unlisted(m);
        }
        self.report_machine(m);
        m
    }

    /// The list has a machine no longer: no new connection is made. What is on it is lost once no link
    /// stands.
    pub(super) fn machine_unlisted(&mut self, m: usize) {
        self.dials.remove(m);
        self.part_unlisted(m);
        let now = self.now();
        let Some(machine) = self.machines[m].as_mut() else { return };
        if machine.availability.is_lost() {
            if std::mem::take(&mut machine.held) {
                self.machine_ids.release(m, now);
            }
            self.placement.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        }
    }

    /// A newer start of a machine was told of: what was on it runs no more, and a link of before is dead.
    pub(super) fn machine_restarted(&mut self, m: usize) {
        self.placement.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        if let Some(machine) = self.machines[m].as_mut().filter(|x| x.availability.link.is_up()) {
            machine.availability.link = LinkState::None;
            self.outputs.push_back(Output::Disconnect { machine: m, why: "the machine started anew" });
        }
    }

    /// Tells the module of a machine as it stands, within a list or as one of its own.
    pub(super) fn report_machine(&mut self, m: usize) {
        let Some(machine) = self.machines[m].as_mut() else { return };
        let ready = machine.availability.readiness();
        machine.availability.last_reported = Some(ready);
        let (at, left, started) =
            (machine.availability.location, machine.availability.remaining, machine.availability.started_us);
        self.update_machine_constraints(m, ready);
        let number = fnv1a_64(self.machine_ids.ids.id(m));
        self.notify_placement(PlacementEvent::Machine {
            m,
            number,
            at,
            ready: readiness_code(ready),
            started,
            left,
        });
    }

    /// Clauses hear of a machine before the module does.
    pub(super) fn update_machine_constraints(&mut self, m: usize, ready: Readiness) {
        let (Some(machine), Some(bounds)) = (&self.machines[m], &mut self.placement.host.constraints) else {
            return;
        };
        let (kind, zone, cell) = machine.availability.location;
        let facts = MachineAttributes {
            kind: self.names.kinds[kind].clone(),
            hall: self.names.zones[zone].clone(),
            rack: cell as u32,
            labels: machine.labels.clone(),
        };
        let state = match ready {
            Readiness::Ready => MachineState::Ready,
            Readiness::Draining
                if machine.availability.link == LinkState::Healthy
                    && !machine.availability.outside_subset =>
            {
                MachineState::Down
            }
            Readiness::Draining => MachineState::Far,
            Readiness::Gone => MachineState::Gone,
        };
        bounds.update_machine(m, facts, state);
    }

    /// Something of a machine's standing changed: the module hears it if that makes a difference to it.
    pub(super) fn availability_changed(&mut self, m: usize) {
        let standing =
            self.machines[m].as_ref().map(|x| (x.availability.last_reported, x.availability.readiness()));
        match standing {
            Some((told, ready)) if told != Some(ready) => {
                self.notify_placement(PlacementEvent::ListBegins { whole: false, fresh: false });
                self.report_machine(m);
                self.notify_placement(PlacementEvent::ListEnds);
            }
            // Clauses ask how the link stands, too.
            Some((_, ready)) => self.update_machine_constraints(m, ready),
            None => {}
        }
        self.perform_pending();
    }

    // Halls.

    /// Machines of halls that are not well are held back, those of a returning one but for the ones whose
    /// turn it is. Which those are hangs on their names alone, so that all planners offer work to the same.
    pub fn hold_back_zones(&mut self, now: i64, stages: &[ZonePhase]) {
        self.set_clock(now);
        let mut by_hall: Vec<Vec<(bool, u64, usize)>> = vec![Vec::new(); stages.len()];
        for (m, known) in self.machines.iter().enumerate() {
            let Some(standing) = known.as_ref().map(|x| &x.availability) else { continue };
            if let Some(hall) = by_hall.get_mut(standing.location.1) {
                // Those off the list have the last ranks: one that comes back to it is held until its turn.
                hall.push((!standing.is_wanted(), fnv1a_64(self.machine_ids.ids.id(m)), m));
            }
        }
        for (stage, mut machines) in stages.iter().zip(by_hall) {
            machines.sort_unstable();
            let of = machines.iter().filter(|m| !m.0).count();
            for (rank, (gone, _, m)) in machines.into_iter().enumerate() {
                let holds = if gone { *stage != ZonePhase::Healthy } else { !stage.offers(rank, of) };
                let standing = &mut self.machines[m].as_mut().expect("just seen").availability;
                if std::mem::replace(&mut standing.held_back, holds) != holds {
                    self.availability_changed(m);
                }
            }
        }
    }

    pub(super) fn count_attempt(&mut self, m: usize, which: usize) {
        let Some(hall) = self.machines[m].as_ref().map(|x| x.availability.location.1) else { return };
        if hall >= self.zone_attempts.len() {
            self.zone_attempts.resize(hall + 1, [0; 2]);
        }
        self.zone_attempts[hall][which] += 1;
    }

    /// Of a hall: launches, and launches refused or failed, since the start.
    pub(crate) fn zone_attempts(&self, hall: usize) -> [u64; 2] {
        self.zone_attempts.get(hall).copied().unwrap_or_default()
    }

    // Machines.

    /// The number of the link that a machine is reached by.
    pub(super) fn is_current(&self, m: usize, link: u64) -> bool {
        self.machines.get(m).and_then(Option::as_ref).is_some_and(|x| x.link == link)
    }

    /// A machine said hello: its epoch is when it last started. False: the link is of no use.
    pub fn machine_up(&mut self, now: i64, m: usize, link: u64, name: &str, epoch: u64) -> bool {
        self.set_clock(now);
        if !self.is_current(m, link) || **self.machine_ids.ids.id(m) != *name {
            return false;
        }
        self.dials.link_up(m, now);
        let machine = self.machines[m].as_mut().expect("current links are of known machines");
        if (epoch as i64) < machine.availability.started_us {
            return false;
        }
        if machine.availability.observe_start(epoch as i64) {
            self.placement.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        }
        self.machines[m].as_mut().expect("still known").availability.link = LinkState::AwaitingInventory;
        self.availability_changed(m);
        true
    }

    pub fn machine_suspect(&mut self, now: i64, m: usize, link: u64, suspect: bool) {
        self.set_clock(now);
        if self.is_current(m, link) {
            let standing = &mut self.machines[m].as_mut().expect("current").availability;
            if matches!(standing.link, LinkState::Healthy | LinkState::Suspect) {
                standing.link = if suspect { LinkState::Suspect } else { LinkState::Healthy };
            }
            self.availability_changed(m);
        }
    }

    /// A link ended, or never came up. `unsent`: numbers of launches of which no byte was handed over.
    pub fn machine_down(&mut self, now: i64, m: usize, link: u64, unsent: &[u64]) {
        self.set_clock(now);
        let epoch = self.identity.epoch;
        if !self.is_current(m, link) {
            // An older link: what it did not send is still known not to have run.
            for &number in unsent {
                self.placement.host.on_ledger(|l, acts| l.unsent(Launch { epoch, number }, acts));
            }
            return self.perform_pending();
        }
        self.dials.link_down(m, now);
        self.machines[m].as_mut().expect("current").availability.link = LinkState::None;
        self.placement.host.on_ledger(|l, acts| l.link_cut(m, unsent, acts));
        let dead: Vec<u64> = self.probes.iter().filter(|x| *x.1 == m).map(|x| *x.0).collect();
        dead.into_iter().for_each(|n| self.probe_failed(n, AttemptOutcome::ConnectFailed));
        if self.machines[m].as_ref().is_some_and(|x| !x.availability.is_wanted()) {
            self.machine_unlisted(m);
        }
        self.availability_changed(m);
    }

    /// A launch could not be handed to a link.
    pub fn launch_unsent(&mut self, now: i64, number: u64) {
        self.set_clock(now);
        let launch = Launch { epoch: self.identity.epoch, number };
        self.placement.host.on_ledger(|l, acts| l.unsent(launch, acts));
        self.perform_pending();
    }

    /// A frame of a machine's. An error names what was found and expected; the link is of no use then.
    pub fn machine_frame(&mut self, now: i64, m: usize, link: u64, body: Body) -> Result<(), String> {
        if !self.is_current(m, link)
            || !self.machines[m].as_ref().is_some_and(|x| x.availability.link.is_up())
        {
            return Ok(());
        }
        self.set_clock(now);
        let id = |id: Option<wire::LaunchId>| {
            let id = id.ok_or("found no launch id; expected one")?;
            Ok::<_, String>(Launch { epoch: id.epoch, number: id.number })
        };
        self.pending_report.clear();
        let mut report = |r: Option<wire::Report>| {
            self.pending_report = r.map(|r| r.values).unwrap_or_default();
            self.pending_report.retain(|v| v.is_finite());
        };
        match body {
            Body::Yes(x) => {
                let launch = id(x.id)?;
                self.placement.host.on_ledger(|l, acts| l.yes(launch, acts));
            }
            Body::Refused(x) => {
                let launch = id(x.id)?;
                report(x.report);
                self.count_attempt(m, 1);
                self.placement.host.on_ledger(|l, acts| l.refused(launch, i64::from(x.why), acts));
            }
            Body::Failed(x) => {
                let launch = id(x.id)?;
                report(x.report);
                self.count_attempt(m, 1);
                self.placement.host.on_ledger(|l, acts| l.failed(launch, m, acts));
            }
            Body::Ended(x) => {
                let launch = id(x.id)?;
                report(x.report);
                let how = match wire::EndedHow::try_from(x.how) {
                    Ok(wire::EndedHow::EndedDone) => Ending::Done,
                    Ok(wire::EndedHow::EndedEvicted) => Ending::Evicted,
                    Ok(wire::EndedHow::EndedPushedOut) => Ending::PushedOut,
                    Ok(wire::EndedHow::EndedSentAway) => Ending::SentAway,
                    Ok(wire::EndedHow::EndedStopped) => Ending::Stopped,
                    Err(_) => return Err(format!("ended: how: found {}; expected 0 to 4", x.how)),
                };
                self.placement.host.on_ledger(|l, acts| l.ended(launch, m, how, acts));
            }
            Body::Running(x) => self.note(id(x.id)?, 1, 0.0),
            Body::Note(x) => self.note(id(x.id)?, i64::from(x.sort), x.value),
            Body::Probed(x) => {
                if let Some(m) = self.probes.remove(&x.number) {
                    let report = x.report.map(|r| r.values).unwrap_or_default();
                    let end =
                        outcome_code(if x.why == 0 { AttemptOutcome::Ended } else { AttemptOutcome::Full });
                    self.notify_placement(PlacementEvent::Probed { m, end, report });
                }
            }
            Body::Inventory(x) => self.inventory(m, x)?,
            Body::Drain(x) => {
                self.machines[m].as_mut().expect("current").availability.draining = x.on;
                self.availability_changed(m);
            }
            _ => {
                return Err(
                    "found a frame that no machine sends; expected an answer, a note or an inventory".into()
                )
            }
        }
        self.perform_pending();
        Ok(())
    }

    pub(super) fn note(&mut self, launch: Launch, sort: i64, value: f64) {
        if let Some(task) = self.placement.host.ledger.task_of_launch(launch).filter(|_| value.is_finite()) {
            self.notify_placement(PlacementEvent::Noted { task, sort, value });
        }
    }

    pub(super) fn inventory(&mut self, m: usize, inventory: wire::Inventory) -> Result<(), String> {
        let mut held = Vec::new();
        for h in inventory.held {
            let l = h.launch.ok_or("inventory: found no launch; expected one in each entry")?;
            let id = l.id.ok_or("inventory: found no launch id; expected one")?;
            let framework = self.names.frameworks.iter().position(|f| f.0 == l.framework);
            let framework = framework.ok_or_else(|| {
                format!("inventory: framework: found {:?}; expected a known one", l.framework)
            })?;
            let tenant = self.tenancy.of_launch(&l.tenant, &l.tenant_id);
            let job = TaskJob {
                framework,
                tenant,
                stale_us: 0,
                facts: self.facts(framework, tenant, l.service, &l.key),
                service: l.service,
                cores: l.cores,
                memory: l.memory,
                runs_for_us: l.runs_for_us,
            };
            held.push(Held {
                launch: Launch { epoch: id.epoch, number: id.number },
                key: l.key.as_str().into(),
                ask: l.ask,
                kind: self.names.frameworks[framework].1,
                accepted: h.accepted,
                job,
            });
        }
        self.placement.host.on_ledger(|l, acts| l.inventory(m, held, acts));
        self.perform_pending();
        let standing = &mut self.machines[m].as_mut().expect("current").availability;
        if standing.link == LinkState::AwaitingInventory {
            standing.link = LinkState::Healthy;
        }
        standing.draining = inventory.draining;
        self.part_visited(m);
        self.availability_changed(m);
        Ok(())
    }

    pub(super) fn probe_failed(&mut self, n: u64, outcome: AttemptOutcome) {
        if let Some(m) = self.probes.remove(&n) {
            self.notify_placement(PlacementEvent::Probed {
                m,
                end: outcome_code(outcome),
                report: Vec::new(),
            });
        }
    }
}
