//! Explores every state that three slots can reach within bounds: frames that are lost, late,
//! duplicated or reordered, planners that publish nothing for a while, a successor whose
//! predecessor keeps running and publishing, deltas against stored versions, and zone summaries. At
//! no time does a reader hold a summary that was not published under the token that the voters
//! announced to it, go back to an older summary, or take a summary for younger than it is (a zone's
//! summary for younger than its oldest part).
use basaltpitch_gossip::{
    Freshness, Gossip, GossipAction, GossipConfig, LinkedPeer, Membership, Metrics, Payload, PeerAddress,
    PullRequest, SummaryDelta,
};
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

const SLOTS: usize = 3;
/// Processes 0 to 2 hold slots 0 to 2 under token 1; process 3 succeeds process 0 under token 2.
const PROCESSES: usize = 4;
const SUCCESSOR: usize = 3;

/// Two metrics that are summed in a zone's summary.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sums;

impl Payload for Sums {
    fn metric_count(&self) -> usize {
        2
    }

    fn rounded(&self, _: usize, metric: f32) -> f32 {
        metric
    }

    fn is_significant(&self, _: usize, was: f32, is: f32, _: u32) -> bool {
        was != is
    }

    fn is_urgent(&self, _: usize) -> bool {
        false
    }

    fn merge(&self, reports: &[&Metrics]) -> Vec<f32> {
        (0..2).map(|index| reports.iter().map(|report| report.get(index)).sum()).collect()
    }
}

/// A subject, and the token and number of its summary.
type SummaryId = (usize, u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Request { from: usize, to: usize, request: PullRequest },
    Reply { from: usize, to: usize, request_id: u64, deltas: Vec<SummaryDelta> },
}

/// The guard that is removed, to show that the checks notice its absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum RemovedGuard {
    Nothing,
    /// The age in a reply is not corrected for the time since the request.
    RoundTripAge,
    /// A late or duplicated reply counts as the reply to the open request.
    OpenRequestId,
    /// A successor publishes under its predecessor's token.
    SuccessorToken,
    /// A delta whose base is not stored is applied as a whole summary.
    DeltaBase,
    /// The changes in a delta are dropped.
    DeltaChanges,
    /// A zone's summary has the age of its maker's own summary instead of its oldest part.
    OldestPart,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    ticks: i64,
    /// By process: how often it publishes.
    publishes: [u8; PROCESSES],
    /// How often a link between two processes is replaced.
    relinks: u32,
    /// How many frames may be late or lost.
    late: u32,
    duplicated: bool,
    /// The pairs of processes that may be linked, as requester and peer.
    pairs: &'static [(usize, usize)],
    /// The zone of each slot's holder; `None` if zones are not summarised.
    zones: Option<[usize; SLOTS]>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    removed: RemovedGuard,
    bounds: Bounds,
    now: i64,
    planners: [Rc<Gossip<Sums>>; PROCESSES],
    published: [u8; PROCESSES],
    /// By summary: when it (for a zone: its oldest part) was made, its metrics, and when its
    /// maker's own part was made.
    published_summaries: BTreeMap<SummaryId, (i64, Metrics, i64)>,
    /// By process and subject: the highest token and number that the process held.
    newest: [[(u64, u64); 2 * SLOTS]; PROCESSES],
    late_frames: Rc<BTreeSet<Frame>>,
    in_flight: VecDeque<Frame>,
    /// By requester and peer: the id of the open request, and when it was sent.
    open: BTreeMap<(usize, usize), (u64, i64)>,
    late: u32,
    relinks: u32,
    violation: Option<&'static str>,
}

fn slot_of(process: usize) -> usize {
    process % SUCCESSOR
}

