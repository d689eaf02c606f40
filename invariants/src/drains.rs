//! Invariant 3: no launch on a machine after the planner was told that it drains or is gone, but for a grace.
use crate::launches::LaunchArrival;
use crate::{Incarnation, InvariantChecker};
use basaltpitch_agent::wire::{List, Readiness};
use std::collections::{HashMap, HashSet};

/// Who told a planner about a machine. Each takes back its own notice only.
#[derive(Clone, Copy)]
pub(crate) enum NoticeSource {
    Registry,
    Machine,
}

/// What planners were told about machines.
#[derive(Default)]
pub(crate) struct DrainNotices {
    /// By planner and machine: since when it drains or is gone, by each source.
    since: HashMap<(Incarnation, String), [Option<i64>; 2]>,
    /// Machines that the registry last listed as ready.
    listed: HashMap<Incarnation, HashSet<String>>,
}

impl DrainNotices {
    /// What a source said last; the first time of a notice that is repeated counts.
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

    pub(crate) fn forget_machine(&mut self, machine: &str) {
        self.since.retain(|(_, known), _| known != machine);
    }

    fn first(&self, planner: &Incarnation, machine: &str) -> Option<i64> {
        let notices = self.since.get(&(planner.clone(), machine.to_owned()))?;
        notices.iter().flatten().min().copied()
    }
}

impl InvariantChecker {
    /// The registry's list is on a planner's socket.
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

    pub(crate) fn check_drain(&mut self, arrival: &LaunchArrival) {
        let LaunchArrival { at_us, machine, planner, launch, late, .. } = *arrival;
        let allowed = self.config.drain_grace_us + self.config.reorder_tolerance_us;
        let since = self.drains.first(planner, machine);
        if let Some(since) = since.filter(|since| !late && at_us > since + allowed) {
            let text = format!(
                "launched on {machine} {} ms after the planner was told that it drains or is gone",
                (at_us - since) / 1000
            );
            self.report(3, at_us, planner, &launch.key, text);
        }
    }
}
