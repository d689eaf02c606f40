//! Every state that three seats can reach within stated bounds: frames lost, late, doubled and overtaken,
//! planners that say nothing for a while, a successor whose predecessor lives on and publishes, what changed
//! told against what is held, and zones that are told as one. At no moment does a reader hold what nobody
//! published under the token that the council told it, go back to an older summary, or take one for younger
//! than it is, a zone's for younger than its oldest part.
use basaltpitch_gossip::{
    Freshness, Gossip, GossipAction, GossipConfig, LinkedPeer, Membership, Metrics, Payload, PeerAddress,
    PullRequest, SummaryDelta,
};
use pathfinding::directed::bfs::bfs_reach;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

const SEATS: usize = 3;
/// Processes 0 to 2 have seats 0 to 2 under token 1; process 3 succeeds process 0 under token 2.
const PROCESSES: usize = 4;
const SUCCESSOR: usize = 3;

/// Two words, whose sums are a zone's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Words;

impl Payload for Words {
    fn metric_count(&self) -> usize {
        2
    }

    fn rounded(&self, _: usize, figure: f32) -> f32 {
        figure
    }

    fn is_significant(&self, _: usize, was: f32, is: f32, _: u32) -> bool {
        was != is
    }

    fn is_urgent(&self, _: usize) -> bool {
        false
    }

    fn merge(&self, parts: &[&Metrics]) -> Vec<f32> {
        (0..2).map(|n| parts.iter().map(|p| p.get(n)).sum()).collect()
    }
}

