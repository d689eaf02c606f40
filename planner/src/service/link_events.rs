//! Handles the events of links: a peer that connects, its frames, the health of the link, and the
//! end of the link.
use super::{LinkMessage, LinkOrigin, PlannerService};
use crate::state::REGISTRY;
use crate::view;
use basaltpitch_agent::link::LinkEvent;
use basaltpitch_agent::link_health::LinkHealth;
use basaltpitch_agent::session::SessionEvent;
use basaltpitch_agent::wire::{Body, Role};

impl PlannerService {
    /// Dispatches an event of a link to the handler for its kind of peer.
    pub(super) fn link_event(&mut self, message: LinkMessage) {
        let now_us = self.clock.now();
        let LinkMessage { origin, event } = message;
        match origin {
            LinkOrigin::Peer { peer: REGISTRY, link } => self.registry_event(now_us, link, event),
            LinkOrigin::Peer { peer, link } => self.machine_event(now_us, peer, link, event),
            LinkOrigin::Connection(connection) => self.connection_event(now_us, connection, event),
            LinkOrigin::Planner(link) => self.planner_event(now_us, link, event),
        }
    }

    /// Handles an event of a link to another planner, whichever side opened the link.
    fn planner_event(&mut self, now_us: i64, link: u64, event: LinkEvent) {
        let Some(peers) = &mut self.planner_links else {
            return self.close_connection(link, "role: found a planner; this one has no seat and meets none");
        };
        let handled = match event {
            LinkEvent::Session(SessionEvent::Up(peer_identity)) if peer_identity.role == Role::Planner => {
                let Some(commands) = self.connections.get(&link).cloned() else { return };
                peers.link_up(now_us, link, &peer_identity, commands)
            }
            LinkEvent::Session(SessionEvent::Up(_)) => {
                return self.close_connection(link, "role: expected a planner")
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => peers.receive_frame(now_us, link, body),
            LinkEvent::Session(_) => return,
            LinkEvent::Ended { why: reason, .. } => {
                tracing::debug!(link, why = reason, "the link to another planner ended");
                self.connections.remove(&link);
                peers.link_down(now_us, link);
                return;
            }
        };
        if let Err(e) = handled {
            tracing::info!(
                error = %e,
                help = e.advice(),
                "a hello or frame from another planner was rejected; closing the link"
            );
            self.close_connection(link, &e.to_string());
        }
    }

    /// Handles an event of the link to the registry.
    fn registry_event(&mut self, now_us: i64, link: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(peer_identity)) if peer_identity.role == Role::Register => {
                tracing::info!(register = peer_identity.name, "connected to the registry");
                self.state.registry_up(now_us);
            }
            LinkEvent::Session(SessionEvent::Up(peer_identity)) => {
                tracing::error!(
                    role = ?peer_identity.role,
                    "the process at the registry's address has another role; closing the link"
                );
                self.close_peer(REGISTRY, link, "role: expected a register");
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                if let (Body::List(list), Some(restarts)) = (&body, &mut self.rolling_restarts) {
                    restarts.on_machine_list(now_us, list);
                }
                if let Err(e) = self.state.registry_frame(now_us, body) {
                    tracing::error!(error = %e, "invalid frame from the registry; keeping the last machine list");
                }
            }
            LinkEvent::Session(_) => {}
            LinkEvent::Ended { why: reason, .. } => {
                tracing::warn!(why = reason, "the link to the registry ended; keeping the last machine list");
                self.peer_links.remove(&REGISTRY);
                self.state.registry_down(now_us);
                if let Some(restarts) = &mut self.rolling_restarts {
                    restarts.on_registry_lost();
                }
            }
        }
    }

    /// Handles an event of a link to a machine.
    fn machine_event(&mut self, now_us: i64, machine: usize, link: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(peer_identity)) => {
                let expected = peer_identity.role == Role::Machine
                    && self.state.machine_up(now_us, machine, link, &peer_identity.name, peer_identity.epoch);
                if expected {
                    tracing::info!(
                        machine = peer_identity.name,
                        link,
                        started = peer_identity.epoch,
                        "the link to the machine is up"
                    );
                } else {
                    tracing::warn!(
                        found = peer_identity.name,
                        link,
                        "found another machine, or an earlier process of the expected machine; closing the link"
                    );
                    self.close_peer(machine, link, "another machine, or an older start of it, was expected");
                }
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                if let Err(e) = self.state.machine_frame(now_us, machine, link, body) {
                    tracing::error!(machine, error = %e, "invalid frame from a machine; closing the link");
                    self.close_peer(machine, link, &e.to_string());
                }
            }
            LinkEvent::Session(SessionEvent::Health(state)) => {
                tracing::info!(machine = self.state.machine_name(machine), state = ?state, "the health of the link to the machine changed");
                let suspect = state != LinkHealth::Healthy;
                self.state.machine_suspect(now_us, machine, link, suspect);
            }
            LinkEvent::Session(SessionEvent::Closed(_)) => {}
            LinkEvent::Ended { why: reason, unsent } => {
                tracing::info!(
                    machine = self.state.machine_name(machine),
                    link,
                    why = reason,
                    unsent = unsent.len(),
                    "the link to the machine ended"
                );
                if self.peer_links.get(&machine).is_some_and(|peer_link| peer_link.link == link) {
                    self.peer_links.remove(&machine);
                }
                self.state.machine_down(now_us, machine, link, &unsent);
            }
        }
    }

    /// Handles an event of a connection that a client, an operator or another planner opened.
    fn connection_event(&mut self, now_us: i64, connection: u64, event: LinkEvent) {
        match event {
            event if self.planner_links.as_ref().is_some_and(|p| p.has_link(connection)) => {
                self.planner_event(now_us, connection, event)
            }
            LinkEvent::Session(SessionEvent::Up(peer_identity))
                if peer_identity.role == Role::Planner && self.planner_links.is_some() =>
            {
                self.planner_event(now_us, connection, LinkEvent::Session(SessionEvent::Up(peer_identity)));
            }
            LinkEvent::Session(SessionEvent::Up(peer_identity))
                if !matches!(peer_identity.role, Role::Owner | Role::Operator) =>
            {
                self.close_connection(connection, "role: expected an owner or an operator");
            }
            LinkEvent::Session(SessionEvent::Up(peer_identity)) => {
                self.state.client_connected(connection, &peer_identity.login)
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                let extra_fields = || {
                    let mut fields = serde_json::json!({"traffic": view::traffic(&self.link_config.traffic)});
                    if let Some(peers) = &self.planner_links {
                        fields["others"] = peers.view(now_us);
                    }
                    Some(fields)
                };
                if let Err(e) = view::client_frame(&mut self.state, now_us, connection, body, extra_fields) {
                    tracing::warn!(
                        conn = connection,
                        error = %e,
                        "invalid frame from a client or operator; closing the connection"
                    );
                    self.close_connection(connection, &e.to_string());
                }
            }
            LinkEvent::Session(_) => {}
            LinkEvent::Ended { why: reason, .. } => {
                tracing::debug!(conn = connection, why = reason, "client disconnected");
                self.connections.remove(&connection);
                self.state.client_disconnected(connection);
            }
        }
    }
}
