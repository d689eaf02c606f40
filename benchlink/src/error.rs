//! Errors in the lines that the simulator sends. Any of them ends the adapter, which prints the
//! error with the line number.
use basaltpitch_json_fields::FieldError;

/// An input line that cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// Reading the line failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The line is not valid JSON.
    #[error("invalid JSON: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The field `type` is missing or not a string.
    #[error("{0}")]
    MessageType(MessageError),
    /// A message of a known or unknown type cannot be handled.
    #[error("message '{kind}': {error}")]
    Message {
        /// The value of the message's field `type`.
        kind: String,
        /// The reason for which the message cannot be handled.
        error: MessageError,
    },
}

/// The reason for which a message cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A field is missing, has the wrong type, or contains a name that the settings do not list.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The code of an outcome is unknown.
    #[error("field 'verdict' is not a known outcome code")]
    UnknownOutcome,
    /// A message refers to a machine list whose number no earlier line has defined.
    #[error("field 'sheet' refers to a machine list that was not sent before")]
    UnknownList,
    /// The kind of a machine list update is unknown.
    #[error("field 'how' is not a known list update; expected total, incr, warm_copy or lost")]
    UnknownListKind,
    /// The readiness of a machine is unknown.
    #[error("field 'readiness' is not a known state; expected ready, draining or gone")]
    UnknownReadiness,
    /// An event refers to a task that is not open.
    #[error("field 'opId' refers to no open task")]
    UnknownTask,
    /// An event is addressed to an instance that was not configured or has crashed since.
    #[error("instance is not configured")]
    UnknownInstance,
    /// The adapter does not know the message's `type`.
    #[error("unknown message type")]
    UnknownType,
}
