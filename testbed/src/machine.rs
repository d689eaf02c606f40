//! A stand-in machine: it looks at one offer at a time, accepts within bounds or refuses with a reason,
//! starts a few tasks at once, slowly where it has not the program, keeps programs for a while, evicts when
//! memory runs out, pushes out for higher priority, drops repeats of a keyed task in its hall, and falls over
//! if pushed while cold.
use crate::directory_scenario::DirectoryScenario;
use crate::faulty_link::{self, FaultInjection, LinkObservation};
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState, AttemptTable};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, EndedHow, Launch, LaunchId, Report, Role};
use basaltpitch_invariants::InvariantChecker;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// What stand-in machines are like.
#[derive(Clone, Debug)]
pub struct MachineBehaviour {
    pub look_us: i64,
    pub start_us: i64,
    pub cold_start: f64,
    pub starts: usize,
    pub line: usize,
    pub keeps: usize,
    pub accept_cores: f64,
    pub accept_memory: f64,
    pub yes_when_running: bool,
    pub cold_us: i64,
    pub cold_offers: usize,
    pub cold_window: i64,
    pub report_every: i64,
    pub kinds: HashMap<String, String>,
    pub groups: HashMap<String, String>,
    pub priorities: HashMap<String, i64>,
    /// Of owners: connections that are tried before their front turns to another planner.
    pub front_tries: u32,
    /// It restarts once it is drained and empty, or was drained for so long, and is away for so long then.
    pub updater: Option<(i64, i64)>,
}

/// What a launch uses when it runs: cores, memory, and microseconds.
pub type TaskUsage = Box<dyn Fn(&Launch) -> (f64, f64, i64)>;

