//! Forged traffic for each invariant: cases that violate it, and similar cases that just satisfy
//! it.
use basaltpitch_agent::wire::{
    self, Answer, Body, Cancel, Entry, Hello, Inventory, Launch, LaunchId, List, Readiness, Refused, Submit,
    Yes,
};
use basaltpitch_invariants::{Framework, Incarnation, InvariantChecker, InvariantConfig, Location};
use std::collections::HashMap;

/// One second in microseconds.
const SECOND: i64 = 1_000_000;

fn new_checker() -> InvariantChecker {
    let framework = |kind: &str, group: &str, spread: &str| Framework {
        idempotency: kind.into(),
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
    let connection = machine.bytes().map(u64::from).sum();
    checker.machine_socket_read(at, machine, connection, &planner(), &Body::Launch(launch), false);
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

/// Ends the scenario and returns the numbers of the invariants that were violated.
fn violated(checker: InvariantChecker) -> Vec<u8> {
    checker.finish(100 * SECOND).0.iter().map(|violation| violation.invariant).collect()
}

#[test]
fn invariant_1_reports_missing_contradictory_and_late_answers_and_launches_after_an_answer() {
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
    assert_eq!(violated(checker), [0u8; 0], "a killed planner need not answer");

    let mut checker = new_checker();
    request(&mut checker, 0, "small");
    request(&mut checker, SECOND, "small");
    answer(&mut checker, SECOND, 2);
    answer(&mut checker, 2 * SECOND, 2);
    assert_eq!(violated(checker), [0u8; 0], "the same answer to each of two submits of a request");
}

#[test]
fn invariant_2_reports_two_launches_at_the_same_time() {
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
fn invariant_2_reports_keyed_repeat_outside_its_group_or_window() {
    for (at, machine, want) in
        [(4 * SECOND, "m2", vec![]), (4 * SECOND, "m1", vec![2]), (6 * SECOND + 1, "m2", vec![2])]
    {
        let mut checker = new_checker();
        request(&mut checker, 0, "big");
        launch(&mut checker, 0, "big", 1, "m0");
        cancel(&mut checker, 3 * SECOND, 1, "m0");
        launch(&mut checker, at, "big", 2, machine);
        answer(&mut checker, 8 * SECOND, 1);
        assert_eq!(violated(checker), want, "repeated on {machine} at {at}");
    }
    let mut checker = new_checker();
    request(&mut checker, 0, "big");
    launch(&mut checker, 0, "big", 1, "m0");
    cancel(&mut checker, 3 * SECOND, 1, "m0");
    answer(&mut checker, 4 * SECOND, 2);
    assert_eq!(violated(checker), [2], "declined, though the cancelled launch may have run");
}

#[test]
fn invariant_2_requires_a_refusal_before_a_once_only_repeat() {
    for (was_refused, want) in [(true, vec![]), (false, vec![2])] {
        let mut checker = new_checker();
        request(&mut checker, 0, "once");
        launch(&mut checker, 0, "once", 1, "m0");
        cancel(&mut checker, SECOND, 1, "m0");
        if was_refused {
            refused(&mut checker, SECOND, 1, "m0");
        }
        launch(&mut checker, 2 * SECOND, "once", 2, "m1");
        answer(&mut checker, 3 * SECOND, 1);
        assert_eq!(violated(checker), want, "first launch refused: {was_refused}");
    }
}

#[test]
fn invariant_3_reports_launch_after_the_grace_unless_the_machine_is_ready_again() {
    let list = |readiness: Readiness| List {
        whole: false,
        stamp: 1,
        question: 0,
        entries: vec![Entry { machine: "m0".into(), readiness: readiness as i32, ..Entry::default() }],
    };
    for (at, ready_again, want) in
        [(2 * SECOND, false, vec![]), (2 * SECOND + 1, false, vec![3]), (3 * SECOND, true, vec![])]
    {
        let mut checker = new_checker();
        checker.registry_sent(SECOND, &planner(), &list(Readiness::Draining));
        if ready_again {
            checker.registry_sent(SECOND, &planner(), &list(Readiness::Ready));
        }
        request(&mut checker, 0, "small");
        launch(&mut checker, at, "small", 1, "m0");
        answer(&mut checker, 4 * SECOND, 1);
        assert_eq!(violated(checker), want, "launched at {at}, ready again: {ready_again}");
    }
}

#[test]
fn invariant_4_reports_too_many_launches_on_a_machine_that_is_warming_up() {
    for (gap, want) in [(SECOND / 3, vec![4]), (SECOND / 2, vec![])] {
        let mut checker = new_checker();
        checker.machine_started(0, "m0");
        request(&mut checker, 0, "small");
        for n in 0..4 {
            launch(&mut checker, SECOND + gap * n, "small", n as u64, "m0");
            refused(&mut checker, SECOND + gap * n, n as u64, "m0");
        }
        answer(&mut checker, 5 * SECOND, 1);
        assert_eq!(violated(checker), want, "a launch every {gap} us");
    }
}

#[test]
fn invariant_5_reports_more_tasks_of_a_service_than_its_spread_allows() {
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
        assert_eq!(violated(checker), want, "two tasks on m0, the third on {machine}");
    }
}

/// A machine receives the hello of planner `p` under an epoch and, if `accepted`, replies with its
/// inventory, by which it accepts the planner.
fn greeted(checker: &mut InvariantChecker, at: i64, machine: &str, epoch: u64, accepted: bool) {
    let planner: Incarnation = ("p".into(), epoch);
    checker.machine_received(at, machine, &planner, &Body::Hello(Hello { epoch, ..Hello::default() }));
    if accepted {
        checker.machine_sent_and_delivered(at + 1, machine, &planner, &Body::Inventory(Inventory::default()));
    }
}

#[test]
fn invariant_7_reports_machine_that_accepts_an_older_epoch_after_a_newer_one() {
    for (first, second, accepted, want) in
        [(1, 2, true, vec![]), (2, 1, false, vec![]), (2, 1, true, vec![7]), (2, 2, true, vec![])]
    {
        let mut checker = new_checker();
        greeted(&mut checker, SECOND, "m0", first, true);
        greeted(&mut checker, 2 * SECOND, "m0", second, accepted);
        assert_eq!(violated(checker), want, "epoch {first}, then {second}, accepted: {accepted}");
    }
    let mut checker = new_checker();
    greeted(&mut checker, SECOND, "m0", 2, true);
    greeted(&mut checker, 2 * SECOND, "m1", 1, true);
    assert_eq!(violated(checker), [0u8; 0], "m1 has received no hello of the newer epoch");
}

#[test]
fn invariant_7_counts_a_newer_hello_once_the_machine_received_it() {
    // The machine is stalled: the successor's hello is on its socket long before the machine reads
    // it.
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
        // The delivery of the inventory is delayed, too, and must not count as the time of
        // acceptance.
        checker.machine_frame_delivered(9 * SECOND, "m0", &older, &Body::Inventory(Inventory::default()));
        assert_eq!(violated(checker), want, "the newer hello received at {received_newer_at}");
    }
}

#[test]
fn invariant_2_reports_repeat_before_the_refusal_was_delivered() {
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
        assert_eq!(violated(checker), want, "refused at {SECOND}, delivered at {delivered_at}");
    }
}

