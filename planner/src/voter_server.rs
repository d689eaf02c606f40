//! A voter on sockets: one actor owns the votes, queues are bounded. What it votes is on the disk before it is said,
//! where it has one.
mod frames;
mod stored;

use crate::voter_links::{boottime_us, VoterDialer, VoterEndpoint, VoterLinkEvent};
use basaltpitch_agent::acceptor::Acceptor;
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Role};
use basaltpitch_lease::record::RevisionLog;
use basaltpitch_lease::voter::Voter;
use basaltpitch_lease::LeaseConfig;
use basaltpitch_snapshot_store::SnapshotStore;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const INBOX: usize = 1024;
const ORDERS: usize = 1024;
/// Frames that are replied to together: their votes are written to the disk at once.
const BATCH: usize = 256;
/// How often a voter that lost its state asks the others.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes of a lease's name, at the most.
const LONGEST_LEASE_NAME: usize = 200;
/// Bytes of a lease's metadata, at the most.
pub const LONGEST_METADATA: usize = 64 << 10;

/// How a voter is started.
pub struct VoterConfig {
    /// Its name.
    pub name: String,
    /// How long votes are valid.
    pub lease_config: LeaseConfig,
    /// All voters.
    pub voters: Vec<VoterEndpoint>,
    /// Its index among all voters.
    pub index: usize,
    /// Where its votes are stored; without it a start recovers them from the other voters.
    pub store: Option<SnapshotStore>,
}

/// Who held each lease, the newest last.
type HolderHistory = HashMap<Rc<str>, VecDeque<wire::Holding>>;

struct Conn {
    orders: mpsc::Sender<LinkCommand>,
    party: Option<PeerIdentity>,
}

struct Actor {
    duration_us: i64,
    voter: Voter<Rc<str>, Rc<str>>,
    history: HolderHistory,
    /// By which it reports what changed.
    revisions: RevisionLog<Rc<str>>,
    conns: HashMap<u64, Conn>,
    last_conn: u64,
    /// The other voters that are linked, by their index among all.
    others: HashMap<usize, mpsc::Sender<LinkCommand>>,
    /// Links to the other voters, while there is something to recover from them.
    recovery_links: tokio::task::JoinSet<()>,
    store: Option<SnapshotStore>,
    links: LinkConfig,
    identity: PeerIdentity,
    clock: Clock,
}

/// Votes until `stop` is done.
pub async fn serve(listener: TcpListener, config: VoterConfig, stop: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(run(listener, config, stop)).await;
}

async fn run(listener: TcpListener, config: VoterConfig, stop: impl Future<Output = ()>) {
    let (news, mut inbox) = mpsc::channel(INBOX);
    let (events, mut link_events) = mpsc::channel(INBOX);
    let mut actor = Actor::start(config, events);
    let mut recovery_polls = tokio::time::interval(RECOVERY_INTERVAL);
    let mut accepting = Acceptor::new(listener);
    tokio::pin!(stop);
    loop {
        let recovers = !actor.recovery_links.is_empty();
        tokio::select! {
            biased;
            () = &mut stop => break,
            Some((other, event)) = link_events.recv(), if recovers => actor.on_voter_event(other, event),
            _ = recovery_polls.tick(), if recovers => actor.request_recovery(),
            Some((conn, first)) = inbox.recv() => {
                let mut batch = vec![(conn, first)];
                while let Some(next) = (batch.len() < BATCH).then(|| inbox.try_recv().ok()).flatten() {
                    batch.push(next);
                }
                actor.on_batch(batch);
            }
            (stream, _) = accepting.accept() => actor.accept(stream, news.clone()),
        }
    }
}

