//! Fault injection on the link of a simulated peer: forwards bytes between a socket and the peer's
//! session, and delays, cuts or loses them as configured. Every frame is reported to an observer
//! twice per direction, because under a delay the frame passes the socket and reaches or leaves the
//! peer at different times.
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::{Body, Hello, Role};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;

/// Interval at which changed faults are noticed while traffic is held back or not read.
const CHECK_EVERY: Duration = Duration::from_millis(5);
/// Interval at which changed faults are noticed while no fault is active.
const IDLE_CHECK_EVERY: Duration = Duration::from_millis(50);
/// A frame that is read within this time after a pause in reading, in microseconds, may have been
/// sent long before, and is reported as late.
const LATE_US: i64 = 500_000;
/// Size of the read buffers, in bytes.
const READ_SIZE: usize = 32 * 1024;

/// Active faults of the links of one simulated peer. Times are the testbed clock's, in
/// microseconds; 0: no fault.
#[derive(Debug, Default)]
pub struct FaultInjection {
    /// Until this time the bytes of both directions are held back; they are delivered all at once
    /// afterwards.
    pub hold_until_us: Cell<i64>,
    /// Planners whose links are held back, as a set of [`planner_bit`]s; 0: all links.
    pub hold_planners: Cell<u64>,
    /// Until this time no heartbeats are written.
    pub no_heartbeats_until_us: Cell<i64>,
    /// Until this time nothing is read from the socket.
    pub no_reads_until_us: Cell<i64>,
    /// Connections with numbers up to this one stay open without any traffic.
    pub dead_connections: Cell<u64>,
    /// Number of frames that are still written; the next frame is cut in the middle and its
    /// connection closed. `None`: no cut.
    pub cut_after_frames: Cell<Option<u32>>,
    /// A counter; all connections are closed when it increases.
    resets: Cell<u64>,
}

impl FaultInjection {
    /// Closes all connections.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
    }
}

/// An event on a link, as its observer sees it.
pub enum LinkObservation<'a> {
    /// A frame was read from the socket, so the planner or client at the other end has sent it.
    SocketRead {
        /// The frame.
        body: &'a Body,
        /// Whether the frame was read shortly after a pause in reading, and so may have been sent
        /// long before.
        late: bool,
    },
    /// A frame was delivered to the simulated peer.
    Received {
        /// The frame.
        body: &'a Body,
    },
    /// The simulated peer sent a frame, which may not be on the socket yet.
    Sent {
        /// The frame.
        body: &'a Body,
    },
    /// A frame was written to the socket, so the other end may have received it.
    SocketWritten {
        /// The frame.
        body: &'a Body,
    },
    /// The connection was closed.
    Closed,
}

/// Returns a planner's bit in a set of planners, by the number in its name.
pub fn planner_bit(name: &str) -> u64 {
    let number: String = name.chars().filter(char::is_ascii_digit).collect();
    1 << (number.parse::<u64>().unwrap_or(0) % 64)
}

/// Forwards bytes until either end closes. `connection` is the connection's number at the simulated
/// peer, counted from 1. `observe` is called with each event once the other end's hello is known.
pub async fn forward(
    mut socket: TcpStream,
    mut inner: DuplexStream,
    connection: u64,
    faults: Rc<FaultInjection>,
    clock: Clock,
    observe: impl Fn(&Hello, LinkObservation),
) {
    let resets = faults.resets.get();
    let mut link = Link {
        connection,
        faults,
        clock,
        observe,
        hello: None,
        incoming: Direction::default(),
        outgoing: Direction::default(),
        no_reads_at: 0,
    };
    let (mut from_socket, mut from_inner) = (vec![0; READ_SIZE], vec![0; READ_SIZE]);
    while link.faults.resets.get() == resets {
        let state = link.state();
        if !state.held && link.flush(&mut socket, &mut inner).await.is_err() {
            break;
        }
        let changed_soon = tokio::time::sleep(CHECK_EVERY);
        tokio::select! {
            got = socket.read(&mut from_socket), if !state.no_reads => match got {
                Ok(count @ 1..) => link.read_socket(&from_socket[..count]),
                _ => break,
            },
            got = inner.read(&mut from_inner) => {
                let Ok(count @ 1..) = got else { break };
                if let Some(cut) = link.read_inner(&from_inner[..count], &state) {
                    let _ = socket.write_all(&cut).await;
                    break;
                }
            }
            () = changed_soon, if state.held || state.no_reads => {}
            () = tokio::time::sleep(IDLE_CHECK_EVERY) => {}
        }
    }
    link.close(&mut inner).await;
}

