//! Runs a planner on sockets. One thread runs an actor, which owns the planner's state, and one
//! asynchronous task per connection.
//!
//! All channels are bounded. The actor handles events of machines and the registry before requests
//! of clients. While the actor is behind, links grant their peers no further credit to send frames.
//! A peer that does not read its frames is disconnected; it may connect again and repeat its
//! request.
mod connections;
mod directory_sync;
mod event_loop;
mod lease_events;
mod link_events;
mod outputs;
mod tenant_snapshots;

use crate::admission::AdmissionController;
use crate::lease_client::LeaseDeadline;
use crate::peer_links::{PeerLinks, PeerLinksConfig};
use crate::rolling_restart::{RollingRestartConfig, RollingRestartCoordinator};
use crate::state::{Identity, PlannerState};
use basaltpitch::host::Settings;
use basaltpitch_agent::link::{Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity};
use basaltpitch_agent::wire::Role;
use basaltpitch_constraints::Constraint;
use basaltpitch_ldap::DirectorySettings;
use basaltpitch_snapshot_store::SnapshotStore;
use basaltpitch_subsetting::SubsetConfig;
use directory_sync::DirectorySyncs;
use event_loop::Inboxes;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::mpsc::SyncSender;
use tenant_snapshots::TenantSnapshot;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Limit on the events of links that wait for the actor, in each of its two channels.
const EVENT_CAPACITY: usize = 1024;
/// Limit on the events of directory syncs that wait for the actor.
const SYNC_EVENT_CAPACITY: usize = 16;

/// Configuration of a planner process.
pub struct PlannerConfig {
    /// The planner's name, epoch and random seed, and the registry's address.
    pub identity: Identity,
    /// The settings of the placement module.
    pub settings: Settings,
    /// Destination of the recording of events and decisions; `None` records nothing.
    pub recording: Option<Box<dyn io::Write + Send>>,
    /// The placement constraints, each with its location in the configuration files.
    pub constraints: Vec<(Constraint, String)>,
    /// The LDAP directory from which tenants are read; `None` if the settings list the tenants.
    pub directory: Option<DirectorySettings>,
    /// Store of the tenant snapshot, which a restarted planner begins with.
    pub store: Option<SnapshotStore>,
    /// Time until which this planner holds its slot; `None` without leased slots.
    pub lease_deadline: Option<LeaseDeadline>,
    /// Configuration of the rolling-restart coordinator; `None` without leased slots.
    pub rolling_restart: Option<RollingRestartConfig>,
    /// Whether admission control rejects requests on arrival.
    pub admission_enabled: bool,
    /// Configuration of the links to other planners; `None` without leased slots.
    pub peer_links: Option<PeerLinksConfig>,
    /// Settings and traffic counters that all links of the process share.
    pub links: LinkConfig,
    /// How the subset of the fleet that this planner links to is chosen, and the names of all
    /// slots; `None` if the planner links to all machines.
    pub subset: Option<(SubsetConfig, Vec<Rc<str>>)>,
}

/// The link that an event came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkOrigin {
    /// A link to a machine or the registry: the index of the peer and the number of the link.
    Peer { peer: usize, link: u64 },
    /// A connection that a client, an operator or another planner opened.
    Connection(u64),
    /// A link that this planner opened to another planner.
    Planner(u64),
}

/// An event of a link, with the link that it came from.
struct LinkMessage {
    origin: LinkOrigin,
    event: LinkEvent,
}

/// The current link to a machine or the registry.
struct PeerLink {
    link: u64,
    commands: mpsc::Sender<LinkCommand>,
}

/// The actor that owns the planner's state and the links on which it sends frames.
struct PlannerService {
    state: PlannerState,
    clock: Clock,
    identity: PeerIdentity,
    link_config: LinkConfig,
    /// Links to machines and the registry, connecting or connected, by the peer's index.
    peer_links: HashMap<usize, PeerLink>,
    /// Command channels of the connections of clients, operators and other planners, by connection
    /// number.
    connections: HashMap<u64, mpsc::Sender<LinkCommand>>,
    /// Sender of the channel for events of machines and the registry. None of them may be lost; a
    /// link waits while the channel is full.
    peer_events: mpsc::Sender<LinkMessage>,
    /// Sender of the channel for events of connections and of links to other planners. These may be
    /// lost, because the peer can connect again and repeat its request.
    connection_events: mpsc::Sender<LinkMessage>,
    directory_syncs: Option<DirectorySyncs>,
    snapshot_writer: Option<SyncSender<TenantSnapshot>>,
    lease_deadline: Option<LeaseDeadline>,
    rolling_restarts: Option<RollingRestartCoordinator>,
    planner_links: Option<PeerLinks>,
    /// The names of all slots, in the installation's order; empty if the planner has no subset.
    slots: Vec<Rc<str>>,
}

/// Runs a planner until `stop` completes. Clients, operators and other planners connect to
/// `listener`.
pub async fn serve(listener: TcpListener, config: PlannerConfig, stop: impl Future<Output = ()>) {
    let actor = async move {
        let (service, inboxes) = PlannerService::start(config);
        service.run(listener, inboxes, stop).await;
    };
    LocalSet::new().run_until(actor).await;
}

impl PlannerService {
    /// Creates the actor and the channels from which it receives events.
    fn start(config: PlannerConfig) -> (Self, Inboxes) {
        let clock = Clock::start();
        let (seed, epoch) = (config.identity.seed, config.identity.epoch);
        let identity = PeerIdentity {
            role: Role::Planner,
            name: config.identity.name.clone(),
            epoch,
            link: 0,
            login: String::new(),
        };
        // Events of machines and the registry have a channel of their own, which is read first.
        let (peer_events, peers) = mpsc::channel(EVENT_CAPACITY);
        let (connection_events, connections) = mpsc::channel(EVENT_CAPACITY);
        let (sync_events, directory) = mpsc::channel(SYNC_EVENT_CAPACITY);
        let admission =
            config.admission_enabled.then(|| AdmissionController::new(clock.now(), seed, &config.settings));
        let mut state = PlannerState::new(config.identity, config.settings, clock.now(), config.recording);
        if let Some(controller) = admission {
            state.enable_admission(clock.now(), controller);
        }
        let mut slots = Vec::new();
        if let Some((subset, all_slots)) = config.subset {
            state.use_subset(clock.now(), subset);
            slots = all_slots;
        }
        let (constraints, locations) = config.constraints.into_iter().unzip();
        state.set_constraints(constraints, locations);
        let directory_syncs = config.directory.map(|directory| {
            // The time is taken before the snapshot is read.
            let now_us = clock.now();
            let restored = tenant_snapshots::restore(seed, clock.now(), &directory, config.store.as_ref());
            state.use_directory(now_us, restored);
            DirectorySyncs::new(directory, sync_events)
        });
        let service = PlannerService {
            state,
            clock,
            identity,
            link_config: config.links,
            peer_links: HashMap::new(),
            connections: HashMap::new(),
            peer_events,
            connection_events,
            directory_syncs,
            snapshot_writer: config.store.map(tenant_snapshots::spawn_writer),
            lease_deadline: config.lease_deadline,
            rolling_restarts: config.rolling_restart.map(RollingRestartCoordinator::new),
            planner_links: config.peer_links.map(|links| PeerLinks::new(clock.now(), links, epoch, seed)),
            slots,
        };
        (service, Inboxes { peers, connections, directory })
    }
}
