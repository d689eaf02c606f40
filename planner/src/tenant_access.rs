//! The tenants that a planner knows, from its settings or from a directory, and the access
//! decisions for logins. No I/O: the module says which directory server to sync with and when, and
//! what to store on disk. The package `tenants` decides which changes are applied, how fresh the
//! data is and who may do what. Times are microseconds.
use basaltpitch_ledger::RejectReason;
use basaltpitch_tenants::authorization::{
    AccessPolicy, AuthorizationBasis, AuthorizationDecision, Operation,
};
use basaltpitch_tenants::change_guard::ChangeGuard;
use basaltpitch_tenants::sync_schedule::{DirectoryState, SyncSchedule};
use basaltpitch_tenants::tenant_directory::TenantDirectory;
use basaltpitch_tenants::{Change, DirectoryUpdate, EntryKind, Id};
use serde_json::{json, Value};

/// How a planner reads tenants from a directory.
#[derive(Clone, Debug)]
pub struct DirectoryOptions {
    /// The addresses of the directory's servers, in the order in which they are tried.
    pub servers: Vec<String>,
    /// Who may do what, and whether tasks are placed while the directory's data is stale or
    /// missing.
    pub access_policy: AccessPolicy,
    /// How often the planner syncs with the directory, and when the data counts as stale.
    pub sync_schedule: SyncSchedule,
    /// Which removals are held back until they are confirmed, and what confirms them.
    pub change_guard: ChangeGuard,
}

/// A sync with one server of the directory, to be carried out by the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectorySyncTask {
    /// The server's index in `DirectoryOptions::servers`.
    pub server: usize,
    /// The number of the sync: each sync of this planner has a higher one.
    pub number: u64,
    /// Whether to read all entries, rather than only those that changed.
    pub full: bool,
    /// The server's synchronization cookie, from which it can report changes; `None` if there is
    /// none.
    pub cookie: Option<Vec<u8>>,
}

/// The tenants that a planner knows, and which logins may act for them.
pub enum TenantAccess {
    /// The names of tenants in the settings, by index. Every login may act for every tenant.
    Listed(Vec<String>),
    /// Tenants, groups and people from a directory.
    Directory(Box<DirectoryAccess>),
}

/// Tenants, groups and people as read from the servers of a directory.
pub struct DirectoryAccess {
    options: DirectoryOptions,
    directory: TenantDirectory,
    /// The sync in progress.
    running_sync: Option<DirectorySyncTask>,
    /// The number of syncs started by this planner.
    sync_count: u64,
    /// By server, why its last sync was incomplete; empty if it was complete.
    problems: Vec<Vec<String>>,
    /// Whether the log says that removals are held back.
    held_logged: bool,
    /// The directory's edit count in the last snapshot that was output; `None` if none was output
    /// or storing it failed.
    stored_edits: Option<u64>,
}

/// The decision on whether a login may submit a task for a tenant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccessDecision {
    /// The tenant's index; `None` if the request has no tenant or is not allowed.
    pub tenant: Option<usize>,
    /// The age of the tenant data that the decision is based on, in microseconds: 0 if fresh, -1 if
    /// there is no data.
    pub stale_us: i64,
    /// The reason for a rejection, and the time in microseconds after which to retry; `None` if
    /// allowed.
    pub rejection: Option<(RejectReason, i64)>,
}

impl DirectoryAccess {
    /// Creates the access to a directory. `remembered` is the snapshot stored by an earlier process
    /// and the time of its last full sync.
    ///
    /// # Errors
    /// The snapshot cannot be parsed.
    pub fn new(
        seed: u64,
        now: i64,
        options: DirectoryOptions,
        remembered: Option<(i64, &[u8])>,
    ) -> Result<Self, String> {
        let problems = vec![Vec::new(); options.servers.len()];
        let directory = TenantDirectory::new(
            seed,
            now,
            &options.servers,
            remembered,
            options.sync_schedule,
            options.change_guard,
        )
        .map_err(|error| error.to_string())?;
        Ok(DirectoryAccess {
            options,
            directory,
            running_sync: None,
            sync_count: 0,
            problems,
            held_logged: false,
            stored_edits: None,
        })
    }

