//! Links to the voters, as planners, spares and other voters keep them; and the clock and the names that
//! votes go by.
use basaltpitch_agent::link::{self, Clock, News, Order};
use basaltpitch_agent::session::{Event, Links, Party};
use basaltpitch_agent::wire::{self, Body};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

const INBOX: usize = 256;
const ORDERS: usize = 256;
const CONNECTS: Duration = Duration::from_millis(500);
/// A voter that did not answer is dialled again after this time.
const AGAIN: Duration = Duration::from_millis(100);

/// Microseconds of a clock that runs on while the machine is suspended.
pub fn awake() -> i64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec * 1_000_000 + t.tv_nsec / 1000
}

/// The way to a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VoterEndpoint {
    pub name: String,
    pub address: String,
}

/// Who a process is, for votes: its name and the moment of its start. A process that starts again is another.
pub fn process_name(name: &str, epoch: u64) -> Rc<str> {
    format!("{name} of {epoch}").into()
}

/// Runs one link: orders in, news out; `Ended` is the last of them.
fn dial(
    way: VoterEndpoint,
    links: Links,
    me: Party,
    clock: Clock,
) -> (mpsc::Sender<Order>, mpsc::Receiver<News>) {
    let (orders, orders_in) = mpsc::channel(ORDERS);
    let (news_out, news) = mpsc::channel(INBOX);
    tokio::task::spawn_local(async move {
        let why = match tokio::time::timeout(CONNECTS, TcpStream::connect(&way.address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                return link::run_among(links, stream, me, clock, orders_in, news_out, |n| n).await;
            }
            Ok(Err(e)) => format!("no connection: {e}"),
            Err(_) => "no connection in time".into(),
        };
        let _ = news_out.send(News::Ended { why, unsent: Vec::new() }).await;
    });
    (orders, news)
}

/// What is heard of one voter's link: a way to order it, a frame, or its end.
pub(crate) enum Heard {
    Up(mpsc::Sender<Order>),
    Frame(Body),
    Down,
}

/// Keeps a link to one voter, whose place among all is `v`.
pub(crate) async fn follow(
    v: usize,
    way: VoterEndpoint,
    links: Links,
    me: Party,
    clock: Clock,
    heard: mpsc::Sender<(usize, Heard)>,
) {
    let mut link = 0;
    loop {
        link += 1;
        let (orders, mut news) = dial(way.clone(), links.clone(), Party { link, ..me.clone() }, clock);
        while let Some(news) = news.recv().await {
            let word = match news {
                News::Session(Event::Up(party))
                    if party.role == wire::Role::Voter && party.name == way.name =>
                {
                    Heard::Up(orders.clone())
                }
                News::Session(Event::Up(party)) => {
                    tracing::error!(voter = way.name, found = party.name, "another than the voter answers");
                    break;
                }
                News::Session(Event::Frame(body)) => Heard::Frame(body),
                News::Session(_) => continue,
                News::Ended { why, .. } => {
                    tracing::debug!(voter = way.name, why, "no link");
                    break;
                }
            };
            if heard.send((v, word)).await.is_err() {
                return;
            }
        }
        if heard.send((v, Heard::Down)).await.is_err() {
            return;
        }
        tokio::time::sleep(AGAIN).await;
    }
}