/// Token and number of a subject.
type Of = (usize, u64, u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Frame {
    Ask { from: usize, to: usize, request: PullRequest },
    Answer { from: usize, to: usize, question: u64, all: Vec<SummaryDelta> },
}

/// What is taken away, to see that the check notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// A summary's age is taken as it is told, whatever time its way took.
    Way,
    /// A late or doubled answer counts for the question that is open now.
    Questions,
    /// A successor publishes under its predecessor's token.
    Tokens,
    /// What changed is taken for all there is, where what it was told against is not held.
    Base,
    /// What changed counts as the same as before.
    Changes,
    /// A zone's summary is as old as its maker's own part.
    Oldest,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bounds {
    ticks: i64,
    /// By process: how often it publishes.
    publishes: [u8; PROCESSES],
    /// How often two processes are linked anew.
    talks: u32,
    /// Frames that are late or lost.
    late: u32,
    doubled: bool,
    /// Who may talk to whom.
    pairs: &'static [(usize, usize)],
    /// Where each seat stands; none: no zones.
    zones: Option<[usize; SEATS]>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    without: Without,
    bounds: Bounds,
    now: i64,
    all: [Rc<Gossip<Words>>; PROCESSES],
    published: [u8; PROCESSES],
    /// By subject, token and number: when it or its oldest part was made, and what it said; of a zone's, when
    /// its maker's own part was.
    truth: BTreeMap<Of, (i64, Metrics, i64)>,
    /// The highest that each process held of each subject.
    most: [[(u64, u64); 2 * SEATS]; PROCESSES],
    net: Rc<BTreeSet<Frame>>,
    flying: VecDeque<Frame>,
    /// By asker and answerer: the question that is open and when it was asked.
    open: BTreeMap<(usize, usize), (u64, i64)>,
    late: u32,
    talks: u32,
    wrong: Option<&'static str>,
}

fn seat_of(process: usize) -> usize {
    process % SUCCESSOR
}

impl World {
    fn new(without: Without, bounds: Bounds) -> Self {
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
        let zone = |seat: usize| bounds.zones.map_or(0, |zones| zones[seat]);
        let site = |me: usize, own_token: u64| Membership {
            slots: SEATS,
            own_slot: me,
            own_token,
            own_zone: zone(me),
            zone_regions: [0, 0].into(),
        };
        let place = |seat| Some(PeerAddress { address: "".into(), zone: zone(seat) });
        let mut world = World {
            without,
            bounds,
            now: 0,
            all: [0, 1, 2, 3].map(|p| Rc::new(Gossip::new(0, config, site(seat_of(p), 1), Words, 1))),
            published: [0; PROCESSES],
            truth: BTreeMap::new(),
            most: [[(0, 0); 2 * SEATS]; PROCESSES],
            net: Rc::default(),
            flying: VecDeque::new(),
            open: BTreeMap::new(),
            late: 0,
            talks: 0,
            wrong: None,
        };
        let token = world.token(SUCCESSOR);
        world.all[SUCCESSOR] = Rc::new(Gossip::new(0, config, site(0, token), Words, 1));
        for p in 0..PROCESSES {
            let exchange = Rc::make_mut(&mut world.all[p]);
            (0..SEATS).for_each(|seat| exchange.slot_assigned(0, seat, 1, place(seat)));
            // Links stand; their first questions are over.
            for other in (0..PROCESSES).filter(|o| seat_of(*o) != seat_of(p)) {
                let peer = LinkedPeer {
                    slot: seat_of(other),
                    token: if other == SUCCESSOR { token } else { 1 },
                    outbound: false,
                };
                let _ = exchange.link_up(0, other as u64, peer);
                while let Some(call) = exchange.next_action() {
                    if let GossipAction::Request { link, request } = call {
                        exchange.receive_reply(0, link, request.id, []);
                    }
                }
            }
        }
        world
    }

    fn token(&self, process: usize) -> u64 {
        if process == SUCCESSOR && self.without != Without::Tokens {
            2
        } else {
            1
        }
    }

    fn called(&mut self, p: usize) {
        while let Some(call) = Rc::make_mut(&mut self.all[p]).next_action() {
            match call {
                GossipAction::Request { link, request } => {
                    let to = link as usize;
                    self.open.insert((p, to), (request.id, self.now));
                    self.flying.push_back(Frame::Ask { from: p, to, request });
                }
                GossipAction::Reply { link, request_id: question, deltas: all } => {
                    self.flying.push_back(Frame::Answer { from: p, to: link as usize, question, all });
                }
                GossipAction::Dial { .. } | GossipAction::CloseLink { .. } => {}
            }
        }
    }

    /// Each frame on its way arrives, or is late.
    fn settle(mut self, all: &mut Vec<World>) {
        while let Some(frame) = self.flying.pop_front() {
            if self.late < self.bounds.late {
                let mut w = World { late: self.late + 1, ..self.clone() };
                Rc::make_mut(&mut w.net).insert(frame.clone());
                w.settle(all);
            }
            self.arrives(&frame);
        }
        self.judge();
        all.push(self);
    }

    fn arrives(&mut self, frame: &Frame) {
        let now = self.now;
        match frame.clone() {
            Frame::Ask { from, to, request } => {
                let asked = Rc::make_mut(&mut self.all[to]).receive_request(now, from as u64, request);
                if asked.is_err() {
                    self.wrong = Some("a question in order is refused");
                }
                self.called(to);
            }
            Frame::Answer { from, to, mut question, mut all } => {
                let open = self.open.get(&(to, from)).copied().unwrap_or_default();
                match self.without {
                    Without::Way => {
                        all.iter_mut().for_each(|t| t.age_us = (t.age_us - (now - open.1)).max(0))
                    }
                    Without::Questions => question = open.0,
                    Without::Base => all.iter_mut().for_each(|told| {
                        let holds = match self.all[to].freshness(now, told.subject) {
                            Freshness::Fresh { number, .. } => number,
                            _ => 0,
                        };
                        if told.base > holds {
                            told.base = 0;
                            if told.changed.last().is_none_or(|c| c.0 < 1) {
                                told.changed.push((1, 0));
                            }
                        }
                    }),
                    Without::Changes => {
                        all.iter_mut().filter(|t| t.base > 0).for_each(|told| told.changed.clear());
                    }
                    Without::Oldest => all.iter_mut().filter(|t| t.subject >= SEATS).for_each(|told| {
                        let of = &self.truth[&(told.subject, told.token, told.number)];
                        told.age_us = (told.age_us - (of.2 - of.0)).max(0);
                    }),
                    _ => {}
                }
                let link = from as u64;
                Rc::make_mut(&mut self.all[to]).receive_reply(now, link, question, all);
                self.called(to);
            }
        }
    }

    /// What each process holds, against what was published.
    fn judge(&mut self) {
        for p in 0..PROCESSES {
            for seat in (0..SEATS).filter(|s| *s != seat_of(p)) {
                let exchange = self.all[p].clone();
                if let Freshness::Fresh { token, number, age_us, metrics: figures } =
                    exchange.freshness(self.now, seat)
                {
                    self.judge_one(p, (seat, token, number), age_us, figures);
                }
                if let Some(z) = exchange.zone_summary_by(self.now, seat) {
                    self.judge_one(p, (seat + SEATS, z.token, z.number), z.age_us, z.metrics);
                }
            }
        }
    }

    fn judge_one(&mut self, p: usize, of: Of, age_us: i64, figures: &Metrics) {
        match self.truth.get(&of) {
            None => self.wrong = Some("it holds what nobody published"),
            Some((_, said, _)) if said != figures => {
                self.wrong = Some("it holds another's word for the seat's")
            }
            Some((made_at, ..)) if age_us < self.now - made_at => {
                self.wrong = Some("it takes a summary for younger than it is");
            }
            Some(_) => {}
        }
        let most = &mut self.most[p][of.0];
        if (of.1, of.2) < *most {
            self.wrong = Some("it goes back to an older summary");
        }
        *most = (of.1, of.2).max(*most);
    }

    /// What a process has just said, of itself and of its zone.
    fn remember(&mut self, p: usize) {
        let (exchange, seat) = (self.all[p].clone(), seat_of(p));
        let said = |of: usize| match exchange.freshness(self.now, of) {
            Freshness::Fresh { token, number, age_us, metrics: figures } => {
                Some(((of, token, number), age_us, figures))
            }
            _ => None,
        };
        let Some((own, age_us, figures)) = said(seat) else { return };
        let made_at = self.now - age_us;
        self.truth.insert(own, (made_at, figures.clone(), made_at));
        if let Some(z) = exchange.zone_summary_by(self.now, seat) {
            let parts = (0..SEATS).filter_map(said);
            let oldest = parts.clone().filter_map(|part| self.truth.get(&part.0)).map(|t| t.0).min();
            if parts.count() != z.planners {
                self.wrong = Some("a zone says for another number of planners than it stands for");
            }
            let of = (seat + SEATS, z.token, z.number);
            self.truth.insert(of, (oldest.unwrap_or(made_at), z.metrics.clone(), made_at));
        }
    }

    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        let mut push = |mut w: World| {
            w.judge();
            all.push(w);
        };
        if self.now < self.bounds.ticks {
            push(World { now: self.now + 1, ..self.clone() });
        }
        for p in 0..PROCESSES {
            let (has, may) = (self.published[p], self.bounds.publishes[p]);
            if has < may {
                let mut w = self.clone();
                // The first word moves with the second summary, and nothing with the third.
                let words = [10.0 * p as f32 + f32::from(has.min(1)), 7.0];
                w.published[p] += 1;
                if Rc::make_mut(&mut w.all[p]).publish(self.now, words.into_iter().collect()).is_err() {
                    w.wrong = Some("a summary in order is refused");
                }
                w.remember(p);
                push(w);
            }
            // The council tells of the successor, in no order and perhaps never.
            if self.bounds.publishes[SUCCESSOR] > 0 && (1..SUCCESSOR).contains(&p) {
                let mut w = self.clone();
                Rc::make_mut(&mut w.all[p]).slot_assigned(self.now, 0, self.token(SUCCESSOR), None);
                w.called(p);
                if w.all[p] != self.all[p] {
                    push(w);
                }
            }
        }
        if self.talks < self.bounds.talks {
            for &(a, b) in self.bounds.pairs {
                let mut w = World { talks: self.talks + 1, ..self.clone() };
                let (seat, token) = (seat_of(b), w.token(b));
                let exchange = Rc::make_mut(&mut w.all[a]);
                exchange.link_down(self.now, b as u64);
                // An old holder is not linked to; that it is refused is no fault.
                let _ =
                    exchange.link_up(self.now, b as u64, LinkedPeer { slot: seat, token, outbound: false });
                w.called(a);
                w.settle(&mut all);
            }
        }
        for frame in self.net.iter() {
            let mut w = self.clone();
            if !self.bounds.doubled {
                Rc::make_mut(&mut w.net).remove(frame);
            }
            w.arrives(frame);
            w.settle(&mut all);
        }
        all
    }
}

