//! Reasons for which the entries received from a server are incomplete.
use crate::entry::InvalidEntry;
use ldap3::LdapError;
use std::time::Duration;

/// Reason for which the result of a sync is incomplete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SyncProblem {
    /// The server sent nothing within the time limit.
    #[error("the server sent nothing for {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The connection was closed before the search ended.
    #[error("the connection was closed")]
    ConnectionEnded,
    /// An entry could not be decoded.
    #[error("an entry that cannot be decoded")]
    MalformedEntry,
    /// An entry has an invalid attribute.
    #[error(transparent)]
    InvalidEntry(#[from] InvalidEntry),
    /// A search ended with a result code other than success.
    #[error("the search ended with result {code} ({text}); expected 0")]
    SearchResult { code: u32, text: String },
    /// The server sent a referral to another server instead of entries.
    #[error("found a referral to another server; expected entries")]
    Referral,
    /// The replication progress of the server could not be read.
    #[error("{attribute}: {error}")]
    Progress { attribute: String, error: Box<LdapError> },
    /// An entry id in a message of content synchronisation is not a UUID of 16 bytes.
    #[error("an entry id of {found} bytes; expected 16")]
    IdLength { found: usize },
    /// An intermediate message of content synchronisation could not be decoded.
    #[error("a sync info message that cannot be decoded")]
    MalformedSyncInfo,
    /// An entry has no sync state control, which content synchronisation requires.
    #[error("an entry without a sync state control; expected one (RFC 4533)")]
    MissingSyncState,
    /// The result of the search has no sync done control, which ends a content synchronisation.
    #[error("a search result without a sync done control; expected one (RFC 4533)")]
    MissingSyncDone,
}