#[test]
fn invariant_3_counts_a_drain_once_it_was_delivered() {
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
        assert_eq!(violated(checker), want, "sent at {}, delivered at {delivered_at}", 2 * SECOND);
    }
}

#[test]
fn invariant_7_reports_accepted_launch_of_an_older_epoch_after_its_successor_launched() {
    for (at, accepted, want) in
        [(2 * SECOND, true, vec![]), (3 * SECOND, false, vec![]), (3 * SECOND, true, vec![7])]
    {
        let mut checker = new_checker();
        let (task, successor) = (
            wire::Launch { id: Some(LaunchId { epoch: 2, number: 7 }), ..wire::Launch::default() },
            ("p".into(), 2),
        );
        let successor_launches = |checker: &mut InvariantChecker| {
            checker.machine_socket_read(2 * SECOND, "m0", 2, &successor, &Body::Launch(task.clone()), false)
        };
        if at > 2 * SECOND {
            successor_launches(&mut checker);
        }
        launch(&mut checker, at, "small", 1, "m1");
        if at <= 2 * SECOND {
            successor_launches(&mut checker);
        }
        if accepted {
            // The machine replies on its newest link, which is the successor's.
            checker.machine_sent_and_delivered(
                4 * SECOND,
                "m1",
                &successor,
                &Body::Yes(Yes { id: id(1), key: "k".into(), report: None }),
            );
        }
        assert_eq!(violated(checker), want, "sent at {at}, accepted: {accepted}");
    }
}

#[test]
fn invariant_10_reports_launches_on_more_machines_than_the_recovery_step_allows() {
    // Zone a has two machines, m0 and m2: the steps allow none, then one, then both.
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
fn invariant_11_reports_placed_low_priority_while_high_priority_is_declined() {
    // Time between requests, the reason for declining those of the framework `dear`, the index of
    // the one that is placed (if any), and the invariants violated.
    let cases = [
        (SECOND / 4, "room", None, vec![11]),
        (SECOND / 4, "room", Some(7), vec![]),
        (SECOND / 4, "a launch may still run", None, vec![]),
        // Too few requests within the window.
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
        let (violations, totals) = checker.finish(100 * SECOND);
        let invariants: Vec<u8> = violations.iter().map(|violation| violation.invariant).collect();
        assert_eq!(invariants, want, "{gap} us, {reason}, placed {placed:?}: {violations:?}");
        let placed_weight = if placed.is_some() { 5.0 } else { 0.0 };
        let weights =
            (totals.weight_requested, totals.weight_placed, totals.weight_in_objective, totals.missed);
        assert_eq!(weights, (96.0, 16.0 + placed_weight, 16.0 + placed_weight, 0));
    }
}

#[test]
fn stopped_planner_may_answer_late_but_not_twice() {
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
fn invariant_8_reports_too_many_drained_machines_and_machines_drained_twice() {
    // Machines, each with what happens to it: it drains (on), accepts tasks again (off), or
    // restarts (anew).
    let cases = [
        (vec![("m0", "on"), ("m0", "on"), ("m0", "off"), ("m2", "on")], vec![]),
        (vec![("m0", "on"), ("m2", "on")], vec![8]),
        (vec![("m0", "on"), ("m0", "anew"), ("m2", "on"), ("m2", "off"), ("m2", "off")], vec![]),
        (vec![("m0", "on"), ("m0", "off"), ("m0", "on")], vec![8]),
        (vec![("m0", "on"), ("m0", "anew"), ("m0", "on")], vec![8]),
    ];
    for (steps, want) in cases {
        let mut checker = new_checker();
        checker.rolling_restart_started(0, 1, "a");
        for (n, &(machine, step)) in steps.iter().enumerate() {
            let at = SECOND * (n as i64 + 1);
            match step {
                "anew" => checker.machine_started(at, machine),
                step => checker.rolling_restart_drained(at, machine, step == "on"),
            }
        }
        let restarted = steps.iter().filter(|step| step.1 == "anew").count();
        assert_eq!(
            checker.machines_not_restarted().len(),
            2 - restarted,
            "two machines in zone a, {steps:?}"
        );
        assert_eq!(violated(checker), want, "{steps:?}");
    }
}
