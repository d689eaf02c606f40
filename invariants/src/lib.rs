//! The auditor: judges the five rules from the traffic that machines, the register and owners saw, never from
//! a planner's own words. It shares no rule code with the planner. Times are whole microseconds of one clock,
//! that of the process in which all stand-ins live. A link to a machine may hold frames back, so each frame
//! counts when it matters: what a planner does, when it is on the machine's socket; what it can know, when
//! that is written there; what a machine does and knows, when the machine itself says or hears it.
pub mod placement;
mod priority;

use crate::placement::{PlacedAttempt, PlacementInvariant};
use basaltpitch_agent::wire::{self, AnswerKind, Body, Launch, List, Readiness, Submit};
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// A planner's life: name and epoch.
pub type Incarnation = (String, u64);

/// What the traffic is judged by.
#[derive(Clone, Debug)]
pub struct InvariantConfig {
    pub answer_grace_us: i64,
    pub drain_grace_us: i64,
    pub warm_up_us: i64,
    pub offer_window_us: i64,
    pub max_offers: usize,
    /// Frames on two sockets can be seen in another order than they were sent in, by this much.
    pub reorder_tolerance_us: i64,
    pub frameworks: HashMap<String, Framework>,
}

#[derive(Clone, Debug)]
pub struct Framework {
    /// repeatable, keyed or once-only
    pub repeats: String,
    /// keyed: all, zone or cell
    pub group: String,
    pub window_us: i64,
    /// none, machine, cell or zone
    pub spread: String,
    pub max_together: usize,
    pub priority_weight: f64,
    pub latency_objective_us: i64,
}

/// Where a machine is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    pub zone: String,
    pub cell: u32,
    pub kind: String,
    pub labels: Vec<String>,
}

/// A rule that was not kept: which task, when, and the frames that show it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    #[serde(rename = "rule")]
    pub invariant: u8,
    #[serde(rename = "at")]
    pub at_us: i64,
    pub planner: String,
    #[serde(rename = "about")]
    pub subject: String,
    #[serde(rename = "what")]
    pub description: String,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct TrafficTotals {
    #[serde(rename = "asks")]
    pub requests: usize,
    pub placed: usize,
    pub declined: usize,
    pub aborted: usize,
    /// Asks whose planner died, whose connection broke or whose owner withdrew: no answer is owed.
    pub excused: usize,
    pub launches: usize,
    #[serde(rename = "repeats")]
    pub repeated_launches: usize,
    #[serde(rename = "yes")]
    pub accepted: usize,
    pub refused: usize,
    #[serde(rename = "most_cold_offers")]
    pub max_warm_up_offers: usize,
    /// Declined for want of room when over half of its time had gone: taken in, and not worth it.
    pub missed: usize,
    /// Worth of all tasks asked for, of those placed, and of those placed within their latency goal.
    #[serde(rename = "worth_asked")]
    pub weight_requested: f64,
    #[serde(rename = "worth_placed")]
    pub weight_placed: f64,
    #[serde(rename = "worth_in_goal")]
    pub weight_in_objective: f64,
}

#[derive(Debug, Default)]
struct Ask {
    asked_at: i64,
    cores: f64,
    limit_at: i64,
    submits: usize,
    answers: Vec<(i64, i32)>,
    excused: bool,
    /// Declined for another reason than want of room.
    held_off: bool,
    framework: String,
}

/// How a launch ended, as far as the planner can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    NeverRan,
    MayHaveRun,
}

#[derive(Debug)]
struct Sent {
    at: i64,
    /// Read by a machine that had stopped reading for a while: when it was sent is not known.
    late: bool,
    machine: String,
    time_out: i64,
    end: Option<(i64, End)>,
    said_yes: bool,
    over: bool,
    over_at: i64,
    number: u64,
}

impl Sent {
    /// It has no outcome yet; one that said yes stands until it is over.
    fn stands(&self, at: i64) -> bool {
        !self.over && (self.said_yes || (self.end.is_none() && at < self.at + self.time_out))
    }
}

