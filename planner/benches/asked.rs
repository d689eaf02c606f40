//! Measures the check whether a person may submit for a tenant: with tenants listed in the
//! settings, and with a directory in which each person is a member of a tenant through five levels
//! of nested groups. Run with `cargo bench -p basaltpitch-planner`.
use basaltpitch_planner::tenant_access::{DirectoryAccess, DirectoryOptions, TenantAccess};
use basaltpitch_tenants::authorization::AccessPolicy;
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::DEFAULT_SYNC_SCHEDULE;
use basaltpitch_tenants::{DirectoryUpdate, Entry, EntryKind, Id};
use divan::{black_box, Bencher};

const TENANTS: usize = 100;
/// Levels of nested groups between a tenant and its members.
const GROUP_DEPTH: usize = 5;

fn main() {
    divan::main();
}

/// Returns the access data of a directory with this number of people.
fn directory_access(people: usize) -> TenantAccess {
    let entry = |id: usize, kind: EntryKind, name: String, members: Vec<String>| {
        let stamp = "20261201000000Z".to_owned();
        Entry { id: Id(id as u128), kind, dn: format!("cn={name}"), name, members, stamp }
    };
    let mut all: Vec<Entry> =
        (0..people).map(|n| entry(n, EntryKind::Person, format!("p{n}"), vec![])).collect();
    for t in 0..TENANTS {
        for depth in 0..=GROUP_DEPTH {
            let members = if depth < GROUP_DEPTH {
                vec![format!("cn=t{t}g{}", depth + 1)]
            } else {
                (t..people).step_by(TENANTS).map(|n| format!("cn=p{n}")).collect()
            };
            let kind = if depth == 0 { EntryKind::Tenant { share: 0.01 } } else { EntryKind::Group };
            let name = if depth == 0 { format!("t{t}") } else { format!("t{t}g{depth}") };
            all.push(entry(10_000_000 + t * 10 + depth, kind, name, members));
        }
    }
    let access_policy = AccessPolicy { place_stale: true, ..AccessPolicy::default() };
    let options = DirectoryOptions {
        servers: vec!["one".into()],
        access_policy,
        sync_schedule: DEFAULT_SYNC_SCHEDULE,
        change_guard: DEFAULT_CHANGE_GUARD,
    };
    let mut access =
        DirectoryAccess::new(1, 0, options, None).expect("a directory access without a snapshot");
    let task = access.next_sync(0).expect("a first sync");
    access.sync_finished(1, task.number, Some(DirectoryUpdate::new(all, true)), vec![]);
    TenantAccess::Directory(Box::new(access))
}

#[divan::bench]
fn listed(bencher: Bencher) {
    let tenant_access = TenantAccess::Listed((0..TENANTS).map(|t| format!("t{t}")).collect());
    bencher.bench_local(|| tenant_access.authorize_submit(2, black_box("p77"), black_box("t77")));
}

#[divan::bench(args = [100, 10_000, 100_000])]
fn from_a_directory(bencher: Bencher, people: usize) {
    let tenant_access = directory_access(people);
    assert!(tenant_access.authorize_submit(2, "p77", "t77").is_ok_and(|a| a.rejection.is_none()));
    bencher.bench_local(|| tenant_access.authorize_submit(2, black_box("p77"), black_box("t77")));
}
