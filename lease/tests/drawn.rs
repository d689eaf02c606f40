//! Randomised runs of several clients and leases under a simulated clock: frames that are lost,
//! duplicated or late, clocks that run at different rates, clients that are stopped and resumed or
//! cut off in one or both directions, voters that restart with or without their stored votes, and
//! planned transfers. Invariants are checked at every step; a failing case prints its seed.
use basaltpitch_lease::client::{LeaseAction, LeaseClient};
use basaltpitch_lease::voter::Voter;
use basaltpitch_lease::{LeaseConfig, LeaseMetadata, VoteReply};
use std::collections::BTreeMap;

const CONFIG: LeaseConfig = LeaseConfig { duration_us: 1_000_000, clock_drift_us: 50_000 };
const STEP: i64 = 2_000;

#[derive(Clone)]
enum Frame {
    Request { lease: u8, token: u64, round: u64, metadata: Option<LeaseMetadata>, renews: bool },
    Release { lease: u8, token: u64 },
    Reply { lease: u8, round: u64, reply: VoteReply },
    Freed { lease: u8 },
    Act { lease: u8, token: u64 },
}

/// One end of a frame's path: a voter, a client, or the resource that checks fencing tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endpoint {
    Voter(usize),
    Client(usize),
    Resource,
}

struct Process {
    /// The deviation of the clock's rate from true time, in millionths.
    clock_rate: i64,
    stopped_until: i64,
    receives_from: i64,
    sends_from: i64,
}

struct Run {
    rng: fastrand::Rng,
    now: i64,
    faulty: bool,
    voters: Vec<Voter<u8, usize>>,
    clients: Vec<LeaseClient<u8>>,
    processes: Vec<Process>,
    in_flight: Vec<(i64, Endpoint, Endpoint, Frame)>,
    /// By lease: the last token acquired, the last metadata stored by a majority, and the highest
    /// token that acted.
    acquired: BTreeMap<u8, u64>,
    recorded: BTreeMap<u8, (u64, u64)>,
    acted: BTreeMap<u8, u64>,
    /// Acquisitions of a lease, and actions that the fence refused.
    acquisitions: u64,
    refused: u64,
}

impl Run {
    fn new(seed: u64, voters: usize, clients: usize, leases: u8) -> Run {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Two clocks differ by at most 2 x 20,000 millionths of a lease duration, 40 ms, below the
        // allowed drift of 50 ms.
        let process = |_| Process {
            clock_rate: rng.i64(-20_000..=20_000),
            stopped_until: 0,
            receives_from: 0,
            sends_from: 0,
        };
        let processes = (0..voters + clients).map(process).collect();
        let client = |index| {
            let mut client =
                LeaseClient::new(CONFIG, voters, seed.wrapping_mul(31).wrapping_add(index as u64), 0);
            (0..leases).for_each(|lease| client.acquire(0, lease));
            client
        };
        Run {
            now: 0,
            faulty: true,
            voters: (0..voters).map(|_| Voter::new(CONFIG, 0)).collect(),
            clients: (0..clients).map(client).collect(),
            processes,
            in_flight: Vec::new(),
            acquired: BTreeMap::new(),
            recorded: BTreeMap::new(),
            acted: BTreeMap::new(),
            acquisitions: 0,
            refused: 0,
            rng,
        }
    }

    fn process(&mut self, at: Endpoint) -> Option<&mut Process> {
        match at {
            Endpoint::Voter(voter) => self.processes.get_mut(voter),
            Endpoint::Client(client) => self.processes.get_mut(self.voters.len() + client),
            Endpoint::Resource => None,
        }
    }

    fn clock(&self, at: Endpoint) -> i64 {
        let process = match at {
            Endpoint::Voter(voter) => voter,
            Endpoint::Client(client) => self.voters.len() + client,
            Endpoint::Resource => return self.now,
        };
        self.now + self.now * self.processes[process].clock_rate / 1_000_000
    }

    /// Sends a frame: it is lost, or arrives once or twice, each time after a random delay.
    fn send(&mut self, from: Endpoint, to: Endpoint, frame: Frame) {
        let now = self.now;
        if self.process(from).is_some_and(|process| process.sends_from > now) {
            return;
        }
        let deliveries = [1, 0, 1, 1, 1, 1, 1, 1, 1, 2][self.rng.usize(0..if self.faulty { 10 } else { 1 })];
        for _ in 0..deliveries {
            let very_late = self.faulty && self.rng.u32(0..50) == 0;
            let late = self.rng.i64(0..if very_late { 2 * CONFIG.duration_us } else { 20_000 });
            self.in_flight.push((now + late, from, to, frame.clone()));
        }
    }

