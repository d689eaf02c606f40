//! A made-up network under a made-up clock: one planner's core, machines with the protocol's own holder,
//! links that can be cut, delayed and reordered across reconnects. Every frame is shown to the auditor in the
//! order in which the planner wrote or read it, so that it judges without slack.
#![allow(dead_code)]
use basaltpitch::host::{Settings, Value};
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState, AttemptTable};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::wire::{self, Body, EndedHow, Entry, Launch, LaunchId, Readiness};
use basaltpitch_invariants::{
    Framework, InvariantChecker, InvariantConfig, Location, TrafficTotals, Violation,
};
use basaltpitch_planner::state::{Identity, Output, PlannerState, REGISTRY};
use basaltpitch_subsetting::SubsetConfig;
use std::collections::{BTreeMap, HashMap, VecDeque};

pub const SMALL: &str = "small";
pub const BIG: &str = "big";
pub const ONCE: &str = "once";

/// Settings of three frameworks, one of each kind, on machines of 16 cores.
pub fn given() -> Settings {
    let text = "classes.0.name=small classes.0.semantics=retryable classes.0.objectiveUs=600000 \
        classes.0.deadlineUs=6000000 classes.0.worth=1 classes.1.name=big classes.1.semantics=dedup \
        classes.1.group=zone classes.1.objectiveUs=5000000 classes.1.deadlineUs=9000000 classes.1.worth=5 \
        classes.1.windowUs=6000000 classes.2.name=once classes.2.semantics=fragile classes.2.objectiveUs=2000000 \
        classes.2.deadlineUs=8000000 classes.2.worth=3 discovery=push familyInfo.admitCores=2 \
        familyInfo.admitMemory=1.5 familyInfo.calmLevel.0=1 familyInfo.calmLevel.1=0.8 familyInfo.calmLevel.2=1 \
        familyInfo.fadeSpan.0=1 familyInfo.fadeSpan.1=0.15 familyInfo.fadeSpan.2=1 familyInfo.classKind.0=-1 \
        familyInfo.classKind.1=-1 familyInfo.classKind.2=-1 familyInfo.classSpread.2=machine \
        familyInfo.mostTogether.2=2 familyInfo.coldSends=4 familyInfo.cpuOfKind.0=16 \
        familyInfo.priorityByClass.1=2 familyInfo.sizeMemory.0=32 familyInfo.makeSureUs=3000000 \
        familyInfo.yesAt=accepted nInstances=1 permissions.attemptsCap=3 permissions.cancelling=1 \
        permissions.connectTimeoutUs=250000 rules.coldUs=8000000 rules.fallUs=1000000 localities.0=hall-a \
        localities.1=hall-b machineTypes.0=std stats.fields.0=x0 stats.fields.1=x1";
    let pairs = text.split_whitespace().filter_map(|pair| pair.split_once('='));
    let value = |text: &str| text.parse().map_or_else(|_| Value::Text(text.into()), Value::Number);
    pairs.map(|(name, text)| (name.to_owned(), value(text))).collect()
}

pub fn terms() -> InvariantConfig {
    let framework = |kind: &str, group: &str, window, spread: &str| Framework {
        idempotency: kind.into(),
        group: group.into(),
        window_us: window,
        spread: spread.into(),
        max_together: 2,
        priority_weight: 1.0,
        latency_objective_us: 1_000_000,
    };
    InvariantConfig {
        answer_grace_us: 0,
        drain_grace_us: 0,
        warm_up_us: 8_000_000,
        offer_window_us: 1_000_000,
        max_offers: 4,
        reorder_tolerance_us: 0,
        frameworks: HashMap::from([
            (SMALL.into(), framework("repeatable", "all", 0, "none")),
            (BIG.into(), framework("keyed", "zone", 6_000_000, "none")),
            (ONCE.into(), framework("once-only", "all", 0, "machine")),
        ]),
    }
}

/// A link in the air, in both directions, in order.
#[derive(Default)]
pub struct Wire {
    pub to_machine: VecDeque<Body>,
    pub to_planner: VecDeque<Body>,
    /// The machine's hello has been read by the planner.
    pub up: bool,
    pub hello_to_machine: bool,
    /// The planner's end, and the machine's.
    pub cut: bool,
    pub dead: bool,
}

