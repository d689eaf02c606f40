//! What it takes to find whether someone may submit for a tenant: a list in the settings, and a directory
//! with so many people in tenants, each through groups nested five deep. `cargo bench -p
//! basaltpitch-planner`.
use basaltpitch_planner::tenant_access::{DirectoryAccess, DirectoryOptions, TenantAccess};
use basaltpitch_tenants::authorization::AccessPolicy;
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::DEFAULT_SYNC_SCHEDULE;
use basaltpitch_tenants::{DirectoryUpdate, Entry, EntryKind, Id};
use divan::{black_box, Bencher};

const TENANTS: usize = 100;
const DEEP: usize = 5;

fn main() {
    divan::main();
}

fn learnt(people: usize) -> TenantAccess {
    let entry = |id: usize, what: EntryKind, name: String, members: Vec<String>| {
        let stamp = "20261201000000Z".to_owned();
        Entry { id: Id(id as u128), kind: what, dn: format!("cn={name}"), name, members, stamp }
    };
    let mut all: Vec<Entry> =
        (0..people).map(|n| entry(n, EntryKind::Person, format!("p{n}"), vec![])).collect();
    for t in 0..TENANTS {
        for depth in 0..=DEEP {
            let below = if depth < DEEP {
                vec![format!("cn=t{t}g{}", depth + 1)]
            } else {
                (t..people).step_by(TENANTS).map(|n| format!("cn=p{n}")).collect()
            };
            let what = if depth == 0 { EntryKind::Tenant { share: 0.01 } } else { EntryKind::Group };
            let name = if depth == 0 { format!("t{t}") } else { format!("t{t}g{depth}") };
            all.push(entry(10_000_000 + t * 10 + depth, what, name, below));
        }
    }
    let terms = AccessPolicy { place_stale: true, ..AccessPolicy::default() };
    let ways = DirectoryOptions {
        servers: vec!["one".into()],
        access_policy: terms,
        sync_schedule: DEFAULT_SYNC_SCHEDULE,
        change_guard: DEFAULT_CHANGE_GUARD,
    };
    let mut learnt = DirectoryAccess::new(1, 0, ways, None).expect("nothing is remembered");
    let task = learnt.next_sync(0).expect("a first sweep");
    learnt.sync_finished(1, task.number, Some(DirectoryUpdate::new(all, true)), vec![]);
    TenantAccess::Directory(Box::new(learnt))
}

#[divan::bench]
fn listed(bencher: Bencher) {
    let tenancy = TenantAccess::Listed((0..TENANTS).map(|t| format!("t{t}")).collect());
    bencher.bench_local(|| tenancy.authorize_submit(2, black_box("p77"), black_box("t77")));
}

#[divan::bench(args = [100, 10_000, 100_000])]
fn from_a_directory(bencher: Bencher, people: usize) {
    let tenancy = learnt(people);
    assert!(tenancy.authorize_submit(2, "p77", "t77").is_ok_and(|a| a.rejection.is_none()));
    bencher.bench_local(|| tenancy.authorize_submit(2, black_box("p77"), black_box("t77")));
}
