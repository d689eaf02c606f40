//! Explores every state that three voters, two clients and one lease can reach within bounds:
//! frames that are lost, late or reordered, clients that pause, clocks that differ, and a voter
//! that restarts with or without its stored votes. At no time do two clients hold the lease by
//! their own clocks; tokens rise; and where the lease protects a resource, no action of an older
//! holder follows one of a newer holder.
//!
//! A frame arrives at once, or is one of a bounded number of late frames, which arrive at any later
//! time or never. A client that does not advance its clock is paused. All voters are alike, so only
//! the first one restarts or has a slow clock.
use basaltpitch_lease::client::{LeaseAction, LeaseClient};
use basaltpitch_lease::voter::Voter;
use basaltpitch_lease::{LeaseConfig, VoteReply};
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

const VOTERS: usize = 3;
const CLIENTS: usize = 2;
const LEASE: u8 = 0;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Request { client: usize, token: u64, round: u64, to: usize },
    Release { client: usize, token: u64, to: usize },
    Reply { voter: usize, round: u64, to: usize, reply: VoteReply },
    Act { token: u64 },
}

/// The guard that is removed, to show that the checks notice its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RemovedGuard {
    Nothing,
    ClockDrift,
    RecoveryWait,
    Recovery,
    VotingBeforeRestore,
    Fence,
}

/// The bounds of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    /// The lease duration, in ticks; the allowed clock drift is one tick.
    duration_us: i64,
    ticks: i64,
    rounds: [u64; CLIENTS],
    /// How many frames may be late or lost.
    late: u32,
    /// Whether one clock may fall behind by a tick, at any time.
    clock_skew: bool,
    /// How often the first voter may restart, at any time.
    restarts: u32,
    /// Whether late frames stay in flight, so that they can arrive any number of times.
    duplicated: bool,
    /// Whether clients act under the lease, at any time after they checked that they hold it.
    acts: bool,
}

const PLAIN: Bounds = Bounds {
    duration_us: 3,
    ticks: 5,
    rounds: [2, 2],
    late: 1,
    clock_skew: false,
    restarts: 0,
    duplicated: false,
    acts: false,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    removed: RemovedGuard,
    bounds: Bounds,
    now: i64,
    /// The process whose clock is one tick behind: a voter, or after the voters a client.
    behind: Option<usize>,
    // Shared among worlds, because one step changes only one of them.
    voters: [Rc<Voter<u8, usize>>; VOTERS],
    clients: [Rc<LeaseClient<u8>>; CLIENTS],
    late_frames: Rc<BTreeSet<Frame>>,
    /// Frames that arrive within the current step; empty in every visited state.
    in_flight: VecDeque<Frame>,
    late: u32,
    rounds_begun: [u64; CLIENTS],
    restarted: u32,
    /// The highest token that was acquired and the highest that acted; the first violation found.
    acquired: u64,
    acted: u64,
    violation: Option<&'static str>,
}

impl World {
    fn new(removed: RemovedGuard, bounds: Bounds) -> Self {
        let mut world = World {
            removed,
            bounds,
            now: 0,
            behind: None,
            voters: [0; VOTERS]
                .map(|_| Rc::new(Voter::new(LeaseConfig { duration_us: 1, clock_drift_us: 1 }, 0))),
            clients: [0; CLIENTS].map(|_| {
                Rc::new(LeaseClient::new(LeaseConfig { duration_us: 1, clock_drift_us: 1 }, VOTERS, 1, 0))
            }),
            late_frames: Rc::default(),
            in_flight: VecDeque::new(),
            late: 0,
            rounds_begun: [0; CLIENTS],
            restarted: 0,
            acquired: 0,
            acted: 0,
            violation: None,
        };
        let mut client = LeaseClient::new(world.config(), VOTERS, 1, 0);
        client.acquire(0, LEASE);
        world.clients = [0; CLIENTS].map(|_| Rc::new(client.clone()));
        world.voters = [0; VOTERS].map(|_| Rc::new(Voter::new(world.config(), 0)));
        world
    }

    fn config(&self) -> LeaseConfig {
        LeaseConfig {
            duration_us: self.bounds.duration_us,
            clock_drift_us: i64::from(self.removed != RemovedGuard::ClockDrift),
        }
    }