pub struct Mac {
    pub name: String,
    pub zone: usize,
    pub started: i64,
    pub holder: AttemptTable<String, Launch>,
    pub line: VecDeque<AttemptId>,
    pub runs: Vec<AttemptId>,
    pub draining: bool,
    pub refuses: bool,
    pub reachable: bool,
    pub cell: u32,
    pub labels: Vec<String>,
    pub links: BTreeMap<u64, Wire>,
}

pub struct Net {
    pub now: i64,
    pub core: PlannerState,
    pub epoch: u64,
    pub machines: Vec<Mac>,
    pub index: HashMap<usize, usize>,
    pub auditor: InvariantChecker,
    pub answers: HashMap<(u64, String, u64), Vec<(i64, i32)>>,
    pub log: String,
    /// Starts of once-only copies that have not ended, by key.
    pub standing: HashMap<String, u32>,
    pub twice: Option<String>,
    /// Starts that the planner has heard of.
    starts: HashMap<usize, i64>,
    /// Links in the order in which the planner wants them.
    dials: VecDeque<(usize, u64)>,
    /// For whom tasks are submitted, and what the planner said last of its directory.
    pub tenant: String,
    pub sweeps: Vec<basaltpitch_planner::tenant_access::DirectorySyncTask>,
    pub memories: Vec<(i64, Option<Vec<u8>>)>,
    pub heard: Vec<wire::Answer>,
    pub told: Vec<String>,
    pub launched: Vec<wire::Launch>,
    /// Of a planner that works a part, and what was sent to the register.
    pub part: Option<SubsetConfig>,
    pub asked: Vec<Body>,
}

fn wire_id(id: AttemptId) -> Option<LaunchId> {
    Some(LaunchId { epoch: id.0, number: id.1 })
}

fn who(epoch: u64) -> Identity {
    Identity { name: "p".into(), epoch, seed: 7, registry_address: "register".into() }
}

impl Net {
    pub fn new(machines: usize) -> Self {
        let mut net = Net::bare(machines);
        net.list(true);
        net.flow(40);
        net
    }

    /// Nothing has been listed yet.
    pub fn bare(machines: usize) -> Self {
        let now = 100_000_000;
        let of = |m: usize| Mac {
            name: format!("m{m}"),
            zone: m % 2,
            started: 1_000_000,
            holder: AttemptTable::default(),
            line: VecDeque::new(),
            runs: Vec::new(),
            draining: false,
            refuses: false,
            reachable: true,
            cell: 0,
            labels: Vec::new(),
            links: BTreeMap::new(),
        };
        let mut net = Net {
            now,
            core: PlannerState::new(who(1), given(), now, None),
            epoch: 1,
            machines: (0..machines).map(of).collect(),
            index: HashMap::new(),
            auditor: InvariantChecker::new(terms()),
            answers: HashMap::new(),
            log: String::new(),
            standing: HashMap::new(),
            twice: None,
            dials: VecDeque::new(),
            tenant: String::new(),
            sweeps: Vec::new(),
            memories: Vec::new(),
            heard: Vec::new(),
            told: Vec::new(),
            launched: Vec::new(),
            part: None,
            asked: Vec::new(),
            starts: HashMap::new(),
        };
        for m in &net.machines {
            let spot = Location { zone: m.zone.to_string(), cell: 0, ..Location::default() };
            net.auditor.set_location(&m.name, spot);
        }
        net.carry();
        net
    }

    pub fn life(&self) -> (String, u64) {
        ("p".into(), self.epoch)
    }

    fn note(&mut self, text: String) {
        self.log += &format!("{} ms  {text}\n", (self.now - 100_000_000) / 1000);
    }

    /// From now on the planner works a part.
    pub fn use_subset(&mut self, terms: SubsetConfig) {
        self.part = Some(terms.clone());
        self.core.use_subset(self.now, terms);
    }

    /// The register tells the planner how all machines are.
    pub fn list(&mut self, whole: bool) {
        self.tell_list(whole, 0, |_| true);
    }

