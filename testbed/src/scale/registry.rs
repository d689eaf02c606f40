//! A registry for thousands of simulated machines and many watchers. Processes of machines send it
//! their entries, and it sends each watcher what changed since the watcher's last update. Changes
//! are numbered, so that the state of a watcher is one number instead of a copy of the list.
use super::traffic::{by_planner, CountingStream, Traffic, TrafficByPlanner};
use crate::registry::{differ_in_capacity_only, machines_with_capacity};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Entry, Readiness, Role};
use serde::Serialize;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Interval between updates to watchers.
const UPDATE_EVERY: Duration = Duration::from_millis(200);

/// A command to the registry.
#[derive(Debug)]
pub enum RegistryCommand {
    /// Reports the traffic and the size of the list.
    Report,
}

/// A connection to the registry.
struct Connection {
    commands: mpsc::Sender<LinkCommand>,
    /// The peer, once its hello has arrived.
    peer: Option<PeerIdentity>,
    /// Whether the peer watches the machine list.
    watches: bool,
    /// Whether the watch leaves out changes of capacity alone.
    brief: bool,
    /// Number of the newest change that the peer was sent.
    sent_up_to: u64,
    traffic: Rc<RefCell<Traffic>>,
}

/// A machine's entry in the list.
struct Row {
    entry: Entry,
    /// Number of the entry's last change.
    changed: u64,
    /// Number of the last change other than a change of a ready machine's capacity alone.
    changed_beyond_capacity: u64,
    /// Number of the connection that sent the entry; 0: the list contained the entry at the start.
    source: u64,
}

/// State of the registry.
#[derive(Default)]
struct RegistryState {
    /// The machine list, by machine.
    rows: BTreeMap<String, Row>,
    /// Number of the last change.
    changes: u64,
    /// Stamp of the last list that was sent.
    stamp: u64,
    connections: HashMap<u64, Connection>,
    /// Traffic of closed connections, by planner.
    past_traffic: TrafficByPlanner,
    /// Highest fencing token of a rolling restart's orders.
    fencing_token: u64,
}

/// Runs a registry on a listener until the sender of `commands` is dropped; reports are passed to
/// `out`. The list starts with `entries`.
pub async fn run(
    listener: TcpListener,
    entries: Vec<Entry>,
    mut commands: mpsc::Receiver<RegistryCommand>,
    out: impl Fn(Value),
) {
    let clock = Clock::start();
    let (events, mut inbox) = mpsc::channel::<(u64, LinkEvent)>(4096);
    let mut updates = tokio::time::interval(UPDATE_EVERY);
    let mut registry = RegistryState::default();
    entries.into_iter().for_each(|entry| registry.update(0, entry));
    let mut count = 0;
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(RegistryCommand::Report) => out(registry.view()),
                None => return,
            },
            _ = updates.tick() => registry.update_watchers(),
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                count += 1;
                registry.accept(stream, count, clock, events.clone());
            },
            Some((number, event)) = inbox.recv() => registry.link_event(number, event),
        }
    }
}

