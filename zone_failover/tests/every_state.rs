//! Explores every state that one zone and its coordinators can reach within bounds: evidence of any
//! kind at any time, decisions that are stored or lost, and a coordinator that dies between sending
//! a decision and learning that it was stored, and is succeeded. No recovery step is skipped or
//! repeated, and the decision in effect is always the stored one.
use basaltpitch_zone_failover::{
    Evidence, FailoverAction, FailoverConfig, FailoverCoordinator, FailoverDecision, ZonePhase,
};
use expect_test::expect;
use pathfinding::directed::bfs::bfs_reach;

const CONFIG: FailoverConfig =
    FailoverConfig { confirm_us: 1, settle_us: 1, step_us: 1, flap_reset_us: 9, max_hold_us: 4 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RemovedGuard {
    Nothing,
    /// A new coordinator starts with all zones healthy, whatever is stored.
    StoredDecision,
    /// A decision takes effect before it is stored, and the coordinator decides on without waiting.
    WaitForStorage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    removed: RemovedGuard,
    now: i64,
    coordinator: FailoverCoordinator,
    /// The decision that a majority has stored, and the one being sent to the voters.
    stored: FailoverDecision,
    pending: Option<FailoverDecision>,
    restarts: u32,
    changes: u32,
    /// The first violation found.
    violation: Option<&'static str>,
}

fn is_legal_change(before: ZonePhase, after: ZonePhase) -> bool {
    use ZonePhase::{Failed, Healthy, Recovering};
    match (before, after) {
        (Healthy | Recovering(_), Failed) | (Failed, Recovering(0)) | (Recovering(2), Healthy) => true,
        (Recovering(from), Recovering(to)) => to == from + 1 || to + 1 == from || from == 0 && to == 0,
        (before, after) => before == after,
    }
}

impl World {
    fn new(removed: RemovedGuard) -> Self {
        let coordinator = FailoverCoordinator::elected(0, CONFIG, 1, None);
        let stored = coordinator.decision().clone();
        World {
            removed,
            now: 0,
            coordinator,
            stored,
            pending: None,
            restarts: 0,
            changes: 0,
            violation: None,
        }
    }

    /// A majority stores the decision; the coordinator is notified or not.
    fn store_pending(&mut self, notified: bool) {
        let Some(decision) = self.pending.take() else { return };
        if !is_legal_change(self.stored.zones[0].phase, decision.zones[0].phase) {
            self.violation = Some("a recovery step is skipped");
        }
        self.stored = decision;
        if notified {
            self.coordinator.decision_stored(self.now);
        }
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        if self.now < 7 {
            let mut world = World { now: self.now + 1, ..self.clone() };
            world.coordinator.advance(world.now);
            while let Some(FailoverAction::StoreDecision(decision)) = world.coordinator.next_action() {
                if world.removed == RemovedGuard::WaitForStorage {
                    world.coordinator.decision_stored(world.now);
                }
                world.pending = Some(decision);
            }
            all.push(world);
        }
        if self.pending.is_some() {
            let mut world = self.clone();
            world.store_pending(true);
            all.push(world);
        }
        if self.changes < 3 {
            for (evidence, attempts_fail) in [
                (Evidence::Failed, false),
                (Evidence::Healthy, false),
                (Evidence::Healthy, true),
                (Evidence::Disputed, false),
            ] {
                let mut world = World { changes: self.changes + 1, ..self.clone() };
                world.coordinator.observe(world.now, 0, evidence);
                world.coordinator.observe_attempts(0, 9.0, if attempts_fail { 9.0 } else { 0.0 });
                all.push(world);
            }
        }
        // The coordinator dies; its pending decision is stored or lost.
        if self.restarts < 2 {
            for stored in [true, false] {
                let mut world = World { restarts: self.restarts + 1, ..self.clone() };
                if stored {
                    world.store_pending(false);
                }
                world.pending = None;
                let last = (world.removed != RemovedGuard::StoredDecision).then(|| world.stored.clone());
                world.coordinator = FailoverCoordinator::elected(world.now, CONFIG, 1, last);
                all.push(world);
            }
        }
        all
    }
}

fn explore(removed: RemovedGuard) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs_reach(World::new(removed), World::next) {
        states += 1;
        if let Some(violation) = world.violation {
            return Err(violation);
        }
        if world.pending.is_none() && *world.coordinator.decision() != world.stored {
            return Err("the decision in effect is not the stored one");
        }
    }
    Ok(states)
}

