//! Attempts on the machines of one process: offers, starts, ends, and the tasks of absent planners.
use super::{MachineProcess, MachineTimer, Task, ABSENT_TASK};
use crate::attempt_frames::{from_wire, reply, running, to_wire, AttemptKey};
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::wire::{self, Body, EndedHow, Launch, Report};

/// Time that the check of an offer takes, in microseconds.
const OFFER_CHECK_US: i64 = 3_000;
/// Mean time that the start of a task takes, in microseconds.
const START_US: i64 = 30_000;

impl MachineProcess {
    /// Handles a frame of a planner.
    pub(super) fn frame(&mut self, machine: usize, planner: String, body: Body) {
        match body {
            Body::Launch(launch) => self.offered(machine, planner, launch),
            Body::Cancel(cancel) => self.cancel(machine, planner, from_wire(cancel.id)),
            Body::Stop(stop) => {
                let attempt = (planner, from_wire(stop.id));
                match self.machines[machine].attempts.state(&attempt.0, attempt.1) {
                    Some(AttemptState::Accepted | AttemptState::Running) => {
                        self.end_task(machine, &attempt, EndedHow::EndedStopped);
                    }
                    _ => self.cancel(machine, attempt.0, attempt.1),
                }
            }
            Body::Noted(noted) => self.machines[machine].attempts.acknowledge(&planner, from_wire(noted.id)),
            Body::Probe(probe) => {
                let report = self.report(machine);
                let probed = wire::Probed { number: probe.number, why: 0, report };
                self.machines[machine].send(&planner, Body::Probed(probed));
            }
            _ => {}
        }
    }

    /// Schedules the check of a new offer, or repeats the reply to a known attempt.
    fn offered(&mut self, machine: usize, planner: String, launch: Launch) {
        let Some(id) = launch.id.map(|id| (id.epoch, id.number)) else { return };
        let (attempt_reply, new) = self.machines[machine].attempts.launch(&planner, id, launch);
        if !new {
            return self.reply(machine, &planner, id, attempt_reply);
        }
        self.counts.launched += 1;
        self.set_timer(machine, OFFER_CHECK_US, MachineTimer::CheckOffer((planner, id)));
    }

    /// Cancels an attempt that does not run yet, and replies with its state.
    fn cancel(&mut self, machine: usize, planner: String, id: AttemptId) {
        let attempt_reply = self.machines[machine].attempts.cancel(&planner, id);
        self.reply(machine, &planner, id, attempt_reply);
    }

    /// Returns the cores and memory that are not reserved.
    fn report(&self, machine: usize) -> Option<Report> {
        let reserved = self.machines[machine].reserved;
        Some(Report { values: vec![self.config.cores - reserved.0, self.config.memory - reserved.1] })
    }

    /// Sends a reply about an attempt.
    pub(super) fn reply(&self, machine: usize, planner: &str, id: AttemptId, attempt_reply: AttemptReply) {
        let (report, machine) = (self.report(machine), &self.machines[machine]);
        let launch = machine.attempts.payload(&planner.to_owned(), id);
        let key = launch.map(|launch| launch.key.clone()).unwrap_or_default();
        if let Some(body) = reply(id, key, attempt_reply, report) {
            machine.send(planner, body);
        }
    }

