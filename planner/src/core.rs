//! One planner without I/O: frames and the passing of time come in, frames to send go out. It holds the
//! placing module with the ledger in its hands, knows peers by small indices, and decides nothing itself: the
//! module places, the ledger says what an answer means, `standing` whether a machine is offered work, `dial`
//! when to connect. Times are whole microseconds.
use crate::bounds::{Bounds, Stands};
use crate::door::{Door, Refusal};
use crate::hands::{Due, Hands, Job, Key, Wish};
use crate::recording::Recorder;
use crate::standing::{Link, Standing};
use crate::tenancy::{Asked, Learnt, Task, Tenancy};
use crate::told::{outcome_number, ready_number, Told};
use basaltpitch::host::{number, text, Given, Outcome, Readiness};
use basaltpitch::logic::Planner;
use basaltpitch_agent::dial::{Dials, Pace};
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_clauses::deciding::State;
use basaltpitch_clauses::{Clause, Machine as Place, Task as Facts};
use basaltpitch_halls::Stage;
use basaltpitch_indices::{number_of, Lodgers};
use basaltpitch_ledger::{
    Act, Answer, Asking, CopyState, Ending, Held, Kind, Launch, Ledger, Life, Phase, Promises, Reason,
    PROMISES,
};
use basaltpitch_tenants::{Change, Sweep};
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
    machines: Lodgers<Rc<str>>,
    known: Vec<Option<Machine>>,
    services: Lodgers<u64>,
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
        Names {
            frameworks: frameworks.into_iter().enumerate().map(|(i, name)| (name, kind(i))).collect(),
            zones: list(&|i| format!("localities.{i}")),
            kinds: list(&|i| format!("machineTypes.{i}")),
        }
    }
}

