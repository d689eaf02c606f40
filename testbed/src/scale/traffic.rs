//! Bytes and frames by kind, as the sockets carry them: read off the length and the first field of each
//! frame, so that counting decodes nothing. And a relay that counts both ways of what it carries.
use super::registry::host_of;
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::wire::Body;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

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
    KINDS.iter().position(|k| *k == name).unwrap_or(KINDS.len() - 1)
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub frames_in: u64,
    pub frames_out: u64,
}

/// By kind, in the order of `KINDS`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic(pub [Count; KINDS.len()]);

impl Traffic {
    pub fn add(&mut self, other: &Traffic) {
        for (mine, more) in self.0.iter_mut().zip(&other.0) {
            mine.bytes_in += more.bytes_in;
            mine.bytes_out += more.bytes_out;
            mine.frames_in += more.frames_in;
            mine.frames_out += more.frames_out;
        }
    }

    pub fn bytes(&self) -> u64 {
        self.0.iter().map(|c| c.bytes_in + c.bytes_out).sum()
    }

    pub fn view(&self) -> Value {
        let of = |(kind, c): (&&str, &Count)| {
            let count = json!({"bytes_in": c.bytes_in, "bytes_out": c.bytes_out,
                "frames_in": c.frames_in, "frames_out": c.frames_out});
            ((*kind).to_owned(), count)
        };
        Value::Object(KINDS.iter().zip(&self.0).map(of).collect())
    }

    /// What `view` wrote; kinds that are not known count as `links`.
    pub fn read(value: &Value) -> Traffic {
        let mut all = Traffic::default();
        for (kind, count) in value.as_object().into_iter().flatten() {
            let at = KINDS.iter().position(|k| k == kind).unwrap_or(KINDS.len() - 1);
            let number = |field: &str| count[field].as_u64().unwrap_or(0);
            let one = Count {
                bytes_in: number("bytes_in"),
                bytes_out: number("bytes_out"),
                frames_in: number("frames_in"),
                frames_out: number("frames_out"),
            };
            let mut more = Traffic::default();
            more.0[at] = one;
            all.add(&more);
        }
        all
    }
}

/// Finds where frames begin in a stream of bytes, and of what kind they are.
#[derive(Debug, Default)]
struct Frames {
    head: [u8; 6],
    have: usize,
    left: u64,
}

impl Frames {
    /// Calls `each` with kind and bytes (length included) of every frame whose head is there.
    fn feed(&mut self, mut bytes: &[u8], mut each: impl FnMut(usize, u64)) {
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

/// A stream that counts what it carries, and is still while `still` is set: nothing comes and nothing goes.
pub struct CountingStream {
    stream: TcpStream,
    still: Rc<Cell<bool>>,
    traffic: Rc<RefCell<Traffic>>,
    ins: Frames,
    outs: Frames,
}

impl CountingStream {
    pub fn new(stream: TcpStream, still: Rc<Cell<bool>>, traffic: Rc<RefCell<Traffic>>) -> Self {
        let _ = stream.set_nodelay(true);
        CountingStream { stream, still, traffic, ins: Frames::default(), outs: Frames::default() }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.still.get() {
            // The session looks again at its next tick.
            return Poll::Pending;
        }
        let before = to.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, to);
        let CountingStream { ins, traffic, .. } = &mut *self;
        ins.feed(&to.filled()[before..], |kind, bytes| {
            let count = &mut traffic.borrow_mut().0[kind];
            count.bytes_in += bytes;
            count.frames_in += 1;
        });
        done
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.still.get() {
            return Poll::Pending;
        }
        let done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = done {
            let CountingStream { outs, traffic, .. } = &mut *self;
            outs.feed(&bytes[..n], |kind, bytes| {
                let count = &mut traffic.borrow_mut().0[kind];
                count.bytes_out += bytes;
                count.frames_out += 1;
            });
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.still.get() {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// What a relay counts. `in` is what goes to the address behind it.
#[derive(Debug, Default)]
pub struct RelayCounts {
    pub traffic: RefCell<Traffic>,
    /// The same by the name under which who dialled said hello.
    pub by: RefCell<BTreeMap<String, Traffic>>,
    /// All bytes, whether or not a frame's head was there.
    pub carried: Cell<u64>,
}

/// Listens on a loopback port of its own, which it returns, relays to `to`, and counts both ways by kind.
pub async fn relay(to: String, way: Rc<RelayCounts>) -> io::Result<String> {
    let listener = TcpListener::bind((host_of(7).as_str(), 0)).await?;
    let address = listener.local_addr()?.to_string();
    tokio::task::spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            let (to, way) = (to.clone(), way.clone());
            tokio::task::spawn_local(async move {
                let Ok(far) = TcpStream::connect(to).await else { return };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
                let who = RefCell::new(None);
                tokio::join!(
                    one_way(near_in, far_out, true, &way, &who),
                    one_way(far_in, near_out, false, &way, &who)
                );
            });
        }
    });
    Ok(address)
}

/// Carries one direction to its end, and then closes it.
async fn one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    goes_in: bool,
    way: &RelayCounts,
    who: &RefCell<Option<String>>,
) {
    let (mut frames, mut bytes, mut first) = (Frames::default(), vec![0; 16 * 1024], FrameDecoder::default());
    // What the other side said before it was known to whom.
    let mut early = Traffic::default();
    while let Ok(n @ 1..) = from.read(&mut bytes).await {
        way.carried.set(way.carried.get() + n as u64);
        if goes_in && who.borrow().is_none() {
            first.push_bytes(&bytes[..n]);
            if let Some((_, Some(Body::Hello(hello)))) = first.next_frame() {
                *who.borrow_mut() = Some(hello.name);
            }
        }
        frames.feed(&bytes[..n], |kind, bytes| {
            let count = &mut early.0[kind];
            let (all, frames) = match goes_in {
                true => (&mut count.bytes_in, &mut count.frames_in),
                false => (&mut count.bytes_out, &mut count.frames_out),
            };
            (*all, *frames) = (*all + bytes, *frames + 1);
        });
        if let Some(who) = &*who.borrow() {
            way.by.borrow_mut().entry(who.clone()).or_default().add(&early);
            way.traffic.borrow_mut().add(&std::mem::take(&mut early));
        }
        if to.write_all(&bytes[..n]).await.is_err() {
            break;
        }
    }
    way.traffic.borrow_mut().add(&early);
    let _ = to.shutdown().await;
}
