//! Invariant 8: a rolling restart drains no more than so many machines at once, and none of them twice.
use crate::InvariantChecker;
use std::collections::{BTreeMap, HashSet};

/// A rolling restart, by what machines were told.
#[derive(Debug, Default)]
pub(crate) struct RollingRestart {
    at_once: usize,
    since: i64,
    machines: Vec<String>,
    /// Machines that it drains now.
    drained: HashSet<String>,
    /// How often each was drained anew.
    drain_counts: BTreeMap<String, usize>,
    /// When each first started anew since the restart began.
    restarted: BTreeMap<String, i64>,
}

impl RollingRestart {
    pub(crate) fn machine_started(&mut self, at_us: i64, machine: &str) {
        self.drained.remove(machine);
        if self.machines.iter().any(|known| known == machine) {
            self.restarted.entry(machine.to_owned()).or_insert(at_us);
        }
    }
}

impl InvariantChecker {
    /// Operators start a rolling restart of a zone's machines, `at_once` of them at a time.
    pub fn rolling_restart_started(&mut self, at_us: i64, at_once: usize, zone: &str) {
        let of_zone = self.locations.iter().filter(|(_, location)| location.zone == zone);
        let machines = of_zone.map(|(machine, _)| machine.clone()).collect();
        self.rolling_restart =
            Some(RollingRestart { at_once, since: at_us, machines, ..RollingRestart::default() });
    }

    /// A machine followed the rolling restart's order to drain, or to take work again.
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
        let coordinator = (String::from("the roll's conductor"), 0);
        if count > 1 {
            let text = format!("drained for the {count}. time in one roll");
            self.report(8, at_us, &coordinator, machine, text);
        }
        if drained > most {
            let text = format!("{drained} machines drained at once; at most {most}");
            self.report(8, at_us, &coordinator, machine, text);
        }
    }

    /// Machines of the rolling restart that have not restarted since it began.
    pub fn machines_not_restarted(&self) -> Vec<String> {
        let Some(restart) = &self.rolling_restart else { return Vec::new() };
        let missing = restart.machines.iter().filter(|machine| !restart.restarted.contains_key(*machine));
        missing.cloned().collect()
    }

    /// From the beginning of the rolling restart to the last restart that it was to bring, in microseconds.
    pub fn rolling_restart_us(&self) -> Option<i64> {
        let restart = self.rolling_restart.as_ref()?;
        Some(restart.restarted.values().max()? - restart.since)
    }
}
