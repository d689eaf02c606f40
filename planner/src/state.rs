//! One planner without I/O: frames and the passing of time come in, frames to send go out. It holds the
//! placing module with the ledger in its hands, knows peers by small indices, and decides nothing itself:
//! the module places, the ledger says what an answer means, `standing` whether a machine is offered work,
//! `dial` when to connect. What owners, machines, clauses and the directory bring has a room each; all
//! share this one record. Times are whole microseconds.
mod clauses;
mod machines;
mod owners;
mod parts;
mod tenants;

use crate::bounds::{Bounds, Stands};
use crate::door::{Door, Refusal};
use crate::hands::{Due, Hands, Job, Key, Wish};
use crate::recording::Recorder;
use crate::standing::{Link, Standing};
use crate::tenancy::{Asked, Learnt, Task, Tenancy};
use crate::told::{outcome_number, ready_number, Told};
use basaltpitch::host::{number, text, Belief, Given, Outcome, Readiness};
use basaltpitch::logic::Planner;
use basaltpitch_agent::dial::{Dials, Pace};
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_constraints::deciding::State;
use basaltpitch_constraints::{Clause, Machine as Place, Task as Facts};
use basaltpitch_interner::{fnv1a_64, RefCountedIds};
use basaltpitch_ledger::{
    Act, Answer, Asking, CopyState, Ending, Held, Kind, Launch, Ledger, Life, Phase, Promises, Reason,
    PROMISES,
};
use basaltpitch_tenants::{Change, Sweep};
use basaltpitch_zone_failover::Stage;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// The register among the peers that are dialled.
pub const REGISTER: usize = usize::MAX;
/// Services and machines that nothing holds leave their indices after this time.
const KEEP_IDS: i64 = 600_000_000;
const ROUND: i64 = 1_000_000;
/// The line of the door is drawn anew each so often.
const LINE: i64 = 250_000;
/// Rows that one answer holds at the most.
pub(crate) const MOST_ROWS: usize = 1000;
/// Probes whose answer is waited for; a further one is not sent.
const MOST_PROBES: usize = 100_000;

/// What the service must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// A frame to a machine; with a mark, a launch whose sending must be known.
    Machine {
        machine: usize,
        body: Body,
        mark: Option<u64>,
    },
    Register(Body),
    /// A frame to an owner or operator.
    Conn {
        conn: u64,
        body: Body,
    },
    /// Connect to a peer, with the number of this link.
    Dial {
        peer: usize,
        link: u64,
        name: Rc<str>,
        address: Rc<str>,
    },
    Hang {
        machine: usize,
        why: &'static str,
    },
    /// Sweep a server of the directory; one that is under way is given up.
    Sweep(Task),
    /// What of the directory is to outlive this planner: all of it, or only when it was last heard in full.
    Remember {
        at: i64,
        all: Option<Vec<u8>>,
    },
}

/// Who a planner is.
#[derive(Clone, Debug)]
pub struct Who {
    pub name: String,
    pub epoch: u64,
    pub seed: u64,
    /// Where the register listens.
    pub register: String,
}

struct Machine {
    address: Rc<str>,
    labels: Vec<String>,
    standing: Standing,
    link: u64,
    held: bool,
}

pub struct Core {
    pub who: Who,
    placing: Planner<Hands>,
    recorder: Option<Recorder>,
    names: Names,
    tenancy: Tenancy,
    /// On whose behalf each connection asks.
    logins: HashMap<u64, Rc<str>>,
    /// An asking that is declined at the door.
    at_door: Option<AtDoor>,
    /// Whether askings are worth starting, where that is looked at.
    pub(crate) door: Option<Door>,
    /// Where each clause stands, in words for answers.
    clauses: Vec<String>,
    machines: RefCountedIds<Rc<str>>,
    known: Vec<Option<Machine>>,
    services: RefCountedIds<u64>,
    /// The service of each task of the module's.
    service_of: Vec<usize>,
    dials: Dials,
    links: u64,
    register_up: bool,
    watching: bool,
    pushes: bool,
    probes: BTreeMap<u64, usize>,
    probed: u64,
    connect_us: i64,
    /// By hall: launches, and launches refused or failed, since the start.
    hall_counts: Vec<[u64; 2]>,
    /// A report that came with the frame being handled.
    report: Vec<f64>,
    /// The planner's part of the fleet, where it has one.
    part: Option<parts::Parts>,
    out: VecDeque<Out>,
    pub counts: Counts,
}

