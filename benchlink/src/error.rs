//! What can be wrong with a line of the wire. Each ends the adapter, with the number of the line.
use basaltpitch_json_fields::FieldError;

/// A line that cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum LineError {
    /// It could not be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// It is no JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// Its `type` is missing or no text.
    #[error("{0}")]
    MessageType(MessageError),
    /// A message of a kind has a field that is wrong, or comes where it cannot.
    #[error("message '{kind}': {error}")]
    Message {
        /// The message's `type`.
        kind: String,
        /// What is wrong.
        error: MessageError,
    },
}

/// A message that cannot be handled.
#[derive(Debug, thiserror::Error)]
pub enum MessageError {
    /// A field is missing, of the wrong type, or names nothing in the settings.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An outcome's number is not one that the bench knows.
    #[error("field 'verdict' is none of the known outcomes")]
    UnknownOutcome,
    /// A list's number was not sent before.
    #[error("field 'sheet' names no list")]
    UnknownList,
    /// A list comes in an unknown way; expected whole, in part, stale or lost.
    #[error("field 'how' is none of the known kinds")]
    UnknownListKind,
    /// A machine's state is unknown; expected ready, draining or gone.
    #[error("field 'readiness' is none of the known states")]
    UnknownReadiness,
    /// An event is of a task that is not open.
    #[error("field 'opId' names no open task")]
    UnknownTask,
    /// An event is for an instance that was never configured.
    #[error("instance was never configured")]
    UnknownInstance,
    /// The `type` is none that this adapter knows.
    #[error("unknown message type")]
    UnknownType,
}
