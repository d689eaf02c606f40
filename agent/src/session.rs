//! One session of the agent protocol, without I/O: clock and bytes in, events and bytes out. The same state
//! machine serves all roles. It says hello, keeps heartbeats and credits, judges silence, refuses what is no
//! frame, and knows of each frame that its caller marked whether a byte of it was handed to the stream: only
//! what was not is proved never to have been received. Times are whole microseconds.
use crate::link_health::{HealthMonitor, LinkHealth};
use crate::traffic::{FrameKind, Traffic};
use crate::wire::{Body, Credit, Frame, Goodbye, Heartbeat, Hello, Role};
use crate::{MAX_FRAME_BYTES, PROTOCOL_VERSION};
use bytes::{Buf, BytesMut};
use prost::Message;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// The usual period of heartbeats, which older builds go by.
pub const DEFAULT_HEARTBEAT_US: i64 = 250_000;
/// Periods that are accepted; a side that says another one is refused.
pub const HEARTBEAT_RANGE_US: std::ops::RangeInclusive<i64> = 10_000..=60_000_000;
/// A hello must come within this time.
pub const HELLO_TIMEOUT_US: i64 = 2_000_000;
/// Bytes of frames that a side takes before it grants more.
pub const CREDIT_WINDOW_BYTES: u64 = 1 << 20;
/// Bytes of frames that wait for a peer without credit, at most.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Credit that a peer may grant, at most, in bytes.
const MAX_CREDIT_BYTES: u64 = 16 * CREDIT_WINDOW_BYTES;
/// Bytes of a name or login in a hello, at most.
const MAX_NAME_BYTES: usize = 200;
/// Bytes of the length before each frame.
const LENGTH_BYTES: u64 = 4;

/// What a side says of itself in its hello.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerIdentity {
    /// What it is.
    pub role: Role,
    /// Its name.
    pub name: String,
    /// Fences its older incarnations.
    pub epoch: u64,
    /// The number of this link, higher for a later one of the same epoch.
    pub link: u64,
    /// Clients and operators: on whose behalf they ask.
    pub login: String,
}

/// What all links of a process have in common.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// The period of their heartbeats, in microseconds within `HEARTBEAT_RANGE_US`; a peer may say a longer one.
    pub heartbeat_us: i64,
    /// Where they count what they carry.
    pub traffic: Rc<Traffic>,
}

impl Default for LinkConfig {
    fn default() -> Self {
        LinkConfig { heartbeat_us: DEFAULT_HEARTBEAT_US, traffic: Rc::default() }
    }
}

/// What a session reports to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// The peer said hello.
    Up(PeerIdentity),
    /// A frame came.
    Frame(Body),
    /// The health of the link changed.
    Health(LinkHealth),
    /// It is over; the text says why, in words for an operator.
    Closed(String),
}

/// The peer takes nothing and the queue for it is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer takes nothing in and {MAX_QUEUED_BYTES} bytes wait for it")]
pub struct SendBufferFull;

/// One side of a session.
pub struct Session {
    identity: PeerIdentity,
    config: LinkConfig,
    peer: Option<PeerIdentity>,
    codec: LengthDelimitedCodec,
    input: BytesMut,
    output: BytesMut,
    /// Events, each with the bytes of the frame that it carries.
    events: VecDeque<(SessionEvent, u64)>,
    health: HealthMonitor,
    reported_health: LinkHealth,
    opened_us: i64,
    /// The period that both sides go by.
    heartbeat_us: i64,
    next_heartbeat_us: i64,
    /// The peer is an older build: heartbeats have numbers.
    numbered_heartbeats: bool,
    sent_seq: u64,
    received_seq: u64,
    /// Bytes that may still be sent.
    send_credit: u64,
    /// Bytes taken in that were not granted anew.
    consumed: u64,
    /// Bytes that the peer may still send.
    receive_credit: u64,
    /// Frames that wait for credit, with their marks.
    queued: VecDeque<(Frame, Option<u64>)>,
    queued_bytes: usize,
    /// Bytes ever put into the output.
    encoded_bytes: u64,
    /// Bytes ever handed to the stream.
    written_bytes: u64,
    /// Marks of frames, by the byte at which each begins.
    marks: VecDeque<(u64, u64)>,
    /// Frames in the output, with the bytes of each that are not written yet.
    unwritten: VecDeque<(FrameKind, u64)>,
    closed: bool,
}

