//! Bytes and frames by kind, as the sockets carry them: read off the length and the first field of each
//! frame, so that counting decodes nothing.
use serde::ser::{Serialize, SerializeMap, Serializer};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

pub use super::counting_relay::{relay, RelayCounts};

/// Kinds of frames. `links`: hello, credit, goodbye.
pub const KINDS: [&str; 9] =
    ["heartbeats", "summaries", "council", "inventories", "lists", "probes", "tasks", "operators", "links"];

/// The kind of a frame by the number of its field in `agent.proto`.
fn kind_of(field: u32) -> usize {
    let name = match field {
        2 => "heartbeats",
        70..=79 => "summaries",
        60..=69 => "council",
        22 => "inventories",
        30..=32 => "lists",
        20 | 21 => "probes",
        10..=19 | 40..=44 => "tasks",
        23 | 50..=53 => "operators",
        _ => "links",
    };
    index_of(name)
}

/// The place of a kind among [`KINDS`]; kinds that are not known count as `links`.
pub fn index_of(kind: &str) -> usize {
    KINDS.iter().position(|known| *known == kind).unwrap_or(KINDS.len() - 1)
}

/// What was carried of one kind, in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct FrameCount {
    /// Bytes that came in.
    pub bytes_in: u64,
    /// Bytes that went out.
    pub bytes_out: u64,
    /// Frames that came in.
    pub frames_in: u64,
    /// Frames that went out.
    pub frames_out: u64,
}

impl FrameCount {
    /// Bytes of both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// Frames of both directions.
    pub fn frames(&self) -> u64 {
        self.frames_in + self.frames_out
    }

    /// All four counts.
    pub fn to_array(self) -> [u64; 4] {
        [self.bytes_in, self.bytes_out, self.frames_in, self.frames_out]
    }

    /// With a function applied to each of the four counts and its counterpart.
    fn combined(self, other: &FrameCount, combine: fn(u64, u64) -> u64) -> FrameCount {
        FrameCount {
            bytes_in: combine(self.bytes_in, other.bytes_in),
            bytes_out: combine(self.bytes_out, other.bytes_out),
            frames_in: combine(self.frames_in, other.frames_in),
            frames_out: combine(self.frames_out, other.frames_out),
        }
    }

    pub(super) fn count_in(&mut self, bytes: u64) {
        self.bytes_in += bytes;
        self.frames_in += 1;
    }

    pub(super) fn count_out(&mut self, bytes: u64) {
        self.bytes_out += bytes;
        self.frames_out += 1;
    }
}

/// By kind, in the order of [`KINDS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic(pub [FrameCount; KINDS.len()]);

/// What was carried, by planner.
pub type TrafficByPlanner = BTreeMap<String, Traffic>;

impl Traffic {
    /// Adds what another link carried.
    pub fn add(&mut self, other: &Traffic) {
        for (count, more) in self.0.iter_mut().zip(&other.0) {
            *count = count.combined(more, |count, more| count + more);
        }
    }

    /// What was carried since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        let mut all = *self;
        for (count, before) in all.0.iter_mut().zip(&earlier.0) {
            *count = count.combined(before, u64::saturating_sub);
        }
        all
    }

    /// The same, as the far end sees it: in and out change places.
    #[must_use]
    pub fn reversed(&self) -> Traffic {
        Traffic(self.0.map(|count| FrameCount {
            bytes_in: count.bytes_out,
            bytes_out: count.bytes_in,
            frames_in: count.frames_out,
            frames_out: count.frames_in,
        }))
    }

    /// Bytes of all kinds and both directions.
    pub fn bytes(&self) -> u64 {
        self.0.iter().map(FrameCount::bytes).sum()
    }

    /// As JSON: an object of each kind.
    pub fn view(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// What [`Traffic::view`] wrote; kinds that are not known count as `links`.
    pub fn read(value: &Value) -> Traffic {
        let mut all = Traffic::default();
        for (kind, count) in value.as_object().into_iter().flatten() {
            let number = |field: &str| count[field].as_u64().unwrap_or(0);
            let read = FrameCount {
                bytes_in: number("bytes_in"),
                bytes_out: number("bytes_out"),
                frames_in: number("frames_in"),
                frames_out: number("frames_out"),
            };
            let sum = &mut all.0[index_of(kind)];
            *sum = sum.combined(&read, |sum, read| sum + read);
        }
        all
    }
}

