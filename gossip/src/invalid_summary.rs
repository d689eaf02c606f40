//! Errors about what another planner reports. Each error names the peer and the field, the value
//! found and the value expected; its help tells operators what to do. Slots, and peers by their
//! slots, are numbered from 0 in the installation's order.
use miette::Diagnostic;
use thiserror::Error;

/// An invalid summary or frame of another planner. In each variant, `peer` is the slot of the
/// planner that sent the frame and `slot` is the slot that the summary is about.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum InvalidSummary {
    /// A slot that does not exist, or that is this planner's own.
    #[error("planner-{peer}: seat: found {found}; expected one of another planner, from 0 to {}", slots - 1)]
    #[diagnostic(help(
        "the peer's files configure another number of planners: set the same `planners` for all planners"
    ))]
    Slot {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The slot's index.
        found: usize,
        /// The number of slots.
        slots: usize,
    },

    /// The other end of a link holds its slot under an earlier token than the announced one.
    #[error("planner-{peer}: epoch: found {found}; expected {expected}, under which the seat is held")]
    #[diagnostic(help(
        "a process that lost this slot and has not noticed yet; if it persists, look for a planner that \
         was started without voters"
    ))]
    StaleHolder {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The token that the peer stated.
        found: u64,
        /// The token that the voters announced.
        expected: u64,
    },

    /// A summary under a later token than the one that the voters announced for its slot.
    #[error(
        "planner-{peer}: token of planner-{slot}: found {found}; expected {expected}, which the voters announced"
    )]
    #[diagnostic(help(
        "normal for a moment after a slot changes its holder; if it persists, this planner does not reach \
         the voters, or that planner uses other voters: compare `basaltpitch council` from both"
    ))]
    Token {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The slot that the summary is about.
        slot: usize,
        /// The token of the summary.
        found: u64,
        /// The token that the voters announced.
        expected: u64,
    },

    /// A summary of this planner itself, with a number that it never published.
    #[error("planner-{peer}: number of planner-{slot}: found {found}; expected at most {expected}")]
    #[diagnostic(help(
        "two processes publish for one slot under the same token: stop the one that `basaltpitch council` \
         does not name"
    ))]
    Number {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The slot that the summary is about.
        slot: usize,
        /// The number of the summary.
        found: u64,
        /// The last number that this planner published.
        expected: u64,
    },

    /// A negative age.
    #[error("planner-{peer}: age of planner-{slot}: found {found} us; expected 0 or more")]
    #[diagnostic(help(
        "the peer runs another version of the protocol, or its clock went backwards: see its log"
    ))]
    Age {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The slot that the summary is about.
        slot: usize,
        /// The age, in microseconds.
        found: i64,
    },

    /// Metrics or a delta with an invalid value.
    #[error("planner-{peer}: {field} of planner-{slot}: found {found}; expected {expected}")]
    #[diagnostic(help(
        "the invalid summary is dropped and the slot may become stale; compare the version and files of \
         that slot's planner with this planner's"
    ))]
    Payload {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The slot that the summary is about.
        slot: usize,
        /// The name of the field.
        field: String,
        /// The value found.
        found: String,
        /// The value expected.
        expected: String,
    },

    /// Lists of a frame whose lengths do not match.
    #[error("planner-{peer}: {frame}: found lists of {lengths:?}; expected lists that fit each other")]
    #[diagnostic(help("the peer runs another version of the protocol: run the same build on all planners"))]
    Lists {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The kind of frame.
        frame: &'static str,
        /// The lengths of the lists.
        lengths: Vec<usize>,
    },

    /// Lease metadata that does not contain an address and a known zone.
    #[error("planner-{peer}: metadata of its lease: found {found:?}; expected its address and a zone of this installation")]
    #[diagnostic(help(
        "the peer runs another version of the protocol, or its files name other zones: compare them"
    ))]
    Address {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The metadata found.
        found: String,
    },

    /// A reply to a request that is not open.
    #[error("planner-{peer}: request id of its reply: found {found}; expected that of the open request")]
    #[diagnostic(help("a duplicated or very late reply; if it persists, the link to that planner is slow"))]
    RequestId {
        /// The slot of the planner that sent the frame.
        peer: usize,
        /// The request id in the reply.
        found: u64,
    },
}

impl InvalidSummary {
    /// Returns what an operator can do about the error.
    pub fn advice(&self) -> String {
        self.help().map(|help| help.to_string()).unwrap_or_default()
    }

    /// Returns the slot of the planner that sent the frame.
    pub fn peer(&self) -> usize {
        match *self {
            InvalidSummary::Slot { peer, .. }
            | InvalidSummary::StaleHolder { peer, .. }
            | InvalidSummary::Token { peer, .. }
            | InvalidSummary::Number { peer, .. }
            | InvalidSummary::Age { peer, .. }
            | InvalidSummary::Payload { peer, .. }
            | InvalidSummary::Lists { peer, .. }
            | InvalidSummary::Address { peer, .. }
            | InvalidSummary::RequestId { peer, .. } => peer,
        }
    }

    /// Returns whether the error occurs in normal operation, such as around a change of a slot's
    /// holder or on a slow link.
    pub fn is_expected(&self) -> bool {
        matches!(
            self,
            InvalidSummary::StaleHolder { .. }
                | InvalidSummary::Token { .. }
                | InvalidSummary::RequestId { .. }
        )
    }
}