impl RegistryState {
    /// Starts a link on a new connection.
    fn accept(
        &mut self,
        stream: TcpStream,
        number: u64,
        clock: Clock,
        events: mpsc::Sender<(u64, LinkEvent)>,
    ) {
        let (commands, inbox) = mpsc::channel(1024);
        let traffic = Rc::new(RefCell::new(Traffic::default()));
        let stream = CountingStream::new(stream, Rc::new(Cell::new(false)), traffic.clone());
        let connection =
            Connection { commands, peer: None, watches: false, brief: false, sent_up_to: 0, traffic };
        self.connections.insert(number, connection);
        let (name, login) = ("register".into(), String::new());
        let identity = PeerIdentity { role: Role::Register, name, epoch: 1, link: number, login };
        let event = move |event| (number, event);
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(identity, clock),
            inbox,
            events,
            event,
        ));
    }

    /// Updates a machine's entry, and numbers the change if there is one.
    fn update(&mut self, source: u64, entry: Entry) {
        let known = self.rows.get(&entry.machine);
        if known.is_some_and(|row| row.entry == entry && row.source == source) {
            return;
        }
        self.changes += 1;
        let changed = self.changes;
        let before = known.filter(|row| differ_in_capacity_only(&row.entry, &entry));
        let changed_beyond_capacity = before.map_or(changed, |row| row.changed_beyond_capacity);
        self.rows.insert(entry.machine.clone(), Row { entry, changed, changed_beyond_capacity, source });
    }

    /// Handles an event of a connection.
    fn link_event(&mut self, number: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(peer)) => {
                if let Some(connection) = self.connections.get_mut(&number) {
                    connection.peer = Some(peer);
                }
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => self.frame(number, body),
            LinkEvent::Ended { .. } => self.disconnected(number),
            LinkEvent::Session(_) => {}
        }
    }

    /// Handles a frame: entries, watches, queries and drain orders.
    fn frame(&mut self, number: u64, body: Body) {
        match body {
            Body::List(list) => {
                let peer = self.connections.get(&number).and_then(|connection| connection.peer.as_ref());
                if peer.is_some_and(|peer| peer.role == Role::Machine) {
                    list.entries.into_iter().for_each(|entry| self.update(number, entry));
                }
            }
            Body::Watch(watch) => {
                if let Some(connection) = self.connections.get_mut(&number) {
                    (connection.watches, connection.brief) = (watch.on, watch.brief);
                }
                self.send(number, true);
            }
            Body::Fetch(fetch) if fetch.question > 0 => {
                let all = self.rows.values().map(|row| &row.entry);
                let entries = machines_with_capacity(all, number, &fetch);
                self.stamp += 1;
                let list = wire::List { whole: false, stamp: self.stamp, entries, question: fetch.question };
                if let Some(connection) = self.connections.get(&number) {
                    let _ = connection.commands.try_send(LinkCommand::Send(Body::List(list), None));
                }
            }
            Body::Fetch(_) => self.send(number, true),
            Body::Drain(drain) => self.drain(drain),
            _ => {}
        }
    }

    /// Passes a drain order on to the machine's process, unless its fencing token is older than
    /// that of an earlier order.
    fn drain(&mut self, drain: wire::Drain) {
        if drain.token != 0 && drain.token < self.fencing_token {
            return;
        }
        self.fencing_token = self.fencing_token.max(drain.token);
        let row = self.rows.get(&drain.machine);
        if let Some(connection) = row.and_then(|row| self.connections.get(&row.source)) {
            let _ = connection.commands.try_send(LinkCommand::Send(Body::Drain(drain), None));
        }
    }

    /// Removes a closed connection. Keeps the traffic count of planners, and lists machines as
    /// gone.
    fn disconnected(&mut self, number: u64) {
        let Some(connection) = self.connections.remove(&number) else { return };
        match connection.peer {
            Some(peer) if peer.role == Role::Machine => self.machines_gone(number),
            Some(peer) => {
                let traffic = connection.traffic.borrow();
                self.past_traffic.entry(peer.name).or_default().add(&traffic);
            }
            None => {}
        }
    }

    /// Lists all machines of a process as gone after its connection has closed.
    fn machines_gone(&mut self, source: u64) {
        let gone = self.rows.values().filter(|row| row.source == source);
        let gone: Vec<Entry> = gone.map(|row| row.entry.clone()).collect();
        for entry in gone {
            self.update(source, Entry { readiness: Readiness::Gone as i32, ..entry });
        }
    }

    /// Sends each watcher the entries that changed since the watcher's last update.
    fn update_watchers(&mut self) {
        let watching = self.connections.iter().filter(|(_, connection)| connection.watches);
        let watching: Vec<u64> = watching.map(|(number, _)| *number).collect();
        watching.into_iter().for_each(|number| self.send(number, false));
    }

    /// Sends a peer the whole list, or only the entries that changed since its last update.
    fn send(&mut self, number: u64, whole: bool) {
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if !whole && connection.sent_up_to == self.changes {
            return;
        }
        let (brief, sent_up_to) = (connection.brief, connection.sent_up_to);
        let changed = |row: &Row| if brief { row.changed_beyond_capacity } else { row.changed };
        let rows = self.rows.values().filter(|row| whole || changed(row) > sent_up_to);
        let entries: Vec<Entry> = rows.map(|row| row.entry.clone()).collect();
        if !whole && entries.is_empty() {
            connection.sent_up_to = self.changes;
            return;
        }
        self.stamp += 1;
        let list = wire::List { whole, stamp: self.stamp, entries, question: 0 };
        if connection.commands.try_send(LinkCommand::Send(Body::List(list), None)).is_ok() {
            connection.sent_up_to = self.changes;
        }
    }

    /// Returns the report: the size of the list, and the traffic with each planner as the registry
    /// counts it.
    fn view(&self) -> Value {
        let planners = self.connections.values().filter_map(|connection| {
            let peer = connection.peer.as_ref().filter(|peer| peer.role != Role::Machine)?;
            Some((peer.name.as_str(), *connection.traffic.borrow()))
        });
        let ready = self.rows.values().filter(|row| row.entry.readiness == Readiness::Ready as i32);
        let view = RegistryView {
            listed: self.rows.len(),
            ready: ready.count(),
            changes: self.changes,
            planners: by_planner(&self.past_traffic, planners),
        };
        serde_json::to_value(view).unwrap_or_default()
    }
}

/// The report of the registry. Serialized names of fields are part of the protocol between
/// processes.
#[derive(Serialize)]
struct RegistryView {
    /// Number of machines in the list.
    listed: usize,
    /// Number of ready machines in the list.
    ready: usize,
    /// Number of changes so far.
    changes: u64,
    /// Traffic by planner.
    planners: TrafficByPlanner,
}
