//! Reads an LDAP directory (RFC 4511): binds, asks for people, groups and tenants, and hands over what came
//! with whether it is all. An entry that makes no sense is left out and named, and the sync is then not
//! complete: what cannot be read is never read as a deletion. It decides nothing else.
//!
//! Three ways to read: everything, in pages (RFC 2696); a list of ids and stamps, and then only what differs
//! from the last list; or content synchronisation (RFC 4533) from a cookie on, where the settings say that
//! the servers offer it.
mod entry;
mod problem;
mod session;
mod settings;
mod tls;

pub use entry::{plain_dn, read, AttributeNames, InvalidEntry, RawEntry};
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

/// How a directory is reached and asked. Filters are the settings' own text; values enter them escaped.
#[derive(Clone, Debug)]
pub struct LdapSource {
    /// `ldap://` (with StartTLS where `starttls` is set) or `ldaps://`, in order.
    pub urls: Vec<String>,
    /// Whether `ldap://` connections go over to TLS before the bind.
    pub starttls: bool,
    /// A file with the certificates (PEM) that vouch for the servers, read anew at each sync; none: the
    /// system's.
    pub ca_file: Option<PathBuf>,
    /// The name to bind as.
    pub bind_dn: String,
    /// The file that holds the password, read anew at each sync, so that it may change in service.
    pub password: PathBuf,
    /// The entry under which everything is.
    pub base: String,
    /// Which entries are read.
    pub filter: String,
    /// What attributes and classes are called.
    pub names: AttributeNames,
    /// Entries a page.
    pub page: i32,
    /// Servers offer content synchronisation.
    pub sync: bool,
    /// A connection, and each page, must come within this time.
    pub timeout: Duration,
}

/// What a server gave before, by id: a hash of stamp and name. Empty: nothing.
pub type SeenEntries = HashMap<u128, u64>;

/// What an earlier sync of the same server left; nothing: everything is read.
#[derive(Clone, Debug, Default)]
pub struct SyncState {
    /// What the server gave.
    pub seen: SeenEntries,
    /// The cookie of content synchronisation.
    pub cookie: Option<Vec<u8>>,
}

/// Why a sync brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    /// The password or the certificates cannot be read.
    #[error("{file}: {reason}")]
    File {
        /// The path.
        file: String,
        /// What is wrong with it.
        reason: String,
    },
    /// No connection came about.
    #[error("{url}: no connection: {reason}")]
    Connect {
        /// The server.
        url: String,
        /// What went wrong.
        reason: String,
    },
    /// The server refused the bind.
    #[error("{url}: bind as {dn}: found result {rc} ({text}); expected 0")]
    Bind {
        /// The server.
        url: String,
        /// The name.
        dn: String,
        /// The result code.
        rc: u32,
        /// The server's own text.
        text: String,
    },
    /// The search ended before anything came.
    #[error("{url}: the search broke off: {reason}")]
    Search {
        /// The server.
        url: String,
        /// All that went wrong.
        reason: String,
    },
}

/// What a sync brought.
#[derive(Clone, Debug, Default)]
pub struct SyncResult {
    /// The entries, and whether they are all.
    pub sweep: DirectoryUpdate,
    /// Why it is not complete, where it is not; one text a cause.
    pub problems: Vec<String>,
    /// What this server has now, for the next sync.
    pub seen: SeenEntries,
}

impl SyncResult {
    fn add_problem(&mut self, problem: impl Display) {
        self.problems.push(problem.to_string());
    }
}

/// Ends the connection's task whatever way the sync ends.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection with the task that drives it.
struct Connection {
    ldap: Ldap,
    /// Turns true once the connection is gone.
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
    let failed = |reason: String| SyncError::Connect { url: url.to_owned(), reason };
    let opened = tokio::time::timeout(source.timeout, LdapConnAsync::with_settings(settings, url)).await;
    let opened = opened.map_err(|_| failed("nothing came in time".into()))?;
    let (connection, ldap) = opened.map_err(|error| failed(error.to_string()))?;
    let (ends, ended) = watch::channel(false);
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = connection.drive().await {
            tracing::debug!(%error, "the directory's connection ended");
        }
        let _ = ends.send(true);
    });
    Ok(Connection { ldap, ended, _driver: AbortOnDrop(driver) })
}

/// Reads one server. Pages that came before a break are handed over as an incomplete sync. `answered` is
/// called once something came.
///
/// # Errors
/// When nothing came at all, and why.
pub async fn sync(
    source: &LdapSource,
    server: usize,
    before: SyncState,
    answered: impl FnOnce() + 'static,
) -> Result<SyncResult, SyncError> {
    let url = source.urls[server].clone();
    let password =
        std::fs::read_to_string(&source.password).map_err(|error| file_error(&source.password, error))?;
    let Connection { mut ldap, ended, _driver } = connect(source, &url).await?;
    let bound = ldap.with_timeout(source.timeout).simple_bind(&source.bind_dn, password.trim_end()).await;
    let bound = bound.map_err(|error| SyncError::Connect { url: url.clone(), reason: error.to_string() })?;
    if bound.rc != 0 {
        return Err(SyncError::Bind { url, dn: source.bind_dn.clone(), rc: bound.rc, text: bound.text });
    }
    let on_answer: session::OnAnswer = Box::new(answered);
    let mut session = DirectorySession { source, ldap, url, ended, on_answer: Some(on_answer) };
    let progress = session.read_progress().await;
    let mut result = if source.sync {
        session.read_synchronised(before.cookie).await
    } else if before.seen.is_empty() {
        session.read_all().await
    } else {
        session.read_changes(before.seen).await
    };
    match progress {
        Ok(progress) => result.sweep.mark = progress,
        Err(problem) => result.add_problem(problem),
    }
    let _ = session.ldap.with_timeout(source.timeout).unbind().await;
    if result.sweep.entries.is_empty() && result.sweep.present.is_empty() && !result.problems.is_empty() {
        return Err(SyncError::Search { url: session.url, reason: result.problems.join("; ") });
    }
    result.sweep.complete = result.problems.is_empty();
    Ok(result)
}
