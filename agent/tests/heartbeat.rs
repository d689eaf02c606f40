//! Heartbeat periods: each side sends its own in the hello, both use the longer one, and the bounds
//! of the failure detector follow it. The clock is simulated.
use basaltpitch_agent::link_health::{HealthMonitor, LinkHealth};
use basaltpitch_agent::session::{
    LinkConfig, PeerIdentity, Session, SessionEvent, CREDIT_WINDOW_BYTES, DEFAULT_HEARTBEAT_US,
    HEARTBEAT_RANGE_US,
};
use basaltpitch_agent::traffic::FrameKind;
use basaltpitch_agent::wire::{Body, Frame, Heartbeat, Hello, Role};
use prost::Message;

fn new_session(role: Role, heartbeat_us: i64) -> (Session, LinkConfig) {
    let config = LinkConfig { heartbeat_us, ..LinkConfig::default() };
    let identity = PeerIdentity { role, name: "side".into(), epoch: 1, link: 1, login: String::new() };
    (Session::with_config(config.clone(), identity, 0), config)
}

fn transfer_output(now: i64, from: &mut Session, to: &mut Session) {
    let bytes = from.pending_output().to_vec();
    from.record_written(bytes.len());
    to.receive(now, &bytes);
}

fn events(session: &mut Session) -> Vec<SessionEvent> {
    std::iter::from_fn(|| session.next_event()).collect()
}

fn encoded_frame(body: Body) -> Vec<u8> {
    let frame = Frame::from(body);
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    frame.encode(&mut bytes).unwrap();
    bytes
}

fn hello(heartbeat_us: i64) -> Vec<u8> {
    encoded_frame(Body::Hello(Hello {
        version: 1,
        role: Role::Machine as i32,
        name: "m".into(),
        credit: CREDIT_WINDOW_BYTES,
        heartbeat_us,
        ..Hello::default()
    }))
}

/// Guards against sides that use different periods: the one with the shorter period would take the
/// other's normal gaps for a failure.
#[test]
fn uses_the_longer_period_on_both_sides_for_heartbeats_and_failure_detection() {
    for (ours, theirs) in [
        (DEFAULT_HEARTBEAT_US, DEFAULT_HEARTBEAT_US),
        (1_000_000, DEFAULT_HEARTBEAT_US),
        (2_000_000, DEFAULT_HEARTBEAT_US),
        (DEFAULT_HEARTBEAT_US, 1_000_000),
    ] {
        let period = ours.max(theirs);
        let (mut a, config_a) = new_session(Role::Planner, ours);
        let (mut b, config_b) = new_session(Role::Machine, theirs);
        let mut now = 0;
        let until = 40 * period + period / 10;
        while now < until {
            a.tick(now);
            b.tick(now);
            while !a.pending_output().is_empty() || !b.pending_output().is_empty() {
                transfer_output(now, &mut a, &mut b);
                transfer_output(now, &mut b, &mut a);
            }
            now = a.next_tick_at().min(b.next_tick_at());
        }
        for (session, config) in [(&mut a, &config_a), (&mut b, &config_b)] {
            let received = events(session);
            assert!(matches!(&received[..], [SessionEvent::Up(_)]), "{received:?}");
            let heartbeats = config.traffic.count(FrameKind::Heartbeats);
            assert!(
                (40..=41).contains(&heartbeats.frames_out),
                "{} heartbeats in 40 periods",
                heartbeats.frames_out
            );
            // The smallest frame: four bytes of length, one of kind and one of body length, no
            // fields.
            assert_eq!(heartbeats.bytes_out, 6 * heartbeats.frames_out);
        }
        // The last heartbeat was sent after 40 periods. The link is suspect after a silence of 1.5
        // to 10 periods and lost after three times as long.
        let last_heartbeat = 40 * period;
        let (mut suspect_at, mut ended_at) = (0, 0);
        while ended_at == 0 {
            now = a.next_tick_at();
            a.tick(now);
            for event in events(&mut a) {
                match event {
                    SessionEvent::Health(LinkHealth::Suspect) => suspect_at = now,
                    SessionEvent::Closed(why) => {
                        assert!(why.starts_with("no frame received for"), "{why}");
                        ended_at = now;
                    }
                    other => panic!("{other:?}"),
                }
            }
            assert!(now < last_heartbeat + 31 * period);
        }
        let (suspect, ended) = (suspect_at - last_heartbeat, ended_at - last_heartbeat);
        // Without jitter of the heartbeats, the bounds are the narrowest possible.
        assert!((3 * period / 2..2 * period).contains(&suspect), "suspect after {suspect} us of {period}");
        assert!((9 * period / 2..6 * period).contains(&ended), "ended after {ended} us of {period}");
    }
}

