//! Forged traffic that breaks each rule, and its neighbour that just keeps it.
use basaltpitch_agent::wire::{
    self, Answer, Body, Cancel, Entry, Hello, Inventory, Launch, LaunchId, List, Readiness, Refused, Submit,
    Yes,
};
use basaltpitch_invariants::{Framework, Incarnation, InvariantChecker, InvariantConfig, Location};
use std::collections::HashMap;

const S: i64 = 1_000_000;

fn auditor() -> InvariantChecker {
    let framework = |kind: &str, group: &str, spread: &str| Framework {
        repeats: kind.into(),
        group: group.into(),
        window_us: 6 * S,
        spread: spread.into(),
        max_together: 2,
        priority_weight: 1.0,
        latency_objective_us: S,
    };
    let frameworks = HashMap::from([
        ("small".to_owned(), framework("repeatable", "all", "none")),
        ("big".to_owned(), framework("keyed", "zone", "none")),
        ("once".to_owned(), framework("once-only", "all", "machine")),
        ("dear".to_owned(), Framework { priority_weight: 5.0, ..framework("repeatable", "all", "none") }),
    ]);
    let terms = InvariantConfig {
        answer_grace_us: S / 4,
        drain_grace_us: S,
        warm_up_us: 8 * S,
        offer_window_us: S,
        max_offers: 3,
        reorder_tolerance_us: 0,
        frameworks,
    };
    let mut a = InvariantChecker::new(terms);
    for (machine, zone) in [("m0", "a"), ("m1", "b"), ("m2", "a")] {
        a.set_location(machine, Location { zone: zone.into(), cell: 1, ..Location::default() });
    }
    a
}

fn life() -> Incarnation {
    ("p".into(), 1)
}

fn id(number: u64) -> Option<LaunchId> {
    Some(LaunchId { epoch: 1, number })
}

fn asks(a: &mut InvariantChecker, at: i64, framework: &str) {
    let submit = Submit {
        key: "k".into(),
        ask: 1,
        framework: framework.into(),
        tenant: String::new(),
        service: 1,
        cores: 1.0,
        memory: 1.0,
        runs_for_us: S,
        time_left_us: 9 * S,
    };
    a.client_sent(at, &life(), &submit);
}

fn launch(a: &mut InvariantChecker, at: i64, framework: &str, number: u64, machine: &str) {
    let launch = Launch {
        id: id(number),
        key: "k".into(),
        ask: 1,
        framework: framework.into(),
        tenant: String::new(),
        service: 1,
        cores: 1.0,
        memory: 1.0,
        runs_for_us: S,
        time_out_us: 3 * S,
        kind: String::new(),
        tenant_id: String::new(),
    };
    let conn = machine.bytes().map(u64::from).sum();
    a.machine_socket_read(at, machine, conn, &life(), &Body::Launch(launch), false);
}

fn answer(a: &mut InvariantChecker, at: i64, kind: i32) {
    let answer = Answer { key: "k".into(), ask: 1, kind, ..Answer::default() };
    a.client_received(at, &life(), &Body::Answer(answer));
}

fn refused(a: &mut InvariantChecker, at: i64, number: u64, machine: &str) {
    let refused = Refused { id: id(number), key: "k".into(), why: 1, report: None };
    a.machine_sent_and_delivered(at, machine, &life(), &Body::Refused(refused));
}

fn cancel(a: &mut InvariantChecker, at: i64, number: u64, machine: &str) {
    a.machine_socket_read(at, machine, 1, &life(), &Body::Cancel(Cancel { id: id(number) }), false);
}

/// The rules that were broken, by the end of the day.
fn broken(a: InvariantChecker) -> Vec<u8> {
    a.finish(100 * S).0.iter().map(|b| b.invariant).collect()
}

#[test]
fn rule_1_no_answer_two_answers_a_late_one_and_a_launch_after_it() {
    let mut a = auditor();
    asks(&mut a, 0, "small");
    assert_eq!(broken(a), [1], "no answer");

    let mut a = auditor();
    asks(&mut a, 0, "small");
    answer(&mut a, S, 2);
    answer(&mut a, 2 * S, 1);
    assert_eq!(broken(a), [1], "two answers that differ");

    for (at, want) in [(9 * S + S / 4, vec![]), (9 * S + S / 4 + 1, vec![1])] {
        let mut a = auditor();
        asks(&mut a, 0, "small");
        answer(&mut a, at, 2);
        assert_eq!(broken(a), want, "answered at {at}");
    }

    let mut a = auditor();
    asks(&mut a, 0, "small");
    answer(&mut a, S, 2);
    launch(&mut a, 2 * S, "small", 1, "m0");
    assert_eq!(broken(a), [1], "a launch after the answer");

    let mut a = auditor();
    asks(&mut a, 0, "small");
    a.planner_killed(S, "p", 1);
    assert_eq!(broken(a), [0u8; 0], "a killed planner owes nothing");

    let mut a = auditor();
    asks(&mut a, 0, "small");
    asks(&mut a, S, "small");
    answer(&mut a, S, 2);
    answer(&mut a, 2 * S, 2);
    assert_eq!(broken(a), [0u8; 0], "the same answer to the same asking, asked for twice");
}

