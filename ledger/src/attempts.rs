//! Attempts: how the placement module launches them, how machines accept and end them, and what the
//! end of an attempt means for the request.
use crate::{
    Actions, Attempt, AttemptEnd, AttemptId, AttemptState, Evidence, Idempotency, Ledger, LedgerAction,
    LifecycleEvent, Proof, RejectReason, RequestOutcome, RequestPhase,
};
use basaltpitch::host::AttemptOutcome;
use std::hash::Hash;

/// Outcome of an attempt, as reported to the placement module.
#[derive(Clone, Copy)]
pub(crate) struct Resolution {
    outcome: AttemptOutcome,
    /// The machine's reason code; 0 for none.
    reason_code: i64,
    /// Whether the task is over; if false, the task waits to be placed again.
    over: bool,
}

impl Resolution {
    /// Resolves the attempt of a task that waits to be placed again.
    fn retry(outcome: AttemptOutcome) -> Self {
        Resolution { outcome, reason_code: 0, over: false }
    }

    /// Resolves the attempt of a task that is over.
    pub(crate) fn over(outcome: AttemptOutcome) -> Self {
        Resolution { outcome, reason_code: 0, over: true }
    }
}

/// Why an attempt is no longer on a machine.
#[derive(Clone, Copy)]
pub(crate) struct Removal {
    pub evidence: Evidence,
    pub outcome: AttemptOutcome,
    /// The machine's reason code; 0 for none.
    pub reason_code: i64,
}

impl Removal {
    pub(crate) const UNSENT: Removal = Removal::of(Evidence::Unsent, AttemptOutcome::ConnectFailed);
    pub(crate) const ABSENT: Removal = Removal::of(Evidence::Absent, AttemptOutcome::ConnectFailed);
    pub(crate) const MACHINE_LOST: Removal = Removal::of(Evidence::MachineLost, AttemptOutcome::Reset);
    const FAILED: Removal = Removal::of(Evidence::Failed, AttemptOutcome::Error);

    const fn of(evidence: Evidence, outcome: AttemptOutcome) -> Self {
        Removal { evidence, outcome, reason_code: 0 }
    }
}

