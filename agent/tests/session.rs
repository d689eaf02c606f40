//! Two sessions over streams that are cut at arbitrary bytes, and the invalid input that a session
//! rejects. The clock is simulated.
use basaltpitch_agent::link_health::LinkHealth;
use basaltpitch_agent::session::{
    LinkConfig, PeerIdentity, Session, SessionEvent, CREDIT_WINDOW_BYTES, DEFAULT_HEARTBEAT_US,
    MAX_QUEUED_BYTES,
};
use basaltpitch_agent::wire::{Body, Frame, Heartbeat, Hello, Probe, Role, Told};
use proptest::prelude::*;
use prost::Message;

fn identity(role: Role, name: &str) -> PeerIdentity {
    PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login: String::new() }
}

fn pair() -> (Session, Session) {
    (Session::new(identity(Role::Planner, "p"), 0), Session::new(identity(Role::Machine, "m"), 0))
}

/// Moves up to `max_bytes` bytes from one session to the other.
fn transfer_output(now: i64, from: &mut Session, to: &mut Session, max_bytes: usize) {
    let count = from.pending_output().len().min(max_bytes);
    let bytes = from.pending_output()[..count].to_vec();
    from.record_written(count);
    to.receive(now, &bytes);
}

fn transfer_all(now: i64, a: &mut Session, b: &mut Session) {
    while !a.pending_output().is_empty() || !b.pending_output().is_empty() {
        transfer_output(now, a, b, usize::MAX);
        transfer_output(now, b, a, usize::MAX);
    }
}

fn encoded_frame(body: Body) -> Vec<u8> {
    let frame = Frame::from(body);
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    frame.encode(&mut bytes).unwrap();
    bytes
}

fn hello(version: u32, role: i32, name: &str) -> Vec<u8> {
    encoded_frame(Body::Hello(Hello {
        version,
        role,
        name: name.into(),
        epoch: 1,
        link: 1,
        credit: CREDIT_WINDOW_BYTES,
        login: String::new(),
        heartbeat_us: 0,
    }))
}

/// Returns the reason with which a session closes on these bytes of an unknown peer, or "still
/// open".
fn close_reason(bytes: &[&[u8]]) -> String {
    let mut session = Session::new(identity(Role::Planner, "p"), 0);
    bytes.iter().for_each(|part| session.receive(0, part));
    std::iter::from_fn(|| session.next_event())
        .find_map(|event| match event {
            SessionEvent::Closed(why) => Some(why),
            _ => None,
        })
        .unwrap_or_else(|| "still open".into())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against frames that are lost, repeated or reordered because the stream is cut within
    /// a frame or the credit runs out.
    #[test]
    fn receives_every_frame_once_and_in_order(
        sizes in proptest::collection::vec(0usize..60_000, 1..120),
        cuts in proptest::collection::vec(1usize..40_000, 1..40),
    ) {
        let (mut a, mut b) = pair();
        let mut expected = Vec::new();
        for (i, size) in sizes.iter().enumerate() {
            let body = Body::Told(Told { json: "x".repeat(*size), more: i % 2 == 0 });
            prop_assert!(a.send(body.clone(), Some(i as u64)).is_ok());
            expected.push(body);
        }
        let mut received = Vec::new();
        for cut in cuts.iter().cycle().take(100_000) {
            transfer_output(0, &mut a, &mut b, *cut);
            transfer_output(0, &mut b, &mut a, *cut);
            while let Some(event) = b.next_event() {
                if let SessionEvent::Frame(body) = event {
                    received.push(body);
                }
            }
            if received.len() == expected.len() {
                break;
            }
        }
        prop_assert!(received == expected, "{} of {} frames received", received.len(), expected.len());
        prop_assert!(a.unsent_marks().is_empty());
    }

    /// Arbitrary bytes lead to a frame, a goodbye or a wait for more bytes, never to a panic.
    #[test]
    fn arbitrary_bytes_never_cause_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400), with_hello in any::<bool>()) {
        let mut session = Session::new(identity(Role::Planner, "p"), 0);
        if with_hello {
            session.receive(0, &hello(1, Role::Machine as i32, "m"));
        }
        session.receive(0, &bytes);
        session.tick(1_000_000);
        while session.next_event().is_some() {}
    }
}