    /// A list of some machines, in answer to a question.
    pub fn tell_list(&mut self, whole: bool, question: u64, of: impl Fn(usize) -> bool) {
        let entry = |m: &Mac| Entry {
            machine: m.name.clone(),
            address: m.name.clone(),
            kind: "std".into(),
            zone: ["hall-a", "hall-b"][m.zone].into(),
            cell: m.cell,
            readiness: if m.draining { Readiness::Draining } else { Readiness::Ready } as i32,
            started_us: m.started,
            cores_left: 0.0,
            memory_left: 0.0,
            labels: m.labels.clone(),
        };
        let entries = self.machines.iter().enumerate().filter(|x| of(x.0)).map(|x| entry(x.1)).collect();
        let list = wire::List { whole, stamp: 0, entries, question };
        self.auditor.registry_sent(self.now, &self.life(), &list);
        if question == 0 {
            (0..self.machines.len()).for_each(|m| self.start_heard(m));
            self.core.registry_up(self.now);
        }
        self.core.registry_frame(self.now, Body::List(list)).expect("a list in order");
        self.carry();
    }

    /// Lets time pass; the core's timers come due on the way.
    pub fn pass(&mut self, us: i64) {
        let until = self.now + us;
        loop {
            let at = self.core.next_at().max(self.now);
            if at > until {
                break;
            }
            self.now = at;
            self.core.advance_clock(at);
            self.carry();
        }
        self.now = until;
        self.core.advance_clock(until);
        self.carry();
    }

    /// What the core wants done goes onto the wires.
    fn carry(&mut self) {
        while let Some(out) = self.core.next_output() {
            match out {
                Output::Dial { peer: REGISTRY, .. } => {}
                Output::Registry(body) => self.asked.push(body),
                Output::Dial { peer, link, name, .. } => {
                    let m = self.machines.iter().position(|m| *m.name == *name).expect("a listed machine");
                    self.index.insert(peer, m);
                    self.dials.push_back((peer, link));
                }
                Output::Machine { machine, body, mark } => {
                    let m = self.index[&machine];
                    let mac = &mut self.machines[m];
                    let last = mac.links.iter_mut().rev().find(|(_, w)| w.up && !w.cut);
                    match (last, mark) {
                        (Some((&link, w)), _) => {
                            w.to_machine.push_back(body.clone());
                            let name = mac.name.clone();
                            if let Body::Launch(l) = &body {
                                self.launched.push(l.clone());
                                self.note(format!("launch {} of {} on {name}", l.id.unwrap().number, l.key));
                            }
                            let (now, life) = (self.now, self.life());
                            self.auditor.machine_socket_read(now, &name, conn(m, link), &life, &body, false);
                        }
                        (None, Some(number)) => self.core.launch_unsent(self.now, number),
                        _ => {}
                    }
                }
                Output::SyncDirectory(task) => self.sweeps.push(task),
                Output::StoreTenants { at, snapshot: all } => self.memories.push((at, all)),
                Output::Client { body, .. } => {
                    let (now, life) = (self.now, self.life());
                    self.auditor.client_received(now, &life, &body);
                    match body {
                        Body::Answer(a) => {
                            self.heard.push(a.clone());
                            let words = ["?", "placed", "declined", "aborted"][a.kind as usize];
                            let on = if a.machine.is_empty() {
                                String::new()
                            } else {
                                format!(" on {}", a.machine)
                            };
                            let why =
                                if a.reason.is_empty() { String::new() } else { format!(" ({})", a.reason) };
                            self.note(format!("{} asking {}: {words}{on}{why}", a.key, a.ask));
                            self.answers.entry((self.epoch, a.key, a.ask)).or_default().push((now, a.kind));
                        }
                        Body::Told(t) => self.told.push(t.json),
                        Body::Life(l) => self.note(format!("{} asking {}: life {}", l.key, l.ask, l.how)),
                        _ => {}
                    }
                }
                Output::Disconnect { machine, .. } => {
                    let m = self.index[&machine];
                    let up = self.machines[m].links.iter().rev().find(|(_, w)| !w.cut).map(|x| *x.0);
                    if let Some(link) = up {
                        self.cut(m, link, 0);
                    }
                }
            }
        }
    }

    fn peer(&self, m: usize) -> usize {
        *self.index.iter().find(|x| *x.1 == m).expect("a machine that was dialled").0
    }

