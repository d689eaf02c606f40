//! A planner on sockets: one thread, one actor that owns the core, a task a connection. Queues are bounded:
//! what machines and the register say is read before what owners ask; while the actor is behind, links grant
//! their peers nothing more. A peer that does not read is cut off, and may come back and ask again.
use crate::admission::AdmissionController;
use crate::lease_client::{LeaseDeadline, LeaseEvent, LeaseRecord};
use crate::peer_links::{PeerLinks, PeerLinksConfig};
use crate::rolling_restart::{RollingRestartConfig, RollingRestartCoordinator};
use crate::state::{Identity, Output, PlannerState, REGISTRY};
use crate::tenancy::{Learnt, Task, Ways};
use crate::view;
use crate::zone_monitor;
use basaltpitch::host::Settings;
use basaltpitch_agent::acceptor::Acceptor;
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{Body, Role};
use basaltpitch_constraints::Constraint;
use basaltpitch_ldap::{DirectorySettings, SeenEntries, SyncError, SyncResult, SyncState};
use basaltpitch_snapshot_store::SnapshotStore;
use basaltpitch_subsetting::SubsetConfig;
use basaltpitch_tenants::tenant_directory::FORMAT;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::LocalSet;

/// News that wait for the actor, and orders that wait for a link.
const INBOX: usize = 1024;
const ORDERS: usize = 4096;
/// To another planner little is under way: a question and an answer.
const PEERS_ORDERS: usize = 16;
/// News that are handled before orders go out.
const BATCH: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum From {
    Peer {
        peer: usize,
        link: u64,
    },
    Conn(u64),
    /// Another planner, dialled from here; one that dials is a connection.
    Planner(u64),
}

struct Linked {
    link: u64,
    orders: mpsc::Sender<LinkCommand>,
}

/// What a planner is started with.
pub struct PlannerConfig {
    pub identity: Identity,
    pub settings: Settings,
    /// Where the decisions are recorded.
    pub recording: Option<Box<dyn io::Write + Send>>,
    /// Where tasks may run, and where each clause stands, in words.
    pub constraints: Vec<(Constraint, String)>,
    /// Where tenants are learnt from.
    pub directory: Option<DirectorySettings>,
    /// What outlives this planner.
    pub store: Option<SnapshotStore>,
    /// The seat that it serves under, where there is a council.
    pub lease_deadline: Option<LeaseDeadline>,
    /// What it does beside placing, under a seat.
    pub rolling_restart: Option<RollingRestartConfig>,
    /// Whether askings that are not worth starting are declined at once.
    pub admission_enabled: bool,
    /// How it meets the other planners, under a seat.
    pub peer_links: Option<PeerLinksConfig>,
    /// What its links share with the others of the process.
    pub links: LinkConfig,
    /// The part of the fleet that it links to, where it has one, and the names of all seats.
    pub subset: Option<(SubsetConfig, Vec<Rc<str>>)>,
}

/// Names of what is remembered of tenants: all of it, and when it was last heard in full.
const TENANTS: &str = "tenants";
const HEARD: &str = "tenants heard";
/// Memories that may wait for the disk; a further one waits for the next full sweep.
const MOST_WAITING: usize = 4;

/// Serves until `stop` is done. Owners and operators connect to `listener`.
pub async fn serve(
    listener: TcpListener,
    config: PlannerConfig,
    stop: impl std::future::Future<Output = ()>,
) {
    LocalSet::new().run_until(actor(listener, config, stop)).await;
}

/// News of a sweep.
enum Heard {
    Answered(u64),
    Ended(u64, Result<SyncResult, SyncError>),
}

/// The directory's side of the service: one sweep at a time, beside the planner's other work.
struct Sweeps {
    directory: DirectorySettings,
    /// What each server gave last.
    seen: Vec<SeenEntries>,
    under: Option<(Task, tokio::task::JoinHandle<()>)>,
    news: mpsc::Sender<Heard>,
}

