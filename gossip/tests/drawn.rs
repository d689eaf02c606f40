//! Crowds of planners under a made-up clock: up to 300 seats, frames that take their time, cuts both ways and
//! one, planners that stop, wake, die and are succeeded. Reports how long it takes until all know, at what
//! cost, and what cuts leave unknown.
use basaltpitch_gossip::frame_size::frame_bytes;
use basaltpitch_gossip::{
    Freshness, Gossip, GossipAction, GossipConfig, LinkedPeer, Membership, MergeRule, MetricLayout, Metrics,
    PeerAddress, PullRequest, SummaryDelta,
};
use expect_test::expect;
use fastrand::Rng;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const S: i64 = 1_000_000;
const MS: i64 = 1_000;
/// The first is a word, the second the count of machines that the third to fiftieth are about.
const FIGURES: usize = 105;
const WORD: usize = 0;
const SEES: usize = 1;
const SUMS: usize = 50;

/// Zones and regions: three regions of seven zones.
const REGIONS: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];

fn layout() -> MetricLayout {
    let middle = MergeRule::Median { observed_by: SEES, urgent: false };
    let rule = |n: usize| match n {
        WORD => MergeRule::HighestRecord,
        n if n < SUMS => middle,
        _ => MergeRule::Sum,
    };
    MetricLayout((0..FIGURES).map(rule).collect())
}

enum Frame {
    Linked { link: u64, from: usize },
    Failed { to: usize },
    Down { link: u64 },
    Ask { link: u64, asked: PullRequest },
    Answer { link: u64, question: u64, all: Vec<SummaryDelta> },
}

struct Process {
    seat: usize,
    token: u64,
    exchange: Gossip<MetricLayout>,
    alive: bool,
    stopped: bool,
    /// It lives and says nothing of itself.
    silent: bool,
    publishes_at: i64,
    says: Vec<f32>,
    number: u64,
    /// What came while it was stopped.
    waits: Vec<Frame>,
}

struct Crowd {
    now: i64,
    chance: Rng,
    config: GossipConfig,
    all: Vec<Process>,
    /// By seat: the process that has it.
    holder: Vec<usize>,
    /// Links by number: who dialled, and whom.
    links: HashMap<u64, (usize, usize)>,
    flying: BTreeMap<(i64, u64), (usize, Frame)>,
    serial: u64,
    cut: BTreeSet<(usize, usize)>,
    late: i64,
    frames: u64,
    bytes: u64,
    /// Where each seat's holder stands, of how many zones.
    zones: usize,
    /// So many figures move each second.
    lively: usize,
    step: i64,
    /// What each process sent, by second.
    sent: HashMap<(usize, i64), u64>,
    /// By seat, token and number: when it was made, and what it said.
    truth: HashMap<(usize, u64, u64), (i64, Metrics)>,
    /// The same of zones, by their makers: when the oldest part was made.
    truth_of_zones: HashMap<(usize, u64, u64), (i64, Metrics)>,
}

impl Crowd {
    fn new(seats: usize, seed: u64) -> Self {
        Crowd::of(seats, 1, GossipConfig::DEFAULT, 5, seed)
    }

    fn of(seats: usize, zones: usize, config: GossipConfig, lively: usize, seed: u64) -> Self {
        let mut crowd = Crowd {
            now: 0,
            chance: Rng::with_seed(seed),
            config,
            zones,
            lively,
            step: 5 * MS,
            sent: HashMap::new(),
            truth_of_zones: HashMap::new(),
            all: Vec::new(),
            holder: vec![0; seats],
            links: HashMap::new(),
            flying: BTreeMap::new(),
            serial: 0,
            cut: BTreeSet::new(),
            late: 0,
            frames: 0,
            bytes: 0,
            truth: HashMap::new(),
        };
        // As the council gives them: microseconds of a wall clock.
        (0..seats).for_each(|seat| crowd.seat(seat, 1_796_187_788_465_468 + 1_700_001 * seat as u64));
        crowd.council_tells();
        crowd
    }

    /// A new process takes a seat.
    fn seat(&mut self, seat: usize, token: u64) {
        let (seats, seed) = (self.holder.len(), self.chance.u64(..));
        let site = Membership {
            slots: seats,
            own_slot: seat,
            own_token: token,
            own_zone: self.zone(seat),
            zone_regions: REGIONS[..self.zones].into(),
        };
        let exchange = Gossip::new(self.now, self.config, site, layout(), seed);
        let mut says = vec![100.0; FIGURES];
        says[WORD] = 1.0;
        self.holder[seat] = self.all.len();
        let (publishes_at, waits) = (self.now + self.chance.i64(0..S), Vec::new());
        let (alive, stopped, silent, number) = (true, false, false, 0);
        self.all.push(Process {
            seat,
            token,
            exchange,
            alive,
            stopped,
            silent,
            publishes_at,
            says,
            number,
            waits,
        });
    }

