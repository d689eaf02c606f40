//! Opens and closes links. Each link runs as an asynchronous task on the planner's thread.
use super::{LinkMessage, LinkOrigin, PeerLink, PlannerService};
use basaltpitch_agent::link::{self, LinkCommand, LinkEvent};
use basaltpitch_agent::session::PeerIdentity;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Limit on the commands that wait for one link.
const COMMAND_CAPACITY: usize = 4096;
/// Limit on the commands that wait for one link to another planner; such a link has few gossip
/// requests in flight at a time.
const PLANNER_COMMAND_CAPACITY: usize = 16;

impl PlannerService {
    /// Serves a connection that a client, an operator or another planner opened.
    pub(super) fn accept(&mut self, stream: TcpStream, connection: u64) {
        let (commands, inbox) = mpsc::channel(COMMAND_CAPACITY);
        self.connections.insert(connection, commands);
        let events = self.connection_events.clone();
        let (config, identity, clock) = (self.link_config.clone(), self.identity.clone(), self.clock);
        let wrap = move |event| LinkMessage { origin: LinkOrigin::Connection(connection), event };
        tokio::task::spawn_local(link::run(
            stream,
            link::LinkContext { config, identity, clock },
            inbox,
            events,
            wrap,
        ));
    }

    /// Connects to a machine or the registry.
    pub(super) fn dial(&mut self, peer: usize, link: u64, name: &str, address: &str) {
        tracing::debug!(peer = name, address, link, "connecting to a machine or the registry");
        let (commands, inbox) = mpsc::channel(COMMAND_CAPACITY);
        self.peer_links.insert(peer, PeerLink { link, commands });
        self.connect(LinkOrigin::Peer { peer, link }, link, address, inbox, self.peer_events.clone());
    }

    /// Connects to another planner.
    pub(super) fn dial_planner(&mut self, link: u64, address: &str) {
        let (commands, inbox) = mpsc::channel(PLANNER_COMMAND_CAPACITY);
        self.connections.insert(link, commands);
        self.connect(LinkOrigin::Planner(link), link, address, inbox, self.connection_events.clone());
    }

    /// Starts the task of a link, which connects within the connect timeout and then runs until the
    /// link ends.
    fn connect(
        &self,
        origin: LinkOrigin,
        link: u64,
        address: &str,
        inbox: mpsc::Receiver<LinkCommand>,
        events: mpsc::Sender<LinkMessage>,
    ) {
        let identity = PeerIdentity { link, ..self.identity.clone() };
        let (config, clock) = (self.link_config.clone(), self.clock);
        let timeout = Duration::from_micros(self.state.connect_timeout_us() as u64);
        let address = address.to_owned();
        let wrap = move |event| LinkMessage { origin, event };
        tokio::task::spawn_local(async move {
            let reason = match tokio::time::timeout(timeout, TcpStream::connect(&address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    return link::run(
                        stream,
                        link::LinkContext { config, identity, clock },
                        inbox,
                        events,
                        wrap,
                    )
                    .await;
                }
                Ok(Err(e)) => format!("cannot connect: {e}"),
                Err(_) => "the connection timed out".into(),
            };
            let _ = events.send(wrap(LinkEvent::Ended { why: reason, unsent: Vec::new() })).await;
        });
    }

    /// Closes a link to a machine or the registry, unless a newer link has replaced it.
    pub(super) fn close_peer(&mut self, peer: usize, link: u64, reason: &str) {
        if let Some(peer_link) = self.peer_links.get(&peer).filter(|current| current.link == link) {
            let _ = peer_link.commands.try_send(LinkCommand::Close(reason.to_owned()));
        }
    }

    /// Closes a connection of a client, an operator or another planner.
    pub(super) fn close_connection(&mut self, connection: u64, reason: &str) {
        if let Some(commands) = self.connections.get(&connection) {
            let _ = commands.try_send(LinkCommand::Close(reason.to_owned()));
        }
    }
}
