//! The lifecycle of a simulated machine: reports, evictions, updates, drains, stops and starts.
use super::{MachineCommand, MachineState, MachineTimer, Task};
use crate::attempt_frames::{to_wire, AttemptKey};
use basaltpitch_agent::attempt_table::AttemptTable;
use basaltpitch_agent::wire::{self, Body, EndedHow};
use rand::Rng;
use std::collections::BTreeMap;

/// Time for which past reports are kept, in microseconds.
const REPORT_RETENTION_US: i64 = 20_000_000;
/// Minimum time from a drain to the update's restart, in microseconds: launches may still be on
/// their way.
const QUIET_US: i64 = 2_000_000;
/// Tasks that get a smaller share of their cores are reported as badly served.
const WELL_SERVED: f64 = 0.95;

impl MachineState {
    /// Refreshes the report, evicts tasks if memory is short, and reports badly served tasks once a
    /// second.
    pub(super) fn refresh(&mut self) {
        let every_us = self.context.behaviour.report_every_us;
        self.set_timer(every_us, MachineTimer::Refresh);
        self.evict();
        self.update();
        let (now, used) = (self.now(), self.used());
        self.reports.push_back((now, self.shared.cores - used.0, self.shared.memory - used.1));
        while self.reports.front().is_some_and(|report| report.0 < now - REPORT_RETENTION_US) {
            self.reports.pop_front();
        }
        let served = (self.shared.cores / used.0.max(0.001)).min(1.0);
        let new_second = now / 1_000_000 != (now - every_us) / 1_000_000;
        if served < WELL_SERVED && new_second {
            self.report_badly_served(served);
        }
    }

    /// Evicts tasks until the memory suffices: the lowest priority first, then the task that
    /// exceeds its requested memory the most.
    fn evict(&mut self) {
        while self.used().1 > self.shared.memory {
            let excess = |task: &Task| (task.memory / task.requested.1.max(0.001) * 1000.0) as i64;
            let running = self.tasks.iter().filter(|(_, task)| task.running);
            let worst = running.min_by_key(|(_, task)| (self.priority(&task.framework), -excess(task)));
            let Some(attempt) = worst.map(|(attempt, _)| attempt.clone()) else { break };
            self.end_task(&attempt, EndedHow::EndedEvicted);
        }
    }

    /// Reports to each planner with running tasks the share of their cores that tasks get (note
    /// sort 4).
    fn report_badly_served(&self, served: f64) {
        let mut by_planner: BTreeMap<&str, &AttemptKey> = BTreeMap::new();
        for (attempt, _) in self.tasks.iter().filter(|(_, task)| task.running) {
            by_planner.entry(&attempt.0).or_insert(attempt);
        }
        for (planner, attempt) in by_planner {
            let note = wire::Note { id: to_wire(attempt.1), key: String::new(), sort: 4, value: served };
            self.send_frame(planner, Body::Note(note));
        }
    }

    /// Restarts the machine for a simulated update once it is drained and empty, or has drained for
    /// too long.
    fn update(&mut self) {
        let updater = self.context.behaviour.updater.filter(|_| self.shared.up.get());
        let Some((max_drain_us, away_us)) = updater else { return };
        let now = self.now();
        self.drained_at = if self.shared.draining.get() { self.drained_at.or(Some(now)) } else { None };
        let Some(since) = self.drained_at else { return };
        let empty = self.tasks.is_empty() && self.offers.is_empty();
        let quiet = now >= since + QUIET_US;
        if (empty && quiet) || now >= since + max_drain_us {
            self.command(MachineCommand::Evacuate);
            self.command(MachineCommand::Down);
            self.drained_at = None;
            self.set_timer(away_us, MachineTimer::Return);
        }
    }

    /// Executes a command.
    pub(super) fn command(&mut self, command: MachineCommand) {
        match command {
            MachineCommand::RollingDrain { on, started_us } => self.rolling_drain(on, started_us),
            MachineCommand::Drain(on) => self.drain(on),
            MachineCommand::Restart => {
                self.stop();
                self.begin();
            }
            MachineCommand::Down => {
                self.stop();
                self.shared.up.set(false);
            }
            MachineCommand::Up => {
                if !self.shared.up.get() {
                    self.shared.up.set(true);
                    self.begin();
                }
            }
            MachineCommand::FlushPrograms => self.programs.clear(),
            MachineCommand::Preempt(part) => {
                for attempt in self.all_tasks() {
                    if self.rng.random_bool(part.clamp(0.0, 1.0)) {
                        self.end_task(&attempt, EndedHow::EndedPushedOut);
                    }
                }
            }
            MachineCommand::Evacuate => self.end_all(EndedHow::EndedSentAway),
        }
    }

    /// Starts or ends a rolling restart's drain. Ignored while the machine is down, or if it has
    /// restarted since the drain was ordered.
    fn rolling_drain(&mut self, on: bool, started_us: i64) {
        if !self.shared.up.get() || (on && started_us != self.shared.started_us.get()) {
            return;
        }
        self.context.checker.borrow_mut().rolling_restart_drained(self.now(), &self.shared.name, on);
        self.drain(on);
    }

    /// Starts or ends a drain, and notifies the connected planners.
    fn drain(&mut self, on: bool) {
        self.shared.draining.set(on);
        let machine = &self.shared.name;
        for planner in self.links.keys() {
            let drain = wire::Drain { machine: machine.clone(), on, ..wire::Drain::default() };
            self.send_frame(planner, Body::Drain(drain));
        }
    }

    /// Ends all tasks.
    fn end_all(&mut self, how: EndedHow) {
        for attempt in self.all_tasks() {
            self.end_task(&attempt, how);
        }
    }

    /// Stops the machine with all its tasks without notifying any planner.
    fn stop(&mut self) {
        self.links.clear();
        self.end_all(EndedHow::EndedStopped);
        (self.attempts, self.starting, self.checks_offer) = (AttemptTable::default(), 0, false);
        self.offers.clear();
        self.start_queue.clear();
        self.programs.clear();
        self.timers.retain(|_, timer| matches!(timer, MachineTimer::Refresh));
        self.shared.leaked.set(0.0);
        self.shared.draining.set(false);
        // Earlier connections are closed, except those that a fault keeps open so that they look
        // alive.
        let dead = self.shared.faults.dead_connections.get();
        self.connections.retain(|number, _| *number <= dead);
        if dead == 0 {
            self.shared.faults.reset();
        }
    }

    /// Starts the machine again; the machine then warms up.
    fn begin(&mut self) {
        let now = self.now();
        self.shared.started_us.set(now);
        self.warm_up_offers.clear();
        self.context.checker.borrow_mut().machine_started(now, &self.shared.name);
    }
}
