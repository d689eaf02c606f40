//! Runs a session over a stream on tokio: reads, writes, ticks. It decides nothing.
use crate::session::{LinkConfig, PeerIdentity, Session, SessionEvent};
use crate::wire::Body;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// A clock of whole microseconds that starts at a given value and never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_us: i64,
}

impl Clock {
    /// Microseconds since 1970 at start, then by the monotonic clock.
    pub fn start() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock { start: Instant::now(), start_us: since.map_or(0, |elapsed| elapsed.as_micros() as i64) }
    }

    /// The time now, in microseconds.
    pub fn now(&self) -> i64 {
        self.start_us + self.start.elapsed().as_micros() as i64
    }

    /// A time of this clock, in microseconds, as tokio's timers take it.
    pub fn at(&self, us: i64) -> tokio::time::Instant {
        let after = (us - self.start_us).max(0) as u64;
        tokio::time::Instant::from_std(self.start + Duration::from_micros(after))
    }
}

/// What the owner of a link may ask of it.
#[derive(Debug)]
pub enum LinkCommand {
    /// Send a frame, with a mark if it must be known whether it was handed to the stream.
    Send(Body, Option<u64>),
    /// Say goodbye for this reason, and end.
    Close(String),
}

/// What a link reports to its owner: events of the session, then `Ended` once.
#[derive(Debug)]
pub enum LinkEvent {
    /// An event of the session.
    Session(SessionEvent),
    /// The link is gone.
    Ended {
        /// Why, in words for an operator.
        why: String,
        /// Marks of frames of which no byte was handed to the stream.
        unsent: Vec<u64>,
    },
}

/// On whose behalf a link runs.
#[derive(Clone, Debug)]
pub struct LinkContext {
    /// What the links of the process have in common.
    pub config: LinkConfig,
    /// What this side says of itself.
    pub identity: PeerIdentity,
    /// The clock that the session goes by.
    pub clock: Clock,
}

impl LinkContext {
    /// A link by itself, with the usual settings.
    pub fn new(identity: PeerIdentity, clock: Clock) -> Self {
        LinkContext { config: LinkConfig::default(), identity, clock }
    }
}

/// Bytes that are read at once.
const READ_BYTES: usize = 16 * 1024;
/// Commands that are taken at once, so that many frames share a write.
const COMMANDS_AT_ONCE: usize = 64;
/// How long a goodbye may take.
const GOODBYE_TIMEOUT: Duration = Duration::from_millis(50);

/// Why a link ends, and marks of frames that the session never took in.
struct LinkEnd {
    why: String,
    unsent: Vec<u64>,
}

/// Runs a session over a stream until it ends. Commands come and events go by bounded channels; `wrap` makes
/// an event what the channel carries. While the owner does not take the events, the peer is granted nothing
/// more.
pub async fn run<S, E>(
    mut stream: S,
    context: LinkContext,
    mut commands: mpsc::Receiver<LinkCommand>,
    events: mpsc::Sender<E>,
    wrap: impl Fn(LinkEvent) -> E,
) where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let clock = context.clock;
    let mut session = Session::with_config(context.config, context.identity, clock.now());
    let mut buffer = vec![0; READ_BYTES];
    let end = loop {
        if let ControlFlow::Break(why) = deliver_events(&mut session, &events, &wrap).await {
            break LinkEnd { why, unsent: Vec::new() };
        }
        let tick = clock.at(session.next_tick_at());
        let (mut reader, mut writer) = tokio::io::split(&mut stream);
        let has_output = !session.pending_output().is_empty();
        tokio::select! {
            read = reader.read(&mut buffer) => match read {
                Ok(0) => session.stream_ended("the peer closed the connection"),
                Ok(count) => session.receive(clock.now(), &buffer[..count]),
                Err(error) => session.stream_ended(&format!("the connection broke: {error}")),
            },
            written = writer.write(session.pending_output()), if has_output => match written {
                Ok(count) => session.record_written(count),
                Err(error) => session.stream_ended(&format!("the connection broke: {error}")),
            },
            command = commands.recv() => {
                if let ControlFlow::Break(end) = take_commands(&mut session, command, &mut commands) {
                    break end;
                }
            },
            () = tokio::time::sleep_until(tick) => session.tick(clock.now()),
        }
    };
    let ended = close(session, &mut stream, commands, end).await;
    let _ = events.send(wrap(ended)).await;
}

/// Passes on the events of the session. Breaks with the reason once it is over or nobody takes them.
async fn deliver_events<E>(
    session: &mut Session,
    events: &mpsc::Sender<E>,
    wrap: &impl Fn(LinkEvent) -> E,
) -> ControlFlow<String> {
    while let Some(event) = session.next_event() {
        if let SessionEvent::Closed(why) = event {
            return ControlFlow::Break(why);
        }
        if events.send(wrap(LinkEvent::Session(event))).await.is_err() {
            return ControlFlow::Break("the owner of the link left".into());
        }
    }
    ControlFlow::Continue(())
}

/// Takes in a command and those that wait behind it; none: the owner left. Breaks when the peer takes nothing.
fn take_commands(
    session: &mut Session,
    first: Option<LinkCommand>,
    commands: &mut mpsc::Receiver<LinkCommand>,
) -> ControlFlow<LinkEnd> {
    let mut next = first;
    for _ in 0..COMMANDS_AT_ONCE {
        match next {
            Some(LinkCommand::Send(body, mark)) => {
                if let Err(full) = session.send(body, mark) {
                    // Not taken in at all, so the mark is unsent, and the peer does not read.
                    let why = full.to_string();
                    session.goodbye(&why);
                    return ControlFlow::Break(LinkEnd { why, unsent: mark.into_iter().collect() });
                }
            }
            Some(LinkCommand::Close(why)) => session.goodbye(&why),
            None => {
                session.goodbye("the planner leaves");
                break;
            }
        }
        match commands.try_recv() {
            Ok(command) => next = Some(command),
            Err(_) => break,
        }
    }
    ControlFlow::Continue(())
}

/// Ends the stream, and collects the marks of all frames that were not handed to it.
async fn close<S: AsyncWrite + Unpin>(
    mut session: Session,
    stream: &mut S,
    mut commands: mpsc::Receiver<LinkCommand>,
    end: LinkEnd,
) -> LinkEvent {
    let LinkEnd { why, mut unsent } = end;
    commands.close();
    while let Some(command) = commands.recv().await {
        if let LinkCommand::Send(_, Some(mark)) = command {
            unsent.push(mark);
        }
    }
    // One try for the goodbye; what was not handed over before is not handed over now, so it stays unsent.
    unsent.extend(session.unsent_marks());
    if unsent.is_empty() && !session.pending_output().is_empty() {
        let last = stream.write(session.pending_output());
        if let Ok(Ok(count)) = tokio::time::timeout(GOODBYE_TIMEOUT, last).await {
            session.record_written(count);
        }
    }
    let _ = stream.shutdown().await;
    LinkEvent::Ended { why, unsent }
}
