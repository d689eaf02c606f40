//! What a planner knows of tenants: a list in its settings, or what it learns from a directory. No I/O: it
//! says when which server is to be swept and what is to be remembered, and finds for each asking whether it
//! may go on and on what that rests. What is believed, how fresh it is and who may do what is decided in the
//! package `tenants`.
use basaltpitch_ledger::RejectReason;
use basaltpitch_tenants::authorization::{
    AccessPolicy, AuthorizationBasis, AuthorizationDecision, Operation,
};
use basaltpitch_tenants::change_guard::ChangeGuard;
use basaltpitch_tenants::sync_schedule::{DirectoryState, SyncSchedule};
use basaltpitch_tenants::tenant_directory::TenantDirectory;
use basaltpitch_tenants::{Change, DirectoryUpdate, EntryKind, Id};
use serde_json::{json, Value};

/// How a planner learns from a directory.
#[derive(Clone, Debug)]
pub struct DirectoryOptions {
    /// Addresses of its servers, in the order in which they are tried.
    pub servers: Vec<String>,
    /// Who may do what, and whether tasks are placed while the directory is away.
    pub terms: AccessPolicy,
    /// How often it is swept, and when what is known is stale.
    pub pace: SyncSchedule,
    /// Which removals are held, and what confirms them.
    pub caution: ChangeGuard,
}

/// A sweep that is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SweepTask {
    /// The index of the server.
    pub server: usize,
    /// Counts the sweeps of this planner.
    pub number: u64,
    /// Read everything, not only what changed.
    pub whole: bool,
    /// From where on the server can say what changed.
    pub cookie: Option<Vec<u8>>,
}

/// What a planner knows of tenants, and who may act for them.
pub enum TenantAccess {
    /// Names in the settings, in order. Nobody is asked who he is.
    Listed(Vec<String>),
    Directory(Box<DirectoryAccess>),
}

/// Tenants as the servers of a directory describe them.
pub struct DirectoryAccess {
    options: DirectoryOptions,
    directory: TenantDirectory,
    /// The sweep that is under way.
    under: Option<SweepTask>,
    sweeps: u64,
    /// Of each server, why its last sweep brought less than all.
    lacks: Vec<Vec<String>>,
    said_held: bool,
    /// How often anything had changed when the last memory was asked for.
    remembered: Option<u64>,
}

/// What came of asking whether a task may be submitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccessDecision {
    /// The index of the tenant, if it may be submitted for.
    pub tenant: Option<usize>,
    /// How old the knowledge is that this rests on; 0: fresh, -1: nothing is known.
    pub stale_us: i64,
    /// Why not, and after what time it is worth asking again.
    pub refused: Option<(RejectReason, i64)>,
}

impl DirectoryAccess {
    /// `remembered`: what an earlier life kept, and when that was heard in full.
    pub fn new(
        seed: u64,
        now: i64,
        options: DirectoryOptions,
        remembered: Option<(i64, &[u8])>,
    ) -> Result<Self, String> {
        let lacks = vec![Vec::new(); options.servers.len()];
        let directory =
            TenantDirectory::new(seed, now, &options.servers, remembered, options.pace, options.caution)
                .map_err(|error| error.to_string())?;
        Ok(DirectoryAccess {
            options,
            directory,
            under: None,
            sweeps: 0,
            lacks,
            said_held: false,
            remembered: None,
        })
    }

    /// When `next` has something to do, if nothing else happens.
    pub fn next_at(&self) -> i64 {
        self.directory.next_at()
    }

    /// The sweep to make now, if it is time; one that is under way is given up then.
    pub fn next(&mut self, now: i64) -> Option<SweepTask> {
        let server = self.directory.next(now)?;
        self.sweeps += 1;
        let (whole, cookie) = (self.directory.needs_full_sync(), self.directory.cookie());
        self.under = Some(SweepTask { server, number: self.sweeps, whole, cookie });
        self.under.clone()
    }

    fn is_under_way(&self, number: u64) -> bool {
        self.under.as_ref().is_some_and(|u| u.number == number)
    }

    /// A first page of a sweep came.
    pub fn answered(&mut self, number: u64) {
        if self.is_under_way(number) {
            self.directory.first_page_received();
        }
    }

