//! Invariant 8: a rolling restart drains no more machines at once than its limit, and no machine
//! twice.
use crate::InvariantChecker;
use std::collections::{BTreeMap, HashSet};

/// A rolling restart, from the drain orders that machines received.
#[derive(Debug, Default)]
pub(crate) struct RollingRestart {
    /// The maximum number of machines that drain at once.
    at_once: usize,
    /// When the rolling restart began, in microseconds.
    since: i64,
    /// The names of all machines of the zone that is restarted.
    machines: Vec<String>,
    /// Machines that are draining now.
    drained: HashSet<String>,
    /// How often each machine began to drain.
    drain_counts: BTreeMap<String, usize>,
    /// When each machine first restarted after the rolling restart began, in microseconds.
    restarted: BTreeMap<String, i64>,
}

impl RollingRestart {
    /// Records that a machine restarted.
    pub(crate) fn machine_started(&mut self, at_us: i64, machine: &str) {
        self.drained.remove(machine);
        if self.machines.iter().any(|known| known == machine) {
            self.restarted.entry(machine.to_owned()).or_insert(at_us);
        }
    }
}

impl InvariantChecker {
    /// Records the start of a rolling restart of a zone's machines, `at_once` of them at a time.
    pub fn rolling_restart_started(&mut self, at_us: i64, at_once: usize, zone: &str) {
        let of_zone = self.locations.iter().filter(|(_, location)| location.zone == zone);
        let machines = of_zone.map(|(machine, _)| machine.clone()).collect();
        self.rolling_restart =
            Some(RollingRestart { at_once, since: at_us, machines, ..RollingRestart::default() });
    }

    /// Records and checks that a machine followed the rolling restart's order to drain (`on`), or
    /// to accept tasks again.
    pub fn rolling_restart_drained(&mut self, at_us: i64, machine: &str, on: bool) {
        let Some(restart) = &mut self.rolling_restart else { return };
        if !on {
            restart.drained.remove(machine);
            return;
        }
        if !restart.drained.insert(machine.to_owned()) {
            return;
        }
        let count = restart.drain_counts.entry(machine.to_owned()).or_default();
        *count += 1;
        let (count, drained, most) = (*count, restart.drained.len(), restart.at_once);
        let coordinator = (String::from("the rolling restart's coordinator"), 0);
        if count > 1 {
            let text =
                format!("drained {count} times in one rolling restart; each machine may be drained once");
            self.report(8, at_us, &coordinator, machine, text);
        }
        if drained > most {
            let text = format!("{drained} machines draining at once; at most {most} allowed");
            self.report(8, at_us, &coordinator, machine, text);
        }
    }

    /// Returns the machines of the rolling restart that have not restarted since it began.
    pub fn machines_not_restarted(&self) -> Vec<String> {
        let Some(restart) = &self.rolling_restart else { return Vec::new() };
        let missing = restart.machines.iter().filter(|machine| !restart.restarted.contains_key(*machine));
        missing.cloned().collect()
    }

    /// Returns the time from the start of the rolling restart to the last first restart of one of
    /// its machines, in microseconds; `None` before any machine restarted.
    pub fn rolling_restart_us(&self) -> Option<i64> {
        let restart = self.rolling_restart.as_ref()?;
        Some(restart.restarted.values().max()? - restart.since)
    }
}
