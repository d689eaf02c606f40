//! Faults that the agent protocol must handle, one per test. Each test compares a short trace of
//! requests, launches and answers.
mod net;
use basaltpitch_agent::wire::EndedHow;
use expect_test::{expect, Expect};
use net::{SimulatedNetwork, BIG, ONCE, SMALL};

/// Checks the trace, and that no invariant was violated. Machines with even numbers are in hall-a,
/// those with odd numbers in hall-b.
fn check(mut net: SimulatedNetwork, expected: Expect) {
    let log = std::mem::take(&mut net.log);
    expected.assert_eq(&log);
    assert!(net.duplicate_run.is_none(), "{:?}", net.duplicate_run);
    assert_eq!(net.finish().0, []);
}

/// Returns the machine in the trace's last line about a launch.
fn last_launch(net: &SimulatedNetwork) -> usize {
    let line = net.log.lines().rev().find(|l| l.contains("launch")).expect("a line about a launch");
    line.rsplit('m').next().and_then(|n| n.parse().ok()).expect("the number of a machine")
}

/// A link fails while a keyed launch is in flight: the machine accepts the launch, and its reply is
/// lost with the link. The planner must not launch the task again before it has the machine's
/// inventory, which shows that the task runs.
#[test]
fn finds_keyed_launch_in_flight_when_link_failed() {
    let mut net = SimulatedNetwork::new(4);
    net.submit(BIG, "tally", 1, 9_000_000);
    let m = last_launch(&net);
    let link = net.newest_link(m).unwrap();
    net.machine_reads(m, link);
    net.decide_next_launch(m);
    net.machines[m].reachable = false;
    net.cut_link(m, link, 0);
    net.advance(2_000_000);
    net.machines[m].reachable = true;
    net.advance(1_000_000);
    net.run_rounds(400);
    check(
        net,
        expect![[r#"
            40 ms  tally request 1
            40 ms  launch 1 of tally on m2
            40 ms  link 3 to m2 is cut, 0 launches unsent
            3041 ms  tally request 1: placed on m2
        "#]],
    );
}

/// As above, but the link stays down until the launch times out. A second launch may go only to the
/// same zone, and its attempt becomes the task's. The first attempt, which runs too, is stopped
/// once its machine is linked again.
#[test]
fn repeats_unconfirmed_keyed_launch_only_in_its_zone() {
    let mut net = SimulatedNetwork::new(4);
    net.submit(BIG, "tally", 1, 9_000_000);
    let m = last_launch(&net);
    let link = net.newest_link(m).unwrap();
    net.machine_reads(m, link);
    net.decide_next_launch(m);
    net.machines[m].reachable = false;
    net.cut_link(m, link, 0);
    net.advance(5_000_000);
    net.run_rounds(20);
    net.machines[m].reachable = true;
    net.advance(6_000_000);
    net.run_rounds(400);
    check(
        net,
        expect![[r#"
            40 ms  tally request 1
            40 ms  launch 1 of tally on m2
            40 ms  link 3 to m2 is cut, 0 launches unsent
            4540 ms  launch 2 of tally on m0
            5042 ms  tally request 1: placed on m0
        "#]],
    );
}

/// A once-only launch whose link failed may have run, so it must not be repeated on a guess. Here
/// the inventory proves that it did not run, and the task is launched elsewhere.
#[test]
fn repeats_once_only_launch_after_inventory_proves_it_did_not_run() {
    let mut net = SimulatedNetwork::new(2);
    net.submit(ONCE, "close", 1, 8_000_000);
    let m = last_launch(&net);
    // The planner sent the frame, but the machine never reads it.
    let link = net.newest_link(m).unwrap();
    net.machines[m].links.get_mut(&link).unwrap().machine_closed = true;
    net.cut_link(m, link, 0);
    net.advance(1_000_000);
    net.run_rounds(40);
    check(
        net,
        expect![[r#"
            40 ms  close request 1
            40 ms  launch 1 of close on m0
            40 ms  link 1 to m0 is cut, 0 launches unsent
            1041 ms  launch 2 of close on m1
            1042 ms  close request 1: placed on m1
        "#]],
    );
}

/// Without an inventory, a once-only launch may still run after its request is aborted. Further
/// requests for the task must not launch it again until its state is known.
#[test]
fn aborts_unconfirmed_once_only_launch_and_does_not_repeat_it() {
    let mut net = SimulatedNetwork::new(2);
    net.submit(ONCE, "close", 1, 8_000_000);
    let m = last_launch(&net);
    net.machine_reads(m, net.newest_link(m).unwrap());
    net.machines[m].reachable = false;
    net.cut_link(m, net.newest_link(m).unwrap(), 0);
    net.advance(5_000_000);
    net.submit(ONCE, "close", 2, 8_000_000);
    net.advance(3_500_000);
    net.submit(ONCE, "close", 3, 8_000_000);
    // The launch was in the machine's queue all the time and runs now; the next request must get
    // this placement.
    net.decide_next_launch(m);
    net.machines[m].reachable = true;
    net.advance(5_000_000);
    net.run_rounds(400);
    net.submit(ONCE, "close", 4, 8_000_000);
    check(
        net,
        expect![[r#"
            40 ms  close request 1
            40 ms  launch 1 of close on m0
            40 ms  link 1 to m0 is cut, 0 launches unsent
            4040 ms  close request 1: aborted (a launch may have run)
            5040 ms  close request 2
            5040 ms  close request 2: declined (a launch may still run; ask again later)
            8540 ms  close request 3
            8540 ms  close request 3: aborted (a launch may have run)
            13940 ms  close request 4
            13940 ms  close request 4: placed on m0
        "#]],
    );
}

/// A machine starts to drain between a launch and its reply. The machine refuses the launch, and
/// the task must be launched elsewhere at once.
#[test]
fn launches_elsewhere_when_machine_drains_before_its_reply() {
    let mut net = SimulatedNetwork::new(2);
    net.submit(SMALL, "page", 1, 6_000_000);
    let m = last_launch(&net);
    net.machine_reads(m, net.newest_link(m).unwrap());
    net.drain_machine(m, true);
    net.run_rounds(5);
    net.submit(SMALL, "page2", 1, 6_000_000);
    net.run_rounds(5);
    check(
        net,
        expect![[r#"
                 40 ms  page request 1
                 40 ms  launch 1 of page on m1
                 40 ms  m1 draining: true
                 42 ms  launch 2 of page on m0
                 44 ms  page request 1: placed on m0
                 45 ms  page2 request 1
                 45 ms  launch 3 of page2 on m0
                 47 ms  page2 request 1: placed on m0
        "#]],
    );
}

/// A machine starts to drain while its link is down. Its inventory reports the drain, and nothing
/// may be launched there afterwards.
#[test]
fn launches_nothing_on_machine_that_drained_while_disconnected() {
    let mut net = SimulatedNetwork::new(2);
    net.cut_link(0, net.newest_link(0).unwrap(), 0);
    net.drain_machine(0, true);
    net.advance(1_000_000);
    net.run_rounds(20);
    for i in 0..3 {
        net.submit(SMALL, &format!("page{i}"), 1, 6_000_000);
    }
    net.run_rounds(5);
    check(
        net,
        expect![[r#"
            40 ms  link 1 to m0 is cut, 0 launches unsent
            40 ms  m0 draining: true
            1060 ms  page0 request 1
            1060 ms  launch 1 of page0 on m1
            1060 ms  page1 request 1
            1060 ms  launch 2 of page1 on m1
            1060 ms  page2 request 1
            1060 ms  launch 3 of page2 on m1
            1062 ms  page0 request 1: placed on m1
            1063 ms  page1 request 1: placed on m1
            1064 ms  page2 request 1: placed on m1
        "#]],
    );
}

/// A planner is killed while launches are in flight. Its successor learns the running tasks from
/// the inventories. A client that requests such a task again must get its placement, without a
/// launch.
#[test]
fn successor_of_killed_planner_finds_running_tasks() {
    let mut net = SimulatedNetwork::new(2);
    net.submit(BIG, "tally", 1, 9_000_000);
    net.submit(ONCE, "close", 1, 8_000_000);
    net.run_rounds(3);
    net.submit(BIG, "late", 1, 9_000_000);
    let m = last_launch(&net);
    net.machine_reads(m, net.newest_link(m).unwrap());
    net.kill_planner();
    net.run_rounds(40);
    net.submit(BIG, "tally", 2, 9_000_000);
    net.submit(ONCE, "close", 2, 8_000_000);
    net.submit(BIG, "late", 2, 9_000_000);
    net.run_rounds(5);
    check(
        net,
        expect![[r#"
                 40 ms  tally request 1
                 40 ms  launch 1 of tally on m0
                 40 ms  close request 1
                 40 ms  launch 2 of close on m0
                 42 ms  tally request 1: placed on m0
                 43 ms  close request 1: placed on m0
                 43 ms  late request 1
                 43 ms  launch 3 of late on m0
                 43 ms  the planner is killed
                 83 ms  tally request 2
                 83 ms  tally request 2: placed on m0
                 83 ms  close request 2
                 83 ms  close request 2: placed on m0
                 83 ms  late request 2
                 83 ms  launch 1 of late on m0
                 85 ms  late request 2: placed on m0
        "#]],
    );
}

/// A machine restarts while its old link still looks healthy; the planner learns the new start from
/// the registry's list. It must close the old link and report the tasks there as lost, and launches
/// on the machine must stay within the slow-start budget.
#[test]
fn newer_start_closes_link_that_looks_healthy() {
    let mut net = SimulatedNetwork::new(2);
    for i in 0..2 {
        net.submit(SMALL, &format!("page{i}"), 1, 6_000_000);
    }
    net.run_rounds(5);
    let m = last_launch(&net);
    net.restart_machine(m);
    net.send_list(true);
    net.run_rounds(80);
    for i in 0..8 {
        net.submit(SMALL, &format!("more{i}"), 1, 6_000_000);
    }
    net.run_rounds(5);
    check(
        net,
        expect![[r#"
            40 ms  page0 request 1
            40 ms  launch 1 of page0 on m0
            40 ms  page1 request 1
            40 ms  launch 2 of page1 on m0
            42 ms  page0 request 1: placed on m0
            43 ms  page1 request 1: placed on m0
            45 ms  m0 restarts
            45 ms  link 1 to m0 is cut, 0 launches unsent
            45 ms  page0 request 1: lifecycle event 2
            45 ms  page1 request 1: lifecycle event 2
            125 ms  more0 request 1
            125 ms  launch 3 of more0 on m1
            125 ms  more1 request 1
            125 ms  launch 4 of more1 on m1
            125 ms  more2 request 1
            125 ms  launch 5 of more2 on m1
            125 ms  more3 request 1
            125 ms  launch 6 of more3 on m1
            125 ms  more4 request 1
            125 ms  launch 7 of more4 on m1
            125 ms  more5 request 1
            125 ms  launch 8 of more5 on m1
            125 ms  more6 request 1
            125 ms  launch 9 of more6 on m1
            125 ms  more7 request 1
            125 ms  launch 10 of more7 on m1
            127 ms  more0 request 1: placed on m1
            128 ms  more1 request 1: placed on m1
            129 ms  more2 request 1: placed on m1
            130 ms  more3 request 1: placed on m1
        "#]],
    );
}

/// The end of a task is lost with the link. The machine must report it again after reconnecting,
/// until the planner acknowledges it, and the client must be notified once.
#[test]
fn repeats_end_of_task_until_acknowledged() {
    let mut net = SimulatedNetwork::new(1);
    net.submit(SMALL, "page", 1, 6_000_000);
    net.run_rounds(3);
    net.cut_link(0, net.newest_link(0).unwrap(), 0);
    let id = net.machines[0].running[0];
    net.end_attempt(0, id, EndedHow::EndedDone);
    net.advance(1_000_000);
    net.run_rounds(20);
    assert_eq!(net.machines[0].attempts.inventory(&"p".into()).0, [], "the planner acknowledged the end");
    check(
        net,
        expect![[r#"
            40 ms  page request 1
            40 ms  launch 1 of page on m0
            42 ms  page request 1: placed on m0
            43 ms  link 1 to m0 is cut, 0 launches unsent
            1044 ms  page request 1: lifecycle event 1
        "#]],
    );
}
