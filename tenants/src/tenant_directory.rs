//! All that is known of a directory, in one place: what was learnt, what of it is believed, how fresh it is,
//! and what is remembered over a restart. No I/O: it says which server to sweep and when, takes in what came,
//! and answers.
use crate::authorization::{authorize, AccessPolicy, AuthorizationDecision, Operation};
use crate::change_guard::{ChangeGuard, ChangeReview, HeldChanges};
use crate::sync_schedule::{DirectoryState, SyncOutcome, SyncSchedule, SyncScheduler};
use crate::{Change, Entry, Id, Mark, Sweep, Tenants};
use serde::{Deserialize, Serialize};

/// The format of what is remembered.
pub const FORMAT: u32 = 2;

/// What outlives a planner: the entries, and the tenants in the order of their indices, gone ones too.
#[derive(Serialize, Deserialize)]
struct DirectorySnapshot {
    entries: Vec<Entry>,
    order: Vec<Id>,
    /// Names of before, and when a renaming was heard.
    was: Vec<(Id, String, i64)>,
    mark: Mark,
    /// Of each server, by its name, from where on it can say what changed.
    cookies: Vec<(String, Vec<u8>)>,
}

/// A stored snapshot that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("remembered tenants: found {found}; expected entries of format {FORMAT}")]
pub struct InvalidSnapshot {
    /// What the JSON reader met, and where.
    found: serde_json::Error,
}

/// The tenants of a directory, kept in step with it by sweeps of its servers.
pub struct TenantDirectory {
    known: Tenants,
    trust: ChangeReview,
    health: SyncScheduler,
    caution: ChangeGuard,
    said: Option<DirectoryState>,
    /// Of each server, how many sweeps ago all of it was read; none: it is to be read whole.
    since_whole: Vec<Option<u32>>,
    /// Names of the servers, and from where on each can say what changed.
    servers: Vec<(String, Option<Vec<u8>>)>,
    under: Option<usize>,
}

/// A server is read whole again after so many sweeps that read changes only: what two changes within one tick
/// of its stamps hid comes to light then at the latest.
const WHOLE_EVERY: u32 = 40;

impl TenantDirectory {
    /// `remembered`: what `memory` gave, and when it was heard in full. An error says why it cannot be read;
    /// begin without it then.
    pub fn new(
        seed: u64,
        now: i64,
        servers: &[String],
        remembered: Option<(i64, &[u8])>,
        pace: SyncSchedule,
        caution: ChangeGuard,
    ) -> Result<Self, InvalidSnapshot> {
        let (mut known, mut trust) = (Tenants::default(), ChangeReview::default());
        let mut servers: Vec<_> = servers.iter().map(|s| (s.clone(), None)).collect();
        if let Some((at, bytes)) = remembered {
            let memory: DirectorySnapshot =
                serde_json::from_slice(bytes).map_err(|found| InvalidSnapshot { found })?;
            memory.order.into_iter().for_each(|id| {
                known.place(id);
            });
            known.take(at, memory.entries, &[]);
            for (id, name, at) in memory.was {
                if let Some(record) = known.known.get_mut(&id) {
                    known.old_names.insert(name.clone(), id);
                    record.was = Some((name, at));
                }
            }
            trust.remember(memory.mark);
            for (name, cookie) in memory.cookies {
                if let Some(server) = servers.iter_mut().find(|s| s.0 == name) {
                    server.1 = Some(cookie);
                }
            }
        }
        let health = SyncScheduler::new(seed, now, servers.len(), remembered.map(|r| r.0), pace);
        let since_whole = servers.iter().map(|s| s.1.as_ref().map(|_| 0)).collect();
        Ok(TenantDirectory { known, trust, health, caution, said: None, since_whole, servers, under: None })
    }

    /// What to remember, as of the last full sweep.
    pub fn memory(&self) -> Option<(i64, Vec<u8>)> {
        let at = self.health.full_at()?;
        let entries = self.known.ids().map(|x| x.1.clone()).collect();
        let was = self.known.known.iter().filter_map(|(id, record)| {
            let (name, at) = record.was.clone()?;
            Some((*id, name, at))
        });
        let (was, mark) = (was.collect(), self.trust.mark().clone());
        let with_cookie = self.servers.iter().filter_map(|s| Some((s.0.clone(), s.1.clone()?)));
        let (order, cookies) = (self.known.tenants.clone(), with_cookie.collect());
        let memory = DirectorySnapshot { entries, order, was, mark, cookies };
        Some((at, serde_json::to_vec(&memory).expect("plain values")))
    }

