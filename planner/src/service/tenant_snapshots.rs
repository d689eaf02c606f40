//! Stores snapshots of the tenants, so that a restarted planner knows them before its first sync
//! with the directory. Snapshots are read at the start and written on a separate thread.
use crate::tenant_access::{DirectoryAccess, DirectoryOptions};
use basaltpitch_ldap::DirectorySettings;
use basaltpitch_snapshot_store::SnapshotStore;
use basaltpitch_tenants::tenant_directory::SNAPSHOT_FORMAT;
use std::sync::mpsc::{sync_channel, SyncSender};

/// Name of the stored snapshot of all tenants.
const TENANTS: &str = "tenants";
/// Name of the stored snapshot that holds only the time of the last full sync.
const LAST_FULL_SYNC: &str = "tenants heard";
/// Limit on the snapshots that wait for the disk; a snapshot over the limit is retried after the
/// next full sync.
const SNAPSHOT_CAPACITY: usize = 4;

/// A tenant snapshot to store.
pub(super) struct TenantSnapshot {
    /// Time of the last full sync with the directory, in microseconds.
    pub(super) last_full_sync_us: i64,
    /// All tenants, encoded; `None` if nothing changed, in which case only the time is stored.
    pub(super) tenants: Option<Vec<u8>>,
}

/// Starts the thread that writes snapshots, so that a slow disk does not block the planner. Returns
/// the channel for the snapshots; the thread ends when the channel is closed.
pub(super) fn spawn_writer(store: SnapshotStore) -> SyncSender<TenantSnapshot> {
    let (snapshots, inbox) = sync_channel::<TenantSnapshot>(SNAPSHOT_CAPACITY);
    std::thread::spawn(move || {
        for TenantSnapshot { last_full_sync_us, tenants } in inbox {
            let stored = match tenants {
                Some(tenants) => store.put(TENANTS, SNAPSHOT_FORMAT, last_full_sync_us, &tenants),
                None => Ok(()),
            };
            if let Err(e) =
                stored.and_then(|()| store.put(LAST_FULL_SYNC, SNAPSHOT_FORMAT, last_full_sync_us, &[]))
            {
                tracing::error!(error = %e, "cannot store the tenant snapshot; serving continues without it");
            }
        }
    });
    snapshots
}

/// Reads the stored tenants and the time of the last full sync, in microseconds. A snapshot that
/// cannot be read is logged and skipped.
fn load(store: &SnapshotStore) -> Option<(i64, Vec<u8>)> {
    let get = |name| {
        store.get(name, SNAPSHOT_FORMAT).unwrap_or_else(|e| {
            tracing::error!(error = %e, "cannot read the stored tenant snapshot; starting without it");
            None
        })
    };
    let all = get(TENANTS)?;
    let last_full_sync_us = get(LAST_FULL_SYNC).map_or(all.time_us, |last| last.time_us.max(all.time_us));
    Some((last_full_sync_us, all.bytes))
}

/// Creates the directory access from the tenants that an earlier process stored, or without tenants
/// if no valid snapshot is stored.
pub(super) fn restore(
    seed: u64,
    now_us: i64,
    directory: &DirectorySettings,
    store: Option<&SnapshotStore>,
) -> DirectoryAccess {
    let options = DirectoryOptions {
        servers: directory.source.urls.clone(),
        access_policy: directory.access_policy.clone(),
        sync_schedule: directory.sync_schedule,
        change_guard: directory.change_guard,
    };
    let stored = store.and_then(load);
    let restored =
        DirectoryAccess::new(seed, now_us, options.clone(), stored.as_ref().map(|s| (s.0, &s.1[..])));
    restored.unwrap_or_else(|e| {
        tracing::error!(error = e, "the stored tenant snapshot is invalid; starting without it");
        DirectoryAccess::new(seed, now_us, options, None).expect("a directory access without a snapshot")
    })
}
