//! A planner that reads its tenants from a directory, on a simulated network with the invariant
//! checker. The directory becomes unreachable under load while the planner restarts; a tenant is
//! renamed and another takes its name; permissions change between requests.
mod net;

use basaltpitch_agent::wire::{self, AnswerKind, Body};
use basaltpitch_planner::tenant_access::{DirectoryAccess, DirectoryOptions};
use basaltpitch_tenants::authorization::AccessPolicy;
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::DEFAULT_SYNC_SCHEDULE;
use basaltpitch_tenants::{DirectoryUpdate, Entry, EntryKind, Id};
use net::{SimulatedNetwork, BIG, SMALL};
use serde_json::Value;

/// Microseconds in a second.
const SECOND_US: i64 = 1_000_000;

/// Returns a directory entry.
fn entry(id: u128, kind: EntryKind, name: &str, members: &[&str], version: u32) -> Entry {
    let members = members.iter().map(|m| format!("cn={m}")).collect();
    let stamp = format!("2026{version:010}Z");
    Entry { id: Id(id), kind, name: name.into(), dn: format!("cn={name}"), members, stamp }
}

/// Returns a tenant with a share of one half.
fn tenant(id: u128, name: &str, members: &[&str], version: u32) -> Entry {
    entry(id, EntryKind::Tenant { share: 0.5 }, name, members, version)
}

/// Returns the initial entries: asha is a member of the tenant orders, ravi of stores, and lena is
/// an operator.
fn initial_entries() -> Vec<Entry> {
    let person = |id, name| entry(id, EntryKind::Person, name, &[], 1);
    vec![
        person(1, "asha"),
        person(2, "ravi"),
        person(3, "lena"),
        tenant(10, "orders", &["asha"], 1),
        tenant(11, "stores", &["ravi"], 1),
        entry(20, EntryKind::Group, "keepers", &["lena"], 1),
    ]
}

/// Returns the options of the directory access.
fn directory_options() -> DirectoryOptions {
    let access_policy =
        AccessPolicy { operators: vec!["cn=keepers".into()], place_stale: true, ..AccessPolicy::default() };
    DirectoryOptions {
        servers: vec!["one".into(), "two".into()],
        access_policy,
        sync_schedule: DEFAULT_SYNC_SCHEDULE,
        change_guard: DEFAULT_CHANGE_GUARD,
    }
}

/// A simulated network with a simulated directory.
struct DirectoryScenario {
    net: SimulatedNetwork,
    /// The entries of the directory; `None` while it is unreachable.
    entries: Option<Vec<Entry>>,
}

impl DirectoryScenario {
    fn new() -> DirectoryScenario {
        let mut net = SimulatedNetwork::new(4);
        let access = DirectoryAccess::new(1, net.now_us, directory_options(), None).unwrap();
        net.planner.use_directory(net.now_us, access);
        let mut scenario = DirectoryScenario { net, entries: Some(initial_entries()) };
        scenario.run_seconds(1);
        scenario
    }

    /// Advances the time by some seconds. Directory syncs complete at once.
    fn run_seconds(&mut self, seconds: i64) {
        for _ in 0..seconds {
            self.net.advance(SECOND_US);
            self.net.run_rounds(5);
            for task in std::mem::take(&mut self.net.directory_syncs) {
                let sweep = self.entries.clone().map(|e| DirectoryUpdate::new(e, true));
                let problems = if sweep.is_some() { vec![] } else { vec!["no connection".to_owned()] };
                self.net.planner.directory_synced(self.net.now_us, task.number, sweep, problems);
                self.net.advance(0);
            }
        }
    }

    /// Submits a task for a tenant as a person, and returns the answer.
    fn submit(&mut self, login: &str, tenant: &str, key: &str, request_id: u64) -> wire::Answer {
        self.net.planner.client_connected(1, login);
        self.net.tenant = tenant.into();
        self.net.received_answers.clear();
        self.net.submit(SMALL, key, request_id, 6 * SECOND_US);
        self.net.run_rounds(20);
        let answer = self.net.received_answers.iter().find(|a| a.key == key && a.ask == request_id);
        answer.unwrap_or_else(|| panic!("no answer to {key} {request_id}")).clone()
    }

    /// Sends a query as a person, and returns the reply or the error.
    fn query(&mut self, login: &str, what: &str, about: &str) -> Result<Value, String> {
        self.net.planner.client_connected(1, login);
        let reply =
            self.net.operator_request(Body::Query(wire::Query { what: what.into(), about: about.into() }))?;
        Ok(serde_json::from_str(&reply).unwrap())
    }