    /// A sweep ended; `lacks` says why it brought less than all. One that was given up says nothing any more:
    /// none.
    pub fn swept(
        &mut self,
        now: i64,
        number: u64,
        sweep: Option<DirectoryUpdate>,
        lacks: Vec<String>,
    ) -> Option<Vec<Change>> {
        let task = self.under.take_if(|u| u.number == number)?;
        let server = &self.options.servers[task.server];
        match (std::mem::replace(&mut self.lacks[task.server], lacks), &self.lacks[task.server]) {
            (before, now) if before == *now => {}
            (_, now) if now.is_empty() => tracing::info!(server, "a server of the directory gives all again"),
            (_, now) => {
                tracing::warn!(server, why = now.join("; "), "a server of the directory gives less than all")
            }
        }
        Some(self.directory.sync_ended(now, sweep))
    }

    /// Says each state of the directory once.
    pub fn say(&mut self, now: i64) {
        let age_s = self.directory.full_at().map(|at| (now - at) / 1_000_000);
        match self.directory.state_change(now) {
            Some(DirectoryState::Blind) => {
                tracing::warn!(
                    placed = self.options.terms.place_blind,
                    "nothing is known of the directory yet"
                );
            }
            Some(DirectoryState::Stale) => tracing::warn!(
                age_s,
                placed = self.options.terms.place_stale,
                "the directory is not heard: the last known tenants stand"
            ),
            Some(DirectoryState::Recovering) => {
                tracing::info!(age_s, "the directory answers again; not all of it is heard yet")
            }
            Some(DirectoryState::Fresh) => tracing::info!("the directory is heard in full"),
            None => {}
        }
        let held = self.directory.held_removal().map_or(0, |h| h.ids.len());
        if (held > 0) != std::mem::replace(&mut self.said_held, held > 0) {
            if held > 0 {
                let tenants = self.held_tenants();
                tracing::warn!(
                    entries = held,
                    tenants = tenants.join(" "),
                    "the directory lacks much at once: held, not believed"
                );
            } else {
                tracing::info!("no removal is held any more");
            }
        }
    }

    fn held_tenants(&self) -> Vec<String> {
        let known = self.directory.tenants();
        let name = |id: &Id| {
            let e = known.entry(*id).filter(|e| matches!(e.kind, EntryKind::Tenant { .. }))?;
            Some(e.name.clone())
        };
        self.directory.held_removal().into_iter().flat_map(|h| &h.ids).filter_map(name).collect()
    }

    /// What to remember, if it is not what was remembered last.
    pub fn memory_if_new(&mut self) -> Option<(i64, Vec<u8>)> {
        let edits = Some(self.directory.revision());
        (self.remembered != edits).then(|| self.remembered = edits)?;
        self.directory.snapshot()
    }

    /// The last snapshot was not stored: it is to be given again.
    pub fn forgot(&mut self) {
        self.remembered = None;
    }

    /// When all was last heard.
    pub fn full_at(&self) -> Option<i64> {
        self.directory.full_at()
    }

    /// Index and share of a tenant that is there.
    pub fn share(&self, id: Id) -> Option<(usize, f64)> {
        let tenant = self.directory.tenants().tenant(id, 0)?;
        Some((tenant.index, tenant.share))
    }

    /// All shares, by index.
    pub fn shares(&self) -> Vec<(usize, f64)> {
        self.directory.tenants().tenants(0).map(|t| (t.index, t.share)).collect()
    }

    fn authorize(&self, now: i64, login: &str, asks: Operation) -> AuthorizationDecision {
        self.directory.authorize(now, &self.options.terms, login, asks)
    }

    /// Whether someone may see a tenant's tasks and people; an error says why not.
    fn may_see(&self, now: i64, login: &str, tenant: Option<Id>) -> Result<(), String> {
        let decision = self.authorize(now, login, Operation::See { tenant });
        let words = decision.basis.description();
        let no = || format!("found login {login:?}: {words}; expected a member, an auditor or an operator");
        decision.allowed.then_some(()).ok_or_else(no)
    }

    fn refusal(&self, now: i64, decision: AuthorizationDecision) -> Option<(RejectReason, i64)> {
        (!decision.allowed).then(|| {
            (RejectReason::NotAllowed(decision.basis.description()), self.directory.retry_after_us(now))
        })
    }

