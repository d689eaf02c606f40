//! An outage of the directory for several minutes, with a restart of the planner and changes of the
//! directory in the meantime. Runs on simulated time.
use basaltpitch_tenants::authorization::{AccessPolicy, Operation};
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::{DirectoryState, DEFAULT_SYNC_SCHEDULE};
use basaltpitch_tenants::tenant_directory::TenantDirectory;
use basaltpitch_tenants::{Change, DirectoryUpdate, Entry, EntryKind, Id};

/// One second in microseconds.
const SEC: i64 = 1_000_000;

fn servers(n: usize) -> Vec<String> {
    (0..n).map(|i| format!("server {i}")).collect()
}

fn entry(id: u128, kind: EntryKind, name: &str, members: &[&str], stamp: &str) -> Entry {
    let members = members.iter().map(|m| format!("cn={m}")).collect();
    Entry { id: Id(id), kind, name: name.into(), dn: format!("cn={name}"), members, stamp: stamp.into() }
}

fn entries_before() -> Vec<Entry> {
    let tenant = EntryKind::Tenant { share: 0.5 };
    vec![
        entry(1, EntryKind::Person, "asha", &[], "20261201100000Z"),
        entry(2, EntryKind::Person, "ravi", &[], "20261201100000Z"),
        entry(10, tenant.clone(), "orders", &["asha"], "20261201100000Z"),
        entry(11, tenant, "stores", &["asha", "ravi"], "20261201100000Z"),
    ]
}

/// Tenant 10 is renamed and has a new member, a new person; tenant 11 has another share.
fn entries_after() -> Vec<Entry> {
    vec![
        entry(1, EntryKind::Person, "asha", &[], "20261201100000Z"),
        entry(2, EntryKind::Person, "ravi", &[], "20261201100000Z"),
        entry(3, EntryKind::Person, "meera", &[], "20261201100900Z"),
        entry(10, EntryKind::Tenant { share: 0.5 }, "kitchen", &["asha", "meera"], "20261201100900Z"),
        entry(11, EntryKind::Tenant { share: 0.4 }, "stores", &["asha", "ravi"], "20261201100900Z"),
    ]
}

fn full_sync(entries: Vec<Entry>) -> Option<DirectoryUpdate> {
    Some(DirectoryUpdate::new(entries, true))
}

/// Runs all synchronizations that are due from `from` to `until`, each with the result that `sync`
/// returns. Returns the changes.
fn run(
    known: &mut TenantDirectory,
    from: i64,
    until: i64,
    sync: impl Fn() -> Option<DirectoryUpdate>,
) -> Vec<Change> {
    let (mut now, mut changes) = (from, Vec::new());
    while now < until {
        if known.next(now).is_some() {
            changes.extend(known.sync_ended(now, sync()));
        }
        now = known.next_at().max(now + 1);
    }
    changes
}

#[test]
fn authorizes_on_stale_tenants_through_outage_and_restart_and_reports_each_change_once() {
    let policy = AccessPolicy { place_stale: true, ..AccessPolicy::default() };
    let submit = |known: &TenantDirectory, now, login: &str, tenant: &str| {
        let decision = known.authorize(now, &policy, login, Operation::Submit { tenant });
        (decision.allowed, decision.stale)
    };
    let mut known =
        TenantDirectory::new(1, 0, &servers(2), None, DEFAULT_SYNC_SCHEDULE, DEFAULT_CHANGE_GUARD).unwrap();
    assert_eq!(
        (known.state_change(0), submit(&known, 0, "asha", "orders")),
        (Some(DirectoryState::Blind), (false, true))
    );
    assert_eq!(run(&mut known, 0, 60 * SEC, || full_sync(entries_before())).len(), 2, "two tenants added");
    assert_eq!(
        (known.state_change(60 * SEC), known.state_change(60 * SEC)),
        (Some(DirectoryState::Fresh), None),
        "reported once"
    );
    assert_eq!(submit(&known, 60 * SEC, "asha", "orders"), (true, false));
    let (index, remembered) = (known.tenants().index(Id(11)), known.snapshot().unwrap());

    // The directory is unavailable for ten minutes: its tenants stay known, and decisions are
    // marked as stale.
    assert_eq!(run(&mut known, 60 * SEC, 300 * SEC, || None), []);
    assert_eq!(known.state_change(300 * SEC), Some(DirectoryState::Stale));
    assert_eq!(submit(&known, 300 * SEC, "asha", "orders"), (true, true));

    // The planner restarts during the outage: the snapshot restores the tenants and their indices.
    let mut known = TenantDirectory::new(
        2,
        301 * SEC,
        &servers(2),
        Some((remembered.0, &remembered.1)),
        DEFAULT_SYNC_SCHEDULE,
        DEFAULT_CHANGE_GUARD,
    )
    .unwrap();
    assert_eq!(
        (known.state_change(301 * SEC), known.tenants().index(Id(11))),
        (Some(DirectoryState::Stale), index)
    );
    assert_eq!(run(&mut known, 301 * SEC, 600 * SEC, || None), []);
    assert_eq!(submit(&known, 600 * SEC, "ravi", "stores"), (true, true));
    assert_eq!(submit(&known, 600 * SEC, "meera", "orders"), (false, true), "added in the outage");

    // The directory sends a part of its entries first, which must not remove the others.
    let part = || Some(DirectoryUpdate::new(entries_after()[..1].to_vec(), false));
    assert_eq!(run(&mut known, 600 * SEC, 640 * SEC, part), []);
    assert_eq!(
        (known.state_change(640 * SEC), known.tenants().tenants(0).count()),
        (Some(DirectoryState::Recovering), 2)
    );
    let changes = run(&mut known, 700 * SEC, 900 * SEC, || full_sync(entries_after()));
    let name = |n: &str| n.to_owned();
    assert_eq!(
        changes,
        [
            Change::Renamed { id: Id(10), from: name("orders"), to: name("kitchen") },
            Change::ShareChanged { id: Id(11), name: name("stores"), from: 0.5, to: 0.4 },
            Change::MemberCountChanged { id: Id(10), name: name("kitchen"), count: 2 },
        ]
    );
    assert_eq!(
        (known.state_change(900 * SEC), submit(&known, 900 * SEC, "meera", "kitchen")),
        (Some(DirectoryState::Fresh), (true, false))
    );
    assert_eq!(known.tenants().index(Id(11)), index);
}

#[test]
fn rejects_snapshot_that_is_not_json_with_the_expected_format() {
    let message = TenantDirectory::new(
        1,
        0,
        &servers(1),
        Some((0, b"a letter")),
        DEFAULT_SYNC_SCHEDULE,
        DEFAULT_CHANGE_GUARD,
    )
    .err()
    .unwrap()
    .to_string();
    assert!(
        message.starts_with("tenant snapshot: found")
            && message.ends_with("expected directory entries of format 2"),
        "{message}"
    );
}
