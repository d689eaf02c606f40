//! The messages between planners, and the actions for the caller of [`crate::Gossip`].
use std::rc::Rc;

/// A summary in a reply, as the changes against an earlier version of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SummaryDelta {
    /// The slot whose summary this is; from the number of slots on, the zone summary made by slot
    /// `subject - slots`.
    pub subject: usize,
    /// The token under which that slot is held.
    pub token: u64,
    /// The number of the summary, which rises under the same token.
    pub number: u64,
    /// The number of the version that the delta applies to; 0 if the delta is the whole summary, in
    /// which omitted metrics are 0.
    pub base: u64,
    /// An upper bound of the summary's age when it was sent, in microseconds.
    pub age_us: i64,
    /// The changed metrics: rising indices, and the bits of each metric. Empty if nothing changed.
    pub changed: Vec<(usize, u32)>,
}

/// The version that a requester has of a slot's or zone's summary. It carries no token: the
/// receiver assumes the token that it accepts itself, and a requester that accepts another token
/// rejects the resulting delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Version {
    /// The subject, as in [`SummaryDelta::subject`].
    pub subject: usize,
    /// The number of the summary; 0 if there is none.
    pub number: u64,
}

/// A request for the summaries that are newer than the requester's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PullRequest {
    /// The request's id, which rises with each request of the requester.
    pub id: u64,
    /// The last request on this link whose reply was accepted; 0 if there is none. If 0, `versions`
    /// is everything that the requester has; otherwise it is what the requester has other than from
    /// replies on this link.
    pub acknowledged: u64,
    /// Whether the requester has newer summaries for the receiver.
    pub has_updates: bool,
    /// The versions that the requester has.
    pub versions: Vec<Version>,
}

/// An action that the caller of [`crate::Gossip`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum GossipAction {
    /// Open a link to the planner that holds a slot.
    Dial {
        /// The slot to dial.
        slot: usize,
        /// The address on which that planner listens.
        address: Rc<str>,
    },
    /// Close a link that is no longer wanted.
    CloseLink {
        /// The link to close.
        link: u64,
    },
    /// Send a request for summaries.
    Request {
        /// The link on which to send the request.
        link: u64,
        /// The request to send.
        request: PullRequest,
    },
    /// Send a reply to a peer's request.
    Reply {
        /// The link on which to send the reply.
        link: u64,
        /// The id of the request that this replies to.
        request_id: u64,
        /// The summaries that the requester lacks.
        deltas: Vec<SummaryDelta>,
    },
}