    /// One attempt to connect succeeds or fails.
    pub fn dial(&mut self) {
        let Some((peer, link)) = self.dials.pop_front() else { return };
        let m = self.index[&peer];
        if self.machines[m].reachable {
            self.machines[m].links.insert(link, Wire::default());
        } else {
            self.core.machine_down(self.now, peer, link, &[]);
            self.carry();
        }
    }

    /// The planner's end of a link is gone. The last `unsent` frames to the machine were not handed over.
    pub fn cut(&mut self, m: usize, link: u64, unsent: usize) {
        let Some(w) = self.machines[m].links.get_mut(&link).filter(|w| !w.cut) else { return };
        w.cut = true;
        w.to_planner.clear();
        let mut numbers = Vec::new();
        for _ in 0..unsent {
            if let Some(Body::Launch(l)) = w.to_machine.pop_back() {
                numbers.push(l.id.unwrap().number);
            }
        }
        let text =
            format!("link {link} to {} is cut, {} launches unsent", self.machines[m].name, numbers.len());
        self.note(text);
        let id = |number: &u64| wire_id((self.epoch, *number));
        for number in &numbers {
            // To the auditor: a launch that no machine ever reads is one that it refused.
            let refused = wire::Refused { id: id(number), key: String::new(), why: 0, report: None };
            let (now, life, name) = (self.now, self.life(), self.machines[m].name.clone());
            self.auditor.machine_sent_and_delivered(now, &name, &life, &Body::Refused(refused));
        }
        self.auditor.machine_disconnected(self.now, conn(m, link));
        let peer = self.peer(m);
        self.core.machine_down(self.now, peer, link, &numbers);
        self.carry();
    }

    /// The machine's end of its newest standing link.
    pub fn newest(&self, m: usize) -> Option<u64> {
        self.machines[m].links.iter().rev().find(|(_, w)| !w.cut).map(|x| *x.0)
    }

    /// The machine reads one frame of a link, perhaps of an old one.
    pub fn machine_reads(&mut self, m: usize, link: u64) {
        let epoch = self.epoch;
        let mac = &mut self.machines[m];
        let Some(w) = mac.links.get_mut(&link).filter(|w| !w.dead) else { return };
        if !w.hello_to_machine {
            w.hello_to_machine = true;
            if !mac.holder.admit_link(&"p".into(), epoch, link) {
                w.dead = true;
                return;
            }
            mac.line.retain(|id| mac.holder.state(&"p".into(), *id).is_some());
            let (endings, held) = mac.holder.inventory(&"p".into());
            for (id, say) in endings {
                w.to_planner.push_back(said(id, say));
            }
            let held = held.into_iter().map(|(_, state, launch)| wire::Held {
                launch: Some(launch),
                accepted: state != AttemptState::Queued,
                running: state == AttemptState::Running,
            });
            w.to_planner
                .push_back(Body::Inventory(wire::Inventory { held: held.collect(), draining: mac.draining }));
            return;
        }
        let Some(body) = w.to_machine.pop_front() else { return };
        if !mac.holder.is_current(&"p".into(), epoch, link) {
            return;
        }
        let id = |id: Option<LaunchId>| id.map(|i| (i.epoch, i.number)).unwrap();
        let mut ended = None;
        let answer = match body {
            Body::Launch(l) => {
                let id = (l.id.unwrap().epoch, l.id.unwrap().number);
                let (say, new) = mac.holder.launch(&"p".into(), id, l);
                if new {
                    mac.line.push_back(id);
                }
                (id, say)
            }
            Body::Cancel(x) => {
                let id = id(x.id);
                let say = mac.holder.cancel(&"p".into(), id);
                mac.line.retain(|l| *l != id);
                (id, say)
            }
            Body::Stop(x) => {
                let id = id(x.id);
                match mac.holder.state(&"p".into(), id) {
                    Some(AttemptState::Accepted | AttemptState::Running) => {
                        ended = Some(id);
                        (id, AttemptReply::Nothing)
                    }
                    _ => {
                        mac.line.retain(|l| *l != id);
                        (id, mac.holder.cancel(&"p".into(), id))
                    }
                }
            }
            Body::Noted(x) => {
                mac.holder.acknowledge(&"p".into(), id(x.id));
                return;
            }
            Body::Probe(x) => {
                let report = Some(wire::Report { values: vec![16.0, 32.0] });
                self.say(m, Body::Probed(wire::Probed { number: x.number, why: 0, report }));
                return;
            }
            _ => return,
        };
        if answer.1 != AttemptReply::Nothing {
            self.say(m, said(answer.0, answer.1));
        }
        if let Some(id) = ended {
            self.ends(m, id, EndedHow::EndedStopped);
        }
    }