impl Serialize for Traffic {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(Some(KINDS.len()))?;
        for (kind, count) in KINDS.iter().zip(&self.0) {
            map.serialize_entry(kind, count)?;
        }
        map.end()
    }
}

/// By planner: what links that ended carried, and what those that are there did.
pub(super) fn by_planner<'a>(
    past: &TrafficByPlanner,
    current: impl Iterator<Item = (&'a str, Traffic)>,
) -> TrafficByPlanner {
    let mut all = past.clone();
    for (planner, traffic) in current {
        all.entry(planner.to_owned()).or_default().add(&traffic);
    }
    all
}

/// Finds where frames begin in a stream of bytes, and of what kind they are.
#[derive(Debug, Default)]
pub(super) struct FrameScanner {
    /// Length and first tag of the next frame, as far as they are there.
    head: [u8; 6],
    have: usize,
    /// Bytes of the last frame that are still to come.
    left: u64,
}

impl FrameScanner {
    /// Calls `each` with kind and bytes (length included) of every frame whose head is there.
    pub(super) fn scan(&mut self, mut bytes: &[u8], mut each: impl FnMut(usize, u64)) {
        while !bytes.is_empty() {
            let skip = (bytes.len() as u64).min(self.left);
            self.left -= skip;
            bytes = &bytes[skip as usize..];
            let Some((first, rest)) = bytes.split_first().filter(|_| self.left == 0) else { continue };
            self.head[self.have] = *first;
            self.have += 1;
            bytes = rest;
            if self.have < 4 {
                continue;
            }
            let size =
                u64::from(u32::from_be_bytes([self.head[0], self.head[1], self.head[2], self.head[3]]));
            let needs = 4 + size.min(2) as usize;
            if self.have < needs {
                continue;
            }
            let low = u32::from(self.head[4]);
            let tag = if low & 0x80 == 0 { low } else { low & 0x7f | u32::from(self.head[5]) << 7 };
            each(kind_of(if size == 0 { 0 } else { tag >> 3 }), size + 4);
            (self.left, self.have) = (size - size.min(2), 0);
        }
    }
}

/// A stream that counts what it carries, and is paused while `paused` is set: nothing comes and nothing goes.
pub struct CountingStream {
    stream: TcpStream,
    paused: Rc<Cell<bool>>,
    traffic: Rc<RefCell<Traffic>>,
    incoming: FrameScanner,
    outgoing: FrameScanner,
}

impl CountingStream {
    /// Counts what a stream carries into `traffic`.
    pub fn new(stream: TcpStream, paused: Rc<Cell<bool>>, traffic: Rc<RefCell<Traffic>>) -> Self {
        let _ = stream.set_nodelay(true);
        let (incoming, outgoing) = (FrameScanner::default(), FrameScanner::default());
        CountingStream { stream, paused, traffic, incoming, outgoing }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.paused.get() {
            // The session looks again at its next tick.
            return Poll::Pending;
        }
        let before = to.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, to);
        let CountingStream { incoming, traffic, .. } = &mut *self;
        incoming.scan(&to.filled()[before..], |kind, bytes| traffic.borrow_mut().0[kind].count_in(bytes));
        done
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.paused.get() {
            return Poll::Pending;
        }
        let done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(written)) = done {
            let CountingStream { outgoing, traffic, .. } = &mut *self;
            outgoing.scan(&bytes[..written], |kind, bytes| traffic.borrow_mut().0[kind].count_out(bytes));
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.paused.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
