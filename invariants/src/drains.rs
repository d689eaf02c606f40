//! Invariant 3: a planner launches nothing on a machine once a grace period has passed since it was
//! notified that the machine drains or is gone.
use crate::launches::LaunchArrival;
use crate::{Incarnation, InvariantChecker};
use basaltpitch_agent::wire::{List, Readiness};
use std::collections::{HashMap, HashSet};

/// Sender of a drain notice about a machine. A sender can withdraw its own notices only.
#[derive(Clone, Copy)]
pub(crate) enum NoticeSource {
    Registry,
    Machine,
}

/// The notices about draining or removed machines that planners received.
#[derive(Default)]
pub(crate) struct DrainNotices {
    /// By planner and machine: when each source sent its notice, in microseconds; `None`: no notice
    /// of that source is in force.
    since: HashMap<(Incarnation, String), [Option<i64>; 2]>,
    /// By planner: the machines that the registry last listed to it as ready.
    listed: HashMap<Incarnation, HashSet<String>>,
}

impl DrainNotices {
    /// Records the latest notice of a source; `drains_since` of `None` withdraws it. A repeated
    /// notice keeps the time of the first one.
    pub(crate) fn notice(
        &mut self,
        planner: &Incarnation,
        machine: &str,
        source: NoticeSource,
        drains_since: Option<i64>,
    ) {
        let key = (planner.clone(), machine.to_owned());
        let notice = &mut self.since.entry(key).or_default()[source as usize];
        *notice = drains_since.map(|at| notice.unwrap_or(at));
    }

    /// Drops all notices about a machine, because it restarted.
    pub(crate) fn forget_machine(&mut self, machine: &str) {
        self.since.retain(|(_, known), _| known != machine);
    }

    /// Returns when the planner first received a notice that is still in force.
    fn first(&self, planner: &Incarnation, machine: &str) -> Option<i64> {
        let notices = self.since.get(&(planner.clone(), machine.to_owned()))?;
        notices.iter().flatten().min().copied()
    }
}

impl InvariantChecker {
    /// Records that a machine list of the registry was written to a planner's socket.
    pub fn registry_sent(&mut self, at_us: i64, planner: &Incarnation, list: &List) {
        let mut ready_machines = HashSet::new();
        for entry in &list.entries {
            let ready = entry.readiness == Readiness::Ready as i32;
            let since = (!ready).then_some(at_us);
            self.drains.notice(planner, &entry.machine, NoticeSource::Registry, since);
            if ready {
                ready_machines.insert(entry.machine.clone());
            }
        }
        let listed = self.drains.listed.entry(planner.clone()).or_default();
        if list.whole {
            let gone: Vec<String> = listed.difference(&ready_machines).cloned().collect();
            *listed = ready_machines;
            for machine in gone {
                self.drains.notice(planner, &machine, NoticeSource::Registry, Some(at_us));
            }
        } else {
            listed.extend(ready_machines);
        }
    }

    /// Reports a launch on a machine that the planner knows to drain or to be gone.
    pub(crate) fn check_drain(&mut self, arrival: &LaunchArrival) {
        let LaunchArrival { at_us, machine, planner, launch, late, .. } = *arrival;
        let allowed = self.config.drain_grace_us + self.config.reorder_tolerance_us;
        let since = self.drains.first(planner, machine);
        if let Some(since) = since.filter(|since| !late && at_us > since + allowed) {
            let text = format!(
                "attempt on {machine} launched {} ms after the planner was notified that the \
                 machine is draining or gone; none may follow after the drain grace period",
                (at_us - since) / 1000
            );
            self.report(3, at_us, planner, &launch.key, text);
        }
    }
}
