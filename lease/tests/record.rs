//! Every state that a voter's record, one that asks for it, and the frames between them can reach within
//! stated bounds: leases that change, frames lost, late, overtaken and doubled, deltas that are not
//! applied, votes that expire, and a voter that starts again with and without what it stored. What is reported
//! never goes back, and in every state one undisturbed request is enough for the client to know all that the
//! voter stores.
use basaltpitch_lease::record::{LeaseHolders, RecordDelta, RevisionLog, RevisionState, RevisionTracker};
use basaltpitch_lease::voter::StoredVote;
use basaltpitch_lease::LeaseMetadata;
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeMap, BTreeSet};

/// Voter and part of the record: there is one of each.
const VOTER: usize = 0;
const PART: &str = "planner-";

/// What a delta reports of a lease: token, number of its metadata.
type Versions = BTreeMap<u8, (u64, u64)>;
/// The voter's time: votes that expired did at 0, all others last.
const NOW: i64 = 0;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Request(RevisionState),
    /// With those of the versions that are held.
    Reply(RecordDelta, Versions, BTreeSet<u8>),
}

/// Which guard is removed, to see that the check notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RemovedGuard {
    Nothing,
    /// The voter goes by the revision alone.
    Incarnation,
    /// The client has the revision of a delta that was not applied.
    Applied,
    /// The client does not look whether it has what a delta goes on from.
    Since,
    /// What is reported is not compared with what was reported before.
    Newer,
    /// That a vote expired is no change.
    Expiry,
    /// Who holds what is taken from a delta whose revision is not.
    Together,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    leases: u8,
    changes: u32,
    requests: u32,
    restarts: u32,
    /// The client begins anew with nothing so often, and its frames still come.
    anew: u32,
    /// Frames stay on their way however often they came.
    doubled: bool,
}

const PLAIN: Bounds = Bounds { leases: 2, changes: 3, requests: 3, restarts: 1, anew: 0, doubled: false };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    removed: RemovedGuard,
    bounds: Bounds,
    votes: BTreeMap<u8, StoredVote<u8>>,
    log: RevisionLog<u8>,
    tracker: RevisionTracker<&'static str, u8>,
    holders: LeaseHolders<u8>,
    /// What was reported last of each lease.
    reported: Versions,
    in_flight: BTreeSet<Frame>,
    changes: u32,
    requests: u32,
    restarts: u32,
    anew: u32,
    went_back: bool,
}

impl World {
    fn new(removed: RemovedGuard, bounds: Bounds) -> Self {
        World {
            removed,
            bounds,
            votes: BTreeMap::new(),
            log: RevisionLog::new(1),
            tracker: RevisionTracker::default(),
            holders: LeaseHolders::default(),
            reported: Versions::new(),
            in_flight: BTreeSet::new(),
            changes: 0,
            requests: 0,
            restarts: 0,
            anew: 0,
            went_back: false,
        }
    }

    fn reply(&mut self, mut state: RevisionState) -> Frame {
        let now = if self.removed == RemovedGuard::Expiry { NOW - 1 } else { NOW };
        if self.removed == RemovedGuard::Incarnation && state.incarnation != 0 {
            state.incarnation =
                self.log.delta_for(now, RevisionState::default(), self.votes.iter()).up_to.incarnation;
        }
        let delta = self.log.delta_for(now, state, self.votes.iter());
        let versions = || self.votes.iter().filter(|(lease, _)| self.log.includes(&delta, lease));
        let held = versions().filter(|(_, vote)| NOW < vote.expires_at_us).map(|(lease, _)| *lease).collect();
        let versions = versions().map(|(lease, vote)| (*lease, (vote.token, vote.metadata.number))).collect();
        Frame::Reply(delta, versions, held)
    }

    /// A delta arrives, and is applied or not.
    fn on_reply(&mut self, delta: &RecordDelta, versions: &Versions, held: &BTreeSet<u8>, applies: bool) {
        let state = self.tracker.state(VOTER, &PART);
        let is_accepted = match self.removed {
            RemovedGuard::Incarnation => true,
            RemovedGuard::Since => delta.up_to.incarnation == state.incarnation || delta.since == 0,
            _ => self.tracker.accepts(VOTER, &PART, delta),
        };
        if !is_accepted {
            return;
        }
        let is_newer = |(lease, version): &(&u8, &(u64, u64))| {
            self.removed == RemovedGuard::Newer || self.tracker.is_newer(lease, **version)
        };
        let newer: Versions =
            versions.iter().filter(is_newer).map(|(lease, version)| (*lease, *version)).collect();
        if applies {
            let older = |(lease, version): (&u8, &(u64, u64))| {
                self.reported.get(lease).is_some_and(|newest| version < newest)
            };
            self.went_back |= newer.iter().any(older);
            self.reported.extend(newer.clone());
            self.holders.update(VOTER, delta, versions.keys().map(|lease| (*lease, held.contains(lease))));
            self.tracker.applied(VOTER, &PART, delta, newer);
        } else if self.removed == RemovedGuard::Together {
            self.holders.update(VOTER, delta, versions.keys().map(|lease| (*lease, held.contains(lease))));
        } else if self.removed == RemovedGuard::Applied {
            self.tracker.applied(VOTER, &PART, delta, []);
        }
    }

