//! The period of heartbeats: said in the hello, the longer one for both sides, and silence by it. A made-up
//! clock.
use basaltpitch_agent::link_health::{HealthMonitor, LinkHealth};
use basaltpitch_agent::session::{
    LinkConfig, PeerIdentity, Session, SessionEvent, CREDIT_WINDOW_BYTES, DEFAULT_HEARTBEAT_US,
    HEARTBEAT_RANGE_US,
};
use basaltpitch_agent::traffic::FrameKind;
use basaltpitch_agent::wire::{Body, Frame, Heartbeat, Hello, Role};
use prost::Message;

fn side(role: Role, heartbeat_us: i64) -> (Session, LinkConfig) {
    let links = LinkConfig { heartbeat_us, ..LinkConfig::default() };
    let me = PeerIdentity { role, name: "side".into(), epoch: 1, link: 1, login: String::new() };
    (Session::with_config(links.clone(), me, 0), links)
}

fn carry(now: i64, from: &mut Session, to: &mut Session) {
    let bytes = from.pending_output().to_vec();
    from.record_written(bytes.len());
    to.receive(now, &bytes);
}

fn events(s: &mut Session) -> Vec<SessionEvent> {
    std::iter::from_fn(|| s.next_event()).collect()
}

fn raw(body: Body) -> Vec<u8> {
    let frame = Frame::from(body);
    let mut bytes = (frame.encoded_len() as u32).to_be_bytes().to_vec();
    frame.encode(&mut bytes).unwrap();
    bytes
}

fn hello(heartbeat_us: i64) -> Vec<u8> {
    raw(Body::Hello(Hello {
        version: 1,
        role: Role::Machine as i32,
        name: "m".into(),
        credit: CREDIT_WINDOW_BYTES,
        heartbeat_us,
        ..Hello::default()
    }))
}

/// Whoever says which period: both beat by the longer one, are well, and notice silence by it.
#[test]
fn both_sides_go_by_the_longer_period_and_notice_silence_by_it() {
    for (ours, theirs) in [
        (DEFAULT_HEARTBEAT_US, DEFAULT_HEARTBEAT_US),
        (1_000_000, DEFAULT_HEARTBEAT_US),
        (2_000_000, DEFAULT_HEARTBEAT_US),
        (DEFAULT_HEARTBEAT_US, 1_000_000),
    ] {
        let period = ours.max(theirs);
        let (mut a, of_a) = side(Role::Planner, ours);
        let (mut b, of_b) = side(Role::Machine, theirs);
        let mut now = 0;
        let until = 40 * period + period / 10;
        while now < until {
            a.tick(now);
            b.tick(now);
            while !a.pending_output().is_empty() || !b.pending_output().is_empty() {
                carry(now, &mut a, &mut b);
                carry(now, &mut b, &mut a);
            }
            now = a.next_tick_at().min(b.next_tick_at());
        }
        for (s, links) in [(&mut a, &of_a), (&mut b, &of_b)] {
            let heard = events(s);
            assert!(matches!(&heard[..], [SessionEvent::Up(_)]), "{heard:?}");
            let beats = links.traffic.count(FrameKind::Heartbeats);
            assert!((40..=41).contains(&beats.frames_out), "{} beats in 40 periods", beats.frames_out);
            // The smallest frame: its length, its kind, nothing in it.
            assert_eq!(beats.bytes_out, 6 * beats.frames_out);
        }
        // The last beat was at 40 periods. One and a half periods to ten are suspect, three times that ends it.
        let last = 40 * period;
        let (mut suspect_at, mut ended_at) = (0, 0);
        while ended_at == 0 {
            now = a.next_tick_at();
            a.tick(now);
            for event in events(&mut a) {
                match event {
                    SessionEvent::Health(LinkHealth::Suspect) => suspect_at = now,
                    SessionEvent::Closed(why) => {
                        assert!(why.starts_with("nothing heard for"), "{why}");
                        ended_at = now;
                    }
                    other => panic!("{other:?}"),
                }
            }
            assert!(now < last + 31 * period);
        }
        let (suspect, ended) = (suspect_at - last, ended_at - last);
        // Even beats: the bounds are the narrowest that there are.
        assert!((3 * period / 2..2 * period).contains(&suspect), "suspect after {suspect} us of {period}");
        assert!((9 * period / 2..6 * period).contains(&ended), "ended after {ended} us of {period}");
    }
}

/// An older build says no period, beats with numbers each 250 ms, and judges silence by that.
#[test]
fn with_an_older_build_a_link_goes_by_its_period_and_numbers() {
    let (mut a, _) = side(Role::Planner, 2_000_000);
    a.receive(0, &hello(0));
    let (mut health, mut now, mut seq, mut heard) = (HealthMonitor::new(0, DEFAULT_HEARTBEAT_US), 0, 0, 0);
    while now < 40 * DEFAULT_HEARTBEAT_US {
        if now == seq as i64 * DEFAULT_HEARTBEAT_US {
            seq += 1;
            a.receive(now, &raw(Body::Heartbeat(Heartbeat { seq, seen: heard })));
        }
        a.tick(now);
        let mut bytes = a.pending_output().to_vec();
        a.record_written(bytes.len());
        while !bytes.is_empty() {
            let size = u32::from_be_bytes(bytes[..4].try_into().unwrap()) as usize;
            let frame = Frame::decode(&bytes[4..4 + size]).unwrap();
            bytes.drain(..4 + size);
            if let Some(Body::Heartbeat(beat)) = frame.body {
                assert!(beat.seq > heard, "heartbeat {} after {heard}", beat.seq);
                heard = beat.seq;
                health.record_frame(now, true);
            }
        }
        assert_eq!(health.judge(now), LinkHealth::Healthy, "at {now} us");
        now = a.next_tick_at().min(seq as i64 * DEFAULT_HEARTBEAT_US);
    }
    assert!(heard >= 40, "{heard} beats in 40 periods");
    let told = events(&mut a);
    assert!(matches!(&told[..], [SessionEvent::Up(_)]), "{told:?}");
    // And one without a number is refused, as it was.
    a.receive(now, &raw(Body::Heartbeat(Heartbeat::default())));
    let told = events(&mut a);
    let refused =
        |e: &SessionEvent| matches!(e, SessionEvent::Closed(why) if why.contains("expected a higher number"));
    assert!(told.iter().any(refused), "{told:?}");
}

#[test]
fn a_period_out_of_bounds_is_refused_with_what_was_found_and_expected() {
    let said = |heartbeat_us: i64| {
        let (mut a, _) = side(Role::Planner, DEFAULT_HEARTBEAT_US);
        a.receive(0, &hello(heartbeat_us));
        events(&mut a)
    };
    for period in [*HEARTBEAT_RANGE_US.start(), *HEARTBEAT_RANGE_US.end()] {
        assert!(matches!(&said(period)[..], [SessionEvent::Up(_)]), "{period} us");
    }
    for period in [-1, HEARTBEAT_RANGE_US.start() - 1, HEARTBEAT_RANGE_US.end() + 1, i64::MAX] {
        let want = format!("hello: heartbeat_us of {period}; expected 10000 to 60000000, or none");
        let said = said(period);
        assert!(matches!(&said[..], [SessionEvent::Closed(why)] if why.ends_with(&want)), "{said:?}");
    }
}
