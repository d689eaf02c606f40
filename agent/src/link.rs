//! Runs a session over a stream on tokio: reads, writes and calls `tick` when it is due. All
//! decisions are the session's.
use crate::session::{LinkConfig, PeerIdentity, Session, SessionEvent};
use crate::wire::Body;
use std::ops::ControlFlow;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;

/// Monotonic clock in whole microseconds, started at the wall clock's time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_us: i64,
}

impl Clock {
    /// Starts a clock at the wall clock's time in microseconds since 1970. From then on it follows
    /// the monotonic clock, so that it never goes back.
    pub fn start() -> Self {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Clock { start: Instant::now(), start_us: since.map_or(0, |elapsed| elapsed.as_micros() as i64) }
    }

    /// Returns the current time in microseconds.
    pub fn now(&self) -> i64 {
        self.start_us + self.start.elapsed().as_micros() as i64
    }

    /// Converts a time of this clock, in microseconds, to an instant for tokio's timers.
    pub fn at(&self, us: i64) -> tokio::time::Instant {
        let after = (us - self.start_us).max(0) as u64;
        tokio::time::Instant::from_std(self.start + Duration::from_micros(after))
    }
}

/// Command to a link.
#[derive(Debug)]
pub enum LinkCommand {
    /// Send a frame. A frame with a mark is reported in `LinkEvent::Ended` if no byte of it was
    /// written to the stream.
    Send(Body, Option<u64>),
    /// Send a goodbye with this reason and close the link.
    Close(String),
}

/// Event of a link: events of its session, then `Ended` once.
#[derive(Debug)]
pub enum LinkEvent {
    /// Event of the session.
    Session(SessionEvent),
    /// The link is closed; no event follows.
    Ended {
        /// Reason, in words for operators.
        why: String,
        /// Marks of the frames of which no byte was written to the stream.
        unsent: Vec<u64>,
    },
}

/// Configuration, identity and clock of a link.
#[derive(Clone, Debug)]
pub struct LinkContext {
    /// Configuration shared by all links of the process.
    pub config: LinkConfig,
    /// Identity that this side sends in its hello.
    pub identity: PeerIdentity,
    /// Clock of the session.
    pub clock: Clock,
}

impl LinkContext {
    /// Returns a context with the default configuration and traffic counters of its own.
    pub fn new(identity: PeerIdentity, clock: Clock) -> Self {
        LinkContext { config: LinkConfig::default(), identity, clock }
    }
}

/// Maximum bytes of one read from the stream.
const READ_BYTES: usize = 16 * 1024;
/// Maximum number of commands handled before the next write, so that many frames share one write.
const COMMANDS_AT_ONCE: usize = 64;
/// Time limit for writing the goodbye when a link is closed.
const GOODBYE_TIMEOUT: Duration = Duration::from_millis(50);

/// Reason for which a link ends, and the marks of frames that the session did not accept.
struct LinkEnd {
    why: String,
    unsent: Vec<u64>,
}

/// Runs a session over a stream until the link ends. Commands and events pass through bounded
/// channels; `wrap` converts an event to the item type of the event channel. While the event
/// channel is full, the link neither reads nor grants the peer more credit.
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
                Err(error) => session.stream_ended(&format!("the connection failed: {error}")),
            },
            written = writer.write(session.pending_output()), if has_output => match written {
                Ok(count) => session.record_written(count),
                Err(error) => session.stream_ended(&format!("the connection failed: {error}")),
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

/// Sends the session's events to the channel. Breaks with the reason if the session is closed or
/// the receiver of the events was dropped.
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
            return ControlFlow::Break("the receiver of the link's events was dropped".into());
        }
    }
    ControlFlow::Continue(())
}

/// Handles a command and those that wait in the channel behind it. `first` is `None` once all
/// senders of commands were dropped. Breaks if the session is closed or its queue is full.
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
                    // The session did not accept the frame, so its mark counts as unsent. The link
                    // is closed because the peer does not read.
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

/// Shuts the stream down and collects the marks of all frames of which no byte was written to it.
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
    // Tries once to write the goodbye, but only if no marked frame is unsent: writing now could
    // send part of a frame that is reported as unsent.
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
