//! The directory of a fault scenario: simulated LDAP servers that hold tenants, and the faults of
//! these servers. Checks the answers that depend on the directory: no client that was a member
//! throughout may be rejected, and an answer based on stale knowledge must say so.
use crate::ldap_server::{self, ldap_entry, DirectoryFault, LdapEntry, LdapServer};
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::Answer;
use basaltpitch_config::ResolvedValue;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Login of a client that becomes a member while the directory is unavailable.
pub const NEWCOMER: &str = "newcomer";
/// Time from the directory's recovery until every planner must have completed a sync, in
/// microseconds.
const RECOVERY_US: i64 = 2_500_000;
/// Time that a request may take to reach the planner, in microseconds.
const TRAVEL_US: i64 = 500_000;

/// A tenant in the directory.
struct Tenant {
    id: String,
    name: String,
    share: f64,
    /// Number of the change that last touched the entry; 0: the initial state. It becomes the
    /// entry's timestamp.
    changed: u32,
    /// Logins of the members.
    members: Vec<String>,
}

/// The simulated directory of a fault scenario, with the expectations that answers are checked
/// against.
pub struct DirectoryScenario {
    /// The directory's LDAP servers.
    pub servers: Vec<Rc<LdapServer>>,
    tenants: RefCell<Vec<Tenant>>,
    /// Logins of all people in the directory.
    people: RefCell<Vec<String>>,
    /// Changes to tenants so far.
    changes: Cell<u32>,
    /// The name or id under which clients submit tasks for a tenant now, by the tenant's name in
    /// the scenario's file; only tenants for which the two differ.
    current_names: RefCell<HashMap<String, String>>,
    /// Age up to which a planner's knowledge of the directory counts as fresh, in microseconds.
    fresh_us: i64,
    /// Interval between two syncs of a planner, in microseconds.
    every_us: i64,
    /// When all servers became unavailable, in microseconds; 0: they are available.
    unavailable_since: Cell<i64>,
    /// Up to this time, in microseconds, an answer may be based on fresh or on stale knowledge.
    uncertain_until: Cell<i64>,
    /// Answers that were based on stale knowledge.
    pub stale_answers: Cell<u64>,
    /// Answers other than "not allowed" to the client with the login [`NEWCOMER`].
    pub newcomer_answers: Cell<u64>,
    /// Whether the client with the login [`NEWCOMER`] joined the tenants during an outage longer
    /// than planners keep their knowledge fresh.
    joined: Cell<bool>,
    /// Answers that contradict the expectations, described for the report.
    errors: RefCell<Vec<String>>,
}

