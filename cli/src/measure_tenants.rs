//! Measures the cost of syncing tenants from a directory. Planners with and without a directory
//! share one set of simulated machines and are loaded in turn, so that all are measured on the same
//! host within the same minutes. Also measures the time from a change in the directory until a
//! planner knows it, for each way of syncing.
use super::{failed, run_local, spawn_thread, Arrivals, ClientResults, Load, Measure, Planner};
use crate::ask::{query, PlannerConnection};
use crate::Failure;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_testbed::ldap_server::{self, ldap_entry, LdapEntry};
use std::path::{Path, PathBuf};
use std::sync::mpsc as channel;
use std::time::{Duration, Instant};

/// Tenants in the directory.
const TENANTS: usize = 100;
/// Depth of the nested groups below each tenant.
const GROUP_DEPTH: usize = 5;

/// Returns the directory's entries: people who belong to a tenant through nested groups. The name
/// of the last tenant contains `version`.
fn entries(people: usize, version: u32) -> Vec<LdapEntry> {
    let person = |number: usize| format!("uid=p{number},dc=x");
    let mut entries = Vec::new();
    let mut add_entry = |dn: &str, id: usize, stamp: &str, attributes: &[(&str, &[&str])]| {
        let id = format!("{id:032x}");
        let mut all_attributes: Vec<(&str, &[&str])> = attributes.to_vec();
        let (ids, stamps) = ([id.as_str()], [stamp]);
        all_attributes.extend([("entryUUID", &ids[..]), ("modifyTimestamp", &stamps[..])]);
        entries.push(ldap_entry(dn, &all_attributes));
    };
    let old = "20261201000000Z";
    for number in 0..people {
        let login = format!("p{number}");
        add_entry(
            &person(number),
            number + 1,
            old,
            &[("objectClass", &["inetOrgPerson"]), ("uid", &[&login])],
        );
    }
    for tenant in 0..TENANTS {
        for depth in 0..=GROUP_DEPTH {
            let group = |depth: usize| format!("cn=t{tenant}g{depth},dc=x");
            let below: Vec<String> = if depth < GROUP_DEPTH {
                vec![group(depth + 1)]
            } else {
                (tenant..people).step_by(TENANTS).map(person).collect()
            };
            let below: Vec<&str> = below.iter().map(String::as_str).collect();
            let changed = depth == 0 && tenant == TENANTS - 1;
            let name = if changed { format!("t{tenant} v{version}") } else { format!("t{tenant}") };
            let stamp = if changed { format!("202612010{version:05}Z") } else { old.to_owned() };
            let class = if depth == 0 { "basaltpitchTenant" } else { "groupOfNames" };
            let attributes: [(&str, &[&str]); 3] =
                [("objectClass", &[class]), ("cn", &[&name]), ("member", &below)];
            add_entry(&group(depth), 10_000_000 + tenant * 10 + depth, &stamp, &attributes);
        }
    }
    entries
}

/// Runs a directory server, whose address is sent on `ready`. Each number received from `versions`
/// replaces the entries with those of that version; the server stops when the channel closes.
fn run_directory(people: usize, ready: channel::Sender<String>, versions: channel::Receiver<u32>) {
    run_local(async move {
        let server = ldap_server::start("s").await.expect("a free loopback port");
        *server.entries.borrow_mut() = entries(people, 0);
        let _ = ready.send(server.address.clone());
        loop {
            tokio::time::sleep(Duration::from_millis(1)).await;
            match versions.try_recv() {
                Ok(version) => *server.entries.borrow_mut() = entries(people, version),
                Err(channel::TryRecvError::Empty) => {}
                Err(channel::TryRecvError::Disconnected) => return,
            }
        }
    });
}