    /// A question that the directory answers.
    fn question(&self, now: i64, login: &str, what: &str, about: &str) -> Result<Value, String> {
        let known = self.directory.tenants();
        let find = || {
            let none =
                || format!("{what}: found {about:?}; expected the name or id of a tenant that is known");
            known.find(about, now).ok_or_else(none)
        };
        let row = |t: basaltpitch_tenants::Tenant| {
            json!({"tenant": t.name, "was": t.previous_name, "id": t.id.to_string(), "share": t.share,
                   "members": t.members, "index": t.index, "stale_ms": self.stale_ms(now)})
        };
        Ok(match what {
            "tenants" => known.tenants(now).map(row).collect(),
            "tenant" => row(known.tenant(find()?, now).ok_or("gone")?),
            "members" => {
                let id = find()?;
                self.may_see(now, login, Some(id)).map_err(|e| format!("{what}: {e}"))?;
                let way = |login: &str| known.person(login).map(|p| known.path(p, id)).unwrap_or_default();
                let people = known.member_logins(id);
                people.iter().map(|login| json!({"login": login, "by": way(login)})).collect()
            }
            "why" => {
                let (person, tenant) = about
                    .split_once(' ')
                    .ok_or_else(|| format!("why: found {about:?}; expected a login, a blank and a tenant"))?;
                let decision = self.authorize(now, person, Operation::Submit { tenant });
                let way = known.person(person).zip(known.find(tenant, now)).map(|(p, t)| known.path(p, t));
                json!({"login": person, "tenant": tenant, "may_submit": decision.allowed,
                       "why": decision.basis.description(), "by": way.unwrap_or_default(),
                       "stale_ms": self.stale_ms(now)})
            }
            _ => self.state(now),
        })
    }

    /// Age in milliseconds; 0: fresh, null: nothing is known.
    fn stale_ms(&self, now: i64) -> Option<i64> {
        match self.directory.stale_us(now) {
            -1 => None,
            us => Some((us + 999) / 1000),
        }
    }

    /// Each server, and what its last sweep lacked.
    fn servers(&self) -> Vec<Value> {
        let row = |(s, lacks): (&String, &Vec<String>)| json!({"server": s, "lacks": lacks});
        self.options.servers.iter().zip(&self.lacks).map(row).collect()
    }

    fn state(&self, now: i64) -> Value {
        let known = self.directory.tenants();
        let count = |is: fn(&EntryKind) -> bool| known.entries().filter(|x| is(&x.1.kind)).count();
        let state = match self.directory.state(now) {
            DirectoryState::Blind => "blind",
            DirectoryState::Fresh => "fresh",
            DirectoryState::Stale => "stale",
            DirectoryState::Recovering => "recovering",
        };
        let terms = &self.options.terms;
        let places = match self.directory.state(now) {
            DirectoryState::Blind => terms.place_blind,
            DirectoryState::Fresh => true,
            DirectoryState::Stale | DirectoryState::Recovering => terms.place_stale,
        };
        let held = self.directory.held_removal().map(|h| {
            json!({"entries": h.ids.len(), "tenants": self.held_tenants(), "sweeps": h.syncs,
                   "since_ms": (now - h.since) / 1000})
        });
        json!({
            "state": state, "heard_in_full_ms_ago": self.directory.full_at().map(|at| (now - at) / 1000),
            "places": places, "sweeps": self.sweeps,
            "sweeps_now": self.under.as_ref().map(|u| &self.options.servers[u.server]),
            "next_ms": (self.directory.next_at() - now).max(0) / 1000,
            "servers": self.servers(), "held": held, "server_set_back": self.directory.is_behind(),
            "tenants": count(|w| matches!(w, EntryKind::Tenant { .. })),
            "groups": count(|w| *w == EntryKind::Group), "people": count(|w| *w == EntryKind::Person),
        })
    }
}

impl TenantAccess {
    pub fn learnt(&mut self) -> Option<&mut DirectoryAccess> {
        match self {
            TenantAccess::Directory(access) => Some(access),
            TenantAccess::Listed(_) => None,
        }
    }

    pub fn next_at(&self) -> i64 {
        match self {
            TenantAccess::Directory(access) => access.next_at(),
            TenantAccess::Listed(_) => i64::MAX,
        }
    }