/// A roll, by what machines were told.
#[derive(Debug, Default)]
struct Roll {
    at_once: usize,
    since: i64,
    machines: Vec<String>,
    /// Machines that stand drained by it.
    drained: HashSet<String>,
    /// How often each was drained anew.
    turns: BTreeMap<String, usize>,
    /// When each first started anew since the roll began.
    anew: BTreeMap<String, i64>,
}

type AskId = (Incarnation, String, u64);

/// Of a hall that returns, until so long after it was back: the part of its machines that are launched on.
const RETURN: [(i64, f64); 4] = [(2_000_000, 0.0), (5_000_000, 0.1), (8_000_000, 0.3), (11_000_000, 0.6)];

/// One that must be with others counts those that stood so long ago.
const STOOD_JUST_NOW: i64 = 2_000_000;

pub struct InvariantChecker {
    config: InvariantConfig,
    laws: Vec<PlacementInvariant>,
    tasks: HashMap<(Incarnation, u64), Launch>,
    asks: BTreeMap<AskId, Ask>,
    launches: BTreeMap<AskId, Vec<Sent>>,
    by_id: HashMap<(Incarnation, u64), AskId>,
    spots: HashMap<String, Location>,
    /// When a planner was told that a machine drains or is gone, by the register and by the machine itself:
    /// each takes back its own word only.
    told: HashMap<(Incarnation, String), [Option<i64>; 2]>,
    listed: HashMap<Incarnation, HashSet<String>>,
    started: HashMap<String, i64>,
    offers: HashMap<String, Vec<i64>>,
    killed: HashMap<Incarnation, i64>,
    /// Lives whose process is stopped: it cannot answer, so it need not in time.
    stopped: HashSet<Incarnation>,
    /// By planner's name and machine: the highest epoch that the machine was greeted with, and when first.
    greeted: HashMap<(String, String), (u64, i64)>,
    /// By zone that all planners said to be lost: when it came back, and the machines launched on since.
    returns: HashMap<String, (i64, HashSet<String>)>,
    /// The roll that was begun, if any.
    roll: Option<Roll>,
    /// By planner's name: the highest epoch under which anything was launched, and when first.
    acted: HashMap<String, (u64, i64)>,
    /// From a planner's death to the first launch of its successor, in microseconds.
    takeover_times_us: Vec<i64>,
    on_conn: HashMap<u64, Vec<(AskId, usize)>>,
    /// Launches by planner and machine since its last inventory, and those that it held then.
    open_on: HashMap<(Incarnation, String), Vec<(AskId, usize)>>,
    breaches: Vec<Violation>,
    totals: TrafficTotals,
}

impl InvariantChecker {
    pub fn new(config: InvariantConfig) -> Self {
        InvariantChecker {
            config,
            laws: Vec::new(),
            tasks: HashMap::new(),
            asks: BTreeMap::new(),
            launches: BTreeMap::new(),
            by_id: HashMap::new(),
            spots: HashMap::new(),
            told: HashMap::new(),
            listed: HashMap::new(),
            started: HashMap::new(),
            offers: HashMap::new(),
            killed: HashMap::new(),
            stopped: HashSet::new(),
            greeted: HashMap::new(),
            returns: HashMap::new(),
            roll: None,
            acted: HashMap::new(),
            takeover_times_us: Vec::new(),
            on_conn: HashMap::new(),
            open_on: HashMap::new(),
            breaches: Vec::new(),
            totals: TrafficTotals::default(),
        }
    }

    fn breach(&mut self, rule: u8, at: i64, life: &Incarnation, about: &str, what: String) {
        let planner = format!("{} epoch {}", life.0, life.1);
        self.breaches.push(Violation {
            invariant: rule,
            at_us: at,
            planner,
            subject: about.to_owned(),
            description: what,
        });
    }

    /// Clauses to be judged, as rule 6.
    pub fn set_placement_invariants(&mut self, laws: Vec<PlacementInvariant>) {
        self.laws = laws;
    }

    // Facts.

    pub fn set_location(&mut self, machine: &str, spot: Location) {
        self.spots.insert(machine.to_owned(), spot);
    }

