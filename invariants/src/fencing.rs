//! Invariant 7: of all holders of a planner's name one acts. What an older one does after its successor acted
//! takes no effect.
use crate::{Incarnation, InvariantChecker};
use basaltpitch_agent::wire::LaunchId;
use std::collections::HashMap;

/// The highest epoch that was seen, and when it was seen first.
type NewestEpoch = (u64, i64);

/// Which incarnations of planners showed themselves.
#[derive(Default)]
pub(crate) struct Epochs {
    /// By planner's name and machine: the newest epoch that the machine was greeted with.
    greeted: HashMap<(String, String), NewestEpoch>,
    /// By planner's name: the newest epoch under which anything was launched.
    acted: HashMap<String, NewestEpoch>,
    /// From a planner's death to the first launch of its successor, in microseconds.
    takeover_times_us: Vec<i64>,
}

impl Epochs {
    /// A machine received a planner's hello.
    pub(crate) fn greeted(&mut self, at_us: i64, machine: &str, planner: &Incarnation) {
        let newest = self.greeted.entry((planner.0.clone(), machine.to_owned())).or_default();
        if planner.1 > newest.0 {
            *newest = (planner.1, at_us);
        }
    }

    /// A planner launched something. `killed_at`: when the incarnation of an epoch was killed.
    pub(crate) fn acted(
        &mut self,
        at_us: i64,
        planner: &Incarnation,
        killed_at: impl Fn(u64) -> Option<i64>,
    ) {
        let newest = self.acted.entry(planner.0.clone()).or_default();
        if planner.1 > newest.0 {
            self.takeover_times_us.extend(killed_at(newest.0).map(|died| at_us - died));
            *newest = (planner.1, at_us);
        }
    }
}

impl InvariantChecker {
    /// From each planner's death to the first launch of its successor, in microseconds.
    pub fn takeover_times_us(&self) -> &[i64] {
        &self.epochs.takeover_times_us
    }

    /// A machine accepts a planner under no epoch that is lower than one it was greeted with before.
    pub(crate) fn check_greeting(&mut self, at_us: i64, machine: &str, planner: &Incarnation) {
        let key = (planner.0.clone(), machine.to_owned());
        let (epoch, since) = self.epochs.greeted.get(&key).copied().unwrap_or_default();
        if planner.1 < epoch && at_us > since + self.config.reorder_tolerance_us {
            let text = format!("taken in {} ms after epoch {epoch} was", (at_us - since) / 1000);
            self.report(7, at_us, planner, machine, text);
        }
    }

    /// What an older holder of a planner's name launches after its successor acted is not accepted.
    pub(crate) fn check_fence(
        &mut self,
        at_us: i64,
        machine: &str,
        planner: &Incarnation,
        id: Option<LaunchId>,
    ) {
        let Some(id) = id else { return };
        let launcher = (planner.0.clone(), id.epoch);
        let newest = self.epochs.acted.get(&launcher.0).copied();
        let Some((epoch, since)) = newest.filter(|newest| id.epoch < newest.0) else { return };
        let sent = self.launches.get(&launcher, id.number);
        let tolerance = self.config.reorder_tolerance_us;
        if let Some(sent) = sent.filter(|sent| !sent.late && sent.at_us > since + tolerance) {
            let (number, after_ms) = (sent.number, (sent.at_us - since) / 1000);
            let text =
                format!("launch {number} taken on {machine}, sent {after_ms} ms after epoch {epoch} acted");
            self.report(7, at_us, &launcher, machine, text);
        }
    }
}
