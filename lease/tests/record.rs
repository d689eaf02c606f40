//! Explores every state that a voter's record, a client that requests it and the frames between
//! them can reach within bounds: leases that change, votes that expire, deltas that are not
//! applied, frames that are lost, late, reordered or duplicated, and a voter that restarts with or
//! without its stored votes. In every state, no version older than a reported one is reported, and
//! one undisturbed request tells the client everything that the voter stores.
use basaltpitch_lease::record::{LeaseHolders, RecordDelta, RevisionLog, RevisionState, RevisionTracker};
use basaltpitch_lease::voter::StoredVote;
use basaltpitch_lease::LeaseMetadata;
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeMap, BTreeSet};

/// The only voter, and the only prefix of lease names.
const VOTER: usize = 0;
const PREFIX: &str = "planner-";

/// The versions that a delta reports: by lease, its token and the number of its metadata.
type Versions = BTreeMap<u8, (u64, u64)>;
/// The voter's time; expired votes expire at this time, all others later.
const NOW: i64 = 0;

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Request(RevisionState),
    /// A delta, the versions in it, and which of these leases are held.
    Reply(RecordDelta, Versions, BTreeSet<u8>),
}

/// The guard that is removed, to show that the checks notice its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RemovedGuard {
    Nothing,
    /// The voter compares revisions only, not incarnations.
    Incarnation,
    /// The client records the revision of a delta that it did not apply.
    RevisionAfterApply,
    /// The client does not check that it has the revision that a delta starts from.
    StartRevision,
    /// The client does not compare reported versions with the newest one.
    NewestVersion,
    /// The voter does not count the expiry of a vote as a change.
    Expiry,
    /// The client takes the held leases from a delta that it does not apply otherwise.
    HoldersWithRevision,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    leases: u8,
    changes: u32,
    requests: u32,
    restarts: u32,
    /// How often the client restarts without state while frames for it are still in flight.
    client_restarts: u32,
    /// Frames stay in flight after they arrive, so they can arrive any number of times.
    duplicated: bool,
}