    /// A machine started and is cold from now on.
    pub fn machine_started(&mut self, at: i64, machine: &str) {
        self.started.insert(machine.to_owned(), at);
        self.offers.remove(machine);
        if let Some(roll) = &mut self.roll {
            roll.drained.remove(machine);
            if roll.machines.iter().any(|m| m == machine) {
                roll.anew.entry(machine.to_owned()).or_insert(at);
            }
        }
        self.told.retain(|(_, m), _| m != machine);
        // What ran there runs no more; what was out is judged by its connection.
        let there = self.launches.values_mut().flatten().filter(|s| s.machine == machine && s.said_yes);
        there.for_each(|s| s.over = true);
    }

    pub fn planner_killed(&mut self, at: i64, name: &str, epoch: u64) {
        let life = (name.to_owned(), epoch);
        self.excuse(at, &life);
        self.killed.insert(life, at);
    }

    /// What was asked of a planner and is not overdue need not be answered in time any more.
    fn excuse(&mut self, at: i64, life: &Incarnation) {
        for (_, ask) in self.asks.iter_mut().filter(|(id, a)| id.0 == *life && a.answers.is_empty()) {
            ask.excused |= ask.limit_at + self.config.answer_grace_us >= at;
        }
    }

    /// A planner's process is stopped: what was asked of it, or is until it wakes, may be answered late.
    pub fn planner_stopped(&mut self, at: i64, name: &str, epoch: u64) {
        let life = (name.to_owned(), epoch);
        self.excuse(at, &life);
        self.stopped.insert(life);
    }

    pub fn planner_resumed(&mut self, name: &str, epoch: u64) {
        self.stopped.remove(&(name.to_owned(), epoch));
    }

    /// A machine fell over.
    pub fn machine_overloaded(&mut self, at: i64, machine: &str) {
        let life = (String::from("all planners"), 0);
        self.breach(4, at, &life, machine, "the cold machine fell over".into());
    }

    /// The machines of a zone are back, after all planners had said that it is lost.
    pub fn zone_recovered(&mut self, at: i64, zone: &str) {
        self.returns.insert(zone.to_owned(), (at, HashSet::new()));
    }

    /// Operators begin a roll of a zone's machines.
    pub fn rolling_restart_started(&mut self, at: i64, at_once: usize, zone: &str) {
        let of_zone = self.spots.iter().filter(|(_, spot)| spot.zone == zone);
        let machines = of_zone.map(|(m, _)| m.clone()).collect();
        self.roll = Some(Roll { at_once, since: at, machines, ..Roll::default() });
    }

    /// A machine took a roll's word. Rule 8: no more than so many are drained at once, and none twice.
    pub fn rolling_restart_drained(&mut self, at: i64, machine: &str, on: bool) {
        let Some(roll) = &mut self.roll else { return };
        if !on {
            roll.drained.remove(machine);
            return;
        }
        if !roll.drained.insert(machine.to_owned()) {
            return;
        }
        let turns = roll.turns.entry(machine.to_owned()).or_default();
        *turns += 1;
        let (turns, there, most) = (*turns, roll.drained.len(), roll.at_once);
        let life = (String::from("the roll's conductor"), 0);
        if turns > 1 {
            self.breach(8, at, &life, machine, format!("drained for the {turns}. time in one roll"));
        }
        if there > most {
            self.breach(8, at, &life, machine, format!("{there} machines drained at once; at most {most}"));
        }
    }

    /// Machines of the roll that have not restarted since it began.
    pub fn machines_not_restarted(&self) -> Vec<String> {
        let Some(roll) = &self.roll else { return Vec::new() };
        roll.machines.iter().filter(|m| !roll.anew.contains_key(*m)).cloned().collect()
    }

    /// From the roll's beginning to the last restart that it was to bring, in microseconds.
    pub fn rolling_restart_us(&self) -> Option<i64> {
        let roll = self.roll.as_ref()?;
        Some(roll.anew.values().max()? - roll.since)
    }

    /// From each planner's death to the first launch of its successor, in microseconds.
    pub fn takeover_times_us(&self) -> &[i64] {
        &self.takeover_times_us
    }

    // What owners saw.

