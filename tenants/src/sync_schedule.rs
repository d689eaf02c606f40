//! Schedules synchronizations with the servers of a directory, and tracks how fresh the directory
//! is. No I/O; times are microseconds. One synchronization runs at a time. Servers are tried in
//! order, a failed one again after an exponential backoff with jitter. A server that is much slower
//! than another working one is replaced by it.
use fnv::FnvHasher;
use std::hash::Hasher;

/// Intervals and limits of synchronizations with the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SyncSchedule {
    /// Time from the end of a full synchronization to the start of the next, in microseconds.
    pub interval_us: i64,
    /// Timeout of a synchronization, in microseconds.
    pub timeout_us: i64,
    /// Time after a full synchronization from which on the directory is stale, in microseconds.
    pub stale_after_us: i64,
    /// Base of the exponential backoff of a server, in microseconds: the wait after the n-th
    /// failure in a row is this, doubled n times, less up to half of it as jitter.
    pub initial_backoff_us: i64,
    /// Maximum backoff, in microseconds.
    pub max_backoff_us: i64,
    /// Factor by which a server must be slower than another working server to be replaced by it.
    pub max_slowdown: i64,
}

/// The default schedule.
pub const DEFAULT_SYNC_SCHEDULE: SyncSchedule = SyncSchedule {
    interval_us: 30_000_000,
    timeout_us: 60_000_000,
    stale_after_us: 120_000_000,
    initial_backoff_us: 1_000_000,
    max_backoff_us: 60_000_000,
    max_slowdown: 4,
};

/// How up to date the known tenants are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DirectoryState {
    /// No synchronization was ever completed.
    Blind,
    /// The last full synchronization is recent enough.
    Fresh,
    /// The last full synchronization is too long ago; its tenants are still in use.
    Stale,
    /// Stale, and a server responds again, but no full synchronization has been completed since.
    Recovering,
}

/// How a synchronization ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncOutcome {
    /// The whole directory was received.
    Full,
    /// A known part of the directory was received, or the server is a lagging replica.
    Partial,
    /// Nothing was received, or the synchronization timed out.
    Failed,
}

/// What is known of a server of the directory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Server {
    /// Number of failures in a row.
    failures: u32,
    /// End of the server's backoff, in microseconds.
    not_before: i64,
    /// Moving average of the duration of full synchronizations, in microseconds; `None` before the
    /// first one.
    mean_us: Option<i64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RunningSync {
    server: usize,
    /// When the synchronization began, in microseconds.
    since: i64,
}

/// Chooses the server and the time of each synchronization, and tracks how fresh the directory is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SyncScheduler {
    schedule: SyncSchedule,
    /// Seed of the jitter, which should differ between planners.
    seed: u64,
    servers: Vec<Server>,
    /// Index of the server in use.
    current: usize,
    running: Option<RunningSync>,
    /// End of the last full synchronization, in microseconds.
    full_at: Option<i64>,
    /// Earliest start of the next synchronization, in microseconds.
    due: i64,
    /// Whether a server has responded since the last full synchronization and the last failure.
    responding: bool,
}

impl SyncScheduler {
    /// Creates a scheduler. `known_at`: end of the last full synchronization before a restart, if
    /// its tenants were restored from a snapshot.
    pub fn new(seed: u64, now: i64, servers: usize, known_at: Option<i64>, schedule: SyncSchedule) -> Self {
        SyncScheduler {
            schedule,
            seed,
            servers: vec![Server::default(); servers.max(1)],
            current: 0,
            running: None,
            full_at: known_at,
            due: now,
            responding: false,
        }
    }

    /// Returns how up to date the known tenants are at `now`.
    pub fn state(&self, now: i64) -> DirectoryState {
        match self.full_at {
            None => DirectoryState::Blind,
            Some(at) if now < at + self.schedule.stale_after_us => DirectoryState::Fresh,
            Some(_) if self.responding => DirectoryState::Recovering,
            Some(_) => DirectoryState::Stale,
        }
    }

    /// Returns the end of the last full synchronization, in microseconds.
    pub fn full_at(&self) -> Option<i64> {
        self.full_at
    }

    /// Starts a synchronization if one is due, and returns the index of its server. A
    /// synchronization that has timed out counts as failed first.
    pub fn next(&mut self, now: i64) -> Option<usize> {
        if self.running.is_some_and(|running| now >= running.since + self.schedule.timeout_us) {
            self.ended(now, SyncOutcome::Failed);
        }
        if self.running.is_some() || now < self.due {
            return None;
        }
        let server = self.choose(now)?;
        self.running = Some(RunningSync { server, since: now });
        Some(server)
    }

    /// Returns when to call `next` again, unless the running synchronization ends before.
    pub fn next_at(&self) -> i64 {
        match self.running {
            Some(running) => running.since + self.schedule.timeout_us,
            None => self.due.max(self.servers.iter().map(|s| s.not_before).min().unwrap_or(0)),
        }
    }

    /// Chooses the server in use while it works and no other is much faster, otherwise the next one
    /// in order whose backoff is over. `None`: all servers are in backoff.
    fn choose(&mut self, now: i64) -> Option<usize> {
        let available = |s: &Server| now >= s.not_before;
        let own = self.servers[self.current].mean_us.unwrap_or(0);
        // A server without a measured duration is tried once the one in use takes a large part of
        // the timeout.
        let slow = own * self.schedule.max_slowdown > self.schedule.timeout_us;
        let faster =
            |s: &Server| s.failures == 0 && s.mean_us.map_or(slow, |t| t * self.schedule.max_slowdown < own);
        if let Some(i) = (0..self.servers.len())
            .find(|&i| i != self.current && available(&self.servers[i]) && faster(&self.servers[i]))
        {
            self.current = i;
        } else if !available(&self.servers[self.current]) || self.servers[self.current].failures > 0 {
            let count = self.servers.len();
            let order = (1..=count).map(|i| (self.current + i) % count);
            self.current = order.into_iter().find(|&i| available(&self.servers[i]))?;
        }
        Some(self.current)
    }

    /// Records that the first page of the running synchronization was received.
    pub fn first_page_received(&mut self) {
        self.responding = true;
    }

    /// Records the end of the running synchronization.
    pub fn ended(&mut self, now: i64, outcome: SyncOutcome) {
        let Some(running) = self.running.take() else { return };
        let schedule = self.schedule;
        let server = &mut self.servers[running.server];
        match outcome {
            SyncOutcome::Full => {
                let duration = now - running.since;
                server.mean_us = Some(server.mean_us.map_or(duration, |mean| (3 * mean + duration) / 4));
                (server.failures, server.not_before) = (0, now);
                self.full_at = Some(now);
                self.responding = false;
                self.due = now + schedule.interval_us;
            }
            SyncOutcome::Partial | SyncOutcome::Failed => {
                server.failures = server.failures.saturating_add(1);
                let wait =
                    (schedule.initial_backoff_us << server.failures.min(16)).min(schedule.max_backoff_us);
                server.not_before =
                    now + wait - jitter(self.seed, running.server, server.failures) % (wait / 2).max(1);
                self.responding = outcome == SyncOutcome::Partial;
                self.due = now;
            }
        }
    }
}

/// Returns a deterministic pseudo-random number for a planner's seed, a server and a count of
/// failures, so that planners do not retry at the same time.
fn jitter(seed: u64, server: usize, failures: u32) -> i64 {
    let mut hasher = FnvHasher::with_key(seed);
    hasher.write_usize(server);
    hasher.write_u32(failures);
    (hasher.finish() >> 2) as i64
}

#[cfg(test)]
mod tests;
