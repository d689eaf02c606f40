//! State machine of one side of a connection of the agent protocol, the same for all roles. Does no
//! I/O: its inputs are the time and the bytes received, its outputs are events and the bytes to
//! send. Times are whole microseconds.
//!
//! A session sends the hello and the heartbeats, keeps the credits of both directions, detects the
//! failure of the link and closes the connection on invalid frames. For each frame that its caller
//! marked it tracks whether any byte was written to the stream: only a frame of which no byte was
//! written is certain not to have been received.
use crate::link_health::{HealthMonitor, LinkHealth};
use crate::traffic::{FrameKind, Traffic};
use crate::wire::{Body, Credit, Frame, Goodbye, Heartbeat, Hello, Role};
use crate::{MAX_FRAME_BYTES, PROTOCOL_VERSION};
use bytes::{Buf, BytesMut};
use prost::Message;
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use tokio_util::codec::{Decoder, LengthDelimitedCodec};

/// Default heartbeat period, and the period of older builds, whose hello carries none.
pub const DEFAULT_HEARTBEAT_US: i64 = 250_000;
/// Range of heartbeat periods; a hello with another period is rejected.
pub const HEARTBEAT_RANGE_US: std::ops::RangeInclusive<i64> = 10_000..=60_000_000;
/// Time from the start of the session within which the peer's hello must be received.
pub const HELLO_TIMEOUT_US: i64 = 2_000_000;
/// Receive window: bytes of frames that a side may send before it is granted more credit.
pub const CREDIT_WINDOW_BYTES: u64 = 1 << 20;
/// Maximum bytes of frames queued for a peer that has granted too little credit.
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Maximum credit of a peer in bytes; what is granted beyond it is ignored.
const MAX_CREDIT_BYTES: u64 = 16 * CREDIT_WINDOW_BYTES;
/// Maximum bytes of a frame from a peer that has not sent its hello.
const MAX_HELLO_BYTES: usize = 4096;
/// Maximum bytes of the incomplete frames of all links of a process together. Beyond it, a link with a
/// large one is closed.
const MAX_INCOMPLETE_BYTES: usize = 16 << 20;
/// Bytes of an incomplete frame from which on it counts as large.
const LARGE_INCOMPLETE_BYTES: usize = 64 << 10;
/// Maximum bytes of a name or login in a hello.
const MAX_NAME_BYTES: usize = 200;
/// Bytes of the length prefix of a frame.
const LENGTH_BYTES: u64 = 4;

/// Identity of one side of a session, as sent in its hello.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerIdentity {
    /// Role of the process in the protocol.
    pub role: Role,
    /// Name of the process, such as the machine's or the planner's.
    pub name: String,
    /// Incarnation of a planner, or start time of a machine; a higher one fences off older links.
    pub epoch: u64,
    /// Number of this link; a later link of the same epoch has a higher one.
    pub link: u64,
    /// Clients and operators: login of the person on whose behalf the requests are made.
    pub login: String,
}

/// Configuration shared by all links of a process.
#[derive(Clone, Debug)]
pub struct LinkConfig {
    /// Heartbeat period in microseconds, within `HEARTBEAT_RANGE_US`. If the peer's period is
    /// longer, both sides use that.
    pub heartbeat_us: i64,
    /// Traffic counters to which the links add.
    pub traffic: Rc<Traffic>,
    /// Bytes of incomplete frames that the links hold.
    pub incomplete_bytes: Rc<Cell<usize>>,
}

impl Default for LinkConfig {
    fn default() -> Self {
        LinkConfig {
            heartbeat_us: DEFAULT_HEARTBEAT_US,
            traffic: Rc::default(),
            incomplete_bytes: Rc::default(),
        }
    }
}

/// Event that a session reports to its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    /// The peer's valid hello was received.
    Up(PeerIdentity),
    /// A frame other than those that the session handles itself was received.
    Frame(Body),
    /// The health of the link changed.
    Health(LinkHealth),
    /// The session is closed; the text gives the reason for operators.
    Closed(String),
}