    pub fn client_sent(&mut self, at: i64, life: &Incarnation, s: &Submit) {
        let id = (life.clone(), s.key.clone(), s.ask);
        let ask = self.asks.entry(id).or_default();
        if ask.submits == 0 {
            ask.limit_at = at + s.time_left_us;
            (ask.asked_at, ask.cores) = (at, s.cores);
            ask.framework = s.framework.clone();
            ask.excused = self.stopped.contains(life);
            self.totals.requests += 1;
        }
        ask.submits += 1;
    }

    /// An owner took its asking back: no answer is owed, though one may come.
    pub fn client_withdrew(&mut self, life: &Incarnation, key: &str, ask: u64) {
        if let Some(ask) = self.asks.get_mut(&(life.clone(), key.to_owned(), ask)) {
            ask.excused = true;
        }
    }

    /// An owner's connection ended before the answer came.
    pub fn client_disconnected(&mut self, life: &Incarnation, key: &str, ask: u64) {
        self.client_withdrew(life, key, ask);
    }

    pub fn client_received(&mut self, at: i64, life: &Incarnation, body: &Body) {
        let Body::Answer(a) = body else { return };
        let id = (life.clone(), a.key.clone(), a.ask);
        let Some(ask) = self.asks.get_mut(&id) else {
            return self.breach(
                1,
                at,
                life,
                &a.key,
                format!("an answer to asking {} that was never made", a.ask),
            );
        };
        ask.held_off |= a.not_allowed || a.reason.contains("may still run");
        ask.answers.push((at, a.kind));
        let (first, answers, submits) = (ask.answers[0], ask.answers.len(), ask.submits);
        let (limit_at, excused) = (ask.limit_at, ask.excused);
        if answers > submits || first.1 != a.kind {
            let what = format!("asking {}: answer {answers} of kind {} to {submits} submits; the first, of kind {}, came at {}", a.ask, a.kind, first.1, first.0);
            self.breach(1, at, life, &a.key, what);
        }
        if answers == 1 && !excused && at > limit_at + self.config.answer_grace_us {
            let late = (at - limit_at) / 1000;
            self.breach(
                1,
                at,
                life,
                &a.key,
                format!("asking {}: answered {late} ms after its time limit", a.ask),
            );
        }
        if answers == 1 {
            match AnswerKind::try_from(a.kind) {
                Ok(AnswerKind::Placed) => self.totals.placed += 1,
                Ok(AnswerKind::Declined) => self.totals.declined += 1,
                _ => self.totals.aborted += 1,
            }
        }
    }

    // What the register and machines said to a planner.

    pub fn registry_sent(&mut self, at: i64, life: &Incarnation, list: &List) {
        let mut there = HashSet::new();
        for e in &list.entries {
            let of = (life.clone(), e.machine.clone());
            let ready = e.readiness == Readiness::Ready as i32;
            self.say(of, 0, (!ready).then_some(at));
            if ready {
                there.insert(e.machine.clone());
            }
        }
        let known = self.listed.entry(life.clone()).or_default();
        if list.whole {
            let gone: Vec<String> = known.difference(&there).cloned().collect();
            *known = there;
            gone.into_iter().for_each(|m| self.say((life.clone(), m), 0, Some(at)));
        } else {
            known.extend(there);
        }
    }

    /// What one of the two said last; the first time of a word that is repeated counts.
    fn say(&mut self, of: (Incarnation, String), source: usize, drains_since: Option<i64>) {
        let word = &mut self.told.entry(of).or_default()[source];
        *word = drains_since.map(|at| word.unwrap_or(at));
    }

    /// A frame of a machine's, where nothing holds any back: said and told in one.
    pub fn machine_sent_and_delivered(&mut self, at: i64, machine: &str, life: &Incarnation, body: &Body) {
        self.machine_sent(at, machine, life, body);
        self.machine_frame_delivered(at, machine, life, body);
    }

