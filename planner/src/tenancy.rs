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
use basaltpitch_tenants::{Change, EntryKind, Id, Sweep};
use serde_json::{json, Value};

/// How a planner learns from a directory.
#[derive(Clone, Debug)]
pub struct Ways {
    pub servers: Vec<String>,
    pub terms: AccessPolicy,
    pub pace: SyncSchedule,
    pub caution: ChangeGuard,
}

/// A sweep that is to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    pub server: usize,
    pub number: u64,
    /// Read everything, not only what changed.
    pub whole: bool,
    /// From where on the server can say what changed.
    pub cookie: Option<Vec<u8>>,
}

pub enum Tenancy {
    /// Names in the settings, in order. Nobody is asked who he is.
    Listed(Vec<String>),
    Learnt(Box<Learnt>),
}

pub struct Learnt {
    ways: Ways,
    keeper: TenantDirectory,
    /// The sweep that is under way.
    under: Option<Task>,
    sweeps: u64,
    /// Of each server, why its last sweep brought less than all.
    lacks: Vec<Vec<String>>,
    said_held: bool,
    /// How often anything had changed when the last memory was asked for.
    remembered: Option<u64>,
}

/// What came of asking whether a task may be submitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    pub tenant: Option<usize>,
    pub stale_us: i64,
    /// Why not, and after what time it is worth asking again.
    pub refused: Option<(RejectReason, i64)>,
}

impl Learnt {
    /// `remembered`: what an earlier life kept, and when that was heard in full.
    pub fn new(seed: u64, now: i64, ways: Ways, remembered: Option<(i64, &[u8])>) -> Result<Self, String> {
        let lacks = vec![Vec::new(); ways.servers.len()];
        let keeper = TenantDirectory::new(seed, now, &ways.servers, remembered, ways.pace, ways.caution)
            .map_err(|error| error.to_string())?;
        Ok(Learnt { ways, keeper, under: None, sweeps: 0, lacks, said_held: false, remembered: None })
    }

    pub fn next_at(&self) -> i64 {
        self.keeper.next_at()
    }

    /// The sweep to make now, if it is time; one that is under way is given up then.
    pub fn next(&mut self, now: i64) -> Option<Task> {
        let server = self.keeper.next(now)?;
        self.sweeps += 1;
        let (whole, cookie) = (self.keeper.whole(), self.keeper.cookie());
        self.under = Some(Task { server, number: self.sweeps, whole, cookie });
        self.under.clone()
    }

    fn is_under_way(&self, number: u64) -> bool {
        self.under.as_ref().is_some_and(|u| u.number == number)
    }

    pub fn answered(&mut self, number: u64) {
        if self.is_under_way(number) {
            self.keeper.answered();
        }
    }

    /// A sweep ended; `lacks` says why it brought less than all. One that was given up says nothing any more:
    /// none.
    pub fn swept(
        &mut self,
        now: i64,
        number: u64,
        sweep: Option<Sweep>,
        lacks: Vec<String>,
    ) -> Option<Vec<Change>> {
        let task = self.under.take_if(|u| u.number == number)?;
        let server = &self.ways.servers[task.server];
        match (std::mem::replace(&mut self.lacks[task.server], lacks), &self.lacks[task.server]) {
            (before, now) if before == *now => {}
            (_, now) if now.is_empty() => tracing::info!(server, "a server of the directory gives all again"),
            (_, now) => {
                tracing::warn!(server, why = now.join("; "), "a server of the directory gives less than all")
            }
        }
        Some(self.keeper.swept(now, sweep))
    }

    /// Says each state of the directory once.
    pub fn say(&mut self, now: i64) {
        let age_s = self.keeper.full_at().map(|at| (now - at) / 1_000_000);
        match self.keeper.new_state(now) {
            Some(DirectoryState::Blind) => {
                tracing::warn!(placed = self.ways.terms.place_blind, "nothing is known of the directory yet");
            }
            Some(DirectoryState::Stale) => tracing::warn!(
                age_s,
                placed = self.ways.terms.place_stale,
                "the directory is not heard: the last known tenants stand"
            ),
            Some(DirectoryState::Recovering) => {
                tracing::info!(age_s, "the directory answers again; not all of it is heard yet")
            }
            Some(DirectoryState::Fresh) => tracing::info!("the directory is heard in full"),
            None => {}
        }
        let held = self.keeper.held().map_or(0, |h| h.ids.len());
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
        let known = self.keeper.tenants();
        let name = |id: &Id| {
            let e = known.entry(*id).filter(|e| matches!(e.kind, EntryKind::Tenant { .. }))?;
            Some(e.name.clone())
        };
        self.keeper.held().into_iter().flat_map(|h| &h.ids).filter_map(name).collect()
    }

    /// What to remember, if it is not what was remembered last.
    pub fn memory_if_new(&mut self) -> Option<(i64, Vec<u8>)> {
        let edits = Some(self.keeper.edits());
        (self.remembered != edits).then(|| self.remembered = edits)?;
        self.keeper.memory()
    }

