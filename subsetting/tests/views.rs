//! Explores every state of two or three planners whose views of the machine list and of the slots
//! are late, and which may be suspended and resumed: every machine that has been listed for longer
//! than the maximum delay is in the subset of a running planner.
use basaltpitch_subsetting::{name_hash, LinkRole, Subset, SubsetConfig};
use pathfinding::directed::bfs::bfs_reach;
use std::collections::VecDeque;

/// Bounds and settings of an exploration. Times are in ticks of the simulation.
#[derive(Clone, Copy)]
struct Case {
    planners: usize,
    machines: usize,
    replicas: usize,
    /// Maximum delay of a report; reports of one kind arrive in order.
    max_delay: i64,
    vacant_after: i64,
    release_delay: i64,
    /// Maximum number of changes of the machine list.
    changes: u32,
    /// Maximum number of suspensions of a planner.
    suspensions: u32,
    ticks: i64,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
enum Report {
    MachineListed(usize, bool),
    SlotHeld(usize, bool),
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct Planner {
    subset: Subset,
    /// Reports in transit about machines and about slots, with the latest tick of arrival.
    inboxes: [VecDeque<(i64, Report)>; 2],
    slot_held: Vec<bool>,
    /// Tick at which the planner was suspended; `None` while it runs.
    suspended_at: Option<i64>,
    /// Tick at which the planner last resumed; reports that it missed arrive within `max_delay` of
    /// it.
    resumed_at: Option<i64>,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now: i64,
    planners: Vec<Planner>,
    /// Tick since which each machine is listed; `None` for one that is not.
    listed: Vec<Option<i64>>,
    changes: u32,
    suspensions: u32,
    max_delay: i64,
}

fn name(m: usize) -> u64 {
    name_hash(&format!("machine-{m}"))
}

impl World {
    fn new(case: &Case) -> World {
        let slots: Vec<u64> = (0..case.planners).map(|s| name_hash(&format!("planner-{s}"))).collect();
        let planner = |slot| {
            let config = SubsetConfig {
                replicas: case.replicas,
                slots: slots.clone(),
                own_slot: slot,
                vacant_after_us: case.vacant_after,
                release_delay_us: case.release_delay,
                extra_link_idle_us: 1,
                max_extra_links: 1,
            };
            let mut subset = Subset::new(0, config);
            (0..case.machines).for_each(|m| {
                subset.machine_listed(m, name(m), 0, 0);
                subset.inventory_known(m);
            });
            subset.advance(0, |_| false);
            while subset.next_changed().is_some() {}
            let slot_held = vec![true; case.planners];
            Planner { subset, inboxes: Default::default(), slot_held, suspended_at: None, resumed_at: None }
        };
        World {
            now: 0,
            planners: (0..case.planners).map(planner).collect(),
            listed: vec![Some(-case.max_delay - 1); case.machines],
            changes: case.changes,
            suspensions: case.suspensions,
            max_delay: case.max_delay,
        }
    }

    fn send(&mut self, report: Report) {
        let kind = usize::from(matches!(report, Report::SlotHeld(..)));
        let at = self.now + self.max_delay;
        for (i, p) in self.planners.iter_mut().enumerate().filter(|p| report != Report::SlotHeld(p.0, false))
        {
            if report != Report::SlotHeld(i, true) {
                p.inboxes[kind].push_back((at, report));
            }
        }
    }

    fn receive(&mut self, i: usize, kind: usize) {
        let p = &mut self.planners[i];
        match p.inboxes[kind].pop_front() {
            Some((_, Report::MachineListed(m, true))) => {
                p.subset.machine_listed(m, name(m), 0, 0);
            }
            Some((_, Report::MachineListed(m, false))) => p.subset.machine_unlisted(m),
            Some((_, Report::SlotHeld(s, held))) => p.slot_held[s] = held,
            None => {}
        }
        self.advance(i);
    }

    /// Applies the slot reports that a planner received, and advances its subset to the current
    /// tick.
    fn advance(&mut self, i: usize) {
        let (now, p) = (self.now, &mut self.planners[i]);
        (0..p.slot_held.len()).for_each(|s| p.subset.set_slot_held(s, p.slot_held[s]));
        p.subset.advance(now, |_| false);
        while p.subset.next_changed().is_some() {}
    }

