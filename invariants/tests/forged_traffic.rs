//! Forged traffic that violates each invariant, and its neighbour that just keeps it.
use basaltpitch_agent::wire::{
    self, Answer, Body, Cancel, Entry, Hello, Inventory, Launch, LaunchId, List, Readiness, Refused, Submit,
    Yes,
};
use basaltpitch_invariants::{Framework, Incarnation, InvariantChecker, InvariantConfig, Location};
use std::collections::HashMap;

const SECOND: i64 = 1_000_000;

fn new_checker() -> InvariantChecker {
    let framework = |kind: &str, group: &str, spread: &str| Framework {
        repeats: kind.into(),
        group: group.into(),
        window_us: 6 * SECOND,
        spread: spread.into(),
        max_together: 2,
        priority_weight: 1.0,
        latency_objective_us: SECOND,
    };
    let frameworks = HashMap::from([
        ("small".to_owned(), framework("repeatable", "all", "none")),
        ("big".to_owned(), framework("keyed", "zone", "none")),
        ("once".to_owned(), framework("once-only", "all", "machine")),
        ("dear".to_owned(), Framework { priority_weight: 5.0, ..framework("repeatable", "all", "none") }),
    ]);
    let config = InvariantConfig {
        answer_grace_us: SECOND / 4,
        drain_grace_us: SECOND,
        warm_up_us: 8 * SECOND,
        offer_window_us: SECOND,
        max_offers: 3,
        reorder_tolerance_us: 0,
        frameworks,
    };
    let mut checker = InvariantChecker::new(config);
    for (machine, zone) in [("m0", "a"), ("m1", "b"), ("m2", "a")] {
        checker.set_location(machine, Location { zone: zone.into(), cell: 1, ..Location::default() });
    }
    checker
}

fn planner() -> Incarnation {
    ("p".into(), 1)
}

fn id(number: u64) -> Option<LaunchId> {
    Some(LaunchId { epoch: 1, number })
}

fn request(checker: &mut InvariantChecker, at: i64, framework: &str) {
    let submit = Submit {
        key: "k".into(),
        ask: 1,
        framework: framework.into(),
        tenant: String::new(),
        service: 1,
        cores: 1.0,
        memory: 1.0,
        runs_for_us: SECOND,
        time_left_us: 9 * SECOND,
    };
    checker.client_sent(at, &planner(), &submit);
}

fn launch(checker: &mut InvariantChecker, at: i64, framework: &str, number: u64, machine: &str) {
    let launch = Launch {
        id: id(number),
        key: "k".into(),
        ask: 1,
        framework: framework.into(),
        tenant: String::new(),
        service: 1,
        cores: 1.0,
        memory: 1.0,
        runs_for_us: SECOND,
        time_out_us: 3 * SECOND,
        kind: String::new(),
        tenant_id: String::new(),
    };
    let conn = machine.bytes().map(u64::from).sum();
    checker.machine_socket_read(at, machine, conn, &planner(), &Body::Launch(launch), false);
}

fn answer(checker: &mut InvariantChecker, at: i64, kind: i32) {
    let answer = Answer { key: "k".into(), ask: 1, kind, ..Answer::default() };
    checker.client_received(at, &planner(), &Body::Answer(answer));
}

fn refused(checker: &mut InvariantChecker, at: i64, number: u64, machine: &str) {
    let refused = Refused { id: id(number), key: "k".into(), why: 1, report: None };
    checker.machine_sent_and_delivered(at, machine, &planner(), &Body::Refused(refused));
}

fn cancel(checker: &mut InvariantChecker, at: i64, number: u64, machine: &str) {
    checker.machine_socket_read(at, machine, 1, &planner(), &Body::Cancel(Cancel { id: id(number) }), false);
}

/// The invariants that were violated, by the end.
fn violated(checker: InvariantChecker) -> Vec<u8> {
    checker.finish(100 * SECOND).0.iter().map(|violation| violation.invariant).collect()
}

