//! Every state that three voters, two clients and one lease can reach within stated bounds, with frames
//! lost, late and overtaken, clients that pause, clocks that differ, and a voter that starts again with and
//! without what it stored. At no moment do two clients hold the lease by their own clocks, tokens rise, and
//! where the lease takes effect no act of an older holder follows one of a newer.
//!
//! A frame comes at once, or is one of a bounded number that are late: those come at any time after, or
//! never. A client that does not look at the clock pauses. As voters differ in nothing, the one that starts
//! again and the one whose clock is late is the first.
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

/// Which guard is removed, to see that the check notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RemovedGuard {
    Nothing,
    ClockDrift,
    RecoveryWait,
    Recovery,
    VotingBeforeRestore,
    Fence,
}

/// How far a search goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    /// The lease duration, in ticks; the drift is one tick.
    duration_us: i64,
    ticks: i64,
    rounds: [u64; CLIENTS],
    /// Frames that are late or lost.
    late: u32,
    /// One clock of all falls behind by a tick, at any time.
    clocks: bool,
    /// The first voter starts again so often, at any time.
    restarts: u32,
    /// What is late comes any number of times.
    doubled: bool,
    /// Clients act, at any time after they looked whether they may.
    acts: bool,
}

const PLAIN: Bounds = Bounds {
    duration_us: 3,
    ticks: 5,
    rounds: [2, 2],
    late: 1,
    clocks: false,
    restarts: 0,
    doubled: false,
    acts: false,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    removed: RemovedGuard,
    bounds: Bounds,
    now: i64,
    /// The clock that is a tick behind: a voter's, or after those a client's.
    behind: Option<usize>,
    // Shared among worlds, as a step changes one of them.
    voters: [Rc<Voter<u8, usize>>; VOTERS],
    clients: [Rc<LeaseClient<u8>>; CLIENTS],
    late_frames: Rc<BTreeSet<Frame>>,
    /// Frames that are on their way at this moment; none in a state that is visited.
    in_flight: VecDeque<Frame>,
    late: u32,
    rounds_begun: [u64; CLIENTS],
    restarted: u32,
    /// The highest token that was won, and that acted; what is wrong, if anything.
    won: u64,
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
            won: 0,
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

    /// What a client is to do is done: its frames are on their way.
    fn run_actions(&mut self, client: usize) {
        while let Some(action) = Rc::make_mut(&mut self.clients[client]).next_action() {
            match action {
                LeaseAction::RequestVotes { token, round, .. } => {
                    self.rounds_begun[client] += 1;
                    self.in_flight.extend((0..VOTERS).map(|to| Frame::Request { client, token, round, to }));
                    // What was said of a round before says nothing any more.
                    Rc::make_mut(&mut self.late_frames)
                        .retain(|frame| !matches!(frame, Frame::Reply { to, .. } if *to == client));
                }
                LeaseAction::ReleaseVotes { token, .. } => {
                    self.in_flight.extend((0..VOTERS).map(|to| Frame::Release { client, token, to }));
                }
                LeaseAction::Acquired { token, .. } => {
                    if token <= self.won {
                        self.violation = Some("a token is not above the one before");
                    }
                    self.won = token;
                }
                LeaseAction::Lost { .. } | LeaseAction::MetadataRecorded { .. } => {}
            }
        }
    }

    /// Each frame on its way arrives, or is late.
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
                // The fence: a token under the highest that acted is refused.
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
            if self.bounds.clocks && self.behind.is_none() {
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
            if !self.bounds.doubled {
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
            // What an incarnation stored counts from when it voted.
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
        let both = self.held_token(0).is_some() && self.held_token(1).is_some();
        both.then_some("two members hold the duty").or(self.violation)
    }
}

/// The number of states, or what is wrong in the first state in which something is.
fn explore(removed: RemovedGuard, bounds: Bounds) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs_reach(World::new(removed, bounds), World::next) {
        states += 1;
        if let Some(why) = world.violation() {
            return Err(why);
        }
    }
    Ok(states)
}

const LATE: Bounds = Bounds { rounds: [2, 1], late: 2, ..PLAIN };
const DOUBLED: Bounds = Bounds { rounds: [1, 1], late: 2, doubled: true, ..PLAIN };
const CLOCKS: Bounds = Bounds { clocks: true, ..PLAIN };
const RENEWS: Bounds = Bounds { rounds: [3, 2], ..PLAIN };
const RESTARTS: Bounds = Bounds { restarts: 1, ticks: 6, late: 0, ..PLAIN };
const BOTH: Bounds = Bounds { rounds: [1, 2], clocks: true, ..RESTARTS };
const LOST: Bounds = Bounds { rounds: [1, 1], late: 1, ..RESTARTS };
const TWICE: Bounds = Bounds { restarts: 2, rounds: [1, 2], ticks: 4, ..RESTARTS };
const ACTS: Bounds = Bounds { rounds: [1, 2], acts: true, ..PLAIN };

#[test]
fn no_two_members_hold_a_duty_in_any_state() {
    for bounds in [LATE, DOUBLED, CLOCKS, RENEWS, RESTARTS, BOTH, LOST, TWICE, ACTS] {
        let states = explore(RemovedGuard::Nothing, bounds);
        println!("{states:?} states within {bounds:?}");
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
    }
}

#[test]
fn the_check_notices_what_is_missing() {
    assert_eq!(explore(RemovedGuard::ClockDrift, CLOCKS), Err("two members hold the duty"));
    assert_eq!(
        explore(RemovedGuard::RecoveryWait, Bounds { rounds: [1, 2], ..LOST }),
        Err("two members hold the duty")
    );
    assert_eq!(explore(RemovedGuard::Recovery, LOST), Err("a token is not above the one before"));
    assert_eq!(
        explore(RemovedGuard::VotingBeforeRestore, Bounds { late: 1, ..TWICE }),
        Err("two members hold the duty")
    );
    assert_eq!(explore(RemovedGuard::Fence, ACTS), Err("an older holder acted after a newer one"));
}