    /// The server to sweep now, if it is time.
    pub fn next(&mut self, now: i64) -> Option<usize> {
        let next = self.health.next(now);
        if next.is_some() {
            self.under = next;
        }
        next
    }

    /// Whether the sweep that is under way must read everything, or what changed at its server is enough.
    pub fn whole(&self) -> bool {
        self.under.is_none_or(|s| self.since_whole[s].is_none_or(|n| n >= WHOLE_EVERY))
    }

    /// When `next` has something to do, if nothing else happens.
    pub fn next_at(&self) -> i64 {
        self.health.next_at()
    }

    /// A first page of the sweep that is under way came.
    pub fn answered(&mut self) {
        self.health.answered();
    }

    /// From where on the server of the sweep that is under way can say what changed, if it is not to be read
    /// whole.
    pub fn cookie(&self) -> Option<Vec<u8>> {
        self.under.filter(|_| !self.whole()).and_then(|s| self.servers[s].1.clone())
    }

    /// The sweep that is under way ended; `None`: nothing came of it.
    pub fn swept(&mut self, now: i64, sweep: Option<Sweep>) -> Vec<Change> {
        let Some(sweep) = sweep else {
            self.under = None;
            self.health.ended(now, SyncOutcome::Failed);
            return Vec::new();
        };
        let (complete, whole) = (sweep.complete, self.whole());
        let cookie = sweep.cookie.clone();
        let believed = self.trust.judge(now, &self.known, sweep, self.caution);
        let full = complete && !believed.older && !believed.unknown;
        if let Some(server) = self.under.take() {
            let since = if whole { 0 } else { self.since_whole[server].unwrap_or(0) + 1 };
            // What is held would not be named again by a server that says only what changed.
            let goes_on = full && self.trust.held().is_none();
            self.since_whole[server] = goes_on.then_some(since);
            self.servers[server].1 = cookie.filter(|_| goes_on);
        }
        let changes = self.known.take_in(now, believed.entries, &believed.gone, believed.as_is);
        self.health.ended(now, if full { SyncOutcome::Full } else { SyncOutcome::Partial });
        changes
    }

    /// How far what is known can be relied on at a time.
    pub fn state(&self, now: i64) -> DirectoryState {
        self.health.state(now)
    }

    /// How old what is known is: 0 while it is fresh, -1 while nothing is known.
    pub fn stale_us(&self, now: i64) -> i64 {
        match (self.state(now), self.full_at()) {
            (DirectoryState::Fresh, _) => 0,
            (_, Some(at)) => (now - at).max(1),
            (_, None) => -1,
        }
    }

    /// When what was declined by what is known now is worth asking again: once a sweep can have brought news.
    pub fn retry_after_us(&self, now: i64) -> i64 {
        (self.next_at() - now).max(1_000_000)
    }

    /// The state, once each time that it is another: for the log.
    pub fn new_state(&mut self, now: i64) -> Option<DirectoryState> {
        let state = self.state(now);
        (self.said.replace(state) != Some(state)).then_some(state)
    }

    /// Who may do what, by what is known now.
    pub fn authorize(
        &self,
        now: i64,
        policy: &AccessPolicy,
        login: &str,
        operation: Operation,
    ) -> AuthorizationDecision {
        authorize(&self.known, now, self.state(now), policy, login, operation)
    }

    /// The entries as last accepted.
    pub fn tenants(&self) -> &Tenants {
        &self.known
    }

    /// The removal that is held, if one is.
    pub fn held(&self) -> Option<&HeldChanges> {
        self.trust.held()
    }

    /// The last complete sweep came from a server that lags behind what was seen.
    pub fn is_behind(&self) -> bool {
        self.trust.is_behind()
    }

    /// How often anything that is remembered changed.
    pub fn edits(&self) -> u64 {
        self.known.edits()
    }

    /// When all was last heard.
    pub fn full_at(&self) -> Option<i64> {
        self.health.full_at()
    }

    /// The index of a tenant that a machine names; see `Tenants::place`.
    pub fn place(&mut self, id: Id) -> usize {
        self.known.place(id)
    }

    /// An operator's word for what is held.
    pub fn accept(&mut self) -> bool {
        self.since_whole.fill(None);
        self.trust.accept()
    }
}
