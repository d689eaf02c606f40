//! Client requests: how they are opened, repeated, superseded and cancelled.
use crate::{
    Actions, AttemptState, Idempotency, Ledger, LedgerAction, LifecycleEvent, RejectReason, Rejection,
    Request, RequestOutcome, RequestPhase, TaskRecord,
};
use basaltpitch::host::AttemptOutcome;
use std::hash::Hash;

/// Delay before a client may repeat a request that was declined because too many tasks are open.
const TOO_MANY_OPEN_RETRY_US: i64 = 1_000_000;

impl<K: Clone + Ord + Hash, J: Clone> Ledger<K, J> {
    /// Handles a client's request. A repeat of a known request joins its record. A new request for
    /// a placed task is answered with that task's machine. A new request that could run the task a
    /// second time beside an earlier attempt is declined until that attempt has settled, or
    /// aborted.
    pub fn submit(&mut self, request: Request<K, J>, time_left_us: i64, actions: &mut Actions<K>) {
        let time_left_us = time_left_us - self.config.reply_travel_us;
        self.handle_request(request, Ok(time_left_us), actions);
    }

    /// Handles a request that was rejected on arrival. The rejection applies only to a request that
    /// would otherwise be opened: a repeat of an open or answered request still joins its record, a
    /// placed task is still answered as placed, and a request whose earlier attempt may have run is
    /// not declined as if nothing had run.
    pub fn submit_rejected(
        &mut self,
        request: Request<K, J>,
        rejection: Rejection,
        actions: &mut Actions<K>,
    ) {
        self.handle_request(request, Err(rejection), actions);
    }

    fn handle_request(
        &mut self,
        request: Request<K, J>,
        admission: Result<i64, Rejection>,
        actions: &mut Actions<K>,
    ) {
        let (request_id, client) = (request.request_id, request.client);
        let key = request.key.clone();
        let reply = |outcome| LedgerAction::Reply { key: key.clone(), request_id, client, outcome };
        if let Some(record) = self.records.get_mut(&key) {
            if request_id < record.request_id {
                let reason = RejectReason::Superseded;
                return actions.push(reply(RequestOutcome::Aborted { reason }));
            }
            record.client = client;
            if request_id == record.request_id {
                // A repeat: an open request goes on, an answered one gets the same answer again.
                return actions.extend(record.outcome.map(reply));
            }
            if let (RequestPhase::Placed, Some(attempt)) = (record.phase, record.active_attempt()) {
                let outcome = RequestOutcome::Placed { machine: attempt.machine };
                (record.request_id, record.outcome) = (request_id, Some(outcome));
                return actions.push(reply(outcome));
            }
            if record.phase.is_open() {
                self.close_with_answer(
                    &key,
                    RequestOutcome::Aborted { reason: RejectReason::Superseded },
                    actions,
                );
            }
        }
        match self.admit(&request, admission) {
            Ok(time_left_us) => self.open_request(request, time_left_us, actions),
            Err(outcome) => {
                if let Some(record) = self.records.get_mut(&key) {
                    let phase = RequestPhase::Answered;
                    (record.request_id, record.outcome, record.phase) = (request_id, Some(outcome), phase);
                }
                actions.push(reply(outcome));
            }
        }
    }

    /// Returns the time left for a new request, or the final answer if it must not be opened.
    fn admit(
        &self,
        request: &Request<K, J>,
        admission: Result<i64, Rejection>,
    ) -> Result<i64, RequestOutcome> {
        let declined = |reason, retry_after_us| RequestOutcome::Declined { retry_after_us, reason };
        if let Some(outcome) = self.unsettled_outcome(&request.key, request.idempotency) {
            return Err(outcome);
        }
        let time_left_us =
            admission.map_err(|rejection| declined(rejection.reason, rejection.retry_after_us))?;
        if self.open_count >= self.config.max_open {
            return Err(declined(RejectReason::TooManyOpenTasks, TOO_MANY_OPEN_RETRY_US));
        }
        if time_left_us <= 0 {
            return Err(declined(RejectReason::TooLittleTime, 0));
        }
        Ok(time_left_us)
    }