impl Sweeps {
    fn begin(&mut self, task: Task) {
        if let Some((_, given_up)) = self.under.take() {
            given_up.abort();
        }
        let last = std::mem::take(&mut self.seen[task.server]);
        let seen = if task.whole { SeenEntries::default() } else { last };
        let before = SyncState { seen, cookie: task.cookie.clone() };
        let (source, news, number, server) =
            (self.directory.source.clone(), self.news.clone(), task.number, task.server);
        let running = tokio::task::spawn_local(async move {
            let first = news.clone();
            let answered = move || {
                let _ = first.try_send(Heard::Answered(number));
            };
            let swept = basaltpitch_ldap::sync(&source, server, before, answered).await;
            let _ = news.send(Heard::Ended(number, swept)).await;
        });
        self.under = Some((task, running));
    }

    /// Keeps what the next sweep of the same server can go on from.
    fn ended(&mut self, number: u64, swept: &mut SyncResult) {
        if let Some((task, _)) = self.under.take_if(|u| u.0.number == number) {
            self.seen[task.server] = std::mem::take(&mut swept.seen);
        }
    }
}

/// What is remembered is written on a thread of its own: the disk must not hold up the planner.
fn writer(store: SnapshotStore) -> std::sync::mpsc::SyncSender<(i64, Option<Vec<u8>>)> {
    let (memories, inbox) = std::sync::mpsc::sync_channel::<(i64, Option<Vec<u8>>)>(MOST_WAITING);
    std::thread::spawn(move || {
        for (at, all) in inbox {
            let kept = match all {
                Some(all) => store.put(TENANTS, FORMAT, at, &all),
                None => Ok(()),
            };
            if let Err(e) = kept.and_then(|()| store.put(HEARD, FORMAT, at, &[])) {
                tracing::error!(error = %e, "tenants cannot be remembered; the planner serves on");
            }
        }
    });
    memories
}

/// What is remembered of tenants, with the time when it was last heard in full. What cannot be read is named
/// and left.
fn remembered(store: &SnapshotStore) -> Option<(i64, Vec<u8>)> {
    let get = |name| {
        store.get(name, FORMAT).unwrap_or_else(|e| {
            tracing::error!(error = %e, "what is remembered of tenants cannot be read; beginning without it");
            None
        })
    };
    let all = get(TENANTS)?;
    Some((get(HEARD).map_or(all.time_us, |h| h.time_us.max(all.time_us)), all.bytes))
}

/// Begins to learn from a directory, with what an earlier life remembered.
fn learnt(seed: u64, now: i64, directory: &DirectorySettings, store: Option<&SnapshotStore>) -> Learnt {
    let ways = Ways {
        servers: directory.source.urls.clone(),
        terms: directory.terms.clone(),
        pace: directory.pace,
        caution: directory.caution,
    };
    let kept = store.and_then(remembered);
    let begun = Learnt::new(seed, now, ways.clone(), kept.as_ref().map(|k| (k.0, &k.1[..])));
    begun.unwrap_or_else(|e| {
        tracing::error!(error = e, "what is remembered of tenants makes no sense; beginning without it");
        Learnt::new(seed, now, ways, None).expect("nothing is remembered")
    })
}

struct Actor {
    core: PlannerState,
    clock: Clock,
    me: PeerIdentity,
    links: LinkConfig,
    /// Machines and the register that are dialled or linked.
    linked: HashMap<usize, Linked>,
    conns: HashMap<u64, mpsc::Sender<LinkCommand>>,
    first: mpsc::Sender<(From, LinkEvent)>,
    sweeps: Option<Sweeps>,
    memories: Option<std::sync::mpsc::SyncSender<(i64, Option<Vec<u8>>)>>,
    tenure: Option<LeaseDeadline>,
    rolls: Option<RollingRestartCoordinator>,
    peers: Option<PeerLinks>,
    /// All seats in the installation's order, where the planner works a part.
    seats: Vec<Rc<str>>,
    /// Where news of links to other planners go: they may be dropped, those of machines may not.
    later: mpsc::Sender<(From, LinkEvent)>,
}

/// The next word of the council, where there is one.
async fn word(rolls: &mut Option<RollingRestartCoordinator>) -> Option<LeaseEvent> {
    rolls.as_mut()?.next_lease_event().await
}