/// Calls of the placement module.
impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// Starts a task on a machine. If the task ended before the placement module was notified, it
    /// is not started, and the module is informed that no attempt was sent.
    pub fn launch(&mut self, task: usize, machine: usize, timeout_us: i64, actions: &mut Actions<K>) {
        let key =
            self.tasks.key(task).expect("the placement module launches only tasks that it was given").clone();
        let record = self.records.get_mut(&key).expect("an indexed task has a record");
        if record.task != Some(task) || record.phase != RequestPhase::Waiting {
            let outcome = AttemptOutcome::NotSent;
            actions.push(LedgerAction::Resolved { task, outcome, reason_code: 0, over: true });
            return self.tasks.task_over(task);
        }
        debug_assert!(
            record.attempts.iter().all(|attempt| attempt.state != AttemptState::InFlight),
            "a task has at most one attempt in flight"
        );
        self.tasks.await_outcome(task);
        self.last_attempt += 1;
        let id = AttemptId { epoch: self.epoch, number: self.last_attempt };
        record.phase = RequestPhase::InFlight;
        record.launch_count += 1;
        record.attempts.push(Attempt {
            id,
            machine,
            state: AttemptState::InFlight,
            task: Some(task),
            since_us: self.now_us,
        });
        self.index_attempt(id, machine, &key, actions);
        actions.push(LedgerAction::Launch { key, attempt: id, machine, timeout_us });
    }

    /// Indexes an attempt by its identity and by its machine.
    pub(crate) fn index_attempt(
        &mut self,
        attempt: AttemptId,
        machine: usize,
        key: &K,
        actions: &mut Actions<K>,
    ) {
        actions.push(LedgerAction::AttemptStarted { attempt, machine, key: key.clone() });
        self.keys_by_attempt.insert(attempt, key.clone());
        self.attempts_by_machine.insert((machine, attempt));
    }

    /// Declines a task's request because the placement module found no machine for it.
    pub fn decline(&mut self, task: usize, retry_after_us: i64, actions: &mut Actions<K>) {
        let reason = RejectReason::NoCapacity;
        self.answer(task, RequestOutcome::Declined { retry_after_us, reason }, actions);
    }

    /// Aborts a task's request because an attempt may have run.
    pub fn abort(&mut self, task: usize, actions: &mut Actions<K>) {
        self.answer(task, RequestOutcome::Aborted { reason: RejectReason::MayHaveRun }, actions);
    }

    fn answer(&mut self, task: usize, outcome: RequestOutcome, actions: &mut Actions<K>) {
        let Some(key) = self.key_of(task).cloned() else { return };
        let now_us = self.now_us;
        let record = self.records.get_mut(&key);
        if let Some(record) = record.filter(|record| record.task == Some(task) && record.phase.is_open()) {
            record.close(RequestPhase::Answered, Some(outcome), now_us);
            let (request_id, client) = (record.request_id, record.client);
            actions.push(LedgerAction::Reply { key: key.clone(), request_id, client, outcome });
            self.open_count -= 1;
            self.closed.push_back((now_us, key));
        }
        self.tasks.task_over(task);
    }

    /// Stops a placed task so that its client requests it again and it can be placed elsewhere.
    pub fn move_away(&mut self, task: usize, actions: &mut Actions<K>) {
        let Some(key) = self.key_of(task).cloned() else { return };
        let now_us = self.now_us;
        let record = self.records.get_mut(&key).expect("an indexed task has a record");
        if record.phase == RequestPhase::Placed && record.task == Some(task) {
            let event = LifecycleEvent::Moved;
            record.close(RequestPhase::Over(event), record.outcome, now_us);
            let (request_id, client) = (record.request_id, record.client);
            actions.push(LedgerAction::Lifecycle { key: key.clone(), request_id, client, event });
            self.closed.push_back((now_us, key.clone()));
            self.stop_active(&key, actions);
        }
    }
}

