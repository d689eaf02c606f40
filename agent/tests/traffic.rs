//! What links count is what their streams carry, at any moment and however a link ends.
use basaltpitch_agent::link::{run, Clock, LinkCommand, LinkContext, LinkEvent};
use basaltpitch_agent::session::{LinkConfig, PeerIdentity, Session, SessionEvent};
use basaltpitch_agent::traffic::{FrameKind, TrafficCount};
use basaltpitch_agent::wire::{self, Body, Frame, Role};
use proptest::prelude::*;
use prost::Message;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::mpsc;

fn party(role: Role, name: &str) -> PeerIdentity {
    PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login: String::new() }
}

/// A frame of each kind that credit is needed for, with a text of so many bytes where it takes one.
fn body(kind: usize, size: usize) -> Body {
    let text = "x".repeat(size);
    match kind {
        0 => Body::Launch(wire::Launch { key: text, ..wire::Launch::default() }),
        1 => Body::Inventory(wire::Inventory::default()),
        2 => Body::Probe(wire::Probe { number: size as u64 }),
        3 => Body::List(wire::List::default()),
        4 => Body::Record(wire::Record { prefix: text, brief: true, ..wire::Record::default() }),
        5 => Body::Digest(wire::Digest { question: 1, ..wire::Digest::default() }),
        _ => Body::Told(wire::Told { json: text, more: false }),
    }
}

const KINDS: [FrameKind; 7] = [
    FrameKind::Tasks,
    FrameKind::Inventories,
    FrameKind::HealthChecks,
    FrameKind::MachineLists,
    FrameKind::Leases,
    FrameKind::Summaries,
    FrameKind::Operators,
];

fn length(body: &Body) -> u64 {
    Frame::from(body.clone()).encoded_len() as u64 + 4
}

/// Moves up to `most` bytes; how many went.
fn carry(from: &mut Session, to: &mut Session, most: usize) -> u64 {
    let n = from.pending_output().len().min(most);
    let bytes = from.pending_output()[..n].to_vec();
    from.record_written(n);
    to.receive(0, &bytes);
    while to.next_event().is_some() {}
    n as u64
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// After each piece of a stream that is cut anywhere, two links on one count and their two peers on
    /// another; and by kind once all has come.
    #[test]
    fn counts_sum_to_what_streams_carry(
        frames in proptest::collection::vec((0usize..7, 0usize..4000), 1..60),
        cuts in proptest::collection::vec(1usize..3000, 1..40),
        ends_after in 1usize..400,
    ) {
        let (ours, theirs) = (LinkConfig::default(), LinkConfig::default());
        let link = |links: &LinkConfig, role, name| Session::with_config(links.clone(), party(role, name), 0);
        let mut near = [link(&ours, Role::Planner, "p"), link(&ours, Role::Planner, "p")];
        let mut far = [link(&theirs, Role::Machine, "m"), link(&theirs, Role::Register, "r")];
        let mut want = [(0u64, 0u64); KINDS.len()];
        for (i, &(kind, size)) in frames.iter().enumerate() {
            let body = body(kind, size);
            want[kind] = (want[kind].0 + length(&body), want[kind].1 + 1);
            prop_assert!(near[i % 2].send(body, None).is_ok());
        }
        let (mut out, mut back) = (0, 0);
        for (step, cut) in cuts.iter().cycle().take(4 * ends_after).enumerate() {
            let n = step % 2;
            out += carry(&mut near[n], &mut far[n], *cut);
            back += carry(&mut far[n], &mut near[n], *cut);
            let (here, there) = (ours.traffic.total(), theirs.traffic.total());
            prop_assert_eq!((here.bytes_out, here.bytes_in), (out, back));
            prop_assert_eq!((there.bytes_in, there.bytes_out), (out, back));
        }
        if near.iter().all(|s| s.pending_output().is_empty()) {
            for (kind, want) in KINDS.into_iter().zip(want) {
                let (sent, got) = (ours.traffic.count(kind), theirs.traffic.count(kind));
                prop_assert_eq!((sent.bytes_out, sent.frames_out), want);
                prop_assert_eq!((got.bytes_in, got.frames_in), want);
            }
            prop_assert_eq!(theirs.traffic.count(FrameKind::Incomplete), TrafficCount::default());
        }
    }
}

