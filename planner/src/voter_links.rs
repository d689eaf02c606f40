//! Links to the voters, as planners, spares and other voters keep them; and the clock and the process names that
//! votes go by.
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const INBOX: usize = 256;
const ORDERS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// A voter whose link ended is dialled again after this time.
const REDIAL_DELAY: Duration = Duration::from_millis(100);

/// Microseconds of a clock that runs on while the machine is suspended.
pub fn boottime_us() -> i64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec * 1_000_000 + time.tv_nsec / 1000
}

/// Where a voter listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterEndpoint {
    /// The voter's name; a link on which another answers is ended.
    pub name: String,
    /// Host and port.
    pub address: String,
}

/// Who a process is, for votes: its name and the moment of its start. A process that starts again is another.
pub fn process_name(name: &str, epoch: u64) -> Rc<str> {
    format!("{name} of {epoch}").into()
}

/// What all links of one process to voters have in common.
#[derive(Clone)]
pub(crate) struct VoterDialer {
    /// What the links share with the others of the process.
    pub links: LinkConfig,
    /// Who dials.
    pub identity: PeerIdentity,
    /// The clock of the process.
    pub clock: Clock,
    /// Where events go, with the voter's index among all.
    pub events: mpsc::Sender<(usize, VoterLinkEvent)>,
}

/// What comes of a link to one voter.
pub(crate) enum VoterLinkEvent {
    /// The voter answered; frames are sent here.
    Up(mpsc::Sender<LinkCommand>),
    /// A frame of the voter.
    Frame(Body),
    /// The link ended, or the voter did not answer.
    Down,
}

impl VoterDialer {
    /// Runs one link: orders in, news out; `Ended` is the last of them.
    fn dial(
        &self,
        endpoint: &VoterEndpoint,
        link: u64,
    ) -> (mpsc::Sender<LinkCommand>, mpsc::Receiver<LinkEvent>) {
        let (orders, orders_in) = mpsc::channel(ORDERS);
        let (news_out, news) = mpsc::channel(INBOX);
        let (links, clock, address) = (self.links.clone(), self.clock, endpoint.address.clone());
        let identity = PeerIdentity { link, ..self.identity.clone() };
        tokio::task::spawn_local(async move {
            let why = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await {
                Ok(Ok(stream)) => {
                    let _ = stream.set_nodelay(true);
                    return link::run(
                        stream,
                        link::LinkContext { config: links, identity, clock },
                        orders_in,
                        news_out,
                        |n| n,
                    )
                    .await;
                }
                Ok(Err(e)) => format!("no connection: {e}"),
                Err(_) => "no connection in time".into(),
            };
            let _ = news_out.send(LinkEvent::Ended { why, unsent: Vec::new() }).await;
        });
        (orders, news)
    }

    /// Keeps a link to one voter, until nobody receives its events.
    pub(crate) async fn keep_link(self, voter: usize, endpoint: VoterEndpoint) {
        let mut link = 0;
        loop {
            link += 1;
            let (orders, mut news) = self.dial(&endpoint, link);
            while let Some(news) = news.recv().await {
                let event = match news {
                    LinkEvent::Session(SessionEvent::Up(party))
                        if party.role == wire::Role::Voter && party.name == endpoint.name =>
                    {
                        VoterLinkEvent::Up(orders.clone())
                    }
                    LinkEvent::Session(SessionEvent::Up(party)) => {
                        let (voter, found) = (&endpoint.name, party.name);
                        tracing::error!(voter, found, "another process than the voter answers");
                        break;
                    }
                    LinkEvent::Session(SessionEvent::Frame(body)) => VoterLinkEvent::Frame(body),
                    LinkEvent::Session(_) => continue,
                    LinkEvent::Ended { why, .. } => {
                        tracing::debug!(voter = endpoint.name, why, "no link to the voter");
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