    /// Returns the time at which `next_sync` may return a sync, unless an event changes it.
    pub fn next_at(&self) -> i64 {
        self.directory.next_at()
    }

    /// Returns the sync to start now, if one is due; a sync in progress is cancelled then.
    pub fn next_sync(&mut self, now: i64) -> Option<DirectorySyncTask> {
        let server = self.directory.next(now)?;
        self.sync_count += 1;
        let (full, cookie) = (self.directory.needs_full_sync(), self.directory.cookie());
        self.running_sync = Some(DirectorySyncTask { server, number: self.sync_count, full, cookie });
        self.running_sync.clone()
    }

    fn is_running(&self, number: u64) -> bool {
        self.running_sync.as_ref().is_some_and(|sync| sync.number == number)
    }

    /// Records that the first page of results of the sync with this number was received.
    pub fn first_page_received(&mut self, number: u64) {
        if self.is_running(number) {
            self.directory.first_page_received();
        }
    }

    /// Applies the result of a sync, and returns the changes of tenants. `result` is `None` if the
    /// sync failed; `problems` says why the result is missing or incomplete. Returns `None` for a
    /// sync that was cancelled.
    pub fn sync_finished(
        &mut self,
        now: i64,
        number: u64,
        result: Option<DirectoryUpdate>,
        problems: Vec<String>,
    ) -> Option<Vec<Change>> {
        let sync = self.running_sync.take_if(|sync| sync.number == number)?;
        let server = &self.options.servers[sync.server];
        match (std::mem::replace(&mut self.problems[sync.server], problems), &self.problems[sync.server]) {
            (before, after) if before == *after => {}
            (_, after) if after.is_empty() => {
                tracing::info!(server, "a directory server returns complete results again")
            }
            (_, after) => {
                tracing::warn!(
                    server,
                    why = after.join("; "),
                    "a directory server returned incomplete results"
                )
            }
        }
        Some(self.directory.sync_ended(now, result))
    }

    /// Logs each change of the directory's state, and of whether removals are held back, once.
    pub fn log_state_changes(&mut self, now: i64) {
        let age_s = self.directory.full_at().map(|at| (now - at) / 1_000_000);
        match self.directory.state_change(now) {
            Some(DirectoryState::Blind) => {
                tracing::warn!(
                    placed = self.options.access_policy.place_blind,
                    "no full sync with the directory yet and no stored snapshot"
                );
            }
            Some(DirectoryState::Stale) => tracing::warn!(
                age_s,
                placed = self.options.access_policy.place_stale,
                "the directory data is stale; using the last known tenants"
            ),
            Some(DirectoryState::Recovering) => {
                tracing::info!(age_s, "the directory answers again; waiting for a full sync")
            }
            Some(DirectoryState::Fresh) => tracing::info!("the directory is fully synced"),
            None => {}
        }
        let held = self.directory.held_removal().map_or(0, |removals| removals.ids.len());
        if (held > 0) != std::mem::replace(&mut self.held_logged, held > 0) {
            if held > 0 {
                let tenants = self.held_tenants();
                tracing::warn!(
                    entries = held,
                    tenants = tenants.join(" "),
                    "many entries are missing from the directory at once; holding back their removal"
                );
            } else {
                tracing::info!("directory removals are no longer held back");
            }
        }
    }

    /// Returns the names of the tenants whose removal is held back.
    fn held_tenants(&self) -> Vec<String> {
        let known = self.directory.tenants();
        let name = |id: &Id| {
            let entry = known.entry(*id).filter(|entry| matches!(entry.kind, EntryKind::Tenant { .. }))?;
            Some(entry.name.clone())
        };
        self.directory
            .held_removal()
            .into_iter()
            .flat_map(|removals| &removals.ids)
            .filter_map(name)
            .collect()
    }

