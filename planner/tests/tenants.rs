//! A planner that learns its tenants, under a made-up clock and with the auditor on: the directory
//! goes away under load and the planner restarts in the midst; a tenant is renamed and another
//! takes its name; rights come and go between askings.
mod net;

use basaltpitch_agent::wire::{self, AnswerKind, Body};
use basaltpitch_planner::tenant_access::{DirectoryAccess, DirectoryOptions};
use basaltpitch_tenants::authorization::AccessPolicy;
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::DEFAULT_SYNC_SCHEDULE;
use basaltpitch_tenants::{Entry, EntryKind, Id, Sweep};
use net::{SimulatedNetwork, BIG, SMALL};
use serde_json::Value;

const S: i64 = 1_000_000;

fn entry(id: u128, what: EntryKind, name: &str, members: &[&str], version: u32) -> Entry {
    let members = members.iter().map(|m| format!("cn={m}")).collect();
    let stamp = format!("2026{version:010}Z");
    Entry { id: Id(id), kind: what, name: name.into(), dn: format!("cn={name}"), members, stamp }
}

fn tenant(id: u128, name: &str, members: &[&str], version: u32) -> Entry {
    entry(id, EntryKind::Tenant { share: 0.5 }, name, members, version)
}

/// Asha is in orders, Ravi in stores; Lena keeps the machines.
fn begin() -> Vec<Entry> {
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

fn ways() -> DirectoryOptions {
    let terms =
        AccessPolicy { operators: vec!["cn=keepers".into()], place_stale: true, ..AccessPolicy::default() };
    DirectoryOptions {
        servers: vec!["one".into(), "two".into()],
        access_policy: terms,
        sync_schedule: DEFAULT_SYNC_SCHEDULE,
        change_guard: DEFAULT_CHANGE_GUARD,
    }
}

struct DirectoryScenario {
    net: SimulatedNetwork,
    /// What the directory says; none: it is away.
    there: Option<Vec<Entry>>,
}

impl DirectoryScenario {
    fn new() -> DirectoryScenario {
        let mut net = SimulatedNetwork::new(4);
        let learnt = DirectoryAccess::new(1, net.now_us, ways(), None).unwrap();
        net.planner.use_directory(net.now_us, learnt);
        let mut scenario = DirectoryScenario { net, there: Some(begin()) };
        scenario.run_seconds(1);
        scenario
    }

    /// Lets seconds pass; sweeps are answered at once.
    fn run_seconds(&mut self, seconds: i64) {
        for _ in 0..seconds {
            self.net.advance(S);
            self.net.run_rounds(5);
            for task in std::mem::take(&mut self.net.directory_syncs) {
                let sweep = self.there.clone().map(|e| Sweep::of(e, true));
                let lacks = if sweep.is_some() { vec![] } else { vec!["no connection".to_owned()] };
                self.net.planner.directory_synced(self.net.now_us, task.number, sweep, lacks);
                self.net.advance(0);
            }
        }
    }

    /// Someone asks for a task for a tenant.
    fn ask(&mut self, login: &str, tenant: &str, key: &str, ask: u64) -> wire::Answer {
        self.net.planner.client_connected(1, login);
        self.net.tenant = tenant.into();
        self.net.received_answers.clear();
        self.net.submit(SMALL, key, ask, 6 * S);
        self.net.run_rounds(20);
        let answer = self.net.received_answers.iter().find(|a| a.key == key && a.ask == ask);
        answer.unwrap_or_else(|| panic!("no answer to {key} {ask}")).clone()
    }

    fn see(&mut self, login: &str, what: &str, about: &str) -> Result<Value, String> {
        self.net.planner.client_connected(1, login);
        let told =
            self.net.operator_request(Body::Query(wire::Query { what: what.into(), about: about.into() }))?;
        Ok(serde_json::from_str(&told).unwrap())
    }

    /// The planner is killed, and its successor begins with what it remembered.
    fn restart_planner(&mut self) {
        let all = self.net.stored_snapshots.iter().rev().find_map(|m| m.1.clone()).unwrap();
        let at = self.net.stored_snapshots.last().unwrap().0;
        self.net.kill_planner();
        self.net.directory_syncs.clear();
        let learnt = DirectoryAccess::new(2, self.net.now_us, ways(), Some((at, &all))).unwrap();
        self.net.planner.use_directory(self.net.now_us, learnt);
        self.net.run_rounds(40);
    }
}

fn placed(a: &wire::Answer) -> bool {
    a.kind == AnswerKind::Placed as i32
}

#[test]
fn the_directory_is_away_under_load_and_the_planner_restarts_in_the_midst() {
    let mut scenario = DirectoryScenario::new();
    let a = scenario.ask("asha", "orders", "a", 1);
    assert!(placed(&a) && a.stale_us == 0);
    scenario.there = None;
    let mut n = 0;
    for minute in 1..=10 {
        if minute == 5 {
            scenario.restart_planner();
        }
        scenario.run_seconds(60);
        n += 1;
        let a = scenario.ask("asha", "orders", &format!("away {n}"), 1);
        assert!(placed(&a), "minute {minute}: {}", a.reason);
        // PACE: stale after two minutes, and the last sweep was up to half a minute before.
        assert_eq!(a.stale_us > 0, minute >= 2, "minute {minute}: {}", a.stale_us);
        assert!(a.stale_us == 0 || (a.stale_us - minute * 60 * S).abs() < 32 * S);
    }
    let a = scenario.ask("meera", "orders", "new", 1);
    assert_eq!((a.not_allowed, a.reason.as_str()), (true, "the directory knows no such person"));
    assert!(a.stale_us > 500 * S && a.retry_after_us >= S, "it says how old that is, and when to ask again");
    assert_eq!(scenario.see("asha", "directory", "").unwrap()["state"], "stale");
    // It comes back, with a new member, and the old one gone.
    let mut now = begin();
    now[3] = tenant(10, "orders", &["meera"], 2);
    now.push(entry(4, EntryKind::Person, "meera", &[], 2));
    scenario.there = Some(now);
    scenario.run_seconds(70);
    assert_eq!(scenario.see("asha", "directory", "").unwrap()["state"], "fresh");
    let a = scenario.ask("meera", "orders", "new", 2);
    assert!(placed(&a) && a.stale_us == 0);
    let a = scenario.ask("asha", "orders", "late", 1);
    assert_eq!((a.not_allowed, a.reason.as_str(), a.stale_us), (true, "not a member of the tenant", 0));
    assert_eq!(scenario.net.finish().0, []);
}

#[test]
fn what_was_answered_is_answered_alike_whatever_became_of_the_right() {
    let mut scenario = DirectoryScenario::new();
    let first = scenario.ask("asha", "orders", "a", 1);
    assert!(placed(&first));
    let mut now = begin();
    now[3] = tenant(10, "orders", &[], 2);
    scenario.there = Some(now);
    scenario.run_seconds(40);
    assert!(!placed(&scenario.ask("asha", "orders", "b", 1)));
    // The repeat of what was answered, and a new asking for what runs.
    assert_eq!(scenario.ask("asha", "orders", "a", 1).machine, first.machine);
    assert_eq!(scenario.ask("asha", "orders", "a", 2).machine, first.machine, "it runs on");
    assert!(scenario.see("ravi", "tasks", "").unwrap().as_array().unwrap().is_empty(), "not his");
    assert_eq!(scenario.see("lena", "tasks", "").unwrap()[0]["tenant"], "orders");
    assert_eq!(scenario.net.finish().0, []);
}

/// Renamed while its tasks run, another created under its old name in the same sweep, and a
/// successor that finds the tasks on machines, where the old name still stands.
#[test]
fn a_renamed_tenant_keeps_its_tasks_over_a_restart_though_another_has_its_name() {
    let mut scenario = DirectoryScenario::new();
    scenario.net.tenant = "orders".into();
    scenario.net.planner.client_connected(1, "asha");
    scenario.net.submit(BIG, "long", 1, 9 * S);
    scenario.net.run_rounds(20);
    assert!(placed(scenario.net.received_answers.last().unwrap()));
    assert_eq!(scenario.net.launches.last().unwrap().tenant_id, Id(10).to_string());
    let mut now = begin();
    now[3] = tenant(10, "kitchen", &["asha"], 2);
    now.push(tenant(12, "orders", &["ravi"], 2));
    scenario.there = Some(now);
    // Before the sweep the old name leads to it; after, it is another's.
    assert!(placed(&scenario.ask("asha", "orders", "before", 1)));
    scenario.run_seconds(32);
    assert!(scenario.ask("asha", "orders", "after", 1).not_allowed);
    assert!(placed(&scenario.ask("asha", "kitchen", "after", 2)));
    assert!(placed(&scenario.ask("asha", &Id(10).to_string(), "by id", 1)));
    let shown = |scenario: &mut DirectoryScenario, login: &str| {
        let rows = scenario.see(login, "tasks", "").unwrap();
        let long = rows.as_array().unwrap().iter().find(|r| r["key"] == "long").cloned();
        long.map(|r| (r["tenant"].clone(), r["tenant_was"].clone()))
    };
    let both = Some(("kitchen".into(), "orders".into()));
    assert_eq!((shown(&mut scenario, "asha"), shown(&mut scenario, "ravi")), (both.clone(), None));
    scenario.restart_planner();
    assert_eq!((shown(&mut scenario, "asha"), shown(&mut scenario, "ravi")), (both, None));
    assert_eq!(scenario.net.finish().0, []);
}

#[test]
fn what_operators_do_is_for_operators() {
    let mut scenario = DirectoryScenario::new();
    for login in ["asha", "", "nobody"] {
        let said = scenario.see(login, "members", "stores").unwrap_err();
        assert!(said.contains("expected a member, an auditor or an operator"), "{said}");
        scenario.net.planner.client_connected(1, login);
        let drain = Body::Drain(wire::Drain { machine: "m0".into(), on: true, ..wire::Drain::default() });
        assert!(scenario.net.operator_request(drain).unwrap_err().ends_with("expected an operator"));
        let accept = Body::Accept(wire::Accept {});
        assert!(scenario.net.operator_request(accept).unwrap_err().ends_with("expected an operator"));
    }
    assert_eq!(scenario.see("ravi", "members", "stores").unwrap()[0]["login"], "ravi");
    assert_eq!(scenario.see("lena", "why", "asha orders").unwrap()["may_submit"], true);
    assert_eq!(
        scenario.see("lena", "tenant", "no such").unwrap_err(),
        "tenant: found \"no such\"; expected the name or id of a tenant that is known"
    );
    // A sudden lack of both tenants and most people is held until she says so.
    scenario.there = Some(begin().into_iter().filter(|e| e.id.0 == 3 || e.id.0 == 20).collect());
    scenario.there.as_mut().unwrap().push(entry(30, EntryKind::Group, "dc", &[], 9));
    scenario.run_seconds(32);
    let accept = || Body::Accept(wire::Accept {});
    scenario.net.planner.client_connected(1, "lena");
    // Two tenants may go at once; two people too.
    assert!(scenario.net.operator_request(accept()).unwrap_err().contains("found nothing held"));
    assert_eq!(scenario.see("lena", "tenants", "").unwrap().as_array().unwrap().len(), 0);
    assert_eq!(scenario.net.finish().0, []);
}

#[test]
fn a_sudden_lack_is_held_and_an_operators_word_ends_it() {
    let mut scenario = DirectoryScenario::new();
    let mut many = begin();
    many.extend((0..10).map(|n| tenant(100 + n, &format!("t{n}"), &["asha"], 2)));
    scenario.there = Some(many);
    scenario.run_seconds(40);
    assert!(placed(&scenario.ask("asha", "t3", "held", 1)));
    let mut few = begin();
    few.push(entry(30, EntryKind::Group, "dc", &[], 9));
    scenario.there = Some(few);
    scenario.run_seconds(40);
    assert!(placed(&scenario.ask("asha", "t3", "still", 1)), "not believed yet");
    let state = scenario.see("lena", "directory", "").unwrap();
    assert_eq!((state["held"]["entries"].as_u64(), state["state"].as_str()), (Some(10), Some("fresh")));
    scenario.net.planner.client_connected(1, "lena");
    scenario.net.operator_request(Body::Accept(wire::Accept {})).unwrap();
    scenario.run_seconds(40);
    assert_eq!(scenario.ask("asha", "t3", "gone", 1).reason, "the directory knows no such tenant");
    assert_eq!(scenario.net.finish().0, []);
}
