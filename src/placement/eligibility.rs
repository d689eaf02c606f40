//! Whether a task may go to a machine at all, before it is asked whether it fits.
use super::Planner;
use crate::host::{text, Host, Location};

impl<H: Host> Planner<H> {
    /// The rules for the task and the health of the machine.
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
        let on = |other: usize| self.own_tasks_on(other).filter(|task| task.service == service).count();
        let spread = rules.spread.as_str();
        let level = |(_, zone, cell): Location| if spread == "cell" { cell } else { zone };
        let location = |machine: usize| self.machines.location[machine];
        let is_near = |other: &usize| level(location(*other)) == level(location(machine));
        let together = match spread {
            "machine" => on(machine),
            "cell" | "zone" => (0..self.machines.listed.len()).filter(is_near).map(on).sum(),
            _ => return self.slow_start_allows(machine),
        };
        together < rules.max_together && self.slow_start_allows(machine)
    }

    /// Rule 2: where an attempt may have run, a further one must be harmless.
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
