//! Tasks that wait for capacity: in which order they are tried, when they are given up, and the timers.
use super::state::TaskPhase;
use super::{Planner, TICK_US};
use crate::host::{text, Host, Resources};
use std::collections::BTreeMap;

impl<H: Host> Planner<H> {
    /// A task is asked for, to be answered within `time_left_us`.
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
        if self.probe_homes(service) || !self.place(task) {
            self.wait(task);
        }
    }

    /// Time is up for a task: its client does not wait any longer.
    pub fn task_expired(&mut self, task: usize) {
        let expired = &self.tasks[task];
        if expired.phase == TaskPhase::Sent && self.setting("permissions.cancelling") > 0.0 {
            self.host.cancel(task, expired.attempts - 1);
        }
        self.tasks[task].phase = TaskPhase::Over;
        self.waiting.retain(|&other| other != task);
        self.serve_waiting();
    }

    /// A task must be answered within `time_left_us` from now, if not earlier. One that waits and has no time left
    /// is given up at once; one whose attempt is out, with the attempt's outcome.
    pub fn deadline_shortened(&mut self, task: usize, time_left_us: i64) {
        let shortened = &mut self.tasks[task];
        shortened.deadline_at = shortened.deadline_at.min(self.now + time_left_us);
        if shortened.phase != TaskPhase::Waiting {
            return;
        }
        self.waiting.retain(|&other| other != task);
        if self.is_too_late(task) {
            self.give_up(task);
        } else {
            self.wait(task);
        }
    }

    /// A timer that the planner set is due; its token says which.
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
        if self.now >= self.list_due_at {
            self.request_list();
        }
        self.probe_due_machines();
        self.serve_waiting();
    }

    /// Waits for capacity, with a timer of its own for the last moment at which an attempt could be answered.
    pub(super) fn wait(&mut self, task: usize) {
        let waiting = &self.tasks[task];
        let left = waiting.deadline_at - self.answer_us[waiting.framework] as i64 - self.now;
        let token = self.timer_token(task);
        self.host.set_timer(left.max(0), token);
        self.tasks[task].tried.clear();
        self.waiting.push(task);
    }

    /// Too little time for an answer, or what may have run forbids every further attempt.
    pub(super) fn is_too_late(&self, task: usize) -> bool {
        let waiting = &self.tasks[task];
        let barred = waiting.possibly_ran.is_some_and(|(machine, _)| !self.retry_allowed(task, machine));
        barred || self.now + self.answer_us[waiting.framework] as i64 >= waiting.deadline_at
    }

    /// The final answer: rejected where a further try is harmless, else aborted.
    pub(super) fn give_up(&mut self, task: usize) {
        self.tasks[task].phase = TaskPhase::Over;
        let framework = self.tasks[task].framework;
        let in_all = text(&self.settings, &format!("classes.{framework}.group")) == "all";
        let semantics = self.frameworks[framework].semantics.as_str();
        let harmless = semantics == "retryable" || (semantics == "dedup" && in_all);
        if harmless || self.tasks[task].possibly_ran.is_none() {
            self.host.reject(task, 0);
        } else {
            self.host.abort(task);
        }
    }

    /// Capacity may have come: those who wait are tried by priority weight, the oldest first.
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
            if self.is_too_late(task) {
                self.give_up(task);
                continue;
            }
            // Where one could not go, a larger one under the same constraints cannot.
            let group = (framework, self.host.constraint_group(task));
            let smallest: &mut f64 = smallest_by_group.entry(group).or_insert(f64::MAX);
            if cores >= *smallest || !self.place(task) {
                *smallest = smallest.min(cores);
                self.waiting.push(task);
            }
        }
    }

    /// The token of a task's timer: it is another one for the next task under the same index.
    fn timer_token(&self, task: usize) -> u64 {
        (self.tasks[task].sequence & 0x3fff_ffff) << 32 | task as u64
    }
}
