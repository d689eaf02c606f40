//! What the ledger keeps of one task: its request, its attempts, what may have run.
use crate::{AttemptId, Idempotency, LifecycleEvent, Request, RequestOutcome};

/// How far a task's newest request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestPhase {
    /// No attempt is in flight; the module looks for a place.
    Waiting,
    /// One attempt is in flight.
    InFlight,
    /// The task runs on a machine.
    Placed,
    /// Declined or aborted.
    Answered,
    /// It was placed, or given up by its client, and is no more.
    Over(LifecycleEvent),
}

impl RequestPhase {
    /// Whether the request has no answer yet.
    pub fn is_open(self) -> bool {
        matches!(self, RequestPhase::Waiting | RequestPhase::InFlight)
    }
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// Sent; the module waits for the outcome.
    InFlight,
    /// Given up without proof that it did not run.
    InDoubt,
    /// Accepted by its machine, and the task's attempt.
    Active,
    /// Told to stop; its end is not known yet.
    Stopping,
}

/// An attempt that may be on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Its identity.
    pub id: AttemptId,
    /// The machine's index.
    pub machine: usize,
    /// How far it is.
    pub state: AttemptState,
    /// The module's index of the task, while it waits for this attempt's outcome.
    pub task: Option<usize>,
    /// When it was made, or came to be in doubt, in microseconds.
    pub since_us: i64,
}

/// What the ledger keeps of one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskRecord<J> {
    /// How often the task may run.
    pub idempotency: Idempotency,
    /// What the task needs.
    pub job: J,
    /// The newest request.
    pub request_id: u64,
    /// The connection that is told of it; 0 for none.
    pub client: u64,
    /// How far the request is.
    pub phase: RequestPhase,
    /// The request's answer, once it has one.
    pub outcome: Option<RequestOutcome>,
    /// The module's index of the task, while it knows it.
    pub task: Option<usize>,
    /// Attempts that may be on a machine.
    pub attempts: Vec<Attempt>,
    /// Attempts ever made for it in this incarnation of the planner.
    pub launch_count: u32,
    /// When an attempt ended of which it was never learnt whether it ran.
    pub may_have_run_at_us: Option<i64>,
    /// When its placed attempt was lost with a machine.
    pub lost_at_us: Option<i64>,
    /// When the newest request was opened.
    pub opened_at_us: i64,
    /// When the newest request was closed.
    pub closed_at_us: i64,
}

impl<J> TaskRecord<J> {
    pub(crate) fn new(idempotency: Idempotency, job: J, opened_at_us: i64) -> Self {
        TaskRecord {
            idempotency,
            job,
            request_id: 0,
            client: 0,
            phase: RequestPhase::Waiting,
            outcome: None,
            task: None,
            attempts: Vec::new(),
            launch_count: 0,
            may_have_run_at_us: None,
            lost_at_us: None,
            opened_at_us,
            closed_at_us: opened_at_us,
        }
    }

    /// A new request is open under the module's index `task`.
    pub(crate) fn reopen<K>(&mut self, request: Request<K, J>, task: usize, now_us: i64) {
        (self.idempotency, self.job) = (request.idempotency, request.job);
        (self.request_id, self.client) = (request.request_id, request.client);
        (self.phase, self.outcome) = (RequestPhase::Waiting, None);
        (self.task, self.opened_at_us) = (Some(task), now_us);
    }

    pub(crate) fn close(&mut self, phase: RequestPhase, outcome: Option<RequestOutcome>, now_us: i64) {
        (self.phase, self.outcome, self.task, self.closed_at_us) = (phase, outcome, None, now_us);
    }

    /// The attempt with this identity, where it may be on a machine.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.id == id)
    }

    pub(crate) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    /// The task's attempt, where it runs.
    pub fn active_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state == AttemptState::Active)
    }

    pub(crate) fn back_to_waiting(&mut self) {
        if self.phase == RequestPhase::InFlight {
            self.phase = RequestPhase::Waiting;
        }
    }

    /// Until when a new request waits for what earlier attempts did: one in doubt or stopping may still turn
    /// up, and one that failed or was lost may have left something behind.
    pub fn unsettled_until_us(&self, settle_us: i64) -> i64 {
        let attempts = self.attempts.iter().map(|attempt| attempt.since_us);
        let last = attempts.chain(self.may_have_run_at_us).chain(self.lost_at_us).max();
        last.map_or(i64::MIN / 2, |at_us| at_us + settle_us)
    }

    /// Whether an attempt was given up, or lost, of which it is not known whether it ran.
    pub fn may_have_run(&self) -> bool {
        let unproven = |attempt: &Attempt| attempt.state != AttemptState::Active;
        self.may_have_run_at_us.is_some() || self.attempts.iter().any(unproven)
    }
}
