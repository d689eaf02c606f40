//! Traffic counters equal the bytes that the streams carry, at any time and however a link ends.
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

fn identity(role: Role, name: &str) -> PeerIdentity {
    PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login: String::new() }
}

/// Returns a frame body of one of the kinds that need credit, with a text of `size` bytes if it has
/// a text field.
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

const FRAME_KINDS: [FrameKind; 7] = [
    FrameKind::Tasks,
    FrameKind::Inventories,
    FrameKind::HealthChecks,
    FrameKind::MachineLists,
    FrameKind::Leases,
    FrameKind::Summaries,
    FrameKind::Operators,
];

fn framed_length(body: &Body) -> u64 {
    Frame::from(body.clone()).encoded_len() as u64 + 4
}

/// Moves up to `max_bytes` bytes from one session to the other and returns their number.
fn transfer_output(from: &mut Session, to: &mut Session, max_bytes: usize) -> u64 {
    let count = from.pending_output().len().min(max_bytes);
    let bytes = from.pending_output()[..count].to_vec();
    from.record_written(count);
    to.receive(0, &bytes);
    while to.next_event().is_some() {}
    count as u64
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Two links share one set of counters, their two peers another. The totals must equal the
    /// bytes carried after each piece of streams that are cut at random positions, and the counters
    /// by kind must be exact once all frames were received.
    #[test]
    fn totals_equal_bytes_carried_by_streams(
        frames in proptest::collection::vec((0usize..7, 0usize..4000), 1..60),
        cuts in proptest::collection::vec(1usize..3000, 1..40),
        ends_after in 1usize..400,
    ) {
        let (near_config, far_config) = (LinkConfig::default(), LinkConfig::default());
        let session =
            |config: &LinkConfig, role, name| Session::with_config(config.clone(), identity(role, name), 0);
        let mut near = [session(&near_config, Role::Planner, "p"), session(&near_config, Role::Planner, "p")];
        let mut far = [session(&far_config, Role::Machine, "m"), session(&far_config, Role::Register, "r")];
        let mut expected = [(0u64, 0u64); FRAME_KINDS.len()];
        for (i, &(kind, size)) in frames.iter().enumerate() {
            let body = body(kind, size);
            expected[kind] = (expected[kind].0 + framed_length(&body), expected[kind].1 + 1);
            prop_assert!(near[i % 2].send(body, None).is_ok());
        }
        let (mut sent_bytes, mut returned_bytes) = (0, 0);
        for (step, cut) in cuts.iter().cycle().take(4 * ends_after).enumerate() {
            let link = step % 2;
            sent_bytes += transfer_output(&mut near[link], &mut far[link], *cut);
            returned_bytes += transfer_output(&mut far[link], &mut near[link], *cut);
            let (near_total, far_total) = (near_config.traffic.total(), far_config.traffic.total());
            prop_assert_eq!((near_total.bytes_out, near_total.bytes_in), (sent_bytes, returned_bytes));
            prop_assert_eq!((far_total.bytes_in, far_total.bytes_out), (sent_bytes, returned_bytes));
        }
        if near.iter().all(|session| session.pending_output().is_empty()) {
            for (kind, expected) in FRAME_KINDS.into_iter().zip(expected) {
                let (sent, received) = (near_config.traffic.count(kind), far_config.traffic.count(kind));
                prop_assert_eq!((sent.bytes_out, sent.frames_out), expected);
                prop_assert_eq!((received.bytes_in, received.frames_in), expected);
            }
            prop_assert_eq!(far_config.traffic.count(FrameKind::Incomplete), TrafficCount::default());
        }
    }
}

/// A stream that counts the bytes read from and written to it.
struct CountingStream<S> {
    stream: S,
    bytes_read: Rc<Cell<u64>>,
    bytes_written: Rc<Cell<u64>>,
}

impl<S: AsyncRead + Unpin> AsyncRead for CountingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let done = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.bytes_read.set(self.bytes_read.get() + (buf.filled().len() - before) as u64);
        done
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountingStream<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let done = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if let Poll::Ready(Ok(count)) = done {
            self.bytes_written.set(self.bytes_written.get() + count as u64);
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

fn encoded_frame(body: Body) -> Vec<u8> {
    let frame = Frame::from(body);
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    frame.encode(&mut bytes).unwrap();
    bytes
}

/// Runs a link whose peer reads `reads` bytes, writes `reply` and closes the stream. Returns the
/// total and the `Incomplete` counters of the link, and the bytes read from and written to the
/// stream.
fn link_cut_after(reads: usize, reply: &[u8]) -> (TrafficCount, TrafficCount, (u64, u64)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (config, (bytes_read, bytes_written)) = (LinkConfig::default(), (Rc::default(), Rc::default()));
        let (near, mut far) = tokio::io::duplex(700);
        let stream = CountingStream {
            stream: near,
            bytes_read: Rc::clone(&bytes_read),
            bytes_written: Rc::clone(&bytes_written),
        };
        let (commands, command_receiver) = mpsc::channel(16);
        let (event_sender, mut events) = mpsc::channel(16);
        let identity = identity(Role::Planner, "p");
        tokio::task::spawn_local(run(
            stream,
            LinkContext { config: config.clone(), identity, clock: Clock::start() },
            command_receiver,
            event_sender,
            |event| event,
        ));
        let hello = wire::Hello {
            version: 1,
            role: Role::Machine as i32,
            name: "m".into(),
            credit: 1 << 20,
            ..wire::Hello::default()
        };
        let hello = encoded_frame(Body::Hello(hello));
        far.write_all(&hello).await.unwrap();
        let up = events.recv().await;
        assert!(matches!(up, Some(LinkEvent::Session(SessionEvent::Up(_)))), "{up:?}");
        commands.send(LinkCommand::Send(body(0, 5000), Some(1))).await.unwrap();
        let mut read_bytes = vec![0; reads];
        far.read_exact(&mut read_bytes).await.unwrap();
        far.write_all(reply).await.unwrap();
        // Waits until the link has read everything: bytes lost in the cut would not be counted.
        let sent_to_link = (hello.len() + reply.len()) as u64;
        for _ in (0..100_000).take_while(|_| bytes_read.get() < sent_to_link) {
            tokio::task::yield_now().await;
        }
        assert_eq!(bytes_read.get(), sent_to_link, "the link reads all bytes sent to it");
        drop(far);
        while let Some(event) = events.recv().await {
            if matches!(event, LinkEvent::Ended { .. }) {
                break;
            }
        }
        (
            config.traffic.total(),
            config.traffic.count(FrameKind::Incomplete),
            (bytes_read.get(), bytes_written.get()),
        )
    })
}

#[test]
fn totals_equal_bytes_carried_when_link_is_cut_within_a_frame() {
    // The cut is within the hello, within the launch, and within or after the frame of the peer.
    let launch = encoded_frame(body(0, 300));
    for (reads, reply) in
        [(3, &launch[..0]), (200, &launch[..2]), (2000, &launch[..100]), (2000, &launch[..])]
    {
        let (total, incomplete, (bytes_read, bytes_written)) = link_cut_after(reads, reply);
        assert_eq!(
            (total.bytes_in, total.bytes_out),
            (bytes_read, bytes_written),
            "cut after {reads} and {}",
            reply.len()
        );
        let expected_incomplete = if reply.len() == launch.len() { 0 } else { reply.len() as u64 };
        assert_eq!(incomplete, TrafficCount { bytes_in: expected_incomplete, ..TrafficCount::default() });
        assert!(bytes_written >= reads as u64 && bytes_written < 5000, "{bytes_written} bytes were written");
    }
}
