//! Attempts: launching a task on a machine, and handling the machine's answers, statuses and
//! outcomes.
use super::estimates::REPORT_LAG_US;
use super::health::{EJECTION_US, REFUSAL_EJECTION_US};
use super::slow_start::MAX_LAUNCH_TIMES;
use super::state::TaskPhase;
use super::Planner;
use crate::host::{AttemptOutcome, Host, Resources};

/// An unanswered attempt is taken to be lost if its machine accepts an attempt that was sent more
/// than this much later.
const OVERTAKEN_US: i64 = 50_000;
/// Weight of a new sample in the smoothed time from launching an attempt to its acceptance.
const ANSWER_SMOOTHING: f64 = 0.1;
/// Share of the framework's deadline after which an attempt times out, if machines accept attempts
/// before the task has started.
const ATTEMPT_DEADLINE_SHARE: f64 = 0.5;

/// Status code: the task runs.
const STATUS_RUNNING: i64 = 1;
/// Status code: the value is the number of cores in use by the task.
const STATUS_CORES: i64 = 2;
/// Status code: the value is the number of memory units in use by the task.
const STATUS_MEMORY: i64 = 3;
/// Status code: the value is the service level of the task, 1 at full speed.
const STATUS_SERVICE_LEVEL: i64 = 4;

/// Reason code of an outcome: no reason was given, for instance because the machine failed.
const REASON_NONE: i64 = 0;
/// Reason code of a refusal: the machine does not accept the task at all, because it drains or for
/// another reason that does not depend on its load.
const REASON_NOT_HERE: i64 = 4;
/// Reason code of an end: the machine stops its tasks so that they run elsewhere.
const REASON_SENT_AWAY: i64 = 7;

impl<H: Host> Planner<H> {
    /// Adds a task that already runs on a machine, as found after a restart of the planner.
    pub fn running_task_found(
        &mut self,
        task: usize,
        framework: usize,
        _tenant: Option<usize>,
        service: usize,
        demand: Resources,
        machine: usize,
    ) {
        self.ensure_machine(machine);
        self.insert_task(task, framework, service, demand);
        let found = &mut self.tasks[task];
        (found.phase, found.machine, found.attempts) = (TaskPhase::Placed, machine, 1);
        // Reports of the machine are taken to include the task from now on, since the task already
        // runs. The running task counts as attempt 0.
        (found.sent_at, found.running_at) = (self.now, self.now - REPORT_LAG_US);
        self.machines.own_tasks[machine].push(task);
    }

    /// Launches a task on the best machine with enough capacity, or else on a machine where tasks
    /// of lower priority are evicted for it. Returns false if there is no such machine.
    pub(super) fn place(&mut self, task: usize) -> bool {
        let placement = self.placement_of(task);
        let found = self.candidates(&placement);
        let candidates = if found.fitting.is_empty() { found.congested } else { found.fitting };
        let machine = match (self.choose(&placement, candidates), found.preemption) {
            (Some(machine), _) => machine,
            // No machine has capacity for the task, but its priority allows an eviction.
            (None, Some(preemption)) => {
                self.evict(preemption.tasks, preemption.cores, preemption.memory);
                preemption.machine
            }
            (None, None) => return false,
        };
        self.launch(task, machine);
        true
    }

    /// Sends an attempt of a task to a machine, with a timeout that ends at the task's deadline at
    /// the latest.
    fn launch(&mut self, task: usize, machine: usize) {
        // If acceptance means that the task runs, an attempt may use the whole deadline, because a
        // timeout during the start would waste the work of the start.
        let share = if self.accepted_means_running() { 1.0 } else { ATTEMPT_DEADLINE_SHARE };
        let framework = self.tasks[task].framework;
        let timeout_us = (share * self.setting(&format!("classes.{framework}.deadlineUs"))) as i64;
        let sent = &mut self.tasks[task];
        let timeout_us = timeout_us.min(sent.deadline_at - self.now);
        (sent.phase, sent.machine) = (TaskPhase::Sent, machine);
        (sent.sent_at, sent.running_at) = (self.now, 0);
        sent.attempts += 1;
        self.machines.own_tasks[machine].push(task);
        self.machines.launch_times[machine].insert(0, self.now);
        self.machines.launch_times[machine].truncate(MAX_LAUNCH_TIMES);
        self.host.launch(task, machine, timeout_us);
    }

    /// Handles the acceptance of a task's latest attempt by its machine.
    pub fn attempt_accepted(&mut self, task: usize) {
        let accepted = &mut self.tasks[task];
        if accepted.phase != TaskPhase::Sent {
            return;
        }
        accepted.phase = TaskPhase::Placed;
        let (machine, sent_at, framework) = (accepted.machine, accepted.sent_at, accepted.framework);
        self.machines.last_contact_at[machine] = self.now;
        // A second machine accepts a task that the first one answered with an error, which shows
        // that the first machine is at fault.
        if let Some(at_fault) = accepted.errored_on.filter(|&other| other != machine) {
            self.machines.eject_until(at_fault, self.now + EJECTION_US);
        }
        let took_us = (self.now - sent_at) as f64;
        self.answer_us[framework] += ANSWER_SMOOTHING * (took_us - self.answer_us[framework]);
        if self.accepted_means_running() {
            self.tasks[task].running_at = self.now;
        } else {
            self.cancel_overtaken(machine, sent_at);
        }
    }

