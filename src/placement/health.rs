//! Health checks: when machines are probed, and for how long a failing machine is ejected.
use super::{Planner, TICK_US};
use crate::host::{AttemptOutcome, Host};
use std::cmp::Reverse;

/// Time for which a failure ejects a machine.
pub(super) const EJECTION_US: i64 = 3_000_000;
/// Time for which a refusal for lack of capacity ejects a machine.
pub(super) const REFUSAL_EJECTION_US: i64 = 1_000_000;
/// Interval between probes of a machine by one planner, if at most `FULL_RATE_PROBERS` planners
/// probe.
const PROBE_INTERVAL_US: i64 = 1_000_000;
/// Number of planners that may each probe every machine at `PROBE_INTERVAL_US`. With more planners,
/// each probes less often, so that the rate at a machine does not rise further.
const FULL_RATE_PROBERS: f64 = 4.0;
/// Age from which a report is stale.
pub(super) const REPORT_STALE_US: i64 = 10_000_000;
/// Number of machines with the highest affinity to a task's service that are probed before the task
/// is placed.
const PROBED_AFFINITY_MACHINES: usize = 4;
/// Time after a machine's last report or probe during which it is not probed again for a new task.
const AFFINITY_REPORT_FRESH_US: i64 = 2_500_000;

impl<H: Host> Planner<H> {
    /// Handles the end of a probe of a machine. `report` is the machine's usage report, empty for
    /// none.
    pub fn probe_finished(&mut self, machine: usize, outcome: AttemptOutcome, report: &[f64]) {
        self.ensure_machine(machine);
        self.record_contact(machine, outcome);
        if outcome == AttemptOutcome::Ended {
            self.read_report(machine, report);
            self.update_probes_return_reports(!report.is_empty());
        } else if outcome != AttemptOutcome::Refused {
            self.machines.ejected_until[machine] = self.now + EJECTION_US;
        }
        self.probes_in_flight = self.probes_in_flight.saturating_sub(1);
        if self.probes_in_flight == 0 {
            self.serve_waiting();
        }
    }

    /// Records whether the answer to a probe contained a report.
    ///
    /// Probing the whole fleet is only worth its cost if answers contain reports. The first report
    /// therefore starts regular probes of all machines. Machines that have just started have no
    /// report yet, so after an answer without one, a sample probe is due again once this planner is
    /// twice as old, and at the latest after the time in which a report becomes stale.
    fn update_probes_return_reports(&mut self, reported: bool) {
        if reported && !self.probes_return_reports {
            (self.probes_return_reports, self.next_report_check_at) = (true, 0);
            self.probe_due_machines();
        } else if !self.probes_return_reports {
            self.next_report_check_at =
                self.now + (self.now - self.started_at).clamp(TICK_US, REPORT_STALE_US);
        }
    }

    /// Records the time of contact with a machine, if only the machine itself can have caused the
    /// outcome.
    pub(super) fn record_contact(&mut self, machine: usize, outcome: AttemptOutcome) {
        if matches!(outcome, AttemptOutcome::Ended | AttemptOutcome::Error | AttemptOutcome::Refused) {
            self.machines.last_contact_at[machine] = self.now;
        }
    }

    /// Probes the ready machines whose last probe and last contact are at least one probe interval
    /// ago. Once answers contain reports, only a report counts as contact. Until then, only
    /// machines with own tasks are probed, plus one sample machine at the times set by
    /// `update_probes_return_reports`. Sends no probes if reports expire between probes.
    pub(super) fn probe_due_machines(&mut self) {
        let interval = self.probe_interval_us();
        if interval >= REPORT_STALE_US || self.setting("permissions.probes") == 0.0 {
            return;
        }
        let machines = &self.machines;
        let last_contact_at =
            if self.probes_return_reports { &machines.reported_at } else { &machines.last_contact_at };
        let silence = |machine: usize| self.now - machines.probed_at[machine].max(last_contact_at[machine]);
        let mut due: Vec<usize> =
            self.ready_machines().filter(|&machine| silence(machine) >= interval).collect();
        if !self.probes_return_reports {
            let sample_index = self.setting("myNumber") as usize % due.len().max(1);
            let sample = due.get(sample_index).copied();
            due.retain(|&machine| !self.machines.own_tasks[machine].is_empty());
            due.extend(sample.filter(|machine| {
                self.probes_in_flight == 0 && self.now >= self.next_report_check_at && !due.contains(machine)
            }));
        }
        due.into_iter().for_each(|machine| self.probe(machine));
    }

    /// Probes the machines with the highest affinity to a service when one of its tasks arrives, if
    /// there are too many planners for regular probes. Returns whether any probe is in flight, in
    /// which case the task waits for its answer.
    pub(super) fn probe_affinity_machines(&mut self, service: usize) -> bool {
        if self.setting("permissions.probes") == 0.0 || self.probe_interval_us() < REPORT_STALE_US {
            return false;
        }
        let mut machines: Vec<usize> = self
            .ready_machines()
            .filter(|&machine| self.now >= self.machines.ejected_until[machine])
            .collect();
        machines.sort_by_cached_key(|&machine| Reverse(self.affinity(service, machine)));
        machines.truncate(PROBED_AFFINITY_MACHINES);
        machines.retain(|&machine| {
            let contacted_at = self.machines.reported_at[machine].max(self.machines.probed_at[machine]);
            self.now - contacted_at >= AFFINITY_REPORT_FRESH_US
        });
        machines.iter().for_each(|&machine| self.probe(machine));
        self.probes_in_flight > 0
    }

    /// Sends a probe to a machine.
    fn probe(&mut self, machine: usize) {
        self.machines.probed_at[machine] = self.now;
        self.probes_in_flight += 1;
        self.host.probe(machine);
    }

    /// Returns the interval between probes of a machine by this planner, in microseconds. It grows
    /// with the number of planners, which limits the total rate of probes at each machine.
    fn probe_interval_us(&self) -> i64 {
        (PROBE_INTERVAL_US as f64 * (self.setting("nInstances") / FULL_RATE_PROBERS).max(1.0)) as i64
    }

    /// Returns whether there are so many planners that a report is stale before the next regular
    /// probe. Regular probes are then not sent.
    pub(super) fn reports_expire_between_probes(&self) -> bool {
        self.probe_interval_us() >= REPORT_STALE_US
    }
}
