//! A simulated registry of machines. It reports changes with a delay, reports silent machines even
//! later, and can be delayed further by a fault.
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

/// Delays of the registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryDelays {
    /// Age of the state that the registry reports, in microseconds.
    pub notice_us: i64,
    /// Time after which a silent machine is listed as gone, in microseconds.
    pub silent_notice_us: i64,
    /// Interval at which the registry reads the state of the machines, in microseconds.
    pub period_us: i64,
}

/// The registry's properties and faults, as fault scenarios access them.
pub struct SimulatedRegistry {
    /// Address that the registry listens on.
    pub address: String,
    /// Faults of the registry's links.
    pub faults: Rc<FaultInjection>,
    /// Additional delay that a fault sets, in microseconds.
    pub stale_us: Cell<i64>,
}

/// Time for which past states are kept, in microseconds.
const RETENTION_US: i64 = 30_000_000;

/// The entries of the machine list, by machine.
type Entries = BTreeMap<String, Entry>;

/// Returns whether two entries of a ready machine differ only in its capacity. Brief watches leave
/// such changes out.
pub fn differ_in_capacity_only(first: &Entry, second: &Entry) -> bool {
    let with_second_capacity =
        Entry { cores_left: second.cores_left, memory_left: second.memory_left, ..first.clone() };
    with_second_capacity == *second && second.readiness() == Readiness::Ready
}

/// Returns the ready machines that match a query and have the capacity it requests. The order is
/// random per query, so that planners do not all choose the same machine.
pub fn machines_with_capacity<'a>(
    all: impl Iterator<Item = &'a Entry>,
    connection: u64,
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
    all.shuffle(&mut StdRng::seed_from_u64(connection << 32 ^ fetch.question));
    all.into_iter().take(fetch.most as usize).cloned().collect()
}

/// A connection to the registry.
struct Watcher {
    commands: mpsc::Sender<LinkCommand>,
    /// Whether the peer watches the machine list.
    watches: bool,
    /// Whether the watch leaves out changes of capacity alone.
    brief: bool,
    /// The entries as they were last sent.
    sent: Entries,
}

/// State of the registry, which its own task of the runtime owns.
struct RegistryState {
    shared: Rc<SimulatedRegistry>,
    context: Rc<TestbedContext>,
    fleet: Vec<Rc<SimulatedMachine>>,
    delays: RegistryDelays,
    /// Past states of the list with their times in microseconds, the newest last.
    past: VecDeque<(i64, Entries)>,
    /// Since when machines are silent, in microseconds.
    silent_since: HashMap<String, i64>,
    watchers: BTreeMap<u64, Watcher>,
    /// Stamp of the last list that was sent.
    stamp: u64,
    /// Highest fencing token of a rolling restart's orders.
    fencing_token: u64,
    /// Fencing token and number of the last rolling restart order to each machine.
    last_orders: HashMap<String, (u64, u64)>,
}

/// Starts a registry on a loopback port.
///
/// # Errors
///
/// Fails if no port can be bound.
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
        fencing_token: 0,
        last_orders: HashMap::new(),
    };
    tokio::task::spawn_local(state.run(listener));
    Ok(shared)
}

