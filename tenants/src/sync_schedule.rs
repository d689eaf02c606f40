//! When the directory is asked, which server of several, and how fresh what is known is. No I/O; times are
//! whole microseconds. One sweep is under way at a time. Servers are tried in order; one that failed waits,
//! the longer the oftener, with jitter; one that is much slower than another that works is left for it.
use fnv::FnvHasher;
use std::hash::Hasher;

/// How often the directory is asked, and when what is known counts as stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SyncSchedule {
    /// From the end of a full sweep to the next.
    pub every_us: i64,
    /// A sweep that takes longer has failed.
    pub patience_us: i64,
    /// What was last heard in full longer ago than this is stale.
    pub fresh_us: i64,
    /// The wait after failures is this, doubled with each.
    pub first_wait_us: i64,
    /// The longest wait after failures.
    pub most_wait_us: i64,
    /// A server is left for one that takes less than one part in so many of its time.
    pub slower: i64,
}

/// The schedule where settings say nothing else.
pub const DEFAULT_SYNC_SCHEDULE: SyncSchedule = SyncSchedule {
    every_us: 30_000_000,
    patience_us: 60_000_000,
    fresh_us: 120_000_000,
    first_wait_us: 1_000_000,
    most_wait_us: 60_000_000,
    slower: 4,
};

/// How far what is known can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DirectoryState {
    /// Nothing was ever known.
    Blind,
    /// Heard in full lately.
    Fresh,
    /// The last known tenants stand in.
    Stale,
    /// Stale, and a server answers again; a full sweep is still to come.
    Recovering,
}

/// How a sweep ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SyncOutcome {
    /// Everything came.
    Full,
    /// Something came, and it is known not to be all, or the server is an older replica.
    Partial,
    /// Nothing came, or it took too long.
    Failed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Server {
    fails: u32,
    not_before: i64,
    took_us: Option<i64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RunningSweep {
    server: usize,
    since: i64,
}

/// Chooses the server to sweep and the time, and knows how fresh the last full sweep is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SyncScheduler {
    pace: SyncSchedule,
    seed: u64,
    servers: Vec<Server>,
    at: usize,
    under: Option<RunningSweep>,
    full_at: Option<i64>,
    due: i64,
    answers: bool,
}

impl SyncScheduler {
    /// `known_at`: when the snapshot that is remembered was heard in full, if one is.
    pub fn new(seed: u64, now: i64, servers: usize, known_at: Option<i64>, pace: SyncSchedule) -> Self {
        SyncScheduler {
            pace,
            seed,
            servers: vec![Server::default(); servers.max(1)],
            at: 0,
            under: None,
            full_at: known_at,
            due: now,
            answers: false,
        }
    }

    /// How far what is known can be relied on at a time.
    pub fn state(&self, now: i64) -> DirectoryState {
        match self.full_at {
            None => DirectoryState::Blind,
            Some(at) if now < at + self.pace.fresh_us => DirectoryState::Fresh,
            Some(_) if self.answers => DirectoryState::Recovering,
            Some(_) => DirectoryState::Stale,
        }
    }

    /// When all was last heard.
    pub fn full_at(&self) -> Option<i64> {
        self.full_at
    }

    /// The server to sweep now, if it is time. A sweep that took too long is given up first.
    pub fn next(&mut self, now: i64) -> Option<usize> {
        if self.under.is_some_and(|running| now >= running.since + self.pace.patience_us) {
            self.ended(now, SyncOutcome::Failed);
        }
        if self.under.is_some() || now < self.due {
            return None;
        }
        let server = self.choose(now)?;
        self.under = Some(RunningSweep { server, since: now });
        Some(server)
    }

    /// When `next` has something to do, if nothing else happens.
    pub fn next_at(&self) -> i64 {
        match self.under {
            Some(running) => running.since + self.pace.patience_us,
            None => self.due.max(self.servers.iter().map(|s| s.not_before).min().unwrap_or(0)),
        }
    }

    /// The server in use while it works and no other is far faster; else the next in order that may be tried.
    fn choose(&mut self, now: i64) -> Option<usize> {
        let free = |s: &Server| now >= s.not_before;
        let own = self.servers[self.at].took_us.unwrap_or(0);
        // A server that was never asked gets its turn once the one in use takes a good part of the patience.
        let slow = own * self.pace.slower > self.pace.patience_us;
        let faster = |s: &Server| s.fails == 0 && s.took_us.map_or(slow, |t| t * self.pace.slower < own);
        if let Some(i) = (0..self.servers.len())
            .find(|&i| i != self.at && free(&self.servers[i]) && faster(&self.servers[i]))
        {
            self.at = i;
        } else if !free(&self.servers[self.at]) || self.servers[self.at].fails > 0 {
            let count = self.servers.len();
            let order = (1..=count).map(|i| (self.at + i) % count);
            self.at = order.into_iter().find(|&i| free(&self.servers[i]))?;
        }
        Some(self.at)
    }

    /// A first page came: the directory answers, though not all is heard.
    pub fn answered(&mut self) {
        self.answers = true;
    }

    /// The sweep that is under way ended.
    pub fn ended(&mut self, now: i64, how: SyncOutcome) {
        let Some(under) = self.under.take() else { return };
        let pace = self.pace;
        let server = &mut self.servers[under.server];
        match how {
            SyncOutcome::Full => {
                let took = now - under.since;
                server.took_us = Some(server.took_us.map_or(took, |t| (3 * t + took) / 4));
                (server.fails, server.not_before) = (0, now);
                self.full_at = Some(now);
                self.answers = false;
                self.due = now + pace.every_us;
            }
            SyncOutcome::Partial | SyncOutcome::Failed => {
                server.fails = server.fails.saturating_add(1);
                let wait = (pace.first_wait_us << server.fails.min(16)).min(pace.most_wait_us);
                server.not_before =
                    now + wait - jitter(self.seed, under.server, server.fails) % (wait / 2).max(1);
                self.answers = how == SyncOutcome::Partial;
                self.due = now;
            }
        }
    }
}

/// A number that differs from planner to planner, server to server and failure to failure, and is always the
/// same.
fn jitter(seed: u64, server: usize, fails: u32) -> i64 {
    let mut hasher = FnvHasher::with_key(seed);
    hasher.write_usize(server);
    hasher.write_u32(fails);
    (hasher.finish() >> 2) as i64
}

#[cfg(test)]
mod tests;
