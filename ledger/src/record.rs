//! The record of one task: its newest request, its attempts, and whether an attempt may have run.
use crate::{AttemptId, Idempotency, LifecycleEvent, Request, RequestOutcome};

/// Phase of a task's newest request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestPhase {
    /// No attempt is in flight; the placement module looks for a machine.
    Waiting,
    /// One attempt was sent to a machine and awaits its answer.
    InFlight,
    /// The task runs on a machine.
    Placed,
    /// The request was declined or aborted.
    Answered,
    /// The task was placed and has ended since, or the client cancelled the request.
    Over(LifecycleEvent),
}

impl RequestPhase {
    /// Returns whether the request still awaits its final answer.
    pub fn is_open(self) -> bool {
        matches!(self, RequestPhase::Waiting | RequestPhase::InFlight)
    }
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptState {
    /// The attempt was sent and the placement module awaits its outcome.
    InFlight,
    /// The planner gave the attempt up without proof that it did not run.
    InDoubt,
    /// The machine accepted the attempt, which is the task's placement.
    Active,
    /// The machine was asked to stop the attempt and has not reported its end.
    Stopping,
}

/// An attempt that may be on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Attempt {
    /// Identity of the attempt.
    pub id: AttemptId,
    /// Index of the machine.
    pub machine: usize,
    /// State of the attempt.
    pub state: AttemptState,
    /// The placement module's index of the task while the module awaits this attempt's outcome.
    pub task: Option<usize>,
    /// Time at which the attempt was launched or became `InDoubt`, in microseconds.
    pub since_us: i64,
}

/// The record of one task.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TaskRecord<J> {
    /// How many times the task may safely run.
    pub idempotency: Idempotency,
    /// Description of the task.
    pub job: J,
    /// The client's number for the newest request.
    pub request_id: u64,
    /// Connection that receives answers and events; 0 for none.
    pub client: u64,
    /// Phase of the newest request.
    pub phase: RequestPhase,
    /// Final answer to the newest request; `None` while it is open.
    pub outcome: Option<RequestOutcome>,
    /// The placement module's index of the task; `None` when the module does not know the task.
    pub task: Option<usize>,
    /// Attempts that may still be on a machine.
    pub attempts: Vec<Attempt>,
    /// Number of attempts launched for the task in this epoch of the planner.
    pub launch_count: u32,
    /// Time at which the last attempt ended of which it is unknown whether it ran, in microseconds;
    /// `None` if there was none.
    pub may_have_run_at_us: Option<i64>,
    /// Time at which the placed attempt was lost with its machine, in microseconds; `None` if none
    /// was.
    pub lost_at_us: Option<i64>,
    /// Time at which the newest request was opened, in microseconds.
    pub opened_at_us: i64,
    /// Time at which the newest request was closed, in microseconds.
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

    /// Opens a new request under the placement module's index `task`.
    pub(crate) fn reopen<K>(&mut self, request: Request<K, J>, task: usize, now_us: i64) {
        (self.idempotency, self.job) = (request.idempotency, request.job);
        (self.request_id, self.client) = (request.request_id, request.client);
        (self.phase, self.outcome) = (RequestPhase::Waiting, None);
        (self.task, self.opened_at_us) = (Some(task), now_us);
    }

    pub(crate) fn close(&mut self, phase: RequestPhase, outcome: Option<RequestOutcome>, now_us: i64) {
        (self.phase, self.outcome, self.task, self.closed_at_us) = (phase, outcome, None, now_us);
    }

    /// Returns the attempt with this identity if it may still be on a machine.
    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.id == id)
    }

    pub(crate) fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Returns the accepted attempt that is the task's placement.
    pub fn active_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state == AttemptState::Active)
    }

    pub(crate) fn return_to_waiting(&mut self) {
        if self.phase == RequestPhase::InFlight {
            self.phase = RequestPhase::Waiting;
        }
    }

    /// Returns the time until which a new request must wait for earlier attempts to settle: an
    /// attempt that is in doubt or stopping may still be reported, and one that failed or was lost
    /// may have had effects.
    pub fn unsettled_until_us(&self, settle_us: i64) -> i64 {
        let attempts = self.attempts.iter().map(|attempt| attempt.since_us);
        let last = attempts.chain(self.may_have_run_at_us).chain(self.lost_at_us).max();
        last.map_or(i64::MIN / 2, |at_us| at_us + settle_us)
    }

    /// Returns whether the task has an attempt, ended or not yet ended, of which it is unknown
    /// whether it ran.
    pub fn may_have_run(&self) -> bool {
        let unproven = |attempt: &Attempt| attempt.state != AttemptState::Active;
        self.may_have_run_at_us.is_some() || self.attempts.iter().any(unproven)
    }
}
