//! Links to machines: handles frames of machines, and resolves the attempts on a link that ends.
use super::*;

/// The kind of the status note that a task runs; the kinds are listed in `docs/protocol/agent.md`.
const NOTE_RUNNING: i64 = 1;

impl PlannerState {
    /// Returns whether `link` is the number of the machine's newest link.
    fn is_current(&self, machine: usize, link: u64) -> bool {
        self.machine(machine).is_some_and(|record| record.link == link)
    }

    /// Returns the availability of a machine that has a current link.
    fn availability_mut(&mut self, machine: usize) -> &mut MachineAvailability {
        &mut self.machines[machine].as_mut().expect("a machine with a current link has a record").availability
    }

    /// Handles a machine's hello; the epoch in it is the time of the machine's last start. Returns
    /// false if the link is outdated, reached a different machine or an earlier start of it; the
    /// caller closes it.
    pub fn machine_up(&mut self, now: i64, machine: usize, link: u64, name: &str, epoch: u64) -> bool {
        self.set_clock(now);
        if !self.is_current(machine, link) || **self.machine_ids.ids.id(machine) != *name {
            return false;
        }
        self.dials.link_up(machine, now);
        let availability = self.availability_mut(machine);
        if (epoch as i64) < availability.started_us {
            return false;
        }
        if availability.observe_start(epoch as i64) {
            self.placement.host.on_ledger(|ledger, actions| ledger.machine_lost(machine, actions));
        }
        self.availability_mut(machine).link = LinkState::AwaitingInventory;
        self.availability_changed(machine);
        true
    }

    /// Records whether a machine's link is suspect: a suspect link does not answer in time.
    pub fn machine_suspect(&mut self, now: i64, machine: usize, link: u64, suspect: bool) {
        self.set_clock(now);
        if self.is_current(machine, link) {
            let availability = self.availability_mut(machine);
            if matches!(availability.link, LinkState::Healthy | LinkState::Suspect) {
                availability.link = if suspect { LinkState::Suspect } else { LinkState::Healthy };
            }
            self.availability_changed(machine);
        }
    }

    /// Handles the end of a link, or a failed connection. `unsent` holds the numbers of the
    /// attempts of which no byte was sent.
    pub fn machine_down(&mut self, now: i64, machine: usize, link: u64, unsent: &[u64]) {
        self.set_clock(now);
        let epoch = self.identity.epoch;
        if !self.is_current(machine, link) {
            // Even on an outdated link, attempts that were not sent are known not to have run.
            for &number in unsent {
                let attempt = AttemptId { epoch, number };
                self.placement.host.on_ledger(|ledger, actions| ledger.unsent(attempt, actions));
            }
            return self.perform_pending();
        }
        self.dials.link_down(machine, now);
        self.availability_mut(machine).link = LinkState::None;
        self.placement.host.on_ledger(|ledger, actions| ledger.link_cut(machine, unsent, actions));
        let of_machine = self.probes.iter().filter(|entry| *entry.1 == machine);
        let unanswered: Vec<u64> = of_machine.map(|entry| *entry.0).collect();
        for probe in unanswered {
            self.probe_failed(probe, AttemptOutcome::ConnectFailed);
        }
        if self.machine(machine).is_some_and(|record| !record.availability.is_wanted()) {
            self.machine_unlisted(machine);
        }
        self.availability_changed(machine);
    }

    /// Handles an attempt that could not be handed to its link, and so was not sent.
    pub fn launch_unsent(&mut self, now: i64, number: u64) {
        self.set_clock(now);
        let attempt = AttemptId { epoch: self.identity.epoch, number };
        self.placement.host.on_ledger(|ledger, actions| ledger.unsent(attempt, actions));
        self.perform_pending();
    }

    /// Handles a frame of a machine. Frames of outdated links are ignored.
    ///
    /// # Errors
    /// The frame is invalid; the caller closes the link.
    pub fn machine_frame(
        &mut self,
        now: i64,
        machine: usize,
        link: u64,
        body: Body,
    ) -> Result<(), MachineFrameError> {
        let is_up = |record: &MachineRecord| record.availability.link.is_up();
        if !self.is_current(machine, link) || !self.machine(machine).is_some_and(is_up) {
            return Ok(());
        }
        self.set_clock(now);
        self.pending_report.clear();
        match body {
            Body::Yes(frame) => {
                let attempt = attempt_id(frame.id)?;
                self.placement.host.on_ledger(|ledger, actions| ledger.accepted(attempt, actions));
            }
            Body::Refused(frame) => {
                let attempt = attempt_id(frame.id)?;
                self.attempt_not_started(machine, frame.report);
                let reason_code = i64::from(frame.why);
                self.placement
                    .host
                    .on_ledger(|ledger, actions| ledger.refused(attempt, reason_code, actions));
            }
            Body::Failed(frame) => {
                let attempt = attempt_id(frame.id)?;
                self.attempt_not_started(machine, frame.report);
                self.placement.host.on_ledger(|ledger, actions| ledger.failed(attempt, machine, actions));
            }
            Body::Ended(frame) => {
                let attempt = attempt_id(frame.id)?;
                self.take_report(frame.report);
                let how = attempt_end(frame.how)?;
                self.placement.host.on_ledger(|ledger, actions| ledger.ended(attempt, machine, how, actions));
            }
            Body::Running(frame) => self.task_note(attempt_id(frame.id)?, NOTE_RUNNING, 0.0),
            Body::Note(frame) => self.task_note(attempt_id(frame.id)?, i64::from(frame.sort), frame.value),
            Body::Probed(frame) => self.probe_answered(frame),
            Body::Inventory(frame) => self.inventory(machine, frame)?,
            Body::Drain(frame) => {
                self.availability_mut(machine).draining = frame.on;
                self.availability_changed(machine);
            }
            _ => return Err(MachineFrameError::UnexpectedFrame),
        }
        self.perform_pending();
        Ok(())
    }

