//! What goes into the ledger and what comes out of it.
use basaltpitch::host::AttemptOutcome;

/// How often a task may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Idempotency {
    /// Any number of times: a further attempt does no harm.
    Repeatable,
    /// More than once only where its key removes duplicates.
    Keyed,
    /// At most once.
    OnceOnly,
}

/// An attempt: the planner's epoch and a number that it uses once in that epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId {
    /// The epoch of the planner that made it.
    pub epoch: u64,
    /// The attempt's number in that epoch, from 1.
    pub number: u64,
}

impl AttemptId {
    /// Orders before every attempt, as a bound of ranges.
    pub(crate) const FIRST: AttemptId = AttemptId { epoch: 0, number: 0 };
}

/// Why a request ended without a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RejectReason {
    /// The placement module found nothing in time.
    NoRoom,
    /// An attempt may have run, and a further one could do harm.
    MayHaveRun,
    /// An attempt may still run: the request may be repeated after the time that it takes to make sure.
    MakingSure,
    /// A newer request for the same task came.
    Superseded,
    /// The planner takes no more open tasks.
    Crowded,
    /// Too little time is left for any attempt to be answered.
    TooLate,
    /// The client is not authorized; the text says why.
    NotAllowed(&'static str),
    /// No known machine could ever meet the task's constraints.
    NoMachine,
    /// Its time would be over before its turn.
    NoSlack,
}

impl RejectReason {
    /// The reason as clients read it.
    pub fn message(self) -> &'static str {
        match self {
            RejectReason::NoRoom => "no machine had room in time",
            RejectReason::MayHaveRun => "a launch may have run",
            RejectReason::MakingSure => "a launch may still run; ask again later",
            RejectReason::Superseded => "a newer asking of this task came",
            RejectReason::Crowded => "too many open tasks here",
            RejectReason::TooLate => "too little time is left",
            RejectReason::NotAllowed(message) => message,
            RejectReason::NoMachine => "no machine could ever meet its clauses",
            RejectReason::NoSlack => "its time would be over before its turn",
        }
    }
}

/// A request of a client: which task, under which number, from whom, and what it needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<K, J> {
    /// The client's key of the task.
    pub key: K,
    /// The client's number of this request; newer requests for a task have higher ones.
    pub request_id: u64,
    /// The connection that asked; 0 for none.
    pub client: u64,
    /// How often the task may run.
    pub idempotency: Idempotency,
    /// What the task needs; the ledger only keeps it.
    pub job: J,
}

/// A refusal that was decided before the request reached the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rejection {
    /// Why.
    pub reason: RejectReason,
    /// The time after which to repeat the request.
    pub retry_after_us: i64,
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The task runs on a machine.
    Placed {
        /// The machine's index.
        machine: usize,
    },
    /// Nothing ran; repeating the request does no harm once the time has passed.
    Declined {
        /// The time after which to repeat it.
        retry_after_us: i64,
        /// Why.
        reason: RejectReason,
    },
    /// Nothing is promised: an attempt may have run.
    Aborted {
        /// Why.
        reason: RejectReason,
    },
}

/// How a placed task went on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LifecycleEvent {
    /// It ended by itself.
    Ended,
    /// It was lost with its machine.
    Lost,
    /// Its machine evicted it.
    Evicted,
    /// The planner stopped it so that it is placed elsewhere.
    Moved,
    /// Its client no longer wanted it.
    Stopped,
}

impl LifecycleEvent {
    /// The event as operators read it.
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

/// How a machine says that an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AttemptEnd {
    /// By itself.
    Done,
    /// The machine needed its resources.
    Evicted,
    /// A task of higher priority took its place.
    PushedOut,
    /// The machine drains.
    SentAway,
    /// As the planner asked.
    Stopped,
}

/// What must be done, in order. `Pending` to `Expired` go to the placement module, `AttemptStarted` and
/// `AttemptEnded` to whoever counts attempts, the rest to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerAction<K> {
    /// A task waits for a place.
    Pending {
        /// The module's index of the task.
        task: usize,
        /// The time left for an answer.
        time_left_us: i64,
    },
    /// A task was found running on a machine.
    Adopted {
        /// The module's index of the task.
        task: usize,
        /// The machine's index.
        machine: usize,
    },
    /// The machine accepted the task's attempt.
    Accepted {
        /// The module's index of the task.
        task: usize,
    },
    /// The attempt that the module waits for has an outcome.
    Resolved {
        /// The module's index of the task.
        task: usize,
        /// How it ended.
        outcome: AttemptOutcome,
        /// The machine's code for the reason; 0 for none.
        reason_code: i64,
        /// Whether the task is over, or waits again.
        over: bool,
    },
    /// The request ended; the task no longer waits.
    Expired {
        /// The module's index of the task.
        task: usize,
    },
    /// A task is to be started on a machine.
    Launch {
        /// The task's key.
        key: K,
        /// The new attempt.
        attempt: AttemptId,
        /// The machine's index.
        machine: usize,
        /// How long its answer is waited for.
        timeout_us: i64,
    },
    /// An attempt that was not accepted yet is to be dropped by its machine.
    Cancel {
        /// Which one.
        attempt: AttemptId,
        /// The machine's index.
        machine: usize,
    },
    /// An accepted attempt is to be stopped.
    Stop {
        /// Which one.
        attempt: AttemptId,
        /// The machine's index.
        machine: usize,
    },
    /// The end of an attempt was recorded: the machine may forget it.
    Acknowledge {
        /// Which one.
        attempt: AttemptId,
        /// The machine's index.
        machine: usize,
    },
    /// The final answer to a request.
    Reply {
        /// The task's key.
        key: K,
        /// The request that is answered.
        request_id: u64,
        /// The connection to tell; 0 for none.
        client: u64,
        /// The answer.
        outcome: RequestOutcome,
    },
    /// How a placed task went on.
    Lifecycle {
        /// The task's key.
        key: K,
        /// The request that it was placed for.
        request_id: u64,
        /// The connection to tell; 0 for none.
        client: u64,
        /// What happened.
        event: LifecycleEvent,
    },
    /// From now on an attempt counts on the machine: it may run there.
    AttemptStarted {
        /// Which one.
        attempt: AttemptId,
        /// The machine's index.
        machine: usize,
        /// The task's key.
        key: K,
    },
    /// That attempt counts no more.
    AttemptEnded {
        /// Which one.
        attempt: AttemptId,
    },
}

/// An attempt of this planner that a machine says it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InventoryEntry<K, J> {
    /// Which one.
    pub attempt: AttemptId,
    /// The task's key.
    pub key: K,
    /// The request that it was made for.
    pub request_id: u64,
    /// How often the task may run.
    pub idempotency: Idempotency,
    /// Whether the machine accepted it, or has yet to look at it.
    pub accepted: bool,
    /// What the task needs.
    pub job: J,
}

/// What clients and the ledger may rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LedgerConfig {
    /// How long an unproven attempt of a keyed or once-only task holds back a new request.
    pub settle_us: i64,
    /// How long answered records are kept, so that a repeat gets the same answer.
    pub retention_us: i64,
    /// How many answered records are kept.
    pub max_retained: usize,
    /// Open tasks at one time; more are declined at once.
    pub max_open: usize,
    /// Taken off the client's time limit: the answer's way back.
    pub reply_travel_us: i64,
}

impl LedgerConfig {
    /// Ten minutes and a hundred thousand answers.
    pub const DEFAULT: LedgerConfig = LedgerConfig {
        settle_us: 3_000_000,
        retention_us: 600_000_000,
        max_retained: 100_000,
        max_open: 200_000,
        reply_travel_us: 20_000,
    };
}
