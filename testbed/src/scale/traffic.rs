//! Counts bytes and frames by kind as they pass a socket. The kind is read from the first field of
//! each frame, so that counting needs no decoding.
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

/// Kinds of frames. `links` are hello, credit and goodbye.
pub const KINDS: [&str; 9] =
    ["heartbeats", "summaries", "council", "inventories", "lists", "probes", "tasks", "operators", "links"];

/// Returns the index of a frame's kind, given the number of its field in `agent.proto`.
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

/// Returns the index of a kind in [`KINDS`]; unknown kinds count as `links`.
pub fn index_of(kind: &str) -> usize {
    KINDS.iter().position(|known| *known == kind).unwrap_or(KINDS.len() - 1)
}

/// Bytes and frames of one kind, in both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct FrameCount {
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Frames received.
    pub frames_in: u64,
    /// Frames sent.
    pub frames_out: u64,
}

impl FrameCount {
    /// Returns the bytes of both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }

    /// Returns the frames of both directions.
    pub fn frames(&self) -> u64 {
        self.frames_in + self.frames_out
    }

    /// Returns bytes in, bytes out, frames in and frames out.
    pub fn to_array(self) -> [u64; 4] {
        [self.bytes_in, self.bytes_out, self.frames_in, self.frames_out]
    }

    /// Applies a function to each of the four counts and the same count of `other`.
    fn combined(self, other: &FrameCount, combine: fn(u64, u64) -> u64) -> FrameCount {
        FrameCount {
            bytes_in: combine(self.bytes_in, other.bytes_in),
            bytes_out: combine(self.bytes_out, other.bytes_out),
            frames_in: combine(self.frames_in, other.frames_in),
            frames_out: combine(self.frames_out, other.frames_out),
        }
    }

    /// Counts a received frame of this size.
    pub(super) fn count_in(&mut self, bytes: u64) {
        self.bytes_in += bytes;
        self.frames_in += 1;
    }

    /// Counts a sent frame of this size.
    pub(super) fn count_out(&mut self, bytes: u64) {
        self.bytes_out += bytes;
        self.frames_out += 1;
    }
}

/// Counts by kind, in the order of [`KINDS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic(pub [FrameCount; KINDS.len()]);

/// Traffic by planner.
pub type TrafficByPlanner = BTreeMap<String, Traffic>;

impl Traffic {
    /// Adds the traffic of another link.
    pub fn add(&mut self, other: &Traffic) {
        for (count, more) in self.0.iter_mut().zip(&other.0) {
            *count = count.combined(more, |count, more| count + more);
        }
    }

    /// Returns the traffic since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        let mut all = *self;
        for (count, before) in all.0.iter_mut().zip(&earlier.0) {
            *count = count.combined(before, u64::saturating_sub);
        }
        all
    }

    /// Returns the traffic as the other end counts it, with in and out swapped.
    #[must_use]
    pub fn reversed(&self) -> Traffic {
        Traffic(self.0.map(|count| FrameCount {
            bytes_in: count.bytes_out,
            bytes_out: count.bytes_in,
            frames_in: count.frames_out,
            frames_out: count.frames_in,
        }))
    }

    /// Returns the bytes of all kinds and both directions.
    pub fn bytes(&self) -> u64 {
        self.0.iter().map(FrameCount::bytes).sum()
    }

    /// Returns the counts as a JSON object with one object per kind.
    pub fn view(&self) -> Value {
        serde_json::to_value(self).unwrap_or_default()
    }

    /// Reads counts written by [`Traffic::view`]; unknown kinds count as `links`.
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

/// Returns the sum of the traffic of closed and current links, by planner.
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

/// Finds the frames in a stream of bytes, with their kinds.
#[derive(Debug, Default)]
pub(super) struct FrameScanner {
    /// Length and first tag of the next frame, as far as received.
    head: [u8; 6],
    /// Number of bytes in `head`.
    have: usize,
    /// Bytes of the current frame that are still to be received.
    left: u64,
}

impl FrameScanner {
    /// Calls `each` with the kind and the size (length prefix included) of every frame whose head
    /// is complete.
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

/// A stream that counts its traffic. While `paused` is set, nothing is received or sent.
pub struct CountingStream {
    stream: TcpStream,
    paused: Rc<Cell<bool>>,
    traffic: Rc<RefCell<Traffic>>,
    incoming: FrameScanner,
    outgoing: FrameScanner,
}

impl CountingStream {
    /// Returns a stream that adds its traffic to `traffic`.
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
            // No waker is registered: the session polls the stream again at its next tick.
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