/// What the whole fleet of stand-ins shares.
pub struct TestbedContext {
    pub clock: Clock,
    pub checker: RefCell<InvariantChecker>,
    pub behaviour: MachineBehaviour,
    /// Copies of keyed tasks that stand, by group of machines and key.
    pub standing: RefCell<HashMap<(String, String), u32>>,
    pub uses: RefCell<TaskUsage>,
    /// The directory of the day, if it has one.
    pub directory: RefCell<Option<Rc<DirectoryScenario>>>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum MachineCommand {
    Drain(bool),
    /// A roll's drain, for a machine of this start.
    Rolls {
        on: bool,
        started: i64,
    },
    /// Stops with all that runs, and starts anew at once with nothing.
    Restart,
    Down,
    Up,
    Flush,
    /// Pushes out so many in a hundred of what runs.
    PushOut(f64),
    SendAway,
}

#[derive(Debug)]
enum In {
    Conn(u64, LinkEvent),
    Offer(MachineCommand),
}

/// A machine as the drill sees it.
pub struct SimulatedMachine {
    pub name: String,
    pub address: String,
    pub kind: String,
    pub zone: String,
    pub cell: u32,
    pub cores: f64,
    pub memory: f64,
    pub labels: RefCell<Vec<String>>,
    pub knobs: Rc<FaultInjection>,
    pub started: Cell<i64>,
    pub draining: Cell<bool>,
    pub up: Cell<bool>,
    /// It answers nobody, though it runs.
    pub vanished: Cell<bool>,
    pub asked: Cell<(f64, f64)>,
    pub fails: Cell<f64>,
    pub late_reports_us: Cell<i64>,
    /// Share of its cores and memory that leaks away.
    pub leaked: Cell<f64>,
    pub conns: Cell<u64>,
    pub ran: Cell<u64>,
    orders: mpsc::Sender<In>,
}

impl SimulatedMachine {
    pub fn tell(&self, say: MachineCommand) {
        let _ = self.orders.try_send(In::Offer(say));
    }
}

struct Run {
    framework: String,
    service: u64,
    cores: f64,
    memory: f64,
    asks: (f64, f64),
    runs_us: i64,
    ends_at: i64,
    running: bool,
}

type Of = (String, AttemptId);

enum At {
    Look,
    Start(Of),
    End(Of),
    Second,
    Back,
}

struct Inside {
    me: Rc<SimulatedMachine>,
    world: Rc<TestbedContext>,
    chance: StdRng,
    holder: AttemptTable<String, Launch>,
    links: BTreeMap<String, (u64, mpsc::Sender<LinkCommand>)>,
    conns: HashMap<u64, (mpsc::Sender<LinkCommand>, Option<PeerIdentity>)>,
    line: VecDeque<Of>,
    looking: bool,
    waits: VecDeque<Of>,
    starting: usize,
    tasks: BTreeMap<Of, Run>,
    kept: VecDeque<u64>,
    offers: VecDeque<i64>,
    reports: VecDeque<(i64, f64, f64)>,
    times: BTreeMap<(i64, u64), At>,
    seq: u64,
    drained_at: Option<i64>,
}

/// Starts a machine on a loopback port of its own.
#[allow(clippy::too_many_arguments)]
pub async fn start(
    world: Rc<TestbedContext>,
    name: String,
    place: (String, u32),
    kind: String,
    size: (f64, f64),
    seed: u64,
) -> std::io::Result<Rc<SimulatedMachine>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (orders, inbox) = mpsc::channel(1024);
    let me = Rc::new(SimulatedMachine {
        name,
        address: listener.local_addr()?.to_string(),
        kind,
        zone: place.0,
        cell: place.1,
        cores: size.0,
        memory: size.1,
        labels: RefCell::default(),
        knobs: Rc::new(FaultInjection::default()),
        started: Cell::new(world.clock.now() - 60_000_000),
        draining: Cell::new(false),
        up: Cell::new(true),
        vanished: Cell::new(false),
        asked: Cell::new((0.0, 0.0)),
        fails: Cell::new(0.0),
        late_reports_us: Cell::new(0),
        leaked: Cell::new(0.0),
        conns: Cell::new(0),
        ran: Cell::new(0),
        orders: orders.clone(),
    });
    let now = world.clock.now();
    let inside = Inside {
        me: me.clone(),
        world,
        chance: StdRng::seed_from_u64(seed),
        holder: AttemptTable::default(),
        links: BTreeMap::new(),
        conns: HashMap::new(),
        line: VecDeque::new(),
        looking: false,
        waits: VecDeque::new(),
        starting: 0,
        tasks: BTreeMap::new(),
        kept: VecDeque::new(),
        offers: VecDeque::new(),
        reports: VecDeque::new(),
        times: BTreeMap::from([((now, 0), At::Second)]),
        seq: 0,
        drained_at: None,
    };
    tokio::task::spawn_local(inside.run(listener, orders, inbox));
    Ok(me)
}

fn wire_id(id: AttemptId) -> Option<LaunchId> {
    Some(LaunchId { epoch: id.0, number: id.1 })
}

impl Inside {
    async fn run(mut self, listener: TcpListener, orders: mpsc::Sender<In>, mut inbox: mpsc::Receiver<In>) {
        loop {
            let wake = self.times.keys().next().map_or(i64::MAX, |k| k.0);
            tokio::select! {
                got = inbox.recv() => match got {
                    Some(In::Conn(conn, news)) => self.hear(conn, news),
                    Some(In::Offer(say)) => self.told(say),
                    None => return,
                },
                accepted = listener.accept() => {
                    if let (Ok((stream, _)), true) = (accepted, self.me.up.get()) {
                        self.accept(stream, orders.clone());
                    }
                }
                () = tokio::time::sleep_until(self.world.clock.at(wake)) => {
                    let now = self.now();
                    while self.times.keys().next().is_some_and(|k| k.0 <= now) {
                        let (_, at) = self.times.pop_first().expect("it has a first");
                        self.due(at);
                    }
                }
            }
        }
    }

    fn now(&self) -> i64 {
        self.world.clock.now()
    }

    fn later(&mut self, after: i64, at: At) {
        self.seq += 1;
        self.times.insert((self.now() + after, self.seq), at);
    }

