//! What becomes of a file that was cut, overwritten or never ours.
use basaltpitch_snapshot_store::{OpenOutcome, Snapshot, SnapshotStore, StoreError};
use proptest::prelude::*;
use std::path::{Path, PathBuf};

fn file(name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder.join("planner.store")
}

fn full(path: &Path) {
    let (store, outcome) = SnapshotStore::open(path).unwrap();
    assert_eq!(outcome, OpenOutcome::Created);
    store.put("tenants", 1, 5, b"the first").unwrap();
    store.put("tenants", 1, 7, &[42; 5000]).unwrap();
}

#[test]
fn a_snapshot_outlives_its_planner_and_the_newest_stands() {
    let path = file("outlives");
    full(&path);
    let (store, outcome) = SnapshotStore::open(&path).unwrap();
    assert_eq!(outcome, OpenOutcome::Opened);
    assert_eq!(store.get("tenants", 1).unwrap(), Some(Snapshot { time_us: 7, bytes: vec![42; 5000] }));
    assert_eq!(store.get("quotas", 1).unwrap(), None);
}

#[test]
fn a_file_in_use_is_not_set_aside() {
    let path = file("in-use");
    full(&path);
    let (_store, _) = SnapshotStore::open(&path).unwrap();
    let error = SnapshotStore::open(&path).map(|x| x.1).unwrap_err().to_string();
    assert!(error.contains("found a file in use"), "{error}");
    assert!(path.exists());
}

#[test]
fn another_format_is_named() {
    let path = file("format");
    full(&path);
    let (store, _) = SnapshotStore::open(&path).unwrap();
    let error = store.get("tenants", 2).unwrap_err();
    assert!(matches!(error, StoreError::InvalidSnapshot { .. }));
    assert_eq!(error.to_string(), "snapshot tenants: found format 1; expected format 2");
}

#[test]
fn a_foreign_file_is_set_aside_with_its_bytes() {
    let path = file("foreign");
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
fn a_place_that_cannot_be_written_is_an_error_with_its_path() {
    let path = file("nowhere").join("no/such/folder.store");
    let error = SnapshotStore::open(&path).err().unwrap().to_string();
    assert!(error.contains("no/such/folder.store"), "{error}");
}

/// After any damage: the newest snapshot, or nothing, or an error about it. Never half of one.
fn damaged(name: &str, damage: impl Fn(&mut Vec<u8>)) -> Result<(), TestCaseError> {
    let path = file(name);
    full(&path);
    let mut bytes = std::fs::read(&path).unwrap();
    damage(&mut bytes);
    std::fs::write(&path, &bytes).unwrap();
    let (store, _) = SnapshotStore::open(&path).unwrap();
    if let Ok(Some(s)) = store.get("tenants", 1) {
        prop_assert!(s.bytes == vec![42; 5000] || s.bytes == b"the first", "half a snapshot");
    }
    // And it goes on from there.
    store.put("tenants", 1, 9, b"the next").unwrap();
    prop_assert_eq!(store.get("tenants", 1).unwrap().unwrap().bytes, b"the next");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn a_file_cut_anywhere(share in 0.0f64..1.0) {
        damaged("cut", |bytes| bytes.truncate((bytes.len() as f64 * share) as usize))?;
    }

    #[test]
    fn bytes_overwritten_anywhere(share in 0.0f64..1.0, with in any::<u8>(), n in 1usize..600) {
        damaged("overwritten", |bytes| {
            let at = (bytes.len() as f64 * share) as usize;
            let end = (at + n).min(bytes.len());
            bytes[at..end].fill(with);
        })?;
    }
}