/// What operators are told of a planner's work, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    pub submitted: u64,
    pub launched: u64,
    pub placed: u64,
    pub declined: u64,
    pub aborted: u64,
    pub found: u64,
    pub lost: u64,
}

/// An asking that is declined at the door: how old that is which the refusal rests on, and more words for it.
struct AtDoor {
    ask: u64,
    stale_us: i64,
    words: Option<String>,
}

/// Names of the installation and their indices.
struct Names {
    frameworks: Vec<(String, Kind)>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Cores and memory of each kind of machine.
    sizes: Vec<(f64, f64)>,
    /// By framework: the kind of machine that its tasks are bound to.
    kind_of: Vec<Option<usize>>,
}

impl Names {
    fn new(given: &Given) -> Self {
        let list = |of: &dyn Fn(usize) -> String| listed(given, of);
        let kind = |i: usize| match text(given, &format!("classes.{i}.semantics")) {
            "retryable" => Kind::Repeatable,
            "dedup" => Kind::Keyed,
            _ => Kind::OnceOnly,
        };
        let frameworks = list(&|i| format!("classes.{i}.name"));
        let bound = |i| number(given, &format!("familyInfo.classKind.{i}")).filter(|k| *k >= 0.0);
        let kinds = list(&|i| format!("machineTypes.{i}"));
        let of_kind = |name: &str, i: usize| number(given, &format!("familyInfo.{name}.{i}")).unwrap_or(0.0);
        Names {
            sizes: (0..kinds.len()).map(|i| (of_kind("cpuOfKind", i), of_kind("sizeMemory", i))).collect(),
            kind_of: (0..frameworks.len()).map(|i| bound(i).map(|k| k as usize)).collect(),
            frameworks: frameworks.into_iter().enumerate().map(|(i, name)| (name, kind(i))).collect(),
            zones: list(&|i| format!("localities.{i}")),
            kinds,
        }
    }
}

/// Texts under numbered names, up to the first that is missing.
pub(crate) fn listed(given: &Given, of: &dyn Fn(usize) -> String) -> Vec<String> {
    (0..).map(|i| text(given, &of(i)).to_owned()).take_while(|n| !n.is_empty()).collect()
}

fn place(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

pub fn kind_words(kind: Kind) -> &'static str {
    match kind {
        Kind::Repeatable => "repeatable",
        Kind::Keyed => "keyed",
        Kind::OnceOnly => "once-only",
    }
}

impl Core {
    pub fn new(who: Who, given: Given, now: i64, record: Option<Box<dyn std::io::Write + Send>>) -> Self {
        let settle_us = number(&given, "familyInfo.makeSureUs").map_or(PROMISES.settle_us, |n| n as i64);
        let ledger = Ledger::new(who.epoch, now, Promises { settle_us, ..PROMISES });
        let hands = Hands::new(now, ledger, record.is_some());
        let names = Names::new(&given);
        let tenancy = Tenancy::Listed(listed(&given, &|i| format!("tenants.{i}.name")));
        let connect_us = number(&given, "permissions.connectTimeoutUs").unwrap_or(250_000.0) as i64;
        let pushes = text(&given, "discovery") != "ask";
        let recorder = record.map(|out| Recorder::start(out, who.seed, now, &given));
        let mut dials = Dials::new(who.seed, now, Pace::USUAL);
        dials.want(REGISTER, now);
        let mut core = Core {
            placing: Planner::new(hands, who.seed, now, given),
            who,
            recorder,
            names,
            tenancy,
            logins: HashMap::new(),
            at_door: None,
            door: None,
            clauses: Vec::new(),
            machines: RefCountedIds::default(),
            known: Vec::new(),
            services: RefCountedIds::default(),
            service_of: Vec::new(),
            dials,
            links: 0,
            register_up: false,
            watching: false,
            pushes,
            probes: BTreeMap::new(),
            probed: 0,
            connect_us,
            hall_counts: Vec::new(),
            report: Vec::new(),
            part: None,
            out: VecDeque::new(),
            counts: Counts::default(),
        };
        core.placing.host.timers.set(now + ROUND, Due::Round);
        if let (Some(recorder), Some(calls)) = (&mut core.recorder, &mut core.placing.host.calls) {
            recorder.calls(calls);
        }
        core.settle();
        core
    }