impl RegistryState {
    /// Reads the machines' state at intervals, and handles connections.
    async fn run(mut self, listener: TcpListener) {
        let (events, mut inbox) = mpsc::channel(1024);
        let mut period =
            tokio::time::interval(std::time::Duration::from_micros(self.delays.period_us as u64));
        let mut connections = 0;
        loop {
            tokio::select! {
                _ = period.tick() => self.record(),
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        connections += 1;
                        self.accept(stream, connections, events.clone());
                    }
                }
                Some((number, event)) = inbox.recv() => self.link_event(number, event),
            }
        }
    }

    /// Starts a link with fault injection on a new connection, and reports the lists it carries to
    /// the checker.
    fn accept(&mut self, stream: tokio::net::TcpStream, number: u64, events: mpsc::Sender<(u64, LinkEvent)>) {
        let _ = stream.set_nodelay(true);
        let (outer, inner) = tokio::io::duplex(256 * 1024);
        let (commands, inbox) = mpsc::channel(1024);
        self.watchers
            .insert(number, Watcher { commands, watches: false, brief: false, sent: Entries::new() });
        let (context, clock) = (self.context.clone(), self.context.clock);
        let observe = move |hello: &wire::Hello, observation: LinkObservation| {
            if let LinkObservation::SocketWritten { body: Body::List(list) } = observation {
                let planner = (hello.name.clone(), hello.epoch);
                context.checker.borrow_mut().registry_sent(context.clock.now(), &planner, list);
            }
        };
        tokio::task::spawn_local(faulty_link::forward(
            stream,
            inner,
            number,
            self.shared.faults.clone(),
            clock,
            observe,
        ));
        let identity = PeerIdentity {
            role: Role::Register,
            name: "register".into(),
            epoch: 1,
            link: number,
            login: String::new(),
        };
        tokio::task::spawn_local(link::run(
            outer,
            link::LinkContext::new(identity, clock),
            inbox,
            events,
            move |event| (number, event),
        ));
    }

    /// Handles an event of a connection.
    fn link_event(&mut self, number: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Frame(Body::Watch(watch))) => {
                if let Some(watcher) = self.watchers.get_mut(&number) {
                    (watcher.watches, watcher.brief) = (watch.on, watch.brief);
                }
                self.send(number, true);
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Fetch(fetch))) if fetch.question > 0 => {
                self.answer(number, &fetch)
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Fetch(_))) => self.send(number, true),
            LinkEvent::Session(SessionEvent::Frame(Body::Drain(drain))) => {
                if let Some(machine) =
                    self.fleet.iter().find(|machine| machine.name == drain.machine).cloned()
                {
                    if drain.token == 0 {
                        return machine.send(MachineCommand::Drain(drain.on));
                    }
                    self.rolling_drain(&machine, &drain);
                }
            }
            LinkEvent::Ended { .. } => {
                self.watchers.remove(&number);
            }
            LinkEvent::Session(_) => {}
        }
    }

    /// Passes a rolling restart's drain order on, and rejects it if its fencing token or number is
    /// older than that of an earlier order.
    fn rolling_drain(&mut self, machine: &SimulatedMachine, drain: &wire::Drain) {
        let (order, last) =
            ((drain.token, drain.number), self.last_orders.entry(machine.name.clone()).or_default());
        let late = drain.token < self.fencing_token || (order.0 == last.0 && order <= *last);
        if late {
            tracing::info!(
                machine = machine.name,
                token = drain.token,
                "rejected a drain order of a rolling restart: the same or a newer order was already received"
            );
            return;
        }
        (self.fencing_token, *last) = (drain.token, order);
        machine.send(MachineCommand::RollingDrain { on: drain.on, started_us: drain.started_us });
    }

    /// Records the machines' current state, and sends each watcher the entries that changed in the
    /// delayed state that the registry shows.
    fn record(&mut self) {
        let now = self.context.clock.now();
        let mut entries = Entries::new();
        for machine in &self.fleet {
            let silent = !machine.up.get() || machine.unresponsive.get();
            let since =
                if silent { *self.silent_since.entry(machine.name.clone()).or_insert(now) } else { now };
            if !silent {
                self.silent_since.remove(&machine.name);
            }
            let readiness = match silent {
                true if now >= since + self.delays.silent_notice_us => Readiness::Gone,
                _ if machine.draining.get() => Readiness::Draining,
                _ => Readiness::Ready,
            };
            let reserved = machine.reserved.get();
            let entry = Entry {
                machine: machine.name.clone(),
                address: machine.address.clone(),
                kind: machine.kind.clone(),
                zone: machine.zone.clone(),
                cell: machine.cell,
                readiness: readiness as i32,
                started_us: machine.started_us.get(),
                cores_left: machine.cores - reserved.0,
                memory_left: machine.memory - reserved.1,
                labels: machine.labels.borrow().clone(),
            };
            entries.insert(machine.name.clone(), entry);
        }
        self.past.push_back((now, entries));
        let shown = now - self.delays.notice_us - self.shared.stale_us.get();
        while self.past.len() > 1 && self.past[1].0 <= shown && self.past[0].0 < now - RETENTION_US {
            self.past.pop_front();
        }
        let watching: Vec<u64> =
            self.watchers.iter().filter(|watcher| watcher.1.watches).map(|watcher| *watcher.0).collect();
        watching.into_iter().for_each(|number| self.send(number, false));
    }

    /// Answers a query for machines with capacity.
    fn answer(&mut self, number: u64, fetch: &wire::Fetch) {
        let Some(shown) = self.shown() else { return };
        let entries = machines_with_capacity(shown.values(), number, fetch);
        self.stamp += 1;
        let list = wire::List { whole: false, stamp: self.stamp, entries, question: fetch.question };
        if let Some(watcher) = self.watchers.get(&number) {
            let _ = watcher.commands.try_send(LinkCommand::Send(Body::List(list), None));
        }
    }

    /// Returns the list as the registry reports it now: the state as of the registry's delay.
    fn shown(&self) -> Option<&Entries> {
        let until = self.context.clock.now() - self.delays.notice_us - self.shared.stale_us.get();
        self.past.iter().rev().find(|past| past.0 <= until).or(self.past.front()).map(|past| &past.1)
    }

    /// Sends a watcher the whole list, or only the entries that differ from those sent before.
    fn send(&mut self, number: u64, whole: bool) {
        let Some(shown) = self.shown().cloned() else { return };
        self.stamp += 1;
        let stamp = self.stamp;
        let Some(watcher) = self.watchers.get_mut(&number) else { return };
        let brief = watcher.brief;
        let same =
            |sent: &Entry, entry: &Entry| sent == entry || brief && differ_in_capacity_only(sent, entry);
        let is_new =
            |name: &String, entry: &Entry| !watcher.sent.get(name).is_some_and(|sent| same(sent, entry));
        let new = shown.iter().filter(|(name, entry)| whole || is_new(name, entry));
        let entries: Vec<Entry> = new.map(|(_, entry)| entry.clone()).collect();
        if whole || !entries.is_empty() {
            let list = wire::List { whole, stamp, entries, question: 0 };
            if watcher.commands.try_send(LinkCommand::Send(Body::List(list), None)).is_ok() {
                watcher.sent = shown;
            }
        }
    }
}
