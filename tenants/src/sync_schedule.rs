//! When the directory is asked, which server of several, and how fresh what is known is. No I/O; times are
//! whole microseconds. One sweep is under way at a time. Servers are tried in order; one that failed waits,
//! the longer the oftener, with jitter; one that is much slower than another that works is left for it.
use fnv::FnvHasher;
use std::hash::Hasher;

/// How often the directory is asked, and when what is known counts as stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SyncSchedule {
    pub every_us: i64,
    /// A sweep that takes longer has failed.
    pub patience_us: i64,
    /// What was last heard in full longer ago than this is stale.
    pub fresh_us: i64,
    pub first_wait_us: i64,
    pub most_wait_us: i64,
    /// A server is left for one that takes less than one part in so many of its time.
    pub slower: i64,
}

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
    Failed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Server {
    fails: u32,
    not_before: i64,
    took_us: Option<i64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Under {
    server: usize,
    since: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SyncScheduler {
    pace: SyncSchedule,
    seed: u64,
    servers: Vec<Server>,
    at: usize,
    under: Option<Under>,
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
        if self.under.is_some_and(|u| now >= u.since + self.pace.patience_us) {
            self.ended(now, SyncOutcome::Failed);
        }
        if self.under.is_some() || now < self.due {
            return None;
        }
        let server = self.choose(now)?;
        self.under = Some(Under { server, since: now });
        Some(server)
    }

    /// When `next` has something to do, if nothing else happens.
    pub fn next_at(&self) -> i64 {
        match self.under {
            Some(u) => u.since + self.pace.patience_us,
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
            let n = self.servers.len();
            let order = (1..=n).map(|i| (self.at + i) % n);
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
        let s = &mut self.servers[under.server];
        match how {
            SyncOutcome::Full => {
                let took = now - under.since;
                s.took_us = Some(s.took_us.map_or(took, |t| (3 * t + took) / 4));
                (s.fails, s.not_before) = (0, now);
                self.full_at = Some(now);
                self.answers = false;
                self.due = now + pace.every_us;
            }
            SyncOutcome::Partial | SyncOutcome::Failed => {
                s.fails = s.fails.saturating_add(1);
                let wait = (pace.first_wait_us << s.fails.min(16)).min(pace.most_wait_us);
                s.not_before = now + wait - jitter(self.seed, under.server, s.fails) % (wait / 2).max(1);
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
mod tests {
    use super::*;

    const S: i64 = 1_000_000;

    #[test]
    fn servers_are_tried_in_order_and_a_failing_one_waits() {
        let mut h = SyncScheduler::new(1, 0, 3, None, DEFAULT_SYNC_SCHEDULE);
        let mut tried = Vec::new();
        for now in 0..4 {
            let server = h.next(now * S / 10);
            tried.push(server);
            h.ended(now * S / 10, SyncOutcome::Failed);
        }
        assert_eq!(tried, [Some(0), Some(1), Some(2), None]);
        assert_eq!(h.state(S), DirectoryState::Blind);
        assert!(h.next_at() > 3 * S / 10 && h.next_at() <= 3 * S);
    }

    #[test]
    fn a_slow_server_is_left_for_a_fast_one() {
        let mut h = SyncScheduler::new(1, 0, 2, None, DEFAULT_SYNC_SCHEDULE);
        assert_eq!(h.next(0), Some(0));
        h.ended(S, SyncOutcome::Failed);
        assert_eq!(h.next(S), Some(1));
        h.ended(2 * S, SyncOutcome::Full);
        // The second becomes slow once the first, which works again, is known to be fast.
        h.servers[0] = Server { took_us: Some(S / 10), ..Server::default() };
        assert_eq!(h.next(40 * S), Some(0));
    }

    #[test]
    fn fresh_then_stale_then_recovering_then_fresh() {
        let mut h = SyncScheduler::new(1, 0, 1, Some(-200 * S), DEFAULT_SYNC_SCHEDULE);
        assert_eq!(h.state(0), DirectoryState::Stale, "what was remembered over a restart");
        assert_eq!(h.next(0), Some(0));
        h.answered();
        assert_eq!(h.state(1), DirectoryState::Recovering);
        h.ended(2, SyncOutcome::Partial);
        assert_eq!(h.state(2), DirectoryState::Recovering, "not all of it came");
        let at = h.next_at();
        assert_eq!(h.next(at), Some(0));
        h.ended(at, SyncOutcome::Full);
        assert_eq!(
            (h.state(at), h.state(at + DEFAULT_SYNC_SCHEDULE.fresh_us)),
            (DirectoryState::Fresh, DirectoryState::Stale)
        );
    }

    #[test]
    fn a_sweep_that_hangs_is_given_up() {
        let mut h = SyncScheduler::new(1, 0, 2, None, DEFAULT_SYNC_SCHEDULE);
        assert_eq!(h.next(0), Some(0));
        assert_eq!(h.next_at(), DEFAULT_SYNC_SCHEDULE.patience_us);
        assert_eq!(h.next(DEFAULT_SYNC_SCHEDULE.patience_us), Some(1));
    }
}
