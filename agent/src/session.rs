//! One conversation of the agent protocol, without I/O: clock and bytes in, events and bytes out. The same
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
/// A side that says another period is not talked to.
pub const HEARTBEAT_RANGE_US: std::ops::RangeInclusive<i64> = 10_000..=60_000_000;
/// A hello must come within this time.
pub const HELLO_TIMEOUT_US: i64 = 2_000_000;
/// Bytes of frames that a side takes before it grants more, and that it keeps for a peer without credit.
pub const CREDIT_WINDOW_BYTES: u64 = 1 << 20;
pub const MAX_QUEUED_BYTES: usize = 4 << 20;
/// Bytes of the length before each frame.
const LENGTH: u64 = 4;

/// Who speaks, on either side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PeerIdentity {
    pub role: Role,
    pub name: String,
    pub epoch: u64,
    pub link: u64,
    /// Owners and operators: on whose behalf they ask.
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

/// What a conversation tells its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum SessionEvent {
    Up(PeerIdentity),
    Frame(Body),
    /// The link's silence is judged anew.
    Health(LinkHealth),
    /// It is over; the text says why, in words for an operator.
    Closed(String),
}

/// The peer takes nothing and the line for it is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer takes nothing in and {MAX_QUEUED_BYTES} bytes wait for it")]
pub struct SendBufferFull;

pub struct Session {
    me: PeerIdentity,
    links: LinkConfig,
    peer: Option<PeerIdentity>,
    codec: LengthDelimitedCodec,
    inbox: BytesMut,
    outbox: BytesMut,
    events: VecDeque<(SessionEvent, u64)>,
    health: HealthMonitor,
    told: LinkHealth,
    opened_at: i64,
    /// The period that both sides go by.
    beat: i64,
    beat_at: i64,
    /// The peer is an older build: heartbeats have numbers.
    numbers: bool,
    seq: u64,
    seen: u64,
    /// Bytes that may still be sent, and bytes taken in that were not granted anew.
    credit: u64,
    taken: u64,
    /// Bytes that the peer may still send.
    granted: u64,
    held: VecDeque<(Frame, Option<u64>)>,
    held_bytes: usize,
    /// Bytes ever put out and ever written; marks of frames by the byte at which they begin.
    put: u64,
    written: u64,
    marks: VecDeque<(u64, u64)>,
    /// Frames that are put out, with the bytes of each that are not written yet.
    unwritten: VecDeque<(FrameKind, u64)>,
    closed: bool,
}

impl Session {
    /// A conversation whose bytes are counted for itself alone.
    pub fn new(me: PeerIdentity, now: i64) -> Self {
        Session::with_config(LinkConfig::default(), me, now)
    }

