//! A register for thousands of hollow machines and many watchers: processes of machines tell it their
//! entries, and it tells each watcher what changed since it was told last. Entries are numbered as they
//! change, so that a watcher costs a number here, not a copy of the list.
use super::traffic::{CountingStream, Traffic};
use crate::registry::{differ_in_capacity_only, with_capacity_for};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Entry, Readiness, Role};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// Time between looks at what changed, in microseconds.
const PERIOD: u64 = 200_000;

/// A loopback host of this process's own: a port that was free a moment ago on the usual one may be another's
/// by now, and ports of who dials are not taken from those of who listens.
pub fn host_of(sort: u32) -> String {
    let id = std::process::id();
    format!("127.{}.{}.{}", 96 + sort % 24, id / 254 % 254 + 1, id % 254 + 1)
}

#[derive(Debug)]
pub enum RegistryCommand {
    /// Say what was carried.
    Tell,
}

struct Conn {
    orders: mpsc::Sender<LinkCommand>,
    party: Option<PeerIdentity>,
    watches: bool,
    brief: bool,
    /// The number of the newest change that it was told.
    told: u64,
    traffic: Rc<RefCell<Traffic>>,
}

struct Row {
    entry: Entry,
    changed: u64,
    /// The last change that was not of a ready machine's room alone.
    other: u64,
    /// Who tells of it.
    by: u64,
}

#[derive(Default)]
struct RegistryState {
    rows: BTreeMap<String, Row>,
    changes: u64,
    stamp: u64,
    conns: HashMap<u64, Conn>,
    /// By planner: what ended connections carried.
    past: BTreeMap<String, Traffic>,
    /// Of rolls: the highest token that was seen.
    fence: u64,
}

/// Runs a register at a listener until `words` ends; answers go to `out`. `lists`: entries that it has from
/// the start.
pub async fn run(
    listener: TcpListener,
    lists: Vec<Entry>,
    mut words: mpsc::Receiver<RegistryCommand>,
    out: impl Fn(Value),
) -> io::Result<()> {
    let clock = Clock::start();
    let (news, mut heard) = mpsc::channel::<(u64, LinkEvent)>(4096);
    let mut period = tokio::time::interval(std::time::Duration::from_micros(PERIOD));
    let mut register = RegistryState::default();
    lists.into_iter().for_each(|e| register.takes(0, e));
    let mut count = 0;
    loop {
        tokio::select! {
            word = words.recv() => match word {
                Some(RegistryCommand::Tell) => out(register.view()),
                None => return Ok(()),
            },
            _ = period.tick() => register.look(),
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                count += 1;
                register.accept(stream, count, clock, news.clone());
            },
            Some((conn, n)) = heard.recv() => register.hear(conn, n),
        }
    }
}