    fn send_to_voters(&mut self, from: usize, frame: Frame) {
        (0..self.voters.len())
            .for_each(|voter| self.send(Endpoint::Client(from), Endpoint::Voter(voter), frame.clone()));
    }

    fn run_actions(&mut self, client: usize) {
        while let Some(action) = self.clients[client].next_action() {
            match action {
                LeaseAction::RequestVotes { lease, token, round, metadata, renews } => {
                    self.send_to_voters(client, Frame::Request { lease, token, round, metadata, renews })
                }
                LeaseAction::ReleaseVotes { lease, token } => {
                    self.send_to_voters(client, Frame::Release { lease, token })
                }
                LeaseAction::Acquired { lease, token, metadata } => {
                    let before = self.acquired.insert(lease, token).unwrap_or(0);
                    assert!(token > before, "lease {lease}: token {token} after {before}");
                    let recorded = self.recorded.get(&lease).copied().unwrap_or_default();
                    assert!(
                        (metadata.token, metadata.number) >= recorded,
                        "lease {lease}: metadata was lost: {metadata:?} {recorded:?}"
                    );
                    self.acquisitions += 1;
                }
                LeaseAction::MetadataRecorded { lease, number } => {
                    let token = self.clients[client].held_token(self.clock(Endpoint::Client(client)), &lease);
                    // The lease may have expired with the round that stored the metadata.
                    if let Some(token) = token {
                        self.recorded.insert(lease, (token, number));
                    }
                }
                LeaseAction::Lost { .. } => {}
            }
        }
    }

    fn deliver(&mut self, from: Endpoint, to: Endpoint, frame: Frame) {
        let now = self.clock(to);
        match (to, from, frame) {
            (
                Endpoint::Voter(voter),
                Endpoint::Client(client),
                Frame::Request { lease, token, round, metadata, renews },
            ) => {
                let reply = match self.voters[voter].request_vote(now, &lease, &client, token, metadata) {
                    VoteReply::Granted { .. } if renews => {
                        VoteReply::Granted { metadata: LeaseMetadata::default() }
                    }
                    reply => reply,
                };
                self.send(to, from, Frame::Reply { lease, round, reply });
            }
            (Endpoint::Voter(voter), Endpoint::Client(client), Frame::Release { lease, token }) => {
                let free = self.voters[voter].release_vote(&lease, &client, token);
                let notified = if free { self.clients.len() } else { 0 };
                (0..notified)
                    .for_each(|client| self.send(to, Endpoint::Client(client), Frame::Freed { lease }));
            }
            (Endpoint::Client(client), Endpoint::Voter(voter), Frame::Reply { lease, round, reply }) => {
                self.clients[client].on_vote_reply(now, voter, &lease, round, reply);
                self.run_actions(client);
            }
            (Endpoint::Client(client), _, Frame::Freed { lease }) => {
                self.clients[client].vote_freed(now, &lease)
            }
            (Endpoint::Resource, _, Frame::Act { lease, token }) => {
                let highest = self.acted.entry(lease).or_insert(0);
                self.refused += u64::from(token < *highest);
                *highest = token.max(*highest);
            }
            _ => {}
        }
    }

    fn inject_fault(&mut self, strength: u32) {
        if self.rng.u32(0..400) >= strength {
            return;
        }
        let endpoint = Endpoint::Client(self.rng.usize(0..self.clients.len()));
        let until = self.now + self.rng.i64(0..3 * CONFIG.duration_us);
        match self.rng.u32(0..6) {
            0 => self.process(endpoint).into_iter().for_each(|process| process.stopped_until = until),
            1 => self.process(endpoint).into_iter().for_each(|process| process.receives_from = until),
            2 => self.process(endpoint).into_iter().for_each(|process| process.sends_from = until),
            3 => {
                let endpoint = Endpoint::Voter(self.rng.usize(0..self.voters.len()));
                self.process(endpoint).into_iter().for_each(|process| process.stopped_until = until);
            }
            4 => {
                // Only one voter at a time lacks its state; a quorum does not survive the loss of
                // more.
                let voter = self.rng.usize(0..self.voters.len());
                let now = self.clock(Endpoint::Voter(voter));
                let stored: Vec<_> =
                    self.voters[voter].stored_votes().map(|(lease, vote)| (*lease, vote.clone())).collect();
                let lose = self.rng.bool() && self.voters.iter().all(Voter::is_complete);
                if lose {
                    self.voters[voter] = Voter::without_state(CONFIG, now, self.voters.len());
                } else if self.voters[voter].is_voting(now) {
                    self.voters[voter] = Voter::restored(CONFIG, now, stored);
                }
            }
            _ => {
                // A planned transfer: the holder has stopped acting, releases the lease and
                // requests it again later.
                let Endpoint::Client(index) = endpoint else { return };
                let stopped = self.process(endpoint).is_some_and(|process| process.stopped_until > 0);
                let lease = self.rng.u8(0..2);
                if !stopped {
                    let now = self.clock(endpoint);
                    self.clients[index].release(&lease);
                    self.clients[index].acquire(now + CONFIG.duration_us / 4, lease);
                    self.run_actions(index);
                }
            }
        }
    }