    fn clock(&self, process: usize) -> i64 {
        self.now - i64::from(self.behind == Some(process))
    }

    fn held_token(&self, client: usize) -> Option<u64> {
        self.clients[client].held_token(self.clock(VOTERS + client), &LEASE)
    }

    /// Carries out the actions of a client by putting its frames in flight.
    fn run_actions(&mut self, client: usize) {
        while let Some(action) = Rc::make_mut(&mut self.clients[client]).next_action() {
            match action {
                LeaseAction::RequestVotes { token, round, .. } => {
                    self.rounds_begun[client] += 1;
                    self.in_flight.extend((0..VOTERS).map(|to| Frame::Request { client, token, round, to }));
                    // The client ignores replies to earlier rounds, so they are dropped.
                    Rc::make_mut(&mut self.late_frames)
                        .retain(|frame| !matches!(frame, Frame::Reply { to, .. } if *to == client));
                }
                LeaseAction::ReleaseVotes { token, .. } => {
                    self.in_flight.extend((0..VOTERS).map(|to| Frame::Release { client, token, to }));
                }
                LeaseAction::Acquired { token, .. } => {
                    if token <= self.acquired {
                        self.violation = Some("a token is not above the previous one");
                    }
                    self.acquired = token;
                }
                LeaseAction::Lost { .. } | LeaseAction::MetadataRecorded { .. } => {}
            }
        }
    }

    /// Delivers every frame in flight, at once or late, and adds the resulting worlds.
    fn settle(mut self, all: &mut Vec<World>) {
        while let Some(frame) = self.in_flight.pop_front() {
            if self.late < self.bounds.late {
                let mut world = World { late: self.late + 1, ..self.clone() };
                Rc::make_mut(&mut world.late_frames).insert(frame.clone());
                world.settle(all);
            }
            self.deliver(&frame);
        }
        all.push(self);
    }

    fn deliver(&mut self, frame: &Frame) {
        match frame {
            Frame::Request { client, token, round, to } => {
                let now = self.clock(*to);
                let voter = Rc::make_mut(&mut self.voters[*to]);
                let reply = voter.request_vote(now, &LEASE, client, *token, None);
                if *round == self.rounds_begun[*client] {
                    let reply = Frame::Reply { voter: *to, round: *round, to: *client, reply };
                    self.in_flight.push_back(reply);
                }
            }
            Frame::Release { client, token, to } => {
                Rc::make_mut(&mut self.voters[*to]).release_vote(&LEASE, client, *token);
            }
            Frame::Reply { voter, round, to, reply } => {
                let now = self.clock(VOTERS + to);
                let client = Rc::make_mut(&mut self.clients[*to]);
                client.on_vote_reply(now, *voter, &LEASE, *round, reply.clone());
                self.run_actions(*to);
            }
            Frame::Act { token } => {
                // The fence refuses a token below the highest one that acted.
                if *token < self.acted && self.removed == RemovedGuard::Fence {
                    self.violation = Some("an older holder acted after a newer one");
                }
                self.acted = self.acted.max(*token);
            }
        }
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        if self.now < self.bounds.ticks {
            let tick = World { now: self.now + 1, ..self.clone() };
            if self.bounds.clock_skew && self.behind.is_none() {
                let late = [0, VOTERS, VOTERS + 1];
                all.extend(late.map(|process| World { behind: Some(process), ..tick.clone() }));
            }
            all.push(tick);
        }
        for client in 0..CLIENTS {
            if self.rounds_begun[client] < self.bounds.rounds[client] {
                let mut world = self.clone();
                Rc::make_mut(&mut world.clients[client]).advance(self.clock(VOTERS + client));
                world.run_actions(client);
                world.settle(&mut all);
            }
            if let Some(token) = self.held_token(client).filter(|_| self.bounds.acts) {
                let mut world = self.clone();
                Rc::make_mut(&mut world.late_frames).insert(Frame::Act { token });
                all.push(world);
            }
        }
        for frame in self.late_frames.iter() {
            let mut world = self.clone();
            if !self.bounds.duplicated {
                Rc::make_mut(&mut world.late_frames).remove(frame);
            }
            world.deliver(frame);
            world.settle(&mut all);
        }
        let first = &self.voters[0];
        if self.restarted < self.bounds.restarts {
            let stored = first.stored_votes().map(|(lease, vote)| (*lease, vote.clone()));
            let lost = match self.removed {
                RemovedGuard::RecoveryWait => Voter::without_state(
                    LeaseConfig { duration_us: 0, clock_drift_us: 0 },
                    self.clock(0),
                    VOTERS,
                ),
                RemovedGuard::Recovery => Voter::without_state(self.config(), self.clock(0), 1),
                _ => Voter::without_state(self.config(), self.clock(0), VOTERS),
            };
            // A voter may be restored only from what it stored while it was voting.
            let restores =
                first.is_voting(self.clock(0)) || self.removed == RemovedGuard::VotingBeforeRestore;
            let restored = restores.then(|| Voter::restored(self.config(), self.clock(0), stored));
            for voter in restored.into_iter().chain([lost]) {
                let mut world = World { restarted: self.restarted + 1, ..self.clone() };
                world.voters[0] = Rc::new(voter);
                all.push(world);
            }
        }
        if !first.is_complete() {
            for other in 1..VOTERS {
                let mut world = self.clone();
                let votes = self.voters[other].votes_for_recovery();
                Rc::make_mut(&mut world.voters[0]).recover_from(other, true, votes);
                all.push(world);
            }
        }
        all
    }

