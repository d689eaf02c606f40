//! The cold budget of a machine holds for the sum of what all planners send, in whatever way they are apart:
//! 20 to 30 instances of the module under one made-up clock, and arrivals counted at the machine.
mod stage;
use basaltpitch::host::{AttemptOutcome, Host, Readiness};
use basaltpitch::placement::Planner;
use stage::given;

const WINDOW: i64 = 1_000_000;
const CONNECT: i64 = 250_000;
const STEP: i64 = 10_000;
const COLD: i64 = 14_000_000;

/// What one planner asked for since it was last looked at.
#[derive(Default)]
struct Asked {
    launches: Vec<usize>,
    timers: Vec<(i64, u64)>,
    now: i64,
}

impl Host for Asked {
    fn launch(&mut self, task: usize, _machine: usize, _time_out_us: i64) {
        self.launches.push(task);
    }
    fn cancel(&mut self, _task: usize, _launch: u32) {}
    fn reject(&mut self, _task: usize, _retry_after_us: i64) {}
    fn abort(&mut self, _task: usize) {}
    fn evict(&mut self, _task: usize) {}
    fn probe(&mut self, _machine: usize) {}
    fn watch_list(&mut self, _on: bool) {}
    fn fetch_list(&mut self) {}
    fn set_timer(&mut self, after_us: i64, token: u64) {
        self.timers.push((self.now + after_us, token));
    }
    fn log(&mut self, _text: &str) {}
}

/// One planner with a clock of its own and the tasks that it was asked for.
struct One {
    planner: Planner<Asked>,
    off: i64,
    number: usize,
    told_at: i64,
    told: bool,
    next: usize,
    /// When a task that arrived has ended.
    ends: Vec<(i64, usize)>,
}

impl One {
    fn new(number: usize, all: usize, bears: usize, off: i64, told_at: i64, now: i64) -> One {
        let (all, bears, me) = (all.to_string(), bears.to_string(), number.to_string());
        let more = [("nInstances", all.as_str()), ("familyInfo.coldSends", &bears), ("myNumber", &me)];
        let host = Asked { now: now + off, ..Asked::default() };
        let planner = Planner::new(host, number as u64, now + off, given(&more));
        One { planner, off, number, told_at, told: false, next: 0, ends: Vec::new() }
    }

    /// Lets time come to `now`; returns launches, which count as accepted at once and end soon.
    fn step(&mut self, now: i64, started: i64) -> usize {
        let mine = now + self.off;
        (self.planner.host.now, self.told) = (mine, self.told);
        self.planner.set_clock(mine);
        if !self.told && now >= self.told_at {
            self.told = true;
            self.planner.list_started(true, true);
            self.planner.set_machine_number(0, 77);
            self.planner.machine_listed(0, (0, 0, 0), Readiness::Ready, started, (0.0, 0.0));
            self.planner.list_finished();
        }
        while let Some(i) = self.planner.host.timers.iter().position(|t| t.0 <= mine) {
            let (_, token) = self.planner.host.timers.swap_remove(i);
            self.planner.timer_fired(token);
        }
        while let Some(i) = self.ends.iter().position(|e| e.0 <= now) {
            let (_, task) = self.ends.swap_remove(i);
            self.planner.attempt_ended(task, AttemptOutcome::Ended, 0, true, &[]);
        }
        if now % 50_000 == 0 {
            self.planner.task_requested(self.next, 0, None, 0, (0.1, 0.1), 6_000_000);
            self.next += 1;
        }
        let launches = std::mem::take(&mut self.planner.host.launches);
        for &task in &launches {
            self.planner.attempt_accepted(task);
            self.ends.push((now + 200_000, task));
        }
        launches.len()
    }
}

/// Arrivals at the machine while it is cold: clocks up to 50 ms apart, starts learnt up to 2 s late,
/// connections up to the time-out late, a third of the planners restarted meanwhile.
fn arrivals(all: usize, bears: usize, seed: u64) -> Vec<i64> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let started = 1_700_000_000_000_000 + chance.i64(0..1_000_000) / STEP * STEP;
    let begin = started - 3_000_000;
    let mut new = |number, now| {
        let (off, told_at) = (chance.i64(-50_000..50_000), started.max(now) + chance.i64(0..2_000_000));
        One::new(number, all, bears, off, told_at, now)
    };
    let mut planners: Vec<One> = (0..all).map(|p| new(p, begin)).collect();
    let mut dice = fastrand::Rng::with_seed(seed ^ 0xc01d);
    let restarts: Vec<i64> = (0..all).map(|_| started + dice.i64(0..COLD) / STEP * STEP).collect();
    let mut at = Vec::new();
    // As long as the machine is cold by the clock of the planner that is farthest behind.
    for now in (begin..started + COLD - 100_000).step_by(STEP as usize) {
        for (p, one) in planners.iter_mut().enumerate() {
            if p % 3 == 0 && now == restarts[p] {
                *one = new(one.number, now);
            }
            let launches = one.step(now, started);
            at.extend((0..launches).map(|_| now + dice.i64(0..CONNECT)));
        }
    }
    at.sort();
    at
}

/// The most arrivals in any window.
fn most(at: &[i64]) -> usize {
    (0..at.len()).map(|i| at[i..].iter().take_while(|&&t| t < at[i] + WINDOW).count()).max().unwrap_or(0)
}

/// A machine that bears one offer at a time got none from more than one planner until it was warm: the turns
/// of each slot came to none. The sum never passes what it bears by more than chance.
#[test]
fn the_sum_of_all_planners_keeps_a_cold_machines_budget_and_uses_it() {
    let mut seed = 40;
    for bears in [1, 2, 3, 5, 8, 13, 19, 24, 29, 40, 61] {
        for all in [20, 25, 30] {
            seed += 1;
            let at = arrivals(all, bears, seed);
            let (most, n) = (most(&at), bears as f64);
            assert!(
                most as f64 <= n + 2.0 * n.sqrt() + 2.0,
                "seed {seed}: {most} of {bears} by {all} planners"
            );
            // And it is used, with planners that are told late and restarted: a quarter of what the slots allow.
            let slots = (COLD / (WINDOW + CONNECT)) as usize;
            let part = if bears < all { bears } else { bears / all * all };
            assert!(at.len() >= part * slots / 4, "seed {seed}: {} arrivals for {bears} by {all}", at.len());
        }
    }
}
