//! Sweeps of an LDAP directory (RFC 4511): binds, asks for people, groups and tenants, and hands over what
//! came with whether it is all. An entry that makes no sense is left out and named, and the sweep is then not
//! complete: what cannot be read is never read as a deletion. It decides nothing else.
//!
//! Three ways to read: everything, in pages (RFC 2696); a list of ids and stamps, and then only what differs
//! from the last list; or content synchronisation (RFC 4533) from a cookie on, where the settings say that
//! the servers offer it.
mod entry;
mod settings;

pub use entry::{plain_dn, read, AttributeNames, RawEntry};
pub use settings::{read_settings, DirectorySettings};

use basaltpitch_tenants::{Id, Mark, Sweep};
use ldap3::adapters::{Adapter, EntriesOnly, PagedResults};
use ldap3::controls::{
    parse_syncinfo, Control, ControlType, EntryState, SyncDone, SyncInfo, SyncRequest,
    SyncState as SyncStateControl,
};
use ldap3::{ldap_escape, Ldap, LdapConnAsync, LdapConnSettings, ResultEntry, Scope, SearchEntry};
use std::collections::{BTreeSet, HashMap};
use std::hash::{Hash, Hasher};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// Ids that are asked for in one search.
const IDS_AT_ONCE: usize = 100;

/// How a directory is reached and asked. Filters are the settings' own text; values enter them escaped.
#[derive(Clone, Debug)]
pub struct LdapSource {
    /// `ldap://` (with StartTLS where `starttls` is set) or `ldaps://`, in order.
    pub urls: Vec<String>,
    pub starttls: bool,
    /// A file with the certificates (PEM) that vouch for the servers, read anew at each sweep; none: the
    /// system's.
    pub ca_file: Option<PathBuf>,
    pub bind_dn: String,
    /// The file that holds the password, read anew at each sweep, so that it may change in service.
    pub password: PathBuf,
    pub base: String,
    pub filter: String,
    pub names: AttributeNames,
    pub page: i32,
    /// Servers offer content synchronisation.
    pub sync: bool,
    /// A connection, and each page, must come within this time.
    pub timeout: Duration,
}

/// What a server gave before, by id: a sum over stamp and name. Empty: nothing.
pub type SeenEntries = HashMap<u128, u64>;

/// What an earlier sweep of the same server left; nothing: everything is read.
#[derive(Clone, Debug, Default)]
pub struct SyncState {
    pub seen: SeenEntries,
    pub cookie: Option<Vec<u8>>,
}

/// Why a sweep brought nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SyncError {
    #[error("{file}: {what}")]
    File { file: String, what: String },
    #[error("{url}: no connection: {what}")]
    Connect { url: String, what: String },
    #[error("{url}: bind as {dn}: found result {rc} ({text}); expected 0")]
    Bind { url: String, dn: String, rc: u32, text: String },
    #[error("{url}: the search broke off: {what}")]
    Search { url: String, what: String },
}

/// What a sweep brought.
#[derive(Clone, Debug, Default)]
pub struct SyncResult {
    pub sweep: Sweep,
    /// Why it is not complete, where it is not; one text a cause.
    pub problems: Vec<String>,
    /// What this server has now, for the next sweep.
    pub seen: SeenEntries,
}

impl SyncResult {
    fn problems(&mut self, why: impl Into<String>) {
        self.problems.push(why.into());
    }
}

/// One conversation with a server.
struct Talk<'a> {
    source: &'a LdapSource,
    ldap: Ldap,
    url: String,
    /// The connection is gone.
    ended: watch::Receiver<bool>,
    answered: Option<Box<dyn FnOnce()>>,
}