    /// A frame of a machine's is on the socket: the planner can know of it. What it does before that rests
    /// on less, whatever the machine has long decided.
    pub fn machine_frame_delivered(&mut self, at: i64, machine: &str, life: &Incarnation, body: &Body) {
        match body {
            Body::Drain(d) => self.say((life.clone(), machine.to_owned()), 1, d.on.then_some(at)),
            Body::Inventory(i) => {
                self.say((life.clone(), machine.to_owned()), 1, i.draining.then_some(at));
            }
            Body::Refused(x) => self.at_launch(life, x.id, |s| {
                s.end = s.end.or(Some((at, End::NeverRan)));
                // A cancelled launch that is turned off after all is known not to have run from then on.
                if !s.said_yes {
                    s.end = s.end.map(|e| (e.0, End::NeverRan));
                }
            }),
            Body::Failed(wire::Failed { id, .. }) | Body::Ended(wire::Ended { id, .. }) => {
                self.at_launch(life, *id, |s| s.end = s.end.or(Some((at, End::MayHaveRun))));
            }
            _ => {}
        }
    }

    /// A frame that a machine said to a planner, though it may still be held back.
    pub fn machine_sent(&mut self, at: i64, machine: &str, life: &Incarnation, body: &Body) {
        match body {
            Body::Inventory(i) => {
                self.judge_greeting(at, machine, life);
                let there: HashSet<u64> =
                    i.held.iter().filter_map(|h| Some(h.launch.as_ref()?.id?.number)).collect();
                // A launch that was read before and is not in it has ended, or was never taken in: it runs no
                // more.
                let open = self.open_on.remove(&(life.clone(), machine.to_owned())).unwrap_or_default();
                for (ask, number) in open {
                    let sent = &mut self.launches.get_mut(&ask).expect("kept together")[number];
                    if !sent.over && !sent.said_yes && !there.contains(&sent.number) {
                        sent.end = Some((sent.end.map_or(at, |e| e.0), End::NeverRan));
                    } else if !sent.over {
                        self.open_on
                            .entry((life.clone(), machine.to_owned()))
                            .or_default()
                            .push((ask, number));
                    }
                }
            }
            Body::Yes(x) => {
                self.totals.accepted += 1;
                self.judge_fence(at, machine, life, x.id);
                self.at_launch(life, x.id, |s| s.said_yes = true);
            }
            Body::Refused(x) => {
                self.totals.refused += 1;
                self.at_launch(life, x.id, |s| (s.over, s.over_at) = (true, at));
            }
            Body::Failed(wire::Failed { id, .. }) | Body::Ended(wire::Ended { id, .. }) => {
                self.at_launch(life, *id, |s| (s.over, s.over_at) = (true, at));
            }
            _ => {}
        }
    }

    /// A frame that a machine heard from a planner.
    pub fn machine_received(&mut self, at: i64, machine: &str, life: &Incarnation, body: &Body) {
        if let Body::Hello(_) = body {
            let newest = self.greeted.entry((life.0.clone(), machine.to_owned())).or_default();
            if life.1 > newest.0 {
                *newest = (life.1, at);
            }
        }
    }

    fn at_launch(&mut self, life: &Incarnation, id: Option<wire::LaunchId>, change: impl Fn(&mut Sent)) {
        let Some(id) = id else { return };
        let of = (life.0.clone(), id.epoch);
        let Some(ask) = self.by_id.get(&(of, id.number)) else { return };
        let sent = self.launches.get_mut(ask).and_then(|all| all.iter_mut().find(|s| s.number == id.number));
        if let Some(sent) = sent {
            change(sent);
        }
    }

    /// A connection between a planner and a machine ended: what was out on it may have run.
    pub fn machine_disconnected(&mut self, at: i64, conn: u64) {
        for (ask, number) in self.on_conn.remove(&conn).unwrap_or_default() {
            let all = self.launches.get_mut(&ask).expect("kept together");
            let sent = &mut all[number];
            sent.end = sent.end.or(Some((at, End::MayHaveRun)));
        }
    }

    /// A frame of a planner's is on a machine's socket. `late`: nothing had been read there for a while.
    pub fn machine_socket_read(
        &mut self,
        at: i64,
        machine: &str,
        conn: u64,
        life: &Incarnation,
        body: &Body,
        late: bool,
    ) {
        match body {
            Body::Launch(l) => self.launched(at, machine, conn, life, l, late),
            Body::Cancel(x) => self.at_launch(life, x.id, |s| s.end = s.end.or(Some((at, End::MayHaveRun)))),
            Body::Stop(x) => self.at_launch(life, x.id, |s| s.end = s.end.or(Some((at, End::MayHaveRun)))),
            _ => {}
        }
    }

