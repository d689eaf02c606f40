//! What planners send each other, and what the caller of [`crate::Gossip`] is to do.
use std::rc::Rc;

/// A summary on its way, as what changed in it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SummaryDelta {
    /// The slot whose summary it is; from the number of slots on, the slot that made it of its zone.
    pub subject: usize,
    /// The token under which that slot is held.
    pub token: u64,
    /// The number of the summary, which rises under one token.
    pub number: u64,
    /// The number of the summary that it changes; 0: it is whole, and what is left out is 0.
    pub base: u64,
    /// Microseconds since it was made, at most, when it was sent.
    pub age_us: i64,
    /// Indices of metrics, rising, and the bits of the metrics. None: the same as before.
    pub changed: Vec<(usize, u32)>,
}

/// What somebody holds of a subject, under the token that the reader believes in: who believes in another
/// refuses what rests on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// The subject, as in [`SummaryDelta::subject`].
    pub subject: usize,
    /// The number of its summary; 0: none is held.
    pub number: u64,
}

/// Asks for what is newer than the requester has.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PullRequest {
    /// Rises with each request of the requester.
    pub id: u64,
    /// The last request of this link whose reply was accepted; 0: none was, and `versions` is all that the
    /// requester has. Else `versions` is what it has otherwise than by replies over this link.
    pub acknowledged: u64,
    /// The requester has something for the other.
    pub has_updates: bool,
    /// What the requester has.
    pub versions: Vec<Version>,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum GossipAction {
    /// Link to the planner that holds a slot.
    Dial {
        /// The slot.
        slot: usize,
        /// Where that planner listens.
        address: Rc<str>,
    },
    /// The link to this planner is not wanted any more.
    CloseLink {
        /// The link.
        link: u64,
    },
    /// Send a request.
    Request {
        /// Over which link.
        link: u64,
        /// The request.
        request: PullRequest,
    },
    /// Send a reply.
    Reply {
        /// Over which link.
        link: u64,
        /// The request that it replies to.
        request_id: u64,
        /// What the requester lacks.
        deltas: Vec<SummaryDelta>,
    },
}