/// Sweeps one server. Pages that came before a break are handed over as an incomplete sweep. `answered` is
/// called once something came.
pub async fn sync(
    source: &LdapSource,
    server: usize,
    before: SyncState,
    answered: impl FnOnce() + 'static,
) -> Result<SyncResult, SyncError> {
    let url = source.urls[server].clone();
    let file = |path: &PathBuf, what: String| SyncError::File { file: path.display().to_string(), what };
    let secret =
        std::fs::read_to_string(&source.password).map_err(|e| file(&source.password, e.to_string()))?;
    let mut settings = LdapConnSettings::new().set_conn_timeout(source.timeout).set_starttls(source.starttls);
    if let Some(path) = &source.ca_file {
        settings = settings.set_config(trusting(path).map_err(|e| file(path, e))?);
    }
    let connect = |what: String| SyncError::Connect { url: url.clone(), what };
    let opened = tokio::time::timeout(source.timeout, LdapConnAsync::with_settings(settings, &url)).await;
    let opened = opened.map_err(|_| connect("nothing came in time".into()))?;
    let (conn, mut ldap) = opened.map_err(|e| connect(e.to_string()))?;
    let (ends, ended) = watch::channel(false);
    let driven = tokio::task::spawn_local(async move {
        if let Err(e) = conn.drive().await {
            tracing::debug!(error = %e, "the directory's connection ended");
        }
        let _ = ends.send(true);
    });
    let _ends = Ends(driven);
    let bound = ldap.with_timeout(source.timeout).simple_bind(&source.bind_dn, secret.trim_end()).await;
    let bound = bound.map_err(|e| connect(e.to_string()))?;
    if bound.rc != 0 {
        return Err(SyncError::Bind { url, dn: source.bind_dn.clone(), rc: bound.rc, text: bound.text });
    }
    let mut talk = Talk { source, ldap, url, ended, answered: Some(Box::new(answered)) };
    let mark = talk.mark().await;
    let mut swept = if source.sync {
        talk.synchronised(before.cookie).await
    } else if before.seen.is_empty() {
        talk.whole().await
    } else {
        talk.changes(before.seen).await
    };
    match mark {
        Ok(mark) => swept.sweep.mark = mark,
        Err(why) => swept.problems(why),
    }
    let _ = talk.ldap.with_timeout(source.timeout).unbind().await;
    if swept.sweep.entries.is_empty() && swept.sweep.present.is_empty() && !swept.problems.is_empty() {
        return Err(SyncError::Search { url: talk.url, what: swept.problems.join("; ") });
    }
    swept.sweep.complete = swept.problems.is_empty();
    Ok(swept)
}

/// What comes next, unless the timeout or the connection ends first. What came before the connection ended
/// goes first.
async fn within<T>(
    timeout: Duration,
    ended: &mut watch::Receiver<bool>,
    next: impl std::future::Future<Output = T>,
) -> Result<T, String> {
    tokio::select! {
        biased;
        next = tokio::time::timeout(timeout, next) => {
            next.map_err(|_| format!("nothing came for {} ms", timeout.as_millis()))
        }
        _ = ended.wait_for(|over| *over) => Err("the connection ended".into()),
    }
}

/// Ends the connection's task whatever way the sweep ends.
struct Ends(tokio::task::JoinHandle<()>);