    /// Accepts or refuses an offer, unless it was cancelled meanwhile.
    pub(super) fn check_offer(&mut self, machine: usize, attempt: AttemptKey) {
        let (host, config) = (&mut self.machines[machine], &self.config);
        if host.attempts.state(&attempt.0, attempt.1) != Some(AttemptState::Queued) {
            return;
        }
        let Some(launch) = host.attempts.payload(&attempt.0, attempt.1).cloned() else { return };
        let fits_cores = host.reserved.0 + launch.cores <= config.overcommit.0 * config.cores;
        let fits_memory = host.reserved.1 + launch.memory <= config.overcommit.1 * config.memory;
        let refused = match (fits_cores, fits_memory) {
            _ if host.draining => Some(refusal_reason::NOT_HERE),
            (false, _) => Some(refusal_reason::NO_CORES),
            (_, false) => Some(refusal_reason::NO_MEMORY),
            _ => None,
        };
        if let Some(why) = refused {
            host.attempts.forget(&attempt.0, attempt.1);
            self.counts.refused += 1;
            let report = self.report(machine);
            let refused = wire::Refused { id: to_wire(attempt.1), key: launch.key, why, report };
            return self.machines[machine].send(&attempt.0, Body::Refused(refused));
        }
        let requested = (launch.cores, launch.memory);
        host.attempts.set_state(&attempt.0, attempt.1, AttemptState::Accepted);
        host.reserve(requested);
        host.tasks.insert(attempt.clone(), Task { requested, running: false });
        self.changed.insert(machine);
        if !self.config.accepts_when_running {
            self.reply(machine, &attempt.0, attempt.1, AttemptReply::Accepted);
        }
        let takes_us = START_US as f64 * (0.7 + 0.6 * self.rng.f64());
        self.set_timer(machine, takes_us as i64, MachineTimer::Start(attempt));
    }

    /// Marks a task as running, and notifies its planner.
    pub(super) fn task_started(&mut self, machine: usize, attempt: AttemptKey) {
        let host = &mut self.machines[machine];
        let Some(task) = host.tasks.get_mut(&attempt) else { return };
        task.running = true;
        self.counts.started += 1;
        let requested = task.requested;
        host.attempts.set_state(&attempt.0, attempt.1, AttemptState::Running);
        let launch = host.attempts.payload(&attempt.0, attempt.1);
        let (key, runs_us) =
            launch.map(|launch| (launch.key.clone(), launch.runs_for_us)).unwrap_or_default();
        if self.config.accepts_when_running {
            self.reply(machine, &attempt.0, attempt.1, AttemptReply::Accepted);
        }
        for frame in running(attempt.1, &key, requested) {
            self.machines[machine].send(&attempt.0, frame);
        }
        self.set_timer(machine, runs_us.max(1), MachineTimer::End(attempt));
    }

    /// Ends a task, releases its capacity, and notifies its planner.
    pub(super) fn end_task(&mut self, machine: usize, attempt: &AttemptKey, how: EndedHow) {
        let host = &mut self.machines[machine];
        let Some(task) = host.tasks.remove(attempt) else { return };
        host.release(task.requested);
        host.attempts.set_state(&attempt.0, attempt.1, AttemptState::Ended(how as u8));
        self.counts.ended += 1;
        self.changed.insert(machine);
        self.reply(machine, &attempt.0, attempt.1, AttemptReply::Ended(how as u8));
    }

    /// Starts a task of an absent planner on a random machine, if the machine has the capacity.
    pub(super) fn place_absent_task(&mut self) {
        let machine = self.rng.usize(0..self.machines.len());
        let (host, config) = (&mut self.machines[machine], &self.config);
        let fits = host.reserved.0 + ABSENT_TASK.0 <= config.cores
            && host.reserved.1 + ABSENT_TASK.1 <= config.memory;
        if !fits || host.vanished.get() || host.draining {
            return;
        }
        host.reserve(ABSENT_TASK);
        host.absent_tasks += 1;
        self.changed.insert(machine);
        let runs_s = -(1.0 - self.rng.f64()).ln() * self.config.absent_load.1;
        self.set_timer(machine, (runs_s * 1e6) as i64, MachineTimer::AbsentTaskEnds);
    }

    /// Starts a task of an absent planner, and schedules the next one.
    pub(super) fn next_absent_task(&mut self) {
        self.place_absent_task();
        let gap_s = -(1.0 - self.rng.f64()).ln() / self.config.absent_load.0;
        self.set_timer(0, (gap_s * 1e6) as i64, MachineTimer::AbsentTask);
    }
}
