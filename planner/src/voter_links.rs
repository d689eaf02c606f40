//! Links to the voters, which planners, spare planners and other voters maintain; and the clock and
//! the process names that votes refer to.
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Limit on the events of one link that wait to be handled.
const EVENT_CAPACITY: usize = 256;
/// Limit on the commands that wait to be carried out by one link.
const COMMAND_CAPACITY: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a voter whose link ended is connected to again.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

/// Returns the time since boot in microseconds. The clock keeps running while the machine is
/// suspended.
pub fn boottime_us() -> i64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1000
}

/// The name and the address of a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterEndpoint {
    /// The voter's name; the link is closed if a process of another name answers.
    pub name: String,
    /// Host and port on which the voter listens.
    pub address: String,
}

/// Returns the name under which a process requests votes: its configured name and its epoch, so
/// that a restarted process has a different name.
pub fn process_name(name: &str, epoch: u64) -> Rc<str> {
    format!("{name} of {epoch}").into()
}

/// The settings shared by all links of one process to voters.
#[derive(Clone)]
pub(crate) struct VoterDialer {
    /// The settings that these links share with the process's other links.
    pub links: LinkConfig,
    /// The identity with which this process introduces itself.
    pub identity: PeerIdentity,
    /// The clock of the process.
    pub clock: Clock,
    /// Receives the events of all links, each with the voter's index.
    pub events: mpsc::Sender<(usize, VoterLinkEvent)>,
}

/// An event of the link to one voter.
pub(crate) enum VoterLinkEvent {
    /// The link is up; commands for it are sent to this channel.
    Up(mpsc::Sender<LinkCommand>),
    /// A frame from the voter.
    Frame(Body),
    /// The link ended, or could not be set up.
    Down,
}

impl VoterDialer {
    /// Starts a task that runs one link. Returns the channel for its commands and the channel of
    /// its events, of which `LinkEvent::Ended` is the last.
    fn dial(
        &self,
        endpoint: &VoterEndpoint,
        link: u64,
    ) -> (mpsc::Sender<LinkCommand>, mpsc::Receiver<LinkEvent>) {
        let (commands, command_receiver) = mpsc::channel(COMMAND_CAPACITY);
        let (event_sender, link_events) = mpsc::channel(EVENT_CAPACITY);
        let (links, clock, address) = (self.links.clone(), self.clock, endpoint.address.clone());
        let identity = PeerIdentity { link, ..self.identity.clone() };
        tokio::task::spawn_local(async move {
            let why = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    return link::run(
                        stream,
                        link::LinkContext { config: links, identity, clock },
                        command_receiver,
                        event_sender,
                        |event| event,
                    )
                    .await;
                }
                Ok(Err(error)) => format!("cannot connect: {error}"),
                Err(_) => "the connection timed out".into(),
            };
            let _ = event_sender.send(LinkEvent::Ended { why, unsent: Vec::new() }).await;
        });
        (commands, link_events)
    }

    /// Maintains a link to one voter, and reconnects whenever it ends. Returns once the receiver of
    /// the events is dropped.
    pub(crate) async fn maintain_link(self, voter: usize, endpoint: VoterEndpoint) {
        let mut link = 0;
        loop {
            link += 1;
            let (commands, mut link_events) = self.dial(&endpoint, link);
            while let Some(link_event) = link_events.recv().await {
                let event = match link_event {
                    LinkEvent::Session(SessionEvent::Up(peer))
                        if peer.role == wire::Role::Voter && peer.name == endpoint.name =>
                    {
                        VoterLinkEvent::Up(commands.clone())
                    }
                    LinkEvent::Session(SessionEvent::Up(peer)) => {
                        let (voter, found) = (&endpoint.name, peer.name);
                        tracing::error!(
                            voter,
                            found,
                            "another process answered at the voter's address; closing the link"
                        );
                        break;
                    }
                    LinkEvent::Session(SessionEvent::Frame(body)) => VoterLinkEvent::Frame(body),
                    LinkEvent::Session(_) => continue,
                    LinkEvent::Ended { why, .. } => {
                        tracing::debug!(
                            voter = endpoint.name,
                            why,
                            "the link to the voter ended; connecting again"
                        );
                        break;
                    }
                };
                if self.events.send((voter, event)).await.is_err() {
                    return;
                }
            }
            if self.events.send((voter, VoterLinkEvent::Down)).await.is_err() {
                return;
            }
            tokio::time::sleep(REDIAL_DELAY).await;
        }
    }
}