    fn accept(&mut self, stream: tokio::net::TcpStream, news: mpsc::Sender<In>) {
        let _ = stream.set_nodelay(true);
        let conn = self.me.conns.get() + 1;
        self.me.conns.set(conn);
        let (outer, inner) = tokio::io::duplex(64 * 1024);
        let (orders, inbox) = mpsc::channel(4096);
        self.conns.insert(conn, (orders, None));
        let (world, name, clock) = (self.world.clone(), self.me.name.clone(), self.world.clock);
        // The checker's number for a connection is the machine's own with the machine's name mixed in.
        let seen_as = seen_number(&name, conn);
        let show = move |hello: &wire::Hello, seen: LinkObservation| {
            let life = (hello.name.clone(), hello.epoch);
            let (mut checker, now) = (world.checker.borrow_mut(), world.clock.now());
            match seen {
                LinkObservation::Read { body, late } => {
                    checker.machine_socket_read(now, &name, seen_as, &life, body, late)
                }
                LinkObservation::Heard { body } => checker.machine_received(now, &name, &life, body),
                LinkObservation::Wrote { body } => checker.machine_sent(now, &name, &life, body),
                LinkObservation::Sent { body } => checker.machine_frame_delivered(now, &name, &life, body),
                LinkObservation::Gone => checker.machine_disconnected(now, seen_as),
            }
        };
        tokio::task::spawn_local(faulty_link::carry(stream, inner, conn, self.me.knobs.clone(), clock, show));
        let me = PeerIdentity {
            role: Role::Machine,
            name: self.me.name.clone(),
            epoch: self.me.started.get() as u64,
            link: conn,
            login: String::new(),
        };
        tokio::task::spawn_local(link::run(
            outer,
            link::LinkContext::new(me, clock),
            inbox,
            news,
            move |n| In::Conn(conn, n),
        ));
    }

    fn hear(&mut self, conn: u64, news: LinkEvent) {
        match news {
            LinkEvent::Session(SessionEvent::Up(party))
                if party.role == Role::Planner && self.conns.contains_key(&conn) =>
            {
                if !self.holder.admit_link(&party.name, party.epoch, party.link) {
                    return self.close(conn, "an older life or link of this planner");
                }
                // A connection of before a restart is gone from here, though its news still come.
                let Some((orders, of)) = self.conns.get_mut(&conn) else { return };
                *of = Some(party.clone());
                let orders = orders.clone();
                if let Some((old, _)) = self.links.insert(party.name.clone(), (conn, orders)) {
                    self.close(old, "a newer link came");
                }
                self.line.retain(|of| self.holder.state(&of.0, of.1).is_some());
                let (endings, held) = self.holder.inventory(&party.name);
                for (id, say) in endings {
                    let key = self.holder.payload(&party.name, id).map(|l| l.key.clone()).unwrap_or_default();
                    self.say(&party.name, id, key, say);
                }
                let held = held.into_iter().map(|(_, state, launch)| wire::Held {
                    launch: Some(launch),
                    accepted: state != AttemptState::Queued,
                    running: state == AttemptState::Running,
                });
                let inventory = wire::Inventory { held: held.collect(), draining: self.me.draining.get() };
                self.send(&party.name, Body::Inventory(inventory));
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                let party = self.conns.get(&conn).and_then(|c| c.1.clone());
                if let Some(p) = party.filter(|p| self.holder.is_current(&p.name, p.epoch, p.link)) {
                    self.frame(p.name, body);
                }
            }
            LinkEvent::Ended { .. } => {
                if let Some((_, Some(party))) = self.conns.remove(&conn) {
                    if self.links.get(&party.name).is_some_and(|l| l.0 == conn) {
                        self.links.remove(&party.name);
                    }
                }
            }
            _ => {}
        }
    }

    fn close(&self, conn: u64, why: &str) {
        if let Some((orders, _)) = self.conns.get(&conn) {
            let _ = orders.try_send(LinkCommand::Close(why.to_owned()));
        }
    }

    fn send(&self, planner: &str, body: Body) {
        if let Some((_, orders)) = self.links.get(planner) {
            let _ = orders.try_send(LinkCommand::Send(body, None));
        }
    }