    /// Keeps the usage report of a frame for the attempt outcome that the frame leads to. Values
    /// that are not finite are dropped.
    fn take_report(&mut self, report: Option<wire::Report>) {
        self.pending_report = report.map(|report| report.values).unwrap_or_default();
        self.pending_report.retain(|value| value.is_finite());
    }

    /// Counts a refused or failed attempt, and keeps the frame's usage report.
    fn attempt_not_started(&mut self, machine: usize, report: Option<wire::Report>) {
        self.take_report(report);
        if let Some(counts) = self.zone_attempts_mut(machine) {
            counts.failed += 1;
        }
    }

    /// Passes the outcome of an answered probe to the placement module.
    fn probe_answered(&mut self, frame: wire::Probed) {
        if let Some(machine) = self.probes.remove(&frame.number) {
            let report = frame.report.map(|report| report.values).unwrap_or_default();
            let outcome = if frame.why == 0 { AttemptOutcome::Ended } else { AttemptOutcome::Refused };
            let outcome = outcome_code(outcome);
            self.notify_placement(PlacementEvent::Probed { machine, outcome, report });
        }
    }

    /// Passes the outcome of a probe without an answer to the placement module.
    pub(super) fn probe_failed(&mut self, probe: u64, outcome: AttemptOutcome) {
        if let Some(machine) = self.probes.remove(&probe) {
            let outcome = outcome_code(outcome);
            self.notify_placement(PlacementEvent::Probed { machine, outcome, report: Vec::new() });
        }
    }

    /// Passes a status note about an attempt's task to the placement module.
    fn task_note(&mut self, attempt: AttemptId, sort: i64, value: f64) {
        let task = self.placement.host.ledger.task_of_attempt(attempt);
        if let Some(task) = task.filter(|_| value.is_finite()) {
            self.notify_placement(PlacementEvent::Noted { task, sort, value });
        }
    }

    /// Handles the full list of a machine's tasks; from then on the machine may be offered work.
    fn inventory(&mut self, machine: usize, inventory: wire::Inventory) -> Result<(), MachineFrameError> {
        let mut entries = Vec::new();
        for held in inventory.held {
            entries.push(self.inventory_entry(held)?);
        }
        self.placement.host.on_ledger(|ledger, actions| ledger.inventory(machine, entries, actions));
        self.perform_pending();
        let availability = self.availability_mut(machine);
        if availability.link == LinkState::AwaitingInventory {
            availability.link = LinkState::Healthy;
        }
        availability.draining = inventory.draining;
        self.subset_inventory_received(machine);
        self.availability_changed(machine);
        Ok(())
    }

    /// Converts one task of an inventory for the ledger.
    fn inventory_entry(
        &mut self,
        held: wire::Held,
    ) -> Result<InventoryEntry<TaskKey, TaskJob>, MachineFrameError> {
        let launch = held.launch.ok_or(MachineFrameError::NoLaunch)?;
        let id = launch.id.ok_or(MachineFrameError::NoLaunchId)?;
        let framework = self.names.framework_index(&launch.framework);
        let framework =
            framework.ok_or_else(|| MachineFrameError::UnknownFramework(launch.framework.clone()))?;
        let tenant = self.tenancy.tenant_of_attempt(&launch.tenant, &launch.tenant_id);
        let job = TaskJob {
            framework,
            tenant,
            stale_us: 0,
            attributes: self.constraint_attributes(framework, tenant, launch.service, &launch.key),
            service: launch.service,
            cores: launch.cores,
            memory: launch.memory,
            runs_for_us: launch.runs_for_us,
        };
        Ok(InventoryEntry {
            attempt: AttemptId { epoch: id.epoch, number: id.number },
            key: launch.key.as_str().into(),
            request_id: launch.ask,
            idempotency: self.names.frameworks[framework].idempotency,
            accepted: held.accepted,
            job,
        })
    }
}

/// Returns the attempt that a frame is about.
fn attempt_id(id: Option<wire::LaunchId>) -> Result<AttemptId, MachineFrameError> {
    let id = id.ok_or(MachineFrameError::NoAttemptId)?;
    Ok(AttemptId { epoch: id.epoch, number: id.number })
}

/// Returns how an attempt ended, from the code in a frame.
fn attempt_end(how: i32) -> Result<AttemptEnd, MachineFrameError> {
    match wire::EndedHow::try_from(how) {
        Ok(wire::EndedHow::EndedDone) => Ok(AttemptEnd::Done),
        Ok(wire::EndedHow::EndedEvicted) => Ok(AttemptEnd::Evicted),
        Ok(wire::EndedHow::EndedPushedOut) => Ok(AttemptEnd::Preempted),
        Ok(wire::EndedHow::EndedSentAway) => Ok(AttemptEnd::Drained),
        Ok(wire::EndedHow::EndedStopped) => Ok(AttemptEnd::Stopped),
        Err(_) => Err(MachineFrameError::UnknownEnd(how)),
    }
}
