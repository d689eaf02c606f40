//! Tests of files that were truncated, overwritten or written by another program.
use basaltpitch_snapshot_store::{OpenOutcome, Snapshot, SnapshotStore, StoreError};
use proptest::prelude::*;
use std::path::{Path, PathBuf};

fn store_path(name: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).unwrap();
    directory.join("planner.store")
}

fn write_snapshots(path: &Path) {
    let (store, outcome) = SnapshotStore::open(path).unwrap();
    assert_eq!(outcome, OpenOutcome::Created);
    store.put("tenants", 1, 5, b"the first").unwrap();
    store.put("tenants", 1, 7, &[42; 5000]).unwrap();
}

#[test]
fn newest_snapshot_survives_a_restart() {
    let path = store_path("outlives");
    write_snapshots(&path);
    let (store, outcome) = SnapshotStore::open(&path).unwrap();
    assert_eq!(outcome, OpenOutcome::Opened);
    assert_eq!(store.get("tenants", 1).unwrap(), Some(Snapshot { time_us: 7, bytes: vec![42; 5000] }));
    assert_eq!(store.get("quotas", 1).unwrap(), None);
}

#[test]
fn file_in_use_is_an_error_and_is_not_set_aside() {
    let path = store_path("in-use");
    write_snapshots(&path);
    let (_store, _) = SnapshotStore::open(&path).unwrap();
    let error = SnapshotStore::open(&path).map(|opened| opened.1).unwrap_err().to_string();
    assert!(error.contains("found a file in use"), "{error}");
    assert!(path.exists());
}

#[test]
fn snapshot_of_another_format_is_an_error_with_both_formats() {
    let path = store_path("format");
    write_snapshots(&path);
    let (store, _) = SnapshotStore::open(&path).unwrap();
    let error = store.get("tenants", 2).unwrap_err();
    assert!(matches!(error, StoreError::InvalidSnapshot { .. }));
    assert_eq!(error.to_string(), "snapshot tenants: found format 1; expected format 2");
}

#[test]
fn foreign_file_is_set_aside_unchanged() {
    let path = store_path("foreign");
    for n in 0..2 {
        std::fs::write(&path, "this is a letter to a friend").unwrap();
        let (store, outcome) = SnapshotStore::open(&path).unwrap();
        let OpenOutcome::SetAside { to, reason } = outcome else { panic!("{outcome:?}") };
        assert!(to.ends_with(format!("planner.set-aside-{n}")) && !reason.is_empty());
        assert_eq!(std::fs::read(to).unwrap(), b"this is a letter to a friend");
        assert_eq!(store.get("tenants", 1).unwrap(), None);
    }
}

#[test]
fn path_that_cannot_be_written_is_an_error_with_the_path() {
    let path = store_path("nowhere").join("no/such/folder.store");
    let error = SnapshotStore::open(&path).err().unwrap().to_string();
    assert!(error.contains("no/such/folder.store"), "{error}");
}

/// Checks a store after damage to its file: it returns a whole snapshot, none, or an error, but
/// never a partial snapshot.
fn check_damaged(name: &str, damage: impl Fn(&mut Vec<u8>)) -> Result<(), TestCaseError> {
    let path = store_path(name);
    write_snapshots(&path);
    let mut bytes = std::fs::read(&path).unwrap();
    damage(&mut bytes);
    std::fs::write(&path, &bytes).unwrap();
    let (store, _) = SnapshotStore::open(&path).unwrap();
    if let Ok(Some(snapshot)) = store.get("tenants", 1) {
        prop_assert!(
            snapshot.bytes == vec![42; 5000] || snapshot.bytes == b"the first",
            "a partial snapshot was returned"
        );
    }
    // The store can be written again.
    store.put("tenants", 1, 9, b"the next").unwrap();
    prop_assert_eq!(store.get("tenants", 1).unwrap().unwrap().bytes, b"the next");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn truncated_file_yields_no_partial_snapshot(fraction in 0.0f64..1.0) {
        check_damaged("cut", |bytes| bytes.truncate((bytes.len() as f64 * fraction) as usize))?;
    }

    #[test]
    fn overwritten_file_yields_no_partial_snapshot(fraction in 0.0f64..1.0, byte in any::<u8>(), length in 1usize..600) {
        check_damaged("overwritten", |bytes| {
            let start = (bytes.len() as f64 * fraction) as usize;
            let end = (start + length).min(bytes.len());
            bytes[start..end].fill(byte);
        })?;
    }
}
