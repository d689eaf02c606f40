//! What is remembered of a directory over a restart, as an earlier build wrote it: `golden/memory.json` holds
//! the bytes. The file is never edited; planners in service find such bytes in their state folder.
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::DEFAULT_SYNC_SCHEDULE;
use basaltpitch_tenants::tenant_directory::{TenantDirectory, FORMAT};
use basaltpitch_tenants::{Entry, EntryKind, Id, Sweep};

/// When all was last heard, and a time at which it is asked of.
const HEARD_AT: i64 = 90_000_000;
const NOW: i64 = 100_000_000;

fn golden() -> Vec<u8> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/memory.json");
    std::fs::read(path).expect("golden/memory.json")
}

fn keeper(remembered: Option<(i64, &[u8])>) -> TenantDirectory {
    let servers = ["ldap://one:389".to_owned(), "ldap://two:389".to_owned()];
    TenantDirectory::new(
        7,
        HEARD_AT - 60_000_000,
        &servers,
        remembered,
        DEFAULT_SYNC_SCHEDULE,
        DEFAULT_CHANGE_GUARD,
    )
    .expect("bytes that are read")
}

fn entry(id: u128, what: EntryKind, name: &str, members: &[&str], day: u32) -> Entry {
    let dn = format!("cn={name},dc=example");
    let members = members.iter().map(|member| format!("cn={member},dc=example")).collect();
    Entry {
        id: Id(id << 64 | id),
        kind: what,
        name: name.into(),
        dn,
        members,
        stamp: format!("202611{day:02}120000Z"),
    }
}

fn first() -> Vec<Entry> {
    vec![
        entry(1, EntryKind::Person, "asha", &[], 1),
        entry(2, EntryKind::Person, "ravi", &[], 1),
        entry(10, EntryKind::Group, "cooks", &["ravi"], 2),
        entry(21, EntryKind::Tenant { share: 0.1 }, "stores", &["asha"], 3),
        entry(20, EntryKind::Tenant { share: 0.75 }, "orders", &["asha", "cooks"], 3),
    ]
}

/// One whole sweep that ends at this time.
fn swept(keeper: &mut TenantDirectory, at: i64, entries: Vec<Entry>) {
    keeper.next(at - 1000).expect("a server to sweep");
    keeper.answered();
    let mut sweep = Sweep::of(entries, true);
    sweep.mark.insert("001".into(), "20261103120000.000000Z#000000#001#000000".into());
    sweep.cookie = Some(b"rid=000,csn=1\xff".to_vec());
    keeper.swept(at, Some(sweep));
}

/// Two sweeps: in the second a tenant has another name, and another tenant is gone.
fn learnt() -> TenantDirectory {
    let mut keeper = keeper(None);
    swept(&mut keeper, HEARD_AT - 50_000_000, first());
    let mut entries = first();
    entries[4] = entry(20, EntryKind::Tenant { share: 0.75 }, "kitchen", &["asha", "cooks"], 4);
    entries.remove(3);
    swept(&mut keeper, HEARD_AT, entries);
    keeper
}

#[test]
fn the_same_sweeps_are_remembered_in_the_same_bytes() {
    let (at, bytes) = learnt().memory().expect("all was heard");
    assert_eq!(at, HEARD_AT);
    assert_eq!(String::from_utf8(bytes), String::from_utf8(golden()));
}

#[test]
fn what_is_read_back_is_written_again_in_the_same_bytes() {
    let bytes = golden();
    let (at, again) = keeper(Some((HEARD_AT, &bytes))).memory().expect("it was remembered");
    assert_eq!(at, HEARD_AT);
    assert_eq!(String::from_utf8(again), String::from_utf8(bytes));
}

#[test]
fn the_tenants_that_were_remembered_are_there() {
    let bytes = golden();
    let keeper = keeper(Some((HEARD_AT, &bytes)));
    let known = keeper.tenants();
    let tenants: Vec<String> = known
        .tenants(NOW)
        .map(|t| format!("{} {} {:?} {} {} {}", t.id.0, t.name, t.was, t.share, t.members, t.index))
        .collect();
    let id = 20u128 << 64 | 20;
    assert_eq!(tenants, [format!("{id} kitchen Some(\"orders\") 0.75 2 1")]);
    assert_eq!(known.find("orders", NOW), Some(Id(id)), "its old name leads to it");
    assert_eq!(known.people(Id(id)), ["asha", "ravi"]);
    assert_eq!(known.why(known.login("ravi").expect("a person"), Id(id)), ["kitchen", "cooks"]);
    assert_eq!(known.at(0), Some(Id(21u128 << 64 | 21)), "an index of one that is gone is not given away");
}

/// The store refuses a snapshot of another format, so this number is on the disk too.
#[test]
fn the_format_is_the_one_under_which_it_was_kept() {
    assert_eq!(FORMAT, 2);
}