    fn open_request(&mut self, request: Request<K, J>, time_left_us: i64, actions: &mut Actions<K>) {
        let task = self.tasks.allocate(request.key.clone());
        let now_us = self.now_us;
        let new_record = || TaskRecord::new(request.idempotency, request.job.clone(), now_us);
        let record = self.records.entry(request.key.clone()).or_insert_with(new_record);
        record.reopen(request, task, now_us);
        self.open_count += 1;
        actions.push(LedgerAction::Pending { task, time_left_us });
    }

    /// Returns the final answer to a new request that cannot be opened because an earlier attempt
    /// may run or may have run.
    fn unsettled_outcome(&self, key: &K, idempotency: Idempotency) -> Option<RequestOutcome> {
        let record = self.records.get(key)?;
        let wait_us = record.unsettled_until_us(self.config.settle_us) - self.now_us;
        match idempotency {
            Idempotency::Repeatable => None,
            _ if wait_us > 0 => {
                Some(RequestOutcome::Declined { retry_after_us: wait_us, reason: RejectReason::Unsettled })
            }
            Idempotency::OnceOnly if record.may_have_run() => {
                Some(RequestOutcome::Aborted { reason: RejectReason::MayHaveRun })
            }
            _ => None,
        }
    }

    /// Cancels a client's open request, or stops its placed task.
    pub fn cancel(&mut self, key: &K, request_id: u64, actions: &mut Actions<K>) {
        let now_us = self.now_us;
        let record = self.records.get_mut(key).filter(|record| record.request_id == request_id);
        let Some(record) = record else { return };
        let over = RequestPhase::Over(LifecycleEvent::Stopped);
        match record.phase {
            RequestPhase::Waiting | RequestPhase::InFlight => self.close_unanswered(key, over, actions),
            RequestPhase::Placed => {
                record.close(over, record.outcome, now_us);
                self.closed.push_back((now_us, key.clone()));
                self.stop_active(key, actions);
            }
            RequestPhase::Answered | RequestPhase::Over(_) => {}
        }
    }

    /// Records that a client's connection ended: answers and events go to no connection until the
    /// client repeats its request.
    pub fn client_disconnected(&mut self, client: u64) {
        let records = self.records.values_mut().filter(|record| record.client == client);
        records.for_each(|record| record.client = 0);
    }

    /// Closes an open request with an answer that the placement module did not give.
    fn close_with_answer(&mut self, key: &K, outcome: RequestOutcome, actions: &mut Actions<K>) {
        let record = &self.records[key];
        let (request_id, client) = (record.request_id, record.client);
        actions.push(LedgerAction::Reply { key: key.clone(), request_id, client, outcome });
        self.close_unanswered(key, RequestPhase::Answered, actions);
        self.records.get_mut(key).expect("the record was found above").outcome = Some(outcome);
    }

    /// Closes an open request without an answer, informs the placement module and cancels an
    /// attempt in flight.
    pub(crate) fn close_unanswered(&mut self, key: &K, phase: RequestPhase, actions: &mut Actions<K>) {
        let now_us = self.now_us;
        let record = self.records.get_mut(key).expect("an open request has a record");
        let task = record.task;
        record.close(phase, None, now_us);
        self.open_count -= 1;
        self.closed.push_back((now_us, key.clone()));
        actions.extend(task.map(|task| LedgerAction::Expired { task }));
        let mut awaited = None;
        let in_flight = |state| state == AttemptState::InFlight;
        for attempt in record.attempts.iter_mut().filter(|attempt| in_flight(attempt.state)) {
            (attempt.state, attempt.since_us) = (AttemptState::InDoubt, now_us);
            awaited = attempt.task.take();
            actions.push(LedgerAction::Cancel { attempt: attempt.id, machine: attempt.machine });
        }
        self.resolve(awaited, crate::attempts::Resolution::over(AttemptOutcome::Cancelled), actions);
        if let Some(task) = task {
            self.tasks.task_over(task);
        }
    }
}
