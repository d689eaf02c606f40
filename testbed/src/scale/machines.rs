//! MachineProcess machines: many in one process, each with a port, links and a holder of launches of its own. A
//! machine takes what fits, starts it after a drawn time, runs it as long as the launch says, and says what a
//! stand-in machine says. What is spoilt comes by word or by a schedule from the seed: restarts, and zones
//! that vanish as when their power is lost.
use super::registry::host_of;
use super::traffic::{CountingStream, Traffic};
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState, AttemptTable};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, EndedHow, Entry, Launch, LaunchId, Readiness, Report, Role};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Times in microseconds: between looks at what changed for the register, until a machine that is silent is
/// told as gone, and how long one that restarts is away.
const TELLS: u64 = 200_000;
const SILENT: i64 = 2_000_000;
const AWAY: i64 = 500_000;
/// A look at an offer, and the start of a task, which is drawn around this.
const LOOK: i64 = 3_000;
const START: i64 = 30_000;
/// A roll drains a machine so long before it restarts.
const DRAINS: i64 = 1_000_000;
/// Cores and memory of a task of a planner that is not there.
const OTHERS: (f64, f64) = (1.0, 2.0);

/// The part of the fleet that one process has.
#[derive(Clone, Debug)]
pub struct MachinesConfig {
    pub first: usize,
    pub count: usize,
    pub zones: Vec<String>,
    pub kind: String,
    pub cores: f64,
    pub memory: f64,
    /// Asks accepted, as multiples of cores and of memory.
    pub accepts: (f64, f64),
    pub yes_when_running: bool,
    /// Of each machine, drawn from the seed.
    pub restarts_per_hour: f64,
    /// Tasks that planners place which are not there: so many a second on these machines, each for so many
    /// seconds on average. They take room and change the list, and nobody is told of them.
    pub others: (f64, f64),
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum MachinesCommand {
    Tell,
    /// The machines of a zone answer nobody any more; until they are back, started anew.
    Vanish(String),
    Return(String),
    /// All machines restart, so many at a time.
    Roll(usize),
}

type Of = (String, AttemptId);

enum In {
    Accepted(usize, TcpStream),
    Conn(usize, u64, LinkEvent),
    Register(LinkEvent),
    Registered(mpsc::Sender<LinkCommand>),
}

#[derive(Debug)]
enum At {
    Look(Of),
    Start(Of),
    End(Of),
    Restart,
    Gone,
    Drawn,
    Other,
    OtherEnds,
}

struct Run {
    asks: (f64, f64),
    running: bool,
}

struct Conn {
    orders: mpsc::Sender<LinkCommand>,
    party: Option<PeerIdentity>,
    task: AbortHandle,
    traffic: Rc<RefCell<Traffic>>,
}

struct Machine {
    name: String,
    address: String,
    zone: String,
    cell: u32,
    started: i64,
    /// A life: what is due of an earlier one is nothing.
    life: u64,
    holder: AttemptTable<String, Launch>,
    links: BTreeMap<String, u64>,
    conns: HashMap<u64, Conn>,
    tasks: BTreeMap<Of, Run>,
    asked: (f64, f64),
    others: usize,
    draining: bool,
    gone: bool,
    still: Rc<Cell<bool>>,
}

/// The machines of one process.
pub struct MachineProcess {
    plan: MachinesConfig,
    clock: Clock,
    chance: fastrand::Rng,
    machines: Vec<Machine>,
    numbers: HashMap<String, usize>,
    times: BTreeMap<(i64, u64), (usize, u64, At)>,
    seq: u64,
    conns: u64,
    changed: BTreeSet<usize>,
    rolls: VecDeque<usize>,
    at_once: usize,
    register: Option<mpsc::Sender<LinkCommand>>,
    news: mpsc::Sender<In>,
    inbox: mpsc::Receiver<In>,
    /// By planner: what ended connections carried.
    past: BTreeMap<String, Traffic>,
    counts: Counts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    launched: u64,
    started: u64,
    refused: u64,
    ended: u64,
    restarts: u64,
}

fn wire_id(id: AttemptId) -> Option<LaunchId> {
    Some(LaunchId { epoch: id.0, number: id.1 })
}

/// Starts the machines, each on a port of its own.
pub async fn start(plan: MachinesConfig) -> io::Result<MachineProcess> {
    let clock = Clock::start();
    let (news, inbox) = mpsc::channel(4096);
    let host = host_of(0);
    let (mut machines, now) = (Vec::with_capacity(plan.count), clock.now());
    for m in 0..plan.count {
        let listener = TcpListener::bind((host.as_str(), 0)).await?;
        let number = plan.first + m;
        let still = Rc::new(Cell::new(false));
        machines.push(Machine {
            name: format!("machine-{number}"),
            address: listener.local_addr()?.to_string(),
            zone: plan.zones[number % plan.zones.len()].clone(),
            cell: (number / plan.zones.len() / 40) as u32,
            // Long enough ago that it is not cold.
            started: now - 60_000_000,
            life: 0,
            holder: AttemptTable::default(),
            links: BTreeMap::new(),
            conns: HashMap::new(),
            tasks: BTreeMap::new(),
            asked: (0.0, 0.0),
            others: 0,
            draining: false,
            gone: false,
            still: still.clone(),
        });
        let news = news.clone();
        tokio::task::spawn_local(async move {
            loop {
                // Of who vanished the connections wait in the listener's line.
                while still.get() {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                match listener.accept().await {
                    Ok((stream, _)) => {
                        if news.send(In::Accepted(m, stream)).await.is_err() {
                            return;
                        }
                    }
                    Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
                }
            }
        });
    }
    let numbers = machines.iter().enumerate().map(|(m, x)| (x.name.clone(), m)).collect();
    let chance = fastrand::Rng::with_seed(plan.seed ^ (plan.first as u64) << 32);
    let mut hollow = MachineProcess {
        plan,
        clock,
        chance,
        machines,
        numbers,
        times: BTreeMap::new(),
        seq: 0,
        conns: 0,
        changed: BTreeSet::new(),
        rolls: VecDeque::new(),
        at_once: 0,
        register: None,
        news,
        inbox,
        past: BTreeMap::new(),
        counts: Counts::default(),
    };
    (0..hollow.machines.len()).for_each(|m| hollow.draw(m));
    let (rate, runs_s) = hollow.plan.others;
    if rate > 0.0 {
        // As many as run at one time are there from the start.
        (0..(rate * runs_s) as usize).for_each(|_| hollow.other());
        hollow.later(0, 0, At::Other);
    }
    Ok(hollow)
}

impl MachineProcess {
    /// Each machine's entry in the register's list.
    pub fn entries(&self) -> Vec<Entry> {
        (0..self.machines.len()).map(|m| self.entry(m)).collect()
    }

    fn entry(&self, m: usize) -> Entry {
        let (x, plan) = (&self.machines[m], &self.plan);
        let readiness = match x {
            _ if x.gone => Readiness::Gone,
            _ if x.draining => Readiness::Draining,
            _ => Readiness::Ready,
        };
        Entry {
            machine: x.name.clone(),
            address: x.address.clone(),
            kind: plan.kind.clone(),
            zone: x.zone.clone(),
            cell: x.cell,
            readiness: readiness as i32,
            started_us: x.started,
            cores_left: plan.cores - x.asked.0,
            memory_left: plan.memory - x.asked.1,
            labels: Vec::new(),
        }
    }

    /// Runs until `words` ends; answers go to `out`. It tells the register at that address, if there is one.
    pub async fn run(
        mut self,
        register: Option<String>,
        mut words: mpsc::Receiver<MachinesCommand>,
        out: impl Fn(Value),
    ) {
        if let Some(address) = register {
            let (news, clock, name) =
                (self.news.clone(), self.clock, format!("machines-from-{}", self.plan.first));
            tokio::task::spawn_local(tell_register(address, name, clock, news));
        }
        let mut tells = tokio::time::interval(Duration::from_micros(TELLS));
        loop {
            let wake = self.times.keys().next().map_or(i64::MAX, |k| k.0);
            tokio::select! {
                word = words.recv() => match word {
                    Some(MachinesCommand::Tell) => out(self.view()),
                    Some(word) => self.told(word),
                    None => return,
                },
                Some(news) = self.inbox.recv() => {
                    self.hear(news);
                    for _ in 0..256 {
                        let Ok(news) = self.inbox.try_recv() else { break };
                        self.hear(news);
                    }
                }
                _ = tells.tick() => self.tell(),
                () = tokio::time::sleep_until(self.clock.at(wake)) => {
                    let now = self.clock.now();
                    while self.times.keys().next().is_some_and(|k| k.0 <= now) {
                        let Some((_, (m, life, at))) = self.times.pop_first() else { break };
                        self.due(m, life, at);
                    }
                }
            }
        }
    }

    fn later(&mut self, m: usize, after: i64, at: At) {
        self.seq += 1;
        let life = self.machines[m].life;
        self.times.insert((self.clock.now() + after, self.seq), (m, life, at));
    }

    /// Draws when a machine restarts next by itself.
    fn draw(&mut self, m: usize) {
        if self.plan.restarts_per_hour > 0.0 {
            let hours = -(1.0 - self.chance.f64()).ln() / self.plan.restarts_per_hour;
            self.later(m, (hours * 3.6e9) as i64, At::Drawn);
        }
    }

    /// A task of a planner that is not there, on a machine by chance, if it has room.
    fn other(&mut self) {
        let m = self.chance.usize(0..self.machines.len());
        let (x, plan) = (&mut self.machines[m], &self.plan);
        let room = x.asked.0 + OTHERS.0 <= plan.cores && x.asked.1 + OTHERS.1 <= plan.memory;
        if !room || x.still.get() || x.draining {
            return;
        }
        x.asked = (x.asked.0 + OTHERS.0, x.asked.1 + OTHERS.1);
        x.others += 1;
        self.changed.insert(m);
        let runs = -(1.0 - self.chance.f64()).ln() * self.plan.others.1;
        self.later(m, (runs * 1e6) as i64, At::OtherEnds);
    }

    fn hear(&mut self, news: In) {
        match news {
            In::Accepted(m, stream) => self.accept(m, stream),
            In::Conn(m, conn, news) => self.hear_conn(m, conn, news),
            In::Registered(orders) => {
                let list = wire::List { whole: true, stamp: 1, entries: self.entries(), question: 0 };
                let _ = orders.try_send(LinkCommand::Send(Body::List(list), None));
                self.register = Some(orders);
            }
            In::Register(LinkEvent::Session(SessionEvent::Frame(Body::Drain(drain)))) => {
                if let Some(&m) = self.numbers.get(&drain.machine) {
                    let started = self.machines[m].started;
                    if !drain.on || drain.started_us == 0 || drain.started_us == started {
                        self.drain(m, drain.on);
                    }
                }
            }
            In::Register(LinkEvent::Ended { .. }) => self.register = None,
            In::Register(_) => {}
        }
    }

    fn accept(&mut self, m: usize, stream: TcpStream) {
        self.conns += 1;
        let conn = self.conns;
        let (orders, inbox) = mpsc::channel(1024);
        let traffic = Rc::new(RefCell::new(Traffic::default()));
        let x = &mut self.machines[m];
        let stream = CountingStream::new(stream, x.still.clone(), traffic.clone());
        let me = PeerIdentity {
            role: Role::Machine,
            name: x.name.clone(),
            epoch: x.started as u64,
            link: conn,
            login: String::new(),
        };
        let run =
            link::run(stream, link::LinkContext::new(me, self.clock), inbox, self.news.clone(), move |n| {
                In::Conn(m, conn, n)
            });
        let task = tokio::task::spawn_local(run).abort_handle();
        x.conns.insert(conn, Conn { orders, party: None, task, traffic });
    }

    fn hear_conn(&mut self, m: usize, conn: u64, news: LinkEvent) {
        match news {
            LinkEvent::Session(SessionEvent::Up(party)) if party.role == Role::Planner => {
                self.meet(m, conn, party)
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                let x = &self.machines[m];
                let party = x.conns.get(&conn).and_then(|c| c.party.clone());
                if let Some(p) = party.filter(|p| x.holder.is_current(&p.name, p.epoch, p.link)) {
                    self.frame(m, p.name, body);
                }
            }
            LinkEvent::Ended { .. } => self.ended(m, conn),
            LinkEvent::Session(_) => {}
        }
    }

    fn meet(&mut self, m: usize, conn: u64, party: PeerIdentity) {
        let x = &mut self.machines[m];
        if !x.conns.contains_key(&conn) {
            return;
        }
        if !x.holder.admit_link(&party.name, party.epoch, party.link) {
            return x.close(conn, "an older life or link of this planner");
        }
        if let Some(c) = x.conns.get_mut(&conn) {
            c.party = Some(party.clone());
        }
        if let Some(old) = x.links.insert(party.name.clone(), conn) {
            x.close(old, "a newer link came");
        }
        let (endings, held) = x.holder.inventory(&party.name);
        for (id, say) in endings {
            self.say(m, &party.name, id, say);
        }
        let held = held.into_iter().map(|(_, state, launch)| wire::Held {
            launch: Some(launch),
            accepted: state != AttemptState::Queued,
            running: state == AttemptState::Running,
        });
        let x = &self.machines[m];
        let inventory = wire::Inventory { held: held.collect(), draining: x.draining };
        x.send(&party.name, Body::Inventory(inventory));
    }

    fn ended(&mut self, m: usize, conn: u64) {
        let x = &mut self.machines[m];
        let Some(c) = x.conns.remove(&conn) else { return };
        if let Some(party) = c.party {
            if x.links.get(&party.name) == Some(&conn) {
                x.links.remove(&party.name);
            }
            self.past.entry(party.name).or_default().add(&c.traffic.borrow());
        }
    }

    fn frame(&mut self, m: usize, planner: String, body: Body) {
        let id = |id: Option<LaunchId>| id.map_or((0, 0), |i| (i.epoch, i.number));
        match body {
            Body::Launch(l) => {
                let Some(id) = l.id.map(|i| (i.epoch, i.number)) else { return };
                let (say, new) = self.machines[m].holder.launch(&planner, id, l);
                if !new {
                    return self.say(m, &planner, id, say);
                }
                self.counts.launched += 1;
                self.later(m, LOOK, At::Look((planner, id)));
            }
            Body::Cancel(x) => {
                let say = self.machines[m].holder.cancel(&planner, id(x.id));
                self.say(m, &planner, id(x.id), say);
            }
            Body::Stop(x) => {
                let of = (planner, id(x.id));
                match self.machines[m].holder.state(&of.0, of.1) {
                    Some(AttemptState::Accepted | AttemptState::Running) => {
                        self.ends(m, &of, EndedHow::EndedStopped)
                    }
                    _ => self.frame(m, of.0, Body::Cancel(wire::Cancel { id: x.id })),
                }
            }
            Body::Noted(x) => self.machines[m].holder.acknowledge(&planner, id(x.id)),
            Body::Probe(x) => {
                let report = self.report(m);
                let probed = wire::Probed { number: x.number, why: 0, report };
                self.machines[m].send(&planner, Body::Probed(probed));
            }
            _ => {}
        }
    }

    /// Cores and memory that are not asked for.
    fn report(&self, m: usize) -> Option<Report> {
        let asked = self.machines[m].asked;
        Some(Report { values: vec![self.plan.cores - asked.0, self.plan.memory - asked.1] })
    }

    fn say(&self, m: usize, planner: &str, id: AttemptId, say: AttemptReply) {
        let (x, report) = (&self.machines[m], self.report(m));
        let key = x.holder.payload(&planner.to_owned(), id).map(|l| l.key.clone()).unwrap_or_default();
        let id = wire_id(id);
        let body = match say {
            AttemptReply::Nothing => return,
            AttemptReply::Accepted => Body::Yes(wire::Yes { id, key, report }),
            AttemptReply::NotHere => {
                Body::Refused(wire::Refused { id, key, why: refusal_reason::NOT_HERE, report })
            }
            AttemptReply::Failed => Body::Failed(wire::Failed { id, key, report }),
            AttemptReply::Ended(how) => Body::Ended(wire::Ended { id, key, how: i32::from(how), report }),
        };
        x.send(planner, body);
    }

    fn looked(&mut self, m: usize, of: Of) {
        let (x, plan) = (&mut self.machines[m], &self.plan);
        if x.holder.state(&of.0, of.1) != Some(AttemptState::Queued) {
            return;
        }
        let Some(l) = x.holder.payload(&of.0, of.1).cloned() else { return };
        let room = (
            x.asked.0 + l.cores <= plan.accepts.0 * plan.cores,
            x.asked.1 + l.memory <= plan.accepts.1 * plan.memory,
        );
        let refused = match room {
            _ if x.draining => Some(refusal_reason::NOT_HERE),
            (false, _) => Some(refusal_reason::NO_CORES),
            (_, false) => Some(refusal_reason::NO_MEMORY),
            _ => None,
        };
        if let Some(why) = refused {
            x.holder.forget(&of.0, of.1);
            self.counts.refused += 1;
            let body = wire::Refused { id: wire_id(of.1), key: l.key, why, report: self.report(m) };
            return self.machines[m].send(&of.0, Body::Refused(body));
        }
        x.holder.set_state(&of.0, of.1, AttemptState::Accepted);
        x.asked = (x.asked.0 + l.cores, x.asked.1 + l.memory);
        x.tasks.insert(of.clone(), Run { asks: (l.cores, l.memory), running: false });
        self.changed.insert(m);
        if !self.plan.yes_when_running {
            self.say(m, &of.0, of.1, AttemptReply::Accepted);
        }
        let takes = START as f64 * (0.7 + 0.6 * self.chance.f64());
        self.later(m, takes as i64, At::Start(of));
    }

    fn started(&mut self, m: usize, of: Of) {
        let x = &mut self.machines[m];
        let Some(run) = x.tasks.get_mut(&of) else { return };
        (run.running, self.counts.started) = (true, self.counts.started + 1);
        let asks = run.asks;
        x.holder.set_state(&of.0, of.1, AttemptState::Running);
        let l = x.holder.payload(&of.0, of.1);
        let (key, runs_us) = l.map(|l| (l.key.clone(), l.runs_for_us)).unwrap_or_default();
        if self.plan.yes_when_running {
            self.say(m, &of.0, of.1, AttemptReply::Accepted);
        }
        let (x, id) = (&self.machines[m], wire_id(of.1));
        x.send(&of.0, Body::Running(wire::Running { id, key: key.clone() }));
        for (sort, value) in [(2, asks.0), (3, asks.1)] {
            x.send(&of.0, Body::Note(wire::Note { id, key: key.clone(), sort, value }));
        }
        self.later(m, runs_us.max(1), At::End(of));
    }

    fn ends(&mut self, m: usize, of: &Of, how: EndedHow) {
        let x = &mut self.machines[m];
        let Some(run) = x.tasks.remove(of) else { return };
        x.asked = (x.asked.0 - run.asks.0, x.asked.1 - run.asks.1);
        x.holder.set_state(&of.0, of.1, AttemptState::Ended(how as u8));
        self.counts.ended += 1;
        self.changed.insert(m);
        self.say(m, &of.0, of.1, AttemptReply::Ended(how as u8));
    }

    fn due(&mut self, m: usize, life: u64, at: At) {
        if matches!(at, At::Drawn) {
            if !self.machines[m].still.get() {
                self.stop(m);
                self.later(m, AWAY, At::Restart);
            }
            return self.draw(m);
        }
        if matches!(at, At::Other) {
            self.other();
            let gap = -(1.0 - self.chance.f64()).ln() / self.plan.others.0;
            return self.later(0, (gap * 1e6) as i64, At::Other);
        }
        if self.machines[m].life != life {
            return;
        }
        match at {
            At::Look(of) => self.looked(m, of),
            At::Start(of) => self.started(m, of),
            At::End(of) => self.ends(m, &of, EndedHow::EndedDone),
            At::Gone => {
                self.machines[m].gone = true;
                self.changed.insert(m);
            }
            At::OtherEnds => {
                let x = &mut self.machines[m];
                x.asked = (x.asked.0 - OTHERS.0, x.asked.1 - OTHERS.1);
                x.others -= 1;
                self.changed.insert(m);
            }
            At::Restart => self.begin(m),
            At::Drawn | At::Other => {}
        }
    }

    fn drain(&mut self, m: usize, on: bool) {
        let x = &mut self.machines[m];
        x.draining = on;
        let drain = wire::Drain { machine: x.name.clone(), on, ..wire::Drain::default() };
        x.links.keys().for_each(|planner| x.send(planner, Body::Drain(drain.clone())));
        self.changed.insert(m);
    }

    fn told(&mut self, word: MachinesCommand) {
        let of = |zone: &str, all: &[Machine]| -> Vec<usize> {
            (0..all.len()).filter(|&m| all[m].zone == zone).collect()
        };
        match word {
            MachinesCommand::Tell => {}
            MachinesCommand::Vanish(zone) => {
                for m in of(&zone, &self.machines) {
                    self.machines[m].still.set(true);
                    self.later(m, SILENT, At::Gone);
                }
            }
            MachinesCommand::Return(zone) => {
                for m in of(&zone, &self.machines) {
                    self.stop(m);
                    self.machines[m].still.set(false);
                    self.begin(m);
                }
            }
            MachinesCommand::Roll(at_once) => {
                self.rolls = (0..self.machines.len()).collect();
                self.at_once = at_once;
                (0..at_once).for_each(|_| self.roll_next());
            }
        }
    }

    /// A roll's next machine: drained, and restarted when its time to finish is over.
    fn roll_next(&mut self) {
        if let Some(m) = self.rolls.pop_front() {
            self.drain(m, true);
            self.later(m, DRAINS, At::Restart);
        }
    }

    /// A machine dies with all that runs there; nobody is told.
    fn stop(&mut self, m: usize) {
        let conns: Vec<u64> = self.machines[m].conns.keys().copied().collect();
        for conn in conns {
            if let Some(c) = self.machines[m].conns.get(&conn) {
                c.task.abort();
            }
            self.ended(m, conn);
        }
        let x = &mut self.machines[m];
        x.life += 1;
        (x.holder, x.asked, x.draining) = (AttemptTable::default(), (0.0, 0.0), false);
        x.others = 0;
        x.tasks.clear();
    }

    /// It is back, started anew with nothing.
    fn begin(&mut self, m: usize) {
        let rolled = self.machines[m].draining;
        if self.machines[m].still.get() {
            // It comes back with its zone.
            return if rolled {
                self.roll_next()
            };
        }
        if rolled {
            self.stop(m);
        }
        let now = self.clock.now();
        let x = &mut self.machines[m];
        (x.started, x.gone) = (now, false);
        self.counts.restarts += 1;
        self.changed.insert(m);
        if rolled {
            self.roll_next();
        }
    }

    /// Tells the register what changed.
    fn tell(&mut self) {
        let Some(register) = self.register.clone().filter(|_| !self.changed.is_empty()) else { return };
        let entries = self.changed.iter().map(|&m| self.entry(m)).collect();
        let list = wire::List { whole: false, stamp: 1, entries, question: 0 };
        if register.try_send(LinkCommand::Send(Body::List(list), None)).is_ok() {
            self.changed.clear();
        }
    }

    /// What was carried, seen from the machines, by planner; and what runs.
    fn view(&self) -> Value {
        let mut all = self.past.clone();
        let (mut links, mut linked) = (0, 0);
        for x in &self.machines {
            links += x.links.len();
            linked += usize::from(!x.links.is_empty());
            for c in x.conns.values() {
                if let Some(p) = &c.party {
                    all.entry(p.name.clone()).or_default().add(&c.traffic.borrow());
                }
            }
        }
        let by: serde_json::Map<String, Value> = all.iter().map(|(p, t)| (p.clone(), t.view())).collect();
        let running: usize =
            self.machines.iter().map(|x| x.tasks.values().filter(|r| r.running).count()).sum();
        let others: usize = self.machines.iter().map(|x| x.others).sum();
        let fewest = self.machines.iter().map(|x| x.links.len()).min();
        let c = self.counts;
        json!({"machines": self.machines.len(), "linked": linked, "links": links, "fewest_links": fewest,
            "running": running, "others": others,
            "launched": c.launched, "started": c.started, "refused": c.refused, "ended": c.ended,
            "restarts": c.restarts, "planners": by})
    }
}

impl Machine {
    fn close(&self, conn: u64, why: &str) {
        if let Some(c) = self.conns.get(&conn) {
            let _ = c.orders.try_send(LinkCommand::Close(why.to_owned()));
        }
    }

    fn send(&self, planner: &str, body: Body) {
        if let Some(c) = self.links.get(planner).and_then(|conn| self.conns.get(conn)) {
            let _ = c.orders.try_send(LinkCommand::Send(body, None));
        }
    }
}

/// Keeps a link to the register.
async fn tell_register(address: String, name: String, clock: Clock, news: mpsc::Sender<In>) {
    let mut links = 0;
    loop {
        if let Ok(stream) = TcpStream::connect(&address).await {
            links += 1;
            let (orders, inbox) = mpsc::channel(256);
            let me = PeerIdentity {
                role: Role::Machine,
                name: name.clone(),
                epoch: 1,
                link: links,
                login: String::new(),
            };
            if news.send(In::Registered(orders)).await.is_err() {
                return;
            }
            let _ = stream.set_nodelay(true);
            link::run(stream, link::LinkContext::new(me, clock), inbox, news.clone(), In::Register).await;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}
