//! What cannot be true of what another planner reports. Each error names the peer and the field, what was found
//! and what was expected; its help says what an operator can do. Slots, and peers by their slots, are numbered
//! from 0 in the installation's order.
use miette::Diagnostic;
use thiserror::Error;

/// What is wrong with a summary or a frame of another planner. `peer`: whose frame it is; `slot`: whose summary.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum InvalidSummary {
    /// A slot that this installation has not, or that is this planner's own.
    #[error("planner-{peer}: seat: found {found}; expected one of another planner, from 0 to {}", slots - 1)]
    #[diagnostic(help("its files say another number of planners: give all planners the same `planners`"))]
    Slot {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// What was found.
        found: usize,
        /// How many slots there are.
        slots: usize,
    },

    /// The other end of a link held its slot under an earlier token.
    #[error("planner-{peer}: epoch: found {found}; expected {expected}, under which the seat is held")]
    #[diagnostic(help(
        "a process that lost this seat and does not know it yet; if it lasts, look for one that was \
         started without the council"
    ))]
    StaleHolder {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// What was found.
        found: u64,
        /// What was expected.
        expected: u64,
    },

    /// A summary under another token than the voters told of its slot.
    #[error(
        "planner-{peer}: token of planner-{slot}: found {found}; expected {expected}, as the council has it"
    )]
    #[diagnostic(help(
        "usual for a moment after a hand-over; if it lasts, this planner does not reach the voters, or that \
         one believes other voters: compare `basaltpitch council` from both"
    ))]
    Token {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// The slot that the summary is of.
        slot: usize,
        /// What was found.
        found: u64,
        /// What was expected.
        expected: u64,
    },

    /// A summary of this planner itself with a number that it never published.
    #[error("planner-{peer}: number of planner-{slot}: found {found}; expected {expected} at most")]
    #[diagnostic(help(
        "two processes publish for one seat under one token: end the one that `basaltpitch council` does \
         not name"
    ))]
    Number {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// The slot that the summary is of.
        slot: usize,
        /// What was found.
        found: u64,
        /// What was expected.
        expected: u64,
    },

    /// An age below 0, in microseconds.
    #[error("planner-{peer}: age of planner-{slot}: found {found} us; expected 0 or more")]
    #[diagnostic(help("it speaks another version of the protocol, or its clock goes back: see its log"))]
    Age {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// The slot that the summary is of.
        slot: usize,
        /// What was found.
        found: i64,
    },

    /// Metrics or a delta that cannot be.
    #[error("planner-{peer}: {field} of planner-{slot}: found {found}; expected {expected}")]
    #[diagnostic(help(
        "what that seat says cannot be true and counts as unheard; compare its version and files with this \
         planner's"
    ))]
    Payload {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// The slot that the summary is of.
        slot: usize,
        /// The field.
        field: String,
        /// What was found.
        found: String,
        /// What was expected.
        expected: String,
    },

    /// Lists of a frame whose lengths do not fit each other.
    #[error("planner-{peer}: {frame}: found lists of {lengths:?}; expected lists that fit each other")]
    #[diagnostic(help("it speaks another version of the protocol: give all planners the same build"))]
    Lists {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// The kind of frame.
        frame: &'static str,
        /// The lengths of its lists.
        lengths: Vec<usize>,
    },

    /// Lease metadata that is no address and zone.
    #[error("planner-{peer}: note of its seat: found {found:?}; expected its address and a zone of this installation")]
    #[diagnostic(help(
        "it speaks another version of the protocol, or its files name other zones: compare them"
    ))]
    Address {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// What was found.
        found: String,
    },

    /// A reply to no open request.
    #[error("planner-{peer}: question: found {found}; expected the one that is open")]
    #[diagnostic(help(
        "an answer that came twice or very late; if it lasts, the way to that planner is slow"
    ))]
    RequestId {
        /// The slot of the planner whose frame it is.
        peer: usize,
        /// What was found.
        found: u64,
    },
}

impl InvalidSummary {
    /// What an operator can do.
    pub fn advice(&self) -> String {
        self.help().map(|help| help.to_string()).unwrap_or_default()
    }

    /// The slot of the planner whose frame it is.
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

    /// Whether it happens in normal operation, around a change of a slot's holder or over a slow link.
    pub fn is_expected(&self) -> bool {
        matches!(
            self,
            InvalidSummary::StaleHolder { .. }
                | InvalidSummary::Token { .. }
                | InvalidSummary::RequestId { .. }
        )
    }
}
