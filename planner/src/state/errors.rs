//! Frames that cannot be taken in, with what was found and what was expected.

/// A frame of the registry's that is not taken in.
#[derive(Debug, thiserror::Error)]
pub enum RegistryFrameError {
    /// Any frame but a machine list.
    #[error("found a frame that is no list; expected a list")]
    NotAList,
    /// A kind or zone that is not in the settings.
    #[error("machine {machine}: {field}: found {found:?}; expected one of {}", expected.join(", "))]
    UnknownName {
        /// The entry's machine.
        machine: String,
        /// The entry's field.
        field: &'static str,
        /// The name that it has.
        found: String,
        /// The names in the settings.
        expected: Vec<String>,
    },
    /// An entry without a machine, or with capacity that is no number.
    #[error("machine {0:?}: found no name or no number; expected both")]
    IncompleteEntry(String),
}

/// A frame of a machine's that is not taken in; its link is of no use then.
#[derive(Debug, thiserror::Error)]
pub enum MachineFrameError {
    /// A frame about an attempt that does not say which.
    #[error("found no launch id; expected one")]
    NoAttemptId,
    /// An unknown end of an attempt.
    #[error("ended: how: found {0}; expected 0 to 4")]
    UnknownEnd(i32),
    /// A frame that machines do not send.
    #[error("found a frame that no machine sends; expected an answer, a note or an inventory")]
    UnexpectedFrame,
    /// An inventory entry without a launch.
    #[error("inventory: found no launch; expected one in each entry")]
    NoLaunch,
    /// An inventory entry that does not say which attempt.
    #[error("inventory: found no launch id; expected one")]
    NoLaunchId,
    /// An inventory entry of a framework that is not in the settings.
    #[error("inventory: framework: found {0:?}; expected a known one")]
    UnknownFramework(String),
}

/// A frame of a client's or operator's that is not taken in; its connection ends.
#[derive(Debug, thiserror::Error)]
pub enum ClientFrameError {
    /// The login may not do that, or it cannot be done now; the text says why.
    #[error("{0}")]
    Denied(String),
    /// A machine cannot be drained without the registry.
    #[error("drain: found no link to the register; expected one")]
    NoRegistry,
    /// Constraints that cannot be read.
    #[error("clauses: found {0}; expected clauses in JSON with words for each")]
    InvalidConstraints(serde_json::Error),
    /// A frame that clients do not send.
    #[error("found a frame that no owner sends; expected submit, withdraw, drain or query")]
    UnexpectedFrame,
}
