//! Errors for invalid frames, with what was found and what was expected.

/// Why a frame of the registry is rejected. The text is logged.
#[derive(Debug, thiserror::Error)]
pub enum RegistryFrameError {
    /// The frame is not a machine list.
    #[error("found a frame other than a machine list; expected a machine list")]
    NotAList,
    /// An entry has a kind or a zone that is not in the settings.
    #[error("machine {machine}: {field}: found {found:?}; expected one of {}", expected.join(", "))]
    UnknownName {
        /// The name of the entry's machine.
        machine: String,
        /// The name of the entry's field: `kind` or `zone`.
        field: &'static str,
        /// The value of the field.
        found: String,
        /// The valid names, from the settings.
        expected: Vec<String>,
    },
    /// An entry has no machine name, or its free capacity is not a finite number.
    #[error("machine {0:?}: found an empty name or a capacity that is not finite; expected both to be set")]
    IncompleteEntry(String),
}

/// Why a frame of a machine is rejected. The caller closes the link with the text as the reason.
#[derive(Debug, thiserror::Error)]
pub enum MachineFrameError {
    /// A frame about an attempt has no attempt id.
    #[error("found no launch id; expected one")]
    NoAttemptId,
    /// A frame has an unknown code for how an attempt ended.
    #[error("ended: how: found {0}; expected 0 to 4")]
    UnknownEnd(i32),
    /// Machines do not send frames of this kind.
    #[error("found a frame that no machine sends; expected an answer, a note or an inventory")]
    UnexpectedFrame,
    /// An inventory entry has no launch.
    #[error("inventory: found no launch; expected one in each entry")]
    NoLaunch,
    /// The launch of an inventory entry has no attempt id.
    #[error("inventory: found no launch id; expected one")]
    NoLaunchId,
    /// An inventory entry has a framework that is not in the settings.
    #[error("inventory: framework: found {0:?}; expected a known one")]
    UnknownFramework(String),
}

/// Why a frame of a client or an operator is rejected. The caller closes the connection with the
/// text as the reason.
#[derive(Debug, thiserror::Error)]
pub enum ClientFrameError {
    /// The login may not request the operation, or it is not possible now; the text says why.
    #[error("{0}")]
    Denied(String),
    /// A drain was requested while the registry is not connected.
    #[error("drain: found no link to the register; expected one")]
    NoRegistry,
    /// The constraints in the frame cannot be parsed.
    #[error("clauses: found {0}; expected clauses in JSON with words for each")]
    InvalidConstraints(serde_json::Error),
    /// Clients do not send frames of this kind.
    #[error("found a frame that no owner sends; expected submit, withdraw, drain or query")]
    UnexpectedFrame,
}