    pub fn forgot(&mut self) {
        self.remembered = None;
    }

    pub fn full_at(&self) -> Option<i64> {
        self.keeper.full_at()
    }

    pub fn share(&self, id: Id) -> Option<(usize, f64)> {
        let tenant = self.keeper.tenants().tenant(id, 0)?;
        Some((tenant.index, tenant.share))
    }

    /// All shares, by index.
    pub fn shares(&self) -> Vec<(usize, f64)> {
        self.keeper.tenants().tenants(0).map(|t| (t.index, t.share)).collect()
    }

    fn authorize(&self, now: i64, login: &str, asks: Operation) -> AuthorizationDecision {
        self.keeper.authorize(now, &self.ways.terms, login, asks)
    }

    /// Whether someone may see a tenant's tasks and people; an error says why not.
    fn may_see(&self, now: i64, login: &str, tenant: Option<Id>) -> Result<(), String> {
        let ruling = self.authorize(now, login, Operation::See { tenant });
        let words = ruling.basis.description();
        let no = || format!("found login {login:?}: {words}; expected a member, an auditor or an operator");
        ruling.may.then_some(()).ok_or_else(no)
    }

    fn refusal(&self, now: i64, ruling: AuthorizationDecision) -> Option<(RejectReason, i64)> {
        (!ruling.may)
            .then(|| (RejectReason::NotAllowed(ruling.basis.description()), self.keeper.retry_after_us(now)))
    }

    /// A question that the directory answers.
    fn question(&self, now: i64, login: &str, what: &str, about: &str) -> Result<Value, String> {
        let known = self.keeper.tenants();
        let find = || {
            let none =
                || format!("{what}: found {about:?}; expected the name or id of a tenant that is known");
            known.find(about, now).ok_or_else(none)
        };
        let row = |t: basaltpitch_tenants::Tenant| {
            json!({"tenant": t.name, "was": t.was, "id": t.id.to_string(), "share": t.share,
                   "members": t.members, "index": t.index, "stale_ms": self.stale_ms(now)})
        };
        Ok(match what {
            "tenants" => known.tenants(now).map(row).collect(),
            "tenant" => row(known.tenant(find()?, now).ok_or("gone")?),
            "members" => {
                let id = find()?;
                self.may_see(now, login, Some(id)).map_err(|e| format!("{what}: {e}"))?;
                let way = |login: &str| known.login(login).map(|p| known.why(p, id)).unwrap_or_default();
                let people = known.people(id);
                people.iter().map(|login| json!({"login": login, "by": way(login)})).collect()
            }
            "why" => {
                let (person, tenant) = about
                    .split_once(' ')
                    .ok_or_else(|| format!("why: found {about:?}; expected a login, a blank and a tenant"))?;
                let ruling = self.authorize(now, person, Operation::Submit { tenant });
                let way = known.login(person).zip(known.find(tenant, now)).map(|(p, t)| known.why(p, t));
                json!({"login": person, "tenant": tenant, "may_submit": ruling.may,
                       "why": ruling.basis.description(), "by": way.unwrap_or_default(),
                       "stale_ms": self.stale_ms(now)})
            }
            _ => self.state(now),
        })
    }

    /// Age in milliseconds; 0: fresh, null: nothing is known.
    fn stale_ms(&self, now: i64) -> Option<i64> {
        match self.keeper.stale_us(now) {
            -1 => None,
            us => Some((us + 999) / 1000),
        }
    }

    /// Each server, and what its last sweep lacked.
    fn servers(&self) -> Vec<Value> {
        let row = |(s, lacks): (&String, &Vec<String>)| json!({"server": s, "lacks": lacks});
        self.ways.servers.iter().zip(&self.lacks).map(row).collect()
    }

    fn state(&self, now: i64) -> Value {
        let known = self.keeper.tenants();
        let count = |is: fn(&EntryKind) -> bool| known.ids().filter(|x| is(&x.1.kind)).count();
        let state = match self.keeper.state(now) {
            DirectoryState::Blind => "blind",
            DirectoryState::Fresh => "fresh",
            DirectoryState::Stale => "stale",
            DirectoryState::Recovering => "recovering",
        };
        let terms = &self.ways.terms;
        let places = match self.keeper.state(now) {
            DirectoryState::Blind => terms.place_blind,
            DirectoryState::Fresh => true,
            DirectoryState::Stale | DirectoryState::Recovering => terms.place_stale,
        };
        let held = self.keeper.held().map(|h| {
            json!({"entries": h.ids.len(), "tenants": self.held_tenants(), "sweeps": h.sweeps,
                   "since_ms": (now - h.since) / 1000})
        });
        json!({
            "state": state, "heard_in_full_ms_ago": self.keeper.full_at().map(|at| (now - at) / 1000),
            "places": places, "sweeps": self.sweeps,
            "sweeps_now": self.under.as_ref().map(|u| &self.ways.servers[u.server]),
            "next_ms": (self.keeper.next_at() - now).max(0) / 1000,
            "servers": self.servers(), "held": held, "server_set_back": self.keeper.is_behind(),
            "tenants": count(|w| matches!(w, EntryKind::Tenant { .. })),
            "groups": count(|w| *w == EntryKind::Group), "people": count(|w| *w == EntryKind::Person),
        })
    }
}