    /// Kills the planner, and starts its successor with the stored tenant snapshot.
    fn restart_planner(&mut self) {
        let snapshot = self.net.stored_snapshots.iter().rev().find_map(|m| m.1.clone()).unwrap();
        let at_us = self.net.stored_snapshots.last().unwrap().0;
        self.net.kill_planner();
        self.net.directory_syncs.clear();
        let access =
            DirectoryAccess::new(2, self.net.now_us, directory_options(), Some((at_us, &snapshot))).unwrap();
        self.net.planner.use_directory(self.net.now_us, access);
        self.net.run_rounds(40);
    }
}

/// Returns whether the answer is that the task was placed.
fn is_placed(answer: &wire::Answer) -> bool {
    answer.kind == AnswerKind::Placed as i32
}

#[test]
fn serves_stale_tenants_while_directory_is_unreachable_and_planner_restarts() {
    let mut scenario = DirectoryScenario::new();
    let answer = scenario.submit("asha", "orders", "a", 1);
    assert!(is_placed(&answer) && answer.stale_us == 0);
    scenario.entries = None;
    let mut n = 0;
    for minute in 1..=10 {
        if minute == 5 {
            scenario.restart_planner();
        }
        scenario.run_seconds(60);
        n += 1;
        let answer = scenario.submit("asha", "orders", &format!("away {n}"), 1);
        assert!(is_placed(&answer), "minute {minute}: {}", answer.reason);
        // By the default schedule, tenants are stale after two minutes, and the last sync was up to
        // half a minute earlier.
        assert_eq!(answer.stale_us > 0, minute >= 2, "minute {minute}: {}", answer.stale_us);
        assert!(answer.stale_us == 0 || (answer.stale_us - minute * 60 * SECOND_US).abs() < 32 * SECOND_US);
    }
    let answer = scenario.submit("meera", "orders", "new", 1);
    assert_eq!((answer.not_allowed, answer.reason.as_str()), (true, "the directory knows no such person"));
    assert!(
        answer.stale_us > 500 * SECOND_US && answer.retry_after_us >= SECOND_US,
        "the answer states the age of the tenants and when to retry"
    );
    assert_eq!(scenario.query("asha", "directory", "").unwrap()["state"], "stale");
    // The directory is reachable again, with a new member in the tenant and without the old one.
    let mut changed = initial_entries();
    changed[3] = tenant(10, "orders", &["meera"], 2);
    changed.push(entry(4, EntryKind::Person, "meera", &[], 2));
    scenario.entries = Some(changed);
    scenario.run_seconds(70);
    assert_eq!(scenario.query("asha", "directory", "").unwrap()["state"], "fresh");
    let answer = scenario.submit("meera", "orders", "new", 2);
    assert!(is_placed(&answer) && answer.stale_us == 0);
    let answer = scenario.submit("asha", "orders", "late", 1);
    assert_eq!(
        (answer.not_allowed, answer.reason.as_str(), answer.stale_us),
        (true, "not a member of the tenant", 0)
    );
    assert_eq!(scenario.net.finish().0, []);
}

#[test]
fn repeated_request_keeps_answer_after_permission_is_revoked() {
    let mut scenario = DirectoryScenario::new();
    let first = scenario.submit("asha", "orders", "a", 1);
    assert!(is_placed(&first));
    let mut changed = initial_entries();
    changed[3] = tenant(10, "orders", &[], 2);
    scenario.entries = Some(changed);
    scenario.run_seconds(40);
    assert!(!is_placed(&scenario.submit("asha", "orders", "b", 1)));
    // A repeated request and a new request for a running task still get its placement.
    assert_eq!(scenario.submit("asha", "orders", "a", 1).machine, first.machine);
    assert_eq!(scenario.submit("asha", "orders", "a", 2).machine, first.machine, "the task keeps running");
    assert!(
        scenario.query("ravi", "tasks", "").unwrap().as_array().unwrap().is_empty(),
        "the tasks of another tenant are hidden"
    );
    assert_eq!(scenario.query("lena", "tasks", "").unwrap()[0]["tenant"], "orders");
    assert_eq!(scenario.net.finish().0, []);
}