impl RegistryState {
    fn accept(&mut self, stream: TcpStream, conn: u64, clock: Clock, news: mpsc::Sender<(u64, LinkEvent)>) {
        let (orders, inbox) = mpsc::channel(1024);
        let traffic = Rc::new(RefCell::new(Traffic::default()));
        let stream = CountingStream::new(stream, Rc::new(Cell::new(false)), traffic.clone());
        self.conns.insert(conn, Conn { orders, party: None, watches: false, brief: false, told: 0, traffic });
        let (name, login) = ("register".into(), String::new());
        let me = PeerIdentity { role: Role::Register, name, epoch: 1, link: conn, login };
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext::new(me, clock),
            inbox,
            news,
            move |n| (conn, n),
        ));
    }

    fn takes(&mut self, by: u64, entry: Entry) {
        if self.rows.get(&entry.machine).is_some_and(|r| r.entry == entry && r.by == by) {
            return;
        }
        self.changes += 1;
        let changed = self.changes;
        let before = self.rows.get(&entry.machine).filter(|r| differ_in_capacity_only(&r.entry, &entry));
        let other = before.map_or(changed, |r| r.other);
        self.rows.insert(entry.machine.clone(), Row { entry, changed, other, by });
    }

    fn hear(&mut self, conn: u64, news: LinkEvent) {
        match news {
            LinkEvent::Session(SessionEvent::Up(party)) => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.party = Some(party);
                }
            }
            LinkEvent::Session(SessionEvent::Frame(Body::List(list))) => {
                let tells = self.conns.get(&conn).and_then(|c| c.party.as_ref());
                if tells.is_some_and(|p| p.role == Role::Machine) {
                    list.entries.into_iter().for_each(|e| self.takes(conn, e));
                }
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Watch(watch))) => {
                if let Some(c) = self.conns.get_mut(&conn) {
                    (c.watches, c.brief) = (watch.on, watch.brief);
                }
                self.send(conn, true);
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Fetch(fetch))) if fetch.question > 0 => {
                let entries = with_capacity_for(self.rows.values().map(|r| &r.entry), conn, &fetch);
                self.stamp += 1;
                let list = wire::List { whole: false, stamp: self.stamp, entries, question: fetch.question };
                if let Some(c) = self.conns.get(&conn) {
                    let _ = c.orders.try_send(LinkCommand::Send(Body::List(list), None));
                }
            }
            LinkEvent::Session(SessionEvent::Frame(Body::Fetch(_))) => self.send(conn, true),
            LinkEvent::Session(SessionEvent::Frame(Body::Drain(drain))) => {
                // A conductor's word under an older token is refused.
                if drain.token != 0 && drain.token < self.fence {
                    return;
                }
                self.fence = self.fence.max(drain.token);
                let to = self.rows.get(&drain.machine).and_then(|r| self.conns.get(&r.by));
                if let Some(c) = to {
                    let _ = c.orders.try_send(LinkCommand::Send(Body::Drain(drain), None));
                }
            }
            LinkEvent::Ended { .. } => {
                let Some(c) = self.conns.remove(&conn) else { return };
                match c.party {
                    Some(p) if p.role == Role::Machine => self.lost(conn),
                    Some(p) => self.past.entry(p.name).or_default().add(&c.traffic.borrow()),
                    None => {}
                }
            }
            LinkEvent::Session(_) => {}
        }
    }

    /// The process of these machines is gone, and they with it.
    fn lost(&mut self, by: u64) {
        let gone = |r: &&Row| r.by == by;
        let gone: Vec<Entry> = self.rows.values().filter(gone).map(|r| r.entry.clone()).collect();
        gone.into_iter().for_each(|e| self.takes(by, Entry { readiness: Readiness::Gone as i32, ..e }));
    }

    fn look(&mut self) {
        let watching: Vec<u64> = self.conns.iter().filter(|c| c.1.watches).map(|c| *c.0).collect();
        watching.into_iter().for_each(|conn| self.send(conn, false));
    }

    fn send(&mut self, conn: u64, whole: bool) {
        let Some(c) = self.conns.get_mut(&conn) else { return };
        if !whole && c.told == self.changes {
            return;
        }
        let news = |r: &&Row| whole || if c.brief { r.other > c.told } else { r.changed > c.told };
        let entries: Vec<Entry> = self.rows.values().filter(news).map(|r| r.entry.clone()).collect();
        if !whole && entries.is_empty() {
            c.told = self.changes;
            return;
        }
        self.stamp += 1;
        let list = wire::List { whole, stamp: self.stamp, entries, question: 0 };
        if c.orders.try_send(LinkCommand::Send(Body::List(list), None)).is_ok() {
            c.told = self.changes;
        }
    }

    /// What was carried, seen from here, by planner; and what is listed.
    fn view(&self) -> Value {
        let mut all = self.past.clone();
        for c in self.conns.values() {
            if let Some(p) = c.party.as_ref().filter(|p| p.role != Role::Machine) {
                all.entry(p.name.clone()).or_default().add(&c.traffic.borrow());
            }
        }
        let by: serde_json::Map<String, Value> = all.iter().map(|(p, t)| (p.clone(), t.view())).collect();
        let ready = self.rows.values().filter(|r| r.entry.readiness == Readiness::Ready as i32).count();
        json!({"listed": self.rows.len(), "ready": ready, "changes": self.changes, "planners": by})
    }
}