/// A frame was not queued: the peer grants no credit and its queue is full, or the session is
/// closed.
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
    /// Bytes of `input` that are counted in the configuration's `incomplete_bytes`.
    counted_input: usize,
    output: BytesMut,
    /// Events not yet taken by the caller, each with the size of its frame in bytes, or 0.
    events: VecDeque<(SessionEvent, u64)>,
    health: HealthMonitor,
    /// State of the link that the last `Health` event reported.
    reported_health: LinkHealth,
    opened_us: i64,
    /// Heartbeat period of both sides, as negotiated in the hellos.
    heartbeat_us: i64,
    next_heartbeat_us: i64,
    /// Whether heartbeats carry sequence numbers, as an older build expects.
    numbered_heartbeats: bool,
    /// Sequence number of the last heartbeat sent.
    sent_seq: u64,
    /// Highest sequence number of a heartbeat received.
    received_seq: u64,
    /// Bytes of frames that the peer has granted and that are not sent yet.
    send_credit: u64,
    /// Bytes of frames that the caller took and for which no new credit was granted yet.
    consumed: u64,
    /// Bytes of frames that the peer may still send.
    receive_credit: u64,
    /// Frames that wait for credit, with their marks.
    queued: VecDeque<(Frame, Option<u64>)>,
    /// Size of the frames in `queued`.
    queued_bytes: usize,
    /// Bytes appended to the output since the start of the session.
    encoded_bytes: u64,
    /// Bytes written to the stream since the start of the session.
    written_bytes: u64,
    /// Marked frames of which no byte is written yet: the position of the first byte in the output
    /// since the start, and the mark.
    marks: VecDeque<(u64, u64)>,
    /// Frames in the output, with the number of bytes of each that are not written yet.
    unwritten: VecDeque<(FrameKind, u64)>,
    closed: bool,
}

impl Session {
    /// Returns a session with the default configuration and traffic counters of its own.
    pub fn new(identity: PeerIdentity, now: i64) -> Self {
        Session::with_config(LinkConfig::default(), identity, now)
    }

    /// Returns the session of one of the links of a process, with its hello in the output.
    pub fn with_config(config: LinkConfig, identity: PeerIdentity, now: i64) -> Self {
        let mut session = Session {
            codec: LengthDelimitedCodec::builder().max_frame_length(MAX_HELLO_BYTES).new_codec(),
            peer: None,
            input: BytesMut::new(),
            counted_input: 0,
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
        let identity = &session.identity;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: identity.role as i32,
            name: identity.name.clone(),
            epoch: identity.epoch,
            link: identity.link,
            credit: CREDIT_WINDOW_BYTES,
            login: identity.login.clone(),
            heartbeat_us: session.config.heartbeat_us,
        };
        session.encode(&Body::Hello(hello).into(), None);
        session
    }

    /// Handles bytes received from the stream. Closes the session on bytes that are not a valid
    /// frame.
    pub fn receive(&mut self, now: i64, bytes: &[u8]) {
        self.config.traffic.record_read(bytes.len() as u64);
        if self.closed {
            return;
        }
        self.input.extend_from_slice(bytes);
        self.decode_frames(now);
        self.count_incomplete(self.input.len());
        let total = self.config.incomplete_bytes.get();
        if total > MAX_INCOMPLETE_BYTES && self.input.len() >= LARGE_INCOMPLETE_BYTES {
            self.refuse(&format!(
                "{} bytes of an incomplete frame while all peers' take {total}; expected {MAX_INCOMPLETE_BYTES} at most",
                self.input.len()
            ));
        }
    }