#[test]
fn rejects_invalid_frames_with_found_and_expected_values() {
    let valid_hello = hello(1, Role::Machine as i32, "m");
    let cases: [(&[&[u8]], &str); 9] = [
        (
            &[b"GET / HTTP/1.1\r\n\r\n"],
            "a peer without hello: a frame of over 4096 bytes was announced; expected fewer",
        ),
        (
            &[&valid_hello, b"GET / HTTP/1.1\r\n\r\n"],
            "m: a frame of over 1048576 bytes was announced; expected fewer",
        ),
        (&[&[0, 0, 0, 3, 9, 9, 9]], "that are no frame"),
        (&[&hello(2, Role::Machine as i32, "m")], "hello: version 2; expected 1"),
        (&[&hello(1, 77, "m")], "hello: no role or no name"),
        (
            &[&encoded_frame(Body::Probe(Probe { number: 1 }))],
            "a frame before the hello; expected a hello first",
        ),
        (&[&valid_hello, &valid_hello], "m: a second hello; expected one a connection"),
        (
            &[&valid_hello, &[0, 0, 0, 4, 0x9a, 0x7d, 0x01, 0x00]],
            "a frame of a kind that version 1 does not know",
        ),
        (
            &[&valid_hello, &encoded_frame(Body::Heartbeat(Heartbeat { seq: 0, seen: 0 }))],
            "heartbeat 0 after 0; expected a higher number",
        ),
    ];
    for (bytes, expected) in cases {
        let reason = close_reason(bytes);
        assert!(reason.contains(expected), "closed with {reason:?}, expected {expected:?}");
    }
}

#[test]
fn ignores_unknown_fields() {
    // A probe with an additional field 99.
    let mut probe = Probe { number: 7 }.encode_to_vec();
    probe.extend([0x98, 0x06, 0x05]);
    let mut frame = vec![0xa2, 0x01, probe.len() as u8];
    frame.extend(&probe);
    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
    bytes.extend(&frame);
    let mut session = Session::new(identity(Role::Machine, "m"), 0);
    session.receive(0, &hello(1, Role::Planner as i32, "p"));
    session.receive(0, &bytes);
    let events: Vec<SessionEvent> = std::iter::from_fn(|| session.next_event()).collect();
    assert_eq!(events.last(), Some(&SessionEvent::Frame(Body::Probe(Probe { number: 7 }))));
}

/// A peer that does not process frames grants no credit. Guards against a queue for it that grows
/// without limit.
#[test]
fn queue_for_a_peer_without_credit_is_bounded() {
    let (mut a, mut b) = pair();
    transfer_all(0, &mut a, &mut b);
    let body = || Body::Told(Told { json: "x".repeat(100_000), more: false });
    let mut accepted = 0;
    while a.send(body(), None).is_ok() {
        accepted += 1;
        transfer_output(0, &mut a, &mut b, usize::MAX);
        assert!(accepted < 1000);
    }
    let bytes = accepted * 100_000;
    assert!(
        bytes as u64 >= CREDIT_WINDOW_BYTES && bytes <= CREDIT_WINDOW_BYTES as usize + MAX_QUEUED_BYTES,
        "{bytes} bytes"
    );
    // Once the peer processes frames again, it receives every one of them.
    let mut received = 0;
    for _ in 0..1000 {
        while let Some(event) = b.next_event() {
            received += usize::from(matches!(event, SessionEvent::Frame(_)));
        }
        transfer_output(0, &mut b, &mut a, usize::MAX);
        transfer_output(0, &mut a, &mut b, usize::MAX);
    }
    assert_eq!(received, accepted);
}

