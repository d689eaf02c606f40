//! Carries out the decisions of the planner's state, of the links to other planners and of the
//! rolling-restart coordinator.
use super::tenant_snapshots::TenantSnapshot;
use super::PlannerService;
use crate::peer_links::PeerLinks;
use crate::rolling_restart::RollingRestartCoordinator;
use crate::state::{Output, REGISTRY};
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::wire::Body;
use tokio::sync::mpsc::error::TrySendError;

impl PlannerService {
    /// Sends the pending frames and opens the pending links. An attempt that a link cannot send is
    /// reported to the planner's state at once. A client that does not read its frames is
    /// disconnected; it may repeat its request on a new connection and gets the same answer.
    pub(super) fn carry_out(&mut self) {
        while let Some(output) = self.state.next_output() {
            match output {
                Output::Dial { peer, link, name, address } => self.dial(peer, link, &name, &address),
                Output::Registry(body) => self.send_registry(body),
                Output::Machine { machine, body, mark } => self.send_machine(machine, body, mark),
                Output::Client { conn, body } => self.send_client(conn, body),
                Output::SyncDirectory(task) => {
                    if let Some(syncs) = &mut self.directory_syncs {
                        syncs.begin(task);
                    }
                }
                Output::StoreTenants { at, snapshot: all } => {
                    self.store_tenants(TenantSnapshot { last_full_sync_us: at, tenants: all });
                }
                Output::Disconnect { machine, why: reason } => {
                    if let Some(peer_link) = self.peer_links.get(&machine) {
                        let _ = peer_link.commands.try_send(LinkCommand::Close(reason.to_owned()));
                    }
                }
            }
        }
        while let Some((link, address)) = self.planner_links.as_mut().and_then(PeerLinks::next_dial) {
            self.dial_planner(link, &address);
        }
        while let Some(body) = self.rolling_restarts.as_mut().and_then(RollingRestartCoordinator::next_frame)
        {
            self.send_registry(body);
        }
    }

    /// Sends a frame to the registry if the link to it is up.
    fn send_registry(&mut self, body: Body) {
        if let Some(peer_link) = self.peer_links.get(&REGISTRY) {
            let _ = peer_link.commands.try_send(LinkCommand::Send(body, None));
        }
    }

    /// Queues a tenant snapshot for the writer thread, unless too many snapshots wait for the disk.
    fn store_tenants(&mut self, snapshot: TenantSnapshot) {
        let is_full = self.snapshot_writer.as_ref().is_some_and(|writer| writer.try_send(snapshot).is_err());
        if is_full {
            tracing::warn!("the disk is too slow for a tenant snapshot; retrying after the next full sync");
            self.state.tenants_not_stored();
        }
    }

    /// Sends a frame to a machine. `mark` is the number of the attempt that the frame launches; if
    /// that frame cannot be sent, the planner's state is notified at once.
    fn send_machine(&mut self, machine: usize, body: Body, mark: Option<u64>) {
        // A process that was suspended may resume with launches pending, when another planner may
        // already hold its slot.
        let lease_expired =
            mark.is_some() && self.lease_deadline.as_ref().is_some_and(|deadline| !deadline.is_held());
        if let Some(peer_link) = self.peer_links.get(&machine).filter(|_| !lease_expired) {
            match peer_link.commands.try_send(LinkCommand::Send(body, mark)) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    tracing::warn!(
                        machine = self.state.machine_name(machine),
                        "the machine does not read its frames; closing the link"
                    );
                    // Dropping the command sender ends the link after its queued commands.
                    self.peer_links.remove(&machine);
                }
                Err(TrySendError::Closed(_)) => {}
            }
        }
        if let Some(attempt) = mark {
            self.state.launch_unsent(self.clock.now(), attempt);
        }
    }

    /// Sends a frame to a client or operator, and disconnects a peer that does not read its frames.
    fn send_client(&mut self, connection: u64, body: Body) {
        let Some(commands) = self.connections.get(&connection) else { return };
        if let Err(TrySendError::Full(_)) = commands.try_send(LinkCommand::Send(body, None)) {
            tracing::warn!(conn = connection, "the client does not read its frames; closing the connection");
            self.connections.remove(&connection);
        }
    }
}