    /// Handles the complete frames of the input.
    fn decode_frames(&mut self, now: i64) {
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
                    "a frame of over {} bytes was announced; expected fewer",
                    self.codec.max_frame_length()
                )),
            }
        }
    }

    /// Counts this many bytes of an incomplete frame for this session.
    fn count_incomplete(&mut self, bytes: usize) {
        let others = self.config.incomplete_bytes.get() - self.counted_input;
        self.config.incomplete_bytes.set(others + bytes);
        self.counted_input = bytes;
    }

    fn on_frame(&mut self, now: i64, body: Body, size: u64) {
        self.health.record_frame(now, matches!(body, Body::Heartbeat(_)));
        match (body, self.peer.is_some()) {
            (Body::Hello(hello), false) => self.on_hello(now, hello),
            (Body::Hello(_), true) => self.refuse("a second hello; expected one a connection"),
            (Body::Goodbye(goodbye), _) => self.close(format!("the peer said goodbye: {}", goodbye.reason)),
            (_, false) => self.refuse("a frame before the hello; expected a hello first"),
            (Body::Heartbeat(heartbeat), _) if heartbeat.seq == 0 && !self.numbered_heartbeats => {}
            (Body::Heartbeat(heartbeat), _) if heartbeat.seq <= self.received_seq => {
                self.refuse(&format!(
                    "heartbeat {} after {}; expected a higher number",
                    heartbeat.seq, self.received_seq
                ));
            }
            (Body::Heartbeat(heartbeat), _) => self.received_seq = heartbeat.seq,
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
            // Both sides take the longer period and so agree on one. Only an older build, which
            // sends none, is left at the default.
            (self.heartbeat_us, self.numbered_heartbeats) =
                (self.config.heartbeat_us.max(hello.heartbeat_us), false);
            self.health = HealthMonitor::new(now, self.heartbeat_us);
        }
        self.send_credit = hello.credit.min(MAX_CREDIT_BYTES);
        let peer =
            PeerIdentity { role, name: hello.name, epoch: hello.epoch, link: hello.link, login: hello.login };
        self.peer = Some(peer.clone());
        self.codec.set_max_frame_length(MAX_FRAME_BYTES);
        self.events.push_back((SessionEvent::Up(peer), 0));
        self.send_queued();
    }

    /// Sends a frame, or queues it until the peer grants enough credit. `unsent_marks` reports the
    /// `mark` while no byte of the frame is written.
    ///
    /// # Errors
    /// If the session is closed, or the frame would take the queue over `MAX_QUEUED_BYTES`.
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
        frame.encode(&mut self.output).expect("a growable buffer can hold any frame");
        let size = size as u64 + LENGTH_BYTES;
        self.encoded_bytes += size;
        self.unwritten.push_back((FrameKind::from_body(body), size));
    }

    /// Returns the next event. The credit of a frame is granted anew only after the frame was taken
    /// here, so that a caller that falls behind stops the peer from sending.
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

    /// Returns the bytes to write to the stream. `record_written` removes those that were written.
    pub fn pending_output(&self) -> &[u8] {
        &self.output
    }

    /// Records that this number of bytes at the start of the output was written to the stream.
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

    /// Does what is due at the time `now`: closes the session if the hello is missing or the link
    /// is lost, sends a heartbeat and reports a change of the link's health.
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
            // Heartbeats keep a fixed schedule, whenever the last one went out, and missed ones are
            // not sent later. They are sent even right after another frame, because the peer
            // estimates the gaps of the link from heartbeats alone.
            self.next_heartbeat_us =
                (self.next_heartbeat_us + self.heartbeat_us).max(now + self.heartbeat_us / 2);
        }
        let state = self.health.update_state(now);
        if state == LinkHealth::Lost {
            self.close(format!("no frame received for {} ms", self.health.lost_after_us() / 1000));
        } else if state != self.reported_health {
            self.reported_health = state;
            self.events.push_back((SessionEvent::Health(state), 0));
        }
    }

    /// Returns the time at which `tick` must be called next.
    pub fn next_tick_at(&self) -> i64 {
        match self.peer {
            None => self.opened_us + HELLO_TIMEOUT_US,
            Some(_) => self.next_heartbeat_us.min(self.health.next_change_at()),
        }
    }

    /// Closes the session from this side and sends a goodbye with the reason.
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

    /// Closes the session because its stream ended or failed, without a goodbye.
    pub fn stream_ended(&mut self, why: &str) {
        self.close(why.to_owned());
    }

    fn close(&mut self, why: String) {
        if !self.closed {
            self.closed = true;
            self.input = BytesMut::new();
            self.count_incomplete(0);
            self.events.push_back((SessionEvent::Closed(why), 0));
        }
    }

    /// Returns whether the session is closed.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the marks of the frames of which no byte was written to the stream.
    pub fn unsent_marks(&self) -> Vec<u64> {
        let encoded = self.marks.iter().filter(|(at, _)| *at >= self.written_bytes).map(|&(_, mark)| mark);
        encoded.chain(self.queued.iter().filter_map(|(_, mark)| *mark)).collect()
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        self.count_incomplete(0);
    }
}
