//! Runs a voter on sockets. One actor owns the votes, and all queues are bounded. With a store, a
//! vote is written to the disk before the reply that grants it is sent.
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

/// Limit on the events that wait for the actor, in each of its two channels.
const EVENT_CAPACITY: usize = 1024;
/// Limit on the commands that wait for one link.
const COMMAND_CAPACITY: usize = 1024;
/// Limit on the events that are handled together, with one write of all their votes to the disk.
const MAX_BATCH: usize = 256;
/// Interval at which a voter without its state requests the records of the other voters.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(200);
/// Limit on the length of a lease's name, in bytes.
const MAX_LEASE_NAME_BYTES: usize = 200;
/// Limit on the length of a lease's metadata, in bytes.
pub const MAX_METADATA_BYTES: usize = 64 << 10;

/// Configuration of a voter.
pub struct VoterConfig {
    /// The voter's name.
    pub name: String,
    /// The duration of a lease and the tolerated clock drift.
    pub lease_config: LeaseConfig,
    /// The endpoints of all voters, this one included.
    pub voters: Vec<VoterEndpoint>,
    /// The voter's own index in `voters`.
    pub index: usize,
    /// The store of the votes; with `None`, a voter recovers its votes from the other voters when
    /// it starts.
    pub store: Option<SnapshotStore>,
}

/// The last holders of each lease, the newest last.
type HolderHistory = HashMap<Rc<str>, VecDeque<wire::Holding>>;

/// A connection to the voter. `peer` is `None` until the peer has sent its hello.
struct Connection {
    commands: mpsc::Sender<LinkCommand>,
    peer: Option<PeerIdentity>,
}

/// The actor that owns the votes and the connections.
struct Actor {
    duration_us: i64,
    voter: Voter<Rc<str>, Rc<str>>,
    history: HolderHistory,
    /// The revisions of the record, by which replies to delta requests are limited to changes.
    revisions: RevisionLog<Rc<str>>,
    connections: HashMap<u64, Connection>,
    last_connection: u64,
    /// The command channels of the links to other voters that are up, by the voter's index.
    other_voters: HashMap<usize, mpsc::Sender<LinkCommand>>,
    /// The tasks of the links to the other voters; empty unless the votes are being recovered.
    recovery_links: tokio::task::JoinSet<()>,
    store: Option<SnapshotStore>,
    links: LinkConfig,
    identity: PeerIdentity,
    clock: Clock,
}

/// Runs a voter until `stop` completes.
pub async fn serve(listener: TcpListener, config: VoterConfig, stop: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(run(listener, config, stop)).await;
}

async fn run(listener: TcpListener, config: VoterConfig, stop: impl Future<Output = ()>) {
    let (connection_events, mut inbox) = mpsc::channel(EVENT_CAPACITY);
    let (events, mut link_events) = mpsc::channel(EVENT_CAPACITY);
    let mut actor = Actor::start(config, events);
    let mut recovery_polls = tokio::time::interval(RECOVERY_INTERVAL);
    let mut acceptor = Acceptor::new(listener);
    tokio::pin!(stop);
    loop {
        let is_recovering = !actor.recovery_links.is_empty();
        tokio::select! {
            biased;
            () = &mut stop => break,
            Some((voter, event)) = link_events.recv(), if is_recovering => actor.on_voter_event(voter, event),
            _ = recovery_polls.tick(), if is_recovering => actor.request_recovery(),
            Some((connection, first)) = inbox.recv() => {
                let mut batch = vec![(connection, first)];
                while let Some(next) = (batch.len() < MAX_BATCH).then(|| inbox.try_recv().ok()).flatten() {
                    batch.push(next);
                }
                actor.on_batch(batch);
            }
            (stream, _) = acceptor.accept() => actor.accept(stream, connection_events.clone()),
        }
    }
}

