//! A planner on sockets: one thread, one actor that owns the core, a task a connection. Queues are bounded: what
//! machines and the register say is read before what owners ask; while the actor is behind, links grant their peers
//! nothing more. A peer that does not read is cut off, and may come back and ask again.
use crate::core::{Core, Out, Who, REGISTER};
use basaltpitch::host::Given;
use basaltpitch_agent::link::{self, Clock, News, Order};
use basaltpitch_agent::session::{Event, Party};
use basaltpitch_agent::wire::{Body, Role};
use std::collections::HashMap;
use std::io;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::LocalSet;

/// News that wait for the actor, and orders that wait for a link.
const INBOX: usize = 1024;
const ORDERS: usize = 4096;
/// How long no connection is accepted after one could not be, in microseconds.
const REST: i64 = 10_000;
/// News that are handled before orders go out.
const BATCH: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum From {
    Peer { peer: usize, link: u64 },
    Conn(u64),
}

struct Linked {
    link: u64,
    orders: mpsc::Sender<Order>,
}

/// Serves until `stop` is done. Owners and operators connect to `listener`.
pub async fn serve(
    listener: TcpListener,
    who: Who,
    given: Given,
    record: Option<Box<dyn io::Write + Send>>,
    stop: impl std::future::Future<Output = ()>,
) {
    LocalSet::new().run_until(actor(listener, who, given, record, stop)).await;
}

struct Actor {
    core: Core,
    clock: Clock,
    me: Party,
    peers: HashMap<usize, Linked>,
    conns: HashMap<u64, mpsc::Sender<Order>>,
    first: mpsc::Sender<(From, News)>,
}

