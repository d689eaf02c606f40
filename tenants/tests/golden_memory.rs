//! Compatibility of the tenant snapshot: `golden/memory.json` was written by an earlier build, and
//! planners in service have such snapshots in their state directory. The file is never edited.
use basaltpitch_tenants::change_guard::DEFAULT_CHANGE_GUARD;
use basaltpitch_tenants::sync_schedule::DEFAULT_SYNC_SCHEDULE;
use basaltpitch_tenants::tenant_directory::{TenantDirectory, SNAPSHOT_FORMAT};
use basaltpitch_tenants::{DirectoryUpdate, Entry, EntryKind, Id};

/// End of the last full synchronization, in microseconds.
const SYNCED_AT: i64 = 90_000_000;
/// Time of the queries, in microseconds.
const NOW: i64 = 100_000_000;

fn golden() -> Vec<u8> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/memory.json");
    std::fs::read(path).expect("golden/memory.json")
}

fn new_directory(remembered: Option<(i64, &[u8])>) -> TenantDirectory {
    let servers = ["ldap://one:389".to_owned(), "ldap://two:389".to_owned()];
    TenantDirectory::new(
        7,
        SYNCED_AT - 60_000_000,
        &servers,
        remembered,
        DEFAULT_SYNC_SCHEDULE,
        DEFAULT_CHANGE_GUARD,
    )
    .expect("the snapshot can be decoded")
}

fn entry(id: u128, kind: EntryKind, name: &str, members: &[&str], day: u32) -> Entry {
    let dn = format!("cn={name},dc=example");
    let members = members.iter().map(|member| format!("cn={member},dc=example")).collect();
    Entry {
        id: Id(id << 64 | id),
        kind,
        name: name.into(),
        dn,
        members,
        stamp: format!("202611{day:02}120000Z"),
    }
}

fn first_entries() -> Vec<Entry> {
    vec![
        entry(1, EntryKind::Person, "asha", &[], 1),
        entry(2, EntryKind::Person, "ravi", &[], 1),
        entry(10, EntryKind::Group, "cooks", &["ravi"], 2),
        entry(21, EntryKind::Tenant { share: 0.1 }, "stores", &["asha"], 3),
        entry(20, EntryKind::Tenant { share: 0.75 }, "orders", &["asha", "cooks"], 3),
    ]
}

/// Runs a full synchronization that ends at `at`.
fn sync(directory: &mut TenantDirectory, at: i64, entries: Vec<Entry>) {
    directory.next(at - 1000).expect("a synchronization is due");
    directory.first_page_received();
    let mut sync = DirectoryUpdate::new(entries, true);
    sync.mark.insert("001".into(), "20261103120000.000000Z#000000#001#000000".into());
    sync.cookie = Some(b"rid=000,csn=1\xff".to_vec());
    directory.sync_ended(at, Some(sync));
}

/// Returns a directory after two synchronizations, of which the second renames one tenant and
/// removes another.
fn synced_directory() -> TenantDirectory {
    let mut directory = new_directory(None);
    sync(&mut directory, SYNCED_AT - 50_000_000, first_entries());
    let mut entries = first_entries();
    entries[4] = entry(20, EntryKind::Tenant { share: 0.75 }, "kitchen", &["asha", "cooks"], 4);
    entries.remove(3);
    sync(&mut directory, SYNCED_AT, entries);
    directory
}

#[test]
fn encodes_snapshot_as_the_golden_file() {
    let (at, bytes) = synced_directory().snapshot().expect("a full synchronization was completed");
    assert_eq!(at, SYNCED_AT);
    assert_eq!(String::from_utf8(bytes), String::from_utf8(golden()));
}

#[test]
fn restored_snapshot_is_encoded_in_the_same_bytes() {
    let bytes = golden();
    let (at, encoded) =
        new_directory(Some((SYNCED_AT, &bytes))).snapshot().expect("the snapshot was restored");
    assert_eq!(at, SYNCED_AT);
    assert_eq!(String::from_utf8(encoded), String::from_utf8(bytes));
}

#[test]
fn restores_tenants_names_members_and_indices_from_the_golden_file() {
    let bytes = golden();
    let directory = new_directory(Some((SYNCED_AT, &bytes)));
    let known = directory.tenants();
    let tenants: Vec<String> = known
        .tenants(NOW)
        .map(|t| format!("{} {} {:?} {} {} {}", t.id.0, t.name, t.previous_name, t.share, t.members, t.index))
        .collect();
    let id = 20u128 << 64 | 20;
    assert_eq!(tenants, [format!("{id} kitchen Some(\"orders\") 0.75 2 1")]);
    assert_eq!(known.find("orders", NOW), Some(Id(id)), "the old name is still valid");
    assert_eq!(known.member_logins(Id(id)), ["asha", "ravi"]);
    assert_eq!(known.path(known.person("ravi").expect("a person"), Id(id)), ["kitchen", "cooks"]);
    assert_eq!(known.id_at(0), Some(Id(21u128 << 64 | 21)), "the index of a removed tenant is not reused");
}

/// The store rejects a snapshot of any other format, so this number is part of the stored data.
#[test]
fn snapshot_format_number_is_unchanged() {
    assert_eq!(SNAPSHOT_FORMAT, 2);
}