impl Session {
    /// A session whose bytes are counted for itself alone.
    pub fn new(identity: PeerIdentity, now: i64) -> Self {
        Session::with_config(LinkConfig::default(), identity, now)
    }

    /// The session of one of the links of a process.
    pub fn with_config(config: LinkConfig, identity: PeerIdentity, now: i64) -> Self {
        let mut session = Session {
            codec: LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec(),
            peer: None,
            input: BytesMut::new(),
            output: BytesMut::new(),
            events: VecDeque::new(),
            health: HealthMonitor::new(now, DEFAULT_HEARTBEAT_US),
            reported_health: LinkHealth::Healthy,
            opened_us: now,
            heartbeat_us: DEFAULT_HEARTBEAT_US,
            next_heartbeat_us: now,
            numbered_heartbeats: true,
            sent_seq: 0,
            received_seq: 0,
            send_credit: 0,
            consumed: 0,
            receive_credit: CREDIT_WINDOW_BYTES,
            queued: VecDeque::new(),
            queued_bytes: 0,
            encoded_bytes: 0,
            written_bytes: 0,
            marks: VecDeque::new(),
            unwritten: VecDeque::new(),
            closed: false,
            config,
            identity,
        };
        let me = &session.identity;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: me.role as i32,
            name: me.name.clone(),
            epoch: me.epoch,
            link: me.link,
            credit: CREDIT_WINDOW_BYTES,
            login: me.login.clone(),
            heartbeat_us: session.config.heartbeat_us,
        };
        session.encode(&Body::Hello(hello).into(), None);
        session
    }

    /// Bytes that came from the stream. What is no frame of this protocol ends the session.
    pub fn receive(&mut self, now: i64, bytes: &[u8]) {
        self.config.traffic.record_read(bytes.len() as u64);
        if self.closed {
            return;
        }
        self.input.extend_from_slice(bytes);
        while !self.closed {
            match self.codec.decode(&mut self.input) {
                Ok(Some(frame)) => match Frame::decode(&frame[..]) {
                    Ok(Frame { body: Some(body) }) => {
                        let size = frame.len() as u64;
                        self.config
                            .traffic
                            .record_frame_read(FrameKind::from_body(&body), LENGTH_BYTES + size);
                        self.on_frame(now, body, size);
                    }
                    Ok(_) => self.refuse(
                        "a frame of a kind that version 1 does not know; expected one of agent.proto",
                    ),
                    Err(error) => self.refuse(&format!(
                        "{} bytes that are no frame ({error}); expected one of agent.proto",
                        frame.len()
                    )),
                },
                Ok(None) => return,
                Err(_) => self.refuse(&format!(
                    "a frame of over {MAX_FRAME_BYTES} bytes was announced; expected fewer"
                )),
            }
        }
    }

    fn on_frame(&mut self, now: i64, body: Body, size: u64) {
        self.health.record_frame(now, matches!(body, Body::Heartbeat(_)));
        match (body, self.peer.is_some()) {
            (Body::Hello(hello), false) => self.on_hello(now, hello),
            (Body::Hello(_), true) => self.refuse("a second hello; expected one a connection"),
            (Body::Goodbye(bye), _) => self.close(format!("the peer said goodbye: {}", bye.reason)),
            (_, false) => self.refuse("a frame before the hello; expected a hello first"),
            (Body::Heartbeat(beat), _) if beat.seq == 0 && !self.numbered_heartbeats => {}
            (Body::Heartbeat(beat), _) if beat.seq <= self.received_seq => {
                self.refuse(&format!(
                    "heartbeat {} after {}; expected a higher number",
                    beat.seq, self.received_seq
                ));
            }
            (Body::Heartbeat(beat), _) => self.received_seq = beat.seq,
            (Body::Credit(credit), _) => {
                self.send_credit = self.send_credit.saturating_add(credit.bytes).min(MAX_CREDIT_BYTES);
                self.send_queued();
            }
            (body, _) => {
                if size > self.receive_credit {
                    return self.refuse(&format!(
                        "a frame of {size} bytes where {} were granted",
                        self.receive_credit
                    ));
                }
                self.receive_credit -= size;
                self.events.push_back((SessionEvent::Frame(body), size));
            }
        }
    }

    fn on_hello(&mut self, now: i64, hello: Hello) {
        let role = Role::try_from(hello.role).unwrap_or(Role::Unknown);
        if hello.version != PROTOCOL_VERSION {
            return self.refuse(&format!("hello: version {}; expected {PROTOCOL_VERSION}", hello.version));
        }
        if role == Role::Unknown || hello.name.is_empty() || hello.name.len() > MAX_NAME_BYTES {
            return self.refuse("hello: no role or no name of 1 to 200 bytes; expected both");
        }
        if hello.login.len() > MAX_NAME_BYTES {
            return self
                .refuse(&format!("hello: login of {} bytes; expected 200 at most", hello.login.len()));
        }
        if hello.heartbeat_us != 0 {
            if !HEARTBEAT_RANGE_US.contains(&hello.heartbeat_us) {
                let (found, least, most) =
                    (hello.heartbeat_us, HEARTBEAT_RANGE_US.start(), HEARTBEAT_RANGE_US.end());
                return self
                    .refuse(&format!("hello: heartbeat_us of {found}; expected {least} to {most}, or none"));
            }
            // The longer one: an older build aside, both sides come to the same.
            (self.heartbeat_us, self.numbered_heartbeats) =
                (self.config.heartbeat_us.max(hello.heartbeat_us), false);
            self.health = HealthMonitor::new(now, self.heartbeat_us);
        }
        self.send_credit = hello.credit.min(MAX_CREDIT_BYTES);
        let peer =
            PeerIdentity { role, name: hello.name, epoch: hello.epoch, link: hello.link, login: hello.login };
        self.peer = Some(peer.clone());
        self.events.push_back((SessionEvent::Up(peer), 0));
        self.send_queued();
    }

    /// Sends a frame, or keeps it until the peer takes more. A `mark` lets `unsent_marks` name it later.
    ///
    /// # Errors
    /// When the session is closed, or too much waits for the peer already.
    pub fn send(&mut self, body: Body, mark: Option<u64>) -> Result<(), SendBufferFull> {
        if self.closed {
            return Err(SendBufferFull);
        }
        let frame = Frame::from(body);
        let size = frame.encoded_len();
        if self.queued.is_empty() && self.peer.is_some() && size as u64 <= self.send_credit {
            self.send_credit -= size as u64;
            self.encode(&frame, mark);
        } else if self.queued_bytes + size > MAX_QUEUED_BYTES {
            return Err(SendBufferFull);
        } else {
            self.queued_bytes += size;
            self.queued.push_back((frame, mark));
        }
        Ok(())
    }

    fn send_queued(&mut self) {
        while let Some((frame, mark)) = self.queued.front() {
            let size = frame.encoded_len();
            if self.peer.is_none() || size as u64 > self.send_credit {
                return;
            }
            self.send_credit -= size as u64;
            self.queued_bytes -= size;
            let (frame, mark) = (frame.clone(), *mark);
            self.queued.pop_front();
            self.encode(&frame, mark);
        }
    }

    fn encode(&mut self, frame: &Frame, mark: Option<u64>) {
        let Some(body) = &frame.body else { return };
        if let Some(mark) = mark {
            self.marks.push_back((self.encoded_bytes, mark));
        }
        let size = frame.encoded_len();
        self.output.extend_from_slice(&(size as u32).to_be_bytes());
        self.output.reserve(size);
        frame.encode(&mut self.output).expect("a buffer that grows");
        let size = size as u64 + LENGTH_BYTES;
        self.encoded_bytes += size;
        self.unwritten.push_back((FrameKind::from_body(body), size));
    }

    /// The next event. A frame counts as taken in here, so that a caller who takes no events grants nothing.
    pub fn next_event(&mut self) -> Option<SessionEvent> {
        let (event, size) = self.events.pop_front()?;
        self.consumed += size;
        if self.consumed >= CREDIT_WINDOW_BYTES / 4 && !self.closed {
            self.receive_credit += self.consumed;
            let credit = Credit { bytes: std::mem::take(&mut self.consumed) };
            self.encode(&Body::Credit(credit).into(), None);
        }
        Some(event)
    }

    /// Bytes to be written to the stream; `record_written` takes away those that were.
    pub fn pending_output(&self) -> &[u8] {
        &self.output
    }

    /// So many bytes of the output were handed to the stream.
    pub fn record_written(&mut self, bytes: usize) {
        self.output.advance(bytes);
        self.written_bytes += bytes as u64;
        let mut bytes = bytes as u64;
        while let Some((kind, left)) = self.unwritten.front_mut().filter(|_| bytes > 0) {
            let part = bytes.min(*left);
            (bytes, *left) = (bytes - part, *left - part);
            let complete = *left == 0;
            self.config.traffic.record_written(*kind, part, complete);
            if complete {
                self.unwritten.pop_front();
            }
        }
        while self.marks.front().is_some_and(|&(at, _)| at < self.written_bytes) {
            self.marks.pop_front();
        }
    }

    /// Lets time pass: heartbeats go out, silence is judged.
    pub fn tick(&mut self, now: i64) {
        if self.closed {
            return;
        }
        if self.peer.is_none() {
            if now >= self.opened_us + HELLO_TIMEOUT_US {
                self.refuse("no hello came in time");
            }
            return;
        }
        if now >= self.next_heartbeat_us {
            self.sent_seq += u64::from(self.numbered_heartbeats);
            let heartbeat = Heartbeat { seq: self.sent_seq, seen: self.received_seq };
            self.encode(&Body::Heartbeat(heartbeat).into(), None);
            // By the clock, not after the last one; heartbeats that were missed are not made up. Also where
            // another frame went out a moment ago: only heartbeats tell how regular the link is.
            self.next_heartbeat_us =
                (self.next_heartbeat_us + self.heartbeat_us).max(now + self.heartbeat_us / 2);
        }
        let state = self.health.judge(now);
        if state == LinkHealth::Lost {
            self.close(format!("nothing heard for {} ms", self.health.lost_after_us() / 1000));
        } else if state != self.reported_health {
            self.reported_health = state;
            self.events.push_back((SessionEvent::Health(state), 0));
        }
    }

    /// The time at which `tick` has something to do.
    pub fn next_tick_at(&self) -> i64 {
        match self.peer {
            None => self.opened_us + HELLO_TIMEOUT_US,
            Some(_) => self.next_heartbeat_us.min(self.health.next_at()),
        }
    }

    /// Ends the session from this side, with a goodbye that names the reason.
    pub fn goodbye(&mut self, reason: &str) {
        if !self.closed {
            self.encode(&Body::Goodbye(Goodbye { reason: reason.to_owned() }).into(), None);
            self.close(reason.to_owned());
        }
    }

    fn refuse(&mut self, what: &str) {
        let peer = self.peer.as_ref().map_or("a peer without hello", |known| known.name.as_str());
        self.goodbye(&format!("{peer}: {what}"));
    }

    /// The stream ended, for this reason.
    pub fn stream_ended(&mut self, why: &str) {
        self.close(why.to_owned());
    }

    fn close(&mut self, why: String) {
        if !self.closed {
            self.closed = true;
            self.events.push_back((SessionEvent::Closed(why), 0));
        }
    }

    /// Whether the session is over.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Marks of frames of which no byte was handed to the stream.
    pub fn unsent_marks(&self) -> Vec<u64> {
        let encoded = self.marks.iter().filter(|(at, _)| *at >= self.written_bytes).map(|&(_, mark)| mark);
        encoded.chain(self.queued.iter().filter_map(|(_, mark)| *mark)).collect()
    }
}
