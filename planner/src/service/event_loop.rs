//! The loop of the planner's actor: it carries out what was decided, then waits for the next event.
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

/// Events of machines and the registry that are handled before outputs go out.
const PEER_BATCH: usize = 256;
/// The same of connections: fewer, since they are the load that can wait.
const CONNECTION_BATCH: usize = PEER_BATCH / 4;
/// How long links have to send why they close, when the planner stops.
const CLOSE_GRACE: Duration = Duration::from_millis(20);

/// What the actor receives from.
pub(super) struct Inboxes {
    /// Events of machines and the registry: they go first.
    pub(super) peers: mpsc::Receiver<LinkMessage>,
    /// Events of clients, operators and other planners.
    pub(super) connections: mpsc::Receiver<LinkMessage>,
    /// Events of syncs with the directory.
    pub(super) directory: mpsc::Receiver<SyncEvent>,
}

/// The next event of the leases, where there are any.
async fn next_lease_event(restarts: &mut Option<RollingRestartCoordinator>) -> Option<LeaseEvent> {
    restarts.as_mut()?.next_lease_event().await
}

impl PlannerService {
    /// Runs until `stop` is done, then closes all links. The order of the branches is their priority: what
    /// machines report and what is due goes before what clients ask for.
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

    /// Handles an event and at most `batch` more that wait already.
    fn link_events(&mut self, first: LinkMessage, inbox: &mut mpsc::Receiver<LinkMessage>, batch: usize) {
        self.link_event(first);
        for _ in 0..batch {
            let Ok(message) = inbox.try_recv() else { break };
            self.link_event(message);
        }
    }

    /// When the next timer is due, in microseconds.
    fn next_wakeup_us(&self) -> i64 {
        let restarts = self.rolling_restarts.as_ref();
        let restarts_us = restarts.map_or(i64::MAX, RollingRestartCoordinator::next_wakeup_us);
        let planners_us = self.planner_links.as_ref().map_or(i64::MAX, PeerLinks::next_due_us);
        self.state.next_at().min(restarts_us).min(planners_us)
    }

    /// Lets all timers that are due act.
    fn advance_clock(&mut self) {
        self.state.advance_clock(self.clock.now());
        if let Some(restarts) = &mut self.rolling_restarts {
            restarts.advance(self.clock.now());
        }
        if let Some(planners) = &mut self.planner_links {
            planners.advance(self.clock.now(), &mut self.state);
        }
    }

    /// Closes all links, and gives them time to say why.
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