    /// A frame from the machine, on its newest link if the machine still takes that for standing.
    fn say(&mut self, m: usize, body: Body) {
        let mac = &mut self.machines[m];
        let epoch = self.epoch;
        let current = |link: &u64| mac.holder.is_current(&"p".into(), epoch, *link);
        let link = mac.links.keys().rev().find(|l| current(l)).copied();
        if let Some(w) = link.and_then(|l| mac.links.get_mut(&l)).filter(|w| !w.cut && !w.dead) {
            w.to_planner.push_back(body);
        }
    }

    /// The planner reads one frame of a link.
    pub fn planner_reads(&mut self, m: usize, link: u64) {
        let started = self.machines[m].started;
        let (name, peer) = (self.machines[m].name.clone(), self.peer(m));
        let Some(w) = self.machines[m].links.get_mut(&link).filter(|w| !w.cut) else { return };
        if !w.up {
            w.up = true;
            self.start_heard(m);
            if !self.core.machine_up(self.now, peer, link, &name, started as u64) {
                self.cut(m, link, 0);
            }
            return self.carry();
        }
        let Some(body) = w.to_planner.pop_front() else { return };
        let (now, life) = (self.now, self.life());
        self.auditor.machine_sent_and_delivered(now, &name, &life, &body);
        self.core.machine_frame(now, peer, link, body).expect("a frame in order");
        self.carry();
    }

    /// The machine looks at the first offer in its line.
    pub fn look(&mut self, m: usize) {
        let mac = &mut self.machines[m];
        let Some(id) = mac.line.pop_front() else { return };
        if mac.holder.state(&"p".into(), id) != Some(AttemptState::Queued) {
            return;
        }
        let l = mac.holder.payload(&"p".into(), id).expect("queued").clone();
        if mac.draining || mac.refuses {
            mac.holder.forget(&"p".into(), id);
            let refused =
                wire::Refused { id: wire_id(id), key: l.key, why: refusal_reason::NOT_HERE, report: None };
            return self.say(m, Body::Refused(refused));
        }
        mac.holder.set_state(&"p".into(), id, AttemptState::Running);
        mac.runs.push(id);
        if l.kind == "once-only" {
            let n = self.standing.entry(l.key.clone()).or_insert(0);
            *n += 1;
            if *n > 1 {
                self.twice =
                    Some(format!("{} runs twice, on {} too, at {}", l.key, self.machines[m].name, self.now));
            }
        }
        self.say(m, said(id, AttemptReply::Accepted));
    }

    pub fn ends(&mut self, m: usize, id: AttemptId, how: EndedHow) {
        let mac = &mut self.machines[m];
        mac.runs.retain(|r| *r != id);
        if let Some(l) = mac.holder.payload(&"p".into(), id).filter(|l| l.kind == "once-only") {
            *self.standing.entry(l.key.clone()).or_insert(1) -= 1;
        }
        mac.holder.set_state(&"p".into(), id, AttemptState::Ended(how as u8));
        self.say(m, said(id, AttemptReply::Ended(how as u8)));
    }

    /// The machine starts anew with nothing.
    pub fn restart(&mut self, m: usize) {
        self.now += 1;
        let runs = std::mem::take(&mut self.machines[m].runs);
        for id in runs {
            if let Some(l) =
                self.machines[m].holder.payload(&"p".into(), id).filter(|l| l.kind == "once-only")
            {
                *self.standing.entry(l.key.clone()).or_insert(1) -= 1;
            }
        }
        let mac = &mut self.machines[m];
        (mac.holder, mac.started, mac.draining) = (AttemptTable::default(), self.now, false);
        mac.line.clear();
        mac.links.values_mut().for_each(|w| w.dead = true);
        let name = mac.name.clone();
        self.note(format!("{name} starts anew"));
    }

    /// The planner hears of a machine's start; offers that it made before went to a life that is over.
    fn start_heard(&mut self, m: usize) {
        let (started, name) = (self.machines[m].started, self.machines[m].name.clone());
        if self.starts.insert(m, started) != Some(started) {
            self.auditor.machine_started(started, &name);
        }
    }

