//! Recordings: a recording replays up to its last byte, and the first call that differs is named.
mod net;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_planner::recording::{replay, ReplayOutcome};
use basaltpitch_planner::state::{Identity, Output, PlannerState};
use std::io::Write;
use std::sync::mpsc::{channel, Sender};

/// A writer that passes on what is written.
struct Sink(Sender<Vec<u8>>);

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }
    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the recording of a planner's first seconds, with a machine list and tasks.
fn recording_text() -> String {
    let (sink, written) = channel();
    let identity = Identity { name: "p".into(), epoch: 1, seed: 3, registry_address: "r".into() };
    let mut planner =
        PlannerState::new(identity, net::placement_settings(), 50_000_000, Some(Box::new(Sink(sink))));
    let entry = |n: u32| wire::Entry {
        machine: format!("m{n}"),
        address: "a".into(),
        kind: "std".into(),
        zone: "hall-a".into(),
        started_us: 1,
        ..wire::Entry::default()
    };
    planner.registry_up(50_000_000);
    let list = wire::List { whole: true, stamp: 1, entries: (0..3).map(entry).collect(), question: 0 };
    planner.registry_frame(50_000_000, Body::List(list)).unwrap();
    planner.advance_clock(50_000_000);
    while let Some(output) = planner.next_output() {
        if let Output::Dial { peer, link, name, .. } = output {
            if planner.machine_up(50_001_000, peer, link, &name, 1) {
                planner
                    .machine_frame(50_002_000, peer, link, Body::Inventory(wire::Inventory::default()))
                    .unwrap();
            }
        }
    }
    for n in 0..20 {
        let submit = wire::Submit {
            key: format!("k{n}"),
            ask: 1,
            framework: [net::SMALL, net::BIG, net::ONCE][n % 3].into(),
            service: n as u64 / 2,
            cores: 1.0 + n as f64 / 7.0,
            memory: 2.0,
            time_left_us: 6_000_000,
            ..wire::Submit::default()
        };
        planner.client_frame(50_010_000 + n as i64, 1, Body::Submit(submit)).unwrap();
    }
    planner.advance_clock(65_000_000);
    drop(planner);
    String::from_utf8(written.iter().flatten().collect()).unwrap()
}

#[test]
fn replays_complete_and_truncated_recordings() {
    let text = recording_text();
    let ReplayOutcome::Same { events, calls } = replay(text.as_bytes()).unwrap() else {
        panic!("the replay differs from the recording")
    };
    assert!(events > 40 && calls > 40, "{events} events, {calls} calls");
    let last_line = text.trim_end().rfind('\n').unwrap() + 1;
    for end in [last_line, last_line + 5, text.len() - 2] {
        assert!(
            matches!(replay(&text.as_bytes()[..end]), Ok(ReplayOutcome::Same { .. })),
            "truncated at byte {end}"
        );
    }
}

#[test]
fn names_first_call_that_differs() {
    let text = recording_text();
    let launch = text.lines().position(|l| l.starts_with("> launch")).expect(&text);
    let forged: Vec<String> = text
        .lines()
        .enumerate()
        .map(|(i, l)| if i == launch { "> launch 99 on 99 for 1".into() } else { l.to_owned() })
        .collect();
    match replay(forged.join("\n").as_bytes()).unwrap() {
        ReplayOutcome::Differs { line, recorded, now } => {
            assert_eq!((line, recorded.as_str()), (launch + 1, "> launch 99 on 99 for 1"));
            assert!(now.starts_with("> launch "), "{now}");
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn rejects_invalid_recording_and_names_line() {
    let text = recording_text();
    let broken = text.replacen("\"told\"", "\"tald\"", 1);
    let cases = [
        ("", "found the end of the file; expected # basaltpitch recording 1"),
        ("hello\n", "line 1: found \"hello\"; expected \"# basaltpitch recording 1\""),
        ("# basaltpitch recording 1\n{}\n", "line 2: found missing field `seed`"),
        (&broken, "expected an event of the module, or a call"),
    ];
    for (text, expected) in cases {
        let message = replay(text.as_bytes()).unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
    }
}