/// Events of attempts, as reported by machines and links.
impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// Records that a machine accepted an attempt. If the attempt was given up before, a repeatable
    /// task's attempt is stopped, as is any attempt of a task that is placed elsewhere; any other
    /// attempt is adopted as the task's placement.
    pub fn accepted(&mut self, id: AttemptId, actions: &mut Actions<K>) {
        let Some(key) = self.keys_by_attempt.get(&id).cloned() else { return };
        let record = self.records.get_mut(&key).expect("an attempt has a record");
        let (idempotency, phase) = (record.idempotency, record.phase);
        let attempt = record.attempt_mut(id).expect("a known attempt is in its record");
        match attempt.state {
            AttemptState::Active | AttemptState::Stopping => {}
            AttemptState::InFlight => {
                attempt.state = AttemptState::Active;
                let (task, machine) = (attempt.task, attempt.machine);
                self.answer_placed(&key, machine, actions);
                actions.extend(task.map(|task| LedgerAction::Accepted { task }));
            }
            AttemptState::InDoubt
                if idempotency == Idempotency::Repeatable || phase == RequestPhase::Placed =>
            {
                attempt.state = AttemptState::Stopping;
                actions.push(LedgerAction::Stop { attempt: id, machine: attempt.machine });
            }
            AttemptState::InDoubt => self.adopt(&key, id, actions),
        }
    }

    /// Answers an open request as placed on a machine.
    fn answer_placed(&mut self, key: &K, machine: usize, actions: &mut Actions<K>) {
        let record = self.records.get_mut(key).expect("a placed task has a record");
        let outcome = RequestOutcome::Placed { machine };
        (record.phase, record.outcome) = (RequestPhase::Placed, Some(outcome));
        let (request_id, client) = (record.request_id, record.client);
        actions.push(LedgerAction::Reply { key: key.clone(), request_id, client, outcome });
        self.open_count -= 1;
    }

    /// Adopts an attempt that runs although the planner no longer waited for it: it becomes the
    /// task's placement, an open request is answered with its machine, and another attempt in
    /// flight for that request is cancelled.
    pub(crate) fn adopt(&mut self, key: &K, id: AttemptId, actions: &mut Actions<K>) {
        let record = &self.records[key];
        if record.phase.is_open() {
            let (request_id, client) = (record.request_id, record.client);
            let machine = record.attempt(id).expect("an adopted attempt is in its record").machine;
            self.close_unanswered(key, RequestPhase::Placed, actions);
            let outcome = RequestOutcome::Placed { machine };
            self.records.get_mut(key).expect("the record was found above").outcome = Some(outcome);
            actions.push(LedgerAction::Reply { key: key.clone(), request_id, client, outcome });
        }
        let task = self.tasks.allocate(key.clone());
        self.tasks.await_outcome(task);
        let record = self.records.get_mut(key).expect("the record was found above");
        record.phase = RequestPhase::Placed;
        record.task = Some(task);
        let attempt = record.attempt_mut(id).expect("an adopted attempt is in its record");
        (attempt.state, attempt.task) = (AttemptState::Active, Some(task));
        actions.push(LedgerAction::Adopted { task, machine: attempt.machine });
    }

    /// Records that a machine refused an attempt, which proves that it never ran and never will.
    pub fn refused(&mut self, id: AttemptId, reason_code: i64, actions: &mut Actions<K>) {
        let removal = Removal { evidence: Evidence::Refused, outcome: AttemptOutcome::Refused, reason_code };
        self.remove(id, removal, actions);
    }

    /// Records that a machine tried to start an attempt and failed.
    pub fn failed(&mut self, id: AttemptId, machine: usize, actions: &mut Actions<K>) {
        self.remove(id, Removal::FAILED, actions);
        actions.push(LedgerAction::Acknowledge { attempt: id, machine });
    }

    /// Records that an attempt ended on its machine. The machine repeats this report until it is
    /// acknowledged.
    pub fn ended(&mut self, id: AttemptId, machine: usize, how: AttemptEnd, actions: &mut Actions<K>) {
        if let Some(key) = self.keys_by_attempt.get(&id).cloned() {
            if self.records[&key].attempt(id).is_some_and(|attempt| attempt.state == AttemptState::InFlight) {
                // The acceptance was lost with a link: the task was placed and has ended since.
                self.accepted(id, actions);
            }
            // The placement module's reason codes for ends: 5 evicted, 6 preempted, 7 drained.
            let (outcome, reason_code, event) = match how {
                AttemptEnd::Done => (AttemptOutcome::Ended, 0, LifecycleEvent::Ended),
                AttemptEnd::Stopped => (AttemptOutcome::Cancelled, 0, LifecycleEvent::Stopped),
                AttemptEnd::Evicted => (AttemptOutcome::Reset, 5, LifecycleEvent::Evicted),
                AttemptEnd::Preempted => (AttemptOutcome::Reset, 6, LifecycleEvent::Evicted),
                AttemptEnd::Drained => (AttemptOutcome::Reset, 7, LifecycleEvent::Lost),
            };
            self.close_active(&key, id, event, actions);
            self.remove(id, Removal { evidence: Evidence::Ended, outcome, reason_code }, actions);
        }
        actions.push(LedgerAction::Acknowledge { attempt: id, machine });
    }

    /// Gives up an attempt whose timeout passed without an answer.
    pub fn timed_out(&mut self, id: AttemptId, actions: &mut Actions<K>) {
        let attempt = self.attempt(id).filter(|attempt| attempt.state == AttemptState::InFlight);
        let Some(attempt) = attempt else { return };
        actions.push(LedgerAction::Cancel { attempt: id, machine: attempt.machine });
        self.give_up(id, AttemptOutcome::TimedOut, actions);
    }

    /// Records that an attempt was never handed to the link.
    pub fn unsent(&mut self, id: AttemptId, actions: &mut Actions<K>) {
        self.remove(id, Removal::UNSENT, actions);
    }
}

