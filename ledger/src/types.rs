//! Requests, attempts, outcomes and actions: the types of the ledger's inputs and outputs.
use basaltpitch::host::AttemptOutcome;

/// How many times a task may safely run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Idempotency {
    /// May run any number of times; duplicates are harmless.
    Repeatable,
    /// May run more than once only where machines remove duplicates by the task's key.
    Keyed,
    /// Must run at most once.
    OnceOnly,
}

/// Identity of an attempt: the planner's epoch and a number that is used once in that epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// Epoch of the planner that launched the attempt.
    pub epoch: u64,
    /// Number of the attempt in that epoch, counted from 1.
    pub number: u64,
}

impl AttemptId {
    /// Sorts before every attempt; the lower bound of range queries.
    pub(crate) const FIRST: AttemptId = AttemptId { epoch: 0, number: 0 };
}

/// Why a request was declined or aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The placement module found no machine before the deadline.
    NoCapacity,
    /// An attempt may have run, and a second one could run the task twice.
    MayHaveRun,
    /// An earlier attempt may still run. The client may repeat the request once the settling time
    /// has passed.
    Unsettled,
    /// A newer request for the same task replaced this one.
    Superseded,
    /// The planner has reached its limit of open tasks.
    TooManyOpenTasks,
    /// Too little time is left before the deadline for an attempt to be answered.
    TooLittleTime,
    /// The client is not authorized; the text gives the reason.
    NotAllowed(&'static str),
    /// No known machine satisfies the task's constraints, whatever its load.
    NoMatchingMachine,
    /// The admission controller expects the deadline to pass before the task is placed.
    NoSlack,
}

impl RejectReason {
    /// Returns the reason as it is sent to clients.
    pub fn message(self) -> &'static str {
        match self {
            RejectReason::NoCapacity => "no machine had room in time",
            RejectReason::MayHaveRun => "a launch may have run",
            RejectReason::Unsettled => "a launch may still run; ask again later",
            RejectReason::Superseded => "a newer asking of this task came",
            RejectReason::TooManyOpenTasks => "too many open tasks here",
            RejectReason::TooLittleTime => "too little time is left",
            RejectReason::NotAllowed(message) => message,
            RejectReason::NoMatchingMachine => "no machine could ever meet its clauses",
            RejectReason::NoSlack => "its time would be over before its turn",
        }
    }
}

/// A client's request to run a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<K, J> {
    /// The client's key for the task.
    pub key: K,
    /// The client's number for this request; a newer request for the same task has a higher one.
    pub request_id: u64,
    /// Connection that sent the request; 0 for none.
    pub client: u64,
    /// How many times the task may safely run.
    pub idempotency: Idempotency,
    /// Description of the task; the ledger stores it without reading it.
    pub job: J,
}

/// A rejection by admission control, decided before the request reached the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rejection {
    /// Why the request was rejected.
    pub reason: RejectReason,
    /// Time after which the client may repeat the request, in microseconds.
    pub retry_after_us: i64,
}

/// Final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// A machine accepted the task.
    Placed {
        /// Index of the machine.
        machine: usize,
    },
    /// No attempt is known to have run; the client may safely repeat the request after the delay.
    Declined {
        /// Time after which the client may repeat the request, in microseconds.
        retry_after_us: i64,
        /// Why the request ended without a placement.
        reason: RejectReason,
    },
    /// The request ended without a promise about its attempts: one of them may have run.
    Aborted {
        /// Why the request ended without a placement.
        reason: RejectReason,
    },
}

/// Event in the life of a task after it was placed, or when its client cancelled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LifecycleEvent {
    /// The task ended by itself.
    Ended,
    /// The task was lost with its machine.
    Lost,
    /// The machine evicted the task.
    Evicted,
    /// The planner stopped the task so that it can be placed on another machine.
    Moved,
    /// The client cancelled the task.
    Stopped,
}

impl LifecycleEvent {
    /// Returns the event's name as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            LifecycleEvent::Ended => "ended",
            LifecycleEvent::Lost => "lost",
            LifecycleEvent::Evicted => "evicted",
            LifecycleEvent::Moved => "moved",
            LifecycleEvent::Stopped => "stopped",
        }
    }
}

/// How an attempt ended, as reported by its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// The task ended by itself.
    Done,
    /// The machine evicted the attempt to reclaim its resources.
    Evicted,
    /// The attempt was preempted by a task of higher priority.
    Preempted,
    /// The machine is draining and removed the attempt.
    Drained,
    /// The planner requested the stop.
    Stopped,
}