    fn violation(&self) -> Option<&'static str> {
        let both_hold = self.held_token(0).is_some() && self.held_token(1).is_some();
        both_hold.then_some("two clients hold the lease").or(self.violation)
    }
}

/// Returns the number of states, or the first violation.
fn explore(removed: RemovedGuard, bounds: Bounds) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs_reach(World::new(removed, bounds), World::next) {
        states += 1;
        if let Some(violation) = world.violation() {
            return Err(violation);
        }
    }
    Ok(states)
}

const LATE: Bounds = Bounds { rounds: [2, 1], late: 2, ..PLAIN };
const DUPLICATED: Bounds = Bounds { rounds: [1, 1], late: 2, duplicated: true, ..PLAIN };
const CLOCK_SKEW: Bounds = Bounds { clock_skew: true, ..PLAIN };
const RENEWALS: Bounds = Bounds { rounds: [3, 2], ..PLAIN };
const RESTARTS: Bounds = Bounds { restarts: 1, ticks: 6, late: 0, ..PLAIN };
const RESTARTS_AND_SKEW: Bounds = Bounds { rounds: [1, 2], clock_skew: true, ..RESTARTS };
const RESTARTS_AND_LATE: Bounds = Bounds { rounds: [1, 1], late: 1, ..RESTARTS };
const TWO_RESTARTS: Bounds = Bounds { restarts: 2, rounds: [1, 2], ticks: 4, ..RESTARTS };
const ACTIONS: Bounds = Bounds { rounds: [1, 2], acts: true, ..PLAIN };

#[test]
fn at_most_one_client_holds_the_lease_in_every_state() {
    for bounds in [
        LATE,
        DUPLICATED,
        CLOCK_SKEW,
        RENEWALS,
        RESTARTS,
        RESTARTS_AND_SKEW,
        RESTARTS_AND_LATE,
        TWO_RESTARTS,
        ACTIONS,
    ] {
        let states = explore(RemovedGuard::Nothing, bounds);
        println!("{states:?} states within {bounds:?}");
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
    }
}

#[test]
fn checks_fail_without_each_guard() {
    assert_eq!(explore(RemovedGuard::ClockDrift, CLOCK_SKEW), Err("two clients hold the lease"));
    assert_eq!(
        explore(RemovedGuard::RecoveryWait, Bounds { rounds: [1, 2], ..RESTARTS_AND_LATE }),
        Err("two clients hold the lease")
    );
    assert_eq!(
        explore(RemovedGuard::Recovery, RESTARTS_AND_LATE),
        Err("a token is not above the previous one")
    );
    assert_eq!(
        explore(RemovedGuard::VotingBeforeRestore, Bounds { late: 1, ..TWO_RESTARTS }),
        Err("two clients hold the lease")
    );
    assert_eq!(explore(RemovedGuard::Fence, ACTIONS), Err("an older holder acted after a newer one"));
}