async fn actor(listener: TcpListener, config: PlannerConfig, stop: impl std::future::Future<Output = ()>) {
    let PlannerConfig {
        identity: who,
        settings: given,
        recording: record,
        constraints: clauses,
        directory,
        store,
        lease_deadline: tenure,
        rolling_restart: duties,
        admission_enabled: weighs,
        peer_links: meeting,
        subset: part,
        links,
    } = config;
    let clock = Clock::start();
    let me = PeerIdentity {
        role: Role::Planner,
        name: who.name.clone(),
        epoch: who.epoch,
        link: 0,
        login: String::new(),
    };
    // Machines and the register have an inbox of their own, which goes first.
    let (first, mut machines) = mpsc::channel(INBOX);
    let (later, mut owners) = mpsc::channel(INBOX);
    let (news, mut heard) = mpsc::channel(16);
    let (seed, epoch) = (who.seed, who.epoch);
    let admission = weighs.then(|| AdmissionController::new(clock.now(), seed, &given));
    let mut core = PlannerState::new(who, given, clock.now(), record);
    if let Some(controller) = admission {
        core.enable_admission(clock.now(), controller);
    }
    let seats = part.map(|(terms, seats)| (core.use_subset(clock.now(), terms), seats).1).unwrap_or_default();
    let (clauses, places) = clauses.into_iter().unzip();
    core.set_constraints(clauses, places);
    let sweeps = directory.map(|directory| {
        core.use_directory(clock.now(), learnt(seed, clock.now(), &directory, store.as_ref()));
        let seen = vec![SeenEntries::default(); directory.source.urls.len()];
        Sweeps { directory, seen, under: None, news }
    });
    let memories = store.map(writer);
    let (linked, conns) = (HashMap::new(), HashMap::new());
    let rolls = duties.map(RollingRestartCoordinator::new);
    let others = meeting.map(|meeting| PeerLinks::new(clock.now(), meeting, epoch, seed));
    let mut a = Actor {
        core,
        clock,
        me,
        links,
        linked,
        conns,
        first,
        sweeps,
        memories,
        tenure,
        rolls,
        peers: others,
        seats,
        later,
    };
    let mut conns = 0;
    let mut accepting = Acceptor::new(listener);
    tokio::pin!(stop);
    loop {
        a.carry_out();
        let roll_at = a.rolls.as_ref().map_or(i64::MAX, RollingRestartCoordinator::next_wakeup_us);
        let peers_at = a.peers.as_ref().map_or(i64::MAX, PeerLinks::next_due_us);
        let wake = clock.at(a.core.next_at().min(roll_at).min(peers_at));
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
            Some(of) = heard.recv() => a.hear_directory(of),
            Some(word) = word(&mut a.rolls) => a.hear_council(word),
            () = tokio::time::sleep_until(wake) => {
                a.core.advance_clock(clock.now());
                if let Some(rolls) = &mut a.rolls {
                    rolls.advance(clock.now());
                }
                if let Some(peers) = &mut a.peers {
                    peers.advance(clock.now(), &mut a.core);
                }
            }
            Some((from, news)) = owners.recv() => {
                a.hear(from, news);
                for _ in 0..BATCH / 4 {
                    let Ok((from, news)) = owners.try_recv() else { break };
                    a.hear(from, news);
                }
            }
            (stream, _) = accepting.accept() => {
                conns += 1;
                a.accept(stream, conns);
            }
        }
    }
    for (_, linked) in a.linked.drain() {
        let _ = linked.orders.try_send(LinkCommand::Close("the planner stops".into()));
    }
    for (_, orders) in a.conns.drain() {
        let _ = orders.try_send(LinkCommand::Close("the planner stops".into()));
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
}