    fn successors(&self, case: &Case) -> Vec<World> {
        let mut successors = Vec::new();
        let overdue = |p: &Planner| {
            p.suspended_at.is_none() && p.inboxes.iter().any(|x| x.front().is_some_and(|w| w.0 <= self.now))
        };
        if self.now < case.ticks && !self.planners.iter().any(overdue) {
            let mut next = self.clone();
            next.now += 1;
            (0..case.planners)
                .filter(|i| self.planners[*i].suspended_at.is_none())
                .for_each(|i| next.advance(i));
            successors.push(next);
        }
        for (i, p) in self.planners.iter().enumerate() {
            for kind in (0..2).filter(|k| p.suspended_at.is_none() && !p.inboxes[*k].is_empty()) {
                let mut next = self.clone();
                next.receive(i, kind);
                successors.push(next);
            }
            if p.suspended_at.is_some() {
                let mut next = self.clone();
                let (now, resumed) = (self.now, &mut next.planners[i]);
                (resumed.suspended_at, resumed.resumed_at) = (None, Some(now));
                resumed.inboxes.iter_mut().flatten().for_each(|w| w.0 = now + case.max_delay);
                next.send(Report::SlotHeld(i, true));
                next.advance(i);
                successors.push(next);
            } else if self.suspensions > 0 && self.planners.iter().all(|p| p.suspended_at.is_none()) {
                let mut next = self.clone();
                next.suspensions -= 1;
                next.planners[i].suspended_at = Some(self.now);
                next.send(Report::SlotHeld(i, false));
                successors.push(next);
            }
        }
        for m in (0..case.machines).filter(|_| self.changes > 0) {
            let mut next = self.clone();
            next.changes -= 1;
            let is_added = self.listed[m].is_none();
            next.listed[m] = is_added.then_some(self.now);
            next.send(Report::MachineListed(m, is_added));
            successors.push(next);
        }
        successors
    }

    /// Returns a machine that is in no running planner's subset although it has been listed for
    /// longer than the maximum delay.
    fn find_uncovered_machine(&self, case: &Case) -> Option<usize> {
        // With one replica, the machines of a suspended planner have no other. They are taken over
        // once every planner knows that the slot has been vacant for `vacant_after`, and a resumed
        // planner must first receive the reports that it missed.
        let in_takeover = |p: &Planner| {
            p.suspended_at.is_some_and(|at| self.now <= at + case.vacant_after + case.max_delay)
                || p.resumed_at.is_some_and(|at| self.now <= at + case.max_delay)
        };
        if case.replicas == 1 && self.planners.iter().any(in_takeover) {
            return None;
        }
        let is_known_to_all = |m: &usize| self.listed[*m].is_some_and(|at| self.now > at + case.max_delay);
        let running = || self.planners.iter().filter(|p| p.suspended_at.is_none());
        (0..case.machines)
            .filter(is_known_to_all)
            .find(|m| !running().any(|p| p.subset.role(*m) == LinkRole::InSubset))
    }
}

/// Explores all states. Returns their number and, if a state violates the invariant, its tick and
/// the uncovered machine.
fn explore(case: Case) -> (usize, Option<(i64, usize)>) {
    let mut count = 0;
    for world in bfs_reach(World::new(&case), |world| world.successors(&case)) {
        count += 1;
        if let Some(m) = world.find_uncovered_machine(&case) {
            return (count, Some((world.now, m)));
        }
    }
    (count, None)
}

/// Only the machine list changes, twice, and its reports are late.
const LIST_CHANGES: Case = Case {
    planners: 2,
    machines: 3,
    replicas: 1,
    max_delay: 2,
    vacant_after: 3,
    release_delay: 4,
    changes: 2,
    suspensions: 0,
    ticks: 9,
};
/// One of three planners is suspended and resumes while the machine list changes once.
const SUSPENSION: Case = Case {
    planners: 3,
    machines: 2,
    max_delay: 1,
    vacant_after: 2,
    release_delay: 3,
    changes: 1,
    suspensions: 1,
    ticks: 9,
    ..LIST_CHANGES
};

#[test]
fn every_machine_is_covered_while_views_are_late_and_planners_are_suspended() {
    for case in [LIST_CHANGES, SUSPENSION, Case { replicas: 2, ..SUSPENSION }] {
        let (states, violation) = explore(case);
        println!("{states} states");
        assert!(violation.is_none() && states > 1000, "{states} states, {violation:?}");
    }
}

/// The exploration can detect a violation: without a release delay, a machine is in no subset while
/// the planners' views differ.
#[test]
fn detects_uncovered_machine_without_release_delay() {
    for case in [LIST_CHANGES, SUSPENSION] {
        assert!(explore(Case { release_delay: 0, ..case }).1.is_some());
    }
}
