//! Two sessions over a stream that cuts bytes anywhere, and what a session refuses. A made-up clock.
use basaltpitch_agent::link_health::LinkHealth;
use basaltpitch_agent::session::{
    PeerIdentity, Session, SessionEvent, CREDIT_WINDOW_BYTES, DEFAULT_HEARTBEAT_US, MAX_QUEUED_BYTES,
};
use basaltpitch_agent::wire::{Body, Frame, Heartbeat, Hello, Probe, Role, Told};
use proptest::prelude::*;
use prost::Message;

fn party(role: Role, name: &str) -> PeerIdentity {
    PeerIdentity { role, name: name.into(), epoch: 1, link: 1, login: String::new() }
}

fn pair() -> (Session, Session) {
    (Session::new(party(Role::Planner, "p"), 0), Session::new(party(Role::Machine, "m"), 0))
}

/// Moves up to `most` bytes.
fn carry(now: i64, from: &mut Session, to: &mut Session, most: usize) {
    let n = from.pending_output().len().min(most);
    let bytes = from.pending_output()[..n].to_vec();
    from.record_written(n);
    to.receive(now, &bytes);
}

fn settle(now: i64, a: &mut Session, b: &mut Session) {
    while !a.pending_output().is_empty() || !b.pending_output().is_empty() {
        carry(now, a, b, usize::MAX);
        carry(now, b, a, usize::MAX);
    }
}

fn raw(body: Body) -> Vec<u8> {
    let frame = Frame::from(body);
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    frame.encode(&mut bytes).unwrap();
    bytes
}