    fn launched(&mut self, at: i64, machine: &str, conn: u64, life: &Incarnation, l: &Launch, late: bool) {
        let Some(id) = l.id else { return };
        if self.by_id.contains_key(&(life.clone(), id.number)) {
            self.totals.repeated_launches += 1;
            return;
        }
        self.totals.launches += 1;
        let ask = (life.clone(), l.key.clone(), l.ask);
        self.by_id.insert((life.clone(), id.number), ask.clone());
        self.tasks.insert((life.clone(), id.number), l.clone());
        self.judge_drain(at, machine, life, l, late);
        self.judge_cold(at, machine, life);
        self.judge_return(at, machine, life);
        self.judge_spread(at, machine, life, l);
        self.judge_laws(at, machine, life, l);
        let all = self.launches.entry(ask.clone()).or_default();
        all.push(Sent {
            at,
            late,
            machine: machine.to_owned(),
            time_out: l.time_out_us,
            end: None,
            said_yes: false,
            over: false,
            over_at: 0,
            number: id.number,
        });
        let number = all.len() - 1;
        let newest = self.acted.entry(life.0.clone()).or_default();
        if life.1 > newest.0 {
            let died = self.killed.get(&(life.0.clone(), newest.0));
            self.takeover_times_us.extend(died.map(|died| at - died));
            *newest = (life.1, at);
        }
        self.open_on.entry((life.clone(), machine.to_owned())).or_default().push((ask.clone(), number));
        self.on_conn.entry(conn).or_default().push((ask, number));
    }

    /// Rule 7: a machine takes a planner in under no epoch that is lower than one it was greeted with before.
    fn judge_greeting(&mut self, at: i64, machine: &str, life: &Incarnation) {
        let newest = self.greeted.get(&(life.0.clone(), machine.to_owned())).copied().unwrap_or_default();
        if life.1 < newest.0 && at > newest.1 + self.config.reorder_tolerance_us {
            let what = format!("taken in {} ms after epoch {} was", (at - newest.1) / 1000, newest.0);
            self.breach(7, at, life, machine, what);
        }
    }

    /// Rule 7: what an older holder of a planner's name launches after its successor acted takes no effect.
    fn judge_fence(&mut self, at: i64, machine: &str, life: &Incarnation, id: Option<wire::LaunchId>) {
        let Some(id) = id else { return };
        let of = (life.0.clone(), id.epoch);
        let Some((newest, since)) = self.acted.get(&of.0).copied().filter(|n| id.epoch < n.0) else { return };
        let ask = self.by_id.get(&(of.clone(), id.number));
        let sent = ask.and_then(|ask| self.launches.get(ask)?.iter().find(|s| s.number == id.number));
        if let Some(sent) = sent.filter(|s| !s.late && s.at > since + self.config.reorder_tolerance_us) {
            let (number, after) = (sent.number, (sent.at - since) / 1000);
            let what =
                format!("launch {number} taken on {machine}, sent {after} ms after epoch {newest} acted");
            self.breach(7, at, &of, machine, what);
        }
    }

    /// Rule 3.
    fn judge_drain(&mut self, at: i64, machine: &str, life: &Incarnation, l: &Launch, late: bool) {
        let told = self
            .told
            .get(&(life.clone(), machine.to_owned()))
            .and_then(|t| t.iter().flatten().min().copied());
        if let Some(told) =
            told.filter(|t| !late && at > t + self.config.drain_grace_us + self.config.reorder_tolerance_us)
        {
            let what = format!(
                "launched on {machine} {} ms after the planner was told that it drains or is gone",
                (at - told) / 1000
            );
            self.breach(3, at, life, &l.key, what);
        }
    }