/// A stream that counts what goes through it.
struct Counted<S> {
    stream: S,
    read: Rc<Cell<u64>>,
    wrote: Rc<Cell<u64>>,
}

impl<S: AsyncRead + Unpin> AsyncRead for Counted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.read.set(self.read.get() + (buf.filled().len() - before) as u64);
        done
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Counted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(n)) = done {
            self.wrote.set(self.wrote.get() + n as u64);
        }
        done
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn raw(body: Body) -> Vec<u8> {
    let frame = Frame::from(body);
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    frame.encode(&mut bytes).unwrap();
    bytes
}

/// A link whose peer reads so many bytes, says what it is given to say, and is gone; what was counted, and
/// what the stream carried.
fn link_cut_after(reads: usize, says: &[u8]) -> (TrafficCount, TrafficCount, (u64, u64)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (links, (read, wrote)) = (LinkConfig::default(), (Rc::default(), Rc::default()));
        let (near, mut far) = tokio::io::duplex(700);
        let stream = Counted { stream: near, read: Rc::clone(&read), wrote: Rc::clone(&wrote) };
        let (orders, inbox) = mpsc::channel(16);
        let (news, mut heard) = mpsc::channel(16);
        let me = party(Role::Planner, "p");
        tokio::task::spawn_local(run(
            stream,
            LinkContext { config: links.clone(), identity: me, clock: Clock::start() },
            inbox,
            news,
            |n| n,
        ));
        let hello = wire::Hello {
            version: 1,
            role: Role::Machine as i32,
            name: "m".into(),
            credit: 1 << 20,
            ..wire::Hello::default()
        };
        let hello = raw(Body::Hello(hello));
        far.write_all(&hello).await.unwrap();
        let up = heard.recv().await;
        assert!(matches!(up, Some(LinkEvent::Session(SessionEvent::Up(_)))), "{up:?}");
        orders.send(LinkCommand::Send(body(0, 5000), Some(1))).await.unwrap();
        let mut taken = vec![0; reads];
        far.read_exact(&mut taken).await.unwrap();
        far.write_all(says).await.unwrap();
        // What is cut before it was read was not carried.
        let all = (hello.len() + says.len()) as u64;
        for _ in (0..100_000).take_while(|_| read.get() < all) {
            tokio::task::yield_now().await;
        }
        assert_eq!(read.get(), all, "the link reads all that comes");
        drop(far);
        while let Some(news) = heard.recv().await {
            if matches!(news, LinkEvent::Ended { .. }) {
                break;
            }
        }
        (links.traffic.total(), links.traffic.count(FrameKind::Incomplete), (read.get(), wrote.get()))
    })
}

#[test]
fn a_link_that_is_cut_in_the_middle_has_counted_what_its_stream_carried() {
    // Within the hello, within the launch, and within the frame that comes back.
    let launch = raw(body(0, 300));
    for (reads, says) in [(3, &launch[..0]), (200, &launch[..2]), (2000, &launch[..100]), (2000, &launch[..])]
    {
        let (sum, unfinished, (read, wrote)) = link_cut_after(reads, says);
        assert_eq!((sum.bytes_in, sum.bytes_out), (read, wrote), "cut after {reads} and {}", says.len());
        let rest = if says.len() == launch.len() { 0 } else { says.len() as u64 };
        assert_eq!(unfinished, TrafficCount { bytes_in: rest, ..TrafficCount::default() });
        assert!(wrote >= reads as u64 && wrote < 5000, "{wrote} bytes were handed over");
    }
}