/// The number of states, or what is wrong in the first state in which something is.
fn explore(without: Without, bounds: Bounds) -> Result<usize, &'static str> {
    let mut states = 0;
    for world in bfs_reach(World::new(without, bounds), World::next) {
        states += 1;
        if let Some(why) = world.wrong {
            return Err(why);
        }
    }
    Ok(states)
}

/// What passes over a third, with frames late and lost.
const PASSED_ON: Bounds = Bounds {
    ticks: 2,
    publishes: [2, 0, 0, 0],
    talks: 2,
    late: 1,
    doubled: false,
    pairs: &[(1, 0), (2, 1)],
    zones: None,
};
const LATE: Bounds = Bounds { talks: 2, late: 2, pairs: &[(1, 0)], ..PASSED_ON };
const DOUBLED: Bounds = Bounds { doubled: true, ..LATE };
const ROUND: Bounds =
    Bounds { talks: 3, publishes: [2, 0, 1, 0], pairs: &[(1, 0), (2, 1), (0, 2)], ..PASSED_ON };
/// What changed and what is the same as before, told against what is held.
const CHANGES: Bounds = Bounds { publishes: [3, 0, 0, 0], talks: 3, ..PASSED_ON };
/// The old holder lives on, publishes and talks.
const SUCCEEDED: Bounds =
    Bounds { ticks: 1, publishes: [1, 0, 0, 1], talks: 3, pairs: &[(1, 0), (2, 3), (1, 2)], ..PASSED_ON };
