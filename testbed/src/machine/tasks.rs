//! Tasks on a simulated machine: their start, usage and end.
use super::{MachineState, MachineTimer, Task};
use crate::attempt_frames::{running, AttemptKey};
use basaltpitch_agent::attempt_table::{AttemptReply, AttemptState};
use basaltpitch_agent::wire::{EndedHow, Report};
use rand::Rng;

impl MachineState {
    /// Starts queued tasks up to the limit of concurrent starts.
    pub(super) fn start_tasks(&mut self) {
        while self.starting < self.context.behaviour.concurrent_starts {
            let Some(attempt) = self.start_queue.pop_front() else { return };
            let Some(task) = self.tasks.get(&attempt) else { continue };
            let service = task.service;
            let has_program = self.programs.contains(&service)
                || self.tasks.values().any(|task| task.running && task.service == service);
            let behaviour = &self.context.behaviour;
            let age_us = self.now() - self.shared.started_us.get();
            let speed = (age_us as f64 / behaviour.warm_up_us.max(1) as f64).clamp(0.2, 1.0);
            let slowdown = if has_program { 1.0 } else { behaviour.uncached_start_factor };
            let takes_us = behaviour.start_us as f64 * slowdown / speed * self.rng.random_range(0.7..1.3);
            self.starting += 1;
            self.set_timer(takes_us as i64, MachineTimer::Start(attempt));
        }
    }

    /// Marks a task as running, and notifies its planner.
    pub(super) fn task_started(&mut self, attempt: AttemptKey) {
        self.starting = self.starting.saturating_sub(1);
        let now = self.now();
        if let Some(task) = self.tasks.get_mut(&attempt) {
            task.running = true;
            task.ends_at = now + task.runs_us;
            let (runs_us, usage) = (task.runs_us, (task.cores, task.memory));
            self.shared.ran.set(self.shared.ran.get() + 1);
            self.attempts.set_state(&attempt.0, attempt.1, AttemptState::Running);
            let key = self.task_key(&attempt);
            if self.context.behaviour.accepts_when_running {
                self.reply_for(&attempt, key.clone(), AttemptReply::Accepted);
            }
            for frame in running(attempt.1, &key, usage) {
                self.send_frame(&attempt.0, frame);
            }
            self.set_timer(runs_us, MachineTimer::End(attempt));
        }
        self.start_tasks();
    }

    /// Ends a task whose run time is over.
    pub(super) fn task_done(&mut self, attempt: &AttemptKey) {
        let now = self.now();
        if self.tasks.get(attempt).is_some_and(|task| task.running && task.ends_at <= now) {
            self.end_task(attempt, EndedHow::EndedDone);
        }
    }

    /// Ends a task for any reason: releases its capacity, notifies its planner and caches its
    /// program.
    pub(super) fn end_task(&mut self, attempt: &AttemptKey, how: EndedHow) {
        let Some(task) = self.tasks.remove(attempt) else { return };
        let reserved = self.shared.reserved.get();
        self.shared.reserved.set((reserved.0 - task.requested.0, reserved.1 - task.requested.1));
        if let Some(launch) = self.attempts.payload(&attempt.0, attempt.1).cloned() {
            if launch.kind == "keyed" {
                let group = self.repeat_group(&launch.framework);
                let mut active = self.context.active_keyed.borrow_mut();
                if let Some(count) = active.get_mut(&(group, launch.key.clone())) {
                    *count = count.saturating_sub(1);
                }
            }
            self.attempts.set_state(&attempt.0, attempt.1, AttemptState::Ended(how as u8));
            self.reply_for(attempt, launch.key, AttemptReply::Ended(how as u8));
        }
        self.programs.retain(|&service| service != task.service);
        self.programs.push_back(task.service);
        while self.programs.len() > self.context.behaviour.cached_programs {
            self.programs.pop_front();
        }
    }

    /// Returns the attempts of all accepted tasks.
    pub(super) fn all_tasks(&self) -> Vec<AttemptKey> {
        self.tasks.keys().cloned().collect()
    }

    /// Returns the cores and memory in use, including leaks.
    pub(super) fn used(&self) -> (f64, f64) {
        let leak = self.shared.leaked.get();
        let sum =
            |part: fn(&Task) -> f64| self.tasks.values().filter(|task| task.running).map(part).sum::<f64>();
        let cores = sum(|task| task.cores) + leak * self.shared.cores;
        (cores, sum(|task| task.memory) + leak * self.shared.memory)
    }

    /// Returns the unused cores and memory as of the last refresh, or as of an earlier one if
    /// reports are delayed.
    pub(super) fn report(&self) -> Option<Report> {
        let until = self.now() - self.shared.report_delay_us.get();
        let last = self.reports.iter().rev().find(|report| report.0 <= until).or(self.reports.front())?;
        Some(Report { values: vec![last.1, last.2] })
    }
}
