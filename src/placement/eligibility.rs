//! Eligibility: whether a task may run on a machine at all. Checked before the machine's capacity.
use super::Planner;
use crate::host::{text, Host, Location};

impl<H: Host> Planner<H> {
    /// Returns whether a task may be placed on a machine, regardless of capacity. Checks the
    /// required kind, the installation's constraints, retry safety, ejection, earlier failed
    /// attempts, the spread limit and slow start.
    pub(super) fn is_eligible(&self, task: usize, machine: usize) -> bool {
        let candidate = &self.tasks[task];
        let rules = &self.frameworks[candidate.framework];
        let kind = rules.required_kind;
        let wrong_kind = kind >= 0.0 && kind as usize != self.machines.location[machine].0;
        if wrong_kind || !self.host.allows(task, machine) || !self.retry_allowed(task, machine) {
            return false;
        }
        if self.now < self.machines.ejected_until[machine] || candidate.tried.contains(&machine) {
            return false;
        }
        let service = candidate.service;
        let count_on = |other: usize| self.own_tasks_on(other).filter(|task| task.service == service).count();
        let spread = rules.spread.as_str();
        let level = |(_, zone, cell): Location| if spread == "cell" { cell } else { zone };
        let location = |machine: usize| self.machines.location[machine];
        let shares_level = |other: &usize| level(location(*other)) == level(location(machine));
        let running_together = match spread {
            "machine" => count_on(machine),
            "cell" | "zone" => (0..self.machines.listed.len()).filter(shares_level).map(count_on).sum(),
            _ => return self.slow_start_allows(machine),
        };
        running_together < rules.max_together && self.slow_start_allows(machine)
    }

    /// Returns whether a further attempt on the machine is safe, given that an earlier attempt may
    /// have run. A retryable task may always run twice. A deduplicated task may run twice only on
    /// machines that drop duplicates of the first attempt (all machines, those of its zone, or
    /// those of its cell) and only if the new attempt connects within the deduplication window,
    /// which begins when the first attempt was sent. Any other task may not.
    pub(super) fn retry_allowed(&self, task: usize, machine: usize) -> bool {
        let task = &self.tasks[task];
        let Some((first, sent_at)) = task.possibly_ran else { return true };
        let location = |machine: usize| self.machines.location[machine];
        let deduplicated = match self.frameworks[task.framework].semantics.as_str() {
            "retryable" => return true,
            "dedup" => match text(&self.settings, &format!("classes.{}.group", task.framework)) {
                "all" => true,
                "zone" => location(first).1 == location(machine).1,
                _ => location(first).2 == location(machine).2,
            },
            _ => false,
        };
        let connect_us = self.setting("permissions.connectTimeoutUs") as i64;
        let window_us = || self.setting(&format!("classes.{}.windowUs", task.framework)) as i64;
        deduplicated && self.now + connect_us < sent_at + window_us()
    }
}