    /// Returns the snapshot to store and the time of its last full sync, if the directory has
    /// changed since the last call.
    pub fn snapshot_if_changed(&mut self) -> Option<(i64, Vec<u8>)> {
        let edits = Some(self.directory.revision());
        (self.stored_edits != edits).then(|| self.stored_edits = edits)?;
        self.directory.snapshot()
    }

    /// Handles a failure to store the last snapshot, so that the next call returns it again.
    pub fn snapshot_not_stored(&mut self) {
        self.stored_edits = None;
    }

    /// Returns the time of the last full sync.
    pub fn last_full_sync_at(&self) -> Option<i64> {
        self.directory.full_at()
    }

    /// Returns the index and the share of a tenant; `None` if it does not exist.
    pub fn share(&self, id: Id) -> Option<(usize, f64)> {
        let tenant = self.directory.tenants().tenant(id, 0)?;
        Some((tenant.index, tenant.share))
    }

    /// Returns the index and the share of each tenant.
    pub fn shares(&self) -> Vec<(usize, f64)> {
        self.directory.tenants().tenants(0).map(|tenant| (tenant.index, tenant.share)).collect()
    }

    /// Decides whether a login may perform an operation.
    fn authorize(&self, now: i64, login: &str, operation: Operation) -> AuthorizationDecision {
        self.directory.authorize(now, &self.options.access_policy, login, operation)
    }

    /// Checks that a login may see a tenant's tasks and members; the error says why not.
    fn check_visibility(&self, now: i64, login: &str, tenant: Option<Id>) -> Result<(), String> {
        let decision = self.authorize(now, login, Operation::See { tenant });
        let reason = decision.basis.description();
        let denial =
            || format!("found login {login:?}: {reason}; expected a member, an auditor or an operator");
        decision.allowed.then_some(()).ok_or_else(denial)
    }

    /// Returns the reason of a negative decision, and the time in microseconds after which to
    /// retry; `None` for a positive decision.
    fn rejection(&self, now: i64, decision: AuthorizationDecision) -> Option<(RejectReason, i64)> {
        (!decision.allowed).then(|| {
            (RejectReason::NotAllowed(decision.basis.description()), self.directory.retry_after_us(now))
        })
    }

    /// Answers an operator's query about the directory.
    fn answer_query(&self, now: i64, login: &str, what: &str, about: &str) -> Result<Value, String> {
        let known = self.directory.tenants();
        let find = || {
            let not_found =
                || format!("{what}: found {about:?}; expected the name or id of a tenant that is known");
            known.find(about, now).ok_or_else(not_found)
        };
        let row = |tenant: basaltpitch_tenants::Tenant| {
            json!({"tenant": tenant.name, "was": tenant.previous_name, "id": tenant.id.to_string(),
                   "share": tenant.share, "members": tenant.members, "index": tenant.index,
                   "stale_ms": self.stale_ms(now)})
        };
        Ok(match what {
            "tenants" => known.tenants(now).map(row).collect(),
            "tenant" => row(known.tenant(find()?, now).ok_or("gone")?),
            "members" => {
                let id = find()?;
                self.check_visibility(now, login, Some(id)).map_err(|error| format!("{what}: {error}"))?;
                let groups = |login: &str| {
                    known.person(login).map(|person| known.path(person, id)).unwrap_or_default()
                };
                let people = known.member_logins(id);
                people.iter().map(|login| json!({"login": login, "by": groups(login)})).collect()
            }
            "why" => {
                let (person, tenant) = about
                    .split_once(' ')
                    .ok_or_else(|| format!("why: found {about:?}; expected a login, a blank and a tenant"))?;
                let decision = self.authorize(now, person, Operation::Submit { tenant });
                let groups = known
                    .person(person)
                    .zip(known.find(tenant, now))
                    .map(|(person, tenant)| known.path(person, tenant));
                json!({"login": person, "tenant": tenant, "may_submit": decision.allowed,
                       "why": decision.basis.description(), "by": groups.unwrap_or_default(),
                       "stale_ms": self.stale_ms(now)})
            }
            _ => self.state(now),
        })
    }

