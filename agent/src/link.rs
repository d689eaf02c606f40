//! Carries a session over a stream on tokio: reads, writes, ticks. It decides nothing.
use crate::session::{LinkConfig, PeerIdentity, Session, SessionEvent};
use crate::wire::Body;
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// A clock of whole microseconds that starts at a given value and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    zero: i64,
}

impl Clock {
    /// Microseconds since 1970 at start, then by the monotonic clock.
    pub fn start() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock { start: Instant::now(), zero: since.map_or(0, |d| d.as_micros() as i64) }
    }

    pub fn now(&self) -> i64 {
        self.zero + self.start.elapsed().as_micros() as i64
    }

    pub fn at(&self, us: i64) -> tokio::time::Instant {
        let after = (us - self.zero).max(0) as u64;
        tokio::time::Instant::from_std(self.start + std::time::Duration::from_micros(after))
    }
}

/// What a link's owner may ask of it.
#[derive(Debug)]
pub enum LinkCommand {
    /// A frame, with a mark if it must be known whether it was handed to the stream.
    Send(Body, Option<u64>),
    Close(String),
}

/// What a link tells its owner: events of the session, then `Ended` once.
#[derive(Debug)]
pub enum LinkEvent {
    Session(SessionEvent),
    /// The link is gone; marks of frames of which no byte was handed to the stream.
    Ended {
        why: String,
        unsent: Vec<u64>,
    },
}

/// Bytes that are read at once.
const READ: usize = 16 * 1024;

/// Runs a session over a stream until it ends, as a link by itself: `run_with_config` for one of a process whose
/// links have something in common.
pub async fn run<S, N>(
    stream: S,
    me: PeerIdentity,
    clock: Clock,
    orders: mpsc::Receiver<LinkCommand>,
    news: mpsc::Sender<N>,
    wrap: impl Fn(LinkEvent) -> N,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    run_with_config(LinkConfig::default(), stream, me, clock, orders, news, wrap).await;
}

/// Runs a session over a stream until it ends. Orders come and news go by bounded channels; while the owner
/// does not take the news, the peer is granted nothing more.
pub async fn run_with_config<S, N>(
    links: LinkConfig,
    mut stream: S,
    me: PeerIdentity,
    clock: Clock,
    mut orders: mpsc::Receiver<LinkCommand>,
    news: mpsc::Sender<N>,
    wrap: impl Fn(LinkEvent) -> N,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut session = Session::with_config(links, me, clock.now());
    let mut buffer = vec![0; READ];
    let mut why = String::from("the owner of the link left");
    'on: loop {
        while let Some(event) = session.next_event() {
            if let SessionEvent::Closed(text) = &event {
                why = text.clone();
                break 'on;
            }
            if news.send(wrap(LinkEvent::Session(event))).await.is_err() {
                break 'on;
            }
        }
        let tick = clock.at(session.next_tick_at());
        let (mut reader, mut writer) = tokio::io::split(&mut stream);
        let waits = !session.pending_output().is_empty();
        tokio::select! {
            got = reader.read(&mut buffer) => match got {
                Ok(0) => session.stream_ended("the peer closed the connection"),
                Ok(n) => session.receive(clock.now(), &buffer[..n]),
                Err(e) => session.stream_ended(&format!("the connection broke: {e}")),
            },
            done = writer.write(session.pending_output()), if waits => match done {
                Ok(n) => session.record_written(n),
                Err(e) => session.stream_ended(&format!("the connection broke: {e}")),
            },
            order = orders.recv() => {
                let mut next = order;
                // Take what else is there, so that many frames share a write.
                for _ in 0..64 {
                    match next {
                        Some(LinkCommand::Send(body, mark)) => {
                            if let Err(e) = session.send(body, mark) {
                                // Not taken in at all: the mark is unsent, and the peer is beyond help.
                                let unsent: Vec<u64> = mark.into_iter().collect();
                                session.goodbye(&e.to_string());
                                return end(session, stream, orders, news, wrap, e.to_string(), unsent).await;
                            }
                        }
                        Some(LinkCommand::Close(text)) => session.goodbye(&text),
                        None => {
                            session.goodbye("the planner leaves");
                            break;
                        }
                    }
                    match orders.try_recv() {
                        Ok(order) => next = Some(order),
                        Err(_) => break,
                    }
                }
            },
            () = tokio::time::sleep_until(tick) => session.tick(clock.now()),
        }
    }
    end(session, stream, orders, news, wrap, why, Vec::new()).await;
}

async fn end<S: AsyncWrite + Unpin, N>(
    mut session: Session,
    mut stream: S,
    mut orders: mpsc::Receiver<LinkCommand>,
    news: mpsc::Sender<N>,
    wrap: impl Fn(LinkEvent) -> N,
    why: String,
    mut unsent: Vec<u64>,
) {
    orders.close();
    while let Some(order) = orders.recv().await {
        if let LinkCommand::Send(_, Some(mark)) = order {
            unsent.push(mark);
        }
    }
    // One try for the goodbye; what was not handed over before is not handed over now, so it stays unsent.
    unsent.extend(session.unsent_marks());
    if unsent.is_empty() && !session.pending_output().is_empty() {
        let last = stream.write(session.pending_output());
        if let Ok(Ok(n)) = tokio::time::timeout(std::time::Duration::from_millis(50), last).await {
            session.record_written(n);
        }
    }
    let _ = stream.shutdown().await;
    let _ = news.send(wrap(LinkEvent::Ended { why, unsent })).await;
}