    fn frame(&mut self, planner: String, body: Body) {
        let id = |id: Option<LaunchId>| id.map_or((0, 0), |i| (i.epoch, i.number));
        match body {
            Body::Launch(l) => self.offered(planner, l),
            Body::Cancel(x) => {
                let id = id(x.id);
                let key = self.holder.payload(&planner, id).map(|l| l.key.clone()).unwrap_or_default();
                let say = self.holder.cancel(&planner, id);
                self.line.retain(|of| *of != (planner.clone(), id));
                self.say(&planner, id, key, say);
            }
            Body::Stop(x) => {
                let of = (planner, id(x.id));
                match self.holder.state(&of.0, of.1) {
                    Some(AttemptState::Accepted | AttemptState::Running) => {
                        self.ends(&of, EndedHow::EndedStopped)
                    }
                    _ => self.frame(of.0, Body::Cancel(wire::Cancel { id: x.id })),
                }
            }
            Body::Noted(x) => self.holder.acknowledge(&planner, id(x.id)),
            Body::Probe(x) => {
                let report = self.report();
                self.send(&planner, Body::Probed(wire::Probed { number: x.number, why: 0, report }));
            }
            _ => {}
        }
    }

    fn say(&self, planner: &str, id: AttemptId, key: String, say: AttemptReply) {
        let (report, id) = (self.report(), wire_id(id));
        let body = match say {
            AttemptReply::Nothing => return,
            AttemptReply::Accepted => Body::Yes(wire::Yes { id, key, report }),
            AttemptReply::NotHere => {
                Body::Refused(wire::Refused { id, key, why: refusal_reason::NOT_HERE, report })
            }
            AttemptReply::Failed => Body::Failed(wire::Failed { id, key, report }),
            AttemptReply::Ended(how) => Body::Ended(wire::Ended { id, key, how: i32::from(how), report }),
        };
        self.send(planner, body);
    }

    fn refuse(&mut self, of: &Of, why: u32) {
        let key = self.holder.payload(&of.0, of.1).map(|l| l.key.clone()).unwrap_or_default();
        self.holder.forget(&of.0, of.1);
        let body = wire::Refused { id: wire_id(of.1), key, why, report: self.report() };
        self.send(&of.0, Body::Refused(body));
    }

    fn offered(&mut self, planner: String, l: Launch) {
        let Some(id) = l.id.map(|i| (i.epoch, i.number)) else { return };
        let key = l.key.clone();
        let (say, new) = self.holder.launch(&planner, id, l);
        if !new {
            return self.say(&planner, id, key, say);
        }
        let of = (planner, id);
        self.pushed();
        if self.line.len() >= self.world.behaviour.line {
            return self.refuse(&of, refusal_reason::QUEUE_TOO_LONG);
        }
        self.line.push_back(of);
        self.look();
    }

    /// Counts offers while cold; far too many within a window push the machine over.
    fn pushed(&mut self) {
        let (now, m) = (self.now(), &self.world.behaviour);
        if now >= self.me.started.get() + m.cold_us {
            return self.offers.clear();
        }
        self.offers.push_back(now);
        while self.offers.front().is_some_and(|&at| at <= now - m.cold_window) {
            self.offers.pop_front();
        }
        if self.offers.len() > 2 * m.cold_offers {
            self.world.checker.borrow_mut().machine_overloaded(now, &self.me.name);
            self.told(MachineCommand::Down);
        }
    }

    fn look(&mut self) {
        if !self.looking && !self.line.is_empty() {
            self.looking = true;
            self.later(self.world.behaviour.look_us, At::Look);
        }
    }

    fn looked(&mut self) {
        self.looking = false;
        if let Some(of) = self.line.pop_front() {
            if let Some(l) = self.holder.payload(&of.0, of.1).cloned() {
                match self.judge(&l) {
                    Ok(()) => self.accept_task(of, l),
                    Err(why) => self.refuse(&of, why),
                }
            }
        }
        self.look();
    }

