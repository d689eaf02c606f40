//! Why what a server sent is not all that it has.
use crate::entry::InvalidEntry;
use ldap3::LdapError;
use std::time::Duration;

/// One cause for which a sync is not complete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SyncProblem {
    /// The server was silent for too long.
    #[error("nothing came for {} ms", .0.as_millis())]
    Timeout(Duration),
    /// The connection is gone.
    #[error("the connection ended")]
    ConnectionEnded,
    /// An entry that is no LDAP.
    #[error("an entry whose bytes make no sense")]
    MalformedEntry,
    /// An entry that makes no sense.
    #[error(transparent)]
    InvalidEntry(#[from] InvalidEntry),
    /// A search ended otherwise than in success.
    #[error("the search ended with result {code} ({text}); expected 0")]
    SearchResult { code: u32, text: String },
    /// The server named another one instead of an entry.
    #[error("a referral")]
    Referral,
    /// How far the server is could not be read.
    #[error("{attribute}: {error}")]
    Progress { attribute: String, error: Box<LdapError> },
    /// An id of content synchronisation that is no UUID.
    #[error("an id of {found} bytes; expected 16")]
    IdLength { found: usize },
    /// A message of content synchronisation that is none.
    #[error("a message of the synchronisation that makes no sense")]
    MalformedSyncInfo,
    /// An entry of content synchronisation without its control.
    #[error("an entry without its state; expected the control of RFC 4533")]
    MissingSyncState,
    /// The end of content synchronisation without its control.
    #[error("found no end of the synchronisation; expected the control of RFC 4533")]
    MissingSyncDone,
}