/// Traffic of one direction that was not delivered yet.
#[derive(Default)]
struct Direction {
    decoder: FrameDecoder,
    bytes: Vec<u8>,
    /// The whole frames among `bytes`.
    frames: Vec<Body>,
}

/// The faults that are active on a link now.
struct LinkState {
    now: i64,
    /// Whether the connection stays open without any traffic.
    dead: bool,
    /// Whether the bytes of both directions are held back.
    held: bool,
    /// Whether nothing is read from the socket.
    no_reads: bool,
}

/// A link with fault injection.
struct Link<S> {
    connection: u64,
    faults: Rc<FaultInjection>,
    clock: Clock,
    observe: S,
    hello: Option<Hello>,
    incoming: Direction,
    outgoing: Direction,
    /// When reading was last paused, in microseconds; 0: never.
    no_reads_at: i64,
}

impl<S: Fn(&Hello, LinkObservation)> Link<S> {
    /// Returns the faults that are active now.
    fn state(&mut self) -> LinkState {
        let (now, faults) = (self.clock.now(), &self.faults);
        let dead = self.connection <= faults.dead_connections.get();
        let planner = self.hello.as_ref().filter(|hello| hello.role == Role::Planner as i32);
        let bit = planner.map_or(0, |hello| planner_bit(&hello.name));
        let selected = faults.hold_planners.get() == 0 || faults.hold_planners.get() & bit != 0;
        let held = dead || (now < faults.hold_until_us.get() && selected);
        let no_reads = now < faults.no_reads_until_us.get();
        if no_reads {
            self.no_reads_at = now;
        }
        LinkState { now, dead, held, no_reads }
    }

    /// Delivers the held bytes of both directions, and reports their frames.
    async fn flush(&mut self, socket: &mut TcpStream, inner: &mut DuplexStream) -> std::io::Result<()> {
        if !self.incoming.bytes.is_empty() {
            inner.write_all(&std::mem::take(&mut self.incoming.bytes)).await?;
        }
        let received = std::mem::take(&mut self.incoming.frames);
        received.iter().for_each(|body| self.observe(LinkObservation::Received { body }));
        if !self.outgoing.bytes.is_empty() {
            socket.write_all(&std::mem::take(&mut self.outgoing.bytes)).await?;
        }
        let written = std::mem::take(&mut self.outgoing.frames);
        written.iter().for_each(|body| self.observe(LinkObservation::SocketWritten { body }));
        Ok(())
    }

    /// Reports an event, if the other end's hello is known.
    fn observe(&self, observation: LinkObservation) {
        if let Some(hello) = &self.hello {
            (self.observe)(hello, observation);
        }
    }

    /// Takes bytes from the socket.
    fn read_socket(&mut self, bytes: &[u8]) {
        self.incoming.decoder.push_bytes(bytes);
        self.incoming.bytes.extend_from_slice(bytes);
        while let Some((_, body)) = self.incoming.decoder.next_frame() {
            let Some(body) = body else { continue };
            if let Body::Hello(hello) = &body {
                self.hello = Some(hello.clone());
            }
            let late = self.no_reads_at > 0 && self.clock.now() < self.no_reads_at + LATE_US;
            self.observe(LinkObservation::SocketRead { body: &body, late });
            self.incoming.frames.push(body);
        }
    }

    /// Takes bytes that the simulated peer sends. If the link is cut now, returns the part of the
    /// cut frame that is still written.
    fn read_inner(&mut self, bytes: &[u8], state: &LinkState) -> Option<Vec<u8>> {
        self.outgoing.decoder.push_bytes(bytes);
        while let Some((bytes, body)) = self.outgoing.decoder.next_frame() {
            let heartbeat = matches!(body, Some(Body::Heartbeat(_)));
            if heartbeat && state.now < self.faults.no_heartbeats_until_us.get() {
                continue;
            }
            if let Some(left) = self.faults.cut_after_frames.get() {
                self.faults.cut_after_frames.set(left.checked_sub(1));
                if left == 0 {
                    return Some(bytes[..bytes.len() / 2].to_vec());
                }
            }
            self.outgoing.bytes.extend_from_slice(&bytes);
            if let (true, Some(body), false) = (self.hello.is_some(), body, state.dead) {
                self.observe(LinkObservation::Sent { body: &body });
                self.outgoing.frames.push(body);
            }
        }
        None
    }

    /// Delivers what was read before the close, however late: peers must handle frames that arrive
    /// late.
    async fn close(&mut self, inner: &mut DuplexStream) {
        self.observe(LinkObservation::Closed);
        if inner.write_all(&self.incoming.bytes).await.is_ok() {
            self.incoming.frames.iter().for_each(|body| self.observe(LinkObservation::Received { body }));
        }
    }
}