impl World {
    fn new(removed: RemovedGuard, bounds: Bounds) -> Self {
        let flat = bounds.zones.is_none();
        let config = GossipConfig {
            round_us: 1,
            timeout_us: 9,
            refresh_us: 0,
            zone_refresh_us: 0,
            ..GossipConfig::DEFAULT
        };
        let config = GossipConfig {
            stale_after_us: 2,
            zone_stale_after_us: 3,
            partners: 2,
            partner_swap_us: 99,
            flat,
            ..config
        };
        let zone = |slot: usize| bounds.zones.map_or(0, |zones| zones[slot]);
        let member = |own_slot: usize, own_token: u64| Membership {
            slots: SLOTS,
            own_slot,
            own_token,
            own_zone: zone(own_slot),
            zone_regions: [0, 0].into(),
        };
        let address = |slot| Some(PeerAddress { address: "".into(), zone: zone(slot) });
        let mut world = World {
            removed,
            bounds,
            now: 0,
            planners: [0, 1, 2, 3].map(|p| Rc::new(Gossip::new(0, config, member(slot_of(p), 1), Sums, 1))),
            published: [0; PROCESSES],
            published_summaries: BTreeMap::new(),
            newest: [[(0, 0); 2 * SLOTS]; PROCESSES],
            late_frames: Rc::default(),
            in_flight: VecDeque::new(),
            open: BTreeMap::new(),
            late: 0,
            relinks: 0,
            violation: None,
        };
        let token = world.token(SUCCESSOR);
        world.planners[SUCCESSOR] = Rc::new(Gossip::new(0, config, member(0, token), Sums, 1));
        for process in 0..PROCESSES {
            let gossip = Rc::make_mut(&mut world.planners[process]);
            (0..SLOTS).for_each(|slot| gossip.slot_assigned(0, slot, 1, address(slot)));
            // The links are up, and their first requests have been answered.
            for other in (0..PROCESSES).filter(|other| slot_of(*other) != slot_of(process)) {
                let peer = LinkedPeer {
                    slot: slot_of(other),
                    token: if other == SUCCESSOR { token } else { 1 },
                    outbound: false,
                };
                let _ = gossip.link_up(0, other as u64, peer);
                while let Some(action) = gossip.next_action() {
                    if let GossipAction::Request { link, request } = action {
                        gossip.receive_reply(0, link, request.id, []);
                    }
                }
            }
        }
        world
    }

    fn token(&self, process: usize) -> u64 {
        if process == SUCCESSOR && self.removed != RemovedGuard::SuccessorToken {
            2
        } else {
            1
        }
    }

    fn run_actions(&mut self, process: usize) {
        while let Some(action) = Rc::make_mut(&mut self.planners[process]).next_action() {
            match action {
                GossipAction::Request { link, request } => {
                    let to = link as usize;
                    self.open.insert((process, to), (request.id, self.now));
                    self.in_flight.push_back(Frame::Request { from: process, to, request });
                }
                GossipAction::Reply { link, request_id, deltas } => {
                    self.in_flight.push_back(Frame::Reply {
                        from: process,
                        to: link as usize,
                        request_id,
                        deltas,
                    });
                }
                GossipAction::Dial { .. } | GossipAction::CloseLink { .. } => {}
            }
        }
    }

    /// Delivers every frame in flight, at once or late, and adds the resulting worlds.
    fn settle(mut self, worlds: &mut Vec<World>) {
        while let Some(frame) = self.in_flight.pop_front() {
            if self.late < self.bounds.late {
                let mut world = World { late: self.late + 1, ..self.clone() };
                Rc::make_mut(&mut world.late_frames).insert(frame.clone());
                world.settle(worlds);
            }
            self.deliver(&frame);
        }
        self.check_readers();
        worlds.push(self);
    }

    fn deliver(&mut self, frame: &Frame) {
        let now = self.now;
        match frame.clone() {
            Frame::Request { from, to, request } => {
                let handled = Rc::make_mut(&mut self.planners[to]).receive_request(now, from as u64, request);
                if handled.is_err() {
                    self.violation = Some("a valid request is rejected");
                }
                self.run_actions(to);
            }
            Frame::Reply { from, to, mut request_id, mut deltas } => {
                let open = self.open.get(&(to, from)).copied().unwrap_or_default();
                match self.removed {
                    RemovedGuard::RoundTripAge => deltas
                        .iter_mut()
                        .for_each(|delta| delta.age_us = (delta.age_us - (now - open.1)).max(0)),
                    RemovedGuard::OpenRequestId => request_id = open.0,
                    RemovedGuard::DeltaBase => deltas.iter_mut().for_each(|delta| {
                        let stored = match self.planners[to].freshness(now, delta.subject) {
                            Freshness::Fresh { number, .. } => number,
                            _ => 0,
                        };
                        if delta.base > stored {
                            delta.base = 0;
                            if delta.changed.last().is_none_or(|change| change.0 < 1) {
                                delta.changed.push((1, 0));
                            }
                        }
                    }),
                    RemovedGuard::DeltaChanges => {
                        deltas
                            .iter_mut()
                            .filter(|delta| delta.base > 0)
                            .for_each(|delta| delta.changed.clear());
                    }
                    RemovedGuard::OldestPart => {
                        deltas.iter_mut().filter(|delta| delta.subject >= SLOTS).for_each(|delta| {
                            let summary =
                                &self.published_summaries[&(delta.subject, delta.token, delta.number)];
                            delta.age_us = (delta.age_us - (summary.2 - summary.0)).max(0);
                        })
                    }
                    _ => {}
                }
                let link = from as u64;
                Rc::make_mut(&mut self.planners[to]).receive_reply(now, link, request_id, deltas);
                self.run_actions(to);
            }
        }
    }

