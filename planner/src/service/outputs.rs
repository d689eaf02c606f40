//! Carrying out what the planner's state, the links to other planners and the rolling restarts decided.
use super::tenant_snapshots::TenantSnapshot;
use super::PlannerService;
use crate::peer_links::PeerLinks;
use crate::rolling_restart::RollingRestartCoordinator;
use crate::state::{Output, REGISTRY};
use basaltpitch_agent::link::LinkCommand;
use basaltpitch_agent::wire::Body;
use tokio::sync::mpsc::error::TrySendError;

impl PlannerService {
    /// Sends the frames and opens the links that were decided on. What a link does not take is reported to the
    /// planner's state at once; a client that does not read loses its connection: it may ask again and gets the
    /// same answer.
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

    /// Sends a frame to the registry, where it is linked.
    fn send_registry(&mut self, body: Body) {
        if let Some(peer_link) = self.peer_links.get(&REGISTRY) {
            let _ = peer_link.commands.try_send(LinkCommand::Send(body, None));
        }
    }

    /// Hands a snapshot of the tenants to its writer, unless too many wait for the disk.
    fn store_tenants(&mut self, snapshot: TenantSnapshot) {
        let full = self.snapshot_writer.as_ref().is_some_and(|writer| writer.try_send(snapshot).is_err());
        if full {
            tracing::warn!("tenants are not remembered: the disk is too slow");
            self.state.tenants_not_stored();
        }
    }

    /// Sends a frame to a machine. Where `mark` names an attempt and the frame cannot be sent, the planner's
    /// state learns so at once.
    fn send_machine(&mut self, machine: usize, body: Body, mark: Option<u64>) {
        // A process that was stopped may wake with attempts decided: by then another may hold its slot.
        let lease_expired =
            mark.is_some() && self.lease_deadline.as_ref().is_some_and(|deadline| !deadline.is_held());
        if let Some(peer_link) = self.peer_links.get(&machine).filter(|_| !lease_expired) {
            match peer_link.commands.try_send(LinkCommand::Send(body, mark)) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    tracing::warn!(
                        machine = self.state.machine_name(machine),
                        "the machine does not read; its link ends"
                    );
                    // Dropping the sender of commands ends the link once it has taken those that wait.
                    self.peer_links.remove(&machine);
                }
                Err(TrySendError::Closed(_)) => {}
            }
        }
        if let Some(attempt) = mark {
            self.state.launch_unsent(self.clock.now(), attempt);
        }
    }

    /// Sends a frame to a client or operator; one that does not read is cut off.
    fn send_client(&mut self, connection: u64, body: Body) {
        let Some(commands) = self.connections.get(&connection) else { return };
        if let Err(TrySendError::Full(_)) = commands.try_send(LinkCommand::Send(body, None)) {
            tracing::warn!(conn = connection, "an owner does not read; its connection ends");
            self.connections.remove(&connection);
        }
    }
}
