//! A connection to a directory server, and the three ways to read it: everything, the entries that
//! changed since the last list, or content synchronisation.
use crate::entry::{self, normalize_dn, read_entry, RawEntry};
use crate::problem::SyncProblem;
use crate::{LdapSource, SeenEntries, SyncResult};
use basaltpitch_tenants::{Id, Mark};
use ldap3::adapters::{Adapter, EntriesOnly, PagedResults};
use ldap3::controls::{
    parse_syncinfo, Control, ControlType, EntryState, SyncDone, SyncInfo, SyncRequest, SyncState,
};
use ldap3::{ldap_escape, Ldap, LdapResult, ResultEntry, Scope, SearchEntry};
use std::collections::BTreeSet;
use std::future::Future;
use std::hash::{Hash, Hasher};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum number of entry ids in the filter of one search.
const IDS_AT_ONCE: usize = 100;

/// Callback for the first entry or message received from the server.
pub(crate) type OnAnswer = Box<dyn FnOnce()>;

/// A connection after its bind.
pub(crate) struct DirectorySession<'a> {
    pub(crate) source: &'a LdapSource,
    pub(crate) ldap: Ldap,
    pub(crate) url: String,
    /// True once the connection is closed.
    pub(crate) ended: watch::Receiver<bool>,
    pub(crate) on_answer: Option<OnAnswer>,
}

/// Waits for the next message until the timeout or the end of the connection. A message received
/// before the connection ended is returned first.
async fn next_within<T>(
    timeout: Duration,
    ended: &mut watch::Receiver<bool>,
    next: impl Future<Output = T>,
) -> Result<T, SyncProblem> {
    tokio::select! {
        biased;
        next = tokio::time::timeout(timeout, next) => next.map_err(|_| SyncProblem::Timeout(timeout)),
        _ = ended.wait_for(|over| *over) => Err(SyncProblem::ConnectionEnded),
    }
}

/// Returns a filter for the entries that match `filter` and have one of these ids. The ids may be
/// any text; they are escaped.
pub fn filter_of_ids(filter: &str, attribute: &str, ids: &[String]) -> String {
    let alternatives: String =
        ids.iter().map(|id| format!("({attribute}={})", ldap_escape(id.as_str()))).collect();
    format!("(&{filter}(|{alternatives}))")
}

/// Entry of a list: id, hash of distinguished name and modification time, and modification time.
type ListedEntry = (Id, u64, String);

/// Returns a hash that differs when the entry's distinguished name or modification time changed.
fn entry_hash(dn: &str, stamp: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    (normalize_dn(dn), stamp).hash(&mut hasher);
    hasher.finish()
}

/// Returns the list without the entries that have the newest modification time, so that the next
/// sync reads them again: two changes within one second of the server's clock carry the same time,
/// so an entry may change again without a new time.
fn without_newest(list: Vec<ListedEntry>) -> SeenEntries {
    let newest = list.iter().map(|entry| entry.2.clone()).max().unwrap_or_default();
    list.into_iter().filter(|entry| entry.2 != newest).map(|entry| (entry.0 .0, entry.1)).collect()
}

/// Calls a parser of the LDAP client and returns `None` if it panics, as it does on invalid bytes.
/// Input from a server must not end the process.
fn parse<T>(parse: impl FnOnce() -> T) -> Option<T> {
    catch_unwind(AssertUnwindSafe(parse)).ok()
}

fn raw_entry(entry: ResultEntry) -> Result<RawEntry, SyncProblem> {
    let parsed = parse(|| SearchEntry::construct(entry)).ok_or(SyncProblem::MalformedEntry)?;
    Ok(RawEntry { dn: parsed.dn, texts: parsed.attrs, bytes: parsed.bin_attrs })
}

fn check_end(end: &LdapResult) -> Result<(), SyncProblem> {
    if end.rc == 0 {
        Ok(())
    } else {
        Err(SyncProblem::SearchResult { code: end.rc, text: end.text.clone() })
    }
}

