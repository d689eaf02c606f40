//! Every state that one hall and its conductors can reach within stated bounds: evidence of any sort at any
//! time, words that are kept or lost, a conductor that dies between writing and recording and is succeeded.
//! No step of the return is skipped or done twice, and the hall is never lost by what one planner sees.
use basaltpitch_zone_failover::{
    Evidence, FailoverAction, FailoverConfig, FailoverCoordinator, FailoverDecision, ZonePhase,
};
use expect_test::expect;
use pathfinding::directed::bfs::bfs_reach;

const CONFIG: FailoverConfig =
    FailoverConfig { confirm_us: 1, settle_us: 1, step_us: 1, flap_reset_us: 9, max_hold_us: 4 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// A successor begins with all halls well, whatever is recorded.
    Record,
    /// What is written counts for the conductor's successor only, and it writes on without waiting.
    Waiting,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    without: Without,
    now: i64,
    conductor: FailoverCoordinator,
    /// What a majority keeps; what is on its way there.
    kept: FailoverDecision,
    written: Option<FailoverDecision>,
    lives: u32,
    changes: u32,
    /// Since when the evidence has not been "gone" or "well".
    wrong: Option<&'static str>,
}

fn legal(before: ZonePhase, after: ZonePhase) -> bool {
    use ZonePhase::{Failed, Healthy, Recovering};
    match (before, after) {
        (Healthy | Recovering(_), Failed) | (Failed, Recovering(0)) | (Recovering(2), Healthy) => true,
        (Recovering(a), Recovering(b)) => b == a + 1 || b + 1 == a || a == 0 && b == 0,
        (a, b) => a == b,
    }
}

impl World {
    fn new(without: Without) -> Self {
        let conductor = FailoverCoordinator::elected(0, CONFIG, 1, None);
        let kept = conductor.decision().clone();
        World { without, now: 0, conductor, kept, written: None, lives: 0, changes: 0, wrong: None }
    }

    /// A majority keeps what was written; the conductor hears of it, or does not.
    fn keeps(&mut self, heard: bool) {
        let Some(word) = self.written.take() else { return };
        if !legal(self.kept.zones[0].phase, word.zones[0].phase) {
            self.wrong = Some("a step is skipped");
        }
        self.kept = word;
        if heard {
            self.conductor.decision_stored(self.now);
        }
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        if self.now < 7 {
            let mut w = World { now: self.now + 1, ..self.clone() };
            w.conductor.advance(w.now);
            while let Some(FailoverAction::StoreDecision(word)) = w.conductor.next_action() {
                if w.without == Without::Waiting {
                    w.conductor.decision_stored(w.now);
                }
                w.written = Some(word);
            }
            all.push(w);
        }
        if self.written.is_some() {
            let mut w = self.clone();
            w.keeps(true);
            all.push(w);
        }
        if self.changes < 3 {
            for (evidence, bad) in [
                (Evidence::Failed, false),
                (Evidence::Healthy, false),
                (Evidence::Healthy, true),
                (Evidence::Disputed, false),
            ] {
                let mut w = World { changes: self.changes + 1, ..self.clone() };
                w.conductor.observe(w.now, 0, evidence);
                w.conductor.observe_attempts(0, 9.0, if bad { 9.0 } else { 0.0 });
                all.push(w);
            }
        }
        // It dies; what it had written is kept or lost.
        if self.lives < 2 {
            for reached in [true, false] {
                let mut w = World { lives: self.lives + 1, ..self.clone() };
                if reached {
                    w.keeps(false);
                }
                w.written = None;
                let left = (w.without != Without::Record).then(|| w.kept.clone());
                w.conductor = FailoverCoordinator::elected(w.now, CONFIG, 1, left);
                all.push(w);
            }
        }
        all
    }
}

fn explore(without: Without) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs_reach(World::new(without), World::next) {
        states += 1;
        if let Some(why) = world.wrong {
            return Err(why);
        }
        if world.written.is_none() && *world.conductor.decision() != world.kept {
            return Err("what counts is not what is kept");
        }
    }
    Ok(states)
}

#[test]
fn no_step_is_skipped_or_done_twice_in_any_state() {
    let states = explore(Without::Nothing);
    assert!(states.is_ok_and(|n| n > 10_000), "{states:?}");
}

#[test]
fn the_check_notices_what_is_missing() {
    assert_eq!(explore(Without::Record), Err("what counts is not what is kept"));
    assert_eq!(explore(Without::Waiting), Err("a step is skipped"));
}

/// A phase as stored decisions call it.
fn stored_name(phase: ZonePhase) -> String {
    match phase {
        ZonePhase::Healthy => "Well".into(),
        ZonePhase::Failed => "Lost".into(),
        ZonePhase::Recovering(step) => format!("Returning({step})"),
    }
}

/// A whole return with a flap in it, as people read it.
#[test]
fn a_hall_is_lost_returns_by_steps_flaps_and_is_held_longer() {
    let mut c = FailoverCoordinator::elected(0, FailoverConfig::DEFAULT, 2, None);
    let mut log = String::new();
    let mut before = c.decision().clone();
    for ms in (0..60_000i64).step_by(100) {
        let now = ms * 1000;
        let gone = (1_000..6_000).contains(&ms) || (13_000..16_000).contains(&ms);
        c.observe(now, 1, if gone { Evidence::Failed } else { Evidence::Healthy });
        c.observe_attempts(1, 9.0, if (25_000..27_000).contains(&ms) { 5.0 } else { 4.0 });
        c.observe(now, 0, if ms < 2_000 { Evidence::Disputed } else { Evidence::Healthy });
        c.advance(now);
        while let Some(FailoverAction::StoreDecision(_)) = c.next_action() {
            c.decision_stored(now);
        }
        if *c.decision() != before {
            before = c.decision().clone();
            let h = before.zones[1];
            log += &format!(
                "{:4.1} s {}, flaps {}, back {}\n",
                ms as f64 / 1000.0,
                stored_name(h.phase),
                h.flaps,
                h.steps_back
            );
            assert_eq!(before.zones[0].phase, ZonePhase::Healthy, "a split is no loss");
        }
    }
    expect![[r#"
         2.5 s Lost, flaps 0, back 0
         8.0 s Returning(0), flaps 0, back 0
        11.0 s Returning(1), flaps 0, back 0
        14.5 s Lost, flaps 1, back 0
        20.0 s Returning(0), flaps 1, back 0
        23.0 s Returning(1), flaps 1, back 0
        26.0 s Returning(0), flaps 1, back 1
        32.0 s Returning(1), flaps 1, back 1
        38.0 s Returning(2), flaps 1, back 1
        44.0 s Well, flaps 1, back 1
    "#]]
    .assert_eq(&log);
}

#[test]
fn the_machines_of_a_step_stay_in_the_next() {
    let part = |stage: ZonePhase| (0..20).filter(|n| stage.offers(*n, 20)).collect::<Vec<usize>>();
    let steps: Vec<Vec<usize>> = (0..3).map(|s| part(ZonePhase::Recovering(s))).collect();
    assert_eq!(steps.iter().map(Vec::len).collect::<Vec<_>>(), [2, 6, 12]);
    assert!(steps.windows(2).all(|w| w[0].iter().all(|m| w[1].contains(m))));
    assert_eq!((part(ZonePhase::Healthy).len(), part(ZonePhase::Failed).len()), (20, 0));
    assert!(ZonePhase::Recovering(0).offers(0, 1), "a hall of one machine returns as well");
}
