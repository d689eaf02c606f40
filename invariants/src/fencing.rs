//! Invariant 7: of the processes that held a planner's name, only the latest acts. Launches that an
//! older epoch sends after a newer one has launched something have no effect.
use crate::{Incarnation, InvariantChecker};
use basaltpitch_agent::wire::LaunchId;
use std::collections::HashMap;

/// The highest epoch observed, and the time of its first observation in microseconds.
type NewestEpoch = (u64, i64);

/// The epochs under which planners greeted machines and launched tasks.
#[derive(Default)]
pub(crate) struct Epochs {
    /// By planner's name and machine: the newest epoch of which the machine received a hello.
    greeted: HashMap<(String, String), NewestEpoch>,
    /// By planner's name: the newest epoch that launched a task.
    acted: HashMap<String, NewestEpoch>,
    /// Times from the recorded kill of a planner's process to its successor's first launch,
    /// in microseconds.
    takeover_times_us: Vec<i64>,
}

impl Epochs {
    /// Records that a machine received a planner's hello.
    pub(crate) fn greeted(&mut self, at_us: i64, machine: &str, planner: &Incarnation) {
        let newest = self.greeted.entry((planner.0.clone(), machine.to_owned())).or_default();
        if planner.1 > newest.0 {
            *newest = (planner.1, at_us);
        }
    }

    /// Records a planner's launch. `killed_at` returns when the process of an epoch was killed.
    pub(crate) fn acted(
        &mut self,
        at_us: i64,
        planner: &Incarnation,
        killed_at: impl Fn(u64) -> Option<i64>,
    ) {
        let newest = self.acted.entry(planner.0.clone()).or_default();
        if planner.1 > newest.0 {
            self.takeover_times_us.extend(killed_at(newest.0).map(|killed| at_us - killed));
            *newest = (planner.1, at_us);
        }
    }
}

impl InvariantChecker {
    /// Returns the times from the recorded kill of a planner's process to its successor's first
    /// launch, in microseconds.
    pub fn takeover_times_us(&self) -> &[i64] {
        &self.epochs.takeover_times_us
    }

    /// Reports a machine that accepts a planner's connection under an epoch that is lower than one
    /// of which it received a hello before.
    pub(crate) fn check_greeting(&mut self, at_us: i64, machine: &str, planner: &Incarnation) {
        let key = (planner.0.clone(), machine.to_owned());
        let (epoch, since) = self.epochs.greeted.get(&key).copied().unwrap_or_default();
        if planner.1 < epoch && at_us > since + self.config.reorder_tolerance_us {
            let text = format!(
                "connection accepted by the machine {} ms after the hello of epoch {epoch}; an older epoch \
                 must be refused",
                (at_us - since) / 1000
            );
            self.report(7, at_us, planner, machine, text);
        }
    }

    /// Reports a machine that accepts a launch which an older epoch sent after a newer epoch of the
    /// same planner had launched something.
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
            let text = format!(
                "attempt {number}, accepted by {machine}, was launched {after_ms} ms after the first launch \
                 of epoch {epoch}; launches of an older epoch must have no effect from then on"
            );
            self.report(7, at_us, &launcher, machine, text);
        }
    }
}
