//! Attempts: sending a task to a machine, and what follows from answers, statuses and outcomes.
use super::estimates::REPORT_LAG_US;
use super::health::{EJECTION_US, REFUSAL_EJECTION_US};
use super::slow_start::MAX_SENT_TIMES;
use super::state::TaskPhase;
use super::Planner;
use crate::host::{AttemptOutcome, Host, Resources};

/// An offer that a machine answers was sent so long after an own one without an answer: that answer is lost.
const OVERTAKEN_US: i64 = 50_000;
/// Weight of a new sample in the smoothed time until an answer.
const ANSWER_SMOOTHING: f64 = 0.1;
/// Share of the deadline that an attempt may take, where a machine answers before the task runs.
const ATTEMPT_DEADLINE_SHARE: f64 = 0.5;

/// Sorts of a status, as the host passes them on.
const STATUS_RUNNING: i64 = 1;
const STATUS_CORES: i64 = 2;
const STATUS_MEMORY: i64 = 3;
const STATUS_SERVICE_LEVEL: i64 = 4;

/// Reasons with an outcome, as the host passes them on: none is told, as where the machine is lost; a refusal
/// as the machine does not take the task at all, draining or otherwise; an end as it sends its tasks away.
const REASON_NONE: i64 = 0;
const REASON_NOT_HERE: i64 = 4;
const REASON_SENT_AWAY: i64 = 7;