    /// Returns the age of the directory data in milliseconds, rounded up: 0 if fresh, `None` if
    /// there is no data.
    fn stale_ms(&self, now: i64) -> Option<i64> {
        match self.directory.stale_us(now) {
            -1 => None,
            stale_us => Some((stale_us + 999) / 1000),
        }
    }

    /// Returns each server for operators, with the problems of its last sync.
    fn servers(&self) -> Vec<Value> {
        let row = |(server, problems): (&String, &Vec<String>)| json!({"server": server, "lacks": problems});
        self.options.servers.iter().zip(&self.problems).map(row).collect()
    }

    /// Returns the state of the directory for operators.
    fn state(&self, now: i64) -> Value {
        let known = self.directory.tenants();
        let count = |is_counted: fn(&EntryKind) -> bool| {
            known.entries().filter(|entry| is_counted(&entry.1.kind)).count()
        };
        let state = match self.directory.state(now) {
            DirectoryState::Blind => "blind",
            DirectoryState::Fresh => "fresh",
            DirectoryState::Stale => "stale",
            DirectoryState::Recovering => "recovering",
        };
        let policy = &self.options.access_policy;
        let places_tasks = match self.directory.state(now) {
            DirectoryState::Blind => policy.place_blind,
            DirectoryState::Fresh => true,
            DirectoryState::Stale | DirectoryState::Recovering => policy.place_stale,
        };
        let held = self.directory.held_removal().map(|removals| {
            json!({"entries": removals.ids.len(), "tenants": self.held_tenants(), "sweeps": removals.syncs,
                   "since_ms": (now - removals.since) / 1000})
        });
        json!({
            "state": state, "heard_in_full_ms_ago": self.directory.full_at().map(|at| (now - at) / 1000),
            "places": places_tasks, "sweeps": self.sync_count,
            "sweeps_now": self.running_sync.as_ref().map(|sync| &self.options.servers[sync.server]),
            "next_ms": (self.directory.next_at() - now).max(0) / 1000,
            "servers": self.servers(), "held": held, "server_set_back": self.directory.is_behind(),
            "tenants": count(|kind| matches!(kind, EntryKind::Tenant { .. })),
            "groups": count(|kind| *kind == EntryKind::Group),
            "people": count(|kind| *kind == EntryKind::Person),
        })
    }
}

impl TenantAccess {
    /// Returns the directory; `None` if tenants are listed in the settings.
    pub fn directory_mut(&mut self) -> Option<&mut DirectoryAccess> {
        match self {
            TenantAccess::Directory(access) => Some(access),
            TenantAccess::Listed(_) => None,
        }
    }

    /// Returns the time at which the next sync with the directory may be due; `i64::MAX` without a
    /// directory.
    pub fn next_at(&self) -> i64 {
        match self {
            TenantAccess::Directory(access) => access.next_at(),
            TenantAccess::Listed(_) => i64::MAX,
        }
    }

    /// Decides whether a login may submit a task for a tenant. An empty `tenant` means none.
    ///
    /// # Errors
    /// Tenants are listed in the settings, and this is not one of them.
    pub fn authorize_submit(&self, now: i64, login: &str, tenant: &str) -> Result<AccessDecision, String> {
        match self {
            TenantAccess::Listed(names) => {
                let index = names.iter().position(|name| name == tenant);
                if index.is_none() && !tenant.is_empty() {
                    return Err(format!("tenant: found {tenant:?}; expected one of {}", names.join(", ")));
                }
                Ok(AccessDecision { tenant: index, ..AccessDecision::default() })
            }
            TenantAccess::Directory(access) => {
                let decision = access.authorize(now, login, Operation::Submit { tenant });
                let known = access.directory.tenants();
                let find_index = || known.find(tenant, now).and_then(|id| known.index(id));
                let index = decision.allowed.then(find_index).flatten();
                let stale_us = if decision.stale { access.directory.stale_us(now) } else { 0 };
                Ok(AccessDecision { tenant: index, stale_us, rejection: access.rejection(now, decision) })
            }
        }
    }