/// A frame of which one byte was written may have been received, so only the frames after it are
/// reported as unsent.
#[test]
fn frame_with_one_written_byte_is_not_unsent() {
    let (mut a, mut b) = pair();
    transfer_all(0, &mut a, &mut b);
    for mark in 0..3 {
        a.send(Body::Probe(Probe { number: mark }), Some(mark)).unwrap();
    }
    let first = encoded_frame(Body::Probe(Probe { number: 0 })).len();
    a.record_written(first + 1);
    a.stream_ended("the connection failed");
    assert_eq!(a.unsent_marks(), [2]);
}

#[test]
fn heartbeats_keep_link_healthy_and_silence_makes_it_suspect_then_lost() {
    let (mut a, mut b) = pair();
    transfer_all(0, &mut a, &mut b);
    let mut now = 0;
    while now < 20 * DEFAULT_HEARTBEAT_US {
        now = a.next_tick_at().min(b.next_tick_at());
        a.tick(now);
        b.tick(now);
        transfer_all(now, &mut a, &mut b);
    }
    let events: Vec<SessionEvent> = std::iter::from_fn(|| a.next_event()).collect();
    assert_eq!(events.len(), 1, "{events:?}");
    let mut received = Vec::new();
    while !a.is_closed() {
        now = a.next_tick_at();
        a.tick(now);
        received.extend(std::iter::from_fn(|| a.next_event()));
    }
    assert_eq!(received[0], SessionEvent::Health(LinkHealth::Suspect));
    assert!(
        matches!(&received[1], SessionEvent::Closed(why) if why.starts_with("no frame received for")),
        "{received:?}"
    );
}

/// Bytes of an incomplete frame of nearly the maximum size.
const INCOMPLETE_BYTES: usize = 900 * 1024;
/// Number of peers that each leave such a frame.
const PEERS: usize = 300;
/// Limit of the memory of a process (bytes).
const MEMORY_BYTES: usize = 64 << 20;

/// Guards against this failure: hundreds of clients stopped half way through a large frame, and the
/// process passed its memory limit. Before the hello a large frame is refused at its length.
#[test]
fn refuses_a_large_frame_before_the_hello() {
    let mut session = Session::new(identity(Role::Planner, "p"), 0);
    session.receive(0, &(INCOMPLETE_BYTES as u32).to_be_bytes());
    assert!(session.is_closed());
    assert_eq!(
        close_reason(&[&(INCOMPLETE_BYTES as u32).to_be_bytes()]),
        "a peer without hello: a frame of over 4096 bytes was announced; expected fewer"
    );
}

/// Guards against the same failure after the hello: what all links hold of incomplete frames is
/// bounded, and a peer with a small one is served on.
#[test]
fn bounds_the_incomplete_frames_of_all_links() {
    let config = LinkConfig::default();
    let open = || {
        let mut session = Session::with_config(config.clone(), identity(Role::Planner, "p"), 0);
        session.receive(0, &hello(1, Role::Owner as i32, "c"));
        session
    };
    let mut small = open();
    let heartbeat = encoded_frame(Body::Heartbeat(Heartbeat { seq: 1, seen: 0 }));
    let (start, rest) = heartbeat.split_at(3);
    small.receive(0, start);
    let mut peers: Vec<Session> = (0..PEERS).map(|_| open()).collect();
    for peer in &mut peers {
        peer.receive(0, &(INCOMPLETE_BYTES as u32 + 1).to_be_bytes());
        peer.receive(0, &vec![0; INCOMPLETE_BYTES]);
    }
    let kept = peers.iter().filter(|peer| !peer.is_closed()).count() * INCOMPLETE_BYTES;
    assert!(kept <= MEMORY_BYTES / 2, "{kept} bytes are kept");
    small.receive(0, rest);
    assert!(!small.is_closed());
    drop((peers, small));
    assert_eq!(config.incomplete_bytes.get(), 0, "a session that is dropped holds nothing");
}