#[test]
fn invariant_1_no_answer_two_answers_a_late_one_and_a_launch_after_it() {
    let mut checker = new_checker();
    request(&mut checker, 0, "small");
    assert_eq!(violated(checker), [1], "no answer");

    let mut checker = new_checker();
    request(&mut checker, 0, "small");
    answer(&mut checker, SECOND, 2);
    answer(&mut checker, 2 * SECOND, 1);
    assert_eq!(violated(checker), [1], "two answers that differ");

    for (at, want) in [(9 * SECOND + SECOND / 4, vec![]), (9 * SECOND + SECOND / 4 + 1, vec![1])] {
        let mut checker = new_checker();
        request(&mut checker, 0, "small");
        answer(&mut checker, at, 2);
        assert_eq!(violated(checker), want, "answered at {at}");
    }

    let mut checker = new_checker();
    request(&mut checker, 0, "small");
    answer(&mut checker, SECOND, 2);
    launch(&mut checker, 2 * SECOND, "small", 1, "m0");
    assert_eq!(violated(checker), [1], "a launch after the answer");

    let mut checker = new_checker();
    request(&mut checker, 0, "small");
    checker.planner_killed(SECOND, "p", 1);
    assert_eq!(violated(checker), [0u8; 0], "a killed planner owes nothing");

    let mut checker = new_checker();
    request(&mut checker, 0, "small");
    request(&mut checker, SECOND, "small");
    answer(&mut checker, SECOND, 2);
    answer(&mut checker, 2 * SECOND, 2);
    assert_eq!(violated(checker), [0u8; 0], "the same answer to the same asking, asked for twice");
}

#[test]
fn invariant_2_two_launches_out() {
    for (first_ends, want) in [(SECOND, vec![]), (3 * SECOND, vec![2])] {
        let mut checker = new_checker();
        request(&mut checker, 0, "small");
        launch(&mut checker, 0, "small", 1, "m0");
        launch(&mut checker, 2 * SECOND, "small", 2, "m1");
        refused(&mut checker, first_ends, 1, "m0");
        answer(&mut checker, 4 * SECOND, 1);
        assert_eq!(violated(checker), want, "the first ended at {first_ends}");
    }
}

#[test]
fn invariant_2_a_keyed_repeat_outside_its_group_or_window() {
    for (at, machine, want) in
        [(4 * SECOND, "m2", vec![]), (4 * SECOND, "m1", vec![2]), (6 * SECOND + 1, "m2", vec![2])]
    {
        let mut checker = new_checker();
        request(&mut checker, 0, "big");
        launch(&mut checker, 0, "big", 1, "m0");
        cancel(&mut checker, 3 * SECOND, 1, "m0");
        launch(&mut checker, at, "big", 2, machine);
        answer(&mut checker, 8 * SECOND, 1);
        assert_eq!(violated(checker), want, "again on {machine} at {at}");
    }
    let mut checker = new_checker();
    request(&mut checker, 0, "big");
    launch(&mut checker, 0, "big", 1, "m0");
    cancel(&mut checker, 3 * SECOND, 1, "m0");
    answer(&mut checker, 4 * SECOND, 2);
    assert_eq!(violated(checker), [2], "declined, though a repeat may do harm");
}

#[test]
fn invariant_2_a_once_only_repeat_needs_a_refusal() {
    for (proved, want) in [(true, vec![]), (false, vec![2])] {
        let mut checker = new_checker();
        request(&mut checker, 0, "once");
        launch(&mut checker, 0, "once", 1, "m0");
        cancel(&mut checker, SECOND, 1, "m0");
        if proved {
            refused(&mut checker, SECOND, 1, "m0");
        }
        launch(&mut checker, 2 * SECOND, "once", 2, "m1");
        answer(&mut checker, 3 * SECOND, 1);
        assert_eq!(violated(checker), want, "proved: {proved}");
    }
}

