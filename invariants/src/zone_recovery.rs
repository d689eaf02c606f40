//! Invariant 10: launches go to no more of a recovered zone's machines than its step allows. How far the
//! recovery is at the most follows from when the zone came back; it may be slower.
use crate::{Incarnation, InvariantChecker};
use std::collections::HashSet;

/// Until so many microseconds after the zone was back: the part of its machines that are launched on.
const STEPS: [(i64, f64); 4] = [(2_000_000, 0.0), (5_000_000, 0.1), (8_000_000, 0.3), (11_000_000, 0.6)];

/// A zone that is back.
pub(crate) struct ZoneRecovery {
    since: i64,
    /// Machines that were launched on since.
    used: HashSet<String>,
}

impl InvariantChecker {
    /// The machines of a zone are back, after all planners had declared it failed.
    pub fn zone_recovered(&mut self, at_us: i64, zone: &str) {
        self.recoveries.insert(zone.to_owned(), ZoneRecovery { since: at_us, used: HashSet::new() });
    }

    pub(crate) fn check_zone_recovery(&mut self, at_us: i64, machine: &str, planner: &Incarnation) {
        let Some(zone) = self.locations.get(machine).map(|location| location.zone.clone()) else { return };
        let Some(recovery) = self.recoveries.get_mut(&zone) else { return };
        let since = recovery.since;
        let tolerance = self.config.reorder_tolerance_us;
        let step = STEPS.iter().find(|(until, _)| at_us < since + until - tolerance);
        let Some((_, part)) = step else { return };
        recovery.used.insert(machine.to_owned());
        let used = recovery.used.len();
        let machines = self.locations.values().filter(|location| location.zone == zone).count();
        let most = (part * machines as f64).ceil() as usize;
        if used > most {
            let after_ms = (at_us - since) / 1000;
            let text = format!(
                "launches on {used} machines of {zone} {after_ms} ms after it was back; at most {most}"
            );
            self.report(10, at_us, planner, machine, text);
        }
    }
}