#[test]
fn rule_2_two_launches_out() {
    for (first_ends, want) in [(S, vec![]), (3 * S, vec![2])] {
        let mut a = auditor();
        asks(&mut a, 0, "small");
        launch(&mut a, 0, "small", 1, "m0");
        launch(&mut a, 2 * S, "small", 2, "m1");
        refused(&mut a, first_ends, 1, "m0");
        answer(&mut a, 4 * S, 1);
        assert_eq!(broken(a), want, "the first ended at {first_ends}");
    }
}

#[test]
fn rule_2_a_keyed_repeat_outside_its_group_or_window() {
    for (at, machine, want) in [(4 * S, "m2", vec![]), (4 * S, "m1", vec![2]), (6 * S + 1, "m2", vec![2])] {
        let mut a = auditor();
        asks(&mut a, 0, "big");
        launch(&mut a, 0, "big", 1, "m0");
        cancel(&mut a, 3 * S, 1, "m0");
        launch(&mut a, at, "big", 2, machine);
        answer(&mut a, 8 * S, 1);
        assert_eq!(broken(a), want, "again on {machine} at {at}");
    }
    let mut a = auditor();
    asks(&mut a, 0, "big");
    launch(&mut a, 0, "big", 1, "m0");
    cancel(&mut a, 3 * S, 1, "m0");
    answer(&mut a, 4 * S, 2);
    assert_eq!(broken(a), [2], "declined, though a repeat may do harm");
}

#[test]
fn rule_2_a_once_only_repeat_needs_a_refusal() {
    for (proved, want) in [(true, vec![]), (false, vec![2])] {
        let mut a = auditor();
        asks(&mut a, 0, "once");
        launch(&mut a, 0, "once", 1, "m0");
        cancel(&mut a, S, 1, "m0");
        if proved {
            refused(&mut a, S, 1, "m0");
        }
        launch(&mut a, 2 * S, "once", 2, "m1");
        answer(&mut a, 3 * S, 1);
        assert_eq!(broken(a), want, "proved: {proved}");
    }
}

#[test]
fn rule_3_a_launch_past_the_grace() {
    let list = |readiness: Readiness| List {
        whole: false,
        stamp: 1,
        question: 0,
        entries: vec![Entry { machine: "m0".into(), readiness: readiness as i32, ..Entry::default() }],
    };
    for (at, back, want) in [(2 * S, false, vec![]), (2 * S + 1, false, vec![3]), (3 * S, true, vec![])] {
        let mut a = auditor();
        a.registry_sent(S, &life(), &list(Readiness::Draining));
        if back {
            a.registry_sent(S, &life(), &list(Readiness::Ready));
        }
        asks(&mut a, 0, "small");
        launch(&mut a, at, "small", 1, "m0");
        answer(&mut a, 4 * S, 1);
        assert_eq!(broken(a), want, "launched at {at}");
    }
}

#[test]
fn rule_4_more_offers_than_a_cold_machine_bears() {
    for (gap, want) in [(S / 3, vec![4]), (S / 2, vec![])] {
        let mut a = auditor();
        a.machine_started(0, "m0");
        asks(&mut a, 0, "small");
        for n in 0..4 {
            launch(&mut a, S + gap * n, "small", n as u64, "m0");
            refused(&mut a, S + gap * n, n as u64, "m0");
        }
        answer(&mut a, 5 * S, 1);
        assert_eq!(broken(a), want, "an offer each {gap} us");
    }
}

#[test]
fn rule_5_more_of_a_service_than_its_spread_allows() {
    for (machine, want) in [("m0", vec![5]), ("m1", vec![])] {
        let mut a = auditor();
        for n in 0..2 {
            launch(&mut a, S, "once", n, "m0");
            a.machine_sent_and_delivered(
                S,
                "m0",
                &life(),
                &Body::Yes(Yes { id: id(n), key: "k".into(), report: None }),
            );
        }
        launch(&mut a, 2 * S, "once", 3, machine);
        assert_eq!(broken(a), want, "the third on {machine}");
    }
}

/// A name's older holder, epoch 1, and its successor, epoch 2.
fn greeted(a: &mut InvariantChecker, at: i64, machine: &str, epoch: u64, taken: bool) {
    let of: Incarnation = ("p".into(), epoch);
    a.machine_received(at, machine, &of, &Body::Hello(Hello { epoch, ..Hello::default() }));
    if taken {
        a.machine_sent_and_delivered(at + 1, machine, &of, &Body::Inventory(Inventory::default()));
    }
}

