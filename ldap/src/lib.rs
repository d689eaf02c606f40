//! Reads people, groups and tenants from an LDAP directory (RFC 4511). The result holds the entries
//! and whether they are complete. An invalid entry is left out and reported, and makes the result
//! incomplete, so that an unreadable entry is never taken for a deleted one.
//!
//! A directory is read in one of three ways:
//!
//! - everything, in pages (RFC 2696);
//! - a list of ids and modification times, then only the entries that differ from the last list;
//! - the changes since a cookie by content synchronisation (RFC 4533), if the settings say that the
//!   servers support it.
mod entry;
mod problem;
mod session;
mod settings;
mod tls;

pub use entry::{normalize_dn, read_entry, AttributeNames, InvalidEntry, RawEntry};
pub use session::filter_of_ids;
pub use settings::{read_settings, DirectorySettings};

use basaltpitch_tenants::DirectoryUpdate;
use ldap3::{Ldap, LdapConnAsync, LdapConnSettings};
use session::DirectorySession;
use std::collections::HashMap;
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Servers of a directory, and how they are queried. Filters are taken from the settings as they
/// are; values inserted into them are escaped.
#[derive(Clone, Debug)]
pub struct LdapSource {
    /// Addresses of the servers (`ldap://` or `ldaps://`), in order of preference.
    pub urls: Vec<String>,
    /// Whether `ldap://` connections are upgraded to TLS by StartTLS before the bind.
    pub starttls: bool,
    /// PEM file with the trusted CA certificates, read at each sync. `None`: the system's
    /// certificates are trusted.
    pub ca_file: Option<PathBuf>,
    /// Distinguished name for the bind.
    pub bind_dn: String,
    /// File with the password for the bind, read at each sync, so that the password can change
    /// without a restart.
    pub password_file: PathBuf,
    /// Distinguished name of the entry at which searches start.
    pub base: String,
    /// Filter for the entries to read.
    pub filter: String,
    /// Names of attributes and object classes.
    pub names: AttributeNames,
    /// Entries in a page.
    pub page_size: i32,
    /// Whether the servers support content synchronisation.
    pub content_sync: bool,
    /// Time limit for setting up a connection, for each response and for each page.
    pub timeout: Duration,
}

/// Entries received from a server by the last sync: by entry id, a hash of the distinguished name
/// and the modification time. Empty if no
/// earlier sync is known.
pub type SeenEntries = HashMap<u128, u64>;

/// State left by an earlier sync of the same server. If it is empty, everything is read.
#[derive(Clone, Debug, Default)]
pub struct SyncState {
    /// Entries that the server sent.
    pub seen: SeenEntries,
    /// Cookie of content synchronisation.
    pub cookie: Option<Vec<u8>>,
}

/// Error of a sync that received no entries.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// The file with the password or the certificates cannot be read.
    #[error("{file}: {reason}")]
    File {
        /// Path of the file.
        file: String,
        /// Error of the file.
        reason: String,
    },
    /// The connection was not set up.
    #[error("{url}: no connection: {reason}")]
    Connect {
        /// Address of the server.
        url: String,
        /// Error of the connection.
        reason: String,
    },
    /// The server refused the bind.
    #[error("{url}: bind as {dn}: found result {rc} ({text}); expected 0")]
    Bind {
        /// Address of the server.
        url: String,
        /// Distinguished name of the bind.
        dn: String,
        /// Result code of RFC 4511.
        rc: u32,
        /// Diagnostic message of the server.
        text: String,
    },
    /// The search failed before an entry was received.
    #[error("{url}: the search failed: {reason}")]
    Search {
        /// Address of the server.
        url: String,
        /// All errors of the search.
        reason: String,
    },
}

/// Result of a sync.
#[derive(Clone, Debug, Default)]
pub struct SyncResult {
    /// Entries received, and whether they are complete.
    pub update: DirectoryUpdate,
    /// Reasons for which the entries are incomplete; empty if they are complete.
    pub problems: Vec<String>,
    /// State of the server's entries, for the next sync.
    pub seen: SeenEntries,
}

impl SyncResult {
    fn add_problem(&mut self, problem: impl Display) {
        self.problems.push(problem.to_string());
    }
}

/// Aborts the task of a connection when the sync ends, also on an early return.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Connection with the task that drives it.
struct Connection {
    ldap: Ldap,
    /// True once the connection is closed.
    ended: watch::Receiver<bool>,
    _driver: AbortOnDrop,
}

fn file_error(path: &Path, error: impl Display) -> SyncError {
    SyncError::File { file: path.display().to_string(), reason: error.to_string() }
}

async fn connect(source: &LdapSource, url: &str) -> Result<Connection, SyncError> {
    let mut settings = LdapConnSettings::new().set_conn_timeout(source.timeout).set_starttls(source.starttls);
    if let Some(path) = &source.ca_file {
        settings = settings.set_config(tls::client_config(path).map_err(|error| file_error(path, error))?);
    }
    let connect_error = |reason: String| SyncError::Connect { url: url.to_owned(), reason };
    let opened = tokio::time::timeout(source.timeout, LdapConnAsync::with_settings(settings, url)).await;
    let opened = opened.map_err(|_| connect_error("the connection timed out".into()))?;
    let (connection, ldap) = opened.map_err(|error| connect_error(error.to_string()))?;
    let (ended_sender, ended) = watch::channel(false);
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.drive().await {
            tracing::debug!(%error, "the connection to the directory server failed");
        }
        let _ = ended_sender.send(true);
    });
    Ok(Connection { ldap, ended, _driver: AbortOnDrop(driver) })
}

/// Reads the directory from one server. If the connection fails after some entries were received,
/// these are returned as an incomplete result. `answered` is called once the first entry or message
/// was received.
///
/// # Errors
/// If a file cannot be read, the connection or the bind fails, or the search fails before an entry
/// was received.
pub async fn sync(
    source: &LdapSource,
    server: usize,
    before: SyncState,
    answered: impl FnOnce() + 'static,
) -> Result<SyncResult, SyncError> {
    let url = source.urls[server].clone();
    let password = std::fs::read_to_string(&source.password_file)
        .map_err(|error| file_error(&source.password_file, error))?;
    let Connection { mut ldap, ended, _driver } = connect(source, &url).await?;
    let bound = ldap.with_timeout(source.timeout).simple_bind(&source.bind_dn, password.trim_end()).await;
    let bound = bound.map_err(|error| SyncError::Connect { url: url.clone(), reason: error.to_string() })?;
    if bound.rc != 0 {
        return Err(SyncError::Bind { url, dn: source.bind_dn.clone(), rc: bound.rc, text: bound.text });
    }
    let on_answer: session::OnAnswer = Box::new(answered);
    let mut session = DirectorySession { source, ldap, url, ended, on_answer: Some(on_answer) };
    let progress = session.read_progress().await;
    let mut result = if source.content_sync {
        session.read_synchronised(before.cookie).await
    } else if before.seen.is_empty() {
        session.read_all().await
    } else {
        session.read_changes(before.seen).await
    };
    match progress {
        Ok(progress) => result.update.mark = progress,
        Err(problem) => result.add_problem(problem),
    }
    let _ = session.ldap.with_timeout(source.timeout).unbind().await;
    if result.update.entries.is_empty() && result.update.present.is_empty() && !result.problems.is_empty() {
        return Err(SyncError::Search { url: session.url, reason: result.problems.join("; ") });
    }
    result.update.complete = result.problems.is_empty();
    Ok(result)
}