    /// Checks the summaries that each process holds against those that were published.
    fn check_readers(&mut self) {
        for process in 0..PROCESSES {
            for slot in (0..SLOTS).filter(|s| *s != slot_of(process)) {
                let gossip = self.planners[process].clone();
                if let Freshness::Fresh { token, number, age_us, metrics } = gossip.freshness(self.now, slot)
                {
                    self.check_summary(process, (slot, token, number), age_us, metrics);
                }
                if let Some(zone_summary) = gossip.zone_summary_by(self.now, slot) {
                    self.check_summary(
                        process,
                        (slot + SLOTS, zone_summary.token, zone_summary.number),
                        zone_summary.age_us,
                        zone_summary.metrics,
                    );
                }
            }
        }
    }

    fn check_summary(&mut self, process: usize, id: SummaryId, age_us: i64, metrics: &Metrics) {
        match self.published_summaries.get(&id) {
            None => self.violation = Some("a reader holds a summary that was never published"),
            Some((_, published, _)) if published != metrics => {
                self.violation = Some("a reader holds metrics that differ from the published ones")
            }
            Some((made_at, ..)) if age_us < self.now - made_at => {
                self.violation = Some("a reader takes a summary for younger than it is");
            }
            Some(_) => {}
        }
        let newest = &mut self.newest[process][id.0];
        if (id.1, id.2) < *newest {
            self.violation = Some("a reader goes back to an older summary");
        }
        *newest = (id.1, id.2).max(*newest);
    }

    /// Records the summaries that a process has just published of itself and its zone.
    fn record_published(&mut self, process: usize) {
        let (gossip, slot) = (self.planners[process].clone(), slot_of(process));
        let fresh = |subject: usize| match gossip.freshness(self.now, subject) {
            Freshness::Fresh { token, number, age_us, metrics } => {
                Some(((subject, token, number), age_us, metrics))
            }
            _ => None,
        };
        let Some((own_id, age_us, metrics)) = fresh(slot) else { return };
        let made_at = self.now - age_us;
        self.published_summaries.insert(own_id, (made_at, metrics.clone(), made_at));
        if let Some(zone_summary) = gossip.zone_summary_by(self.now, slot) {
            let parts = (0..SLOTS).filter_map(fresh);
            let oldest = parts
                .clone()
                .filter_map(|part| self.published_summaries.get(&part.0))
                .map(|summary| summary.0)
                .min();
            if parts.count() != zone_summary.planners {
                self.violation = Some("a zone summary states another number of planners than it covers");
            }
            let id = (slot + SLOTS, zone_summary.token, zone_summary.number);
            self.published_summaries
                .insert(id, (oldest.unwrap_or(made_at), zone_summary.metrics.clone(), made_at));
        }
    }

    fn next(&self) -> Vec<World> {
        let mut worlds = Vec::new();
        let mut push = |mut world: World| {
            world.check_readers();
            worlds.push(world);
        };
        if self.now < self.bounds.ticks {
            push(World { now: self.now + 1, ..self.clone() });
        }
        for process in 0..PROCESSES {
            let (published, allowed) = (self.published[process], self.bounds.publishes[process]);
            if published < allowed {
                let mut world = self.clone();
                // The first metric changes with the second summary; nothing changes with the third.
                let metrics = [10.0 * process as f32 + f32::from(published.min(1)), 7.0];
                world.published[process] += 1;
                if Rc::make_mut(&mut world.planners[process])
                    .publish(self.now, metrics.into_iter().collect())
                    .is_err()
                {
                    world.violation = Some("a valid summary is rejected");
                }
                world.record_published(process);
                push(world);
            }
            // The voters announce the successor to each process at any time or never.
            if self.bounds.publishes[SUCCESSOR] > 0 && (1..SUCCESSOR).contains(&process) {
                let mut world = self.clone();
                Rc::make_mut(&mut world.planners[process]).slot_assigned(
                    self.now,
                    0,
                    self.token(SUCCESSOR),
                    None,
                );
                world.run_actions(process);
                if world.planners[process] != self.planners[process] {
                    push(world);
                }
            }
        }
        if self.relinks < self.bounds.relinks {
            for &(requester, peer) in self.bounds.pairs {
                let mut world = World { relinks: self.relinks + 1, ..self.clone() };
                let (slot, token) = (slot_of(peer), world.token(peer));
                let gossip = Rc::make_mut(&mut world.planners[requester]);
                gossip.link_down(self.now, peer as u64);
                // The predecessor's link may be rejected because its token is outdated.
                let _ = gossip.link_up(self.now, peer as u64, LinkedPeer { slot, token, outbound: false });
                world.run_actions(requester);
                world.settle(&mut worlds);
            }
        }
        for frame in self.late_frames.iter() {
            let mut world = self.clone();
            if !self.bounds.duplicated {
                Rc::make_mut(&mut world.late_frames).remove(frame);
            }
            world.deliver(frame);
            world.settle(&mut worlds);
        }
        worlds
    }
}

