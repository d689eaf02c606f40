//! The state of a tenant directory: its accepted entries, the review of changes, the schedule of
//! synchronizations, and the snapshot that survives a restart. No I/O: the caller synchronizes with
//! the server that [`TenantDirectory::next`] returns and passes in the result.
use crate::authorization::{authorize, AccessPolicy, AuthorizationDecision, Operation};
use crate::change_guard::{ChangeGuard, ChangeReview, HeldRemoval};
use crate::sync_schedule::{DirectoryState, SyncOutcome, SyncSchedule, SyncScheduler};
use crate::{Change, DirectoryUpdate, Entry, Id, Mark, Tenants};
use serde::{Deserialize, Serialize};

/// Version of the snapshot's format.
pub const SNAPSHOT_FORMAT: u32 = 2;

/// The state that survives a restart of the planner.
#[derive(Serialize, Deserialize)]
struct DirectorySnapshot {
    /// All accepted entries.
    entries: Vec<Entry>,
    /// All tenants in the order of their indices, removed ones included.
    order: Vec<Id>,
    /// Renamed tenants, each with its previous name and the time when the renaming was received.
    was: Vec<(Id, String, i64)>,
    /// The highest change sequence numbers that any server reported.
    mark: Mark,
    /// Synchronization cookies by the server's name.
    cookies: Vec<(String, Vec<u8>)>,
}

/// A stored snapshot could not be decoded.
#[derive(Debug, thiserror::Error)]
#[error("tenant snapshot: found {found}; expected directory entries of format {SNAPSHOT_FORMAT}")]
pub struct InvalidSnapshot {
    /// The decoder's error, with its location in the JSON.
    found: serde_json::Error,
}

/// The tenants of a directory, kept up to date by synchronizations with its servers.
pub struct TenantDirectory {
    known: Tenants,
    review: ChangeReview,
    scheduler: SyncScheduler,
    guard: ChangeGuard,
    /// The state that `state_change` returned last.
    reported_state: Option<DirectoryState>,
    /// By server: number of incremental synchronizations since the last full one; `None`: the next
    /// synchronization must be a full one.
    since_full: Vec<Option<u32>>,
    /// Names of the servers, each with the cookie for its next incremental synchronization.
    servers: Vec<(String, Option<Vec<u8>>)>,
    /// Server of the running synchronization.
    running: Option<usize>,
}

/// Number of incremental synchronizations of a server after which a full one follows. Changes that
/// an incremental one misses, as they share a stamp with an earlier change, are found then at the
/// latest.
const FULL_SYNC_EVERY: u32 = 40;

impl TenantDirectory {
    /// Creates a directory. `remembered`: a snapshot that [`snapshot`](Self::snapshot) returned,
    /// with its time. Fails if the snapshot cannot be decoded; callers then start without it.
    pub fn new(
        seed: u64,
        now: i64,
        servers: &[String],
        remembered: Option<(i64, &[u8])>,
        schedule: SyncSchedule,
        guard: ChangeGuard,
    ) -> Result<Self, InvalidSnapshot> {
        let (mut known, mut review) = (Tenants::default(), ChangeReview::default());
        let mut servers: Vec<_> = servers.iter().map(|s| (s.clone(), None)).collect();
        if let Some((at, bytes)) = remembered {
            let snapshot: DirectorySnapshot =
                serde_json::from_slice(bytes).map_err(|found| InvalidSnapshot { found })?;
            snapshot.order.into_iter().for_each(|id| {
                known.index_or_assign(id);
            });
            known.apply(at, snapshot.entries, &[]);
            for (id, name, at) in snapshot.was {
                if let Some(record) = known.known.get_mut(&id) {
                    known.old_names.insert(name.clone(), id);
                    record.previous_name = Some((name, at));
                }
            }
            review.restore_mark(snapshot.mark);
            for (name, cookie) in snapshot.cookies {
                if let Some(server) = servers.iter_mut().find(|s| s.0 == name) {
                    server.1 = Some(cookie);
                }
            }
        }
        let scheduler = SyncScheduler::new(seed, now, servers.len(), remembered.map(|r| r.0), schedule);
        let since_full = servers.iter().map(|s| s.1.as_ref().map(|_| 0)).collect();
        Ok(TenantDirectory {
            known,
            review,
            scheduler,
            guard,
            reported_state: None,
            since_full,
            servers,
            running: None,
        })
    }

    /// Returns a snapshot to store, with the time of the last full synchronization; `None` before
    /// the first one.
    pub fn snapshot(&self) -> Option<(i64, Vec<u8>)> {
        let at = self.scheduler.full_at()?;
        let entries = self.known.entries().map(|x| x.1.clone()).collect();
        let was = self.known.known.iter().filter_map(|(id, record)| {
            let (name, at) = record.previous_name.clone()?;
            Some((*id, name, at))
        });
        let (was, mark) = (was.collect(), self.review.mark().clone());
        let with_cookie = self.servers.iter().filter_map(|s| Some((s.0.clone(), s.1.clone()?)));
        let (order, cookies) = (self.known.tenants.clone(), with_cookie.collect());
        let snapshot = DirectorySnapshot { entries, order, was, mark, cookies };
        Some((at, serde_json::to_vec(&snapshot).expect("a snapshot can always be encoded as JSON")))
    }

