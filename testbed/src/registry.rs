//! A stand-in register of machines: late, later still about machines that fell silent, and silent on command.
use crate::faulty_link::{self, FaultInjection, LinkObservation};
use crate::machine::{MachineCommand, SimulatedMachine, TestbedContext};
use basaltpitch_agent::link::{self, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Entry, Readiness, Role};
use rand::{rngs::StdRng, seq::SliceRandom, SeedableRng};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

#[derive(Clone, Copy, Debug)]
pub struct RegistryDelays {
    pub notice_us: i64,
    pub silent_notice_us: i64,
    pub period_us: i64,
}

pub struct SimulatedRegistry {
    pub address: String,
    pub knobs: Rc<FaultInjection>,
    /// Added to its lateness.
    pub stale_us: Cell<i64>,
}

type Entries = BTreeMap<String, Entry>;

/// Two entries of a ready machine that differ in its room alone: a brief watch leaves such changes out.
pub fn differ_in_capacity_only(a: &Entry, b: &Entry) -> bool {
    let alike = Entry { cores_left: b.cores_left, memory_left: b.memory_left, ..a.clone() };
    alike == *b && b.readiness() == Readiness::Ready
}

/// What answers a question: ready machines with room, drawn anew for each, so that askers don't crowd one.
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

struct Inside {
    me: Rc<SimulatedRegistry>,
    world: Rc<TestbedContext>,
    fleet: Vec<Rc<SimulatedMachine>>,
    late: RegistryDelays,
    /// What was so, and when, the newest last.
    past: VecDeque<(i64, Entries)>,
    silent_since: HashMap<String, i64>,
    watchers: BTreeMap<u64, Watcher>,
    stamp: u64,
    /// Of rolls: the highest token that was seen, and token and number of the last word to each machine.
    fence: u64,
    words: HashMap<String, (u64, u64)>,
}

/// Starts a register on a loopback port of its own.
pub async fn start(
    world: Rc<TestbedContext>,
    fleet: Vec<Rc<SimulatedMachine>>,
    late: RegistryDelays,
) -> std::io::Result<Rc<SimulatedRegistry>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    let me = Rc::new(SimulatedRegistry {
        address,
        knobs: Rc::new(FaultInjection::default()),
        stale_us: Cell::new(0),
    });
    let inside = Inside {
        me: me.clone(),
        world,
        fleet,
        late,
        past: VecDeque::new(),
        silent_since: HashMap::new(),
        watchers: BTreeMap::new(),
        stamp: 0,
        fence: 0,
        words: HashMap::new(),
    };
    tokio::task::spawn_local(inside.run(listener));
    Ok(me)
}

impl Inside {
    async fn run(mut self, listener: TcpListener) {
        let (news, mut inbox) = mpsc::channel(1024);
        let mut period = tokio::time::interval(std::time::Duration::from_micros(self.late.period_us as u64));
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
                Some((conn, news)) = inbox.recv() => self.hear(conn, news),
            }
        }
    }

    fn accept(&mut self, stream: tokio::net::TcpStream, conn: u64, news: mpsc::Sender<(u64, LinkEvent)>) {
        let _ = stream.set_nodelay(true);
        let (outer, inner) = tokio::io::duplex(256 * 1024);
        let (orders, inbox) = mpsc::channel(1024);
        self.watchers.insert(conn, Watcher { orders, watches: false, brief: false, knows: Entries::new() });
        let (world, clock) = (self.world.clone(), self.world.clock);
        let show = move |hello: &wire::Hello, seen: LinkObservation| {
            if let LinkObservation::Sent { body: Body::List(list) } = seen {
                let life = (hello.name.clone(), hello.epoch);
                world.checker.borrow_mut().registry_sent(world.clock.now(), &life, list);
            }
        };
        tokio::task::spawn_local(faulty_link::carry(stream, inner, conn, self.me.knobs.clone(), clock, show));
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

    fn hear(&mut self, conn: u64, news: LinkEvent) {
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
                        return machine.tell(MachineCommand::Drain(drain.on));
                    }
                    self.of_roll(&machine, &drain);
                }
            }
            LinkEvent::Ended { .. } => {
                self.watchers.remove(&conn);
            }
            LinkEvent::Session(_) => {}
        }
    }

    /// A conductor's word: refused if it is older than one that was taken.
    fn of_roll(&mut self, machine: &SimulatedMachine, drain: &wire::Drain) {
        let (of, last) = ((drain.token, drain.number), self.words.entry(machine.name.clone()).or_default());
        let late = drain.token < self.fence || (of.0 == last.0 && of <= *last);
        if late {
            tracing::info!(machine = machine.name, token = drain.token, "an older word of a roll is refused");
            return;
        }
        (self.fence, *last) = (drain.token, of);
        machine.tell(MachineCommand::Rolls { on: drain.on, started: drain.started_us });
    }

    /// Writes down how things are, and tells watchers how they were.
    fn look(&mut self) {
        let now = self.world.clock.now();
        let mut entries = Entries::new();
        for m in &self.fleet {
            let silent = !m.up.get() || m.vanished.get();
            let since = if silent { *self.silent_since.entry(m.name.clone()).or_insert(now) } else { now };
            if !silent {
                self.silent_since.remove(&m.name);
            }
            let readiness = match silent {
                true if now >= since + self.late.silent_notice_us => Readiness::Gone,
                _ if m.draining.get() => Readiness::Draining,
                _ => Readiness::Ready,
            };
            let asked = m.asked.get();
            let entry = Entry {
                machine: m.name.clone(),
                address: m.address.clone(),
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                cell: m.cell,
                readiness: readiness as i32,
                started_us: m.started.get(),
                cores_left: m.cores - asked.0,
                memory_left: m.memory - asked.1,
                labels: m.labels.borrow().clone(),
            };
            entries.insert(m.name.clone(), entry);
        }
        self.past.push_back((now, entries));
        let shown = now - self.late.notice_us - self.me.stale_us.get();
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
        let until = self.world.clock.now() - self.late.notice_us - self.me.stale_us.get();
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