impl DirectorySession<'_> {
    /// Searches in pages and passes each entry to `take`. Returns the texts of the problems met.
    async fn search_pages(
        &mut self,
        filter: &str,
        attributes: Vec<String>,
        mut take: impl FnMut(RawEntry) -> Result<(), SyncProblem>,
    ) -> Vec<String> {
        let (source, mut problems) = (self.source, Vec::new());
        let adapters: Vec<Box<dyn Adapter<_, _>>> =
            vec![Box::new(EntriesOnly::new()), Box::new(PagedResults::new(source.page_size))];
        let search = self.ldap.with_timeout(source.timeout);
        let opened =
            search.streaming_search_with(adapters, &source.base, Scope::Subtree, filter, attributes).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => return vec![error.to_string()],
        };
        loop {
            match next_within(source.timeout, &mut self.ended, stream.next()).await {
                Err(problem) => problems.push(problem.to_string()),
                Ok(Err(error)) => problems.push(error.to_string()),
                Ok(Ok(Some(entry))) => {
                    self.on_answer.take().into_iter().for_each(|answered| answered());
                    if let Err(problem) = raw_entry(entry).and_then(&mut take) {
                        problems.push(problem.to_string());
                    }
                    continue;
                }
                Ok(Ok(None)) => {
                    let end = stream.finish().await;
                    problems.extend(check_end(&end).err().map(|problem| problem.to_string()));
                    if !end.refs.is_empty() {
                        problems.push(SyncProblem::Referral.to_string());
                    }
                }
            }
            return problems;
        }
    }

    /// Reads the replication progress of the server, if the settings name an attribute for it.
    pub(crate) async fn read_progress(&mut self) -> Result<Mark, SyncProblem> {
        let Some(attribute) = &self.source.names.mark else { return Ok(Mark::new()) };
        let search = self.ldap.with_timeout(self.source.timeout);
        let found = search
            .search(&self.source.base, Scope::Base, "(objectClass=*)", vec![attribute])
            .await
            .and_then(|result| result.success())
            .map_err(|error| SyncProblem::Progress {
                attribute: attribute.clone(),
                error: Box::new(error),
            })?;
        let mut progress = Mark::new();
        for entry in found.0 {
            for value in raw_entry(entry)?.texts.into_values().flatten() {
                // Format of a contextCSN value: time#count#server#modification.
                let server = value.split('#').nth(2).unwrap_or_default().to_owned();
                progress.insert(server, value);
            }
        }
        Ok(progress)
    }

    /// Reads all entries, in pages.
    pub(crate) async fn read_all(&mut self) -> SyncResult {
        let (mut result, mut list) = (SyncResult::default(), Vec::new());
        let names = &self.source.names;
        let filter = self.source.filter.clone();
        result.problems = self
            .search_pages(&filter, names.all(), |raw| {
                let entry = read_entry(names, raw)?;
                list.push((entry.id, entry_hash(&entry.dn, &entry.stamp), entry.stamp.clone()));
                result.update.entries.push(entry);
                Ok(())
            })
            .await;
        result.seen = without_newest(list);
        result
    }

    /// Reads ids and modification times of all entries, then the entries that differ from `before`.
    pub(crate) async fn read_changes(&mut self, before: SeenEntries) -> SyncResult {
        let (mut result, mut list, mut changed) = (SyncResult::default(), Vec::new(), Vec::new());
        let names = &self.source.names;
        let filter = self.source.filter.clone();
        let attributes = vec![names.id.clone(), names.stamp.clone()];
        result.problems = self
            .search_pages(&filter, attributes, |raw| {
                let stamped = entry::read_stamp(names, &raw)?;
                let hash = entry_hash(&raw.dn, &stamped.stamp);
                list.push((stamped.id, hash, stamped.stamp));
                if before.get(&stamped.id.0) == Some(&hash) {
                    result.update.present.push(stamped.id);
                } else {
                    changed.push(stamped.id_text);
                }
                Ok(())
            })
            .await;
        for ids in changed.chunks(IDS_AT_ONCE) {
            let filter = filter_of_ids(&filter, &names.id, ids);
            let problems = self
                .search_pages(&filter, names.all(), |raw| {
                    result.update.entries.push(read_entry(names, raw)?);
                    Ok(())
                })
                .await;
            result.problems.extend(problems);
        }
        result.seen = without_newest(list);
        result
    }

    /// Reads the changes since the cookie by content synchronisation in `refreshOnly` mode, or all
    /// entries without a cookie.
    pub(crate) async fn read_synchronised(&mut self, cookie: Option<Vec<u8>>) -> SyncResult {
        let mut result = SyncResult::default();
        let timeout = self.source.timeout;
        let request = SyncRequest { cookie, ..SyncRequest::default() };
        let search = self.ldap.with_timeout(timeout).with_controls(vec![request.into()]);
        let (source, names) = (self.source, &self.source.names);
        let opened = search.streaming_search(&source.base, Scope::Subtree, &source.filter, names.all()).await;
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                result.add_problem(error);
                return result;
            }
        };
        let mut deleted = BTreeSet::new();
        loop {
            match next_within(timeout, &mut self.ended, stream.next()).await {
                Err(problem) => result.add_problem(problem),
                Ok(Err(error)) => result.add_problem(error),
                Ok(Ok(Some(message))) => {
                    self.on_answer.take().into_iter().for_each(|answered| answered());
                    if let Err(problem) = take_sync_message(source, message, &mut result, &mut deleted) {
                        result.add_problem(problem);
                    }
                    continue;
                }
                Ok(Ok(None)) => take_sync_end(stream.finish().await, &mut result, deleted),
            }
            return result;
        }
    }
}

