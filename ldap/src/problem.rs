//! Reasons for which the entries received from a server are incomplete.
use crate::entry::InvalidEntry;
use ldap3::LdapError;
use std::time::Duration;

/// Reason for which the result of a sync is incomplete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SyncProblem {
    /// The server sent nothing within the time limit.
    #[error("nothing came for {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The connection was closed before the search ended.
    #[error("the connection ended")]
    ConnectionEnded,
    /// An entry could not be decoded.
    #[error("an entry whose bytes make no sense")]
    MalformedEntry,
    /// An entry has an invalid attribute.
    #[error(transparent)]
    InvalidEntry(#[from] InvalidEntry),
    /// A search ended with a result code other than success.
    #[error("the search ended with result {code} ({text}); expected 0")]
    SearchResult { code: u32, text: String },
    /// The server sent a referral to another server instead of entries.
    #[error("a referral")]
    Referral,
    /// The replication progress of the server could not be read.
    #[error("{attribute}: {error}")]
    Progress { attribute: String, error: Box<LdapError> },
    /// An entry id in a message of content synchronisation is not a UUID of 16 bytes.
    #[error("an id of {found} bytes; expected 16")]
    IdLength { found: usize },
    /// An intermediate message of content synchronisation could not be decoded.
    #[error("a message of the synchronisation that makes no sense")]
    MalformedSyncInfo,
    /// An entry has no sync state control, which content synchronisation requires.
    #[error("an entry without its state; expected the control of RFC 4533")]
    MissingSyncState,
    /// The result of the search has no sync done control, which ends a content synchronisation.
    #[error("found no end of the synchronisation; expected the control of RFC 4533")]
    MissingSyncDone,
}
