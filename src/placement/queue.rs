//! The queue of tasks that wait for capacity: arrival, order of service, deadlines and timers.
use super::state::TaskPhase;
use super::{Planner, TICK_US};
use crate::host::{text, Host, Resources};
use std::collections::BTreeMap;

impl<H: Host> Planner<H> {
    /// Handles a request to place a task, which must be answered within `time_left_us`.
    pub fn task_requested(
        &mut self,
        task: usize,
        framework: usize,
        _tenant: Option<usize>,
        service: usize,
        demand: Resources,
        time_left_us: i64,
    ) {
        self.insert_task(task, framework, service, demand);
        let new = &mut self.tasks[task];
        (new.phase, new.requested_at) = (TaskPhase::Waiting, self.now);
        new.deadline_at = self.now + time_left_us;
        if self.probe_affinity_machines(service) || !self.place(task) {
            self.wait(task);
        }
    }

    /// Handles a task whose client no longer waits for it, because the deadline has passed or the
    /// client withdrew or ended the task. Cancels an unanswered attempt if the settings allow
    /// cancellation.
    pub fn task_expired(&mut self, task: usize) {
        let expired = &self.tasks[task];
        if expired.phase == TaskPhase::Sent && self.setting("permissions.cancelling") > 0.0 {
            self.host.cancel(task, expired.attempts - 1);
        }
        self.tasks[task].phase = TaskPhase::Over;
        self.waiting.retain(|&other| other != task);
        self.serve_waiting();
    }

    /// Shortens a task's deadline to at most `time_left_us` from now. A waiting task without enough
    /// time left is answered at once; a task with an open attempt is answered after that attempt
    /// ends.
    pub fn deadline_shortened(&mut self, task: usize, time_left_us: i64) {
        let shortened = &mut self.tasks[task];
        shortened.deadline_at = shortened.deadline_at.min(self.now + time_left_us);
        if shortened.phase != TaskPhase::Waiting {
            return;
        }
        self.waiting.retain(|&other| other != task);
        if self.must_give_up(task) {
            self.give_up(task);
        } else {
            self.wait(task);
        }
    }

    /// Handles a timer that is due. Token 0 is the periodic timer; any other token is the deadline
    /// timer of a waiting task, which is ignored if the task has left the queue or its index has
    /// been reused.
    pub fn timer_fired(&mut self, token: u64) {
        if token != 0 {
            let task = (token & 0xffff_ffff) as usize;
            if self.tasks[task].phase == TaskPhase::Waiting && self.timer_token(task) == token {
                self.waiting.retain(|&other| other != task);
                self.give_up(task);
            }
            return;
        }
        self.host.set_timer(TICK_US, 0);
        if self.now >= self.list_request_at {
            self.request_list();
        }
        self.probe_due_machines();
        self.serve_waiting();
    }

    /// Adds a task to the queue, with a timer for the latest time at which a new attempt could
    /// still be answered before the deadline.
    pub(super) fn wait(&mut self, task: usize) {
        let waiting = &self.tasks[task];
        let left = waiting.deadline_at - self.answer_us[waiting.framework] as i64 - self.now;
        let token = self.timer_token(task);
        self.host.set_timer(left.max(0), token);
        self.tasks[task].tried.clear();
        self.waiting.push(task);
    }

    /// Returns whether a task must be given up: too little time is left for an attempt to be
    /// answered, or an attempt that may have run forbids retries, even on the machine of that
    /// attempt.
    pub(super) fn must_give_up(&self, task: usize) -> bool {
        let waiting = &self.tasks[task];
        let retry_forbidden =
            waiting.possibly_ran.is_some_and(|(machine, _)| !self.retry_allowed(task, machine));
        retry_forbidden || self.now + self.answer_us[waiting.framework] as i64 >= waiting.deadline_at
    }

    /// Sends a task's final answer. The task is rejected if no attempt can have run or if the
    /// client can safely submit it again; otherwise it is aborted.
    pub(super) fn give_up(&mut self, task: usize) {
        self.tasks[task].phase = TaskPhase::Over;
        let framework = self.tasks[task].framework;
        let deduplicated_everywhere = text(&self.settings, &format!("classes.{framework}.group")) == "all";
        let semantics = self.frameworks[framework].semantics.as_str();
        let harmless = semantics == "retryable" || (semantics == "dedup" && deduplicated_everywhere);
        if harmless || self.tasks[task].possibly_ran.is_none() {
            self.host.reject(task, 0);
        } else {
            self.host.abort(task);
        }
    }

    /// Tries to place the waiting tasks when capacity may have become available, in descending
    /// order of priority weight and then by age.
    pub(super) fn serve_waiting(&mut self) {
        let mut queue = std::mem::take(&mut self.waiting);
        let weight = |task: usize| self.frameworks[self.tasks[task].framework].weight;
        let sequence = |task: usize| self.tasks[task].sequence;
        queue.sort_by(|&one, &other| {
            weight(other).total_cmp(&weight(one)).then(sequence(one).cmp(&sequence(other)))
        });
        let mut smallest_by_group = BTreeMap::new();
        for task in queue {
            let (framework, cores) = (self.tasks[task].framework, self.tasks[task].cores);
            if self.must_give_up(task) {
                self.give_up(task);
                continue;
            }
            // A task is skipped if a task of the same framework and constraints that requests no
            // more cores has just found no machine.
            let group = (framework, self.host.constraint_group(task));
            let smallest: &mut f64 = smallest_by_group.entry(group).or_insert(f64::MAX);
            if cores >= *smallest || !self.place(task) {
                *smallest = smallest.min(cores);
                self.waiting.push(task);
            }
        }
    }

    /// Returns the token of a task's timer, which differs between successive tasks with the same
    /// index.
    fn timer_token(&self, task: usize) -> u64 {
        (self.tasks[task].sequence & 0x3fff_ffff) << 32 | task as u64
    }
}
