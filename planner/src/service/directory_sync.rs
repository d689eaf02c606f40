//! Syncs with the LDAP directory of tenants. At most one sync runs at a time, as an asynchronous
//! task on the planner's thread.
use super::PlannerService;
use crate::tenant_access::DirectorySyncTask;
use basaltpitch_ldap::{DirectorySettings, SeenEntries, SyncError, SyncResult, SyncState};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// An event of a directory sync; its first field is the number of the sync.
pub(super) enum SyncEvent {
    /// The server returned its first page of entries; the sync continues.
    Answered(u64),
    /// The sync ended, with the entries that it read or the error that ended it.
    Ended(u64, Result<SyncResult, SyncError>),
}

/// The sync that is running.
struct RunningSync {
    task: DirectorySyncTask,
    handle: JoinHandle<()>,
}

/// Runs directory syncs and keeps the state from which an incremental sync continues.
pub(super) struct DirectorySyncs {
    directory: DirectorySettings,
    /// The entries that each server returned in its last sync, by the server's index.
    seen: Vec<SeenEntries>,
    running: Option<RunningSync>,
    events: mpsc::Sender<SyncEvent>,
}

impl DirectorySyncs {
    /// Creates an empty state, in which no server has been read; events of syncs are sent to
    /// `events`.
    pub(super) fn new(directory: DirectorySettings, events: mpsc::Sender<SyncEvent>) -> Self {
        let seen = vec![SeenEntries::default(); directory.source.urls.len()];
        DirectorySyncs { directory, seen, running: None, events }
    }

    /// Starts a sync, and aborts the previous sync if it is still running.
    pub(super) fn begin(&mut self, task: DirectorySyncTask) {
        if let Some(superseded) = self.running.take() {
            superseded.handle.abort();
        }
        let last = std::mem::take(&mut self.seen[task.server]);
        let seen = if task.full { SeenEntries::default() } else { last };
        let before = SyncState { seen, cookie: task.cookie.clone() };
        let (source, events, number, server) =
            (self.directory.source.clone(), self.events.clone(), task.number, task.server);
        let handle = tokio::task::spawn_local(async move {
            let answer_events = events.clone();
            let answered = move || {
                let _ = answer_events.try_send(SyncEvent::Answered(number));
            };
            let result = basaltpitch_ldap::sync(&source, server, before, answered).await;
            let _ = events.send(SyncEvent::Ended(number, result)).await;
        });
        self.running = Some(RunningSync { task, handle });
    }

    /// Keeps the entries of a finished sync, so that the next sync with the same server can be
    /// incremental.
    fn finish(&mut self, number: u64, result: &mut SyncResult) {
        if let Some(ended) = self.running.take_if(|running| running.task.number == number) {
            self.seen[ended.task.server] = std::mem::take(&mut result.seen);
        }
    }
}

impl PlannerService {
    /// Handles an event of a directory sync.
    pub(super) fn directory_event(&mut self, event: SyncEvent) {
        let now_us = self.clock.now();
        match event {
            SyncEvent::Answered(number) => self.state.directory_first_page_received(now_us, number),
            SyncEvent::Ended(number, Ok(mut result)) => {
                if let Some(syncs) = &mut self.directory_syncs {
                    syncs.finish(number, &mut result);
                }
                self.state.directory_synced(now_us, number, Some(result.update), result.problems);
            }
            SyncEvent::Ended(number, Err(error)) => {
                tracing::info!(
                    error = %error,
                    "the directory sync failed; keeping the tenants of the last sync"
                );
                self.state.directory_synced(now_us, number, None, vec![error.to_string()]);
            }
        }
    }
}