    /// Rule 4: all planners together.
    fn judge_cold(&mut self, at: i64, machine: &str, life: &Incarnation) {
        let Some(&started) = self.started.get(machine) else { return };
        if at >= started + self.config.warm_up_us {
            return;
        }
        let from = at - self.config.offer_window_us;
        let offers = self.offers.entry(machine.to_owned()).or_default();
        offers.push(at);
        let within = offers.iter().rev().take_while(|&&o| o > from).count();
        self.totals.max_warm_up_offers = self.totals.max_warm_up_offers.max(within);
        if within > self.config.max_offers {
            let what = format!(
                "{within} offers within {} ms, {} ms after its start",
                self.config.offer_window_us / 1000,
                (at - started) / 1000
            );
            self.breach(4, at, life, machine, what);
        }
    }

    /// Rule 10: launches go to no more of a returned hall's machines than its step allows. How far the return
    /// is at the most follows from when the hall came back; it may be slower.
    fn judge_return(&mut self, at: i64, machine: &str, life: &Incarnation) {
        let Some(zone) = self.spots.get(machine).map(|s| s.zone.clone()) else { return };
        let Some((back, seen)) = self.returns.get_mut(&zone) else { return };
        let Some((_, part)) =
            RETURN.iter().find(|(until, _)| at < *back + until - self.config.reorder_tolerance_us)
        else {
            return;
        };
        seen.insert(machine.to_owned());
        let (of, there) = (self.spots.values().filter(|s| s.zone == zone).count(), seen.len());
        let most = (part * of as f64).ceil() as usize;
        if there > most {
            let after = (at - *back) / 1000;
            let what = format!(
                "launches on {there} machines of {zone} {after} ms after it was back; at most {most}"
            );
            self.breach(10, at, life, machine, what);
        }
    }

    /// Rule 5: this planner's tasks of a service in one place, this launch included.
    fn judge_spread(&mut self, at: i64, machine: &str, life: &Incarnation, l: &Launch) {
        let Some(f) = self.config.frameworks.get(&l.framework).filter(|f| f.spread != "none") else { return };
        let spot = self.spots.get(machine).cloned().unwrap_or_default();
        let near = |other: &str| {
            let there = self.spots.get(other).cloned().unwrap_or_default();
            match f.spread.as_str() {
                "machine" => other == machine,
                "cell" => there.cell == spot.cell && there.zone == spot.zone,
                _ => there.zone == spot.zone,
            }
        };
        let counts = |s: &Sent| s.stands(at) && near(&s.machine);
        let mine = self.launches.iter().filter(|(id, _)| id.0 == *life);
        let of_service =
            |s: &&Sent| self.tasks.get(&(life.clone(), s.number)).is_some_and(|x| x.service == l.service);
        let together = 1 + mine.flat_map(|(_, all)| all).filter(|s| counts(s)).filter(of_service).count();
        let most = f.max_together;
        if together > most {
            let what = format!(
                "{together} tasks of service {} in one {} with {machine}; at most {most}",
                l.service, f.spread
            );
            self.breach(5, at, life, &l.key, what);
        }
    }

    /// Clauses, by what stands of this planner's tasks now. One that must be with others may have been sent
    /// while they still stood.
    fn judge_laws(&mut self, at: i64, machine: &str, life: &Incarnation, l: &Launch) {
        if self.laws.is_empty() {
            return;
        }
        let nowhere = Location::default();
        let spot = self.spots.get(machine).unwrap_or(&nowhere);
        let mine = self.launches.iter().filter(|(id, _)| id.0 == *life).flat_map(|(_, all)| all);
        let standing = |s: &Sent| s.stands(at) || (s.over && at < s.over_at + STOOD_JUST_NOW);
        let all: Vec<PlacedAttempt> = mine
            .filter(|s| standing(s))
            .filter_map(|s| {
                let task = self.tasks.get(&(life.clone(), s.number))?;
                let spot = self.spots.get(&s.machine).unwrap_or(&nowhere);
                Some(PlacedAttempt { task, machine: &s.machine, spot, stands: !s.over })
            })
            .collect();
        let broken: Vec<String> = self
            .laws
            .iter()
            .filter_map(|law| Some(format!("clause {}: {}", law.name, law.broken(l, machine, spot, &all)?)))
            .collect();
        for what in broken {
            self.breach(6, at, life, &l.key, format!("launched on {machine}: {what}"));
        }
    }