    /// One of the links of a process.
    pub fn with_config(links: LinkConfig, me: PeerIdentity, now: i64) -> Self {
        let mut session = Session {
            codec: LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec(),
            peer: None,
            inbox: BytesMut::new(),
            outbox: BytesMut::new(),
            events: VecDeque::new(),
            health: HealthMonitor::new(now, DEFAULT_HEARTBEAT_US),
            told: LinkHealth::Well,
            opened_at: now,
            beat: DEFAULT_HEARTBEAT_US,
            beat_at: now,
            numbers: true,
            seq: 0,
            seen: 0,
            credit: 0,
            taken: 0,
            granted: CREDIT_WINDOW_BYTES,
            held: VecDeque::new(),
            held_bytes: 0,
            put: 0,
            written: 0,
            marks: VecDeque::new(),
            unwritten: VecDeque::new(),
            closed: false,
            links,
            me,
        };
        let me = &session.me;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            role: me.role as i32,
            name: me.name.clone(),
            epoch: me.epoch,
            link: me.link,
            credit: CREDIT_WINDOW_BYTES,
            login: me.login.clone(),
            heartbeat_us: session.links.heartbeat_us,
        };
        session.put_out(&Body::Hello(hello).into(), None);
        session
    }

    /// Bytes that came from the stream. What is no frame of this protocol ends the conversation.
    pub fn receive(&mut self, now: i64, bytes: &[u8]) {
        self.links.traffic.record_read(bytes.len() as u64);
        if self.closed {
            return;
        }
        self.inbox.extend_from_slice(bytes);
        while !self.closed {
            match self.codec.decode(&mut self.inbox) {
                Ok(Some(frame)) => match Frame::decode(&frame[..]) {
                    Ok(Frame { body: Some(body) }) => {
                        let size = frame.len() as u64;
                        self.links.traffic.record_frame_read(FrameKind::from_body(&body), LENGTH + size);
                        self.take(now, body, size);
                    }
                    Ok(_) => self.refuse(
                        "a frame of a kind that version 1 does not know; expected one of agent.proto",
                    ),
                    Err(e) => self.refuse(&format!(
                        "{} bytes that are no frame ({e}); expected one of agent.proto",
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

    fn take(&mut self, now: i64, body: Body, size: u64) {
        self.health.heard(now, matches!(body, Body::Heartbeat(_)));
        match (body, self.peer.is_some()) {
            (Body::Hello(hello), false) => self.greet(now, hello),
            (Body::Hello(_), true) => self.refuse("a second hello; expected one a connection"),
            (Body::Goodbye(bye), _) => self.close(format!("the peer said goodbye: {}", bye.reason)),
            (_, false) => self.refuse("a frame before the hello; expected a hello first"),
            (Body::Heartbeat(beat), _) if beat.seq == 0 && !self.numbers => {}
            (Body::Heartbeat(beat), _) if beat.seq <= self.seen => {
                self.refuse(&format!("heartbeat {} after {}; expected a higher number", beat.seq, self.seen));
            }
            (Body::Heartbeat(beat), _) => self.seen = beat.seq,
            (Body::Credit(credit), _) => {
                self.credit = self.credit.saturating_add(credit.bytes).min(16 * CREDIT_WINDOW_BYTES);
                self.release();
            }
            (body, _) => {
                if size > self.granted {
                    return self
                        .refuse(&format!("a frame of {size} bytes where {} were granted", self.granted));
                }
                self.granted -= size;
                self.events.push_back((SessionEvent::Frame(body), size));
            }
        }
    }

    fn greet(&mut self, now: i64, hello: Hello) {
        let role = Role::try_from(hello.role).unwrap_or(Role::Unknown);
        if hello.version != PROTOCOL_VERSION {
            return self.refuse(&format!("hello: version {}; expected {PROTOCOL_VERSION}", hello.version));
        }
        if role == Role::Unknown || hello.name.is_empty() || hello.name.len() > 200 {
            return self.refuse("hello: no role or no name of 1 to 200 bytes; expected both");
        }
        if hello.login.len() > 200 {
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
            (self.beat, self.numbers) = (self.links.heartbeat_us.max(hello.heartbeat_us), false);
            self.health = HealthMonitor::new(now, self.beat);
        }
        self.credit = hello.credit.min(16 * CREDIT_WINDOW_BYTES);
        let peer =
            PeerIdentity { role, name: hello.name, epoch: hello.epoch, link: hello.link, login: hello.login };
        self.peer = Some(peer.clone());
        self.events.push_back((SessionEvent::Up(peer), 0));
        self.release();
    }

    /// Sends a frame, or keeps it until the peer takes more. A `mark` lets `unsent` name it later.
    pub fn send(&mut self, body: Body, mark: Option<u64>) -> Result<(), SendBufferFull> {
        if self.closed {
            return Err(SendBufferFull);
        }
        let frame = Frame::from(body);
        let size = frame.encoded_len();
        if self.held.is_empty() && self.peer.is_some() && size as u64 <= self.credit {
            self.credit -= size as u64;
            self.put_out(&frame, mark);
        } else if self.held_bytes + size > MAX_QUEUED_BYTES {
            return Err(SendBufferFull);
        } else {
            self.held_bytes += size;
            self.held.push_back((frame, mark));
        }
        Ok(())
    }

    fn release(&mut self) {
        while let Some((frame, mark)) = self.held.front() {
            let size = frame.encoded_len();
            if self.peer.is_none() || size as u64 > self.credit {
                return;
            }
            self.credit -= size as u64;
            self.held_bytes -= size;
            let (frame, mark) = (frame.clone(), *mark);
            self.held.pop_front();
            self.put_out(&frame, mark);
        }
    }

    fn put_out(&mut self, frame: &Frame, mark: Option<u64>) {
        let Some(body) = &frame.body else { return };
        if let Some(mark) = mark {
            self.marks.push_back((self.put, mark));
        }
        let size = frame.encoded_len();
        self.outbox.extend_from_slice(&(size as u32).to_be_bytes());
        self.outbox.reserve(size);
        frame.encode(&mut self.outbox).expect("a buffer that grows");
        let size = size as u64 + LENGTH;
        self.put += size;
        self.unwritten.push_back((FrameKind::from_body(body), size));
    }

    /// The next event. A frame counts as taken in here, so that a caller who does not ask grants nothing.
    pub fn next_event(&mut self) -> Option<SessionEvent> {
        let (event, size) = self.events.pop_front()?;
        self.taken += size;
        if self.taken >= CREDIT_WINDOW_BYTES / 4 && !self.closed {
            self.granted += self.taken;
            let credit = Credit { bytes: std::mem::take(&mut self.taken) };
            self.put_out(&Body::Credit(credit).into(), None);
        }
        Some(event)
    }

    /// Bytes to be written to the stream; `wrote` takes away those that were.
    pub fn pending_output(&self) -> &[u8] {
        &self.outbox
    }

    pub fn record_written(&mut self, bytes: usize) {
        self.outbox.advance(bytes);
        self.written += bytes as u64;
        let mut bytes = bytes as u64;
        while let Some((kind, left)) = self.unwritten.front_mut().filter(|_| bytes > 0) {
            let of = bytes.min(*left);
            (bytes, *left) = (bytes - of, *left - of);
            let last = *left == 0;
            self.links.traffic.record_written(*kind, of, last);
            if last {
                self.unwritten.pop_front();
            }
        }
        while self.marks.front().is_some_and(|&(at, _)| at < self.written) {
            self.marks.pop_front();
        }
    }

    /// Lets time pass: heartbeats go out, silence is judged.
    pub fn tick(&mut self, now: i64) {
        if self.closed {
            return;
        }
        if self.peer.is_none() {
            if now >= self.opened_at + HELLO_TIMEOUT_US {
                self.refuse("no hello came in time");
            }
            return;
        }
        if now >= self.beat_at {
            self.seq += u64::from(self.numbers);
            let beat = Heartbeat { seq: self.seq, seen: self.seen };
            self.put_out(&Body::Heartbeat(beat).into(), None);
            // By the clock, not after the last one; beats that were missed are not made up. Also where another
            // frame went out a moment ago: how even a link is, is learnt from heartbeats.
            self.beat_at = (self.beat_at + self.beat).max(now + self.beat / 2);
        }
        let state = self.health.judge(now);
        if state == LinkHealth::Lost {
            self.close(format!("nothing heard for {} ms", self.health.lost_after() / 1000));
        } else if state != self.told {
            self.told = state;
            self.events.push_back((SessionEvent::Health(state), 0));
        }
    }

    /// The time at which `tick` has something to do.
    pub fn next_tick_at(&self) -> i64 {
        match self.peer {
            None => self.opened_at + HELLO_TIMEOUT_US,
            Some(_) => self.beat_at.min(self.health.next_at()),
        }
    }

    /// Ends the conversation from this side, with a word of goodbye.
    pub fn goodbye(&mut self, reason: &str) {
        if !self.closed {
            self.put_out(&Body::Goodbye(Goodbye { reason: reason.to_owned() }).into(), None);
            self.close(reason.to_owned());
        }
    }

    fn refuse(&mut self, what: &str) {
        let peer = self.peer.as_ref().map_or("a peer without hello", |p| p.name.as_str());
        self.goodbye(&format!("{peer}: {what}"));
    }

    /// The stream ended.
    pub fn stream_ended(&mut self, why: &str) {
        self.close(why.to_owned());
    }

    fn close(&mut self, why: String) {
        if !self.closed {
            self.closed = true;
            self.events.push_back((SessionEvent::Closed(why), 0));
        }
    }

    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Marks of frames of which no byte was handed to the stream.
    pub fn unsent_marks(&self) -> Vec<u64> {
        let put = self.marks.iter().filter(|(at, _)| *at >= self.written).map(|&(_, mark)| mark);
        put.chain(self.held.iter().filter_map(|(_, mark)| *mark)).collect()
    }
}