    fn zone(&self, seat: usize) -> usize {
        seat % self.zones
    }

    fn region(&self, seat: usize) -> usize {
        REGIONS[self.zone(seat)]
    }

    /// All processes hear from the council who has which seat.
    fn council_tells(&mut self) {
        let holders: Vec<(usize, u64, usize)> =
            self.holder.iter().map(|&p| (self.all[p].seat, self.all[p].token, p)).collect();
        for p in self.all.iter_mut().filter(|p| p.alive && !p.stopped) {
            for &(seat, token, process) in &holders {
                let place = PeerAddress { address: process.to_string().into(), zone: seat % self.zones };
                p.exchange.slot_assigned(self.now, seat, token, Some(place));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame, bytes: usize) {
        self.frames += 1;
        self.bytes += bytes as u64;
        *self.sent.entry((from, self.now / S)).or_default() += bytes as u64;
        if !self.cut.contains(&(from, to)) {
            self.serial += 1;
            let at = self.now + self.chance.i64(100..10 * MS) + self.late;
            self.flying.insert((at, self.serial), (to, frame));
        }
    }

    fn called(&mut self, p: usize) {
        while let Some(call) = self.all[p].exchange.next_action() {
            let bytes = frame_bytes(&call);
            let other = |links: &HashMap<u64, (usize, usize)>, link: u64| {
                links.get(&link).map(|&(a, b)| if a == p { b } else { a })
            };
            match call {
                GossipAction::Dial { slot: seat, address } => {
                    let to: usize = address.parse().expect("a process's number");
                    self.serial += 1;
                    let (link, reached) = (self.serial, self.all[to].alive && !self.cut.contains(&(p, to)));
                    if reached {
                        self.links.insert(link, (p, to));
                        self.send(p, to, Frame::Linked { link, from: p }, 0);
                        self.send(to, p, Frame::Linked { link, from: to }, 0);
                    } else {
                        self.serial += 1;
                        self.flying.insert((self.now + S / 2, self.serial), (p, Frame::Failed { to: seat }));
                    }
                }
                GossipAction::CloseLink { link } => {
                    if let Some(to) = other(&self.links, link) {
                        self.send(p, to, Frame::Down { link }, 0);
                    }
                }
                GossipAction::Request { link, request } => {
                    if let Some(to) = other(&self.links, link) {
                        self.send(p, to, Frame::Ask { link, asked: request }, bytes);
                    }
                }
                GossipAction::Reply { link, request_id: question, deltas: all } => {
                    if let Some(to) = other(&self.links, link) {
                        self.send(p, to, Frame::Answer { link, question, all }, bytes);
                    }
                }
            }
        }
    }

    fn arrives(&mut self, p: usize, frame: Frame) {
        if !self.all[p].alive {
            return;
        }
        if self.all[p].stopped {
            return self.all[p].waits.push(frame);
        }
        let now = self.now;
        match frame {
            Frame::Linked { link, from } => {
                let (seat, token) = (self.all[from].seat, self.all[from].token);
                let ours = self.links.get(&link).is_some_and(|l| l.0 == p);
                if self.all[p]
                    .exchange
                    .link_up(now, link, LinkedPeer { slot: seat, token, outbound: ours })
                    .is_err()
                    && ours
                {
                    self.all[p].exchange.dial_failed(now, seat);
                }
            }
            Frame::Failed { to } => self.all[p].exchange.dial_failed(now, to),
            Frame::Down { link } => self.all[p].exchange.link_down(now, link),
            Frame::Ask { link, asked } => {
                self.all[p].exchange.receive_request(now, link, asked).expect("a question in order");
            }
            Frame::Answer { link, question, all } => {
                let wrong = self.all[p].exchange.receive_reply(now, link, question, all);
                let unusual: Vec<_> = wrong.iter().filter(|w| !w.is_expected()).collect();
                assert!(unusual.is_empty(), "{unusual:?}");
            }
        }
        self.called(p);
    }

    fn run(&mut self, until: i64) {
        while self.now < until {
            // What flies within this step arrives in its order.
            self.now += self.step;
            while let Some(first) = self.flying.first_entry().filter(|e| e.key().0 <= self.now) {
                let (p, frame) = first.remove();
                self.arrives(p, frame);
            }
            for p in 0..self.all.len() {
                let process = &mut self.all[p];
                if !process.alive || process.stopped {
                    continue;
                }
                if !process.silent && self.now >= process.publishes_at {
                    process.publishes_at += S;
                    for _ in 0..self.lively {
                        let n = self.chance.usize(SEES + 1..FIGURES);
                        process.says[n] = self.chance.f32() * 500.0;
                    }
                    let says = process.says.iter().copied().collect();
                    process.exchange.publish(self.now, says).expect("figures in order");
                    let Freshness::Fresh { token, number, metrics: figures, age_us } =
                        process.exchange.freshness(self.now, process.seat)
                    else {
                        panic!("it hears itself");
                    };
                    process.number = number;
                    let made_at = self.now - age_us;
                    self.truth.insert((process.seat, token, number), (made_at, figures.clone()));
                    self.remember_zone(p);
                }
                self.all[p].exchange.advance(self.now);
                self.remember_zone(p);
                self.called(p);
            }
        }
    }

    /// What a process has just said of its zone, as old as its oldest part.
    fn remember_zone(&mut self, p: usize) {
        let (seat, exchange) = (self.all[p].seat, &self.all[p].exchange);
        let Some(z) = exchange.zone_summary_by(self.now, seat) else { return };
        let key = (seat, z.token, z.number);
        if self.truth_of_zones.contains_key(&key) {
            return;
        }
        let part = |seat: usize| match exchange.freshness(self.now, seat) {
            Freshness::Fresh { token, number, .. } => Some(self.truth[&(seat, token, number)].0),
            _ => None,
        };
        let parts: Vec<i64> = (0..self.holder.len()).filter_map(part).collect();
        assert_eq!(parts.len(), z.planners, "it says for how many it stands");
        let oldest = parts.into_iter().min().expect("a part");
        let figures = z.metrics.clone();
        self.truth_of_zones.insert(key, (oldest, figures));
    }

    fn wake(&mut self, p: usize) {
        self.all[p].stopped = false;
        for frame in std::mem::take(&mut self.all[p].waits) {
            self.arrives(p, frame);
        }
    }

    /// What living readers hold is what was published, and no younger than they take it for.
    fn judge(&self) {
        for p in self.all.iter().filter(|p| p.alive && !p.stopped) {
            for seat in (0..self.holder.len()).filter(|s| *s != p.seat) {
                if let Freshness::Fresh { token, number, age_us, metrics: figures } =
                    p.exchange.freshness(self.now, seat)
                {
                    let (made_at, said) = &self.truth[&(seat, token, number)];
                    assert!(age_us >= self.now - made_at, "{age_us} us, made {} us ago", self.now - made_at);
                    assert_eq!(figures, said);
                }
            }
            for z in (0..self.holder.len()).filter_map(|maker| p.exchange.zone_summary_by(self.now, maker)) {
                let (oldest, said) = &self.truth_of_zones[&(z.reporter, z.token, z.number)];
                assert!(z.age_us >= self.now - oldest, "{} us, made {} us ago", z.age_us, self.now - oldest);
                assert_eq!(z.metrics, said);
            }
        }
    }

    /// Pairs of a living reader and another's seat of which it hears nothing, by itself or with its zone.
    fn unheard(&self, readers: impl Fn(usize) -> bool, seats: impl Fn(usize) -> bool) -> usize {
        let reads = |p: &&Process| p.alive && !p.stopped && readers(p.seat);
        let lacks = |p: &Process| {
            let others = (0..self.holder.len()).filter(|s| *s != p.seat && seats(*s));
            let unheard = |s: &usize| match p.exchange.freshness(self.now, *s) {
                Freshness::Fresh { .. } => false,
                Freshness::RemoteZone { zone, .. } => {
                    zone.and_then(|zone| p.exchange.zone_summary(self.now, zone)).is_none()
                }
                _ => true,
            };
            // A zone's seats are numbered from its own number on.
            let of_zone =
                |zone: usize| p.exchange.zone_summary(self.now, zone).map_or(0, |z| z.stale_planners);
            let of_zones: usize = p.exchange.remote_zones().filter(|zone| seats(*zone)).map(of_zone).sum();
            others.filter(unheard).count() + of_zones
        };
        self.all.iter().filter(reads).map(lacks).sum()
    }

    /// The most bytes that a process sent in any whole second from then on.
    fn most_sent(&self, from: i64) -> u64 {
        self.sent.iter().filter(|((_, s), _)| *s > from / S).map(|(_, bytes)| *bytes).max().unwrap_or(0)
    }

    /// Microseconds until all know a new word that one seat says, if only with its zone's.
    fn until_all_know(&mut self, seat: usize) -> i64 {
        let p = self.holder[seat];
        self.all[p].says[WORD] += 1.0;
        let word = self.all[p].says[WORD];
        let says = |c: &Crowd| c.all[p].exchange.freshness(c.now, seat).fresh().map(|f| f.1.get(WORD));
        while says(self) != Some(word) {
            self.run(self.now + 5 * MS);
        }
        let since = self.now;
        loop {
            let knows = |p: &Process| match p.exchange.freshness(self.now, seat) {
                Freshness::Fresh { metrics: figures, .. } => figures.get(WORD) >= word,
                Freshness::RemoteZone { zone: Some(zone), .. } => {
                    p.exchange.zone_summary(self.now, zone).is_some_and(|z| z.metrics.get(WORD) >= word)
                }
                _ => false,
            };
            if self.all.iter().filter(|p| p.alive).all(knows) {
                return self.now - since;
            }
            assert!(self.now < since + 90 * S, "all know in time");
            self.run(self.now + 25 * MS);
        }
    }
}

/// How a crowd of so many goes, with figures that move or none that do, for some time.
fn row(seats: usize, zones: usize, bytes: Option<f64>, lively: usize) -> String {
    let config = GossipConfig::for_installation(seats, zones, bytes);
    let mut crowd = Crowd::of(seats, zones, config, lively, 7);
    crowd.step = 25 * MS;
    crowd.run(if bytes.is_some() { 6 } else { 2 } * config.zone_stale_after_us);
    crowd.judge();
    let unheard = crowd.unheard(|_| true, |_| true);
    let most = if bytes.is_some() { seats * seats / 50 } else { 0 };
    assert!(unheard <= most, "{unheard} pairs are unheard among {seats}");
    let (frames, bytes, from) = (crowd.frames, crowd.bytes, crowd.now);
    crowd.run(crowd.now + 20 * S);
    crowd.judge();
    let per_s = (crowd.now - from) as f64 / 1e6 * seats as f64;
    let (frames, bytes) = ((crowd.frames - frames) as f64 / per_s, (crowd.bytes - bytes) as f64 / per_s);
    let most = crowd.most_sent(0);
    if let Some(rate) = config.bytes_per_second {
        assert!(
            most as i64 <= rate + config.burst_bytes,
            "{most} bytes in one second, of {rate} and a burst"
        );
    }
    let times: Vec<i64> = (0..4).map(|n| crowd.until_all_know(n * seats / 4)).collect();
    let (slowest, mean) = (times.iter().max().unwrap_or(&0) / MS, times.iter().sum::<i64>() / 4 / MS);
    format!(
        "{seats:3} seats, {zones} zones, {lively:2} move: a word after {mean} ms, {slowest} ms at most; \
         {frames:.1} frames/s, {bytes:.0} bytes/s, {most} at most\n"
    )
}

/// What is known costs what changed, not what there is.
#[test]
fn the_cost_of_knowing_all() {
    let mut rows = String::new();
    for (seats, zones) in [(10, 1), (84, 1), (84, 7), (300, 7)] {
        for lively in [0, 5] {
            rows += &row(seats, zones, None, lively);
        }
    }
    for seats in [84, 300] {
        rows += &row(seats, 7, Some(4000.0), 5);
    }
    expect![[r#"
         10 seats, 1 zones,  0 move: a word after 668 ms, 725 ms at most; 15.4 frames/s, 475 bytes/s, 2713 at most
         10 seats, 1 zones,  5 move: a word after 637 ms, 725 ms at most; 15.4 frames/s, 675 bytes/s, 2814 at most
         84 seats, 1 zones,  0 move: a word after 2825 ms, 3200 ms at most; 7.6 frames/s, 496 bytes/s, 66239 at most
         84 seats, 1 zones,  5 move: a word after 2887 ms, 3200 ms at most; 7.7 frames/s, 2413 bytes/s, 59201 at most
         84 seats, 7 zones,  0 move: a word after 1875 ms, 4150 ms at most; 7.2 frames/s, 187 bytes/s, 13268 at most
         84 seats, 7 zones,  5 move: a word after 2356 ms, 5275 ms at most; 7.8 frames/s, 751 bytes/s, 12386 at most
        300 seats, 7 zones,  0 move: a word after 8831 ms, 10250 ms at most; 5.8 frames/s, 184 bytes/s, 34664 at most
        300 seats, 7 zones,  5 move: a word after 9637 ms, 11450 ms at most; 6.8 frames/s, 964 bytes/s, 36390 at most
         84 seats, 7 zones,  5 move: a word after 2581 ms, 4900 ms at most; 7.0 frames/s, 497 bytes/s, 10207 at most
        300 seats, 7 zones,  5 move: a word after 9975 ms, 11300 ms at most; 6.1 frames/s, 317 bytes/s, 10588 at most
    "#]].assert_eq(&rows);
}

#[test]
fn what_cuts_leave_unknown() {
    let seats = 60;
    let (near, far) = (|s: usize| s < 20, |s: usize| s >= 20);
    let mut crowd = Crowd::new(seats, 3);
    crowd.run(8 * S);
    // In two: each part hears itself and nothing of the other.
    for a in 0..20 {
        (20..seats).for_each(|b| crowd.cut.extend([(a, b), (b, a)]));
    }
    crowd.run(20 * S);
    crowd.judge();
    let whole = (crowd.unheard(near, near), crowd.unheard(far, far));
    assert_eq!(whole, (0, 0), "each part hears itself");
    let across = (crowd.unheard(near, far), crowd.unheard(far, near));
    assert_eq!(across, (20 * 40, 40 * 20), "and nothing of the other");
    // One way only: no question is answered over such a link, but a question shows what its asker has.
    crowd.cut.clear();
    crowd.run(30 * S);
    crowd.judge();
    assert_eq!(crowd.unheard(|_| true, |_| true), 0, "all hear all again");
    for a in 0..20 {
        (20..seats).for_each(|b| crowd.cut.extend([(a, b)]));
    }
    crowd.run(45 * S);
    crowd.judge();
    assert_eq!((crowd.unheard(near, near), crowd.unheard(far, far)), (0, 0), "each part hears itself");
    assert_eq!(crowd.unheard(far, near), 40 * 20, "nothing comes through the way that is cut");
    // One planner can say nothing to anybody, but hears what they ask.
    crowd.cut = (0..seats).map(|to| (0, to)).collect();
    crowd.run(60 * S);
    crowd.judge();
    assert_eq!(crowd.unheard(|s| s > 0, |s| s > 0), 0, "the others hear each other");
    assert_eq!(crowd.unheard(|s| s > 0, |s| s == 0), seats - 1, "and nothing of it");
}

/// Regions are cut off from each other, both ways and one: each goes on with its own and soon knows nothing of
/// the other; once they are healed all know all, and nobody sends more than it may at any time.
#[test]
fn regions_are_cut_and_return_without_a_rush() {
    let crowds = [(84, None, true), (84, None, false), (84, Some(4000.0), false), (300, Some(4000.0), true)];
    for (seats, bytes, both) in crowds {
        let config = GossipConfig::for_installation(seats, 7, bytes);
        let mut crowd = Crowd::of(seats, 7, config, 1, 11);
        crowd.step = 25 * MS;
        let (warm, few) =
            (3 * config.zone_stale_after_us, if bytes.is_some() { seats * seats / 50 } else { 0 });
        crowd.run(warm);
        let alone: Vec<usize> = (0..seats).filter(|s| crowd.region(*s) == 0).collect();
        let others: Vec<usize> = (0..seats).filter(|s| crowd.region(*s) != 0).collect();
        let (near, far) = (|s: usize| REGIONS[s % 7] == 0, |s: usize| REGIONS[s % 7] != 0);
        for &a in &alone {
            for &b in &others {
                crowd.cut.insert((a, b));
                if both {
                    crowd.cut.insert((b, a));
                }
            }
        }
        crowd.run(crowd.now + 3 * config.zone_stale_after_us / 2);
        crowd.judge();
        let own = (crowd.unheard(near, near), crowd.unheard(far, far));
        assert!(own.0 + own.1 <= few, "{own:?}: each side goes on with its own");
        let across = (crowd.unheard(near, far), crowd.unheard(far, near));
        let all = alone.len() * others.len();
        assert_eq!(across, (all, all), "nothing of the other side is taken for what is");
        crowd.cut.clear();
        let (from, before) = (crowd.now, crowd.bytes);
        crowd.run(crowd.now + 3 * config.zone_stale_after_us / 2);
        crowd.judge();
        let unheard = crowd.unheard(|_| true, |_| true);
        assert!(unheard <= few, "{unheard}: all hear all again among {seats}");
        let most = crowd.most_sent(from);
        let a_second = (crowd.bytes - before) as f64 / ((crowd.now - from) as f64 / 1e6) / seats as f64;
        match config.bytes_per_second {
            Some(rate) => assert!(most as i64 <= rate + config.burst_bytes, "{most} bytes in a second"),
            None => assert!(a_second < 700.0, "{a_second} bytes/s for the return"),
        }
    }
}

#[test]
fn quiet_is_not_unheard_and_a_successor_replaces() {
    let mut crowd = Crowd::new(12, 5);
    crowd.all[3].silent = true;
    crowd.run(8 * S);
    assert_eq!(crowd.unheard(|s| s != 3, |s| s == 3), 11, "one that says nothing is unheard, though linked");
    assert_eq!(crowd.unheard(|_| true, |s| s != 3), 0);
    // The holder of seat 5 is stopped, succeeded, and wakes with what it had to say.
    crowd.all[5].stopped = true;
    crowd.run(14 * S);
    assert_eq!(crowd.unheard(|s| s != 5, |s| s == 5), 11, "stopped");
    let token = crowd.all[5].token + 1;
    crowd.seat(5, token);
    crowd.council_tells();
    crowd.run(20 * S);
    crowd.wake(5);
    crowd.run(26 * S);
    crowd.judge();
    for p in crowd.all.iter().filter(|p| p.seat != 5) {
        let heard = p.exchange.freshness(crowd.now, 5);
        assert!(
            matches!(heard, Freshness::Fresh { token: t, .. } if t == token),
            "seat {}: {heard:?}",
            p.seat
        );
    }
    let old = &crowd.all[5].exchange;
    assert!(old.freshness(crowd.now, 5).fresh().is_some(), "what it says of itself is its own");
}

/// Everything at once, drawn.
#[test]
fn drawn_troubles_leave_nothing_false_and_all_heard_in_the_end() {
    let from_env = |name: &str| std::env::var(name).ok().and_then(|x| x.parse::<u64>().ok());
    let first = from_env("BASALTPITCH_SEED").unwrap_or(1);
    for seed in first..first + from_env("BASALTPITCH_CASES").unwrap_or(30) {
        let played = std::panic::catch_unwind(|| {
            let mut chance = Rng::with_seed(seed ^ 0xbeef);
            let seats = chance.usize(3..25);
            // Some crowds have zones, some few bytes.
            let (zones, few) = (chance.usize(1..4), chance.bool());
            let mut config = GossipConfig { flat: zones == 1, ..GossipConfig::DEFAULT };
            (config.bytes_per_second, config.burst_bytes) =
                if few { (Some(2000), 8192) } else { (None, config.burst_bytes) };
            let mut crowd = Crowd::of(seats, zones, config, 3, seed);
            for _ in 0..12 {
                let (a, b) = (chance.usize(0..crowd.all.len()), chance.usize(0..crowd.all.len()));
                match chance.u32(0..9) {
                    0 => crowd.all[a].stopped = true,
                    1 => crowd.wake(a),
                    2 => {
                        crowd.all[a].alive = false;
                    }
                    3 | 4 => {
                        let seat = crowd.all[a].seat;
                        let token = crowd.all[crowd.holder[seat]].token + 1;
                        crowd.seat(seat, token);
                    }
                    5 => crowd.council_tells(),
                    6 => drop(crowd.cut.insert((a, b))),
                    7 => crowd.late = chance.i64(0..2 * S),
                    _ => crowd.cut.clear(),
                }
                crowd.run(crowd.now + chance.i64(0..4 * S));
                crowd.judge();
            }
            // All that is wrong ends; each seat has a living holder.
            (crowd.late, crowd.cut) = (0, BTreeSet::new());
            for seat in 0..seats {
                let holder = &crowd.all[crowd.holder[seat]];
                if !holder.alive || holder.stopped {
                    let token = holder.token + 1;
                    crowd.seat(seat, token);
                }
            }
            for p in 0..crowd.all.len() {
                let holds = crowd.holder[crowd.all[p].seat] == p;
                crowd.all[p].alive &= holds;
            }
            crowd.council_tells();
            crowd.run(crowd.now + 20 * S);
            crowd.judge();
            assert_eq!(crowd.unheard(|_| true, |_| true), 0, "all hear all among {seats}");
        });
        assert!(played.is_ok(), "BASALTPITCH_SEED={seed} BASALTPITCH_CASES=1");
    }
}