/// Effects of a call, to be carried out in order. `Pending` to `Expired` go to the placement
/// module, `AttemptStarted` and `AttemptEnded` to the accounting of attempts per machine, and all
/// others to clients and machines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerAction<K> {
    /// A task waits to be placed.
    Pending {
        /// The placement module's index of the task.
        task: usize,
        /// Time left to answer the request, in microseconds.
        time_left_us: i64,
    },
    /// A task without a known placement was found on a machine and is placed there from now on.
    Adopted {
        /// The placement module's index of the task.
        task: usize,
        /// Index of the machine.
        machine: usize,
    },
    /// The machine accepted the task's attempt.
    Accepted {
        /// The placement module's index of the task.
        task: usize,
    },
    /// The attempt whose outcome the placement module awaits has ended.
    Resolved {
        /// The placement module's index of the task.
        task: usize,
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// The machine's reason code; 0 for none.
        reason_code: i64,
        /// Whether the task is over; if false, the task waits to be placed again.
        over: bool,
    },
    /// The request ended and the task no longer waits to be placed.
    Expired {
        /// The placement module's index of the task.
        task: usize,
    },
    /// Start a task on a machine.
    Launch {
        /// The client's key for the task.
        key: K,
        /// Identity of the new attempt.
        attempt: AttemptId,
        /// Index of the machine.
        machine: usize,
        /// Time to wait for the machine's answer, in microseconds.
        timeout_us: i64,
    },
    /// Ask a machine to drop an attempt that it has not accepted.
    Cancel {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Index of the machine.
        machine: usize,
    },
    /// Ask a machine to stop an accepted attempt.
    Stop {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Index of the machine.
        machine: usize,
    },
    /// Tell a machine that the end of an attempt was recorded, so that it may forget the attempt.
    Acknowledge {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Index of the machine.
        machine: usize,
    },
    /// Send the final answer to a request.
    Reply {
        /// The client's key for the task.
        key: K,
        /// The client's number for the request that is answered.
        request_id: u64,
        /// Connection of the client; 0 for none.
        client: u64,
        /// The final answer to the request.
        outcome: RequestOutcome,
    },
    /// Report to the client how a placed task went on.
    Lifecycle {
        /// The client's key for the task.
        key: K,
        /// The client's number for the request that the task was placed for.
        request_id: u64,
        /// Connection of the client; 0 for none.
        client: u64,
        /// What happened to the task.
        event: LifecycleEvent,
    },
    /// Count an attempt on a machine from now on: it may run there.
    AttemptStarted {
        /// Identity of the attempt.
        attempt: AttemptId,
        /// Index of the machine.
        machine: usize,
        /// The client's key for the task.
        key: K,
    },
    /// Stop counting an attempt on its machine.
    AttemptEnded {
        /// Identity of the attempt.
        attempt: AttemptId,
    },
}

/// An attempt of this planner in a machine's inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryEntry<K, J> {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// The client's key for the task.
    pub key: K,
    /// The client's number for the request that the attempt was made for.
    pub request_id: u64,
    /// How many times the task may safely run.
    pub idempotency: Idempotency,
    /// Whether the machine has accepted the attempt; if false, it has yet to examine it.
    pub accepted: bool,
    /// Description of the task.
    pub job: J,
}

/// Limits and durations of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerConfig {
    /// Time for which an attempt whose fate is unknown holds back new requests for a keyed or
    /// once-only task, in microseconds.
    pub settle_us: i64,
    /// Time for which answered records are kept so that a repeated request gets the same answer, in
    /// microseconds.
    pub retention_us: i64,
    /// Maximum number of answered records.
    pub max_retained: usize,
    /// Maximum number of open requests; further ones are declined at once.
    pub max_open: usize,
    /// Travel time of the answer to the client in microseconds, subtracted from the client's time
    /// limit.
    pub reply_travel_us: i64,
}

impl LedgerConfig {
    /// Default limits: 3 s to settle, answers kept for 10 minutes, at most 100,000 of them.
    pub const DEFAULT: LedgerConfig = LedgerConfig {
        settle_us: 3_000_000,
        retention_us: 600_000_000,
        max_retained: 100_000,
        max_open: 200_000,
        reply_travel_us: 20_000,
    };
}