    /// Whether someone may submit for a tenant. An error: the settings know no such tenant.
    pub fn asked(&self, now: i64, login: &str, tenant: &str) -> Result<AccessDecision, String> {
        match self {
            TenantAccess::Listed(names) => {
                let place = names.iter().position(|n| n == tenant);
                if place.is_none() && !tenant.is_empty() {
                    return Err(format!("tenant: found {tenant:?}; expected one of {}", names.join(", ")));
                }
                Ok(AccessDecision { tenant: place, ..AccessDecision::default() })
            }
            TenantAccess::Directory(access) => {
                let decision = access.authorize(now, login, Operation::Submit { tenant });
                let known = access.directory.tenants();
                let found = || known.find(tenant, now).and_then(|id| known.index(id));
                let place = decision.allowed.then(found).flatten();
                let stale_us = if decision.stale { access.directory.stale_us(now) } else { 0 };
                Ok(AccessDecision { tenant: place, stale_us, refused: access.refusal(now, decision) })
            }
        }
    }

    /// The tenant of a launch that a machine holds.
    pub fn of_launch(&mut self, name: &str, id: &str) -> Option<usize> {
        match self {
            TenantAccess::Listed(names) => names.iter().position(|n| n == name),
            // By its id alone: its name may be another's by now.
            TenantAccess::Directory(access) => Id::parse(id).map(|id| access.directory.index_or_assign(id)),
        }
    }

    /// Name and id of a tenant; the id is empty where tenants are listed.
    pub fn called(&self, tenant: usize) -> (String, String) {
        match self {
            TenantAccess::Listed(names) => (names[tenant].clone(), String::new()),
            TenantAccess::Directory(access) => {
                let (name, id) = access.directory.tenants().name_and_id(tenant);
                (name.to_owned(), id.to_owned())
            }
        }
    }

    /// The name of before, for a while after a renaming.
    pub fn was(&self, now: i64, tenant: usize) -> Option<String> {
        match self {
            TenantAccess::Listed(_) => None,
            TenantAccess::Directory(access) => {
                let known = access.directory.tenants();
                known.id_at(tenant).and_then(|id| known.tenant(id, now)).and_then(|t| t.previous_name)
            }
        }
    }

    /// Whether someone may see a tenant's tasks.
    pub fn sees(&self, now: i64, login: &str, tenant: Option<usize>) -> bool {
        match self {
            TenantAccess::Listed(_) => true,
            TenantAccess::Directory(access) => {
                let tenant = tenant.and_then(|t| access.directory.tenants().id_at(t));
                access.may_see(now, login, tenant).is_ok()
            }
        }
    }

    /// The same by a tenant's name; an error says why not.
    pub fn may_see(&self, now: i64, login: &str, tenant: &str) -> Result<(), String> {
        let TenantAccess::Directory(access) = self else { return Ok(()) };
        access.may_see(now, login, access.directory.tenants().find(tenant, now))
    }

    /// An operator's act: an error says why someone may not.
    pub fn operates(&self, now: i64, login: &str, what: &str) -> Result<(), String> {
        let TenantAccess::Directory(access) = self else { return Ok(()) };
        match access.authorize(now, login, Operation::Drain) {
            AuthorizationDecision { allowed: true, .. } => Ok(()),
            AuthorizationDecision { basis: why, stale, .. } => {
                let old = if stale && why != AuthorizationBasis::NothingKnown {
                    " (the directory is not heard now)"
                } else {
                    ""
                };
                Err(format!(
                    "{what}: found login {login:?}: {}{old}; expected an operator",
                    why.description()
                ))
            }
        }
    }

    /// An operator's word for what is held.
    pub fn accept(&mut self) -> Result<(), String> {
        let TenantAccess::Directory(access) = self else {
            return Err("accept: found no directory in the settings; expected one".into());
        };
        if access.directory.accept() {
            Ok(())
        } else {
            Err("accept: found nothing held; expected a held removal or a server that was set back".into())
        }
    }

    pub fn question(&self, now: i64, login: &str, what: &str, about: &str) -> Result<Value, String> {
        match self {
            TenantAccess::Directory(access) => access.question(now, login, what, about),
            TenantAccess::Listed(names) if what == "tenants" => {
                Ok(names.iter().enumerate().map(|(i, n)| json!({"tenant": n, "index": i})).collect())
            }
            TenantAccess::Listed(_) => {
                Err(format!("{what}: found tenants listed in the settings; expected a directory"))
            }
        }
    }
}
