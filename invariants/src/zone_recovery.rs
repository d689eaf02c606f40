//! Invariant 10: launches go to no more machines of a recovering zone than the current step of its
//! recovery ramp allows. The time since the zone came back determines the highest possible step;
//! the planners' ramp may be slower.
use crate::{Incarnation, InvariantChecker};
use std::collections::HashSet;

/// Steps of the ramp: the end of each, in microseconds after the zone came back, and the fraction
/// of the zone's machines that may get launches until then.
const STEPS: [(i64, f64); 4] = [(2_000_000, 0.0), (5_000_000, 0.1), (8_000_000, 0.3), (11_000_000, 0.6)];

/// A zone whose machines are back after a failure.
pub(crate) struct ZoneRecovery {
    /// When the zone came back, in microseconds.
    since: i64,
    /// Machines that got launches since then.
    used: HashSet<String>,
}

impl InvariantChecker {
    /// Records that the machines of a zone are back after all planners had declared the zone
    /// failed.
    pub fn zone_recovered(&mut self, at_us: i64, zone: &str) {
        self.recoveries.insert(zone.to_owned(), ZoneRecovery { since: at_us, used: HashSet::new() });
    }

    /// Reports a launch on more machines of a recovering zone than its step allows.
    pub(crate) fn check_zone_recovery(&mut self, at_us: i64, machine: &str, planner: &Incarnation) {
        let Some(zone) = self.locations.get(machine).map(|location| location.zone.clone()) else { return };
        let Some(recovery) = self.recoveries.get_mut(&zone) else { return };
        let since = recovery.since;
        let tolerance = self.config.reorder_tolerance_us;
        let step = STEPS.iter().find(|(until, _)| at_us < since + until - tolerance);
        let Some((_, fraction)) = step else { return };
        recovery.used.insert(machine.to_owned());
        let used = recovery.used.len();
        let machines = self.locations.values().filter(|location| location.zone == zone).count();
        let most = (fraction * machines as f64).ceil() as usize;
        if used > most {
            let after_ms = (at_us - since) / 1000;
            let text = format!(
                "attempts on {used} machines of zone {zone} {after_ms} ms after the zone came back; at most \
                 {most} allowed at this step of the recovery ramp"
            );
            self.report(10, at_us, planner, machine, text);
        }
    }
}