impl Drop for Ends {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Trust in the certificates of a file, and in no others.
fn trusting(path: &PathBuf) -> Result<Arc<rustls::ClientConfig>, String> {
    use rustls::pki_types::{pem::PemObject, CertificateDer};
    let mut roots = rustls::RootCertStore::empty();
    let all = CertificateDer::pem_file_iter(path).map_err(|e| e.to_string())?;
    for one in all {
        roots.add(one.map_err(|e| e.to_string())?).map_err(|e| e.to_string())?;
    }
    if roots.is_empty() {
        return Err("found no certificate; expected at least one in PEM".into());
    }
    let ring = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(ring).with_safe_default_protocol_versions();
    let config = config.map_err(|e| e.to_string())?.with_root_certificates(roots).with_no_client_auth();
    Ok(Arc::new(config))
}

/// A filter for entries with these ids, which may be any text, among those of another filter.
pub fn filter_of_ids(filter: &str, attribute: &str, ids: &[String]) -> String {
    let each: String = ids.iter().map(|id| format!("({attribute}={})", ldap_escape(id.as_str()))).collect();
    format!("(&{filter}(|{each}))")
}

/// A sum by which a change of an entry's stamp or name shows.
fn sum_of(dn: &str, stamp: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    (plain_dn(dn), stamp).hash(&mut hasher);
    hasher.finish()
}

/// Two changes within one tick of a server's clock bear one stamp: an entry with the newest of all stamps may
/// change again under it, and is read again.
fn settled(list: Vec<(Id, u64, String)>) -> SeenEntries {
    let newest = list.iter().map(|x| x.2.clone()).max().unwrap_or_default();
    list.into_iter().filter(|x| x.2 != newest).map(|x| (x.0 .0, x.1)).collect()
}

fn raw(entry: ResultEntry) -> Result<RawEntry, String> {
    // The client panics on an entry whose bytes make no sense.
    let raw = catch_unwind(AssertUnwindSafe(|| SearchEntry::construct(entry)));
    let raw = raw.map_err(|_| "an entry whose bytes make no sense".to_owned())?;
    Ok(RawEntry { dn: raw.dn, texts: raw.attrs, bytes: raw.bin_attrs })
}

impl Talk<'_> {
    /// Searches in pages; each entry that came, and what is lacking at the end.
    async fn paged(
        &mut self,
        filter: &str,
        attributes: Vec<String>,
        mut each: impl FnMut(RawEntry) -> Result<(), String>,
    ) -> Vec<String> {
        let (source, mut problems) = (self.source, Vec::new());
        let adapters: Vec<Box<dyn Adapter<_, _>>> =
            vec![Box::new(EntriesOnly::new()), Box::new(PagedResults::new(source.page))];
        let search = self.ldap.with_timeout(source.timeout);
        let opened =
            search.streaming_search_with(adapters, &source.base, Scope::Subtree, filter, attributes).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(e) => return vec![e.to_string()],
        };
        loop {
            match within(source.timeout, &mut self.ended, stream.next()).await {
                Err(why) => problems.push(why),
                Ok(Err(e)) => problems.push(e.to_string()),
                Ok(Ok(Some(entry))) => {
                    self.answered.take().into_iter().for_each(|said| said());
                    if let Err(what) = raw(entry).and_then(&mut each) {
                        problems.push(what);
                    }
                    continue;
                }
                Ok(Ok(None)) => {
                    let end = stream.finish().await;
                    if end.rc != 0 {
                        let (rc, text) = (end.rc, end.text);
                        problems.push(format!("the search ended with result {rc} ({text}); expected 0"));
                    }
                    if !end.refs.is_empty() {
                        problems.push("a referral".into());
                    }
                }
            }
            return problems;
        }
    }

    /// How far the server says that it is, where settings name the attribute that says it.
    async fn mark(&mut self) -> Result<Mark, String> {
        let Some(attribute) = &self.source.names.mark else { return Ok(Mark::new()) };
        let search = self.ldap.with_timeout(self.source.timeout);
        let found = search
            .search(&self.source.base, Scope::Base, "(objectClass=*)", vec![attribute])
            .await
            .and_then(|r| r.success())
            .map_err(|e| format!("{attribute}: {e}"))?;
        let mut mark = Mark::new();
        for entry in found.0 {
            for value in raw(entry)?.texts.into_values().flatten() {
                // time#count#server#modification
                let server = value.split('#').nth(2).unwrap_or_default().to_owned();
                mark.insert(server, value);
            }
        }
        Ok(mark)
    }

    async fn whole(&mut self) -> SyncResult {
        let (mut swept, mut list) = (SyncResult::default(), Vec::new());
        let names = &self.source.names;
        let filter = self.source.filter.clone();
        swept.problems = self
            .paged(&filter, names.all(), |raw| {
                let entry = read(names, raw)?;
                list.push((entry.id, sum_of(&entry.dn, &entry.stamp), entry.stamp.clone()));
                swept.sweep.entries.push(entry);
                Ok(())
            })
            .await;
        swept.seen = settled(list);
        swept
    }

    async fn changes(&mut self, before: SeenEntries) -> SyncResult {
        let (mut swept, mut list, mut differ) = (SyncResult::default(), Vec::new(), Vec::new());
        let names = &self.source.names;
        let filter = self.source.filter.clone();
        let attributes = vec![names.id.clone(), names.stamp.clone()];
        swept.problems = self
            .paged(&filter, attributes, |raw| {
                let (id, text, stamp) = entry::read_stamp(names, &raw)?;
                let sum = sum_of(&raw.dn, &stamp);
                list.push((id, sum, stamp));
                if before.get(&id.0) == Some(&sum) {
                    swept.sweep.present.push(id);
                } else {
                    differ.push(text);
                }
                Ok(())
            })
            .await;
        for some in differ.chunks(IDS_AT_ONCE) {
            let filter = filter_of_ids(&filter, &names.id, some);
            let problems = self
                .paged(&filter, names.all(), |raw| {
                    swept.sweep.entries.push(read(names, raw)?);
                    Ok(())
                })
                .await;
            swept.problems.extend(problems);
        }
        swept.seen = settled(list);
        swept
    }

    /// Content synchronisation, refresh only: what changed since the cookie, or everything without one.
    async fn synchronised(&mut self, cookie: Option<Vec<u8>>) -> SyncResult {
        let mut swept = SyncResult::default();
        let timeout = self.source.timeout;
        let request = SyncRequest { cookie, ..SyncRequest::default() };
        let search = self.ldap.with_timeout(timeout).with_controls(vec![request.into()]);
        let (source, names) = (self.source, &self.source.names);
        let opened = search.streaming_search(&source.base, Scope::Subtree, &source.filter, names.all()).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(e) => {
                swept.problems(e.to_string());
                return swept;
            }
        };
        let mut gone = BTreeSet::new();
        loop {
            match within(timeout, &mut self.ended, stream.next()).await {
                Err(why) => swept.problems(why),
                Ok(Err(e)) => swept.problems(e.to_string()),
                Ok(Ok(Some(entry))) => {
                    self.answered.take().into_iter().for_each(|said| said());
                    if let Err(what) = synced(names, entry, &mut swept, &mut gone) {
                        swept.problems(what);
                    }
                    continue;
                }
                Ok(Ok(None)) => {
                    let end = stream.finish().await;
                    if end.rc != 0 {
                        swept.problems(format!(
                            "the search ended with result {} ({}); expected 0",
                            end.rc, end.text
                        ));
                    }
                    let done = end.ctrls.into_iter().find_map(|c| match c {
                        Control(Some(ControlType::SyncDone), raw) => {
                            catch_unwind(AssertUnwindSafe(|| raw.parse::<SyncDone>())).ok()
                        }
                        _ => None,
                    });
                    match done {
                        Some(done) => {
                            swept.sweep.cookie = done.cookie;
                            // Deletions were named, and all else is as it was; or all that is there was
                            // named.
                            swept.sweep.gone = done.refresh_deletes.then(|| gone.into_iter().collect());
                        }
                        None => swept.problems(
                            "found no end of the synchronisation; expected the control of RFC 4533",
                        ),
                    }
                }
            }
            return swept;
        }
    }
}

