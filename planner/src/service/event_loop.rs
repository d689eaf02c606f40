//! The event loop of the planner's actor: it carries out the pending decisions, then waits for the
//! next event.
use super::directory_sync::SyncEvent;
use super::{LinkMessage, PlannerService};
use crate::lease_client::LeaseEvent;
use crate::peer_links::PeerLinks;
use crate::rolling_restart::RollingRestartCoordinator;
use basaltpitch_agent::acceptor::Acceptor;
use basaltpitch_agent::link::LinkCommand;
use std::future::Future;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Limit on the events of machines and the registry that are handled before outputs are sent.
const PEER_BATCH: usize = 256;
/// Limit on the events of connections that are handled before outputs are sent. Requests of clients
/// can wait, so fewer of them are handled at once.
const CONNECTION_BATCH: usize = PEER_BATCH / 4;
/// Time that links have to send the reason for closing when the planner stops.
const CLOSE_GRACE: Duration = Duration::from_millis(20);

/// The channels from which the actor receives events.
pub(super) struct Inboxes {
    /// Events of machines and the registry, which are handled first.
    pub(super) peers: mpsc::Receiver<LinkMessage>,
    /// Events of clients, operators and other planners.
    pub(super) connections: mpsc::Receiver<LinkMessage>,
    /// Events of directory syncs.
    pub(super) directory: mpsc::Receiver<SyncEvent>,
}

/// Waits for the next event of the leases that the planner acquires beside its slot; returns `None`
/// without a rolling-restart coordinator, or once the channel is closed.
async fn next_lease_event(restarts: &mut Option<RollingRestartCoordinator>) -> Option<LeaseEvent> {
    restarts.as_mut()?.next_lease_event().await
}

impl PlannerService {
    /// Runs until `stop` completes, then closes all links. The order of the `select!` branches is
    /// their priority: events of machines and due timers come before requests of clients.
    pub(super) async fn run(
        mut self,
        listener: TcpListener,
        mut inboxes: Inboxes,
        stop: impl Future<Output = ()>,
    ) {
        let mut connections = 0;
        let mut acceptor = Acceptor::new(listener);
        tokio::pin!(stop);
        loop {
            self.carry_out();
            let wakeup = self.clock.at(self.next_wakeup_us());
            tokio::select! {
                biased;
                () = &mut stop => break,
                Some(message) = inboxes.peers.recv() => {
                    self.link_events(message, &mut inboxes.peers, PEER_BATCH);
                }
                Some(event) = inboxes.directory.recv() => self.directory_event(event),
                Some(event) = next_lease_event(&mut self.rolling_restarts) => self.lease_event(event),
                () = tokio::time::sleep_until(wakeup) => self.advance_clock(),
                Some(message) = inboxes.connections.recv() => {
                    self.link_events(message, &mut inboxes.connections, CONNECTION_BATCH);
                }
                (stream, _) = acceptor.accept() => {
                    connections += 1;
                    self.accept(stream, connections);
                }
            }
        }
        self.close_all().await;
    }

    /// Handles an event, and up to `batch` further events that are already queued.
    fn link_events(&mut self, first: LinkMessage, inbox: &mut mpsc::Receiver<LinkMessage>, batch: usize) {
        self.link_event(first);
        for _ in 0..batch {
            let Ok(message) = inbox.try_recv() else { break };
            self.link_event(message);
        }
    }

    /// Returns the time at which the next timer is due, in microseconds.
    fn next_wakeup_us(&self) -> i64 {
        let restarts = self.rolling_restarts.as_ref();
        let restarts_us = restarts.map_or(i64::MAX, RollingRestartCoordinator::next_wakeup_us);
        let planners_us = self.planner_links.as_ref().map_or(i64::MAX, PeerLinks::next_due_us);
        self.state.next_at().min(restarts_us).min(planners_us)
    }

    /// Runs all timers that are due.
    fn advance_clock(&mut self) {
        self.state.advance_clock(self.clock.now());
        if let Some(restarts) = &mut self.rolling_restarts {
            restarts.advance(self.clock.now());
        }
        if let Some(planners) = &mut self.planner_links {
            planners.advance(self.clock.now(), &mut self.state);
        }
    }

    /// Closes all links, and waits while they send the reason.
    async fn close_all(&mut self) {
        for (_, peer_link) in self.peer_links.drain() {
            let _ = peer_link.commands.try_send(LinkCommand::Close("the planner stops".into()));
        }
        for (_, commands) in self.connections.drain() {
            let _ = commands.try_send(LinkCommand::Close("the planner stops".into()));
        }
        tokio::time::sleep(CLOSE_GRACE).await;
    }
}