fn hello(version: u32, role: i32, name: &str) -> Vec<u8> {
    raw(Body::Hello(Hello {
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

/// What a session says to a stranger's bytes.
fn said_to(bytes: &[&[u8]]) -> String {
    let mut s = Session::new(party(Role::Planner, "p"), 0);
    bytes.iter().for_each(|b| s.receive(0, b));
    std::iter::from_fn(|| s.next_event())
        .find_map(|e| match e {
            SessionEvent::Closed(why) => Some(why),
            _ => None,
        })
        .unwrap_or_else(|| "goes on".into())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(1), failure_persistence: None, ..ProptestConfig::default() })]

    /// However the stream cuts the bytes, frames come whole, once and in order, and none is lost to credits.
    #[test]
    fn frames_come_whole_and_in_order(
        sizes in proptest::collection::vec(0usize..60_000, 1..120),
        cuts in proptest::collection::vec(1usize..40_000, 1..40),
    ) {
        let (mut a, mut b) = pair();
        let mut want = Vec::new();
        for (i, size) in sizes.iter().enumerate() {
            let body = Body::Told(Told { json: "x".repeat(*size), more: i % 2 == 0 });
            prop_assert!(a.send(body.clone(), Some(i as u64)).is_ok());
            want.push(body);
        }
        let mut got = Vec::new();
        for cut in cuts.iter().cycle().take(100_000) {
            carry(0, &mut a, &mut b, *cut);
            carry(0, &mut b, &mut a, *cut);
            while let Some(event) = b.next_event() {
                if let SessionEvent::Frame(body) = event {
                    got.push(body);
                }
            }
            if got.len() == want.len() {
                break;
            }
        }
        prop_assert!(got == want, "{} of {} frames came", got.len(), want.len());
        prop_assert!(a.unsent_marks().is_empty());
    }

    /// Bytes of any kind end in a frame, a word of goodbye, or a wait for more: never in a panic.
    #[test]
    fn any_bytes_are_survived(bytes in proptest::collection::vec(any::<u8>(), 0..400), greets in any::<bool>()) {
        let mut s = Session::new(party(Role::Planner, "p"), 0);
        if greets {
            s.receive(0, &hello(1, Role::Machine as i32, "m"));
        }
        s.receive(0, &bytes);
        s.tick(1_000_000);
        while s.next_event().is_some() {}
    }
}

#[test]
fn what_is_no_frame_is_refused_with_what_was_found_and_expected() {
    let greet = hello(1, Role::Machine as i32, "m");
    let cases: [(&[&[u8]], &str); 8] = [
        (
            &[b"GET / HTTP/1.1\r\n\r\n"],
            "a peer without hello: a frame of over 1048576 bytes was announced; expected fewer",
        ),
        (&[&[0, 0, 0, 3, 9, 9, 9]], "that are no frame"),
        (&[&hello(2, Role::Machine as i32, "m")], "hello: version 2; expected 1"),
        (&[&hello(1, 77, "m")], "hello: no role or no name"),
        (&[&raw(Body::Probe(Probe { number: 1 }))], "a frame before the hello; expected a hello first"),
        (&[&greet, &greet], "m: a second hello; expected one a connection"),
        (&[&greet, &[0, 0, 0, 4, 0x9a, 0x7d, 0x01, 0x00]], "a frame of a kind that version 1 does not know"),
        (
            &[&greet, &raw(Body::Heartbeat(Heartbeat { seq: 0, seen: 0 }))],
            "heartbeat 0 after 0; expected a higher number",
        ),
    ];
    for (bytes, want) in cases {
        let said = said_to(bytes);
        assert!(said.contains(want), "said {said:?}, wanted {want:?}");
    }
}

#[test]
fn fields_that_are_not_known_are_passed_over() {
    // A probe with a field 99 beside its own.
    let mut probe = Probe { number: 7 }.encode_to_vec();
    probe.extend([0x98, 0x06, 0x05]);
    let mut frame = vec![0xa2, 0x01, probe.len() as u8];
    frame.extend(&probe);
    let mut bytes = (frame.len() as u32).to_be_bytes().to_vec();
    bytes.extend(&frame);
    let mut s = Session::new(party(Role::Machine, "m"), 0);
    s.receive(0, &hello(1, Role::Planner as i32, "p"));
    s.receive(0, &bytes);
    let events: Vec<SessionEvent> = std::iter::from_fn(|| s.next_event()).collect();
    assert_eq!(events.last(), Some(&SessionEvent::Frame(Body::Probe(Probe { number: 7 }))));
}

/// A peer that takes nothing in grants nothing: a bounded amount waits for it, then no more is taken.
#[test]
fn a_peer_that_takes_nothing_bounds_what_waits_for_it() {
    let (mut a, mut b) = pair();
    settle(0, &mut a, &mut b);
    let body = || Body::Told(Told { json: "x".repeat(100_000), more: false });
    let mut taken = 0;
    while a.send(body(), None).is_ok() {
        taken += 1;
        carry(0, &mut a, &mut b, usize::MAX);
        assert!(taken < 1000);
    }
    let bytes = taken * 100_000;
    assert!(
        bytes as u64 >= CREDIT_WINDOW_BYTES && bytes <= CREDIT_WINDOW_BYTES as usize + MAX_QUEUED_BYTES,
        "{bytes} bytes"
    );
    // Once it takes them in, all come.
    let mut got = 0;
    for _ in 0..1000 {
        while let Some(event) = b.next_event() {
            got += usize::from(matches!(event, SessionEvent::Frame(_)));
        }
        carry(0, &mut b, &mut a, usize::MAX);
        carry(0, &mut a, &mut b, usize::MAX);
    }
    assert_eq!(got, taken);
}

/// Only a frame of which no byte was handed over is unsent.
#[test]
fn a_frame_of_which_one_byte_left_may_have_come() {
    let (mut a, mut b) = pair();
    settle(0, &mut a, &mut b);
    for mark in 0..3 {
        a.send(Body::Probe(Probe { number: mark }), Some(mark)).unwrap();
    }
    let first = raw(Body::Probe(Probe { number: 0 })).len();
    a.record_written(first + 1);
    a.stream_ended("the wire broke");
    assert_eq!(a.unsent_marks(), [2]);
}

#[test]
fn silence_is_suspect_then_the_end_and_heartbeats_alone_keep_a_link_well() {
    let (mut a, mut b) = pair();
    settle(0, &mut a, &mut b);
    let mut now = 0;
    while now < 20 * DEFAULT_HEARTBEAT_US {
        now = a.next_tick_at().min(b.next_tick_at());
        a.tick(now);
        b.tick(now);
        settle(now, &mut a, &mut b);
    }
    let events: Vec<SessionEvent> = std::iter::from_fn(|| a.next_event()).collect();
    assert_eq!(events.len(), 1, "{events:?}");
    let mut told = Vec::new();
    while !a.is_closed() {
        now = a.next_tick_at();
        a.tick(now);
        told.extend(std::iter::from_fn(|| a.next_event()));
    }
    assert_eq!(told[0], SessionEvent::Health(LinkHealth::Suspect));
    assert!(
        matches!(&told[1], SessionEvent::Closed(why) if why.starts_with("nothing heard for")),
        "{told:?}"
    );
}