/// Takes in one message of a synchronisation.
fn synced(
    names: &AttributeNames,
    entry: ResultEntry,
    swept: &mut SyncResult,
    gone: &mut BTreeSet<Id>,
) -> Result<(), String> {
    let id = |bytes: &[u8]| {
        let bytes: [u8; 16] =
            bytes.try_into().map_err(|_| format!("an id of {} bytes; expected 16", bytes.len()))?;
        Ok::<_, String>(Id(u128::from_be_bytes(bytes)))
    };
    if entry.is_ref() {
        return Err("a referral".into());
    }
    if entry.is_intermediate() {
        let info = catch_unwind(AssertUnwindSafe(|| parse_syncinfo(entry)));
        let info = info.map_err(|_| "a message of the synchronisation that makes no sense".to_owned())?;
        if let SyncInfo::SyncIdSet { refresh_deletes, sync_uuids, .. } = info {
            for uuid in sync_uuids {
                let id = id(&uuid)?;
                if refresh_deletes {
                    gone.insert(id);
                } else {
                    swept.sweep.present.push(id);
                }
            }
        }
        return Ok(());
    }
    let state = entry.1.iter().find_map(|c| match c {
        Control(Some(ControlType::SyncState), raw) => {
            catch_unwind(AssertUnwindSafe(|| raw.parse::<SyncStateControl>())).ok()
        }
        _ => None,
    });
    let state = state.ok_or("an entry without its state; expected the control of RFC 4533")?;
    match state.state {
        EntryState::Add | EntryState::Modify => swept.sweep.entries.push(read(names, raw(entry)?)?),
        EntryState::Present => swept.sweep.present.push(id(&state.entry_uuid)?),
        EntryState::Delete => {
            gone.insert(id(&state.entry_uuid)?);
        }
    }
    Ok(())
}