async fn actor(
    listener: TcpListener,
    who: Who,
    given: Given,
    record: Option<Box<dyn io::Write + Send>>,
    stop: impl std::future::Future<Output = ()>,
) {
    let clock = Clock::start();
    let me = Party { role: Role::Planner, name: who.name.clone(), epoch: who.epoch, link: 0 };
    // Machines and the register have an inbox of their own, which goes first.
    let (first, mut machines) = mpsc::channel(INBOX);
    let (later, mut owners) = mpsc::channel(INBOX);
    let core = Core::new(who, given, clock.now(), record);
    let mut a = Actor { core, clock, me, peers: HashMap::new(), conns: HashMap::new(), first };
    let mut conns = 0;
    // Out of descriptors, no connection is accepted for a moment; everything else goes on.
    let mut rests_until = 0;
    tokio::pin!(stop);
    loop {
        a.carry_out();
        let rests = clock.now() < rests_until;
        let wake = clock.at(if rests { a.core.next_at().min(rests_until) } else { a.core.next_at() });
        tokio::select! {
            biased;
            () = &mut stop => break,
            Some((from, news)) = machines.recv() => {
                a.hear(from, news);
                for _ in 0..BATCH {
                    let Ok((from, news)) = machines.try_recv() else { break };
                    a.hear(from, news);
                }
            }
            () = tokio::time::sleep_until(wake) => a.core.clock(clock.now()),
            Some((from, news)) = owners.recv() => {
                a.hear(from, news);
                for _ in 0..BATCH / 4 {
                    let Ok((from, news)) = owners.try_recv() else { break };
                    a.hear(from, news);
                }
            }
            accepted = listener.accept(), if !rests => match accepted {
                Ok((stream, _)) => {
                    conns += 1;
                    a.accept(stream, conns, later.clone());
                }
                Err(e) => {
                    tracing::warn!(error = %e, "a connection could not be accepted");
                    rests_until = clock.now() + REST;
                }
            },
        }
    }
    for (_, linked) in a.peers.drain() {
        let _ = linked.orders.try_send(Order::Close("the planner stops".into()));
    }
    for (_, orders) in a.conns.drain() {
        let _ = orders.try_send(Order::Close("the planner stops".into()));
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
}

impl Actor {
    fn accept(&mut self, stream: TcpStream, conn: u64, news: mpsc::Sender<(From, News)>) {
        let _ = stream.set_nodelay(true);
        let (orders, inbox) = mpsc::channel(ORDERS);
        self.conns.insert(conn, orders);
        let (me, clock) = (self.me.clone(), self.clock);
        tokio::task::spawn_local(link::run(stream, me, clock, inbox, news, move |n| (From::Conn(conn), n)));
    }

    fn dial(&mut self, peer: usize, link: u64, name: &str, address: &str) {
        tracing::debug!(peer = name, address, link, "dial");
        let (orders, inbox) = mpsc::channel(ORDERS);
        self.peers.insert(peer, Linked { link, orders });
        let me = Party { link, ..self.me.clone() };
        let (clock, news) = (self.clock, self.first.clone());
        let within = Duration::from_micros(self.core.connect_us() as u64);
        let address = address.to_owned();
        let wrap = move |n| (From::Peer { peer, link }, n);
        tokio::task::spawn_local(async move {
            let why = match tokio::time::timeout(within, TcpStream::connect(&address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    return link::run(stream, me, clock, inbox, news, wrap).await;
                }
                Ok(Err(e)) => format!("no connection: {e}"),
                Err(_) => "no connection in time".into(),
            };
            let _ = news.send(wrap(News::Ended { why, unsent: Vec::new() })).await;
        });
    }

    fn hear(&mut self, from: From, news: News) {
        let now = self.clock.now();
        match from {
            From::Peer { peer: REGISTER, link } => self.hear_register(now, link, news),
            From::Peer { peer, link } => self.hear_machine(now, peer, link, news),
            From::Conn(conn) => self.hear_conn(now, conn, news),
        }
    }

    fn close_peer(&mut self, peer: usize, link: u64, why: &str) {
        if let Some(linked) = self.peers.get(&peer).filter(|x| x.link == link) {
            let _ = linked.orders.try_send(Order::Close(why.to_owned()));
        }
    }

    fn hear_register(&mut self, now: i64, link: u64, news: News) {
        match news {
            News::Session(Event::Up(party)) if party.role == Role::Register => {
                tracing::info!(register = party.name, "the register answers");
                self.core.register_up(now);
            }
            News::Session(Event::Up(party)) => {
                tracing::error!(role = ?party.role, "register: found another role; expected a register");
                self.close_peer(REGISTER, link, "role: expected a register");
            }
            News::Session(Event::Frame(body)) => {
                if let Err(e) = self.core.register_frame(now, body) {
                    tracing::error!(error = e, "register");
                }
            }
            News::Session(_) => {}
            News::Ended { why, .. } => {
                tracing::warn!(why, "the register does not answer; the last list stands");
                self.peers.remove(&REGISTER);
                self.core.register_down(now);
            }
        }
    }

    fn hear_machine(&mut self, now: i64, m: usize, link: u64, news: News) {
        match news {
            News::Session(Event::Up(party)) => {
                let right = party.role == Role::Machine
                    && self.core.machine_up(now, m, link, &party.name, party.epoch);
                if right {
                    tracing::info!(machine = party.name, link, started = party.epoch, "link up");
                } else {
                    tracing::warn!(
                        found = party.name,
                        link,
                        "link of no use: another machine, or an older start of it"
                    );
                    self.close_peer(m, link, "another machine, or an older start of it, was expected");
                }
            }
            News::Session(Event::Frame(body)) => {
                if let Err(e) = self.core.machine_frame(now, m, link, body) {
                    tracing::error!(machine = m, error = e, "a frame that makes no sense; the link ends");
                    self.close_peer(m, link, &e);
                }
            }
            News::Session(Event::Health(state)) => {
                tracing::info!(machine = self.core.machine_name(m), state = ?state, "link");
                let suspect = state != basaltpitch_agent::health::State::Well;
                self.core.machine_suspect(now, m, link, suspect);
            }
            News::Session(Event::Closed(_)) => {}
            News::Ended { why, unsent } => {
                tracing::info!(
                    machine = self.core.machine_name(m),
                    link,
                    why,
                    unsent = unsent.len(),
                    "link down"
                );
                if self.peers.get(&m).is_some_and(|x| x.link == link) {
                    self.peers.remove(&m);
                }
                self.core.machine_down(now, m, link, &unsent);
            }
        }
    }

    fn hear_conn(&mut self, now: i64, conn: u64, news: News) {
        match news {
            News::Session(Event::Up(party)) if !matches!(party.role, Role::Owner | Role::Operator) => {
                self.close_conn(conn, "role: expected an owner or an operator");
            }
            News::Session(Event::Frame(body)) => {
                if let Err(e) = self.core.conn_frame(now, conn, body) {
                    tracing::warn!(conn, error = e, "a question that makes no sense");
                    self.close_conn(conn, &e);
                }
            }
            News::Session(_) => {}
            News::Ended { why, .. } => {
                tracing::debug!(conn, why, "owner gone");
                self.conns.remove(&conn);
                self.core.conn_down(conn);
            }
        }
    }

    fn close_conn(&mut self, conn: u64, why: &str) {
        if let Some(orders) = self.conns.get(&conn) {
            let _ = orders.try_send(Order::Close(why.to_owned()));
        }
    }

    /// Hands frames to links and dials. What a link does not take is told to the core at once, or, to an owner
    /// who does not read, ends the connection: it may ask again and gets the same answer.
    fn carry_out(&mut self) {
        while let Some(out) = self.core.next_out() {
            match out {
                Out::Dial { peer, link, name, address } => self.dial(peer, link, &name, &address),
                Out::Register(body) => {
                    if let Some(linked) = self.peers.get(&REGISTER) {
                        let _ = linked.orders.try_send(Order::Send(body, None));
                    }
                }
                Out::Machine { machine, body, mark } => self.send_machine(machine, body, mark),
                Out::Conn { conn, body } => self.send_conn(conn, body),
                Out::Hang { machine, why } => {
                    if let Some(linked) = self.peers.get(&machine) {
                        let _ = linked.orders.try_send(Order::Close(why.to_owned()));
                    }
                }
            }
        }
    }

    fn send_machine(&mut self, machine: usize, body: Body, mark: Option<u64>) {
        if let Some(linked) = self.peers.get(&machine) {
            match linked.orders.try_send(Order::Send(body, mark)) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    tracing::warn!(
                        machine = self.core.machine_name(machine),
                        "the machine does not read; its link ends"
                    );
                    // Dropping the orders ends the link once it has taken those that wait.
                    self.peers.remove(&machine);
                }
                Err(TrySendError::Closed(_)) => {}
            }
        }
        if let Some(number) = mark {
            self.core.launch_unsent(self.clock.now(), number);
        }
    }

    fn send_conn(&mut self, conn: u64, body: Body) {
        let Some(orders) = self.conns.get(&conn) else { return };
        if let Err(TrySendError::Full(_)) = orders.try_send(Order::Send(body, None)) {
            tracing::warn!(conn, "an owner does not read; its connection ends");
            self.conns.remove(&conn);
        }
    }
}
