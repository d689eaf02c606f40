//! A recording replays to the last byte, or the first call that differs is named.
mod net;
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_planner::recording::{replay, ReplayOutcome};
use basaltpitch_planner::state::{Identity, Output, PlannerState};
use std::io::Write;
use std::sync::mpsc::{channel, Sender};

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

/// A planner's first seconds with a list and tasks, recorded.
fn recorded() -> String {
    let (sink, pieces) = channel();
    let who = Identity { name: "p".into(), epoch: 1, seed: 3, registry_address: "r".into() };
    let mut core = PlannerState::new(who, net::given(), 50_000_000, Some(Box::new(Sink(sink))));
    let entry = |n: u32| wire::Entry {
        machine: format!("m{n}"),
        address: "a".into(),
        kind: "std".into(),
        zone: "hall-a".into(),
        started_us: 1,
        ..wire::Entry::default()
    };
    core.registry_up(50_000_000);
    let list = wire::List { whole: true, stamp: 1, entries: (0..3).map(entry).collect(), question: 0 };
    core.registry_frame(50_000_000, Body::List(list)).unwrap();
    core.advance_clock(50_000_000);
    while let Some(out) = core.next_output() {
        if let Output::Dial { peer, link, name, .. } = out {
            if core.machine_up(50_001_000, peer, link, &name, 1) {
                core.machine_frame(50_002_000, peer, link, Body::Inventory(wire::Inventory::default()))
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
        core.client_frame(50_010_000 + n as i64, 1, Body::Submit(submit)).unwrap();
    }
    core.advance_clock(65_000_000);
    drop(core);
    String::from_utf8(pieces.iter().flatten().collect()).unwrap()
}

#[test]
fn a_recording_replays_and_so_does_one_that_was_cut_off() {
    let text = recorded();
    let ReplayOutcome::Same { events: told, calls } = replay(text.as_bytes()).unwrap() else {
        panic!("differs")
    };
    assert!(told > 40 && calls > 40, "{told} told, {calls} calls");
    let last = text.trim_end().rfind('\n').unwrap() + 1;
    for end in [last, last + 5, text.len() - 2] {
        assert!(matches!(replay(&text.as_bytes()[..end]), Ok(ReplayOutcome::Same { .. })), "cut at {end}");
    }
}

#[test]
fn the_first_call_that_differs_is_named() {
    let text = recorded();
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
        same => panic!("{same:?}"),
    }
}

#[test]
fn what_is_no_recording_is_named_with_its_line() {
    let text = recorded();
    let broken = text.replacen("\"told\"", "\"tald\"", 1);
    let wrong = [
        ("", "found the end of the file; expected # basaltpitch recording 1"),
        ("hello\n", "line 1: found \"hello\"; expected \"# basaltpitch recording 1\""),
        ("# basaltpitch recording 1\n{}\n", "line 2: found missing field `seed`"),
        (&broken, "expected an event of the module, or a call"),
    ];
    for (text, want) in wrong {
        let said = replay(text.as_bytes()).unwrap_err().to_string();
        assert!(said.contains(want), "{said}");
    }
}
