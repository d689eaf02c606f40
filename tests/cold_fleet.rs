//! Tests that the slow-start budget of a machine limits the attempts of all planners together,
//! although planners do not communicate. Runs 20 to 30 planners on one simulated clock with
//! individual clock errors and delays, and counts the arrivals at the machine.
mod stage;
use basaltpitch::host::{AttemptOutcome, Host, Readiness};
use basaltpitch::placement::Planner;
use stage::settings;

/// Window of the slow-start budget.
const WINDOW_US: i64 = 1_000_000;
/// Connection timeout, and so the largest delay of an attempt on its way to the machine.
const CONNECT_TIMEOUT_US: i64 = 250_000;
/// Step of the simulated clock.
const STEP_US: i64 = 10_000;
/// Duration of the machine's slow start.
const SLOW_START_US: i64 = 14_000_000;

/// A host that records the launches and timers of one planner.
#[derive(Default)]
struct RecordingHost {
    /// Tasks launched since the last step.
    launches: Vec<usize>,
    /// Pending timers: due time in microseconds on the planner's clock, and token.
    timers: Vec<(i64, u64)>,
    /// The planner's clock, in microseconds.
    now: i64,
}

impl Host for RecordingHost {
    fn launch(&mut self, task: usize, _machine: usize, _timeout_us: i64) {
        self.launches.push(task);
    }
    fn cancel(&mut self, _task: usize, _attempt: u32) {}
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

/// A planner with its own clock error and its own tasks.
struct PlannerInstance {
    planner: Planner<RecordingHost>,
    /// Error of the planner's clock, in microseconds.
    clock_offset: i64,
    /// Number of the planner among all planners.
    number: usize,
    /// Time at which the machine list arrives, in microseconds.
    list_arrives_at: i64,
    /// Whether the machine list has arrived.
    has_list: bool,
    /// Index of the next task.
    next_task: usize,
    /// End times of the running tasks in microseconds, with the task.
    end_times: Vec<(i64, usize)>,
}

impl PlannerInstance {
    /// Creates the planner with a number, one of `planners`, for a machine with the slow-start
    /// budget `budget`.
    fn new(
        number: usize,
        planners: usize,
        budget: usize,
        clock_offset: i64,
        list_arrives_at: i64,
        now: i64,
    ) -> PlannerInstance {
        let (planners, budget, my_number) = (planners.to_string(), budget.to_string(), number.to_string());
        let overrides =
            [("nInstances", planners.as_str()), ("familyInfo.coldSends", &budget), ("myNumber", &my_number)];
        let host = RecordingHost { now: now + clock_offset, ..RecordingHost::default() };
        let planner = Planner::new(host, number as u64, now + clock_offset, settings(&overrides));
        PlannerInstance {
            planner,
            clock_offset,
            number,
            list_arrives_at,
            has_list: false,
            next_task: 0,
            end_times: Vec::new(),
        }
    }