/// Writes the directory settings of a planner that syncs `every` interval, and returns the file's
/// path.
fn write_settings(folder: &Path, address: &str, every: &str, sync: bool) -> Result<PathBuf, Failure> {
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

/// Sends a query to a planner.
fn run_query(connection: &PlannerConnection, what: &str, about: &str) -> Result<serde_json::Value, Failure> {
    query(connection, Body::Query(wire::Query { what: what.into(), about: about.into() }))
}

/// Waits up to a minute until a planner has synced the whole directory.
fn wait_until_synced(connection: &PlannerConnection) -> Result<(), Failure> {
    for _ in 0..2400 {
        if run_query(connection, "directory", "")?["state"] == "fresh" {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(25));
    }
    Err(failed("the planner did not sync the directory within a minute"))
}

/// Returns the upper median of the values, 0 without any.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

impl Measure {
    /// Submits alternating loads to planners without and with a directory, in rounds, and returns
    /// the ratios of CPU time and latency together with the time until a change is known.
    pub(super) fn tenants(
        &self,
        files: &[PathBuf],
        folder: &Path,
        registry: &str,
        zero: Instant,
        per_s: f64,
    ) -> Result<serde_json::Value, Failure> {
        let people = self.people;
        let (ready, started) = channel::channel();
        let (versions, changes) = channel::channel();
        spawn_thread("directory", move || run_directory(people, ready, changes));
        let address = started.recv().map_err(failed)?;
        let files_with = |every: &str, sync| {
            Ok::<_, Failure>([files, &[write_settings(folder, &address, every, sync)?]].concat())
        };
        let without_directory = Planner::start(files, registry, None)?;
        let synced = Planner::start(&files_with("30s", false)?, registry, None)?;
        let synced_often = Planner::start(&files_with("200ms", false)?, registry, None)?;
        let connection =
            |planner: &Planner| PlannerConnection { planner: planner.address.clone(), login: "p1".into() };
        for planner in [&without_directory, &synced, &synced_often] {
            planner.wait_until_linked(self.machines)?;
        }
        wait_until_synced(&connection(&synced))?;
        wait_until_synced(&connection(&synced_often))?;
        let (mut cpu_ratios, mut cpu_ratios_often, mut p99_ratios) = (Vec::new(), Vec::new(), Vec::new());
        let cpu_us_per_task = |load: &Load| load.cpu_us / load.tasks.max(1) as f64;
        let p99_us = |results: &ClientResults| results.answer_us.value_at_quantile(0.99) as f64;
        for _ in 0..self.rounds {
            let rate = || Arrivals::Open(per_s);
            let (load_without, results_without) = self.load_as(&without_directory, zero, rate(), 2, "", "");
            let (load_synced, results_synced) = self.load_as(&synced, zero, rate(), 2, "p1", "t1");
            let (load_often, _) = self.load_as(&synced_often, zero, rate(), 2, "p1", "t1");
            if load_synced.tasks == 0 || load_often.tasks == 0 {
                return Err(failed("a planner with a directory placed no task; cannot compare its cost"));
            }
            cpu_ratios.push(cpu_us_per_task(&load_synced) / cpu_us_per_task(&load_without));
            cpu_ratios_often.push(cpu_us_per_task(&load_often) / cpu_us_per_task(&load_without));
            p99_ratios.push(p99_us(&results_synced) / p99_us(&results_without));
        }
        drop((without_directory, synced, synced_often));
        let mut learnt_after_ms = serde_json::Map::new();
        let mut version = 0;
        for (name, sync) in [("by_list", false), ("by_synchronisation", true)] {
            let planner = Planner::start(&files_with("200ms", sync)?, registry, None)?;
            wait_until_synced(&connection(&planner))?;
            let mut times_ms = Vec::new();
            for _ in 0..15 {
                version += 1;
                versions.send(version).map_err(failed)?;
                let started_at = Instant::now();
                let new_name = format!("t{} v{version}", TENANTS - 1);
                while run_query(&connection(&planner), "tenant", &new_name).is_err() {
                    if started_at.elapsed() > Duration::from_secs(30) {
                        return Err(failed(
                            "the planner did not learn of a change in the directory within 30 s",
                        ));
                    }
                    std::thread::sleep(Duration::from_millis(2));
                }
                times_ms.push(started_at.elapsed().as_secs_f64() * 1000.0);
            }
            learnt_after_ms.insert(name.into(), median(times_ms).round().into());
        }
        Ok(serde_json::json!({
            "people": people, "rounds": self.rounds,
            "cpu_a_task_with_to_without": median(cpu_ratios),
            "cpu_a_task_with_sweeps_every_200ms_to_without": median(cpu_ratios_often),
            "p99_to_answer_with_to_without": median(p99_ratios),
            "change_to_knowledge_ms_at_every_200ms": learnt_after_ms,
        }))
    }
}