    /// The day is over: what can only be judged from the whole is judged now.
    pub fn finish(mut self, now: i64) -> (Vec<Violation>, TrafficTotals) {
        let asks = std::mem::take(&mut self.asks);
        for ((life, key, ask), a) in &asks {
            if a.excused && a.answers.is_empty() {
                self.totals.excused += 1;
            }
            if a.answers.is_empty() && !a.excused && now > a.limit_at + self.config.answer_grace_us {
                self.breach(1, a.limit_at, life, key, format!("asking {ask}: no answer"));
            }
        }
        self.judge_worth(&asks);
        let launches = std::mem::take(&mut self.launches);
        for (id, sent) in &launches {
            if let Some(ask) = asks.get(id) {
                self.judge_task(id, ask, sent);
            }
        }
        self.breaches.sort_by_key(|b| b.at_us);
        (self.breaches, self.totals)
    }

    /// Rules 1 and 2 over all launches of one asking.
    fn judge_task(&mut self, (life, key, number): &AskId, ask: &Ask, sent: &[Sent]) {
        let slack = self.config.reorder_tolerance_us;
        let answered = ask.answers.first();
        let Some(f) = self.config.frameworks.get(&ask.framework).cloned() else { return };
        for (i, s) in sent.iter().enumerate() {
            if let Some(&(at, _)) = answered.filter(|a| !s.late && s.at > a.0 + slack) {
                let what = format!(
                    "asking {number}: launch {} reached {} {} ms after the final answer",
                    s.number,
                    s.machine,
                    (s.at - at) / 1000
                );
                self.breach(1, s.at, life, key, what);
            }
            for before in &sent[..i] {
                let patience = before.at + before.time_out;
                let (end, how) = before.end.unwrap_or((patience, End::MayHaveRun));
                let (end, how) = if patience < end {
                    (patience, if how == End::NeverRan { how } else { End::MayHaveRun })
                } else {
                    (end, how)
                };
                if !s.late && s.at + slack < end {
                    let what = format!(
                        "asking {number}: launch {} on {} while launch {} is out on {}",
                        s.number, s.machine, before.number, before.machine
                    );
                    self.breach(2, s.at, life, key, what);
                } else if how == End::MayHaveRun {
                    self.judge_repeat((life, key, *number), &f, before, s);
                }
            }
        }
        let harmless = f.repeats == "repeatable" || (f.repeats == "keyed" && f.group == "all");
        let declined = answered.filter(|a| a.1 == AnswerKind::Declined as i32);
        if let (Some(&(at, _)), false) = (declined, harmless) {
            let doubt = sent.iter().find(|s| s.end.is_none_or(|e| e.1 == End::MayHaveRun));
            if let Some(s) = doubt {
                let what = format!(
                    "asking {number}: declined, though launch {} on {} may have run",
                    s.number, s.machine
                );
                self.breach(2, at, life, key, what);
            }
        }
    }

    /// A further launch after one that may have run.
    fn judge_repeat(
        &mut self,
        (life, key, number): (&Incarnation, &str, u64),
        f: &Framework,
        before: &Sent,
        s: &Sent,
    ) {
        let spot = |m: &str| self.spots.get(m).cloned().unwrap_or_default();
        let (a, b) = (spot(&before.machine), spot(&s.machine));
        let in_group = match f.group.as_str() {
            "all" => true,
            "zone" => a.zone == b.zone,
            _ => a == b,
        };
        let why = match f.repeats.as_str() {
            "repeatable" => return,
            "keyed" if !in_group => "outside the group that drops its repeats",
            "keyed" if !s.late && s.at > before.at + f.window_us + self.config.reorder_tolerance_us => {
                "after the window in which repeats are known"
            }
            "keyed" => return,
            _ => "though it must never run twice",
        };
        let what = format!(
            "asking {number}: launch {} on {}, {why}; launch {} on {} may have run",
            s.number, s.machine, before.number, before.machine
        );
        self.breach(2, s.at, life, key, what);
    }
}