/// The same with a second summary of the successor's, told against what was held of the old one.
const SUCCEEDED_TWICE: Bounds =
    Bounds { ticks: 0, publishes: [1, 0, 0, 2], talks: 2, pairs: &[(1, 0), (1, 3)], ..PASSED_ON };
/// Two planners of a zone, who hear each other, and one of another that hears of them as one.
const ZONES: Bounds = Bounds {
    publishes: [0, 2, 1, 0],
    talks: 3,
    pairs: &[(1, 2), (0, 1)],
    zones: Some([0, 1, 1]),
    ..PASSED_ON
};
/// What goes from zone to zone passes over a third.
const ZONES_ROUND: Bounds = Bounds {
    ticks: 2,
    publishes: [1, 0, 1, 0],
    talks: 3,
    pairs: &[(1, 2), (1, 0), (2, 1)],
    zones: Some([0, 1, 1]),
    ..PASSED_ON
};

#[test]
fn no_reader_is_told_what_is_not_so_in_any_state() {
    let mut visited = 0;
    let all = [PASSED_ON, LATE, DOUBLED, ROUND, CHANGES, SUCCEEDED, SUCCEEDED_TWICE, ZONES, ZONES_ROUND];
    for bounds in all {
        let states = explore(Without::Nothing, bounds);
        assert!(states.is_ok(), "{states:?} within {bounds:?}");
        println!("{states:?} states within {bounds:?}");
        visited += states.unwrap_or(0);
    }
    assert!(visited > 100_000, "{visited} states are too few to say anything");
}

#[test]
fn the_check_notices_what_is_missing() {
    assert_eq!(explore(Without::Way, LATE), Err("it takes a summary for younger than it is"));
    assert_eq!(explore(Without::Questions, DOUBLED), Err("it takes a summary for younger than it is"));
    assert_eq!(explore(Without::Tokens, SUCCEEDED), Err("it holds another's word for the seat's"));
    assert_eq!(explore(Without::Base, SUCCEEDED_TWICE), Err("it holds another's word for the seat's"));
    assert_eq!(explore(Without::Changes, CHANGES), Err("it holds another's word for the seat's"));
    assert_eq!(explore(Without::Oldest, ZONES), Err("it takes a summary for younger than it is"));
}