/// Texts under numbered names, up to the first that is missing.
fn listed(given: &Given, of: &dyn Fn(usize) -> String) -> Vec<String> {
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
            machines: Lodgers::default(),
            known: Vec::new(),
            services: Lodgers::default(),
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
        door.draw(now, ready.map(|x| x.2));
        self.door = Some(door);
    }

    // Clauses.

    /// From now on clauses bind, with a name and place of each for answers. To be called before anything else
    /// comes.
    pub fn bind(&mut self, clauses: Vec<Clause>, places: Vec<String>) {
        self.clauses = places;
        if !clauses.is_empty() {
            self.placing.host.bounds = Some(Bounds::new(clauses));
        }
    }

    /// What clauses see of a task, where there are clauses.
    fn facts(&self, framework: usize, tenant: Option<usize>, service: u64, key: &str) -> Option<Rc<Facts>> {
        let bound = self.placing.host.bounds.is_some();
        bound.then(|| self.facts_anyway(framework, tenant, service, key))
    }

    fn facts_anyway(&self, framework: usize, tenant: Option<usize>, service: u64, key: &str) -> Rc<Facts> {
        let tenant = tenant.map(|t| self.tenancy.called(t).0).unwrap_or_default();
        let framework = self.names.frameworks[framework].0.clone();
        Rc::new(Facts { framework, tenant, service, key: key.to_owned() })
    }

    fn clause_names(&self, clauses: &[usize]) -> String {
        let names: Vec<&str> = clauses.iter().map(|&c| self.clauses[c].as_str()).collect();
        names.join(", ")
    }

    /// Why no machine could ever take a task, if none could.
    fn never(&mut self, facts: Option<&Rc<Facts>>) -> Option<String> {
        match self.placing.host.bounds.as_mut()?.stands(facts?) {
            Stands::Never { clauses, smallest } => {
                let names = self.clause_names(&clauses);
                let more = if smallest { "" } else { "; not found smaller" };
                Some(format!("no machine that is known could ever meet together: {names}{more}"))
            }
            _ => None,
        }
    }

    /// Clauses in place of those that bind: what they break of what runs. Taken whole, or not at all.
    fn rebind(&mut self, clauses: Vec<(Clause, String)>, take: bool) -> Value {
        let (clauses, places): (Vec<Clause>, Vec<String>) = clauses.into_iter().unzip();
        // Machines are told to the new ones as they are told to those that bind.
        let before = self.placing.host.bounds.replace(Bounds::new(clauses));
        for m in 0..self.known.len() {
            if let Some(ready) = self.known[m].as_ref().map(|x| x.standing.readiness()) {
                self.bound_machine(m, ready);
            }
        }
        let Some(mut bounds) = std::mem::replace(&mut self.placing.host.bounds, before) else {
            return Value::Null;
        };
        let mut all = Vec::new();
        for (key, r) in self.ledger().records() {
            let facts = self.facts_anyway(r.job.framework, r.job.tenant, r.job.service, key);
            let copies: Vec<(Launch, usize)> = r.copies.iter().map(|c| (c.launch, c.machine)).collect();
            all.push((key.clone(), facts, copies, r.task));
        }
        for (_, facts, copies, _) in &all {
            copies.iter().for_each(|c| bounds.began(c.0, c.1, facts));
        }
        let mut broken = Vec::new();
        for (key, facts, copies, _) in &all {
            for &(launch, m) in copies {
                // As if it came now, the last of all.
                bounds.over(launch);
                let g = bounds.deciding.enter(facts);
                let clauses: Vec<&str> =
                    bounds.deciding.forbidding(g, m).into_iter().map(|c| places[c].as_str()).collect();
                if !clauses.is_empty() {
                    broken.push(
                        json!({"key": &**key, "machine": &**self.machines.door.id(m), "clauses": clauses}),
                    );
                }
                bounds.deciding.leave(g);
                bounds.began(launch, m, facts);
            }
        }
        if take {
            for (_, facts, _, task) in &all {
                if let Some(task) = task {
                    bounds.enter(*task, facts);
                }
            }
            let mut facts: BTreeMap<Key, Rc<Facts>> = all.into_iter().map(|x| (x.0, x.1)).collect();
            self.placing.host.ledger.jobs_mut().for_each(|(key, job)| job.facts = facts.remove(key));
            self.placing.host.bounds = Some(bounds);
            self.clauses = places;
        }
        json!({"taken": take, "broken": broken})
    }

    /// How clauses stand to a task: each that binds it, what it leaves, and who forbids which machine.
    pub(crate) fn explain(&mut self, facts: &Facts, machines: bool) -> Value {
        let Some(bounds) = self.placing.host.bounds.as_mut() else { return json!({"clauses": []}) };
        let stands = bounds.stands(facts);
        let g = bounds.deciding.enter(facts);
        let known = bounds.deciding.fleet().filter(|x| x.2 != State::Gone).count();
        let leaves = bounds.deciding.leaves(g);
        let named = |c: &[usize]| -> Vec<&str> { c.iter().map(|&c| self.clauses[c].as_str()).collect() };
        let rows: Vec<Value> =
            leaves.iter().map(|x| json!({"clause": self.clauses[x.0], "leaves": x.1, "of": known})).collect();
        let mut by_machine = Vec::new();
        for (m, facts, state) in bounds.deciding.fleet().filter(|_| machines).take(MOST_ROWS) {
            let state = match state {
                State::Ready => "ready",
                State::Down => "drains",
                State::Far => "link not well",
                State::Gone => "gone",
            };
            let forbidding = named(&bounds.deciding.forbidding(g, m));
            by_machine
                .push(json!({"machine": &**self.machines.door.id(m), "state": state, "kind": facts.kind,
                "hall": facts.hall, "rack": facts.rack, "labels": facts.labels, "forbidden_by": forbidding}));
        }
        let verdict = match &stands {
            Stands::Free => json!("some machine is allowed"),
            Stands::KeptOut => json!("kept out by what runs"),
            Stands::Never { clauses, smallest } => {
                json!({"never": named(clauses), "smallest": smallest})
            }
        };
        bounds.deciding.leave(g);
        json!({"task": {"framework": facts.framework, "tenant": facts.tenant, "service": facts.service,
            "key": facts.key}, "verdict": verdict, "clauses": rows, "machines": by_machine})
    }

    /// What clauses see of a task that is known by its key, and its tenant.
    pub(crate) fn facts_of(&self, key: &str) -> Option<(Rc<Facts>, Option<usize>)> {
        let job = &self.ledger().record(&key.into())?.job;
        Some((job.facts.clone()?, job.tenant))
    }

    /// The clauses that keep a task out everywhere now, if clauses do.
    fn kept_out(&mut self, facts: &Rc<Facts>) -> Option<String> {
        let bounds = self.placing.host.bounds.as_mut()?;
        let Stands::KeptOut = bounds.stands(facts) else { return None };
        let g = bounds.deciding.enter(facts);
        let known: Vec<usize> = bounds.deciding.fleet().map(|x| x.0).collect();
        let mut clauses: Vec<usize> = known.iter().flat_map(|&m| bounds.deciding.forbidding(g, m)).collect();
        bounds.deciding.leave(g);
        clauses.sort_unstable();
        clauses.dedup();
        Some(format!("kept out by what runs, under: {}", self.clause_names(&clauses)))
    }

    // The directory of tenants.

    /// From now on tenants are learnt from a directory. To be called before anything else comes.
    pub fn learn(&mut self, now: i64, learnt: Learnt) {
        self.set_clock(now);
        let shares = learnt.shares();
        self.tenancy = Tenancy::Learnt(Box::new(learnt));
        for (tenant, share) in shares {
            self.tell(Told::TenantShare { tenant, share });
        }
        self.clock(now);
    }

    /// A first answer of a sweep came.
    pub fn sweep_answered(&mut self, now: i64, number: u64) {
        if let Some(learnt) = self.tenancy.learnt() {
            learnt.answered(number);
            learnt.say(now);
        }
    }

    /// A sweep ended, `None` where it brought nothing; `lacks` says why it is not all.
    pub fn swept(&mut self, now: i64, number: u64, sweep: Option<Sweep>, lacks: Vec<String>) {
        self.set_clock(now);
        let Some(learnt) = self.tenancy.learnt() else { return };
        let before = learnt.full_at();
        let Some(changes) = learnt.swept(now, number, sweep, lacks) else { return };
        learnt.say(now);
        let mut shares = Vec::new();
        for change in &changes {
            match change {
                Change::Came { id, name } => {
                    tracing::info!(tenant = name, id = %id, "a tenant came");
                    shares.extend(learnt.share(*id));
                }
                Change::Renamed { id, from, to } => {
                    tracing::info!(tenant = to, was = from, id = %id, "a tenant has another name")
                }
                Change::Went { id, name } => tracing::info!(tenant = name, id = %id, "a tenant went"),
                Change::Members { name, count, .. } => {
                    tracing::info!(tenant = name, members = count, "a tenant has other members")
                }
                Change::Share { id, name, from, to } => {
                    tracing::info!(tenant = name, share = to, was = from, "a tenant has another share");
                    shares.extend(learnt.share(*id));
                }
            }
        }
        if let Some(at) = learnt.full_at().filter(|_| learnt.full_at() != before) {
            let all = learnt.memory_if_new().map(|m| m.1);
            self.out.push_back(Out::Remember { at, all });
        }
        for (tenant, share) in shares {
            self.tell(Told::TenantShare { tenant, share });
        }
        self.settle();
    }

    /// What was to be remembered could not be kept: all of it comes again with the next full sweep.
    pub fn forgot(&mut self) {
        if let Some(learnt) = self.tenancy.learnt() {
            learnt.forgot();
        }
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
        let (name, address) = (self.machines.door.id(peer).clone(), machine.address.clone());
        self.out.push_back(Out::Dial { peer, link, name, address });
    }

    // The register.

    pub fn register_up(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.up(REGISTER, now);
        self.register_up = true;
        if self.pushes {
            self.watching = true;
            self.out.push_back(Out::Register(Body::Watch(wire::Watch { on: true })));
        }
    }

    pub fn register_down(&mut self, now: i64) {
        self.set_clock(now);
        self.dials.down(REGISTER, now);
        if std::mem::take(&mut self.register_up) && std::mem::take(&mut self.watching) {
            self.tell(Told::ListLost);
        }
        self.settle();
    }

    /// A frame of the register's. An error names field, what was found and what was expected; nothing of the
    /// list is taken in then.
    pub fn register_frame(&mut self, now: i64, body: Body) -> Result<(), String> {
        self.set_clock(now);
        let Body::List(list) = body else {
            return Err("found a frame that is no list; expected a list".into());
        };
        for e in &list.entries {
            let named = |field: &str, name: &str, of: &[String]| match place(of, name) {
                Some(_) => Ok(()),
                None => Err(format!(
                    "machine {}: {field}: found {name:?}; expected one of {}",
                    e.machine,
                    of.join(", ")
                )),
            };
            named("kind", &e.kind, &self.names.kinds)?;
            named("zone", &e.zone, &self.names.zones)?;
            if e.machine.is_empty() || !e.cores_left.is_finite() || !e.memory_left.is_finite() {
                return Err(format!("machine {:?}: found no name or no number; expected both", e.machine));
            }
        }
        self.tell(Told::ListBegins { whole: list.whole, fresh: true });
        let mut seen = vec![false; self.known.len()];
        for e in list.entries {
            let m = self.take_entry(e);
            seen.resize(self.known.len(), false);
            seen[m] = true;
        }
        if list.whole {
            for m in (0..seen.len()).filter(|&m| !seen[m]) {
                if let Some(machine) = self.known[m].as_mut() {
                    machine.standing.listed = None;
                    machine.standing.told = Some(Readiness::Gone);
                    self.bound_machine(m, Readiness::Gone);
                    self.off_list(m);
                }
            }
        }
        self.tell(Told::ListEnds);
        self.settle();
        Ok(())
    }

    fn take_entry(&mut self, e: wire::Entry) -> usize {
        let now = self.now();
        let m = self.machines.see(e.machine.as_str().into(), now);
        if m >= self.known.len() {
            self.known.resize_with(m + 1, || None);
        }
        let address: Rc<str> = e.address.as_str().into();
        let new = || Machine {
            address: address.clone(),
            labels: Vec::new(),
            standing: Standing::default(),
            link: 0,
            held: false,
        };
        let machine = self.known[m].get_or_insert_with(new);
        machine.address = address;
        machine.labels = e.labels;
        let zone = place(&self.names.zones, &e.zone).unwrap_or(0);
        let kind = place(&self.names.kinds, &e.kind).unwrap_or(0);
        machine.standing.place = (kind, zone, e.cell as usize);
        machine.standing.left = (e.cores_left, e.memory_left);
        machine.standing.listed = Some(match wire::Readiness::try_from(e.readiness) {
            Ok(wire::Readiness::Ready) => Readiness::Ready,
            Ok(wire::Readiness::Draining) => Readiness::Draining,
            _ => Readiness::Gone,
        });
        if e.started_us > 0 && machine.standing.started(e.started_us) {
            self.started_anew(m);
        }
        if self.known[m].as_ref().is_some_and(|x| x.standing.is_wanted()) {
            if !std::mem::replace(&mut self.known[m].as_mut().expect("just seen").held, true) {
                self.machines.hold_at(m);
            }
            self.dials.want(m, now);
        } else {
            self.off_list(m);
        }
        self.tell_machine(m);
        m
    }

    /// The list has a machine no longer: no new connection is made. What is on it is lost once no link
    /// stands.
    fn off_list(&mut self, m: usize) {
        self.dials.forget(m);
        let now = self.now();
        let Some(machine) = self.known[m].as_mut() else { return };
        if machine.standing.is_lost() {
            if std::mem::take(&mut machine.held) {
                self.machines.release(m, now);
            }
            self.placing.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        }
    }

    /// A newer start of a machine was told of: what was on it runs no more, and a link of before is dead.
    fn started_anew(&mut self, m: usize) {
        self.placing.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        if let Some(machine) = self.known[m].as_mut().filter(|x| x.standing.link.stands()) {
            machine.standing.link = Link::None;
            self.out.push_back(Out::Hang { machine: m, why: "the machine started anew" });
        }
    }

    /// Tells the module of a machine as it stands, within a list or as one of its own.
    fn tell_machine(&mut self, m: usize) {
        let Some(machine) = self.known[m].as_mut() else { return };
        let ready = machine.standing.readiness();
        machine.standing.told = Some(ready);
        let (at, left, started) = (machine.standing.place, machine.standing.left, machine.standing.started);
        self.bound_machine(m, ready);
        let number = number_of(self.machines.door.id(m));
        self.tell(Told::Machine { m, number, at, ready: ready_number(ready), started, left });
    }

    /// Clauses hear of a machine before the module does.
    fn bound_machine(&mut self, m: usize, ready: Readiness) {
        let (Some(machine), Some(bounds)) = (&self.known[m], &mut self.placing.host.bounds) else { return };
        let (kind, zone, cell) = machine.standing.place;
        let facts = Place {
            kind: self.names.kinds[kind].clone(),
            hall: self.names.zones[zone].clone(),
            rack: cell as u32,
            labels: machine.labels.clone(),
        };
        let state = match ready {
            Readiness::Ready => State::Ready,
            Readiness::Draining if machine.standing.link == Link::Well => State::Down,
            Readiness::Draining => State::Far,
            Readiness::Gone => State::Gone,
        };
        bounds.machine(m, facts, state);
    }

    /// Something of a machine's standing changed: the module hears it if that makes a difference to it.
    fn stands_anew(&mut self, m: usize) {
        let standing = self.known[m].as_ref().map(|x| (x.standing.told, x.standing.readiness()));
        match standing {
            Some((told, ready)) if told != Some(ready) => {
                self.tell(Told::ListBegins { whole: false, fresh: false });
                self.tell_machine(m);
                self.tell(Told::ListEnds);
            }
            // Clauses ask how the link stands, too.
            Some((_, ready)) => self.bound_machine(m, ready),
            None => {}
        }
        self.settle();
    }

    // Halls.

    /// Machines of halls that are not well are held back, those of a returning one but for the ones whose turn
    /// it is. Which those are hangs on their names alone, so that all planners offer work to the same.
    pub fn hold_halls(&mut self, now: i64, stages: &[Stage]) {
        self.set_clock(now);
        let mut by_hall: Vec<Vec<(bool, u64, usize)>> = vec![Vec::new(); stages.len()];
        for (m, known) in self.known.iter().enumerate() {
            let Some(standing) = known.as_ref().map(|x| &x.standing) else { continue };
            if let Some(hall) = by_hall.get_mut(standing.place.1) {
                // Those off the list have the last ranks: one that comes back to it is held until its turn.
                hall.push((!standing.is_wanted(), number_of(self.machines.door.id(m)), m));
            }
        }
        for (stage, mut machines) in stages.iter().zip(by_hall) {
            machines.sort_unstable();
            let of = machines.iter().filter(|m| !m.0).count();
            for (rank, (gone, _, m)) in machines.into_iter().enumerate() {
                let holds = if gone { *stage != Stage::Well } else { !stage.offers(rank, of) };
                let standing = &mut self.known[m].as_mut().expect("just seen").standing;
                if std::mem::replace(&mut standing.held_back, holds) != holds {
                    self.stands_anew(m);
                }
            }
        }
    }

    fn count_at(&mut self, m: usize, which: usize) {
        let Some(hall) = self.known[m].as_ref().map(|x| x.standing.place.1) else { return };
        if hall >= self.hall_counts.len() {
            self.hall_counts.resize(hall + 1, [0; 2]);
        }
        self.hall_counts[hall][which] += 1;
    }

    /// Of a hall: launches, and launches refused or failed, since the start.
    pub(crate) fn hall_counts(&self, hall: usize) -> [u64; 2] {
        self.hall_counts.get(hall).copied().unwrap_or_default()
    }

    // Machines.

    /// The number of the link that a machine is reached by.
    fn is_current(&self, m: usize, link: u64) -> bool {
        self.known.get(m).and_then(Option::as_ref).is_some_and(|x| x.link == link)
    }

    /// A machine said hello: its epoch is when it last started. False: the link is of no use.
    pub fn machine_up(&mut self, now: i64, m: usize, link: u64, name: &str, epoch: u64) -> bool {
        self.set_clock(now);
        if !self.is_current(m, link) || **self.machines.door.id(m) != *name {
            return false;
        }
        self.dials.up(m, now);
        let machine = self.known[m].as_mut().expect("current links are of known machines");
        if (epoch as i64) < machine.standing.started {
            return false;
        }
        if machine.standing.started(epoch as i64) {
            self.placing.host.on_ledger(|l, acts| l.machine_lost(m, acts));
        }
        self.known[m].as_mut().expect("still known").standing.link = Link::Met;
        self.stands_anew(m);
        true
    }

    pub fn machine_suspect(&mut self, now: i64, m: usize, link: u64, suspect: bool) {
        self.set_clock(now);
        if self.is_current(m, link) {
            let standing = &mut self.known[m].as_mut().expect("current").standing;
            if matches!(standing.link, Link::Well | Link::Suspect) {
                standing.link = if suspect { Link::Suspect } else { Link::Well };
            }
            self.stands_anew(m);
        }
    }

    /// A link ended, or never came up. `unsent`: numbers of launches of which no byte was handed over.
    pub fn machine_down(&mut self, now: i64, m: usize, link: u64, unsent: &[u64]) {
        self.set_clock(now);
        let epoch = self.who.epoch;
        if !self.is_current(m, link) {
            // An older link: what it did not send is still known not to have run.
            for &number in unsent {
                self.placing.host.on_ledger(|l, acts| l.unsent(Launch { epoch, number }, acts));
            }
            return self.settle();
        }
        self.dials.down(m, now);
        self.known[m].as_mut().expect("current").standing.link = Link::None;
        self.placing.host.on_ledger(|l, acts| l.link_cut(m, unsent, acts));
        let dead: Vec<u64> = self.probes.iter().filter(|x| *x.1 == m).map(|x| *x.0).collect();
        dead.into_iter().for_each(|n| self.probe_failed(n, Outcome::ConnectFailed));
        if self.known[m].as_ref().is_some_and(|x| !x.standing.is_wanted()) {
            self.off_list(m);
        }
        self.stands_anew(m);
    }

    /// A launch could not be handed to a link.
    pub fn launch_unsent(&mut self, now: i64, number: u64) {
        self.set_clock(now);
        let launch = Launch { epoch: self.who.epoch, number };
        self.placing.host.on_ledger(|l, acts| l.unsent(launch, acts));
        self.settle();
    }

    /// A frame of a machine's. An error names what was found and expected; the link is of no use then.
    pub fn machine_frame(&mut self, now: i64, m: usize, link: u64, body: Body) -> Result<(), String> {
        if !self.is_current(m, link) || !self.known[m].as_ref().is_some_and(|x| x.standing.link.stands()) {
            return Ok(());
        }
        self.set_clock(now);
        let id = |id: Option<wire::LaunchId>| {
            let id = id.ok_or("found no launch id; expected one")?;
            Ok::<_, String>(Launch { epoch: id.epoch, number: id.number })
        };
        self.report.clear();
        let mut report = |r: Option<wire::Report>| {
            self.report = r.map(|r| r.values).unwrap_or_default();
            self.report.retain(|v| v.is_finite());
        };
        match body {
            Body::Yes(x) => {
                let launch = id(x.id)?;
                self.placing.host.on_ledger(|l, acts| l.yes(launch, acts));
            }
            Body::Refused(x) => {
                let launch = id(x.id)?;
                report(x.report);
                self.count_at(m, 1);
                self.placing.host.on_ledger(|l, acts| l.refused(launch, i64::from(x.why), acts));
            }
            Body::Failed(x) => {
                let launch = id(x.id)?;
                report(x.report);
                self.count_at(m, 1);
                self.placing.host.on_ledger(|l, acts| l.failed(launch, m, acts));
            }
            Body::Ended(x) => {
                let launch = id(x.id)?;
                report(x.report);
                let how = match wire::EndedHow::try_from(x.how) {
                    Ok(wire::EndedHow::EndedDone) => Ending::Done,
                    Ok(wire::EndedHow::EndedEvicted) => Ending::Evicted,
                    Ok(wire::EndedHow::EndedPushedOut) => Ending::PushedOut,
                    Ok(wire::EndedHow::EndedSentAway) => Ending::SentAway,
                    Ok(wire::EndedHow::EndedStopped) => Ending::Stopped,
                    Err(_) => return Err(format!("ended: how: found {}; expected 0 to 4", x.how)),
                };
                self.placing.host.on_ledger(|l, acts| l.ended(launch, m, how, acts));
            }
            Body::Running(x) => self.note(id(x.id)?, 1, 0.0),
            Body::Note(x) => self.note(id(x.id)?, i64::from(x.sort), x.value),
            Body::Probed(x) => {
                if let Some(m) = self.probes.remove(&x.number) {
                    let report = x.report.map(|r| r.values).unwrap_or_default();
                    let end = outcome_number(if x.why == 0 { Outcome::Ended } else { Outcome::Full });
                    self.tell(Told::Probed { m, end, report });
                }
            }
            Body::Inventory(x) => self.inventory(m, x)?,
            Body::Drain(x) => {
                self.known[m].as_mut().expect("current").standing.drains = x.on;
                self.stands_anew(m);
            }
            _ => {
                return Err(
                    "found a frame that no machine sends; expected an answer, a note or an inventory".into()
                )
            }
        }
        self.settle();
        Ok(())
    }

    fn note(&mut self, launch: Launch, sort: i64, value: f64) {
        if let Some(task) = self.placing.host.ledger.task_of_launch(launch).filter(|_| value.is_finite()) {
            self.tell(Told::Noted { task, sort, value });
        }
    }

    fn inventory(&mut self, m: usize, inventory: wire::Inventory) -> Result<(), String> {
        let mut held = Vec::new();
        for h in inventory.held {
            let l = h.launch.ok_or("inventory: found no launch; expected one in each entry")?;
            let id = l.id.ok_or("inventory: found no launch id; expected one")?;
            let framework = self.names.frameworks.iter().position(|f| f.0 == l.framework);
            let framework = framework.ok_or_else(|| {
                format!("inventory: framework: found {:?}; expected a known one", l.framework)
            })?;
            let tenant = self.tenancy.of_launch(&l.tenant, &l.tenant_id);
            let job = Job {
                framework,
                tenant,
                stale_us: 0,
                facts: self.facts(framework, tenant, l.service, &l.key),
                service: l.service,
                cores: l.cores,
                memory: l.memory,
                runs_for_us: l.runs_for_us,
            };
            held.push(Held {
                launch: Launch { epoch: id.epoch, number: id.number },
                key: l.key.as_str().into(),
                ask: l.ask,
                kind: self.names.frameworks[framework].1,
                accepted: h.accepted,
                job,
            });
        }
        self.placing.host.on_ledger(|l, acts| l.inventory(m, held, acts));
        self.settle();
        let standing = &mut self.known[m].as_mut().expect("current").standing;
        if standing.link == Link::Met {
            standing.link = Link::Well;
        }
        standing.drains = inventory.draining;
        self.stands_anew(m);
        Ok(())
    }

    fn probe_failed(&mut self, n: u64, outcome: Outcome) {
        if let Some(m) = self.probes.remove(&n) {
            self.tell(Told::Probed { m, end: outcome_number(outcome), report: Vec::new() });
        }
    }

    // Owners and operators.

    /// An answer to an operator.
    pub(crate) fn tell_conn(&mut self, conn: u64, json: String) {
        self.out.push_back(Out::Conn { conn, body: Body::Told(wire::Told { json, more: false }) });
    }

    /// A frame of an owner's or operator's that is no question. An error names field, what was found and what
    /// was expected.
    pub fn conn_frame(&mut self, now: i64, conn: u64, body: Body) -> Result<(), String> {
        self.set_clock(now);
        match body {
            Body::Submit(s) => self.submit(conn, s),
            Body::Withdraw(w) => {
                if let Some(door) = &mut self.door {
                    door.over(&(w.key.as_str().into(), w.ask));
                }
                self.placing.host.on_ledger(|l, acts| l.withdraw(&w.key.as_str().into(), w.ask, acts));
            }
            Body::Drain(drain) => {
                self.tenancy.operates(now, &self.login(conn), "drain")?;
                if !self.register_up {
                    return Err("drain: found no link to the register; expected one".into());
                }
                let json = format!("{{\"machine\":{:?},\"drain\":{}}}", drain.machine, drain.on);
                self.out.push_back(Out::Register(Body::Drain(drain)));
                self.tell_conn(conn, json);
            }
            Body::Clauses(c) => {
                let login = self.login(conn);
                self.tenancy.operates(now, &login, "clauses")?;
                let clauses: Vec<(Clause, String)> = serde_json::from_str(&c.json).map_err(|e| {
                    format!("clauses: found {e}; expected clauses in JSON with words for each")
                })?;
                if c.take {
                    tracing::warn!(
                        login = &*login,
                        clauses = clauses.len(),
                        "other clauses bind from now on"
                    );
                }
                let json = self.rebind(clauses, c.take).to_string();
                self.out.push_back(Out::Conn { conn, body: Body::Told(wire::Told { json, more: false }) });
            }
            Body::Accept(_) => {
                let login = self.login(conn);
                self.tenancy.operates(now, &login, "accept")?;
                self.tenancy.accept()?;
                tracing::warn!(
                    login = &*login,
                    "an operator's word: the next full answer of the directory is believed"
                );
                let json = "{\"accepted\":true}".to_owned();
                self.out.push_back(Out::Conn { conn, body: Body::Told(wire::Told { json, more: false }) });
            }
            _ => {
                return Err(
                    "found a frame that no owner sends; expected submit, withdraw, drain or query".into()
                )
            }
        }
        self.settle();
        Ok(())
    }

    /// An owner or operator said hello.
    pub fn conn_up(&mut self, conn: u64, login: &str) {
        self.logins.insert(conn, login.into());
    }

    pub(crate) fn login(&self, conn: u64) -> Rc<str> {
        self.logins.get(&conn).cloned().unwrap_or_default()
    }

    pub fn conn_down(&mut self, conn: u64) {
        self.logins.remove(&conn);
        self.placing.host.ledger.owner_left(conn);
    }

    fn submit(&mut self, conn: u64, s: wire::Submit) {
        self.counts.submitted += 1;
        let framework = self.names.frameworks.iter().position(|f| f.0 == s.framework);
        let now = self.now();
        let asked = self.tenancy.asked(now, &self.login(conn), &s.tenant);
        let sane = |x: f64| x.is_finite() && x > 0.0 && x < 1e9;
        let wrong = if s.key.is_empty() || s.key.len() > 500 {
            Some(format!("key: found {} bytes; expected 1 to 500", s.key.len()))
        } else if framework.is_none() {
            let known: Vec<&str> = self.names.frameworks.iter().map(|f| f.0.as_str()).collect();
            Some(format!("framework: found {:?}; expected one of {}", s.framework, known.join(", ")))
        } else if let Err(e) = &asked {
            Some(e.clone())
        } else if !sane(s.cores) || !sane(s.memory) {
            Some(format!("cores, memory: found {} and {}; expected two numbers over 0", s.cores, s.memory))
        } else {
            None
        };
        let (Some(framework), None, Ok(asked)) = (framework, &wrong, asked) else {
            let reason = wrong.unwrap_or_default();
            let kind = wire::AnswerKind::Declined as i32;
            let answer = wire::Answer { key: s.key, ask: s.ask, kind, reason, ..wire::Answer::default() };
            return self.out.push_back(Out::Conn { conn, body: Body::Answer(answer) });
        };
        let kind = self.names.frameworks[framework].1;
        let (cores, memory, runs_for_us) = (s.cores, s.memory, s.runs_for_us);
        let Asked { tenant, stale_us, refused } = asked;
        let facts = self.facts(framework, tenant, s.service, &s.key);
        let mut words = if refused.is_none() { self.never(facts.as_ref()) } else { None };
        let mut refused = refused.or(words.as_ref().map(|_| (Reason::NoMachine, 0)));
        if refused.is_none() {
            if let Some(refusal) = self.not_worth(&s, framework) {
                refused = Some((Reason::NoSlack, refusal.retry_after_us));
                words = Some(refusal.words);
            }
        }
        let job = Job { framework, tenant, service: s.service, cores, memory, runs_for_us, stale_us, facts };
        let asking = Asking { key: s.key.as_str().into(), ask: s.ask, owner: conn, kind, job };
        let host = &mut self.placing.host;
        match refused {
            None => host.on_ledger(|l, acts| l.submit(asking, s.time_left_us, acts)),
            Some(why) => {
                self.at_door = Some(AtDoor { ask: s.ask, stale_us, words });
                host.on_ledger(|l, acts| l.declined_at_door(asking, why, acts));
                self.settle();
                self.at_door = None;
            }
        }
    }

    /// Whether an asking is not worth starting. One that is open, answered or runs is no new one.
    fn not_worth(&mut self, s: &wire::Submit, framework: usize) -> Option<Refusal> {
        let (now, key): (i64, Key) = (self.now(), s.key.as_str().into());
        let known = self.placing.host.ledger.record(&key);
        if known.is_some_and(|r| s.ask <= r.ask || r.phase == Phase::Placed) {
            return None;
        }
        self.door.as_mut()?.asked(now, (key, s.ask), framework, s.cores, s.time_left_us)
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
        let s = self.services.hold(job.service, now);
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
                self.tell(Told::Wanted { task, f, tenant, s, asks, left: left_us });
            }
            Act::Found { task, machine } => {
                self.counts.found += 1;
                let Some((job, s)) = self.enter_service(task) else { return };
                let (f, tenant, asks) = (job.framework, job.tenant, (job.cores, job.memory));
                self.tell(Told::Found { task, f, tenant, s, asks, m: machine });
            }
            Act::Accepted { task } => self.tell(Told::Accepted { task }),
            Act::Expired { task } => self.tell(Told::Expired { task }),
            Act::Resolved { task, outcome, why, over } => {
                let (end, report) = (outcome_number(outcome), std::mem::take(&mut self.report));
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
            machine = &**self.machines.door.id(machine),
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
                a.machine = self.machines.door.id(machine).to_string();
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
                self.out.push_back(Out::Register(Body::Watch(wire::Watch { on })));
            }
            Wish::Fetch if self.register_up => self.out.push_back(Out::Register(Body::Fetch(wire::Fetch {}))),
            Wish::Watch(_) | Wish::Fetch => self.tell(Told::ListLost),
        }
    }

    /// Once a second: records and ids that nothing needs leave.
    fn round(&mut self) {
        let now = self.now();
        self.placing.host.timers.set(now + ROUND, Due::Round);
        self.placing.host.on_ledger(|l, _| l.forget());
        while let Some(s) = self.services.leaves(now, KEEP_IDS) {
            self.tell(Told::ServiceLeft { s });
        }
        while let Some(m) = self.machines.leaves(now, KEEP_IDS) {
            self.known[m] = None;
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
        self.machines.door.id(m)
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
