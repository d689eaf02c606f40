//! What learning tenants from a directory costs: two planners on one fleet, one of which learns, are loaded
//! in turn, so that both meet the same machine and the same minute. Then the time from a change in the
//! directory to a planner's knowledge of it, by each way of reading.
use super::{failed, local, on_thread, Arrivals, Load, Measure, Planner, Saw};
use crate::ask::{query, PlannerConnection};
use crate::Failure;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_testbed::ldap_server::{self, ldap_entry, LdapEntry};
use std::path::{Path, PathBuf};
use std::sync::mpsc as channel;
use std::time::{Duration, Instant};

const TENANTS: usize = 100;
/// Groups below each tenant, each in the one before.
const DEEP: usize = 5;

/// People in tenants, each through groups nested `DEEP` deep. `version` renames the last tenant.
fn entries(people: usize, version: u32) -> Vec<LdapEntry> {
    let person = |n: usize| format!("uid=p{n},dc=x");
    let mut all = Vec::new();
    let mut put = |dn: &str, id: usize, stamp: &str, of: &[(&str, &[&str])]| {
        let id = format!("{id:032x}");
        let mut with: Vec<(&str, &[&str])> = of.to_vec();
        let (ids, stamps) = ([id.as_str()], [stamp]);
        with.extend([("entryUUID", &ids[..]), ("modifyTimestamp", &stamps[..])]);
        all.push(ldap_entry(dn, &with));
    };
    let old = "20261201000000Z";
    for n in 0..people {
        let login = format!("p{n}");
        put(&person(n), n + 1, old, &[("objectClass", &["inetOrgPerson"]), ("uid", &[&login])]);
    }
    for t in 0..TENANTS {
        for depth in 0..=DEEP {
            let group = |d: usize| format!("cn=t{t}g{d},dc=x");
            let below: Vec<String> = if depth < DEEP {
                vec![group(depth + 1)]
            } else {
                (t..people).step_by(TENANTS).map(person).collect()
            };
            let below: Vec<&str> = below.iter().map(String::as_str).collect();
            let changed = depth == 0 && t == TENANTS - 1;
            let name = if changed { format!("t{t} v{version}") } else { format!("t{t}") };
            let stamp = if changed { format!("202612010{version:05}Z") } else { old.to_owned() };
            let class = if depth == 0 { "basaltpitchTenant" } else { "groupOfNames" };
            let of: [(&str, &[&str]); 3] = [("objectClass", &[class]), ("cn", &[&name]), ("member", &below)];
            put(&group(depth), 10_000_000 + t * 10 + depth, &stamp, &of);
        }
    }
    all
}

/// A directory on a thread of its own; each number that comes is the version of its entries from then on.
fn there(people: usize, ready: channel::Sender<String>, versions: channel::Receiver<u32>) {
    local(async move {
        let there = ldap_server::start("s").await.expect("a port");
        *there.entries.borrow_mut() = entries(people, 0);
        let _ = ready.send(there.address.clone());
        loop {
            tokio::time::sleep(Duration::from_millis(1)).await;
            match versions.try_recv() {
                Ok(version) => *there.entries.borrow_mut() = entries(people, version),
                Err(channel::TryRecvError::Empty) => {}
                Err(channel::TryRecvError::Disconnected) => return,
            }
        }
    });
}

fn settings(folder: &Path, address: &str, every: &str, sync: bool) -> Result<PathBuf, Failure> {
    let secret = folder.join("secret");
    std::fs::write(&secret, "s").map_err(failed)?;
    let file = folder.join(format!("directory-{every}-{sync}.rec"));
    let text = format!(
        "directory: {{servers: [\"ldap://{address}\"], clear: true, bind: \"cn=p\", base: \"dc=x\", \
         password_file: {:?}, every: {every}, page: 1000, sync: {sync}}}\n",
        secret.display().to_string()
    );
    std::fs::write(&file, text).map_err(failed)?;
    Ok(file)
}

fn ask(at: &PlannerConnection, what: &str, about: &str) -> Result<serde_json::Value, Failure> {
    query(at, Body::Query(wire::Query { what: what.into(), about: about.into() }))
}

/// Waits until a planner has heard all of the directory.
fn heard(at: &PlannerConnection) -> Result<(), Failure> {
    for _ in 0..2400 {
        if ask(at, "directory", "")?["state"] == "fresh" {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    Err(failed("the directory was not heard in a minute"))
}

fn median(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(0.0)
}

impl Measure {
    /// Alternating loads on planners without and with a directory, in rounds.
    pub(super) fn tenants(
        &self,
        files: &[PathBuf],
        folder: &Path,
        register: &str,
        zero: Instant,
        per_s: f64,
    ) -> Result<serde_json::Value, Failure> {
        let people = self.people;
        let (ready, started) = channel::channel();
        let (versions, changes) = channel::channel();
        on_thread("directory", move || there(people, ready, changes));
        let address = started.recv().map_err(failed)?;
        let with = |every: &str, sync| {
            Ok::<_, Failure>([files, &[settings(folder, &address, every, sync)?]].concat())
        };
        let plain = Planner::start(files, register, None)?;
        let learns = Planner::start(&with("30s", false)?, register, None)?;
        let often = Planner::start(&with("200ms", false)?, register, None)?;
        let at = |p: &Planner| PlannerConnection { planner: p.address.clone(), login: "p1".into() };
        for p in [&plain, &learns, &often] {
            p.linked(self.machines)?;
        }
        heard(&at(&learns))?;
        heard(&at(&often))?;
        let (mut cost, mut cost_often, mut p99) = (Vec::new(), Vec::new(), Vec::new());
        let cpu = |l: &Load| l.cpu_us / l.tasks.max(1) as f64;
        let late = |s: &Saw| s.answer_us.value_at_quantile(0.99) as f64;
        for _ in 0..self.rounds {
            let rate = || Arrivals::Open(per_s);
            let (a, saw_a) = self.load_as(&plain, zero, rate(), 2, "", "");
            let (b, saw_b) = self.load_as(&learns, zero, rate(), 2, "p1", "t1");
            let (c, _) = self.load_as(&often, zero, rate(), 2, "p1", "t1");
            if b.tasks == 0 || c.tasks == 0 {
                return Err(failed("a planner that learns placed nothing"));
            }
            cost.push(cpu(&b) / cpu(&a));
            cost_often.push(cpu(&c) / cpu(&a));
            p99.push(late(&saw_b) / late(&saw_a));
        }
        drop((plain, learns, often));
        let mut knows = serde_json::Map::new();
        let mut version = 0;
        for (name, sync) in [("by_list", false), ("by_synchronisation", true)] {
            let planner = Planner::start(&with("200ms", sync)?, register, None)?;
            heard(&at(&planner))?;
            let mut took = Vec::new();
            for _ in 0..15 {
                version += 1;
                versions.send(version).map_err(failed)?;
                let began = Instant::now();
                let new = format!("t{} v{version}", TENANTS - 1);
                while ask(&at(&planner), "tenant", &new).is_err() {
                    if began.elapsed() > Duration::from_secs(30) {
                        return Err(failed("a change was not known in 30 s"));
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
                took.push(began.elapsed().as_secs_f64() * 1000.0);
            }
            knows.insert(name.into(), median(took).round().into());
        }
        Ok(serde_json::json!({
            "people": people, "rounds": self.rounds,
            "cpu_a_task_with_to_without": median(cost),
            "cpu_a_task_with_sweeps_every_200ms_to_without": median(cost_often),
            "p99_to_answer_with_to_without": median(p99),
            "change_to_knowledge_ms_at_every_200ms": knows,
        }))
    }
}