    /// The connect time-out, in microseconds.
    pub fn connect_us(&self) -> i64 {
        self.connect_us
    }

    pub fn next_out(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// The time at which `clock` has something to do.
    pub fn next_at(&self) -> i64 {
        let dial = self.dials.next_at().unwrap_or(i64::MAX);
        self.placing.host.timers.next_at().unwrap_or(i64::MAX).min(dial).min(self.tenancy.next_at())
    }

    /// Lets time pass: timers come due, peers are dialled.
    pub fn clock(&mut self, now: i64) {
        self.set_clock(now);
        while let Some((_, due)) = self.placing.host.timers.next_due(now) {
            match due {
                Due::Module(token) => self.tell(Told::Timer { token }),
                Due::Launch(launch) => self.placing.host.on_ledger(|l, acts| l.timed_out(launch, acts)),
                Due::Probe(n) => self.probe_failed(n, Outcome::TimedOut),
                Due::Round => self.round(),
                Due::Line => self.draw_line(),
                Due::Part => self.part_due(),
            }
            self.settle();
        }
        while let Some(peer) = self.dials.next(now) {
            self.dial(peer);
        }
        if let Some(learnt) = self.tenancy.learnt() {
            let task = learnt.next(now);
            learnt.say(now);
            self.out.extend(task.map(Out::Sweep));
        }
    }

    // The door.

    /// From now on askings that are not worth starting are declined at once.
    pub fn weigh(&mut self, now: i64, door: Door) {
        self.door = Some(door);
        self.placing.host.timers.set(now + LINE, Due::Line);
    }

    pub fn door(&self) -> Option<&Door> {
        self.door.as_ref()
    }

    fn draw_line(&mut self) {
        let now = self.now();
        self.placing.host.timers.set(now + LINE, Due::Line);
        let Some(mut door) = self.door.take() else { return };
        let ready = self.machines().filter(|(_, s, _)| s.readiness() == Readiness::Ready);
        let fleet = self.fleet_over_part();
        // The line is that of the whole fleet, of which a part is a sample.
        door.draw(now, ready.map(|x| Belief { cores: fleet * x.2.cores, ucac: fleet * x.2.ucac, ..x.2 }));
        self.door = Some(door);
    }

    pub(crate) fn set_clock(&mut self, now: i64) {
        let now = now.max(self.placing.host.now);
        self.placing.host.now = now;
        self.placing.clock(now);
    }

    fn now(&self) -> i64 {
        self.placing.host.now
    }

    fn dial(&mut self, peer: usize) {
        self.links += 1;
        let link = self.links;
        if peer == REGISTER {
            let address = self.who.register.as_str().into();
            return self.out.push_back(Out::Dial { peer, link, name: "register".into(), address });
        }
        let Some(machine) = self.known[peer].as_mut() else { return self.dials.forget(peer) };
        (machine.standing.link, machine.link) = (Link::Dialling, link);
        let (name, address) = (self.machines.ids.id(peer).clone(), machine.address.clone());
        self.out.push_back(Out::Dial { peer, link, name, address });
    }

    // What was decided is carried out.

    fn tell(&mut self, told: Told) {
        let now = self.now();
        told.tell(&mut self.placing).expect("numbers that this code wrote itself");
        if let Some(recorder) = &mut self.recorder {
            recorder.told(now, &told, self.placing.host.take_answers());
        }
        if let (Some(recorder), Some(calls)) = (&mut self.recorder, &mut self.placing.host.calls) {
            recorder.calls(calls);
        }
    }

    /// Carries out all acts and wishes, in order, until none is left.
    fn settle(&mut self) {
        loop {
            if let Some(act) = self.placing.host.acts.pop_front() {
                self.carry_out(act);
            } else if let Some(wish) = self.placing.host.wishes.pop_front() {
                self.fulfil(wish);
            } else {
                break;
            }
        }
        let now = self.now();
        for task in self.placing.host.ledger.settled() {
            self.services.release(self.service_of[task], now);
            if let Some(bounds) = &mut self.placing.host.bounds {
                bounds.leave(task);
            }
        }
    }

    /// The service of a task's job, held under its index while the module knows the task.
    fn enter_service(&mut self, task: usize) -> Option<(Job, usize)> {
        let now = self.now();
        let ledger = &self.placing.host.ledger;
        let job = ledger.record(ledger.key_of(task)?)?.job.clone();
        let s = self.services.acquire(job.service, now);
        if let (Some(bounds), Some(facts)) = (&mut self.placing.host.bounds, &job.facts) {
            bounds.enter(task, facts);
        }
        if task >= self.service_of.len() {
            self.service_of.resize(task + 1, 0);
        }
        self.service_of[task] = s;
        self.tell(Told::Service { s, number: job.service });
        Some((job, s))
    }

    fn carry_out(&mut self, act: Act<Key>) {
        match act {
            Act::Wanted { task, left_us } => {
                let Some((job, s)) = self.enter_service(task) else { return };
                let (f, tenant, asks) = (job.framework, job.tenant, (job.cores, job.memory));
                self.task_waits(task, &job, left_us);
                self.tell(Told::Wanted { task, f, tenant, s, asks, left: left_us });
            }
            Act::Found { task, machine } => {
                self.counts.found += 1;
                let Some((job, s)) = self.enter_service(task) else { return };
                let (f, tenant, asks) = (job.framework, job.tenant, (job.cores, job.memory));
                self.tell(Told::Found { task, f, tenant, s, asks, m: machine });
            }
            Act::Accepted { task } => self.tell(Told::Accepted { task }),
            Act::Expired { task } => {
                self.task_waits_no_more(task);
                self.tell(Told::Expired { task });
            }
            Act::Resolved { task, outcome, why, over } => {
                let (end, report) = (outcome_number(outcome), std::mem::take(&mut self.report));
                self.task_resolved(task, outcome, over);
                self.tell(Told::Resolved { task, end, why, over, report });
            }
            Act::Launch { key, launch, machine, time_out_us } => {
                self.launch(key, launch, machine, time_out_us)
            }
            Act::Cancel { launch, machine } => {
                self.send_machine(machine, Body::Cancel(wire::Cancel { id: wire_id(launch) }))
            }
            Act::Stop { launch, machine } => {
                self.send_machine(machine, Body::Stop(wire::Stop { id: wire_id(launch) }))
            }
            Act::Noted { launch, machine } => {
                self.send_machine(machine, Body::Noted(wire::Noted { id: wire_id(launch) }))
            }
            Act::Answer { key, ask, owner, answer } => self.answer(key, ask, owner, answer),
            // Counted by the hands when they heard of it.
            Act::Began { .. } | Act::Over { .. } => {}
            Act::Life { key, ask, owner, how } => {
                self.counts.lost += u64::from(how == Life::Lost);
                let how = match how {
                    Life::Ended => wire::LifeHow::LifeEnded,
                    Life::Lost => wire::LifeHow::LifeLost,
                    Life::Evicted => wire::LifeHow::LifeEvicted,
                    Life::Moved => wire::LifeHow::LifeMoved,
                    Life::Stopped => wire::LifeHow::LifeStopped,
                };
                if owner != 0 {
                    let life = wire::Life { key: key.to_string(), ask, how: how as i32 };
                    self.out.push_back(Out::Conn { conn: owner, body: Body::Life(life) });
                }
            }
        }
    }

    fn send_machine(&mut self, machine: usize, body: Body) {
        if self.known[machine].as_ref().is_some_and(|x| x.standing.link.stands()) {
            self.out.push_back(Out::Machine { machine, body, mark: None });
        }
    }

    fn launch(&mut self, key: Key, launch: Launch, machine: usize, time_out_us: i64) {
        self.counts.launched += 1;
        self.count_at(machine, 0);
        if let Some(task) = self.placing.host.ledger.record(&key).and_then(|r| r.task) {
            self.task_launched(task);
        }
        let now = self.now();
        let link = self.known[machine].as_ref().map(|x| x.standing.link);
        let record = self.placing.host.ledger.record(&key);
        let (Some(Link::Well | Link::Suspect), Some(record)) = (link, record) else {
            return self.placing.host.on_ledger(|l, acts| l.unsent(launch, acts));
        };
        let job = &record.job;
        let (tenant, tenant_id) = job.tenant.map(|t| self.tenancy.called(t)).unwrap_or_default();
        let body = Body::Launch(wire::Launch {
            id: wire_id(launch),
            key: key.to_string(),
            ask: record.ask,
            framework: self.names.frameworks[job.framework].0.clone(),
            tenant,
            tenant_id,
            service: job.service,
            cores: job.cores,
            memory: job.memory,
            runs_for_us: job.runs_for_us,
            time_out_us,
            kind: kind_words(record.kind).to_owned(),
        });
        tracing::debug!(
            task = &*key,
            launch = launch.number,
            machine = &**self.machines.ids.id(machine),
            "launch"
        );
        self.out.push_back(Out::Machine { machine, body, mark: Some(launch.number) });
        self.placing.host.timers.set(now + time_out_us, Due::Launch(launch));
    }

    fn answer(&mut self, key: Key, ask: u64, owner: u64, answer: Answer) {
        let mut a = wire::Answer { key: key.to_string(), ask, ..wire::Answer::default() };
        let rests_on = self.placing.host.ledger.record(&key).filter(|r| r.ask == ask);
        a.stale_us = rests_on.map_or(0, |r| r.job.stale_us);
        if let Some(door) = &mut self.door {
            let (now, asked) = (self.placing.host.now, (key.clone(), ask));
            match answer {
                Answer::Placed { .. } => door.placed(now, &asked),
                Answer::Declined { reason: Reason::NoRoom, .. } => door.missed(now, &asked),
                _ => door.over(&asked),
            }
        }
        match answer {
            Answer::Placed { machine } => {
                self.counts.placed += 1;
                a.kind = wire::AnswerKind::Placed as i32;
                a.machine = self.machines.ids.id(machine).to_string();
            }
            Answer::Declined { retry_after_us, reason } => {
                self.counts.declined += 1;
                a.kind = wire::AnswerKind::Declined as i32;
                (a.retry_after_us, a.reason) = (retry_after_us, reason.words().to_owned());
                a.not_allowed = matches!(reason, Reason::NotAllowed(_));
                match (reason, self.at_door.as_mut().filter(|d| d.ask == ask)) {
                    (Reason::NotAllowed(_) | Reason::NoMachine | Reason::NoSlack, Some(door)) => {
                        a.stale_us = door.stale_us;
                        a.reason = door.words.take().unwrap_or(a.reason);
                    }
                    (Reason::NoRoom, _) => {
                        self.short_of_room();
                        let facts = self.placing.host.ledger.record(&key).and_then(|r| r.job.facts.clone());
                        if let Some(why) = facts.and_then(|f| self.kept_out(&f)) {
                            a.reason = format!("{}; {why}", a.reason);
                        }
                    }
                    _ => {}
                }
            }
            Answer::Aborted { reason } => {
                self.counts.aborted += 1;
                a.kind = wire::AnswerKind::Aborted as i32;
                a.reason = reason.words().to_owned();
            }
        }
        tracing::debug!(task = &*key, ask, kind = a.kind, machine = a.machine, reason = a.reason, "answer");
        if owner != 0 {
            self.out.push_back(Out::Conn { conn: owner, body: Body::Answer(a) });
        }
    }

    fn fulfil(&mut self, wish: Wish) {
        let now = self.now();
        match wish {
            Wish::Probe(m) => {
                self.probed += 1;
                let n = self.probed;
                let stands = self.known[m].as_ref().is_some_and(|x| x.standing.link.stands());
                self.probes.insert(n, m);
                if !stands || self.probes.len() > MOST_PROBES {
                    return self.probe_failed(n, Outcome::ConnectFailed);
                }
                self.send_machine(m, Body::Probe(wire::Probe { number: n }));
                self.placing.host.timers.set(now + self.connect_us, Due::Probe(n));
            }
            Wish::Watch(on) if self.register_up => {
                self.watching = on;
                self.watch(on);
            }
            Wish::Fetch if self.register_up => {
                self.out.push_back(Out::Register(Body::Fetch(wire::Fetch::default())))
            }
            Wish::Watch(_) | Wish::Fetch => self.tell(Told::ListLost),
        }
    }

    /// Once a second: records and ids that nothing needs leave.
    fn round(&mut self) {
        let now = self.now();
        self.placing.host.timers.set(now + ROUND, Due::Round);
        self.placing.host.on_ledger(|l, _| l.forget());
        while let Some(s) = self.services.pop_expired(now, KEEP_IDS) {
            self.tell(Told::ServiceLeft { s });
        }
        while let Some(m) = self.machines.pop_expired(now, KEEP_IDS) {
            self.known[m] = None;
            self.part_forgets(m);
            self.tell(Told::MachineLeft { m });
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.flush();
        }
    }

    // What operators see.

    /// Askings that wait for an answer.
    pub fn open(&self) -> usize {
        self.ledger().open()
    }

    /// Copies of which it is not known whether they run.
    pub fn doubts(&self) -> usize {
        let unsure = |c: &&basaltpitch_ledger::Copy| c.state != CopyState::Held;
        self.ledger().records().map(|(_, r)| r.copies.iter().filter(unsure).count()).sum()
    }

    pub(crate) fn ledger(&self) -> &Ledger<Key, Job> {
        &self.placing.host.ledger
    }

    pub(crate) fn framework_name(&self, f: usize) -> &str {
        &self.names.frameworks[f].0
    }

    pub(crate) fn machine_name(&self, m: usize) -> &str {
        self.machines.ids.id(m)
    }

    pub(crate) fn clock_now(&self) -> i64 {
        self.now()
    }

    /// Each known machine: its index, how it stands, and what the module believes of it.
    pub(crate) fn machines(&self) -> impl Iterator<Item = (usize, &Standing, basaltpitch::host::Belief)> {
        let known = self.known.iter().enumerate().filter_map(|(m, x)| Some((m, x.as_ref()?)));
        known
            .filter(|(_, x)| x.standing.told.is_some())
            .map(|(m, x)| (m, &x.standing, self.placing.belief(m)))
    }

    pub(crate) fn tenancy(&self) -> &Tenancy {
        &self.tenancy
    }

    pub(crate) fn is_watching(&self) -> bool {
        self.watching
    }
}

fn wire_id(launch: Launch) -> Option<wire::LaunchId> {
    Some(wire::LaunchId { epoch: launch.epoch, number: launch.number })
}