    /// Cancels the unanswered attempts on a machine that were sent more than `OVERTAKEN_US` before
    /// the attempt that it has just accepted, if the settings allow cancellation. A machine handles
    /// attempts one at a time, in order, so the answers to the earlier attempts must have been
    /// lost.
    fn cancel_overtaken(&mut self, machine: usize, sent_at: i64) {
        let is_lost = |&other: &usize| {
            let other = &self.tasks[other];
            other.phase == TaskPhase::Sent && other.sent_at + OVERTAKEN_US < sent_at
        };
        let lost: Vec<usize> = self.machines.own_tasks[machine].iter().copied().filter(is_lost).collect();
        if !lost.is_empty() && self.setting("permissions.cancelling") > 0.0 {
            // Further messages of this machine may be lost, so it is ejected like an unresponsive
            // one.
            self.machines.eject_until(machine, self.now + EJECTION_US);
            lost.into_iter().for_each(|other| self.host.cancel(other, self.tasks[other].attempts - 1));
        }
    }

    /// Handles a status of a task. `status_kind` is 1 if the task runs; for 2, `value` is its cores
    /// in use, for 3 its memory in use, and for 4 its service level. Other kinds are ignored.
    pub fn task_status(&mut self, task: usize, status_kind: i64, value: f64) {
        let machine = self.tasks[task].machine;
        self.machines.last_contact_at[machine] = self.now;
        match status_kind {
            STATUS_RUNNING if self.tasks[task].running_at == 0 => self.tasks[task].running_at = self.now,
            STATUS_CORES => self.add_cores_sample(task, value),
            STATUS_MEMORY => self.add_memory_sample(task, value),
            STATUS_SERVICE_LEVEL => self.service_level_changed(task, value),
            _ => {}
        }
    }

    /// Handles the end of a task's latest attempt. `reason` is the host's reason code, 0 for none;
    /// `report` is the machine's usage report, empty for none. If `is_final` is set, no further
    /// attempt may follow.
    pub fn attempt_ended(
        &mut self,
        task: usize,
        outcome: AttemptOutcome,
        reason: i64,
        is_final: bool,
        report: &[f64],
    ) {
        let ended = &self.tasks[task];
        let (machine, phase, sent_at) = (ended.machine, ended.phase, ended.sent_at);
        self.machines.own_tasks[machine].retain(|&other| other != task);
        self.record_contact(machine, outcome);
        self.read_report(machine, report);
        let ejection_us = ejection_us(outcome, reason, phase);
        self.machines.eject_until(machine, self.now + ejection_us);
        let ended = &mut self.tasks[task];
        if is_final || phase != TaskPhase::Sent {
            ended.phase = TaskPhase::Over;
            if phase != TaskPhase::Sent {
                self.serve_waiting();
            }
            return;
        }
        ended.tried.push(machine);
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Refused | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent
        );
        if !never_ran {
            ended.possibly_ran = ended.possibly_ran.or(Some((machine, sent_at)));
        }
        ended.phase = TaskPhase::Waiting;
        // An error on a second machine shows that the task is at fault, not the machines.
        let at_fault = outcome == AttemptOutcome::Error && ended.errored_on.replace(machine).is_some();
        let spent = at_fault || f64::from(ended.attempts) >= self.setting("permissions.attemptsCap");
        if spent || self.must_give_up(task) {
            self.give_up(task);
        } else if !self.place(task) {
            self.wait(task);
        }
    }
}

/// Returns for how long the outcome of an attempt ejects its machine, in microseconds.
///
/// A machine that fails is ejected, and so is one that is leaving, since it refuses tasks or stops
/// its tasks before the machine list says so. A refusal for lack of capacity ejects for a shorter
/// time, because capacity soon becomes free. A single error ejects no machine: a task that fails
/// everywhere would otherwise eject one machine after another.
fn ejection_us(outcome: AttemptOutcome, reason: i64, phase: TaskPhase) -> i64 {
    let machine_gone = reason == REASON_NONE || reason == REASON_SENT_AWAY;
    match outcome {
        AttemptOutcome::Refused if reason != REASON_NOT_HERE => REFUSAL_EJECTION_US,
        AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut | AttemptOutcome::Refused => EJECTION_US,
        AttemptOutcome::Reset if phase == TaskPhase::Sent || machine_gone => EJECTION_US,
        _ => 0,
    }
}