#[test]
fn invariant_3_a_launch_past_the_grace() {
    let list = |readiness: Readiness| List {
        whole: false,
        stamp: 1,
        question: 0,
        entries: vec![Entry { machine: "m0".into(), readiness: readiness as i32, ..Entry::default() }],
    };
    for (at, back, want) in
        [(2 * SECOND, false, vec![]), (2 * SECOND + 1, false, vec![3]), (3 * SECOND, true, vec![])]
    {
        let mut checker = new_checker();
        checker.registry_sent(SECOND, &planner(), &list(Readiness::Draining));
        if back {
            checker.registry_sent(SECOND, &planner(), &list(Readiness::Ready));
        }
        request(&mut checker, 0, "small");
        launch(&mut checker, at, "small", 1, "m0");
        answer(&mut checker, 4 * SECOND, 1);
        assert_eq!(violated(checker), want, "launched at {at}");
    }
}

#[test]
fn invariant_4_more_offers_than_a_cold_machine_bears() {
    for (gap, want) in [(SECOND / 3, vec![4]), (SECOND / 2, vec![])] {
        let mut checker = new_checker();
        checker.machine_started(0, "m0");
        request(&mut checker, 0, "small");
        for n in 0..4 {
            launch(&mut checker, SECOND + gap * n, "small", n as u64, "m0");
            refused(&mut checker, SECOND + gap * n, n as u64, "m0");
        }
        answer(&mut checker, 5 * SECOND, 1);
        assert_eq!(violated(checker), want, "an offer each {gap} us");
    }
}

#[test]
fn invariant_5_more_of_a_service_than_its_spread_allows() {
    for (machine, want) in [("m0", vec![5]), ("m1", vec![])] {
        let mut checker = new_checker();
        for n in 0..2 {
            launch(&mut checker, SECOND, "once", n, "m0");
            checker.machine_sent_and_delivered(
                SECOND,
                "m0",
                &planner(),
                &Body::Yes(Yes { id: id(n), key: "k".into(), report: None }),
            );
        }
        launch(&mut checker, 2 * SECOND, "once", 3, machine);
        assert_eq!(violated(checker), want, "the third on {machine}");
    }
}

/// A name's older holder, epoch 1, and its successor, epoch 2.
fn greeted(checker: &mut InvariantChecker, at: i64, machine: &str, epoch: u64, taken: bool) {
    let of: Incarnation = ("p".into(), epoch);
    checker.machine_received(at, machine, &of, &Body::Hello(Hello { epoch, ..Hello::default() }));
    if taken {
        checker.machine_sent_and_delivered(at + 1, machine, &of, &Body::Inventory(Inventory::default()));
    }
}

#[test]
fn invariant_7_a_machine_takes_no_older_holder_in_after_a_newer_one() {
    for (first, second, taken, want) in
        [(1, 2, true, vec![]), (2, 1, false, vec![]), (2, 1, true, vec![7]), (2, 2, true, vec![])]
    {
        let mut checker = new_checker();
        greeted(&mut checker, SECOND, "m0", first, true);
        greeted(&mut checker, 2 * SECOND, "m0", second, taken);
        assert_eq!(violated(checker), want, "epoch {first}, then {second}, taken in: {taken}");
    }
    let mut checker = new_checker();
    greeted(&mut checker, SECOND, "m0", 2, true);
    greeted(&mut checker, 2 * SECOND, "m1", 1, true);
    assert_eq!(violated(checker), [0u8; 0], "another machine, which has not heard of the newer one");
}

#[test]
fn invariant_7_what_a_stalled_machine_has_not_received_is_nothing_to_it() {
    // The successor's hello is on the socket long before the machine hears it.
    let hello = |epoch| Body::Hello(Hello { epoch, ..Hello::default() });
    let (older, newer): (Incarnation, Incarnation) = (("p".into(), 1), ("p".into(), 2));
    for (received_newer_at, want) in [(4 * SECOND + 2, vec![]), (2 * SECOND, vec![7])] {
        let mut checker = new_checker();
        checker.machine_socket_read(SECOND, "m0", 1, &older, &hello(1), false);
        checker.machine_socket_read(2 * SECOND, "m0", 2, &newer, &hello(2), false);
        if received_newer_at < 4 * SECOND {
            checker.machine_received(received_newer_at, "m0", &newer, &hello(2));
        }
        checker.machine_received(4 * SECOND, "m0", &older, &hello(1));
        checker.machine_sent(4 * SECOND + 1, "m0", &older, &Body::Inventory(Inventory::default()));
        if received_newer_at > 4 * SECOND {
            checker.machine_received(received_newer_at, "m0", &newer, &hello(2));
        }
        // Held back once more, the inventory says nothing of when the machine took the planner in.
        checker.machine_frame_delivered(9 * SECOND, "m0", &older, &Body::Inventory(Inventory::default()));
        assert_eq!(violated(checker), want, "the newer hello heard at {received_newer_at}");
    }
}