impl Tenancy {
    pub fn learnt(&mut self) -> Option<&mut Learnt> {
        match self {
            Tenancy::Learnt(l) => Some(l),
            Tenancy::Listed(_) => None,
        }
    }

    pub fn next_at(&self) -> i64 {
        match self {
            Tenancy::Learnt(l) => l.next_at(),
            Tenancy::Listed(_) => i64::MAX,
        }
    }

    /// Whether someone may submit for a tenant. An error: the settings know no such tenant.
    pub fn asked(&self, now: i64, login: &str, tenant: &str) -> Result<Asked, String> {
        match self {
            Tenancy::Listed(names) => {
                let place = names.iter().position(|n| n == tenant);
                if place.is_none() && !tenant.is_empty() {
                    return Err(format!("tenant: found {tenant:?}; expected one of {}", names.join(", ")));
                }
                Ok(Asked { tenant: place, ..Asked::default() })
            }
            Tenancy::Learnt(l) => {
                let ruling = l.authorize(now, login, Operation::Submit { tenant });
                let known = l.keeper.tenants();
                let found = || known.find(tenant, now).and_then(|id| known.index(id));
                let place = ruling.may.then(found).flatten();
                let stale_us = if ruling.stale { l.keeper.stale_us(now) } else { 0 };
                Ok(Asked { tenant: place, stale_us, refused: l.refusal(now, ruling) })
            }
        }
    }

    /// The tenant of a launch that a machine holds.
    pub fn of_launch(&mut self, name: &str, id: &str) -> Option<usize> {
        match self {
            Tenancy::Listed(names) => names.iter().position(|n| n == name),
            // By its id alone: its name may be another's by now.
            Tenancy::Learnt(l) => Id::read(id).map(|id| l.keeper.place(id)),
        }
    }

    /// Name and id of a tenant; the id is empty where tenants are listed.
    pub fn called(&self, tenant: usize) -> (String, String) {
        match self {
            Tenancy::Listed(names) => (names[tenant].clone(), String::new()),
            Tenancy::Learnt(l) => {
                let (name, id) = l.keeper.tenants().called(tenant);
                (name.to_owned(), id.to_owned())
            }
        }
    }

    /// The name of before, for a while after a renaming.
    pub fn was(&self, now: i64, tenant: usize) -> Option<String> {
        match self {
            Tenancy::Listed(_) => None,
            Tenancy::Learnt(l) => {
                let known = l.keeper.tenants();
                known.at(tenant).and_then(|id| known.tenant(id, now)).and_then(|t| t.was)
            }
        }
    }

    /// Whether someone may see a tenant's tasks.
    pub fn sees(&self, now: i64, login: &str, tenant: Option<usize>) -> bool {
        match self {
            Tenancy::Listed(_) => true,
            Tenancy::Learnt(l) => {
                let tenant = tenant.and_then(|t| l.keeper.tenants().at(t));
                l.may_see(now, login, tenant).is_ok()
            }
        }
    }

    /// The same by a tenant's name; an error says why not.
    pub fn may_see(&self, now: i64, login: &str, tenant: &str) -> Result<(), String> {
        let Tenancy::Learnt(l) = self else { return Ok(()) };
        l.may_see(now, login, l.keeper.tenants().find(tenant, now))
    }

    /// An operator's act: an error says why someone may not.
    pub fn operates(&self, now: i64, login: &str, what: &str) -> Result<(), String> {
        let Tenancy::Learnt(l) = self else { return Ok(()) };
        match l.authorize(now, login, Operation::Drain) {
            AuthorizationDecision { may: true, .. } => Ok(()),
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
        let Tenancy::Learnt(l) = self else {
            return Err("accept: found no directory in the settings; expected one".into());
        };
        if l.keeper.accept() {
            Ok(())
        } else {
            Err("accept: found nothing held; expected a held removal or a server that was set back".into())
        }
    }

    pub fn question(&self, now: i64, login: &str, what: &str, about: &str) -> Result<Value, String> {
        match self {
            Tenancy::Learnt(l) => l.question(now, login, what, about),
            Tenancy::Listed(names) if what == "tenants" => {
                Ok(names.iter().enumerate().map(|(i, n)| json!({"tenant": n, "index": i})).collect())
            }
            Tenancy::Listed(_) => {
                Err(format!("{what}: found tenants listed in the settings; expected a directory"))
            }
        }
    }
}