    /// The voter's record changes.
    fn changed(&self, all: &mut Vec<World>) {
        for lease in 0..self.bounds.leases {
            // Another holder, or other metadata of the one there is.
            let mut token = self.clone();
            token.changes += 1;
            let mut metadata = token.clone();
            let vote = token.votes.entry(lease).or_default();
            vote.token += 1;
            (vote.holder, vote.renewed, vote.metadata) =
                (Some(0), true, LeaseMetadata { token: vote.token, ..LeaseMetadata::default() });
            vote.expires_at_us = NOW + 1;
            all.push(token);
            let mut expired = metadata.clone();
            if let Some(vote) = metadata.votes.get_mut(&lease) {
                vote.metadata.number += 1;
                all.push(metadata);
            }
            if let Some(vote) = expired.votes.get_mut(&lease).filter(|vote| NOW < vote.expires_at_us) {
                vote.expires_at_us = NOW;
                all.push(expired);
            }
        }
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        if self.changes < self.bounds.changes {
            self.changed(&mut all);
        }
        if self.requests < self.bounds.requests {
            let mut world = World { requests: self.requests + 1, ..self.clone() };
            world.in_flight.insert(Frame::Request(self.tracker.state(VOTER, &PART)));
            all.push(world);
        }
        if self.restarts < self.bounds.restarts {
            let incarnation = u64::from(self.restarts) + 2;
            for votes in [self.votes.clone(), BTreeMap::new()] {
                let log = RevisionLog::new(incarnation);
                all.push(World { restarts: self.restarts + 1, votes, log, ..self.clone() });
            }
        }
        if self.anew < self.bounds.anew {
            let (tracker, reported, holders) =
                (RevisionTracker::default(), Versions::new(), LeaseHolders::default());
            all.push(World { anew: self.anew + 1, tracker, reported, holders, ..self.clone() });
        }
        for frame in &self.in_flight {
            let mut world = self.clone();
            if !self.bounds.doubled {
                world.in_flight.remove(frame);
                // Lost, or never to come.
                all.push(world.clone());
            }
            match frame {
                Frame::Request(state) => {
                    let reply = world.reply(*state);
                    world.in_flight.insert(reply);
                    all.push(world);
                }
                Frame::Reply(delta, versions, held) => {
                    for applies in [true, false] {
                        let mut world = world.clone();
                        world.on_reply(delta, versions, held, applies);
                        all.push(world);
                    }
                }
            }
        }
        all
    }

    fn violation(&self) -> Option<&'static str> {
        if self.went_back {
            return Some("something older was told");
        }
        let mut world = self.clone();
        if let Frame::Reply(delta, versions, held) = world.reply(world.tracker.state(VOTER, &PART)) {
            world.on_reply(&delta, &versions, &held, true);
        }
        let knows = |(lease, vote): (&u8, &StoredVote<u8>)| {
            world.reported.get(lease).is_some_and(|t| *t >= (vote.token, vote.metadata.number))
        };
        if !world.votes.iter().all(knows) {
            return Some("something is never told");
        }
        let holds: BTreeSet<u8> = world
            .votes
            .iter()
            .filter(|(_, vote)| NOW < vote.expires_at_us)
            .map(|(lease, _)| *lease)
            .collect();
        // What the other guards are for shows in what is told, if not as early.
        let looks =
            matches!(self.removed, RemovedGuard::Nothing | RemovedGuard::Expiry | RemovedGuard::Together);
        (looks && !world.holders.held_at(VOTER).eq(&holds)).then_some("who holds what is not known")
    }
}

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

const THREE: Bounds = Bounds { leases: 3, changes: 3, requests: 2, ..PLAIN };
const TWICE: Bounds = Bounds { changes: 2, restarts: 2, ..PLAIN };
const ANEW: Bounds = Bounds { changes: 2, restarts: 0, anew: 1, ..PLAIN };
const DOUBLED: Bounds = Bounds { changes: 2, requests: 2, anew: 1, doubled: true, ..PLAIN };

#[test]
fn in_every_state_a_request_is_enough_and_nothing_older_is_told() {
    for bounds in [PLAIN, THREE, TWICE, ANEW, DOUBLED] {
        let states = explore(RemovedGuard::Nothing, bounds);
        println!("{states:?} states within {bounds:?}");
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
    }
}

#[test]
fn the_check_notices_what_is_missing() {
    assert_eq!(explore(RemovedGuard::Incarnation, PLAIN), Err("something is never told"));
    assert_eq!(explore(RemovedGuard::Applied, PLAIN), Err("something is never told"));
    assert_eq!(explore(RemovedGuard::Since, ANEW), Err("something is never told"));
    assert_eq!(explore(RemovedGuard::Newer, PLAIN), Err("something older was told"));
    assert_eq!(explore(RemovedGuard::Together, PLAIN), Err("who holds what is not known"));
    assert_eq!(explore(RemovedGuard::Expiry, PLAIN), Err("who holds what is not known"));
}