#[test]
fn rule_7_a_machine_takes_no_older_holder_in_after_a_newer_one() {
    for (first, second, taken, want) in
        [(1, 2, true, vec![]), (2, 1, false, vec![]), (2, 1, true, vec![7]), (2, 2, true, vec![])]
    {
        let mut a = auditor();
        greeted(&mut a, S, "m0", first, true);
        greeted(&mut a, 2 * S, "m0", second, taken);
        assert_eq!(broken(a), want, "epoch {first}, then {second}, taken in: {taken}");
    }
    let mut a = auditor();
    greeted(&mut a, S, "m0", 2, true);
    greeted(&mut a, 2 * S, "m1", 1, true);
    assert_eq!(broken(a), [0u8; 0], "another machine, which has not heard of the newer one");
}

#[test]
fn rule_7_what_a_stalled_machine_has_not_heard_is_nothing_to_it() {
    // The successor's hello is on the socket long before the machine hears it.
    let hello = |epoch| Body::Hello(Hello { epoch, ..Hello::default() });
    let (older, newer): (Incarnation, Incarnation) = (("p".into(), 1), ("p".into(), 2));
    for (heard_newer_at, want) in [(4 * S + 2, vec![]), (2 * S, vec![7])] {
        let mut a = auditor();
        a.machine_socket_read(S, "m0", 1, &older, &hello(1), false);
        a.machine_socket_read(2 * S, "m0", 2, &newer, &hello(2), false);
        if heard_newer_at < 4 * S {
            a.machine_received(heard_newer_at, "m0", &newer, &hello(2));
        }
        a.machine_received(4 * S, "m0", &older, &hello(1));
        a.machine_sent(4 * S + 1, "m0", &older, &Body::Inventory(Inventory::default()));
        if heard_newer_at > 4 * S {
            a.machine_received(heard_newer_at, "m0", &newer, &hello(2));
        }
        // Held back once more, the inventory says nothing of when the machine took the planner in.
        a.machine_frame_delivered(9 * S, "m0", &older, &Body::Inventory(Inventory::default()));
        assert_eq!(broken(a), want, "the newer hello heard at {heard_newer_at}");
    }
}

#[test]
fn rule_2_a_planner_that_launches_again_before_it_can_know_of_the_refusal() {
    for (told_at, want) in [(2 * S, vec![]), (4 * S, vec![2])] {
        let mut a = auditor();
        asks(&mut a, 0, "small");
        launch(&mut a, S, "small", 1, "m0");
        let refused = Body::Refused(Refused { id: id(1), key: "k".into(), why: 1, report: None });
        a.machine_sent(S, "m0", &life(), &refused);
        if told_at < 3 * S {
            a.machine_frame_delivered(told_at, "m0", &life(), &refused);
        }
        launch(&mut a, 3 * S, "small", 2, "m1");
        if told_at > 3 * S {
            a.machine_frame_delivered(told_at, "m0", &life(), &refused);
        }
        answer(&mut a, 5 * S, 1);
        assert_eq!(broken(a), want, "refused at {S}, told at {told_at}");
    }
}

#[test]
fn rule_3_a_drain_that_is_held_back_is_not_known() {
    for (told_at, want) in [(6 * S, vec![]), (2 * S, vec![3])] {
        let mut a = auditor();
        asks(&mut a, 0, "small");
        let drain = Body::Drain(wire::Drain { machine: "m0".into(), on: true, ..wire::Drain::default() });
        a.machine_sent(2 * S, "m0", &life(), &drain);
        if told_at < 5 * S {
            a.machine_frame_delivered(told_at, "m0", &life(), &drain);
        }
        launch(&mut a, 5 * S, "small", 1, "m0");
        answer(&mut a, 6 * S, 1);
        assert_eq!(broken(a), want, "said at {}, told at {told_at}", 2 * S);
    }
}

#[test]
fn rule_7_what_an_older_holder_sends_after_its_successor_acted_takes_no_effect() {
    for (at, accepted, want) in [(2 * S, true, vec![]), (3 * S, false, vec![]), (3 * S, true, vec![7])] {
        let mut a = auditor();
        let (task, new) = (
            wire::Launch { id: Some(LaunchId { epoch: 2, number: 7 }), ..wire::Launch::default() },
            ("p".into(), 2),
        );
        let acts = |a: &mut InvariantChecker| {
            a.machine_socket_read(2 * S, "m0", 2, &new, &Body::Launch(task.clone()), false)
        };
        if at > 2 * S {
            acts(&mut a);
        }
        launch(&mut a, at, "small", 1, "m1");
        if at <= 2 * S {
            acts(&mut a);
        }
        if accepted {
            // The successor's link is the newest by now: the word goes there.
            a.machine_sent_and_delivered(
                4 * S,
                "m1",
                &new,
                &Body::Yes(Yes { id: id(1), key: "k".into(), report: None }),
            );
        }
        assert_eq!(broken(a), want, "sent at {at}, accepted: {accepted}");
    }
}