impl Actor {
    /// A voter with what it stored, or one that begins to recover it from the others.
    fn start(config: VoterConfig, events: mpsc::Sender<(usize, VoterLinkEvent)>) -> Actor {
        let clock = Clock::start();
        let (voter, history) = stored::restore(&config);
        let epoch = clock.now() as u64;
        let (role, name) = (Role::Voter, config.name.clone());
        let identity = PeerIdentity { role, name, epoch, link: 0, login: String::new() };
        let mut actor = Actor {
            duration_us: config.lease_config.duration_us,
            voter,
            history,
            revisions: RevisionLog::new(epoch.max(1)),
            conns: HashMap::new(),
            last_conn: 0,
            others: HashMap::new(),
            recovery_links: tokio::task::JoinSet::new(),
            store: config.store,
            links: LinkConfig::default(),
            identity,
            clock,
        };
        tracing::info!(is_complete = actor.voter.is_complete(), "the voter starts");
        if !actor.voter.is_complete() {
            let (links, identity) = (actor.links.clone(), actor.identity.clone());
            let dialer = VoterDialer { links, identity, clock, events };
            let endpoints = config.voters.iter().enumerate();
            for (other, endpoint) in endpoints.filter(|(other, _)| *other != config.index) {
                actor.recovery_links.spawn_local(dialer.clone().maintain_link(other, endpoint.clone()));
            }
        }
        actor
    }

    fn accept(&mut self, stream: TcpStream, news: mpsc::Sender<(u64, LinkEvent)>) {
        self.last_conn += 1;
        let conn = self.last_conn;
        let (orders, orders_in) = mpsc::channel(ORDERS);
        self.conns.insert(conn, Conn { orders, party: None });
        let (links, identity, clock) = (self.links.clone(), self.identity.clone(), self.clock);
        let wrap = move |news| (conn, news);
        let link =
            link::run(stream, link::LinkContext { config: links, identity, clock }, orders_in, news, wrap);
        tokio::task::spawn_local(link);
    }

    /// Asks the other voters what they store.
    fn request_recovery(&self) {
        for orders in self.others.values() {
            let _ = orders.try_send(LinkCommand::Send(Body::Record(wire::Record::default()), None));
        }
    }

    fn on_voter_event(&mut self, other: usize, event: VoterLinkEvent) {
        match event {
            VoterLinkEvent::Up(orders) => drop(self.others.insert(other, orders)),
            VoterLinkEvent::Down => drop(self.others.remove(&other)),
            VoterLinkEvent::Frame(Body::Kept(record)) => {
                let votes = record.duties.into_iter().map(stored::recovered_vote);
                self.voter.recover_from(other, record.whole, votes);
            }
            VoterLinkEvent::Frame(_) => {}
        }
        if self.voter.is_complete() {
            tracing::info!("recovered from the other voters");
            self.recovery_links = tokio::task::JoinSet::new();
            self.others.clear();
        }
    }

    fn on_batch(&mut self, batch: Vec<(u64, LinkEvent)>) {
        let (mut replies, mut has_voted) = (Vec::new(), false);
        for (conn, news) in batch {
            match news {
                LinkEvent::Session(SessionEvent::Up(party)) => {
                    if let Some(conn) = self.conns.get_mut(&conn) {
                        conn.party = Some(party);
                    }
                }
                LinkEvent::Session(SessionEvent::Frame(body)) => {
                    has_voted |= self.on_frame(conn, body, &mut replies)
                }
                LinkEvent::Session(_) => {}
                LinkEvent::Ended { .. } => drop(self.conns.remove(&conn)),
            }
        }
        // A vote that is not stored must not be said: after a start it would be granted twice.
        let is_stored = !has_voted || self.store_votes();
        for (conn, body) in replies {
            if is_stored || !matches!(body, Body::Votes(_)) {
                self.send(conn, body);
            }
        }
    }

    /// Whether the votes are on the disk, where there is one.
    fn store_votes(&self) -> bool {
        let now = boottime_us();
        // Stored while it still waits, they would let the next start vote before the wait is over.
        let Some(store) = self.store.as_ref().filter(|_| self.voter.is_voting(now)) else { return true };
        stored::save(store, &self.voter, &self.history, now)
    }

    fn send(&mut self, conn: u64, body: Body) {
        let is_full = |conn: &Conn| conn.orders.try_send(LinkCommand::Send(body, None)).is_err();
        if self.conns.get(&conn).is_some_and(is_full) {
            self.conns.remove(&conn);
        }
    }
}
