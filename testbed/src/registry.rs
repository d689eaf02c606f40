//! A simulated registry of machines: late, later still about machines that fell silent, and silent on command.
use crate::context::TestbedContext;
use crate::faulty_link::{self, FaultInjection, LinkObservation};
use crate::machine::{MachineCommand, SimulatedMachine};
use basaltpitch_agent::link::{self, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Entry, Readiness, Role};
use rand::{rngs::StdRng, seq::SliceRandom, SeedableRng};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// How late the registry is, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct RegistryDelays {
    /// What it tells is so old.
    pub notice_us: i64,
    /// A machine that is silent is listed as gone after this time.
    pub silent_notice_us: i64,
    /// Time between looks at the machines.
    pub period_us: i64,
}

/// The registry as a scenario sees it.
pub struct SimulatedRegistry {
    /// Where it listens.
    pub address: String,
    /// What is wrong with its links.
    pub faults: Rc<FaultInjection>,
    /// Added to its delay, in microseconds.
    pub stale_us: Cell<i64>,
}

type Entries = BTreeMap<String, Entry>;

/// Whether two entries of a ready machine differ in its capacity alone: a brief watch leaves such changes out.
pub fn differ_in_capacity_only(a: &Entry, b: &Entry) -> bool {
    let alike = Entry { cores_left: b.cores_left, memory_left: b.memory_left, ..a.clone() };
    alike == *b && b.readiness() == Readiness::Ready
}

/// What answers a question: ready machines with capacity, drawn anew for each, so that planners do not crowd one.
pub fn with_capacity_for<'a>(
    all: impl Iterator<Item = &'a Entry>,
    conn: u64,
    fetch: &wire::Fetch,
) -> Vec<Entry> {
    let named = |wanted: &str, is: &str| wanted.is_empty() || wanted == is;
    let fits = |e: &&Entry| {
        e.readiness() == Readiness::Ready
            && e.cores_left >= fetch.cores
            && e.memory_left >= fetch.memory
            && named(&fetch.kind, &e.kind)
            && named(&fetch.zone, &e.zone)
            && (fetch.among.is_empty() || fetch.among.contains(&e.machine))
    };
    let mut all: Vec<&Entry> = all.filter(fits).collect();
    all.shuffle(&mut StdRng::seed_from_u64(conn << 32 ^ fetch.question));
    all.into_iter().take(fetch.most as usize).cloned().collect()
}

struct Watcher {
    orders: mpsc::Sender<LinkCommand>,
    watches: bool,
    brief: bool,
    /// What it was sent, by machine.
    knows: Entries,
}

struct RegistryState {
    shared: Rc<SimulatedRegistry>,
    context: Rc<TestbedContext>,
    fleet: Vec<Rc<SimulatedMachine>>,
    delays: RegistryDelays,
    /// What was so, and when, the newest last.
    past: VecDeque<(i64, Entries)>,
    silent_since: HashMap<String, i64>,
    watchers: BTreeMap<u64, Watcher>,
    stamp: u64,
    /// Of rolling restarts: the highest token that was seen, and token and number of the last order to each machine.
    fence: u64,
    orders: HashMap<String, (u64, u64)>,
}

/// Starts a register on a loopback port of its own.
pub async fn start(
    context: Rc<TestbedContext>,
    fleet: Vec<Rc<SimulatedMachine>>,
    delays: RegistryDelays,
) -> std::io::Result<Rc<SimulatedRegistry>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let shared = Rc::new(SimulatedRegistry {
        address,
        faults: Rc::new(FaultInjection::default()),
        stale_us: Cell::new(0),
    });
    let state = RegistryState {
        shared: shared.clone(),
        context,
        fleet,
        delays,
        past: VecDeque::new(),
        silent_since: HashMap::new(),
        watchers: BTreeMap::new(),
        stamp: 0,
        fence: 0,
        orders: HashMap::new(),
    };
    tokio::task::spawn_local(state.run(listener));
    Ok(shared)
}

