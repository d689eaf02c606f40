//! Connections of the machines of one process: from planners, and to the registry.
use super::{Connection, Machine, MachineProcess, MachinesEvent};
use crate::attempt_frames::inventory;
use crate::scale::traffic::{CountingStream, Traffic};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{Body, Role};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time between attempts to connect to the registry.
const REGISTRY_RETRY_AFTER: Duration = Duration::from_millis(200);

impl MachineProcess {
    /// Starts a link on a new connection.
    pub(super) fn accept(&mut self, machine: usize, stream: TcpStream) {
        self.connection_count += 1;
        let number = self.connection_count;
        let (commands, inbox) = mpsc::channel(1024);
        let traffic = Rc::new(RefCell::new(Traffic::default()));
        let host = &mut self.machines[machine];
        let stream = CountingStream::new(stream, host.vanished.clone(), traffic.clone());
        let identity = PeerIdentity {
            role: Role::Machine,
            name: host.name.clone(),
            epoch: host.started_us as u64,
            link: number,
            login: String::new(),
        };
        let event = move |event| MachinesEvent::Connection(machine, number, event);
        let run = link::run(
            stream,
            link::LinkContext::new(identity, self.clock),
            inbox,
            self.events.clone(),
            event,
        );
        let task = tokio::task::spawn_local(run).abort_handle();
        host.connections.insert(number, Connection { commands, peer: None, task, traffic });
    }

    /// Handles an event of a connection. Frames count only on the current link of a planner.
    pub(super) fn connection_event(&mut self, machine: usize, number: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(peer)) if peer.role == Role::Planner => {
                self.planner_connected(machine, number, peer);
            }
            LinkEvent::Session(SessionEvent::Frame(body)) => {
                let host = &self.machines[machine];
                let peer = host.connections.get(&number).and_then(|connection| connection.peer.clone());
                let current =
                    |peer: &PeerIdentity| host.attempts.is_current(&peer.name, peer.epoch, peer.link);
                if let Some(peer) = peer.filter(current) {
                    self.frame(machine, peer.name, body);
                }
            }
            LinkEvent::Ended { .. } => self.disconnected(machine, number),
            LinkEvent::Session(_) => {}
        }
    }

    /// Makes a connection the current link of its planner, and sends the inventory.
    fn planner_connected(&mut self, machine: usize, number: u64, peer: PeerIdentity) {
        let host = &mut self.machines[machine];
        if !host.connections.contains_key(&number) {
            return;
        }
        if !host.attempts.admit_link(&peer.name, peer.epoch, peer.link) {
            return host.close(number, "an older life or link of this planner");
        }
        if let Some(connection) = host.connections.get_mut(&number) {
            connection.peer = Some(peer.clone());
        }
        if let Some(old) = host.links.insert(peer.name.clone(), number) {
            host.close(old, "a newer link came");
        }
        let (endings, held) = host.attempts.inventory(&peer.name);
        for (id, ending) in endings {
            self.reply(machine, &peer.name, id, ending);
        }
        let host = &self.machines[machine];
        host.send(&peer.name, inventory(held, host.draining));
    }

    /// Removes a closed connection, and keeps its traffic count.
    pub(super) fn disconnected(&mut self, machine: usize, number: u64) {
        let host = &mut self.machines[machine];
        let Some(connection) = host.connections.remove(&number) else { return };
        if let Some(peer) = connection.peer {
            if host.links.get(&peer.name) == Some(&number) {
                host.links.remove(&peer.name);
            }
            self.past_traffic.entry(peer.name).or_default().add(&connection.traffic.borrow());
        }
    }
}

impl Machine {
    /// Closes a connection with this reason.
    fn close(&self, number: u64, why: &str) {
        if let Some(connection) = self.connections.get(&number) {
            let _ = connection.commands.try_send(LinkCommand::Close(why.to_owned()));
        }
    }

    /// Sends a frame to a planner, if it is connected.
    pub(super) fn send(&self, planner: &str, body: Body) {
        if let Some(connection) = self.links.get(planner).and_then(|number| self.connections.get(number)) {
            let _ = connection.commands.try_send(LinkCommand::Send(body, None));
        }
    }
}

/// Keeps a link to the registry open.
pub(super) async fn to_registry(
    address: String,
    name: String,
    clock: Clock,
    events: mpsc::Sender<MachinesEvent>,
) {
    let mut links = 0;
    loop {
        if let Ok(stream) = TcpStream::connect(&address).await {
            links += 1;
            let (commands, inbox) = mpsc::channel(256);
            let identity = PeerIdentity {
                role: Role::Machine,
                name: name.clone(),
                epoch: 1,
                link: links,
                login: String::new(),
            };
            if events.send(MachinesEvent::RegistryConnected(commands)).await.is_err() {
                return;
            }
            let _ = stream.set_nodelay(true);
            link::run(
                stream,
                link::LinkContext::new(identity, clock),
                inbox,
                events.clone(),
                MachinesEvent::Registry,
            )
            .await;
        }
        tokio::time::sleep(REGISTRY_RETRY_AFTER).await;
    }
}