const PLAIN: Bounds =
    Bounds { leases: 2, changes: 3, requests: 3, restarts: 1, client_restarts: 0, duplicated: false };

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    removed: RemovedGuard,
    bounds: Bounds,
    votes: BTreeMap<u8, StoredVote<u8>>,
    log: RevisionLog<u8>,
    tracker: RevisionTracker<&'static str, u8>,
    holders: LeaseHolders<u8>,
    /// The last reported version of each lease.
    reported: Versions,
    in_flight: BTreeSet<Frame>,
    changes: u32,
    requests: u32,
    restarts: u32,
    client_restarts: u32,
    reported_older: bool,
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
            client_restarts: 0,
            reported_older: false,
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

    /// Handles a delta that arrives; `applies` tells whether the client applies it.
    fn on_reply(&mut self, delta: &RecordDelta, versions: &Versions, held: &BTreeSet<u8>, applies: bool) {
        let state = self.tracker.state(VOTER, &PREFIX);
        let is_accepted = match self.removed {
            RemovedGuard::Incarnation => true,
            RemovedGuard::StartRevision => delta.up_to.incarnation == state.incarnation || delta.since == 0,
            _ => self.tracker.accepts(VOTER, &PREFIX, delta),
        };
        if !is_accepted {
            return;
        }
        let is_newer = |(lease, version): &(&u8, &(u64, u64))| {
            self.removed == RemovedGuard::NewestVersion || self.tracker.is_newer(lease, **version)
        };
        let newer: Versions =
            versions.iter().filter(is_newer).map(|(lease, version)| (*lease, *version)).collect();
        if applies {
            let older = |(lease, version): (&u8, &(u64, u64))| {
                self.reported.get(lease).is_some_and(|newest| version < newest)
            };
            self.reported_older |= newer.iter().any(older);
            self.reported.extend(newer.clone());
            self.holders.update(VOTER, delta, versions.keys().map(|lease| (*lease, held.contains(lease))));
            self.tracker.applied(VOTER, &PREFIX, delta, newer);
        } else if self.removed == RemovedGuard::HoldersWithRevision {
            self.holders.update(VOTER, delta, versions.keys().map(|lease| (*lease, held.contains(lease))));
        } else if self.removed == RemovedGuard::RevisionAfterApply {
            self.tracker.applied(VOTER, &PREFIX, delta, []);
        }
    }

    /// Adds the worlds after one change of the voter's record.
    fn add_changed_records(&self, all: &mut Vec<World>) {
        for lease in 0..self.bounds.leases {
            // A new holder, new metadata from the current one, or an expired vote.
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
            self.add_changed_records(&mut all);
        }
        if self.requests < self.bounds.requests {
            let mut world = World { requests: self.requests + 1, ..self.clone() };
            world.in_flight.insert(Frame::Request(self.tracker.state(VOTER, &PREFIX)));
            all.push(world);
        }
        if self.restarts < self.bounds.restarts {
            let incarnation = u64::from(self.restarts) + 2;
            for votes in [self.votes.clone(), BTreeMap::new()] {
                let log = RevisionLog::new(incarnation);
                all.push(World { restarts: self.restarts + 1, votes, log, ..self.clone() });
            }
        }
        if self.client_restarts < self.bounds.client_restarts {
            let (tracker, reported, holders) =
                (RevisionTracker::default(), Versions::new(), LeaseHolders::default());
            all.push(World {
                client_restarts: self.client_restarts + 1,
                tracker,
                reported,
                holders,
                ..self.clone()
            });
        }
        for frame in &self.in_flight {
            let mut world = self.clone();
            if !self.bounds.duplicated {
                world.in_flight.remove(frame);
                // The frame is lost.
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
        if self.reported_older {
            return Some("an older version was reported after a newer one");
        }
        let mut world = self.clone();
        if let Frame::Reply(delta, versions, held) = world.reply(world.tracker.state(VOTER, &PREFIX)) {
            world.on_reply(&delta, &versions, &held, true);
        }
        let is_reported = |(lease, vote): (&u8, &StoredVote<u8>)| {
            world.reported.get(lease).is_some_and(|newest| *newest >= (vote.token, vote.metadata.number))
        };
        if !world.votes.iter().all(is_reported) {
            return Some("a stored version is never reported");
        }
        let held: BTreeSet<u8> = world
            .votes
            .iter()
            .filter(|(_, vote)| NOW < vote.expires_at_us)
            .map(|(lease, _)| *lease)
            .collect();
        // Without the other guards the set of held leases may be wrong before the versions are;
        // those guards are checked by the versions alone.
        let checks_holders = matches!(
            self.removed,
            RemovedGuard::Nothing | RemovedGuard::Expiry | RemovedGuard::HoldersWithRevision
        );
        (checks_holders && !world.holders.held_at(VOTER).eq(&held)).then_some("the held leases are not known")
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

const THREE_LEASES: Bounds = Bounds { leases: 3, changes: 3, requests: 2, ..PLAIN };
const TWO_RESTARTS: Bounds = Bounds { changes: 2, restarts: 2, ..PLAIN };
const CLIENT_RESTARTS: Bounds = Bounds { changes: 2, restarts: 0, client_restarts: 1, ..PLAIN };
const DUPLICATED: Bounds = Bounds { changes: 2, requests: 2, client_restarts: 1, duplicated: true, ..PLAIN };

#[test]
fn one_request_reports_everything_and_nothing_older_in_every_state() {
    for bounds in [PLAIN, THREE_LEASES, TWO_RESTARTS, CLIENT_RESTARTS, DUPLICATED] {
        let states = explore(RemovedGuard::Nothing, bounds);
        println!("{states:?} states within {bounds:?}");
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
    }
}

#[test]
fn checks_fail_without_each_guard() {
    assert_eq!(explore(RemovedGuard::Incarnation, PLAIN), Err("a stored version is never reported"));
    assert_eq!(explore(RemovedGuard::RevisionAfterApply, PLAIN), Err("a stored version is never reported"));
    assert_eq!(
        explore(RemovedGuard::StartRevision, CLIENT_RESTARTS),
        Err("a stored version is never reported")
    );
    assert_eq!(
        explore(RemovedGuard::NewestVersion, PLAIN),
        Err("an older version was reported after a newer one")
    );
    assert_eq!(explore(RemovedGuard::HoldersWithRevision, PLAIN), Err("the held leases are not known"));
    assert_eq!(explore(RemovedGuard::Expiry, PLAIN), Err("the held leases are not known"));
}
