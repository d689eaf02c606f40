//! What cannot be true of what another planner says. Each error names the peer and the field, what was found
//! and what was expected; its help says what an operator can do. Seats and peers by their place among the
//! installation's planners, from 0.
use miette::Diagnostic;
use thiserror::Error;

#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum Wrong {
    #[error("planner-{peer}: seat: found {found}; expected one of another planner, from 0 to {}", seats - 1)]
    #[diagnostic(help("its files say another number of planners: give all planners the same `planners`"))]
    Seat { peer: usize, found: usize, seats: usize },

    #[error("planner-{peer}: epoch: found {found}; expected {expected}, under which the seat is held")]
    #[diagnostic(help(
        "a process that lost this seat and does not know it yet; if it lasts, look for one that was \
         started without the council"
    ))]
    OldHolder { peer: usize, found: u64, expected: u64 },

    #[error(
        "planner-{peer}: token of planner-{seat}: found {found}; expected {expected}, as the council has it"
    )]
    #[diagnostic(help(
        "usual for a moment after a hand-over; if it lasts, this planner does not reach the voters, or that \
         one believes other voters: compare `basaltpitch council` from both"
    ))]
    Token { peer: usize, seat: usize, found: u64, expected: u64 },

    #[error("planner-{peer}: number of planner-{seat}: found {found}; expected {expected} at most")]
    #[diagnostic(help(
        "two processes publish for one seat under one token: end the one that `basaltpitch council` does \
         not name"
    ))]
    Number { peer: usize, seat: usize, found: u64, expected: u64 },

    #[error("planner-{peer}: age of planner-{seat}: found {found} us; expected 0 or more")]
    #[diagnostic(help("it speaks another version of the protocol, or its clock goes back: see its log"))]
    Age { peer: usize, seat: usize, found: i64 },

    #[error("planner-{peer}: {field} of planner-{seat}: found {found}; expected {expected}")]
    #[diagnostic(help(
        "what that seat says cannot be true and counts as unheard; compare its version and files with this \
         planner's"
    ))]
    Carried { peer: usize, seat: usize, field: String, found: String, expected: String },

    #[error("planner-{peer}: {frame}: found lists of {lengths:?}; expected lists that fit each other")]
    #[diagnostic(help("it speaks another version of the protocol: give all planners the same build"))]
    Lists { peer: usize, frame: &'static str, lengths: Vec<usize> },

    #[error("planner-{peer}: note of its seat: found {found:?}; expected its address and a zone of this installation")]
    #[diagnostic(help(
        "it speaks another version of the protocol, or its files name other zones: compare them"
    ))]
    Place { peer: usize, found: String },

    #[error("planner-{peer}: question: found {found}; expected the one that is open")]
    #[diagnostic(help(
        "an answer that came twice or very late; if it lasts, the way to that planner is slow"
    ))]
    Question { peer: usize, found: u64 },
}

impl Wrong {
    /// What an operator can do.
    pub fn advice(&self) -> String {
        self.help().map(|help| help.to_string()).unwrap_or_default()
    }

    /// Whose word it is.
    pub fn peer(&self) -> usize {
        match *self {
            Wrong::Seat { peer, .. }
            | Wrong::OldHolder { peer, .. }
            | Wrong::Token { peer, .. }
            | Wrong::Number { peer, .. }
            | Wrong::Age { peer, .. }
            | Wrong::Carried { peer, .. }
            | Wrong::Lists { peer, .. }
            | Wrong::Place { peer, .. }
            | Wrong::Question { peer, .. } => peer,
        }
    }

    /// It happens in good order, around a hand-over or on a slow way.
    pub fn is_usual(&self) -> bool {
        matches!(self, Wrong::OldHolder { .. } | Wrong::Token { .. } | Wrong::Question { .. })
    }
}