    fn group(&self, framework: &str) -> String {
        match self.world.behaviour.groups.get(framework).map(String::as_str) {
            Some("zone") => self.me.zone.clone(),
            Some("cell") => format!("{} {}", self.me.zone, self.me.cell),
            _ => "all".into(),
        }
    }

    fn judge(&mut self, l: &Launch) -> Result<(), u32> {
        let m = &self.world.behaviour;
        let kind = m.kinds.get(&l.framework);
        if self.me.draining.get() || kind.is_some_and(|k| *k != self.me.kind) {
            return Err(refusal_reason::NOT_HERE);
        }
        if l.kind == "keyed" {
            let group = self.group(&l.framework);
            if self.world.standing.borrow().get(&(group, l.key.clone())).is_some_and(|&n| n > 0) {
                return Err(refusal_reason::NOT_HERE);
            }
        }
        let most = (m.accept_cores * self.me.cores, m.accept_memory * self.me.memory);
        let priority = m.priorities.get(&l.framework).copied().unwrap_or(0);
        loop {
            let asked = self.me.asked.get();
            let (no_cores, no_memory) = (asked.0 + l.cores > most.0, asked.1 + l.memory > most.1);
            if !no_cores && !no_memory {
                return Ok(());
            }
            let lower =
                |r: &Run| self.world.behaviour.priorities.get(&r.framework).copied().unwrap_or(0) < priority;
            let victim = self.tasks.iter().find(|(_, r)| lower(r)).map(|(of, _)| of.clone());
            let Some(of) = victim else {
                return Err(if no_cores { refusal_reason::NO_CORES } else { refusal_reason::NO_MEMORY });
            };
            self.ends(&of, EndedHow::EndedPushedOut);
        }
    }

    fn accept_task(&mut self, of: Of, l: Launch) {
        if self.chance.random_bool(self.me.fails.get().clamp(0.0, 1.0)) {
            self.holder.set_state(&of.0, of.1, AttemptState::Failed);
            return self.say(&of.0, of.1, l.key, AttemptReply::Failed);
        }
        self.holder.set_state(&of.0, of.1, AttemptState::Accepted);
        let (cores, memory, runs_us) = (self.world.uses.borrow())(&l);
        if l.kind == "keyed" {
            *self
                .world
                .standing
                .borrow_mut()
                .entry((self.group(&l.framework), l.key.clone()))
                .or_insert(0) += 1;
        }
        let asked = self.me.asked.get();
        self.me.asked.set((asked.0 + l.cores, asked.1 + l.memory));
        let asks = (l.cores, l.memory);
        let run = Run {
            framework: l.framework,
            service: l.service,
            cores,
            memory,
            asks,
            runs_us,
            ends_at: 0,
            running: false,
        };
        self.tasks.insert(of.clone(), run);
        if !self.world.behaviour.yes_when_running {
            self.say(&of.0, of.1, l.key, AttemptReply::Accepted);
        }
        self.waits.push_back(of);
        self.starts();
    }

    fn starts(&mut self) {
        while self.starting < self.world.behaviour.starts {
            let Some(of) = self.waits.pop_front() else { return };
            let Some(run) = self.tasks.get(&of) else { continue };
            let service = run.service;
            let there = self.kept.contains(&service)
                || self.tasks.values().any(|r| r.running && r.service == service);
            let m = &self.world.behaviour;
            let age = (self.now() - self.me.started.get()) as f64 / m.cold_us.max(1) as f64;
            let pace = age.clamp(0.2, 1.0);
            let slow = if there { 1.0 } else { m.cold_start };
            let takes = m.start_us as f64 * slow / pace * self.chance.random_range(0.7..1.3);
            self.starting += 1;
            self.later(takes as i64, At::Start(of));
        }
    }

