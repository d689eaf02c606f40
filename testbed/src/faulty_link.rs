//! A faulty link: it carries bytes between a socket and a simulated peer's conversation, and holds back, cuts
//! or loses them on command. What comes and goes is shown to the checker frame by frame, twice each way: while
//! bytes are held back, a frame is on the socket at one time and with the peer at another.
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::{Body, Hello, Role};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;

/// Faults may change at any time: a look every few milliseconds is often enough, and a rarer one while
/// nothing is wrong.
const CHECK_EVERY: Duration = Duration::from_millis(5);
const IDLE_CHECK_EVERY: Duration = Duration::from_millis(50);
/// What is read so soon after a time without reads, in microseconds, may have been sent long before.
const LATE_US: i64 = 500_000;
/// Bytes of one read.
const READ_SIZE: usize = 32 * 1024;

/// What is wrong with the links of one simulated peer. Times are the clock's, in microseconds; 0: nothing.
#[derive(Debug, Default)]
pub struct FaultInjection {
    /// Until then bytes of both directions are held back; then they come all at once.
    pub hold_until_us: Cell<i64>,
    /// Only links to planners in this set are held, where it is not empty; see [`planner_bit`].
    pub hold_planners: Cell<u64>,
    /// Until then no heartbeats are written.
    pub no_heartbeats_until_us: Cell<i64>,
    /// Until then nothing is read from the socket.
    pub no_reads_until_us: Cell<i64>,
    /// Connections numbered up to this one neither read nor write any more, and stay open.
    pub dead_connections: Cell<u64>,
    /// So many frames more are written; the next is cut in the middle, and the connection with it.
    pub cut_after_frames: Cell<Option<u32>>,
    /// A count that ends all connections when it goes up.
    resets: Cell<u64>,
}

impl FaultInjection {
    /// Ends all connections.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
    }
}

/// Something seen on a link.
pub enum LinkObservation<'a> {
    /// Read from the socket: the planner or client at the far end has sent it.
    SocketRead {
        /// The frame.
        body: &'a Body,
        /// Nothing had been read there for a while.
        late: bool,
    },
    /// Handed to the simulated peer, which knows of it from now on.
    Received {
        /// The frame.
        body: &'a Body,
    },
    /// The simulated peer has sent it.
    Sent {
        /// The frame.
        body: &'a Body,
    },
    /// Written to the socket: the far end can know of it from now on.
    SocketWritten {
        /// The frame.
        body: &'a Body,
    },
    /// The connection has ended.
    Closed,
}

/// A planner as a bit of a set, by the number in its name.
pub fn planner_bit(name: &str) -> u64 {
    let number: String = name.chars().filter(char::is_ascii_digit).collect();
    1 << (number.parse::<u64>().unwrap_or(0) % 64)
}

/// Carries bytes until either end is gone. `connection` is its number among those of the peer. `show` is
/// called with the hello of the far end, once it is known.
pub async fn carry(
    mut socket: TcpStream,
    mut inner: DuplexStream,
    connection: u64,
    faults: Rc<FaultInjection>,
    clock: Clock,
    show: impl Fn(&Hello, LinkObservation),
) {
    let resets = faults.resets.get();
    let mut link = Link {
        connection,
        faults,
        clock,
        show,
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

/// What is on its way in one direction.
#[derive(Default)]
struct Direction {
    decoder: FrameDecoder,
    bytes: Vec<u8>,
    /// The whole frames among those bytes.
    frames: Vec<Body>,
}

/// What is wrong with a link now.
struct LinkState {
    now: i64,
    /// It neither reads nor writes any more.
    dead: bool,
    held: bool,
    no_reads: bool,
}

struct Link<S> {
    connection: u64,
    faults: Rc<FaultInjection>,
    clock: Clock,
    show: S,
    hello: Option<Hello>,
    incoming: Direction,
    outgoing: Direction,
    /// When nothing was read last, though it might have been; 0: never.
    no_reads_at: i64,
}

impl<S: Fn(&Hello, LinkObservation)> Link<S> {
    fn state(&mut self) -> LinkState {
        let (now, faults) = (self.clock.now(), &self.faults);
        let dead = self.connection <= faults.dead_connections.get();
        let planner = self.hello.as_ref().filter(|hello| hello.role == Role::Planner as i32);
        let bit = planner.map_or(0, |hello| planner_bit(&hello.name));
        let concerned = faults.hold_planners.get() == 0 || faults.hold_planners.get() & bit != 0;
        let held = dead || (now < faults.hold_until_us.get() && concerned);
        let no_reads = now < faults.no_reads_until_us.get();
        if no_reads {
            self.no_reads_at = now;
        }
        LinkState { now, dead, held, no_reads }
    }

    /// Hands over what is on its way.
    async fn flush(&mut self, socket: &mut TcpStream, inner: &mut DuplexStream) -> std::io::Result<()> {
        if !self.incoming.bytes.is_empty() {
            inner.write_all(&std::mem::take(&mut self.incoming.bytes)).await?;
        }
        let received = std::mem::take(&mut self.incoming.frames);
        received.iter().for_each(|body| self.show(LinkObservation::Received { body }));
        if !self.outgoing.bytes.is_empty() {
            socket.write_all(&std::mem::take(&mut self.outgoing.bytes)).await?;
        }
        let written = std::mem::take(&mut self.outgoing.frames);
        written.iter().for_each(|body| self.show(LinkObservation::SocketWritten { body }));
        Ok(())
    }

    fn show(&self, observation: LinkObservation) {
        if let Some(hello) = &self.hello {
            (self.show)(hello, observation);
        }
    }

    fn read_socket(&mut self, bytes: &[u8]) {
        self.incoming.decoder.push_bytes(bytes);
        self.incoming.bytes.extend_from_slice(bytes);
        while let Some((_, body)) = self.incoming.decoder.next_frame() {
            let Some(body) = body else { continue };
            if let Body::Hello(hello) = &body {
                self.hello = Some(hello.clone());
            }
            let late = self.no_reads_at > 0 && self.clock.now() < self.no_reads_at + LATE_US;
            self.show(LinkObservation::SocketRead { body: &body, late });
            self.incoming.frames.push(body);
        }
    }

    /// Takes in what the simulated peer sends. Where the link is cut, the bytes that still get through.
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
                self.show(LinkObservation::Sent { body: &body });
                self.outgoing.frames.push(body);
            }
        }
        None
    }

    /// What was read before the end still comes in, however late: the receiver must cope with it.
    async fn close(&mut self, inner: &mut DuplexStream) {
        self.show(LinkObservation::Closed);
        if inner.write_all(&self.incoming.bytes).await.is_ok() {
            self.incoming.frames.iter().for_each(|body| self.show(LinkObservation::Received { body }));
        }
    }
}