#[test]
fn rule_10_a_returned_hall_is_launched_on_step_by_step() {
    // Of the two machines of zone a: none at first, then one, then both.
    for (at, machines, want) in [
        (S, vec!["m0"], vec![10]),
        (3 * S, vec!["m0"], vec![]),
        (3 * S, vec!["m0", "m2"], vec![10]),
        (9 * S, vec!["m0", "m2"], vec![]),
        (S, vec!["m1"], vec![]),
    ] {
        let mut a = auditor();
        a.zone_recovered(0, "a");
        for (n, machine) in machines.iter().enumerate() {
            launch(&mut a, at, "small", n as u64, machine);
            refused(&mut a, at, n as u64, machine);
        }
        assert_eq!(broken(a), want, "{machines:?} at {at}");
    }
}

#[test]
fn rule_11_nothing_of_less_worth_is_placed_while_more_worth_is_declined() {
    // By the time between askings, and what becomes of the dear ones: all declined, or one of them placed.
    let cases = [
        (S / 4, "room", None, vec![11]),
        (S / 4, "room", Some(7), vec![]),
        (S / 4, "a launch may still run", None, vec![]),
        // Too few within the age of the view.
        (S, "room", None, vec![]),
    ];
    for (gap, reason, placed, want) in cases {
        let mut a = auditor();
        for n in 0..16 {
            for (framework, kind) in [("dear", if placed == Some(n) { 1 } else { 2 }), ("small", 1)] {
                let (at, key) = (n * gap, format!("{framework}/{n}"));
                let submit = Submit {
                    key: key.clone(),
                    ask: 1,
                    framework: framework.into(),
                    cores: 1.0,
                    time_left_us: 9 * S,
                    ..Submit::default()
                };
                a.client_sent(at, &life(), &submit);
                let reason = reason.to_owned();
                let answer = Answer { key, ask: 1, kind, reason, ..Answer::default() };
                a.client_received(at + 1, &life(), &Body::Answer(answer));
            }
        }
        let (breaches, tally) = a.finish(100 * S);
        let rules: Vec<u8> = breaches.iter().map(|b| b.invariant).collect();
        assert_eq!(rules, want, "{gap} us, {reason}, placed {placed:?}: {breaches:?}");
        let dear = if placed.is_some() { 5.0 } else { 0.0 };
        let worth = (tally.weight_requested, tally.weight_placed, tally.weight_in_objective, tally.missed);
        assert_eq!(worth, (96.0, 16.0 + dear, 16.0 + dear, 0));
    }
}

#[test]
fn a_stopped_planner_may_answer_late_and_must_not_answer_twice() {
    for (kinds, want) in [(vec![2], vec![]), (vec![2, 1], vec![1])] {
        let mut a = auditor();
        a.planner_stopped(0, "p", 1);
        asks(&mut a, 0, "small");
        a.planner_resumed("p", 1);
        kinds.iter().for_each(|&kind| answer(&mut a, 20 * S, kind));
        assert_eq!(broken(a), want, "answers {kinds:?}");
    }
}

#[test]
fn rule_8_a_roll_drains_so_many_at_once_and_none_twice() {
    // By machine and word: drained, let go, or restarted.
    let cases = [
        (vec![("m0", "on"), ("m0", "on"), ("m0", "off"), ("m2", "on")], vec![]),
        (vec![("m0", "on"), ("m2", "on")], vec![8]),
        (vec![("m0", "on"), ("m0", "anew"), ("m2", "on"), ("m2", "off"), ("m2", "off")], vec![]),
        (vec![("m0", "on"), ("m0", "off"), ("m0", "on")], vec![8]),
        (vec![("m0", "on"), ("m0", "anew"), ("m0", "on")], vec![8]),
    ];
    for (words, want) in cases {
        let mut a = auditor();
        a.rolling_restart_started(0, 1, "a");
        for (n, &(machine, word)) in words.iter().enumerate() {
            let at = S * (n as i64 + 1);
            match word {
                "anew" => a.machine_started(at, machine),
                word => a.rolling_restart_drained(at, machine, word == "on"),
            }
        }
        let anew = words.iter().filter(|w| w.1 == "anew").count();
        assert_eq!(a.machines_not_restarted().len(), 2 - anew, "two of zone a, {words:?}");
        assert_eq!(broken(a), want, "{words:?}");
    }
}