impl<H: Host> Planner<H> {
    /// A task that runs on a machine already, as one finds it after a start.
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
        // It runs already, so that reports contain it; it counts as attempt 0.
        (found.sent_at, found.running_at) = (self.now, self.now - REPORT_LAG_US);
        self.machines.own_tasks[machine].push(task);
    }

    /// Sends a task to the machine that it fits best, or to one where others make way. False: it waits.
    pub(super) fn place(&mut self, task: usize) -> bool {
        let placement = self.placement_of(task);
        let found = self.candidates(&placement);
        let candidates = if found.fitting.is_empty() { found.crowded } else { found.fitting };
        let machine = match (self.choose(&placement, candidates), found.preemption) {
            (Some(machine), _) => machine,
            // No machine fits a task of higher priority: the least must move.
            (None, Some(preemption)) => {
                self.evict(preemption.tasks, preemption.cores, preemption.memory);
                preemption.machine
            }
            (None, None) => return false,
        };
        self.launch(task, machine);
        true
    }

    fn launch(&mut self, task: usize, machine: usize) {
        // All of the deadline where an answer comes once the task runs: a start given up is lost.
        let share = if self.accepted_means_running() { 1.0 } else { ATTEMPT_DEADLINE_SHARE };
        let framework = self.tasks[task].framework;
        let timeout_us = (share * self.setting(&format!("classes.{framework}.deadlineUs"))) as i64;
        let sent = &mut self.tasks[task];
        let timeout_us = timeout_us.min(sent.deadline_at - self.now);
        (sent.phase, sent.machine) = (TaskPhase::Sent, machine);
        (sent.sent_at, sent.running_at) = (self.now, 0);
        sent.attempts += 1;
        self.machines.own_tasks[machine].push(task);
        self.machines.sent_times[machine].insert(0, self.now);
        self.machines.sent_times[machine].truncate(MAX_SENT_TIMES);
        self.host.launch(task, machine, timeout_us);
    }

    /// A machine accepted a task's latest attempt.
    pub fn attempt_accepted(&mut self, task: usize) {
        let accepted = &mut self.tasks[task];
        if accepted.phase != TaskPhase::Sent {
            return;
        }
        accepted.phase = TaskPhase::Placed;
        let (machine, sent_at, framework) = (accepted.machine, accepted.sent_at, accepted.framework);
        self.machines.heard_at[machine] = self.now;
        // Another machine takes what one answered with an error: that one is at fault.
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

    /// A machine looks at one offer at a time, so that an answer shows earlier ones to be lost on the way:
    /// their attempts are not waited for any longer.
    fn cancel_overtaken(&mut self, machine: usize, sent_at: i64) {
        let is_lost = |&other: &usize| {
            let other = &self.tasks[other];
            other.phase == TaskPhase::Sent && other.sent_at + OVERTAKEN_US < sent_at
        };
        let lost: Vec<usize> = self.machines.own_tasks[machine].iter().copied().filter(is_lost).collect();
        if !lost.is_empty() && self.setting("permissions.cancelling") > 0.0 {
            // More of them may be lost there: it is left as one that does not answer.
            self.machines.eject_until(machine, self.now + EJECTION_US);
            lost.into_iter().for_each(|other| self.host.cancel(other, self.tasks[other].attempts - 1));
        }
    }

    /// Status of a task: 1 it runs, 2 cores and 3 memory in use, 4 how well it is served.
    pub fn task_status(&mut self, task: usize, sort: i64, value: f64) {
        let machine = self.tasks[task].machine;
        self.machines.heard_at[machine] = self.now;
        match sort {
            STATUS_RUNNING if self.tasks[task].running_at == 0 => self.tasks[task].running_at = self.now,
            STATUS_CORES => self.learn_cores(task, value),
            STATUS_MEMORY => self.learn_memory(task, value),
            STATUS_SERVICE_LEVEL => self.service_level_changed(task, value),
            _ => {}
        }
    }

    /// An attempt ended, with the host's reason and the machine's report where there are such; `over`: no
    /// further attempt follows.
    pub fn attempt_ended(
        &mut self,
        task: usize,
        outcome: AttemptOutcome,
        reason: i64,
        over: bool,
        report: &[f64],
    ) {
        let ended = &self.tasks[task];
        let (machine, phase, sent_at) = (ended.machine, ended.phase, ended.sent_at);
        self.machines.own_tasks[machine].retain(|&other| other != task);
        self.note_contact(machine, outcome);
        self.read_report(machine, report);
        let ejection_us = ejection_us(outcome, reason, phase);
        self.machines.eject_until(machine, self.now + ejection_us);
        let ended = &mut self.tasks[task];
        if over || phase != TaskPhase::Sent {
            ended.phase = TaskPhase::Over;
            if phase != TaskPhase::Sent {
                self.serve_waiting();
            }
            return;
        }
        ended.tried.push(machine);
        let never_ran =
            matches!(outcome, AttemptOutcome::Full | AttemptOutcome::ConnectFailed | AttemptOutcome::Moot);
        if !never_ran {
            ended.possibly_ran = ended.possibly_ran.or(Some((machine, sent_at)));
        }
        ended.phase = TaskPhase::Waiting;
        // A second machine that errs shows that the task is at fault.
        let at_fault = outcome == AttemptOutcome::Error && ended.errored_on.replace(machine).is_some();
        let spent = at_fault || f64::from(ended.attempts) >= self.setting("permissions.attemptsCap");
        if spent || self.is_too_late(task) {
            self.give_up(task);
        } else if !self.place(task) {
            self.wait(task);
        }
    }
}

/// How long an outcome bars the machine. One that fails is barred, and so is one that leaves: it turns tasks
/// off or sends them away, which the list tells only later. Where a queue is long or capacity is short,
/// others fit soon. An error is not held against it yet: a task that no machine can use would bar one after
/// another.
fn ejection_us(outcome: AttemptOutcome, reason: i64, phase: TaskPhase) -> i64 {
    let machine_gone = reason == REASON_NONE || reason == REASON_SENT_AWAY;
    match outcome {
        AttemptOutcome::Full if reason != REASON_NOT_HERE => REFUSAL_EJECTION_US,
        AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut | AttemptOutcome::Full => EJECTION_US,
        AttemptOutcome::Reset if phase == TaskPhase::Sent || machine_gone => EJECTION_US,
        _ => 0,
    }
}