/// An older build sends no period in its hello, numbers its heartbeats, sends one every 250 ms and
/// expects the same of its peer. Guards against an upgrade in which the builds take each other for
/// failed.
#[test]
fn uses_the_default_period_and_numbered_heartbeats_with_an_older_build() {
    let (mut a, _) = new_session(Role::Planner, 2_000_000);
    a.receive(0, &hello(0));
    let (mut health, mut now, mut seq, mut highest_received) =
        (HealthMonitor::new(0, DEFAULT_HEARTBEAT_US), 0, 0, 0);
    while now < 40 * DEFAULT_HEARTBEAT_US {
        if now == seq as i64 * DEFAULT_HEARTBEAT_US {
            seq += 1;
            a.receive(now, &encoded_frame(Body::Heartbeat(Heartbeat { seq, seen: highest_received })));
        }
        a.tick(now);
        let mut bytes = a.pending_output().to_vec();
        a.record_written(bytes.len());
        while !bytes.is_empty() {
            let size = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
            let frame = Frame::decode(&bytes[4..4 + size]).unwrap();
            bytes.drain(..4 + size);
            if let Some(Body::Heartbeat(heartbeat)) = frame.body {
                assert!(
                    heartbeat.seq > highest_received,
                    "heartbeat {} after {highest_received}",
                    heartbeat.seq
                );
                highest_received = heartbeat.seq;
                health.record_frame(now, true);
            }
        }
        assert_eq!(health.update_state(now), LinkHealth::Healthy, "at {now} us");
        now = a.next_tick_at().min(seq as i64 * DEFAULT_HEARTBEAT_US);
    }
    assert!(highest_received >= 40, "{highest_received} heartbeats in 40 periods");
    let received = events(&mut a);
    assert!(matches!(&received[..], [SessionEvent::Up(_)]), "{received:?}");
    // A heartbeat without a number is rejected, as in the older build.
    a.receive(now, &encoded_frame(Body::Heartbeat(Heartbeat::default())));
    let received = events(&mut a);
    let is_rejection =
        |e: &SessionEvent| matches!(e, SessionEvent::Closed(why) if why.contains("expected a higher number"));
    assert!(received.iter().any(is_rejection), "{received:?}");
}

#[test]
fn rejects_period_out_of_range_with_found_and_expected_values() {
    let events_after_hello = |heartbeat_us: i64| {
        let (mut a, _) = new_session(Role::Planner, DEFAULT_HEARTBEAT_US);
        a.receive(0, &hello(heartbeat_us));
        events(&mut a)
    };
    for period in [*HEARTBEAT_RANGE_US.start(), *HEARTBEAT_RANGE_US.end()] {
        assert!(matches!(&events_after_hello(period)[..], [SessionEvent::Up(_)]), "{period} us");
    }
    for period in [-1, HEARTBEAT_RANGE_US.start() - 1, HEARTBEAT_RANGE_US.end() + 1, i64::MAX] {
        let expected = format!("hello: heartbeat_us of {period}; expected 10000 to 60000000, or none");
        let received = events_after_hello(period);
        assert!(
            matches!(&received[..], [SessionEvent::Closed(why)] if why.ends_with(&expected)),
            "{received:?}"
        );
    }
}
