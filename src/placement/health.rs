//! Health checks: which machines are probed when, and how long one that fails is ejected.
use super::{Planner, TICK_US};
use crate::host::{AttemptOutcome, Host};
use std::cmp::Reverse;

/// How long a failure of any kind bars a machine.
pub(super) const EJECTION_US: i64 = 3_000_000;
/// How long a machine that refused for want of capacity is barred.
pub(super) const REFUSAL_EJECTION_US: i64 = 1_000_000;
const PROBE_INTERVAL_US: i64 = 1_000_000;
/// Planners that may each probe every machine that often; more of them share the probes.
const FULL_RATE_PROBERS: f64 = 4.0;
/// A report older than this says nothing any more.
pub(super) const REPORT_STALE_US: i64 = 10_000_000;
/// Homes that are probed before a task is placed, unless their report is younger than `HOME_REPORT_FRESH_US`.
const PROBED_HOMES: usize = 4;
const HOME_REPORT_FRESH_US: i64 = 2_500_000;

impl<H: Host> Planner<H> {
    /// A probe of a machine ended, with the machine's report where it gave one.
    pub fn probe_finished(&mut self, machine: usize, outcome: AttemptOutcome, report: &[f64]) {
        self.ensure_machine(machine);
        self.note_contact(machine, outcome);
        if outcome == AttemptOutcome::Ended {
            self.read_report(machine, report);
            self.learn_whether_probes_report(!report.is_empty());
        } else if outcome != AttemptOutcome::Full {
            self.machines.ejected_until[machine] = self.now + EJECTION_US;
        }
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        if self.probes_in_flight == 0 {
            self.serve_waiting();
        }
    }

    /// The first probe that brings a report shows that all are worth their price, and one that brings none
    /// that they are not. Machines that have just started give none yet: it is tried again once this planner
    /// is twice as old, and then each time that a report would be good for.
    fn learn_whether_probes_report(&mut self, reported: bool) {
        if reported && !self.probes_bring_reports {
            (self.probes_bring_reports, self.no_report_check_until) = (true, 0);
            self.probe_due_machines();
        } else if !self.probes_bring_reports {
            self.no_report_check_until =
                self.now + (self.now - self.started_at).clamp(TICK_US, REPORT_STALE_US);
        }
    }

    /// What only the machine itself can have said shows that it is there.
    pub(super) fn note_contact(&mut self, machine: usize, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Ended | AttemptOutcome::Error | AttemptOutcome::Full) {
            self.machines.heard_at[machine] = self.now;
        }
    }

    /// Probes the ready machines of which nothing was heard for the probe interval. Where probes bring no
    /// report, only those that hold own tasks, and one more now and then to see whether one does.
    pub(super) fn probe_due_machines(&mut self) {
        let interval = self.probe_interval_us();
        if interval >= REPORT_STALE_US || self.setting("permissions.probes") == 0.0 {
            return;
        }
        let machines = &self.machines;
        let heard_at = if self.probes_bring_reports { &machines.reported_at } else { &machines.heard_at };
        let silence = |machine: usize| self.now - machines.probed_at[machine].max(heard_at[machine]);
        let mut due: Vec<usize> =
            self.ready_machines().filter(|&machine| silence(machine) >= interval).collect();
        if !self.probes_bring_reports {
            let turn = self.setting("myNumber") as usize % due.len().max(1);
            let sample = due.get(turn).copied();
            due.retain(|&machine| !self.machines.own_tasks[machine].is_empty());
            due.extend(sample.filter(|machine| {
                self.probes_in_flight == 0 && self.now >= self.no_report_check_until && !due.contains(machine)
            }));
        }
        due.into_iter().for_each(|machine| self.probe(machine));
    }

    /// Many planners can't keep up with a fleet, so they probe a service's homes when a task comes. Whether
    /// any probe is under way.
    pub(super) fn probe_homes(&mut self, service: usize) -> bool {
        if self.setting("permissions.probes") == 0.0 || self.probe_interval_us() < REPORT_STALE_US {
            return false;
        }
        let mut homes: Vec<usize> = self
            .ready_machines()
            .filter(|&machine| self.now >= self.machines.ejected_until[machine])
            .collect();
        homes.sort_by_cached_key(|&machine| Reverse(self.affinity(service, machine)));
        homes.truncate(PROBED_HOMES);
        homes.retain(|&machine| {
            let asked_at = self.machines.reported_at[machine].max(self.machines.probed_at[machine]);
            self.now - asked_at >= HOME_REPORT_FRESH_US
        });
        homes.iter().for_each(|&machine| self.probe(machine));
        self.probes_in_flight > 0
    }

    fn probe(&mut self, machine: usize) {
        self.machines.probed_at[machine] = self.now;
        self.probes_in_flight += 1;
        self.host.probe(machine);
    }

    /// Planners share the probes that a machine bears.
    fn probe_interval_us(&self) -> i64 {
        (PROBE_INTERVAL_US as f64 * (self.setting("nInstances") / FULL_RATE_PROBERS).max(1.0)) as i64
    }

    /// Whether there are so many planners that none can keep up with the whole fleet's reports.
    pub(super) fn fleet_outruns_probes(&self) -> bool {
        self.probe_interval_us() >= REPORT_STALE_US
    }
}