/// Steps shared by the calls above.
impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// Gives up an attempt in flight although it may run.
    pub(crate) fn give_up(&mut self, id: AttemptId, outcome: AttemptOutcome, actions: &mut Actions<K>) {
        let now_us = self.now_us;
        let Some(key) = self.keys_by_attempt.get(&id).cloned() else { return };
        let record = self.records.get_mut(&key).expect("an attempt has a record");
        let attempt = record.attempt_mut(id).expect("a known attempt is in its record");
        let task = attempt.task.take();
        (attempt.state, attempt.since_us) = (AttemptState::InDoubt, now_us);
        record.return_to_waiting();
        self.resolve(task, Resolution::retry(outcome), actions);
    }

    /// Removes an attempt that is on no machine any more; `removal.evidence` says whether it may
    /// have run.
    pub(crate) fn remove(&mut self, id: AttemptId, removal: Removal, actions: &mut Actions<K>) {
        let Some(key) = self.keys_by_attempt.remove(&id) else { return };
        actions.push(LedgerAction::AttemptEnded { attempt: id });
        let record = self.records.get_mut(&key).expect("an attempt has a record");
        let position = record.attempts.iter().position(|attempt| attempt.id == id);
        let attempt = record.attempts.remove(position.expect("a known attempt is in its record"));
        self.attempts_by_machine.remove(&(attempt.machine, id));
        let unanswered = matches!(attempt.state, AttemptState::InFlight | AttemptState::InDoubt);
        if unanswered && removal.evidence.proof() == Proof::MayHaveRun {
            record.may_have_run_at_us = Some(self.now_us);
        }
        if attempt.state == AttemptState::InFlight {
            record.return_to_waiting();
        }
        let (outcome, reason_code) = (removal.outcome, removal.reason_code);
        self.resolve(attempt.task, Resolution { outcome, reason_code, over: !unanswered }, actions);
    }

    /// Closes a placed task whose active attempt ended, and reports the event to the client once.
    pub(crate) fn close_active(
        &mut self,
        key: &K,
        id: AttemptId,
        event: LifecycleEvent,
        actions: &mut Actions<K>,
    ) {
        let now_us = self.now_us;
        let record = self.records.get_mut(key).expect("an attempt has a record");
        let active = record.attempt(id).is_some_and(|attempt| attempt.state == AttemptState::Active);
        if active && record.phase == RequestPhase::Placed {
            record.close(RequestPhase::Over(event), record.outcome, now_us);
            if event == LifecycleEvent::Lost {
                record.lost_at_us = Some(now_us);
            }
            let (request_id, client) = (record.request_id, record.client);
            actions.push(LedgerAction::Lifecycle { key: key.clone(), request_id, client, event });
            self.closed.push_back((now_us, key.clone()));
        }
    }

    pub(crate) fn stop_active(&mut self, key: &K, actions: &mut Actions<K>) {
        let record = self.records.get_mut(key).expect("a placed task has a record");
        let active = |state| state == AttemptState::Active;
        for attempt in record.attempts.iter_mut().filter(|attempt| active(attempt.state)) {
            attempt.state = AttemptState::Stopping;
            actions.push(LedgerAction::Stop { attempt: attempt.id, machine: attempt.machine });
        }
    }

    /// Reports to the placement module the outcome that it awaits.
    pub(crate) fn resolve(&mut self, task: Option<usize>, resolution: Resolution, actions: &mut Actions<K>) {
        let Some(task) = task else { return };
        let Resolution { outcome, reason_code, over } = resolution;
        actions.push(LedgerAction::Resolved { task, outcome, reason_code, over });
        self.tasks.record_outcome(task, over);
    }
}
