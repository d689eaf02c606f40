//! The worst day: the directory is away for minutes before a feast, a planner restarts in the midst, and much
//! changes meanwhile. A made-up clock.
use basaltpitch_tenants::authorization::{AccessPolicy, Operation};
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::{DirectoryState, DEFAULT_SYNC_SCHEDULE};
use basaltpitch_tenants::tenant_directory::TenantDirectory;
use basaltpitch_tenants::{Change, Entry, EntryKind, Id, Sweep};

const S: i64 = 1_000_000;

fn names(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("server {i}")).collect()
}

fn entry(id: u128, what: EntryKind, name: &str, members: &[&str], stamp: &str) -> Entry {
    let members = members.iter().map(|m| format!("cn={m}")).collect();
    Entry {
        id: Id(id),
        kind: what,
        name: name.into(),
        dn: format!("cn={name}"),
        members,
        stamp: stamp.into(),
    }
}

fn before() -> Vec<Entry> {
    let tenant = EntryKind::Tenant { share: 0.5 };
    vec![
        entry(1, EntryKind::Person, "asha", &[], "20261201100000Z"),
        entry(2, EntryKind::Person, "ravi", &[], "20261201100000Z"),
        entry(10, tenant.clone(), "orders", &["asha"], "20261201100000Z"),
        entry(11, tenant, "stores", &["asha", "ravi"], "20261201100000Z"),
    ]
}

/// Renamed, a new member, a new person, another share.
fn after() -> Vec<Entry> {
    vec![
        entry(1, EntryKind::Person, "asha", &[], "20261201100000Z"),
        entry(2, EntryKind::Person, "ravi", &[], "20261201100000Z"),
        entry(3, EntryKind::Person, "meera", &[], "20261201100900Z"),
        entry(10, EntryKind::Tenant { share: 0.5 }, "kitchen", &["asha", "meera"], "20261201100900Z"),
        entry(11, EntryKind::Tenant { share: 0.4 }, "stores", &["asha", "ravi"], "20261201100900Z"),
    ]
}

fn full(entries: Vec<Entry>) -> Option<Sweep> {
    Some(Sweep::of(entries, true))
}

/// Lets time pass with a directory that answers as told; all changes that come of it.
fn pass(k: &mut TenantDirectory, from: i64, until: i64, answer: impl Fn() -> Option<Sweep>) -> Vec<Change> {
    let (mut now, mut changes) = (from, Vec::new());
    while now < until {
        if k.next(now).is_some() {
            changes.extend(k.swept(now, answer()));
        }
        now = k.next_at().max(now + 1);
    }
    changes
}

#[test]
fn placement_goes_on_through_an_outage_and_a_restart_and_all_that_changed_comes_once() {
    let terms = AccessPolicy { place_stale: true, ..AccessPolicy::default() };
    let submit = |k: &TenantDirectory, now, login: &str, tenant: &str| {
        let r = k.authorize(now, &terms, login, Operation::Submit { tenant });
        (r.may, r.stale)
    };
    let mut k =
        TenantDirectory::new(1, 0, &names(2), None, DEFAULT_SYNC_SCHEDULE, DEFAULT_CHANGE_GUARD).unwrap();
    assert_eq!(
        (k.new_state(0), submit(&k, 0, "asha", "orders")),
        (Some(DirectoryState::Blind), (false, true))
    );
    assert_eq!(pass(&mut k, 0, 60 * S, || full(before())).len(), 2, "two tenants came, once");
    assert_eq!((k.new_state(60 * S), k.new_state(60 * S)), (Some(DirectoryState::Fresh), None), "said once");
    assert_eq!(submit(&k, 60 * S, "asha", "orders"), (true, false));
    let (index, remembered) = (k.tenants().index(Id(11)), k.memory().unwrap());

    // Away for ten minutes: nothing is lost, and every answer says that it is old.
    assert_eq!(pass(&mut k, 60 * S, 300 * S, || None), []);
    assert_eq!(k.new_state(300 * S), Some(DirectoryState::Stale));
    assert_eq!(submit(&k, 300 * S, "asha", "orders"), (true, true));

    // Restarted in the midst: it serves on from what it remembers, under the same indices.
    let mut k = TenantDirectory::new(
        2,
        301 * S,
        &names(2),
        Some((remembered.0, &remembered.1)),
        DEFAULT_SYNC_SCHEDULE,
        DEFAULT_CHANGE_GUARD,
    )
    .unwrap();
    assert_eq!((k.new_state(301 * S), k.tenants().index(Id(11))), (Some(DirectoryState::Stale), index));
    assert_eq!(pass(&mut k, 301 * S, 600 * S, || None), []);
    assert_eq!(submit(&k, 600 * S, "ravi", "stores"), (true, true));
    assert_eq!(submit(&k, 600 * S, "meera", "orders"), (false, true), "nobody has heard of her yet");

    // It answers again, at first in part: that is no reason to forget anybody.
    let part = || Some(Sweep::of(after()[..1].to_vec(), false));
    assert_eq!(pass(&mut k, 600 * S, 640 * S, part), []);
    assert_eq!((k.new_state(640 * S), k.tenants().tenants(0).count()), (Some(DirectoryState::Recovering), 2));
    let changes = pass(&mut k, 700 * S, 900 * S, || full(after()));
    let name = |n: &str| n.to_owned();
    assert_eq!(
        changes,
        [
            Change::Renamed { id: Id(10), from: name("orders"), to: name("kitchen") },
            Change::Share { id: Id(11), name: name("stores"), from: 0.5, to: 0.4 },
            Change::Members { id: Id(10), name: name("kitchen"), count: 2 },
        ]
    );
    assert_eq!(
        (k.new_state(900 * S), submit(&k, 900 * S, "meera", "kitchen")),
        (Some(DirectoryState::Fresh), (true, false))
    );
    assert_eq!(k.tenants().index(Id(11)), index);
}

#[test]
fn what_is_no_memory_is_named() {
    let said = TenantDirectory::new(
        1,
        0,
        &names(1),
        Some((0, b"a letter")),
        DEFAULT_SYNC_SCHEDULE,
        DEFAULT_CHANGE_GUARD,
    )
    .err()
    .unwrap()
    .to_string();
    assert!(
        said.starts_with("remembered tenants: found") && said.ends_with("expected entries of format 2"),
        "{said}"
    );
}