/// A tenant is renamed while its tasks run, and the same sync brings another tenant with the old
/// name. Machines still report the old name, so a planner that restarts could give the tasks to the
/// wrong tenant.
#[test]
fn renamed_tenant_keeps_tasks_over_restart_when_another_takes_its_name() {
    let mut scenario = DirectoryScenario::new();
    scenario.net.tenant = "orders".into();
    scenario.net.planner.client_connected(1, "asha");
    scenario.net.submit(BIG, "long", 1, 9 * SECOND_US);
    scenario.net.run_rounds(20);
    assert!(is_placed(scenario.net.received_answers.last().unwrap()));
    assert_eq!(scenario.net.launches.last().unwrap().tenant_id, Id(10).to_string());
    let mut changed = initial_entries();
    changed[3] = tenant(10, "kitchen", &["asha"], 2);
    changed.push(tenant(12, "orders", &["ravi"], 2));
    scenario.entries = Some(changed);
    // Until the sync, the old name refers to the renamed tenant; afterwards to the other one.
    assert!(is_placed(&scenario.submit("asha", "orders", "before", 1)));
    scenario.run_seconds(32);
    assert!(scenario.submit("asha", "orders", "after", 1).not_allowed);
    assert!(is_placed(&scenario.submit("asha", "kitchen", "after", 2)));
    assert!(is_placed(&scenario.submit("asha", &Id(10).to_string(), "by id", 1)));
    let shown_tenant = |scenario: &mut DirectoryScenario, login: &str| {
        let rows = scenario.query(login, "tasks", "").unwrap();
        let long = rows.as_array().unwrap().iter().find(|r| r["key"] == "long").cloned();
        long.map(|r| (r["tenant"].clone(), r["tenant_was"].clone()))
    };
    let names = Some(("kitchen".into(), "orders".into()));
    assert_eq!(
        (shown_tenant(&mut scenario, "asha"), shown_tenant(&mut scenario, "ravi")),
        (names.clone(), None)
    );
    scenario.restart_planner();
    assert_eq!((shown_tenant(&mut scenario, "asha"), shown_tenant(&mut scenario, "ravi")), (names, None));
    assert_eq!(scenario.net.finish().0, []);
}

#[test]
fn operator_requests_require_operator() {
    let mut scenario = DirectoryScenario::new();
    for login in ["asha", "", "nobody"] {
        let rejection = scenario.query(login, "members", "stores").unwrap_err();
        assert!(rejection.contains("expected a member, an auditor or an operator"), "{rejection}");
        scenario.net.planner.client_connected(1, login);
        let drain = Body::Drain(wire::Drain { machine: "m0".into(), on: true, ..wire::Drain::default() });
        assert!(scenario.net.operator_request(drain).unwrap_err().ends_with("expected an operator"));
        let accept = Body::Accept(wire::Accept {});
        assert!(scenario.net.operator_request(accept).unwrap_err().ends_with("expected an operator"));
    }
    assert_eq!(scenario.query("ravi", "members", "stores").unwrap()[0]["login"], "ravi");
    assert_eq!(scenario.query("lena", "why", "asha orders").unwrap()["may_submit"], true);
    assert_eq!(
        scenario.query("lena", "tenant", "no such").unwrap_err(),
        "tenant: found \"no such\"; expected the name or id of a tenant that is known"
    );
    // Both tenants and two people disappear from the directory.
    scenario.entries = Some(initial_entries().into_iter().filter(|e| e.id.0 == 3 || e.id.0 == 20).collect());
    scenario.entries.as_mut().unwrap().push(entry(30, EntryKind::Group, "dc", &[], 9));
    scenario.run_seconds(32);
    let accept = || Body::Accept(wire::Accept {});
    scenario.net.planner.client_connected(1, "lena");
    // Changes of this size are applied at once, so there is nothing to accept.
    assert!(scenario.net.operator_request(accept()).unwrap_err().contains("found nothing held"));
    assert_eq!(scenario.query("lena", "tenants", "").unwrap().as_array().unwrap().len(), 0);
    assert_eq!(scenario.net.finish().0, []);
}

#[test]
fn holds_large_removal_until_operator_accepts_it() {
    let mut scenario = DirectoryScenario::new();
    let mut many = initial_entries();
    many.extend((0..10).map(|n| tenant(100 + n, &format!("t{n}"), &["asha"], 2)));
    scenario.entries = Some(many);
    scenario.run_seconds(40);
    assert!(is_placed(&scenario.submit("asha", "t3", "held", 1)));
    let mut few = initial_entries();
    few.push(entry(30, EntryKind::Group, "dc", &[], 9));
    scenario.entries = Some(few);
    scenario.run_seconds(40);
    assert!(is_placed(&scenario.submit("asha", "t3", "still", 1)), "the removal must not be applied yet");
    let state = scenario.query("lena", "directory", "").unwrap();
    assert_eq!((state["held"]["entries"].as_u64(), state["state"].as_str()), (Some(10), Some("fresh")));
    scenario.net.planner.client_connected(1, "lena");
    scenario.net.operator_request(Body::Accept(wire::Accept {})).unwrap();
    scenario.run_seconds(40);
    assert_eq!(scenario.submit("asha", "t3", "gone", 1).reason, "the directory knows no such tenant");
    assert_eq!(scenario.net.finish().0, []);
}