/// Handles the end of a content synchronisation.
fn take_sync_end(end: LdapResult, result: &mut SyncResult, deleted: BTreeSet<Id>) {
    if let Err(problem) = check_end(&end) {
        result.add_problem(problem);
    }
    let done = end.ctrls.into_iter().find_map(|control| match control {
        Control(Some(ControlType::SyncDone), raw) => parse(|| raw.parse::<SyncDone>()),
        _ => None,
    });
    match done {
        Some(done) => {
            result.update.cookie = done.cookie;
            // With `refreshDeletes`, the server listed the deleted entries and all others still
            // exist. Without it, the server listed every existing entry.
            result.update.deleted = done.refresh_deletes.then(|| deleted.into_iter().collect());
        }
        None => result.add_problem(SyncProblem::MissingSyncDone),
    }
}

fn read_uuid(bytes: &[u8]) -> Result<Id, SyncProblem> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| SyncProblem::IdLength { found: bytes.len() })?;
    Ok(Id(u128::from_be_bytes(bytes)))
}

/// Handles one message of a content synchronisation.
fn take_sync_message(
    source: &LdapSource,
    message: ResultEntry,
    result: &mut SyncResult,
    deleted: &mut BTreeSet<Id>,
) -> Result<(), SyncProblem> {
    if message.is_ref() {
        return Err(SyncProblem::Referral);
    }
    if message.is_intermediate() {
        let info = parse(|| parse_syncinfo(message)).ok_or(SyncProblem::MalformedSyncInfo)?;
        if let SyncInfo::SyncIdSet { refresh_deletes, sync_uuids, .. } = info {
            for uuid in sync_uuids {
                let id = read_uuid(&uuid)?;
                if refresh_deletes {
                    deleted.insert(id);
                } else {
                    result.update.present.push(id);
                }
            }
        }
        return Ok(());
    }
    let state = message.1.iter().find_map(|control| match control {
        Control(Some(ControlType::SyncState), raw) => parse(|| raw.parse::<SyncState>()),
        _ => None,
    });
    let state = state.ok_or(SyncProblem::MissingSyncState)?;
    match state.state {
        EntryState::Add | EntryState::Modify => {
            result.update.entries.push(read_entry(&source.names, raw_entry(message)?)?);
        }
        EntryState::Present => result.update.present.push(read_uuid(&state.entry_uuid)?),
        EntryState::Delete => {
            deleted.insert(read_uuid(&state.entry_uuid)?);
        }
    }
    Ok(())
}