impl DirectoryScenario {
    /// Starts the servers of a scenario. Returns `None` if the scenario has no directory.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn start(
        scenario: &ResolvedValue,
        clients: u64,
        now: i64,
    ) -> io::Result<Option<Rc<DirectoryScenario>>> {
        let Some(settings) = scenario.get("directory") else { return Ok(None) };
        let people: Vec<String> = (0..clients).map(|n| format!("owner-{n}")).collect();
        let tenant = |(n, tenant): (usize, &ResolvedValue)| Tenant {
            id: format!("{:032x}", n + 1),
            name: tenant.text("name").unwrap_or("").to_owned(),
            share: tenant.number("share").unwrap_or(0.0),
            changed: 0,
            members: people.clone(),
        };
        let tenants = settings.list("tenants").iter().enumerate().map(tenant).collect();
        let mut servers = Vec::new();
        for _ in 0..settings.number("servers").unwrap_or(1.0) as usize {
            servers.push(ldap_server::start("feast").await?);
        }
        let directory = Rc::new(DirectoryScenario {
            servers,
            tenants: RefCell::new(tenants),
            people: RefCell::new(people),
            changes: Cell::new(0),
            current_names: RefCell::default(),
            fresh_us: settings.duration_us("fresh").unwrap_or(0),
            every_us: settings.duration_us("every").unwrap_or(0),
            unavailable_since: Cell::new(0),
            uncertain_until: Cell::new(now + RECOVERY_US),
            stale_answers: Cell::new(0),
            newcomer_answers: Cell::new(0),
            joined: Cell::new(false),
            errors: RefCell::default(),
        });
        directory.publish(0);
        Ok(Some(directory))
    }

    /// Writes the directory's settings for planners to `folder`, along with the file of the bind
    /// password, and returns the path of the settings.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be written.
    pub fn write_settings(&self, scenario: &ResolvedValue, folder: &Path) -> io::Result<PathBuf> {
        let secret = folder.join("directory.secret");
        std::fs::write(&secret, "feast")?;
        let urls: Vec<String> =
            self.servers.iter().map(|server| format!("\"ldap://{}\"", server.address)).collect();
        let sync = scenario.boolean("directory.sync").unwrap_or(false);
        let text = format!(
            "directory: {{\n\tservers: [{}]\n\tclear: true\n\tbind: \"cn=planner,dc=campus\"\n\
             \tpassword_file: {:?}\n\tbase: \"dc=campus\"\n\tevery: {}us\n\tfresh: {}us\n\tsync: {sync}\n\
             \tpatience: 300ms\n\twhole: 1s\n\tfirst_wait: 100ms\n\tmost_wait: 400ms\n\
             \tcaution: {{few: 1, over: 60s}}\n}}\n",
            urls.join(", "),
            secret.display().to_string(),
            self.every_us,
            self.fresh_us,
        );
        let file = folder.join("directory.rec");
        std::fs::write(&file, text)?;
        Ok(file)
    }

    /// Returns the directory's current LDAP entries.
    fn entries(&self) -> Vec<LdapEntry> {
        let stamp = |n: u32| format!("2026{n:010}Z");
        let person = |login: &str| format!("uid={login},dc=campus");
        let mut entries = Vec::new();
        for (n, login) in self.people.borrow().iter().enumerate() {
            let (id, changed) = (format!("{:032x}", 0x1_0000 + n), stamp(0));
            entries.push(ldap_entry(
                &person(login),
                &[
                    ("objectClass", &["inetOrgPerson"]),
                    ("uid", &[login]),
                    ("entryUUID", &[&id]),
                    ("modifyTimestamp", &[&changed]),
                ],
            ));
        }
        for tenant in self.tenants.borrow().iter() {
            let (share, changed) = (tenant.share.to_string(), stamp(tenant.changed));
            let members: Vec<String> = tenant.members.iter().map(|login| person(login)).collect();
            let members: Vec<&str> = members.iter().map(String::as_str).collect();
            entries.push(ldap_entry(
                &format!("cn={},dc=campus", tenant.name),
                &[
                    ("objectClass", &["basaltpitchTenant"]),
                    ("cn", &[&tenant.name]),
                    ("entryUUID", &[&tenant.id]),
                    ("modifyTimestamp", &[&changed]),
                    ("member", &members),
                    ("basaltpitchShare", &[&share]),
                ],
            ));
        }
        entries
    }

    /// Copies the current entries to all servers except the last `lagging` ones.
    fn publish(&self, lagging: usize) {
        let entries = self.entries();
        let updated_count = self.servers.len().saturating_sub(lagging);
        self.servers[..updated_count]
            .iter()
            .for_each(|server| server.entries.borrow_mut().clone_from(&entries));
    }

    /// Applies a change to the tenants; `change` receives the tenants and the number of the change.
    fn change(&self, change: impl FnOnce(&mut Vec<Tenant>, u32)) {
        self.changes.set(self.changes.get() + 1);
        change(&mut self.tenants.borrow_mut(), self.changes.get());
    }

    /// Returns the name or id under which clients submit tasks for a tenant now, given the tenant's
    /// name in the scenario's file.
    pub fn current_name(&self, name: &str) -> String {
        self.current_names.borrow().get(name).cloned().unwrap_or_else(|| name.to_owned())
    }

    /// Injects the same fault into all servers.
    fn set_fault(&self, fault: DirectoryFault) {
        self.servers.iter().for_each(|server| server.fault.set(fault));
    }

    /// Plays a fault of the directory from its start to its end. Does nothing for other kinds of
    /// faults.
    pub async fn play(&self, kind: &str, duration: Duration, clock: Clock) {
        let now = || clock.now();
        match kind {
            "directory_away" => {
                self.unavailable_since.set(now());
                self.set_fault(DirectoryFault::Refuses);
                tokio::time::sleep(duration / 2).await;
                self.set_fault(DirectoryFault::Stalls);
                // The newcomer joins all tenants while planners cannot read the directory.
                self.people.borrow_mut().push(NEWCOMER.into());
                self.change(|tenants, change| {
                    for tenant in tenants.iter_mut() {
                        tenant.members.push(NEWCOMER.into());
                        tenant.changed = change;
                    }
                });
                self.publish(0);
                tokio::time::sleep(duration / 2).await;
                self.set_fault(DirectoryFault::None);
                self.uncertain_until.set(now() + RECOVERY_US);
                self.unavailable_since.set(0);
                self.joined.set(duration.as_micros() as i64 > self.fresh_us + self.every_us + TRAVEL_US);
            }
            "directory_rename" => {
                // The first tenant is renamed, and a new tenant without members takes its name:
                // from now on clients name the first one by its id. The second tenant is renamed
                // too, and clients keep using its old name.
                self.change(|tenants, change| {
                    let old_name = tenants[0].name.clone();
                    self.current_names.borrow_mut().insert(old_name.clone(), tenants[0].id.clone());
                    for tenant in tenants.iter_mut().take(2) {
                        tenant.name = format!("{} hall", tenant.name);
                        tenant.changed = change;
                    }
                    let (id, members) = (format!("{:032x}", 0x1000), Vec::new());
                    tenants.push(Tenant { id, name: old_name, share: 0.0, changed: change, members });
                });
                self.publish(0);
            }
            "directory_lags" => {
                // The first server becomes unavailable, and the last one lacks a change.
                self.uncertain_until.set(i64::MAX);
                self.change(|tenants, change| tenants.iter_mut().for_each(|tenant| tenant.changed = change));
                self.publish(1);
                tokio::time::sleep(Duration::from_micros(self.every_us as u64 * 2)).await;
                self.servers[0].fault.set(DirectoryFault::Refuses);
                tokio::time::sleep(duration).await;
                self.servers[0].fault.set(DirectoryFault::None);
                self.publish(0);
                self.uncertain_until.set(now() + RECOVERY_US);
            }
            "directory_lacks" => {
                let people_only: Vec<LdapEntry> =
                    self.entries().into_iter().filter(|entry| entry.0.starts_with("uid=")).collect();
                self.servers.iter().for_each(|server| server.entries.borrow_mut().clone_from(&people_only));
                tokio::time::sleep(duration).await;
                self.publish(0);
            }
            _ => {}
        }
    }

    /// Returns descriptions of all answers, and of missing answers, that contradict the
    /// expectations.
    pub fn finish(&self) -> Vec<String> {
        let mut errors = self.errors.take();
        if self.joined.get() && self.newcomer_answers.get() == 0 {
            errors.push(
                "no request of the login that joined while the directory was unavailable was allowed later"
                    .into(),
            );
        }
        if self.joined.get() && self.stale_answers.get() == 0 {
            errors.push("the directory was unavailable, but no answer reported stale tenant data".into());
        }
        errors
    }

    /// Checks the answer to a request that was submitted by `login` at the time `submitted_at`, in
    /// microseconds.
    pub fn check_answer(&self, submitted_at: i64, login: &str, answer: &Answer) {
        self.stale_answers.set(self.stale_answers.get() + u64::from(answer.stale_us != 0));
        if login == NEWCOMER {
            self.newcomer_answers.set(self.newcomer_answers.get() + u64::from(!answer.not_allowed));
            return;
        }
        let mut errors = self.errors.borrow_mut();
        let mut error = |what: String| {
            if errors.len() < 20 {
                errors.push(format!("task {}, request {} of {login}: {what}", answer.key, answer.ask));
            }
        };
        if answer.not_allowed {
            error(format!(
                "rejected as not allowed ({}), though the login was a member all the time",
                answer.reason
            ));
        }
        let unavailable_since = self.unavailable_since.get();
        let surely_stale = unavailable_since > 0
            && submitted_at > unavailable_since + self.fresh_us + self.every_us + TRAVEL_US;
        if surely_stale && answer.stale_us == 0 {
            error("based on stale tenant data, but reports it as fresh".into());
        }
        if unavailable_since == 0 && submitted_at > self.uncertain_until.get() && answer.stale_us != 0 {
            error(format!(
                "reports tenant data that is {} us old, though the directory is available and synced",
                answer.stale_us
            ));
        }
    }
}