    /// Returns the index of the tenant of an attempt in a machine's inventory, by the tenant's name
    /// if tenants are listed in the settings, or by its directory id.
    pub fn tenant_of_attempt(&mut self, name: &str, id: &str) -> Option<usize> {
        match self {
            TenantAccess::Listed(names) => names.iter().position(|known| known == name),
            // By the id only, because another tenant may have this name by now.
            TenantAccess::Directory(access) => Id::parse(id).map(|id| access.directory.index_or_assign(id)),
        }
    }

    /// Returns the name and the directory id of a tenant; the id is empty if tenants are listed in
    /// the settings.
    pub fn tenant_name_and_id(&self, tenant: usize) -> (String, String) {
        match self {
            TenantAccess::Listed(names) => (names[tenant].clone(), String::new()),
            TenantAccess::Directory(access) => {
                let (name, id) = access.directory.tenants().name_and_id(tenant);
                (name.to_owned(), id.to_owned())
            }
        }
    }

    /// Returns the previous name of a recently renamed tenant.
    pub fn previous_name(&self, now: i64, tenant: usize) -> Option<String> {
        match self {
            TenantAccess::Listed(_) => None,
            TenantAccess::Directory(access) => {
                let known = access.directory.tenants();
                known
                    .id_at(tenant)
                    .and_then(|id| known.tenant(id, now))
                    .and_then(|tenant| tenant.previous_name)
            }
        }
    }

    /// Returns whether a login may see the tasks of the tenant with this index, or, with `None`,
    /// tasks without a tenant.
    pub fn can_see(&self, now: i64, login: &str, tenant: Option<usize>) -> bool {
        match self {
            TenantAccess::Listed(_) => true,
            TenantAccess::Directory(access) => {
                let tenant = tenant.and_then(|index| access.directory.tenants().id_at(index));
                access.check_visibility(now, login, tenant).is_ok()
            }
        }
    }

    /// Checks that a login may see the tasks of the tenant with this name; the error says why not.
    pub fn check_visibility(&self, now: i64, login: &str, tenant: &str) -> Result<(), String> {
        let TenantAccess::Directory(access) = self else { return Ok(()) };
        access.check_visibility(now, login, access.directory.tenants().find(tenant, now))
    }

    /// Checks that a login may perform the operator command `command`; the error says why not.
    pub fn check_operator(&self, now: i64, login: &str, command: &str) -> Result<(), String> {
        let TenantAccess::Directory(access) = self else { return Ok(()) };
        match access.authorize(now, login, Operation::Drain) {
            AuthorizationDecision { allowed: true, .. } => Ok(()),
            AuthorizationDecision { basis, stale, .. } => {
                let suffix = if stale && basis != AuthorizationBasis::NothingKnown {
                    " (the directory is not heard now)"
                } else {
                    ""
                };
                Err(format!(
                    "{command}: found login {login:?}: {}{suffix}; expected an operator",
                    basis.description()
                ))
            }
        }
    }

    /// Accepts the held-back removals, or a directory server that was reset to older data, on
    /// behalf of an operator. The error says that there is nothing to accept.
    pub fn accept_held_changes(&mut self) -> Result<(), String> {
        let TenantAccess::Directory(access) = self else {
            return Err("accept: found no directory in the settings; expected one".into());
        };
        if access.directory.accept() {
            Ok(())
        } else {
            Err("accept: found nothing held; expected a held removal or a server that was set back".into())
        }
    }

    /// Answers an operator's query `what` about tenants. The error says why there is no answer.
    pub fn answer_query(&self, now: i64, login: &str, what: &str, about: &str) -> Result<Value, String> {
        match self {
            TenantAccess::Directory(access) => access.answer_query(now, login, what, about),
            TenantAccess::Listed(names) if what == "tenants" => Ok(names
                .iter()
                .enumerate()
                .map(|(index, name)| json!({"tenant": name, "index": index}))
                .collect()),
            TenantAccess::Listed(_) => {
                Err(format!("{what}: found tenants listed in the settings; expected a directory"))
            }
        }
    }
}
