//! Syncs with the directory of tenants: one at a time, beside the planner's other work.
use super::PlannerService;
use crate::tenant_access::SweepTask;
use basaltpitch_ldap::{DirectorySettings, SeenEntries, SyncError, SyncResult, SyncState};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// What a sync reports, with its number.
pub(super) enum SyncEvent {
    /// The server answered; reading goes on.
    Answered(u64),
    /// It ended, with what it read.
    Ended(u64, Result<SyncResult, SyncError>),
}

/// A sync that is under way.
struct RunningSync {
    task: SweepTask,
    handle: JoinHandle<()>,
}

/// Runs the syncs and keeps what the next one goes on from.
pub(super) struct DirectorySyncs {
    directory: DirectorySettings,
    /// What each server gave last.
    seen: Vec<SeenEntries>,
    running: Option<RunningSync>,
    events: mpsc::Sender<SyncEvent>,
}

impl DirectorySyncs {
    /// Nothing is read yet; events of syncs go to `events`.
    pub(super) fn new(directory: DirectorySettings, events: mpsc::Sender<SyncEvent>) -> Self {
        let seen = vec![SeenEntries::default(); directory.source.urls.len()];
        DirectorySyncs { directory, seen, running: None, events }
    }

    /// Starts a sync; one that is under way is given up.
    pub(super) fn begin(&mut self, task: SweepTask) {
        if let Some(superseded) = self.running.take() {
            superseded.handle.abort();
        }
        let last = std::mem::take(&mut self.seen[task.server]);
        let seen = if task.whole { SeenEntries::default() } else { last };
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

    /// Keeps what the next sync with the same server can go on from.
    fn finish(&mut self, number: u64, result: &mut SyncResult) {
        if let Some(ended) = self.running.take_if(|running| running.task.number == number) {
            self.seen[ended.task.server] = std::mem::take(&mut result.seen);
        }
    }
}

impl PlannerService {
    /// Handles an event of a sync with the directory.
    pub(super) fn directory_event(&mut self, event: SyncEvent) {
        let now_us = self.clock.now();
        match event {
            SyncEvent::Answered(number) => self.state.directory_answered(now_us, number),
            SyncEvent::Ended(number, Ok(mut result)) => {
                if let Some(syncs) = &mut self.directory_syncs {
                    syncs.finish(number, &mut result);
                }
                self.state.directory_synced(now_us, number, Some(result.update), result.problems);
            }
            SyncEvent::Ended(number, Err(error)) => {
                tracing::info!(error = %error, "a sync of the directory failed");
                self.state.directory_synced(now_us, number, None, vec![error.to_string()]);
            }
        }
    }
}
