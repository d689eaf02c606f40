//! Connections of a simulated machine, and the frames that arrive on them.
use super::{MachineEvent, MachineState};
use crate::attempt_frames::{from_wire, inventory, reply, to_wire, AttemptKey};
use crate::faulty_link::{self, LinkObservation};
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState};
use basaltpitch_agent::link::{self, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, EndedHow, Hello, Role};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Returns the number that identifies a connection to the checker among the connections of all
/// machines.
fn checker_number(machine: &str, connection: u64) -> u64 {
    let name = machine.bytes().fold(7u64, |n, byte| n.wrapping_mul(31).wrapping_add(u64::from(byte)));
    name.wrapping_shl(20) ^ connection
}

impl MachineState {
    /// Starts a link with fault injection on a new connection, and reports its frames to the
    /// checker.
    pub(super) fn accept(&mut self, stream: TcpStream, events: mpsc::Sender<MachineEvent>) {
        let _ = stream.set_nodelay(true);
        let number = self.shared.connections.get() + 1;
        self.shared.connections.set(number);
        let (outer, inner) = tokio::io::duplex(64 * 1024);
        let (commands, inbox) = mpsc::channel(4096);
        self.connections.insert(number, (commands, None));
        let (context, name, clock) = (self.context.clone(), self.shared.name.clone(), self.context.clock);
        let checker_id = checker_number(&name, number);
        let observe = move |hello: &Hello, observation: LinkObservation| {
            let planner = (hello.name.clone(), hello.epoch);
            let (mut checker, now) = (context.checker.borrow_mut(), context.clock.now());
            match observation {
                LinkObservation::SocketRead { body, late } => {
                    checker.machine_socket_read(now, &name, checker_id, &planner, body, late);
                }
                LinkObservation::Received { body } => checker.machine_received(now, &name, &planner, body),
                LinkObservation::Sent { body } => checker.machine_sent(now, &name, &planner, body),
                LinkObservation::SocketWritten { body } => {
                    checker.machine_frame_delivered(now, &name, &planner, body);
                }
                LinkObservation::Closed => checker.machine_disconnected(now, checker_id),
            }
        };
        let faults = self.shared.faults.clone();
        tokio::task::spawn_local(faulty_link::forward(stream, inner, number, faults, clock, observe));
        let identity = PeerIdentity {
            role: Role::Machine,
            name: self.shared.name.clone(),
            epoch: self.shared.started_us.get() as u64,
            link: number,
            login: String::new(),
        };
        let event = move |event| MachineEvent::Connection(number, event);
        tokio::task::spawn_local(link::run(
            outer,
            link::LinkContext::new(identity, clock),
            inbox,
            events,
            event,
        ));
    }

    /// Handles an event of a connection. Frames count only on the current link of a planner.
    pub(super) fn connection_event(&mut self, number: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(peer))
                if peer.role == Role::Planner && self.connections.contains_key(&number) =>
            {
                self.planner_connected(number, peer);
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                let peer = self.connections.get(&number).and_then(|connection| connection.1.clone());
                let current =
                    |peer: &PeerIdentity| self.attempts.is_current(&peer.name, peer.epoch, peer.link);
                if let Some(peer) = peer.filter(current) {
                    self.frame(peer.name, body);
                }
            }
            LinkEvent::Ended { .. } => {
                if let Some((_, Some(peer))) = self.connections.remove(&number) {
                    if self.links.get(&peer.name).is_some_and(|link| link.0 == number) {
                        self.links.remove(&peer.name);
                    }
                }
            }
            _ => {}
        }
    }

    /// Makes a connection the current link of its planner, and sends the inventory.
    fn planner_connected(&mut self, number: u64, peer: PeerIdentity) {
        if !self.attempts.admit_link(&peer.name, peer.epoch, peer.link) {
            return self.close(number, "an older life or link of this planner");
        }
        // A restart has already removed its earlier connections, but their events may still arrive.
        let Some((commands, known_peer)) = self.connections.get_mut(&number) else { return };
        *known_peer = Some(peer.clone());
        let commands = commands.clone();
        if let Some((old, _)) = self.links.insert(peer.name.clone(), (number, commands)) {
            self.close(old, "a newer link came");
        }
        let attempts = &self.attempts;
        self.offers.retain(|attempt| attempts.state(&attempt.0, attempt.1).is_some());
        let (endings, held) = self.attempts.inventory(&peer.name);
        for (id, ending) in endings {
            self.reply(&(peer.name.clone(), id), ending);
        }
        self.send_frame(&peer.name, inventory(held, self.shared.draining.get()));
    }

    /// Closes a connection with this reason.
    fn close(&self, number: u64, why: &str) {
        if let Some((commands, _)) = self.connections.get(&number) {
            let _ = commands.try_send(LinkCommand::Close(why.to_owned()));
        }
    }

    /// Sends a frame to a planner, if it is connected.
    pub(super) fn send_frame(&self, planner: &str, body: Body) {
        if let Some((_, commands)) = self.links.get(planner) {
            let _ = commands.try_send(LinkCommand::Send(body, None));
        }
    }

    /// Handles a frame of a planner.
    fn frame(&mut self, planner: String, body: Body) {
        match body {
            Body::Launch(launch) => self.offered(planner, launch),
            Body::Cancel(cancel) => self.cancel(planner, from_wire(cancel.id)),
            Body::Stop(stop) => {
                let attempt = (planner, from_wire(stop.id));
                match self.attempts.state(&attempt.0, attempt.1) {
                    Some(AttemptState::Accepted | AttemptState::Running) => {
                        self.end_task(&attempt, EndedHow::EndedStopped);
                    }
                    _ => self.cancel(attempt.0, attempt.1),
                }
            }
            Body::Noted(noted) => self.attempts.acknowledge(&planner, from_wire(noted.id)),
            Body::Probe(probe) => {
                let report = self.report();
                let probed = wire::Probed { number: probe.number, why: 0, report };
                self.send_frame(&planner, Body::Probed(probed));
            }
            _ => {}
        }
    }

    /// Cancels an attempt that does not run yet, and replies with its state.
    fn cancel(&mut self, planner: String, id: AttemptId) {
        let attempt = (planner, id);
        let key = self.task_key(&attempt);
        let attempt_reply = self.attempts.cancel(&attempt.0, id);
        self.offers.retain(|waiting| *waiting != attempt);
        self.reply_for(&attempt, key, attempt_reply);
    }

    /// Sends a reply about an attempt.
    pub(super) fn reply(&self, attempt: &AttemptKey, attempt_reply: AttemptReply) {
        self.reply_for(attempt, self.task_key(attempt), attempt_reply);
    }

    /// Sends a reply about an attempt of the task with this key, whether or not the attempt is
    /// still known.
    pub(super) fn reply_for(&self, attempt: &AttemptKey, key: String, attempt_reply: AttemptReply) {
        if let Some(body) = reply(attempt.1, key, attempt_reply, self.report()) {
            self.send_frame(&attempt.0, body);
        }
    }

    /// Refuses an offer with this reason code.
    pub(super) fn refuse(&mut self, attempt: &AttemptKey, why: u32) {
        let key = self.task_key(attempt);
        self.attempts.forget(&attempt.0, attempt.1);
        let refused = wire::Refused { id: to_wire(attempt.1), key, why, report: self.report() };
        self.send_frame(&attempt.0, Body::Refused(refused));
    }
}