#[test]
fn no_recovery_step_is_skipped_or_repeated_in_every_state() {
    let states = explore(RemovedGuard::Nothing);
    assert!(states.is_ok_and(|states| states > 10_000), "{states:?}");
}

#[test]
fn checks_fail_without_each_guard() {
    assert_eq!(explore(RemovedGuard::StoredDecision), Err("the decision in effect is not the stored one"));
    assert_eq!(explore(RemovedGuard::WaitForStorage), Err("a recovery step is skipped"));
}

/// Returns the name of a phase in the table.
fn phase_name(phase: ZonePhase) -> String {
    match phase {
        ZonePhase::Healthy => "Healthy".into(),
        ZonePhase::Failed => "Failed".into(),
        ZonePhase::Recovering(step) => format!("Recovering({step})"),
    }
}

/// Guards the timing of a whole recovery with a flap and a step back in it.
#[test]
fn zone_fails_recovers_by_steps_and_is_held_longer_after_a_flap() {
    let mut coordinator = FailoverCoordinator::elected(0, FailoverConfig::DEFAULT, 2, None);
    let mut log = String::new();
    let mut before = coordinator.decision().clone();
    for ms in (0..60_000i64).step_by(100) {
        let now = ms * 1000;
        let fails = (1_000..6_000).contains(&ms) || (13_000..16_000).contains(&ms);
        coordinator.observe(now, 1, if fails { Evidence::Failed } else { Evidence::Healthy });
        coordinator.observe_attempts(1, 9.0, if (25_000..27_000).contains(&ms) { 5.0 } else { 4.0 });
        coordinator.observe(now, 0, if ms < 2_000 { Evidence::Disputed } else { Evidence::Healthy });
        coordinator.advance(now);
        while let Some(FailoverAction::StoreDecision(_)) = coordinator.next_action() {
            coordinator.decision_stored(now);
        }
        if *coordinator.decision() != before {
            before = coordinator.decision().clone();
            let zone = before.zones[1];
            log += &format!(
                "{:4.1} s {}, flaps {}, steps back {}\n",
                ms as f64 / 1000.0,
                phase_name(zone.phase),
                zone.flaps,
                zone.steps_back
            );
            assert_eq!(before.zones[0].phase, ZonePhase::Healthy, "disputed evidence does not fail a zone");
        }
    }
    expect![[r#"
         2.5 s Failed, flaps 0, steps back 0
         8.0 s Recovering(0), flaps 0, steps back 0
        11.0 s Recovering(1), flaps 0, steps back 0
        14.5 s Failed, flaps 1, steps back 0
        20.0 s Recovering(0), flaps 1, steps back 0
        23.0 s Recovering(1), flaps 1, steps back 0
        26.0 s Recovering(0), flaps 1, steps back 1
        32.0 s Recovering(1), flaps 1, steps back 1
        38.0 s Recovering(2), flaps 1, steps back 1
        44.0 s Healthy, flaps 1, steps back 1
    "#]]
    .assert_eq(&log);
}

#[test]
fn machines_of_a_recovery_step_stay_in_the_next_step() {
    let offered = |phase: ZonePhase| (0..20).filter(|rank| phase.offers(*rank, 20)).collect::<Vec<usize>>();
    let steps: Vec<Vec<usize>> = (0..3).map(|step| offered(ZonePhase::Recovering(step))).collect();
    assert_eq!(steps.iter().map(Vec::len).collect::<Vec<_>>(), [2, 6, 12]);
    assert!(steps.windows(2).all(|pair| pair[0].iter().all(|rank| pair[1].contains(rank))));
    assert_eq!((offered(ZonePhase::Healthy).len(), offered(ZonePhase::Failed).len()), (20, 0));
    assert!(ZonePhase::Recovering(0).offers(0, 1), "a zone of one machine recovers as well");
}