#[test]
fn invariant_2_a_planner_that_launches_again_before_it_can_know_of_the_refusal() {
    for (delivered_at, want) in [(2 * SECOND, vec![]), (4 * SECOND, vec![2])] {
        let mut checker = new_checker();
        request(&mut checker, 0, "small");
        launch(&mut checker, SECOND, "small", 1, "m0");
        let refused = Body::Refused(Refused { id: id(1), key: "k".into(), why: 1, report: None });
        checker.machine_sent(SECOND, "m0", &planner(), &refused);
        if delivered_at < 3 * SECOND {
            checker.machine_frame_delivered(delivered_at, "m0", &planner(), &refused);
        }
        launch(&mut checker, 3 * SECOND, "small", 2, "m1");
        if delivered_at > 3 * SECOND {
            checker.machine_frame_delivered(delivered_at, "m0", &planner(), &refused);
        }
        answer(&mut checker, 5 * SECOND, 1);
        assert_eq!(violated(checker), want, "refused at {SECOND}, told at {delivered_at}");
    }
}

#[test]
fn invariant_3_a_drain_that_is_held_back_is_not_known() {
    for (delivered_at, want) in [(6 * SECOND, vec![]), (2 * SECOND, vec![3])] {
        let mut checker = new_checker();
        request(&mut checker, 0, "small");
        let drain = Body::Drain(wire::Drain { machine: "m0".into(), on: true, ..wire::Drain::default() });
        checker.machine_sent(2 * SECOND, "m0", &planner(), &drain);
        if delivered_at < 5 * SECOND {
            checker.machine_frame_delivered(delivered_at, "m0", &planner(), &drain);
        }
        launch(&mut checker, 5 * SECOND, "small", 1, "m0");
        answer(&mut checker, 6 * SECOND, 1);
        assert_eq!(violated(checker), want, "said at {}, told at {delivered_at}", 2 * SECOND);
    }
}

#[test]
fn invariant_7_what_an_older_holder_sends_after_its_successor_acted_takes_no_effect() {
    for (at, accepted, want) in
        [(2 * SECOND, true, vec![]), (3 * SECOND, false, vec![]), (3 * SECOND, true, vec![7])]
    {
        let mut checker = new_checker();
        let (task, new) = (
            wire::Launch { id: Some(LaunchId { epoch: 2, number: 7 }), ..wire::Launch::default() },
            ("p".into(), 2),
        );
        let acts = |checker: &mut InvariantChecker| {
            checker.machine_socket_read(2 * SECOND, "m0", 2, &new, &Body::Launch(task.clone()), false)
        };
        if at > 2 * SECOND {
            acts(&mut checker);
        }
        launch(&mut checker, at, "small", 1, "m1");
        if at <= 2 * SECOND {
            acts(&mut checker);
        }
        if accepted {
            // The successor's link is the newest by now: the word goes there.
            checker.machine_sent_and_delivered(
                4 * SECOND,
                "m1",
                &new,
                &Body::Yes(Yes { id: id(1), key: "k".into(), report: None }),
            );
        }
        assert_eq!(violated(checker), want, "sent at {at}, accepted: {accepted}");
    }
}

#[test]
fn invariant_10_a_recovered_zone_is_launched_on_step_by_step() {
    // Of the two machines of zone a: none at first, then one, then both.
    for (at, machines, want) in [
        (SECOND, vec!["m0"], vec![10]),
        (3 * SECOND, vec!["m0"], vec![]),
        (3 * SECOND, vec!["m0", "m2"], vec![10]),
        (9 * SECOND, vec!["m0", "m2"], vec![]),
        (SECOND, vec!["m1"], vec![]),
    ] {
        let mut checker = new_checker();
        checker.zone_recovered(0, "a");
        for (n, machine) in machines.iter().enumerate() {
            launch(&mut checker, at, "small", n as u64, machine);
            refused(&mut checker, at, n as u64, machine);
        }
        assert_eq!(violated(checker), want, "{machines:?} at {at}");
    }
}