    fn started(&mut self, of: Of) {
        self.starting = self.starting.saturating_sub(1);
        let now = self.now();
        if let Some(run) = self.tasks.get_mut(&of) {
            run.running = true;
            run.ends_at = now + run.runs_us;
            let (runs_us, cores, memory) = (run.runs_us, run.cores, run.memory);
            self.me.ran.set(self.me.ran.get() + 1);
            self.holder.set_state(&of.0, of.1, AttemptState::Running);
            let key = self.holder.payload(&of.0, of.1).map(|l| l.key.clone()).unwrap_or_default();
            if self.world.behaviour.yes_when_running {
                self.say(&of.0, of.1, key.clone(), AttemptReply::Accepted);
            }
            let id = wire_id(of.1);
            self.send(&of.0, Body::Running(wire::Running { id, key: key.clone() }));
            for (sort, value) in [(2, cores), (3, memory)] {
                self.send(&of.0, Body::Note(wire::Note { id, key: key.clone(), sort, value }));
            }
            self.later(runs_us, At::End(of));
        }
        self.starts();
    }

    /// A task leaves, however that came.
    fn ends(&mut self, of: &Of, how: EndedHow) {
        let Some(run) = self.tasks.remove(of) else { return };
        let asked = self.me.asked.get();
        self.me.asked.set((asked.0 - run.asks.0, asked.1 - run.asks.1));
        if let Some(l) = self.holder.payload(&of.0, of.1).cloned() {
            if l.kind == "keyed" {
                let mut standing = self.world.standing.borrow_mut();
                if let Some(n) = standing.get_mut(&(self.group(&l.framework), l.key.clone())) {
                    *n = n.saturating_sub(1);
                }
            }
            self.holder.set_state(&of.0, of.1, AttemptState::Ended(how as u8));
            self.say(&of.0, of.1, l.key, AttemptReply::Ended(how as u8));
        }
        self.kept.retain(|&s| s != run.service);
        self.kept.push_back(run.service);
        while self.kept.len() > self.world.behaviour.keeps {
            self.kept.pop_front();
        }
    }

    fn used(&self) -> (f64, f64) {
        let leak = self.me.leaked.get();
        let of = |f: fn(&Run) -> f64| self.tasks.values().filter(|r| r.running).map(f).sum::<f64>();
        (of(|r| r.cores) + leak * self.me.cores, of(|r| r.memory) + leak * self.me.memory)
    }

    /// Cores and memory not in use, as of the last refresh, or of some time before it.
    fn report(&self) -> Option<Report> {
        let until = self.now() - self.me.late_reports_us.get();
        let last = self.reports.iter().rev().find(|r| r.0 <= until).or(self.reports.front())?;
        Some(Report { values: vec![last.1, last.2] })
    }

    fn due(&mut self, at: At) {
        match at {
            At::Look => self.looked(),
            At::Start(of) => self.started(of),
            At::End(of) => {
                let now = self.now();
                if self.tasks.get(&of).is_some_and(|r| r.running && r.ends_at <= now) {
                    self.ends(&of, EndedHow::EndedDone);
                }
            }
            At::Second => self.refresh(),
            At::Back => self.told(MachineCommand::Up),
        }
    }

    /// Refreshes the report, evicts where memory ran out, and tells of the task that is served worst.
    fn refresh(&mut self) {
        let every = self.world.behaviour.report_every;
        self.later(every, At::Second);
        while self.used().1 > self.me.memory {
            let priority = |r: &Run| self.world.behaviour.priorities.get(&r.framework).copied().unwrap_or(0);
            let over = |r: &Run| (r.memory / r.asks.1.max(0.001) * 1000.0) as i64;
            let running = self.tasks.iter().filter(|(_, r)| r.running);
            let Some(of) = running.min_by_key(|(_, r)| (priority(r), -over(r))).map(|(of, _)| of.clone())
            else {
                break;
            };
            self.ends(&of, EndedHow::EndedEvicted);
        }
        self.update();
        let (now, used) = (self.now(), self.used());
        self.reports.push_back((now, self.me.cores - used.0, self.me.memory - used.1));
        while self.reports.front().is_some_and(|r| r.0 < now - 20_000_000) {
            self.reports.pop_front();
        }
        let served = (self.me.cores / used.0.max(0.001)).min(1.0);
        if served < 0.95 && now / 1_000_000 != (now - every) / 1_000_000 {
            let mut worst: BTreeMap<&str, &Of> = BTreeMap::new();
            self.tasks.iter().filter(|(_, r)| r.running).for_each(|(of, _)| {
                worst.entry(&of.0).or_insert(of);
            });
            for (planner, of) in worst {
                let note = wire::Note { id: wire_id(of.1), key: String::new(), sort: 4, value: served };
                self.send(planner, Body::Note(note));
            }
        }
    }

