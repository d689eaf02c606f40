//! A planner on sockets: one thread, one actor that owns the planner's state, and a task for each connection.
//! Channels are bounded: events of machines and the registry are read before requests of clients; while the
//! actor is behind, links grant their peers no further frames. A peer that does not read is cut off, and may
//! connect and ask again.
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

/// Events of links that may wait for the actor.
const EVENT_CAPACITY: usize = 1024;
/// Events of syncs with the directory that may wait for the actor.
const SYNC_EVENT_CAPACITY: usize = 16;

/// What a planner is started with.
pub struct PlannerConfig {
    /// Its name, epoch and seed.
    pub identity: Identity,
    /// The settings of placement.
    pub settings: Settings,
    /// Where the decisions are recorded.
    pub recording: Option<Box<dyn io::Write + Send>>,
    /// Where tasks may run, and the text of where each constraint stands in the settings.
    pub constraints: Vec<(Constraint, String)>,
    /// The directory that tenants are read from.
    pub directory: Option<DirectorySettings>,
    /// What outlives this planner.
    pub store: Option<SnapshotStore>,
    /// Until when it holds its slot, where slots are leased.
    pub lease_deadline: Option<LeaseDeadline>,
    /// How it coordinates rolling restarts, where it holds a slot.
    pub rolling_restart: Option<RollingRestartConfig>,
    /// Whether requests that are not worth starting are rejected at once.
    pub admission_enabled: bool,
    /// How it links to the other planners, where it holds a slot.
    pub peer_links: Option<PeerLinksConfig>,
    /// What its links share with the others of the process.
    pub links: LinkConfig,
    /// The subset of the fleet that it links to, where it has one, and the names of all slots.
    pub subset: Option<(SubsetConfig, Vec<Rc<str>>)>,
}

/// Which link an event is from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkOrigin {
    /// A machine or the registry, and the number of the link.
    Peer { peer: usize, link: u64 },
    /// A connection that was opened to this planner.
    Connection(u64),
    /// Another planner, dialled from here; one that dials is a connection.
    Planner(u64),
}

/// An event of a link, as the actor receives it.
struct LinkMessage {
    origin: LinkOrigin,
    event: LinkEvent,
}

/// The present link to a machine or the registry.
struct PeerLink {
    link: u64,
    commands: mpsc::Sender<LinkCommand>,
}

/// The actor: the planner's state, and the links it acts through.
struct PlannerService {
    state: PlannerState,
    clock: Clock,
    identity: PeerIdentity,
    link_config: LinkConfig,
    /// Machines and the registry that are dialled or linked.
    peer_links: HashMap<usize, PeerLink>,
    /// Clients, operators and other planners, by the number of the connection.
    connections: HashMap<u64, mpsc::Sender<LinkCommand>>,
    /// Where events of machines and the registry go: none may be dropped.
    peer_events: mpsc::Sender<LinkMessage>,
    /// Where events of connections and of links to other planners go: they may be dropped.
    connection_events: mpsc::Sender<LinkMessage>,
    directory_syncs: Option<DirectorySyncs>,
    snapshot_writer: Option<SyncSender<TenantSnapshot>>,
    lease_deadline: Option<LeaseDeadline>,
    rolling_restarts: Option<RollingRestartCoordinator>,
    planner_links: Option<PeerLinks>,
    /// All slots in the installation's order, where the planner works on a subset.
    slots: Vec<Rc<str>>,
}

/// Serves until `stop` is done. Clients and operators connect to `listener`.
pub async fn serve(listener: TcpListener, config: PlannerConfig, stop: impl Future<Output = ()>) {
    let actor = async move {
        let (service, inboxes) = PlannerService::start(config);
        service.run(listener, inboxes, stop).await;
    };
    LocalSet::new().run_until(actor).await;
}

impl PlannerService {
    /// Builds the actor and the channels that it reads.
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
        // Machines and the registry have an inbox of their own, which goes first.
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