    /// Advances the planner to the time `now`, and requests a task every 50 ms. Each launch is
    /// accepted at once and runs for 200 ms. Returns the number of launches.
    fn step(&mut self, now: i64, machine_started_at: i64) -> usize {
        let planner_now = now + self.clock_offset;
        (self.planner.host.now, self.has_list) = (planner_now, self.has_list);
        self.planner.set_clock(planner_now);
        if !self.has_list && now >= self.list_arrives_at {
            self.has_list = true;
            self.planner.list_started(true, true);
            self.planner.set_machine_number(0, 77);
            self.planner.machine_listed(0, (0, 0, 0), Readiness::Ready, machine_started_at, (0.0, 0.0));
            self.planner.list_finished();
        }
        while let Some(index) = self.planner.host.timers.iter().position(|timer| timer.0 <= planner_now) {
            let (_, token) = self.planner.host.timers.swap_remove(index);
            self.planner.timer_fired(token);
        }
        while let Some(index) = self.end_times.iter().position(|end| end.0 <= now) {
            let (_, task) = self.end_times.swap_remove(index);
            self.planner.attempt_ended(task, AttemptOutcome::Ended, 0, true, &[]);
        }
        if now % 50_000 == 0 {
            self.planner.task_requested(self.next_task, 0, None, 0, (0.1, 0.1), 6_000_000);
            self.next_task += 1;
        }
        let launches = std::mem::take(&mut self.planner.host.launches);
        for &task in &launches {
            self.planner.attempt_accepted(task);
            self.end_times.push((now + 200_000, task));
        }
        launches.len()
    }
}

/// Returns the times, in microseconds, at which attempts arrive at a machine while it warms up. The
/// planners' clocks are wrong by up to 50 ms, their machine lists arrive up to 2 s late, attempts
/// take up to the connection timeout to arrive, and a third of the planners restart once.
fn arrival_times(planner_count: usize, budget: usize, seed: u64) -> Vec<i64> {
    let mut setup_rng = fastrand::Rng::with_seed(seed);
    let machine_started_at = 1_700_000_000_000_000 + setup_rng.i64(0..1_000_000) / STEP_US * STEP_US;
    let begin = machine_started_at - 3_000_000;
    let mut new_instance = |number, now| {
        let (clock_offset, list_arrives_at) =
            (setup_rng.i64(-50_000..50_000), machine_started_at.max(now) + setup_rng.i64(0..2_000_000));
        PlannerInstance::new(number, planner_count, budget, clock_offset, list_arrives_at, now)
    };
    let mut instances: Vec<PlannerInstance> =
        (0..planner_count).map(|number| new_instance(number, begin)).collect();
    let mut run_rng = fastrand::Rng::with_seed(seed ^ 0xc01d);
    let restarts: Vec<i64> = (0..planner_count)
        .map(|_| machine_started_at + run_rng.i64(0..SLOW_START_US) / STEP_US * STEP_US)
        .collect();
    let mut arrivals = Vec::new();
    // Ends 100 ms before the slow start does, because clocks are wrong by up to 50 ms: until then,
    // the machine warms up on every planner's clock.
    for now in (begin..machine_started_at + SLOW_START_US - 100_000).step_by(STEP_US as usize) {
        for (number, instance) in instances.iter_mut().enumerate() {
            if number % 3 == 0 && now == restarts[number] {
                *instance = new_instance(instance.number, now);
            }
            let launches = instance.step(now, machine_started_at);
            arrivals.extend((0..launches).map(|_| now + run_rng.i64(0..CONNECT_TIMEOUT_US)));
        }
    }
    arrivals.sort();
    arrivals
}

/// Returns the largest number of arrivals in any window.
fn max_in_window(times: &[i64]) -> usize {
    (0..times.len())
        .map(|i| times[i..].iter().take_while(|&&time| time < times[i] + WINDOW_US).count())
        .max()
        .unwrap_or(0)
}

/// The arrivals of all planners together must stay within the machine's slow-start budget, up to a
/// statistical tolerance for random delays, and must use a fair part of it. Guards against planners
/// that never get a turn: with a budget of 1 and more than one planner, the number of turns per
/// time slot was rounded to 0, and the machine got no attempts until its slow start ended.
#[test]
fn planners_together_respect_and_use_slow_start_budget() {
    let mut seed = 40;
    for budget in [1, 2, 3, 5, 8, 13, 19, 24, 29, 40, 61] {
        for planners in [20, 25, 30] {
            seed += 1;
            let arrivals = arrival_times(planners, budget, seed);
            let (most_arrivals, expected) = (max_in_window(&arrivals), budget as f64);
            assert!(
                most_arrivals as f64 <= expected + 2.0 * expected.sqrt() + 2.0,
                "seed {seed}: {planners} planners sent {most_arrivals} attempts in a window; budget is {budget}"
            );
            // Late machine lists and restarts cost part of the budget, but at least a quarter of it
            // must be used.
            let time_slots = (SLOW_START_US / (WINDOW_US + CONNECT_TIMEOUT_US)) as usize;
            let usable_budget = if budget < planners { budget } else { budget / planners * planners };
            assert!(
                arrivals.len() >= usable_budget * time_slots / 4,
                "seed {seed}: {planners} planners sent only {} attempts with a budget of {budget}",
                arrivals.len()
            );
        }
    }
}
