//! What of the directory of tenants outlives a planner: read at its start, written on a thread of its own.
use crate::tenant_access::{DirectoryAccess, DirectoryOptions};
use basaltpitch_ldap::DirectorySettings;
use basaltpitch_snapshot_store::SnapshotStore;
use basaltpitch_tenants::tenant_directory::FORMAT;
use std::sync::mpsc::{sync_channel, SyncSender};

/// Names of stored snapshots: all tenants, and when they were last read in full.
const TENANTS: &str = "tenants";
const LAST_FULL_SYNC: &str = "tenants heard";
/// Snapshots that may wait for the disk; a further one waits for the next full sync.
const SNAPSHOT_CAPACITY: usize = 4;

/// A snapshot to store.
pub(super) struct TenantSnapshot {
    /// When the directory was last read in full, in microseconds.
    pub(super) last_full_sync_us: i64,
    /// All tenants, where anything changed; else only the time is stored.
    pub(super) tenants: Option<Vec<u8>>,
}

/// Writes snapshots on a thread of its own: the disk must not hold up the planner.
pub(super) fn spawn_writer(store: SnapshotStore) -> SyncSender<TenantSnapshot> {
    let (snapshots, inbox) = sync_channel::<TenantSnapshot>(SNAPSHOT_CAPACITY);
    std::thread::spawn(move || {
        for TenantSnapshot { last_full_sync_us, tenants } in inbox {
            let stored = match tenants {
                Some(tenants) => store.put(TENANTS, FORMAT, last_full_sync_us, &tenants),
                None => Ok(()),
            };
            if let Err(e) = stored.and_then(|()| store.put(LAST_FULL_SYNC, FORMAT, last_full_sync_us, &[])) {
                tracing::error!(error = %e, "tenants cannot be remembered; the planner serves on");
            }
        }
    });
    snapshots
}

/// Reads the stored tenants, with the time of the last full sync in microseconds. What cannot be read is
/// logged and left out.
fn load(store: &SnapshotStore) -> Option<(i64, Vec<u8>)> {
    let get = |name| {
        store.get(name, FORMAT).unwrap_or_else(|e| {
            tracing::error!(error = %e, "what is remembered of tenants cannot be read; beginning without it");
            None
        })
    };
    let all = get(TENANTS)?;
    let last_full_sync_us = get(LAST_FULL_SYNC).map_or(all.time_us, |last| last.time_us.max(all.time_us));
    Some((last_full_sync_us, all.bytes))
}

/// Begins to learn tenants from a directory, with what an earlier process stored.
pub(super) fn restore(
    seed: u64,
    now_us: i64,
    directory: &DirectorySettings,
    store: Option<&SnapshotStore>,
) -> DirectoryAccess {
    let ways = DirectoryOptions {
        servers: directory.source.urls.clone(),
        terms: directory.access_policy.clone(),
        pace: directory.sync_schedule,
        caution: directory.change_guard,
    };
    let stored = store.and_then(load);
    let restored = DirectoryAccess::new(seed, now_us, ways.clone(), stored.as_ref().map(|s| (s.0, &s.1[..])));
    restored.unwrap_or_else(|e| {
        tracing::error!(error = e, "what is remembered of tenants makes no sense; beginning without it");
        DirectoryAccess::new(seed, now_us, ways, None).expect("nothing is remembered")
    })
}
