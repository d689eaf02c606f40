//! Offers of attempts to a simulated machine: they wait in a queue, are checked one at a time, and
//! are accepted or refused.
use super::{MachineCommand, MachineState, MachineTimer, Task};
use crate::attempt_frames::AttemptKey;
use basaltpitch_agent::attempt_table::{AttemptReply, AttemptState};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::wire::{EndedHow, Launch};
use rand::Rng;

impl MachineState {
    /// Queues a new offer, or repeats the reply to a known attempt.
    pub(super) fn offered(&mut self, planner: String, launch: Launch) {
        let Some(id) = launch.id.map(|id| (id.epoch, id.number)) else { return };
        let key = launch.key.clone();
        let (attempt_reply, new) = self.attempts.launch(&planner, id, launch);
        let attempt = (planner, id);
        if !new {
            return self.reply_for(&attempt, key, attempt_reply);
        }
        self.count_offer();
        if self.offers.len() >= self.context.behaviour.max_queue {
            return self.refuse(&attempt, refusal_reason::QUEUE_TOO_LONG);
        }
        self.offers.push_back(attempt);
        self.schedule_offer_check();
    }

    /// Counts offers while the machine warms up; far too many within a window crash it.
    fn count_offer(&mut self) {
        let (now, behaviour) = (self.now(), &self.context.behaviour);
        if now >= self.shared.started_us.get() + behaviour.warm_up_us {
            return self.warm_up_offers.clear();
        }
        self.warm_up_offers.push_back(now);
        while self.warm_up_offers.front().is_some_and(|&at| at <= now - behaviour.offer_window_us) {
            self.warm_up_offers.pop_front();
        }
        if self.warm_up_offers.len() > 2 * behaviour.max_warm_up_offers {
            self.context.checker.borrow_mut().machine_overloaded(now, &self.shared.name);
            self.command(MachineCommand::Down);
        }
    }

    /// Starts the check of the next offer unless a check is in progress.
    fn schedule_offer_check(&mut self) {
        if !self.checks_offer && !self.offers.is_empty() {
            self.checks_offer = true;
            self.set_timer(self.context.behaviour.offer_check_us, MachineTimer::CheckOffer);
        }
    }

    /// Accepts or refuses the first queued offer, and starts the next check.
    pub(super) fn check_next_offer(&mut self) {
        self.checks_offer = false;
        if let Some(attempt) = self.offers.pop_front() {
            if let Some(launch) = self.attempts.payload(&attempt.0, attempt.1).cloned() {
                match self.check_offer(&launch) {
                    Ok(()) => self.accept_task(attempt, launch),
                    Err(why) => self.refuse(&attempt, why),
                }
            }
        }
        self.schedule_offer_check();
    }

    /// Returns the name of the group of machines that detects repeats of a framework's keyed tasks
    /// together.
    pub(super) fn repeat_group(&self, framework: &str) -> String {
        match self.context.behaviour.groups.get(framework).map(String::as_str) {
            Some("zone") => self.shared.zone.clone(),
            Some("cell") => format!("{} {}", self.shared.zone, self.shared.cell),
            _ => "all".into(),
        }
    }

    /// Checks an offer, and preempts tasks of lower priority to make capacity for it. Fails with
    /// the reason code of the refusal.
    fn check_offer(&mut self, launch: &Launch) -> Result<(), u32> {
        let behaviour = &self.context.behaviour;
        let kind = behaviour.kinds.get(&launch.framework);
        if self.shared.draining.get() || kind.is_some_and(|kind| *kind != self.shared.kind) {
            return Err(refusal_reason::NOT_HERE);
        }
        if launch.kind == "keyed" {
            let group = self.repeat_group(&launch.framework);
            let active = self.context.active_keyed.borrow();
            if active.get(&(group, launch.key.clone())).is_some_and(|&count| count > 0) {
                return Err(refusal_reason::NOT_HERE);
            }
        }
        let max_cores = behaviour.accept_cores * self.shared.cores;
        let max_memory = behaviour.accept_memory * self.shared.memory;
        let priority = self.priority(&launch.framework);
        loop {
            let (cores, memory) = self.shared.reserved.get();
            let no_cores = cores + launch.cores > max_cores;
            let no_memory = memory + launch.memory > max_memory;
            if !no_cores && !no_memory {
                return Ok(());
            }
            let lower = |task: &Task| self.priority(&task.framework) < priority;
            let preempted =
                self.tasks.iter().find(|(_, task)| lower(task)).map(|(attempt, _)| attempt.clone());
            let Some(attempt) = preempted else {
                return Err(if no_cores { refusal_reason::NO_CORES } else { refusal_reason::NO_MEMORY });
            };
            self.end_task(&attempt, EndedHow::EndedPushedOut);
        }
    }

    /// Accepts an offer, reserves its capacity, and queues the task for its start.
    fn accept_task(&mut self, attempt: AttemptKey, launch: Launch) {
        if self.rng.random_bool(self.shared.failure_rate.get().clamp(0.0, 1.0)) {
            self.attempts.set_state(&attempt.0, attempt.1, AttemptState::Failed);
            return self.reply_for(&attempt, launch.key, AttemptReply::Failed);
        }
        self.attempts.set_state(&attempt.0, attempt.1, AttemptState::Accepted);
        let (cores, memory, runs_us) = (self.context.usage.borrow())(&launch);
        if launch.kind == "keyed" {
            let group = self.repeat_group(&launch.framework);
            let mut active = self.context.active_keyed.borrow_mut();
            *active.entry((group, launch.key.clone())).or_insert(0) += 1;
        }
        let requested = (launch.cores, launch.memory);
        let reserved = self.shared.reserved.get();
        self.shared.reserved.set((reserved.0 + requested.0, reserved.1 + requested.1));
        let task = Task {
            framework: launch.framework,
            service: launch.service,
            cores,
            memory,
            requested,
            runs_us,
            ends_at: 0,
            running: false,
        };
        self.tasks.insert(attempt.clone(), task);
        if !self.context.behaviour.accepts_when_running {
            self.reply_for(&attempt, launch.key, AttemptReply::Accepted);
        }
        self.start_queue.push_back(attempt);
        self.start_tasks();
    }
}