    /// Starts a synchronization if one is due, and returns the index of its server.
    pub fn next(&mut self, now: i64) -> Option<usize> {
        let next = self.scheduler.next(now);
        if next.is_some() {
            self.running = next;
        }
        next
    }

    /// Returns whether the running synchronization must be a full one rather than an incremental
    /// one.
    pub fn needs_full_sync(&self) -> bool {
        self.running.is_none_or(|s| self.since_full[s].is_none_or(|n| n >= FULL_SYNC_EVERY))
    }

    /// Returns when to call `next` again, unless the running synchronization ends before.
    pub fn next_at(&self) -> i64 {
        self.scheduler.next_at()
    }

    /// Records that the first page of the running synchronization was received.
    pub fn first_page_received(&mut self) {
        self.scheduler.first_page_received();
    }

    /// Returns the cookie for the running synchronization; `None` if it must be a full one or its
    /// server sent no cookie.
    pub fn cookie(&self) -> Option<Vec<u8>> {
        self.running.filter(|_| !self.needs_full_sync()).and_then(|s| self.servers[s].1.clone())
    }

    /// Records the end of the running synchronization and applies the accepted changes. `None`: the
    /// synchronization failed.
    pub fn sync_ended(&mut self, now: i64, sync: Option<DirectoryUpdate>) -> Vec<Change> {
        let Some(sync) = sync else {
            self.running = None;
            self.scheduler.ended(now, SyncOutcome::Failed);
            return Vec::new();
        };
        let (complete, whole) = (sync.complete, self.needs_full_sync());
        let cookie = sync.cookie.clone();
        let accepted = self.review.review(now, &self.known, sync, self.guard);
        let full = complete && !accepted.server_lags && !accepted.has_unknown_entries;
        if let Some(server) = self.running.take() {
            let since = if whole { 0 } else { self.since_full[server].unwrap_or(0) + 1 };
            // While a removal is held, synchronizations must be full: an incremental one would not
            // report the removal again, so that it could never be confirmed.
            let incremental_next = full && self.review.held_removal().is_none();
            self.since_full[server] = incremental_next.then_some(since);
            self.servers[server].1 = cookie.filter(|_| incremental_next);
        }
        let changes = self.known.apply_accepted(now, accepted.entries, &accepted.removed, accepted.forced);
        self.scheduler.ended(now, if full { SyncOutcome::Full } else { SyncOutcome::Partial });
        changes
    }

    /// Returns how up to date the known tenants are at `now`.
    pub fn state(&self, now: i64) -> DirectoryState {
        self.scheduler.state(now)
    }

    /// Returns the time since the last full synchronization in microseconds, or 0 while the
    /// directory is fresh, or -1 if there was none.
    pub fn stale_us(&self, now: i64) -> i64 {
        match (self.state(now), self.full_at()) {
            (DirectoryState::Fresh, _) => 0,
            (_, Some(at)) => (now - at).max(1),
            (_, None) => -1,
        }
    }

    /// Returns the time in microseconds after which a client should retry a request that was
    /// declined on the known tenants: when the next synchronization can have updated them, but at
    /// least 1 s.
    pub fn retry_after_us(&self, now: i64) -> i64 {
        (self.next_at() - now).max(1_000_000)
    }

    /// Returns the state if it has changed since the last call, for the log.
    pub fn state_change(&mut self, now: i64) -> Option<DirectoryState> {
        let state = self.state(now);
        (self.reported_state.replace(state) != Some(state)).then_some(state)
    }

    /// Decides on an operation of a login by the known tenants.
    pub fn authorize(
        &self,
        now: i64,
        policy: &AccessPolicy,
        login: &str,
        operation: Operation,
    ) -> AuthorizationDecision {
        authorize(&self.known, now, self.state(now), policy, login, operation)
    }

    /// Returns the accepted entries.
    pub fn tenants(&self) -> &Tenants {
        &self.known
    }

    /// Returns the removal that waits for confirmation, if any.
    pub fn held_removal(&self) -> Option<&HeldRemoval> {
        self.review.held_removal()
    }

    /// Returns whether a server lagged, and no complete and up-to-date synchronization has
    /// followed.
    pub fn is_behind(&self) -> bool {
        self.review.is_behind()
    }

    /// Returns the number of changes to entries so far, to detect that a new snapshot is needed.
    pub fn revision(&self) -> u64 {
        self.known.revision()
    }

    /// Returns the end of the last full synchronization, in microseconds.
    pub fn full_at(&self) -> Option<i64> {
        self.scheduler.full_at()
    }

    /// Returns the index of a tenant that a machine names, and assigns one if needed; see
    /// [`Tenants::index_or_assign`].
    pub fn index_or_assign(&mut self, id: Id) -> usize {
        self.known.index_or_assign(id)
    }

    /// Records an operator's order to accept the next complete synchronization as it is, which will
    /// be a full one; see [`ChangeReview::accept`].
    pub fn accept(&mut self) -> bool {
        self.since_full.fill(None);
        self.review.accept()
    }
}