    pub fn drain(&mut self, m: usize, on: bool) {
        self.machines[m].draining = on;
        let machine = self.machines[m].name.clone();
        self.note(format!("{machine} drains: {on}"));
        self.say(m, Body::Drain(wire::Drain { machine, on, ..wire::Drain::default() }));
    }

    /// The planner is killed; its successor starts with nothing.
    pub fn kill(&mut self) {
        self.auditor.planner_killed(self.now, "p", self.epoch);
        self.note("the planner is killed".into());
        self.epoch += 1;
        self.core = PlannerState::new(who(self.epoch), given(), self.now, None);
        if let Some(terms) = self.part.clone() {
            self.core.use_subset(self.now, terms);
        }
        self.index.clear();
        self.dials.clear();
        for m in 0..self.machines.len() {
            let links: Vec<u64> = self.machines[m].links.keys().copied().collect();
            for link in links {
                self.auditor.machine_disconnected(self.now, conn(m, link));
            }
            // Link numbers start anew with the epoch; what was in the air is gone with its sockets.
            self.machines[m].links.clear();
        }
        self.carry();
        self.list(true);
    }

    pub fn submit(&mut self, framework: &str, key: &str, ask: u64, left_us: i64) {
        let submit = wire::Submit {
            key: key.into(),
            ask,
            framework: framework.into(),
            tenant: self.tenant.clone(),
            service: key.len() as u64,
            cores: if framework == BIG { 4.0 } else { 1.0 },
            memory: 2.0,
            runs_for_us: 1_000_000,
            time_left_us: left_us,
        };
        self.note(format!("{key} asking {ask}"));
        let life = self.life();
        self.auditor.client_sent(self.now, &life, &submit);
        self.core.client_frame(self.now, 1, Body::Submit(submit)).expect("a submit in order");
        self.carry();
    }

    /// A question or an operator's word on the connection; an error is what the planner ends it with.
    pub fn ask(&mut self, body: Body) -> Result<String, String> {
        basaltpitch_planner::view::client_frame(&mut self.core, self.now, 1, body, || None)
            .map_err(|error| error.to_string())?;
        self.carry();
        Ok(self.told.pop().unwrap_or_default())
    }

    pub fn withdraw(&mut self, key: &str, ask: u64) {
        let life = self.life();
        self.auditor.client_withdrew(&life, key, ask);
        let w = wire::Withdraw { key: key.into(), ask };
        self.core.client_frame(self.now, 1, Body::Withdraw(w)).expect("a withdrawal in order");
        self.carry();
    }

    /// All goes well for so many rounds of a millisecond: links come up, frames flow, machines look at
    /// offers.
    pub fn flow(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.pass(1_000);
            while !self.dials.is_empty() {
                self.dial();
            }
            for m in 0..self.machines.len() {
                for link in self.machines[m].links.keys().copied().collect::<Vec<_>>() {
                    if !self.machines[m].reachable {
                        continue;
                    }
                    for _ in 0..8 {
                        self.machine_reads(m, link);
                        self.planner_reads(m, link);
                    }
                    // A dead end is found out in the end.
                    if self.machines[m].links.get(&link).is_some_and(|w| w.dead && !w.cut) {
                        self.cut(m, link, 0);
                    }
                }
                self.look(m);
            }
        }
    }

    pub fn finish(self) -> (Vec<Violation>, TrafficTotals) {
        self.auditor.finish(self.now)
    }
}

fn conn(m: usize, link: u64) -> u64 {
    (m as u64) << 32 | link
}

fn said(id: AttemptId, say: AttemptReply) -> Body {
    let (id, key) = (wire_id(id), String::new());
    match say {
        AttemptReply::Accepted => Body::Yes(wire::Yes { id, key, report: None }),
        AttemptReply::Failed => Body::Failed(wire::Failed { id, key, report: None }),
        AttemptReply::Ended(how) => Body::Ended(wire::Ended { id, key, how: i32::from(how), report: None }),
        AttemptReply::NotHere | AttemptReply::Nothing => {
            Body::Refused(wire::Refused { id, key, why: refusal_reason::NOT_HERE, report: None })
        }
    }
}