impl RegistryState {
    async fn run(mut self, listener: TcpListener) {
        let (news, mut inbox) = mpsc::channel(1024);
        let mut period =
            tokio::time::interval(std::time::Duration::from_micros(self.delays.period_us as u64));
        let mut conns = 0;
        loop {
            tokio::select! {
                _ = period.tick() => self.look(),
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        conns += 1;
                        self.accept(stream, conns, news.clone());
                    }
                }
                Some((conn, news)) = inbox.recv() => self.link_event(conn, news),
            }
        }
    }

    fn accept(&mut self, stream: tokio::net::TcpStream, conn: u64, news: mpsc::Sender<(u64, LinkEvent)>) {
        let _ = stream.set_nodelay(true);
        let (outer, inner) = tokio::io::duplex(256 * 1024);
        let (orders, inbox) = mpsc::channel(1024);
        self.watchers.insert(conn, Watcher { orders, watches: false, brief: false, knows: Entries::new() });
        let (context, clock) = (self.context.clone(), self.context.clock);
        let show = move |hello: &wire::Hello, seen: LinkObservation| {
            if let LinkObservation::SocketWritten { body: Body::List(list) } = seen {
                let planner = (hello.name.clone(), hello.epoch);
                context.checker.borrow_mut().registry_sent(context.clock.now(), &planner, list);
            }
        };
        tokio::task::spawn_local(faulty_link::carry(
            stream,
            inner,
            conn,
            self.shared.faults.clone(),
            clock,
            show,
        ));
        let me = PeerIdentity {
            role: Role::Register,
            name: "register".into(),
            epoch: 1,
            link: conn,
            login: String::new(),
        };
        tokio::task::spawn_local(link::run(
            outer,
            link::LinkContext::new(me, clock),
            inbox,
            news,
            move |n| (conn, n),
        ));
    }

    fn link_event(&mut self, conn: u64, news: LinkEvent) {
        match news {
            LinkEvent::Session(SessionEvent::Frame(Body::Watch(watch))) => {
                if let Some(w) = self.watchers.get_mut(&conn) {
                    (w.watches, w.brief) = (watch.on, watch.brief);
                }
                self.send(conn, true);
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Fetch(fetch))) if fetch.question > 0 => {
                self.offer(conn, &fetch)
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Fetch(_))) => self.send(conn, true),
            LinkEvent::Session(SessionEvent::Frame(Body::Drain(drain))) => {
                if let Some(machine) = self.fleet.iter().find(|m| m.name == drain.machine).cloned() {
                    if drain.token == 0 {
                        return machine.send(MachineCommand::Drain(drain.on));
                    }
                    self.rolling_drain(&machine, &drain);
                }
            }
            LinkEvent::Ended { .. } => {
                self.watchers.remove(&conn);
            }
            LinkEvent::Session(_) => {}
        }
    }

    /// A coordinator's order: refused if it is older than one that was taken.
    fn rolling_drain(&mut self, machine: &SimulatedMachine, drain: &wire::Drain) {
        let (of, last) = ((drain.token, drain.number), self.orders.entry(machine.name.clone()).or_default());
        let late = drain.token < self.fence || (of.0 == last.0 && of <= *last);
        if late {
            tracing::info!(
                machine = machine.name,
                token = drain.token,
                "an older order of a rolling restart is refused"
            );
            return;
        }
        (self.fence, *last) = (drain.token, of);
        machine.send(MachineCommand::RollingDrain { on: drain.on, started_us: drain.started_us });
    }

    /// Writes down how things are, and tells watchers how they were.
    fn look(&mut self) {
        let now = self.context.clock.now();
        let mut entries = Entries::new();
        for m in &self.fleet {
            let silent = !m.up.get() || m.unresponsive.get();
            let since = if silent { *self.silent_since.entry(m.name.clone()).or_insert(now) } else { now };
            if !silent {
                self.silent_since.remove(&m.name);
            }
            let readiness = match silent {
                true if now >= since + self.delays.silent_notice_us => Readiness::Gone,
                _ if m.draining.get() => Readiness::Draining,
                _ => Readiness::Ready,
            };
            let reserved = m.reserved.get();
            let entry = Entry {
                machine: m.name.clone(),
                address: m.address.clone(),
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                cell: m.cell,
                readiness: readiness as i32,
                started_us: m.started_us.get(),
                cores_left: m.cores - reserved.0,
                memory_left: m.memory - reserved.1,
                labels: m.labels.borrow().clone(),
            };
            entries.insert(m.name.clone(), entry);
        }
        self.past.push_back((now, entries));
        let shown = now - self.delays.notice_us - self.shared.stale_us.get();
        while self.past.len() > 1 && self.past[1].0 <= shown && self.past[0].0 < now - 30_000_000 {
            self.past.pop_front();
        }
        let watching: Vec<u64> = self.watchers.iter().filter(|w| w.1.watches).map(|w| *w.0).collect();
        watching.into_iter().for_each(|conn| self.send(conn, false));
    }

    fn offer(&mut self, conn: u64, fetch: &wire::Fetch) {
        let Some(shown) = self.shown() else { return };
        let entries = with_capacity_for(shown.values(), conn, fetch);
        self.stamp += 1;
        let list = wire::List { whole: false, stamp: self.stamp, entries, question: fetch.question };
        if let Some(w) = self.watchers.get(&conn) {
            let _ = w.orders.try_send(LinkCommand::Send(Body::List(list), None));
        }
    }

    fn shown(&self) -> Option<&Entries> {
        let until = self.context.clock.now() - self.delays.notice_us - self.shared.stale_us.get();
        self.past.iter().rev().find(|p| p.0 <= until).or(self.past.front()).map(|p| &p.1)
    }

    fn send(&mut self, conn: u64, whole: bool) {
        let Some(shown) = self.shown().cloned() else { return };
        self.stamp += 1;
        let stamp = self.stamp;
        let Some(w) = self.watchers.get_mut(&conn) else { return };
        let brief = w.brief;
        let same = |known: &Entry, e: &Entry| known == e || brief && differ_in_capacity_only(known, e);
        let knows = |name: &String, e: &Entry| w.knows.get(name).is_some_and(|known| same(known, e));
        let news = shown.iter().filter(|(name, e)| whole || !knows(name, e));
        let entries: Vec<Entry> = news.map(|(_, e)| e.clone()).collect();
        if whole || !entries.is_empty() {
            let list = wire::List { whole, stamp, entries, question: 0 };
            if w.orders.try_send(LinkCommand::Send(Body::List(list), None)).is_ok() {
                w.knows = shown;
            }
        }
    }
}