impl Actor {
    /// Creates a voter from its stored votes. If there are none, starts to recover them from the
    /// other voters.
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
            connections: HashMap::new(),
            last_connection: 0,
            other_voters: HashMap::new(),
            recovery_links: tokio::task::JoinSet::new(),
            store: config.store,
            links: LinkConfig::default(),
            identity,
            clock,
        };
        tracing::info!(is_complete = actor.voter.is_complete(), "voter started");
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

    /// Starts the task of an accepted connection.
    fn accept(&mut self, stream: TcpStream, events: mpsc::Sender<(u64, LinkEvent)>) {
        self.last_connection += 1;
        let connection = self.last_connection;
        let (commands, command_receiver) = mpsc::channel(COMMAND_CAPACITY);
        self.connections.insert(connection, Connection { commands, peer: None });
        let (links, identity, clock) = (self.links.clone(), self.identity.clone(), self.clock);
        let wrap = move |event| (connection, event);
        let link = link::run(
            stream,
            link::LinkContext { config: links, identity, clock },
            command_receiver,
            events,
            wrap,
        );
        tokio::task::spawn_local(link);
    }

    /// Requests the records of the other voters.
    fn request_recovery(&self) {
        for commands in self.other_voters.values() {
            let _ = commands.try_send(LinkCommand::Send(Body::Record(wire::Record::default()), None));
        }
    }

    /// Handles an event of the link to another voter, from which votes are recovered.
    fn on_voter_event(&mut self, voter: usize, event: VoterLinkEvent) {
        match event {
            VoterLinkEvent::Up(commands) => drop(self.other_voters.insert(voter, commands)),
            VoterLinkEvent::Down => drop(self.other_voters.remove(&voter)),
            VoterLinkEvent::Frame(Body::Kept(record)) => {
                let votes = record.duties.into_iter().map(stored::recovered_vote);
                self.voter.recover_from(voter, record.whole, votes);
            }
            VoterLinkEvent::Frame(_) => {}
        }
        if self.voter.is_complete() {
            tracing::info!("recovered the votes from the other voters");
            self.recovery_links = tokio::task::JoinSet::new();
            self.other_voters.clear();
        }
    }

    /// Handles a batch of connection events. Stores the votes that they changed, then sends the
    /// replies.
    fn on_batch(&mut self, batch: Vec<(u64, LinkEvent)>) {
        let (mut replies, mut has_voted) = (Vec::new(), false);
        for (connection, event) in batch {
            match event {
                LinkEvent::Session(SessionEvent::Up(peer)) => {
                    if let Some(connection) = self.connections.get_mut(&connection) {
                        connection.peer = Some(peer);
                    }
                }
                LinkEvent::Session(SessionEvent::Frame(body)) => {
                    has_voted |= self.on_frame(connection, body, &mut replies)
                }
                LinkEvent::Session(_) => {}
                LinkEvent::Ended { .. } => drop(self.connections.remove(&connection)),
            }
        }
        // A vote that is not stored must not be sent: after a restart the voter could grant the
        // same lease a second time.
        let is_stored = !has_voted || self.store_votes();
        for (connection, body) in replies {
            if is_stored || !matches!(body, Body::Votes(_)) {
                self.send(connection, body);
            }
        }
    }

    /// Stores the votes, if there is a store. Returns false if that failed.
    fn store_votes(&self) -> bool {
        let now_us = boottime_us();
        // Votes stored before the initial waiting time is over would let the voter grant votes too
        // early after its next restart.
        let Some(store) = self.store.as_ref().filter(|_| self.voter.is_voting(now_us)) else { return true };
        stored::save(store, &self.voter, &self.history, now_us)
    }

    /// Sends a frame on a connection, and drops the connection if the peer does not read its
    /// frames.
    fn send(&mut self, connection: u64, body: Body) {
        let is_full =
            |connection: &Connection| connection.commands.try_send(LinkCommand::Send(body, None)).is_err();
        if self.connections.get(&connection).is_some_and(is_full) {
            self.connections.remove(&connection);
        }
    }
}