#[test]
fn invariant_11_nothing_of_less_priority_is_placed_while_higher_priority_is_declined() {
    // By the time between askings, and what becomes of the dear ones: all declined, or one of them placed.
    let cases = [
        (SECOND / 4, "room", None, vec![11]),
        (SECOND / 4, "room", Some(7), vec![]),
        (SECOND / 4, "a launch may still run", None, vec![]),
        // Too few within the age of the view.
        (SECOND, "room", None, vec![]),
    ];
    for (gap, reason, placed, want) in cases {
        let mut checker = new_checker();
        for n in 0..16 {
            for (framework, kind) in [("dear", if placed == Some(n) { 1 } else { 2 }), ("small", 1)] {
                let (at, key) = (n * gap, format!("{framework}/{n}"));
                let submit = Submit {
                    key: key.clone(),
                    ask: 1,
                    framework: framework.into(),
                    cores: 1.0,
                    time_left_us: 9 * SECOND,
                    ..Submit::default()
                };
                checker.client_sent(at, &planner(), &submit);
                let reason = reason.to_owned();
                let answer = Answer { key, ask: 1, kind, reason, ..Answer::default() };
                checker.client_received(at + 1, &planner(), &Body::Answer(answer));
            }
        }
        let (violations, tally) = checker.finish(100 * SECOND);
        let invariants: Vec<u8> = violations.iter().map(|violation| violation.invariant).collect();
        assert_eq!(invariants, want, "{gap} us, {reason}, placed {placed:?}: {violations:?}");
        let dear = if placed.is_some() { 5.0 } else { 0.0 };
        let worth = (tally.weight_requested, tally.weight_placed, tally.weight_in_objective, tally.missed);
        assert_eq!(worth, (96.0, 16.0 + dear, 16.0 + dear, 0));
    }
}

#[test]
fn a_stopped_planner_may_answer_late_and_must_not_answer_twice() {
    for (kinds, want) in [(vec![2], vec![]), (vec![2, 1], vec![1])] {
        let mut checker = new_checker();
        checker.planner_stopped(0, "p", 1);
        request(&mut checker, 0, "small");
        checker.planner_resumed("p", 1);
        kinds.iter().for_each(|&kind| answer(&mut checker, 20 * SECOND, kind));
        assert_eq!(violated(checker), want, "answers {kinds:?}");
    }
}

#[test]
fn invariant_8_a_rolling_restart_drains_so_many_at_once_and_none_twice() {
    // By machine and word: drained, let go, or restarted.
    let cases = [
        (vec![("m0", "on"), ("m0", "on"), ("m0", "off"), ("m2", "on")], vec![]),
        (vec![("m0", "on"), ("m2", "on")], vec![8]),
        (vec![("m0", "on"), ("m0", "anew"), ("m2", "on"), ("m2", "off"), ("m2", "off")], vec![]),
        (vec![("m0", "on"), ("m0", "off"), ("m0", "on")], vec![8]),
        (vec![("m0", "on"), ("m0", "anew"), ("m0", "on")], vec![8]),
    ];
    for (words, want) in cases {
        let mut checker = new_checker();
        checker.rolling_restart_started(0, 1, "a");
        for (n, &(machine, word)) in words.iter().enumerate() {
            let at = SECOND * (n as i64 + 1);
            match word {
                "anew" => checker.machine_started(at, machine),
                word => checker.rolling_restart_drained(at, machine, word == "on"),
            }
        }
        let anew = words.iter().filter(|w| w.1 == "anew").count();
        assert_eq!(checker.machines_not_restarted().len(), 2 - anew, "two of zone a, {words:?}");
        assert_eq!(violated(checker), want, "{words:?}");
    }
}
