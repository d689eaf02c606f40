//! Helpers of the trace tests: a host that writes each action of the planner as a line of text, and
//! a planner on a small simulated cluster.
#![allow(dead_code)]
use basaltpitch::host::{AttemptOutcome, Host, Readiness, Settings, Value};
use basaltpitch::placement::Planner;

/// A host that records the planner's actions instead of carrying them out.
#[derive(Default)]
pub struct TraceHost {
    /// The recorded actions, one line each, with the time in milliseconds.
    pub text: String,
    /// Pending timers of the planner: due time in microseconds, and token.
    pub timers: Vec<(i64, u64)>,
    /// Machines with a probe that has not been answered.
    pub probes: Vec<usize>,
    /// The current time, in microseconds.
    pub now: i64,
}

impl TraceHost {
    fn line(&mut self, text: String) {
        self.text += &format!("{} ms  {text}\n", self.now / 1000);
    }
}

impl Host for TraceHost {
    fn launch(&mut self, task: usize, machine: usize, timeout_us: i64) {
        self.line(format!("launch task {task} on machine {machine} for {} ms", timeout_us / 1000));
    }
    fn cancel(&mut self, task: usize, attempt: u32) {
        self.line(format!("cancel attempt {attempt} of task {task}"));
    }
    fn reject(&mut self, task: usize, _retry_after_us: i64) {
        self.line(format!("reject task {task}"));
    }
    fn abort(&mut self, task: usize) {
        self.line(format!("abort task {task}"));
    }
    fn evict(&mut self, task: usize) {
        self.line(format!("evict task {task}"));
    }
    fn probe(&mut self, machine: usize) {
        self.probes.push(machine);
    }
    fn watch_list(&mut self, on: bool) {
        self.line(format!("watch {on}"));
    }
    fn fetch_list(&mut self) {
        self.line("fetch".into());
    }
    fn set_timer(&mut self, after_us: i64, token: u64) {
        self.timers.push((self.now + after_us, token));
    }
    fn log(&mut self, text: &str) {
        self.line(format!("log {text}"));
    }
}

/// Returns settings with two frameworks: 0 is small and repeatable, 1 is large and keyed. The
/// settings in `overrides` replace the defaults.
pub fn settings(overrides: &[(&str, &str)]) -> Settings {
    let base = "classes.0.name=small classes.0.semantics=retryable classes.0.objectiveUs=600000 \
        classes.0.deadlineUs=6000000 classes.0.worth=1 classes.1.name=large classes.1.semantics=dedup \
        classes.1.group=all classes.1.objectiveUs=5000000 classes.1.deadlineUs=9000000 classes.1.worth=5 \
        classes.1.windowUs=6000000 discovery=push familyInfo.admitCores=2 familyInfo.admitMemory=1.5 \
        familyInfo.calmLevel.0=1 familyInfo.calmLevel.1=0.8 familyInfo.fadeSpan.0=1 familyInfo.fadeSpan.1=0.15 \
        familyInfo.classKind.0=-1 familyInfo.classKind.1=-1 familyInfo.coldSends=6 familyInfo.cpuOfKind.0=16 \
        familyInfo.priorityByClass.0=0 familyInfo.priorityByClass.1=2 familyInfo.sizeMemory.0=32 \
        familyInfo.yesAt=accepted nInstances=2 permissions.attemptsCap=3 permissions.cancelling=1 \
        permissions.connectTimeoutUs=250000 rules.askEveryUs=10000000 rules.coldUs=14000000 \
        rules.fallUs=1000000 stats.fields.0=x0 stats.fields.1=x1";
    let pairs = base.split_whitespace().filter_map(|pair| pair.split_once('='));
    let value = |text: &str| text.parse().map_or_else(|_| Value::Text(text.into()), Value::Number);
    pairs.chain(overrides.iter().copied()).map(|(name, text)| (name.to_owned(), value(text))).collect()
}

/// Creates a planner at the time of 10 s, with one machine of 16 cores and 32 memory units for each
/// element of `used`. Each machine has reported that number of cores, and of memory units, as used.
pub fn new_planner(overrides: &[(&str, &str)], used: &[f64]) -> Planner<TraceHost> {
    let host = TraceHost { now: 10_000_000, ..TraceHost::default() };
    let mut planner = Planner::new(host, 7, 10_000_000, settings(overrides));
    send_list(
        &mut planner,
        true,
        &(0..used.len()).map(|machine| (machine, Readiness::Ready, 0)).collect::<Vec<_>>(),
    );
    for (machine, used) in used.iter().enumerate() {
        planner.probe_finished(machine, AttemptOutcome::Ended, &[16.0 - used, 32.0 - used]);
    }
    planner
}

/// Sends a fresh machine list with the given machines, their readiness and their start times in
/// microseconds. Machine m is in zone m mod 2 and in cell m / 2.
pub fn send_list(planner: &mut Planner<TraceHost>, whole: bool, machines: &[(usize, Readiness, i64)]) {
    planner.list_started(whole, true);
    for &(machine, readiness, started_at) in machines {
        planner.machine_listed(machine, (0, machine % 2, machine / 2), readiness, started_at, (0.0, 0.0));
    }
    planner.list_finished();
}

/// Requests a task of the small, repeatable framework, with a deadline of 6 s.
pub fn request_small(planner: &mut Planner<TraceHost>, task: usize, service: usize) {
    planner.task_requested(task, 0, None, service, (1.0, 2.0), 6_000_000);
}

/// Requests a task of the large, keyed framework, with a deadline of 9 s.
pub fn request_large(planner: &mut Planner<TraceHost>, task: usize, service: usize) {
    planner.task_requested(task, 1, None, service, (4.0, 8.0), 9_000_000);
}

/// Ends a task's latest attempt, without a report.
pub fn end_attempt(
    planner: &mut Planner<TraceHost>,
    task: usize,
    outcome: AttemptOutcome,
    reason: i64,
    is_final: bool,
) {
    planner.attempt_ended(task, outcome, reason, is_final, &[]);
}

/// Sets the clock without firing timers.
pub fn set_time(planner: &mut Planner<TraceHost>, now: i64) {
    planner.host.now = now;
    planner.set_clock(now);
}

/// Advances the clock to `until`, and fires the timers that become due on the way in the order of
/// their due times.
pub fn advance_to(planner: &mut Planner<TraceHost>, until: i64) {
    while let Some(index) = (0..planner.host.timers.len()).min_by_key(|&i| planner.host.timers[i].0) {
        let (due_at, token) = planner.host.timers[index];
        if due_at > until {
            break;
        }
        planner.host.timers.remove(index);
        set_time(planner, due_at);
        planner.timer_fired(token);
    }
    set_time(planner, until);
}

/// Advances the clock to `until`, and answers each probe with the report at most 10 ms after it was
/// sent. Returns the time of each answer and the machine.
pub fn advance_answering_probes(
    planner: &mut Planner<TraceHost>,
    until: i64,
    report: &[f64],
) -> Vec<(i64, usize)> {
    let mut answered = Vec::new();
    while planner.host.now < until {
        let now = (planner.host.now + 10_000).min(until);
        advance_to(planner, now);
        while let Some(machine) = planner.host.probes.pop() {
            answered.push((now, machine));
            planner.probe_finished(machine, AttemptOutcome::Ended, report);
        }
    }
    answered
}