    /// The machine's own updater: it waits until the machine is drained and empty, and not for ever.
    fn update(&mut self) {
        let Some((most, away)) = self.world.behaviour.updater.filter(|_| self.me.up.get()) else { return };
        let now = self.now();
        self.drained_at = if self.me.draining.get() { self.drained_at.or(Some(now)) } else { None };
        let Some(since) = self.drained_at else { return };
        let empty = self.tasks.is_empty() && self.line.is_empty();
        // A launch may be on its way.
        let quiet = now >= since + 2_000_000;
        if (empty && quiet) || now >= since + most {
            self.told(MachineCommand::SendAway);
            self.told(MachineCommand::Down);
            self.drained_at = None;
            self.later(away, At::Back);
        }
    }

    fn told(&mut self, say: MachineCommand) {
        match say {
            MachineCommand::Rolls { on, started } => {
                let me = &self.me;
                if !me.up.get() || (on && started != me.started.get()) {
                    return;
                }
                self.world.checker.borrow_mut().rolling_restart_drained(self.now(), &self.me.name, on);
                self.told(MachineCommand::Drain(on));
            }
            MachineCommand::Drain(on) => {
                self.me.draining.set(on);
                let machine = self.me.name.clone();
                let planners: Vec<String> = self.links.keys().cloned().collect();
                for planner in planners {
                    self.send(
                        &planner,
                        Body::Drain(wire::Drain { machine: machine.clone(), on, ..wire::Drain::default() }),
                    );
                }
            }
            MachineCommand::Restart => {
                self.stop();
                self.begin();
            }
            MachineCommand::Down => {
                self.stop();
                self.me.up.set(false);
            }
            MachineCommand::Up => {
                if !self.me.up.get() {
                    self.me.up.set(true);
                    self.begin();
                }
            }
            MachineCommand::Flush => self.kept.clear(),
            MachineCommand::PushOut(part) => {
                let all: Vec<Of> = self.tasks.keys().cloned().collect();
                for of in all {
                    if self.chance.random_bool(part.clamp(0.0, 1.0)) {
                        self.ends(&of, EndedHow::EndedPushedOut);
                    }
                }
            }
            MachineCommand::SendAway => {
                let all: Vec<Of> = self.tasks.keys().cloned().collect();
                all.iter().for_each(|of| self.ends(of, EndedHow::EndedSentAway));
            }
        }
    }

    /// The machine dies with all that runs; nobody is told.
    fn stop(&mut self) {
        self.links.clear();
        let all: Vec<Of> = self.tasks.keys().cloned().collect();
        all.iter().for_each(|of| self.ends(of, EndedHow::EndedStopped));
        (self.holder, self.starting, self.looking) = (AttemptTable::default(), 0, false);
        self.line.clear();
        self.waits.clear();
        self.kept.clear();
        self.times.retain(|_, at| matches!(at, At::Second));
        self.me.leaked.set(0.0);
        self.me.draining.set(false);
        // Connections of before: cut, unless they are to look alive.
        self.conns.retain(|conn, _| *conn <= self.me.knobs.dead_up_to.get());
        self.me.knobs.ends.set(self.me.knobs.ends.get() + u64::from(self.me.knobs.dead_up_to.get() == 0));
    }

    fn begin(&mut self) {
        let now = self.now();
        self.me.started.set(now);
        self.offers.clear();
        self.world.checker.borrow_mut().machine_started(now, &self.me.name);
    }
}

/// A connection's number among those of all machines.
fn seen_number(machine: &str, conn: u64) -> u64 {
    let name = machine.bytes().fold(7u64, |n, b| n.wrapping_mul(31).wrapping_add(u64::from(b)));
    name.wrapping_shl(20) ^ conn
}