impl Actor {
    fn accept(&mut self, stream: TcpStream, conn: u64) {
        let (orders, inbox) = mpsc::channel(ORDERS);
        self.conns.insert(conn, orders);
        let news = self.later.clone();
        let (links, me, clock) = (self.links.clone(), self.me.clone(), self.clock);
        let wrap = move |n| (From::Conn(conn), n);
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext { config: links, identity: me, clock },
            inbox,
            news,
            wrap,
        ));
    }

    fn dial(&mut self, peer: usize, link: u64, name: &str, address: &str) {
        tracing::debug!(peer = name, address, link, "dial");
        let (orders, inbox) = mpsc::channel(ORDERS);
        self.linked.insert(peer, Linked { link, orders });
        self.connect(From::Peer { peer, link }, link, address, inbox, self.first.clone());
    }

    /// Another planner is dialled.
    fn meet(&mut self, link: u64, address: &str) {
        let (orders, inbox) = mpsc::channel(PEERS_ORDERS);
        self.conns.insert(link, orders);
        self.connect(From::Planner(link), link, address, inbox, self.later.clone());
    }

    fn connect(
        &self,
        from: From,
        link: u64,
        address: &str,
        inbox: mpsc::Receiver<LinkCommand>,
        news: mpsc::Sender<(From, LinkEvent)>,
    ) {
        let me = PeerIdentity { link, ..self.me.clone() };
        let (links, clock) = (self.links.clone(), self.clock);
        let within = Duration::from_micros(self.core.connect_timeout_us() as u64);
        let address = address.to_owned();
        let wrap = move |n| (from, n);
        tokio::task::spawn_local(async move {
            let why = match tokio::time::timeout(within, TcpStream::connect(&address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    return link::run(
                        stream,
                        link::LinkContext { config: links, identity: me, clock },
                        inbox,
                        news,
                        wrap,
                    )
                    .await;
                }
                Ok(Err(e)) => format!("no connection: {e}"),
                Err(_) => "no connection in time".into(),
            };
            let _ = news.send(wrap(LinkEvent::Ended { why, unsent: Vec::new() })).await;
        });
    }

    fn hear_directory(&mut self, heard: Heard) {
        let now = self.clock.now();
        match heard {
            Heard::Answered(number) => self.core.directory_answered(now, number),
            Heard::Ended(number, Ok(mut swept)) => {
                if let Some(sweeps) = &mut self.sweeps {
                    sweeps.ended(number, &mut swept);
                }
                self.core.directory_synced(now, number, Some(swept.sweep), swept.problems);
            }
            Heard::Ended(number, Err(fault)) => {
                tracing::info!(error = %fault, "a sweep of the directory brought nothing");
                self.core.directory_synced(now, number, None, vec![fault.to_string()]);
            }
        }
    }

    fn hear(&mut self, from: From, news: LinkEvent) {
        let now = self.clock.now();
        match from {
            From::Peer { peer: REGISTRY, link } => self.hear_register(now, link, news),
            From::Peer { peer, link } => self.hear_machine(now, peer, link, news),
            From::Conn(conn) => self.hear_conn(now, conn, news),
            From::Planner(link) => self.hear_planner(now, link, news),
        }
    }

    fn hear_council(&mut self, word: LeaseEvent) {
        let now = self.clock.now();
        let of_halls = match &word {
            LeaseEvent::Acquired { lease, .. }
            | LeaseEvent::Lost { lease }
            | LeaseEvent::MetadataRecorded { lease } => **lease == *zone_monitor::LEASE_NAME,
            _ => false,
        };
        match (word, &mut self.peers, &mut self.rolls) {
            (word, Some(peers), _) if of_halls => peers.coordinator_event(now, &mut self.core, word),
            (LeaseEvent::Records(records), Some(peers), _) => {
                for LeaseRecord { lease: seat, token, metadata: note } in records {
                    if let Some(note) = note.as_ref().filter(|_| *seat == *zone_monitor::LEASE_NAME) {
                        peers.decision_from_voter(now, &mut self.core, token, note);
                        continue;
                    }
                    let address = note.as_deref().and_then(|note| std::str::from_utf8(note).ok());
                    peers.slot_assigned(now, &seat, token, address);
                }
            }
            (LeaseEvent::HeldSlots(held), ..) => {
                let place = |seat: &Rc<str>| self.seats.iter().position(|s| s == seat);
                self.core.slots_held(now, held.iter().filter_map(place));
            }
            (word, _, Some(rolls)) => rolls.on_lease_event(now, word),
            _ => {}
        }
    }

    /// News of a link to another planner, of either side's dialling.
    fn hear_planner(&mut self, now: i64, link: u64, news: LinkEvent) {
        let Some(peers) = &mut self.peers else {
            return self.close_conn(link, "role: found a planner; this one has no seat and meets none");
        };
        let done = match news {
            LinkEvent::Session(SessionEvent::Up(party)) if party.role == Role::Planner => {
                let Some(orders) = self.conns.get(&link).cloned() else { return };
                peers.link_up(now, link, &party, orders)
            }
            LinkEvent::Session(SessionEvent::Up(_)) => {
                return self.close_conn(link, "role: expected a planner")
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => peers.receive_frame(now, link, body),
            LinkEvent::Session(_) => return,
            LinkEvent::Ended { why, .. } => {
                tracing::debug!(link, why, "no link to a planner any more");
                self.conns.remove(&link);
                peers.link_down(now, link);
                return;
            }
        };
        if let Err(e) = done {
            tracing::info!(error = %e, help = e.advice(), "a link to another planner ends");
            self.close_conn(link, &e.to_string());
        }
    }

    fn close_peer(&mut self, peer: usize, link: u64, why: &str) {
        if let Some(linked) = self.linked.get(&peer).filter(|x| x.link == link) {
            let _ = linked.orders.try_send(LinkCommand::Close(why.to_owned()));
        }
    }

    fn hear_register(&mut self, now: i64, link: u64, news: LinkEvent) {
        match news {
            LinkEvent::Session(SessionEvent::Up(party)) if party.role == Role::Register => {
                tracing::info!(register = party.name, "the register answers");
                self.core.registry_up(now);
            }
            LinkEvent::Session(SessionEvent::Up(party)) => {
                tracing::error!(role = ?party.role, "register: found another role; expected a register");
                self.close_peer(REGISTRY, link, "role: expected a register");
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                if let (Body::List(list), Some(rolls)) = (&body, &mut self.rolls) {
                    rolls.on_machine_list(now, list);
                }
                if let Err(e) = self.core.registry_frame(now, body) {
                    tracing::error!(error = %e, "registry");
                }
            }
            LinkEvent::Session(_) => {}
            LinkEvent::Ended { why, .. } => {
                tracing::warn!(why, "the register does not answer; the last list stands");
                self.linked.remove(&REGISTRY);
                self.core.registry_down(now);
                if let Some(rolls) = &mut self.rolls {
                    rolls.on_registry_lost();
                }
            }
        }
    }

    fn hear_machine(&mut self, now: i64, m: usize, link: u64, news: LinkEvent) {
        match news {
            LinkEvent::Session(SessionEvent::Up(party)) => {
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
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                if let Err(e) = self.core.machine_frame(now, m, link, body) {
                    tracing::error!(machine = m, error = %e, "a frame that makes no sense; the link ends");
                    self.close_peer(m, link, &e.to_string());
                }
            }
            LinkEvent::Session(SessionEvent::Health(state)) => {
                tracing::info!(machine = self.core.machine_name(m), state = ?state, "link");
                let suspect = state != basaltpitch_agent::link_health::LinkHealth::Healthy;
                self.core.machine_suspect(now, m, link, suspect);
            }
            LinkEvent::Session(SessionEvent::Closed(_)) => {}
            LinkEvent::Ended { why, unsent } => {
                tracing::info!(
                    machine = self.core.machine_name(m),
                    link,
                    why,
                    unsent = unsent.len(),
                    "link down"
                );
                if self.linked.get(&m).is_some_and(|x| x.link == link) {
                    self.linked.remove(&m);
                }
                self.core.machine_down(now, m, link, &unsent);
            }
        }
    }

    fn hear_conn(&mut self, now: i64, conn: u64, news: LinkEvent) {
        match news {
            news if self.peers.as_ref().is_some_and(|p| p.has_link(conn)) => {
                self.hear_planner(now, conn, news)
            }
            LinkEvent::Session(SessionEvent::Up(party))
                if party.role == Role::Planner && self.peers.is_some() =>
            {
                self.hear_planner(now, conn, LinkEvent::Session(SessionEvent::Up(party)));
            }
            LinkEvent::Session(SessionEvent::Up(party))
                if !matches!(party.role, Role::Owner | Role::Operator) =>
            {
                self.close_conn(conn, "role: expected an owner or an operator");
            }
            LinkEvent::Session(SessionEvent::Up(party)) => self.core.client_connected(conn, &party.login),
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                let beside = || {
                    let mut told = serde_json::json!({"traffic": view::traffic(&self.links.traffic)});
                    if let Some(peers) = &self.peers {
                        told["others"] = peers.view(now);
                    }
                    Some(told)
                };
                if let Err(e) = view::client_frame(&mut self.core, now, conn, body, beside) {
                    tracing::warn!(conn, error = %e, "a question that makes no sense");
                    self.close_conn(conn, &e.to_string());
                }
            }
            LinkEvent::Session(_) => {}
            LinkEvent::Ended { why, .. } => {
                tracing::debug!(conn, why, "owner gone");
                self.conns.remove(&conn);
                self.core.client_disconnected(conn);
            }
        }
    }

    fn close_conn(&mut self, conn: u64, why: &str) {
        if let Some(orders) = self.conns.get(&conn) {
            let _ = orders.try_send(LinkCommand::Close(why.to_owned()));
        }
    }

    /// Hands frames to links and dials. What a link does not take is told to the core at once, or, to an
    /// owner who does not read, ends the connection: it may ask again and gets the same answer.
    fn carry_out(&mut self) {
        while let Some(out) = self.core.next_output() {
            match out {
                Output::Dial { peer, link, name, address } => self.dial(peer, link, &name, &address),
                Output::Registry(body) => {
                    if let Some(linked) = self.linked.get(&REGISTRY) {
                        let _ = linked.orders.try_send(LinkCommand::Send(body, None));
                    }
                }
                Output::Machine { machine, body, mark } => self.send_machine(machine, body, mark),
                Output::Client { conn, body } => self.send_conn(conn, body),
                Output::SyncDirectory(task) => {
                    if let Some(sweeps) = &mut self.sweeps {
                        sweeps.begin(task);
                    }
                }
                Output::StoreTenants { at, all } => {
                    let full = self.memories.as_ref().is_some_and(|m| m.try_send((at, all)).is_err());
                    if full {
                        tracing::warn!("tenants are not remembered: the disk is too slow");
                        self.core.tenants_not_stored();
                    }
                }
                Output::Disconnect { machine, why } => {
                    if let Some(linked) = self.linked.get(&machine) {
                        let _ = linked.orders.try_send(LinkCommand::Close(why.to_owned()));
                    }
                }
            }
        }
        while let Some((link, address)) = self.peers.as_mut().and_then(PeerLinks::next_dial) {
            self.meet(link, &address);
        }
        while let Some(body) = self.rolls.as_mut().and_then(RollingRestartCoordinator::next_frame) {
            if let Some(linked) = self.linked.get(&REGISTRY) {
                let _ = linked.orders.try_send(LinkCommand::Send(body, None));
            }
        }
    }

    fn send_machine(&mut self, machine: usize, body: Body, mark: Option<u64>) {
        // A process that was stopped wakes with launches decided: by then another may have its seat.
        let unseated = mark.is_some() && self.tenure.as_ref().is_some_and(|t| !t.is_held());
        if let Some(linked) = self.linked.get(&machine).filter(|_| !unseated) {
            match linked.orders.try_send(LinkCommand::Send(body, mark)) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    tracing::warn!(
                        machine = self.core.machine_name(machine),
                        "the machine does not read; its link ends"
                    );
                    // Dropping the orders ends the link once it has taken those that wait.
                    self.linked.remove(&machine);
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
        if let Err(TrySendError::Full(_)) = orders.try_send(LinkCommand::Send(body, None)) {
            tracing::warn!(conn, "an owner does not read; its connection ends");
            self.conns.remove(&conn);
        }
    }
}