    fn step(&mut self, strength: u32) {
        self.now += STEP;
        self.inject_fault(strength);
        let (now, mut due) = (self.now, Vec::new());
        let mut in_flight = std::mem::take(&mut self.in_flight);
        in_flight.retain(|frame| {
            let arrives = frame.0 <= now;
            if arrives {
                due.push(frame.clone());
            }
            !arrives
        });
        self.in_flight.append(&mut in_flight);
        self.rng.shuffle(&mut due);
        for (_, from, to, frame) in due {
            let (is_stopped, receives_nothing) = self
                .process(to)
                .map_or((false, false), |process| (process.stopped_until > now, process.receives_from > now));
            if is_stopped {
                // A stopped process reads the frame from its socket once it resumes.
                self.in_flight.push((now + STEP, from, to, frame));
            } else if !receives_nothing {
                self.deliver(from, to, frame);
            }
        }
        for voter in 0..self.voters.len() {
            let others: Vec<usize> = (0..self.voters.len()).filter(|&other| other != voter).collect();
            if !self.voters[voter].is_complete() && self.rng.u32(0..20) == 0 {
                let other = others[self.rng.usize(0..others.len())];
                let votes = self.voters[other].votes_for_recovery();
                let is_complete = self.voters[other].is_complete();
                self.voters[voter].recover_from(other, is_complete, votes);
            }
        }
        for client in 0..self.clients.len() {
            let at = Endpoint::Client(client);
            if self.process(at).is_some_and(|process| process.stopped_until > now) {
                continue;
            }
            let clock = self.clock(at);
            self.clients[client].advance(clock);
            self.run_actions(client);
            for lease in 0..2 {
                if let Some(token) =
                    self.clients[client].held_token(clock, &lease).filter(|_| self.rng.u32(0..50) == 0)
                {
                    // The client has checked the lease, and the process may be stopped before its
                    // action leaves.
                    let late = if self.rng.u32(0..10) == 0 { 3 * CONFIG.duration_us } else { 10_000 };
                    let late = self.rng.i64(0..late);
                    self.in_flight.push((now + late, at, Endpoint::Resource, Frame::Act { lease, token }));
                    if self.rng.u32(0..4) == 0 {
                        self.clients[client].write_metadata(clock, &lease, vec![lease]);
                    }
                }
            }
        }
        for lease in 0..2 {
            let holds = |&client: &usize| {
                self.clients[client].held_token(self.clock(Endpoint::Client(client)), &lease).is_some()
            };
            let holders: Vec<usize> = (0..self.clients.len()).filter(holds).collect();
            assert!(holders.len() < 2, "lease {lease} is held by {holders:?} at {now}");
        }
    }
}

fn run_seed(seed: u64) -> Run {
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let mut run = Run::new(seed, voters, 2 + seed as usize % 9, 2);
    (0..10_000).for_each(|_| run.step(1 + seed as u32 % 8));
    run.faulty = false;
    // Without faults, each lease is acquired within a few lease durations.
    run.processes
        .iter_mut()
        .for_each(|process| (process.stopped_until, process.receives_from, process.sends_from) = (0, 0, 0));
    (0..4_000).for_each(|_| run.step(0));
    for lease in 0..2 {
        let held = (0..run.clients.len()).any(|client| {
            run.clients[client].held_token(run.clock(Endpoint::Client(client)), &lease).is_some()
        });
        assert!(held, "no client holds lease {lease} without faults");
    }
    run
}

#[test]
fn randomised_runs_keep_one_holder_rising_tokens_and_stored_metadata() {
    let (mut acquisitions, mut refused) = (0, 0);
    for seed in 0..60 {
        let run = std::panic::catch_unwind(|| run_seed(seed)).unwrap_or_else(|_| panic!("seed {seed}"));
        (acquisitions, refused) = (acquisitions + run.acquisitions, refused + run.refused);
    }
    assert!(acquisitions > 500 && refused > 100, "{acquisitions} acquisitions, {refused} refused actions");
}