/// Returns the number of states, or the first violation.
fn explore(removed: RemovedGuard, bounds: Bounds) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs_reach(World::new(removed, bounds), World::next) {
        states += 1;
        if let Some(violation) = world.violation {
            return Err(violation);
        }
    }
    Ok(states)
}

/// Summaries reach the third process through the second, with late and lost frames.
const PASSED_ON: Bounds = Bounds {
    ticks: 2,
    publishes: [2, 0, 0, 0],
    relinks: 2,
    late: 1,
    duplicated: false,
    pairs: &[(1, 0), (2, 1)],
    zones: None,
};
const LATE: Bounds = Bounds { relinks: 2, late: 2, pairs: &[(1, 0)], ..PASSED_ON };
const DUPLICATED: Bounds = Bounds { duplicated: true, ..LATE };
const CYCLE: Bounds =
    Bounds { relinks: 3, publishes: [2, 0, 1, 0], pairs: &[(1, 0), (2, 1), (0, 2)], ..PASSED_ON };
/// Deltas with and without changes.
const DELTA_CHANGES: Bounds = Bounds { publishes: [3, 0, 0, 0], relinks: 3, ..PASSED_ON };
/// The predecessor keeps running, publishing and replying.
const SUCCEEDED: Bounds =
    Bounds { ticks: 1, publishes: [1, 0, 0, 1], relinks: 3, pairs: &[(1, 0), (2, 3), (1, 2)], ..PASSED_ON };
/// The successor publishes a second summary, whose delta must not apply to a summary of the
/// predecessor.
const SUCCEEDED_TWICE: Bounds =
    Bounds { ticks: 0, publishes: [1, 0, 0, 2], relinks: 2, pairs: &[(1, 0), (1, 3)], ..PASSED_ON };
/// Two planners of a zone, and one of another zone that receives only the zone's summary.
const ZONES: Bounds = Bounds {
    publishes: [0, 2, 1, 0],
    relinks: 3,
    pairs: &[(1, 2), (0, 1)],
    zones: Some([0, 1, 1]),
    ..PASSED_ON
};
/// A zone's summary is passed on within the other zone.
const ZONES_CYCLE: Bounds = Bounds {
    ticks: 2,
    publishes: [1, 0, 1, 0],
    relinks: 3,
    pairs: &[(1, 2), (1, 0), (2, 1)],
    zones: Some([0, 1, 1]),
    ..PASSED_ON
};

#[test]
fn readers_hold_only_published_summaries_in_every_state() {
    let mut visited = 0;
    let all =
        [PASSED_ON, LATE, DUPLICATED, CYCLE, DELTA_CHANGES, SUCCEEDED, SUCCEEDED_TWICE, ZONES, ZONES_CYCLE];
    for bounds in all {
        let states = explore(RemovedGuard::Nothing, bounds);
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
        println!("{states:?} states within {bounds:?}");
        visited += states.unwrap_or(0);
    }
    assert!(visited > 100_000, "{visited} states are too few for a meaningful search");
}

#[test]
fn checks_fail_without_each_guard() {
    assert_eq!(
        explore(RemovedGuard::RoundTripAge, LATE),
        Err("a reader takes a summary for younger than it is")
    );
    assert_eq!(
        explore(RemovedGuard::OpenRequestId, DUPLICATED),
        Err("a reader takes a summary for younger than it is")
    );
    assert_eq!(
        explore(RemovedGuard::SuccessorToken, SUCCEEDED),
        Err("a reader holds metrics that differ from the published ones")
    );
    assert_eq!(
        explore(RemovedGuard::DeltaBase, SUCCEEDED_TWICE),
        Err("a reader holds metrics that differ from the published ones")
    );
    assert_eq!(
        explore(RemovedGuard::DeltaChanges, DELTA_CHANGES),
        Err("a reader holds metrics that differ from the published ones")
    );
    assert_eq!(
        explore(RemovedGuard::OldestPart, ZONES),
        Err("a reader takes a summary for younger than it is")
    );
}
