//! The core's room for what the register and machines say, and for halls that are held back.
use super::*;

impl Core {
    // The register.

    pub fn register_up(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.up(REGISTER, now);
        self.register_up = true;
        if self.pushes {
            self.watching = true;
            self.watch(true);
        }
    }

    pub fn register_down(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.down(REGISTER, now);
        if std::mem::take(&mut self.register_up) && std::mem::take(&mut self.watching) {
            self.tell(Told::ListLost);
        }
        self.settle();
    }

    /// A frame of the register's. An error names field, what was found and what was expected; nothing of the
    /// list is taken in then.
    pub fn register_frame(&mut self, now: i64, body: Body) -> Result<(), String> {
        self.set_clock(now);
        let Body::List(list) = body else {
            return Err("found a frame that is no list; expected a list".into());
        };
        for e in &list.entries {
            let named = |field: &str, name: &str, of: &[String]| match place(of, name) {
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
        self.tell(Told::ListBegins { whole: list.whole, fresh: true });
        let mut named = Vec::new();
        let mut seen = vec![false; self.known.len()];
        for e in list.entries {
            let m = self.take_entry(e);
            named.push(m);
            seen.resize(self.known.len(), false);
            seen[m] = true;
        }
        if list.whole {
            for m in (0..seen.len()).filter(|&m| !seen[m]) {
                if let Some(machine) = self.known[m].as_mut() {
                    machine.standing.listed = None;
                    machine.standing.told = Some(Readiness::Gone);
                    self.bound_machine(m, Readiness::Gone);
                    self.off_list(m);
                }
            }
        }
        self.tell(Told::ListEnds);
        self.settle();
        self.part_listed(list.question, &named);
        Ok(())
    }

    pub(super) fn watch(&mut self, on: bool) {
        let brief = self.part.is_some();
        self.out.push_back(Out::Register(Body::Watch(wire::Watch { on, brief })));
    }

    pub(super) fn take_entry(&mut self, e: wire::Entry) -> usize {
        let now = self.now();
        let m = self.machines.intern(e.machine.as_str().into(), now);
        if m >= self.known.len() {
            self.known.resize_with(m + 1, || None);
        }
        let address: Rc<str> = e.address.as_str().into();
        let new = || Machine {
            address: address.clone(),
            labels: Vec::new(),
            standing: Standing::default(),
            link: 0,
            held: false,
        };
        let machine = self.known[m].get_or_insert_with(new);
        machine.address = address;
        machine.labels = e.labels;
        let zone = place(&self.names.zones, &e.zone).unwrap_or(0);
        let kind = place(&self.names.kinds, &e.kind).unwrap_or(0);
        machine.standing.place = (kind, zone, e.cell as usize);
        machine.standing.left = (e.cores_left, e.memory_left);
        machine.standing.listed = Some(match wire::Readiness::try_from(e.readiness) {
            Ok(wire::Readiness::Ready) => Readiness::Ready,
            Ok(wire::Readiness::Draining) => Readiness::Draining,
            _ => Readiness::Gone,
        });
        if e.started_us > 0 && machine.standing.started(e.started_us) {
            self.started_anew(m);
        }
        if self.known[m].as_ref().is_some_and(|x| x.standing.is_wanted()) {
            if !std::mem::replace(&mut self.known[m].as_mut().expect("just seen").held, true) {
                self.machines.acquire_index(m);
            }
            self.want(m);
        } else {
            self.off_list(m);
        }
        self.tell_machine(m);
        m
    }

    /// The list has a machine no longer: no new connection is made. What is on it is lost once no link
    /// stands.
    pub(super) fn off_list(&mut self, m: usize) {
        self.dials.forget(m);
        self.part_unlisted(m);
        let now = self.now();
        let Some(machine) = self.known[m].as_mut() else { return };
        if machine.standing.is_lost() {
            if std::mem::take(&mut machine.held) {
                self.machines.release(m, now);
            }
            self.placing.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        }
    }

    /// A newer start of a machine was told of: what was on it runs no more, and a link of before is dead.
    pub(super) fn started_anew(&mut self, m: usize) {
        self.placing.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        if let Some(machine) = self.known[m].as_mut().filter(|x| x.standing.link.stands()) {
            machine.standing.link = Link::None;
            self.out.push_back(Out::Hang { machine: m, why: "the machine started anew" });
        }
    }

    /// Tells the module of a machine as it stands, within a list or as one of its own.
    pub(super) fn tell_machine(&mut self, m: usize) {
        let Some(machine) = self.known[m].as_mut() else { return };
        let ready = machine.standing.readiness();
        machine.standing.told = Some(ready);
        let (at, left, started) = (machine.standing.place, machine.standing.left, machine.standing.started);
        self.bound_machine(m, ready);
        let number = fnv1a_64(self.machines.ids.id(m));
        self.tell(Told::Machine { m, number, at, ready: ready_number(ready), started, left });
    }

    /// Clauses hear of a machine before the module does.
    pub(super) fn bound_machine(&mut self, m: usize, ready: Readiness) {
        let (Some(machine), Some(bounds)) = (&self.known[m], &mut self.placing.host.bounds) else { return };
        let (kind, zone, cell) = machine.standing.place;
        let facts = Place {
            kind: self.names.kinds[kind].clone(),
            hall: self.names.zones[zone].clone(),
            rack: cell as u32,
            labels: machine.labels.clone(),
        };
        let state = match ready {
            Readiness::Ready => State::Ready,
            Readiness::Draining if machine.standing.link == Link::Well && !machine.standing.outside => {
                State::Down
            }
            Readiness::Draining => State::Far,
            Readiness::Gone => State::Gone,
        };
        bounds.machine(m, facts, state);
    }

    /// Something of a machine's standing changed: the module hears it if that makes a difference to it.
    pub(super) fn stands_anew(&mut self, m: usize) {
        let standing = self.known[m].as_ref().map(|x| (x.standing.told, x.standing.readiness()));
        match standing {
            Some((told, ready)) if told != Some(ready) => {
                self.tell(Told::ListBegins { whole: false, fresh: false });
                self.tell_machine(m);
                self.tell(Told::ListEnds);
            }
            // Clauses ask how the link stands, too.
            Some((_, ready)) => self.bound_machine(m, ready),
            None => {}
        }
        self.settle();
    }

    // Halls.

    /// Machines of halls that are not well are held back, those of a returning one but for the ones whose
    /// turn it is. Which those are hangs on their names alone, so that all planners offer work to the same.
    pub fn hold_halls(&mut self, now: i64, stages: &[Stage]) {
        self.set_clock(now);
        let mut by_hall: Vec<Vec<(bool, u64, usize)>> = vec![Vec::new(); stages.len()];
        for (m, known) in self.known.iter().enumerate() {
            let Some(standing) = known.as_ref().map(|x| &x.standing) else { continue };
            if let Some(hall) = by_hall.get_mut(standing.place.1) {
                // Those off the list have the last ranks: one that comes back to it is held until its turn.
                hall.push((!standing.is_wanted(), fnv1a_64(self.machines.ids.id(m)), m));
            }
        }
        for (stage, mut machines) in stages.iter().zip(by_hall) {
            machines.sort_unstable();
            let of = machines.iter().filter(|m| !m.0).count();
            for (rank, (gone, _, m)) in machines.into_iter().enumerate() {
                let holds = if gone { *stage != Stage::Well } else { !stage.offers(rank, of) };
                let standing = &mut self.known[m].as_mut().expect("just seen").standing;
                if std::mem::replace(&mut standing.held_back, holds) != holds {
                    self.stands_anew(m);
                }
            }
        }
    }

    pub(super) fn count_at(&mut self, m: usize, which: usize) {
        let Some(hall) = self.known[m].as_ref().map(|x| x.standing.place.1) else { return };
        if hall >= self.hall_counts.len() {
            self.hall_counts.resize(hall + 1, [0; 2]);
        }
        self.hall_counts[hall][which] += 1;
    }

    /// Of a hall: launches, and launches refused or failed, since the start.
    pub(crate) fn hall_counts(&self, hall: usize) -> [u64; 2] {
        self.hall_counts.get(hall).copied().unwrap_or_default()
    }

    // Machines.

    /// The number of the link that a machine is reached by.
    pub(super) fn is_current(&self, m: usize, link: u64) -> bool {
        self.known.get(m).and_then(Option::as_ref).is_some_and(|x| x.link == link)
    }

    /// A machine said hello: its epoch is when it last started. False: the link is of no use.
    pub fn machine_up(&mut self, now: i64, m: usize, link: u64, name: &str, epoch: u64) -> bool {
        self.set_clock(now);
        if !self.is_current(m, link) || **self.machines.ids.id(m) != *name {
            return false;
        }
        self.dials.up(m, now);
        let machine = self.known[m].as_mut().expect("current links are of known machines");
        if (epoch as i64) < machine.standing.started {
            return false;
        }
        if machine.standing.started(epoch as i64) {
            self.placing.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        }
        self.known[m].as_mut().expect("still known").standing.link = Link::Met;
        self.stands_anew(m);
        true
    }

    pub fn machine_suspect(&mut self, now: i64, m: usize, link: u64, suspect: bool) {
        self.set_clock(now);
        if self.is_current(m, link) {
            let standing = &mut self.known[m].as_mut().expect("current").standing;
            if matches!(standing.link, Link::Well | Link::Suspect) {
                standing.link = if suspect { Link::Suspect } else { Link::Well };
            }
            self.stands_anew(m);
        }
    }

    /// A link ended, or never came up. `unsent`: numbers of launches of which no byte was handed over.
    pub fn machine_down(&mut self, now: i64, m: usize, link: u64, unsent: &[u64]) {
        self.set_clock(now);
        let epoch = self.who.epoch;
        if !self.is_current(m, link) {
            // An older link: what it did not send is still known not to have run.
            for &number in unsent {
                self.placing.host.on_ledger(|l, acts| l.unsent(Launch { epoch, number }, acts));
            }
            return self.settle();
        }
        self.dials.down(m, now);
        self.known[m].as_mut().expect("current").standing.link = Link::None;
        self.placing.host.on_ledger(|l, acts| l.link_cut(m, unsent, acts));
        let dead: Vec<u64> = self.probes.iter().filter(|x| *x.1 == m).map(|x| *x.0).collect();
        dead.into_iter().for_each(|n| self.probe_failed(n, Outcome::ConnectFailed));
        if self.known[m].as_ref().is_some_and(|x| !x.standing.is_wanted()) {
            self.off_list(m);
        }
        self.stands_anew(m);
    }

    /// A launch could not be handed to a link.
    pub fn launch_unsent(&mut self, now: i64, number: u64) {
        self.set_clock(now);
        let launch = Launch { epoch: self.who.epoch, number };
        self.placing.host.on_ledger(|l, acts| l.unsent(launch, acts));
        self.settle();
    }

    /// A frame of a machine's. An error names what was found and expected; the link is of no use then.
    pub fn machine_frame(&mut self, now: i64, m: usize, link: u64, body: Body) -> Result<(), String> {
        if !self.is_current(m, link) || !self.known[m].as_ref().is_some_and(|x| x.standing.link.stands()) {
            return Ok(());
        }
        self.set_clock(now);
        let id = |id: Option<wire::LaunchId>| {
            let id = id.ok_or("found no launch id; expected one")?;
            Ok::<_, String>(Launch { epoch: id.epoch, number: id.number })
        };
        self.report.clear();
        let mut report = |r: Option<wire::Report>| {
            self.report = r.map(|r| r.values).unwrap_or_default();
            self.report.retain(|v| v.is_finite());
        };
        match body {
            Body::Yes(x) => {
                let launch = id(x.id)?;
                self.placing.host.on_ledger(|l, acts| l.yes(launch, acts));
            }
            Body::Refused(x) => {
                let launch = id(x.id)?;
                report(x.report);
                self.count_at(m, 1);
                self.placing.host.on_ledger(|l, acts| l.refused(launch, i64::from(x.why), acts));
            }
            Body::Failed(x) => {
                let launch = id(x.id)?;
                report(x.report);
                self.count_at(m, 1);
                self.placing.host.on_ledger(|l, acts| l.failed(launch, m, acts));
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
                self.placing.host.on_ledger(|l, acts| l.ended(launch, m, how, acts));
            }
            Body::Running(x) => self.note(id(x.id)?, 1, 0.0),
            Body::Note(x) => self.note(id(x.id)?, i64::from(x.sort), x.value),
            Body::Probed(x) => {
                if let Some(m) = self.probes.remove(&x.number) {
                    let report = x.report.map(|r| r.values).unwrap_or_default();
                    let end = outcome_number(if x.why == 0 { Outcome::Ended } else { Outcome::Full });
                    self.tell(Told::Probed { m, end, report });
                }
            }
            Body::Inventory(x) => self.inventory(m, x)?,
            Body::Drain(x) => {
                self.known[m].as_mut().expect("current").standing.drains = x.on;
                self.stands_anew(m);
            }
            _ => {
                return Err(
                    "found a frame that no machine sends; expected an answer, a note or an inventory".into()
                )
            }
        }
        self.settle();
        Ok(())
    }

    pub(super) fn note(&mut self, launch: Launch, sort: i64, value: f64) {
        if let Some(task) = self.placing.host.ledger.task_of_launch(launch).filter(|_| value.is_finite()) {
            self.tell(Told::Noted { task, sort, value });
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
            let job = Job {
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
        self.placing.host.on_ledger(|l, acts| l.inventory(m, held, acts));
        self.settle();
        let standing = &mut self.known[m].as_mut().expect("current").standing;
        if standing.link == Link::Met {
            standing.link = Link::Well;
        }
        standing.drains = inventory.draining;
        self.part_visited(m);
        self.stands_anew(m);
        Ok(())
    }

    pub(super) fn probe_failed(&mut self, n: u64, outcome: Outcome) {
        if let Some(m) = self.probes.remove(&n) {
            self.tell(Told::Probed { m, end: outcome_number(outcome), report: Vec::new() });
        }
    }
}
