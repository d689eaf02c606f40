//! The days that the protocol was made for, one by one, as short traces that people read.
mod net;
use basaltpitch_agent::wire::EndedHow;
use expect_test::{expect, Expect};
use net::{Net, BIG, ONCE, SMALL};

/// Machines with even numbers are in hall a, those with odd ones in hall b.
fn judged(mut net: Net, want: Expect) {
    let log = std::mem::take(&mut net.log);
    want.assert_eq(&log);
    assert!(net.twice.is_none(), "{:?}", net.twice);
    assert_eq!(net.finish().0, []);
}

/// The machine that holds the launch named in the trace's last launch line.
fn last_launch(net: &Net) -> usize {
    let line = net.log.lines().rev().find(|l| l.contains("launch")).expect("a launch");
    line.rsplit('m').next().and_then(|n| n.parse().ok()).expect("a machine's number")
}

/// Heartbeats stop while a keyed launch is in flight: the machine took it in, its yes is lost with the link.
/// Nothing is launched until the next inventory says that it runs; the one answer is that it is placed there.
#[test]
fn a_keyed_launch_in_flight_when_heartbeats_stop_is_found() {
    let mut net = Net::new(4);
    net.submit(BIG, "tally", 1, 9_000_000);
    let m = last_launch(&net);
    let link = net.newest(m).unwrap();
    net.machine_reads(m, link);
    net.look(m);
    net.machines[m].reachable = false;
    net.cut(m, link, 0);
    net.pass(2_000_000);
    net.machines[m].reachable = true;
    net.pass(1_000_000);
    net.flow(400);
    judged(
        net,
        expect![[r#"
            40 ms  tally asking 1
            40 ms  launch 1 of tally on m2
            40 ms  link 3 to m2 is cut, 0 launches unsent
            3041 ms  tally asking 1: placed on m2
        "#]],
    );
}

/// The same, but the link stays away: the patience of the launch ends, a further launch goes to the same hall
/// only, and is the task's copy. The first one, which runs too, is stopped once its machine comes back.
#[test]
fn a_keyed_launch_that_nobody_hears_of_is_repeated_in_its_hall_only() {
    let mut net = Net::new(4);
    net.submit(BIG, "tally", 1, 9_000_000);
    let m = last_launch(&net);
    let link = net.newest(m).unwrap();
    net.machine_reads(m, link);
    net.look(m);
    net.machines[m].reachable = false;
    net.cut(m, link, 0);
    net.pass(5_000_000);
    net.flow(20);
    net.machines[m].reachable = true;
    net.pass(6_000_000);
    net.flow(400);
    judged(
        net,
        expect![[r#"
            40 ms  tally asking 1
            40 ms  launch 1 of tally on m2
            40 ms  link 3 to m2 is cut, 0 launches unsent
            4540 ms  launch 2 of tally on m0
            5042 ms  tally asking 1: placed on m0
        "#]],
    );
}

/// A once-only launch whose link broke is never repeated; the inventory proves that it never ran, and it goes
/// on.
#[test]
fn a_once_only_launch_goes_on_only_by_proof() {
    let mut net = Net::new(2);
    net.submit(ONCE, "close", 1, 8_000_000);
    let m = last_launch(&net);
    // The frame was handed over, but the machine never reads it.
    let link = net.newest(m).unwrap();
    net.machines[m].links.get_mut(&link).unwrap().dead = true;
    net.cut(m, link, 0);
    net.pass(1_000_000);
    net.flow(40);
    judged(
        net,
        expect![[r#"
            40 ms  close asking 1
            40 ms  launch 1 of close on m0
            40 ms  link 1 to m0 is cut, 0 launches unsent
            1041 ms  launch 2 of close on m1
            1042 ms  close asking 1: placed on m1
        "#]],
    );
}

/// Without proof it is aborted in time, and a new asking is held off until it is sure what the first one did.
#[test]
fn a_once_only_launch_without_proof_is_aborted_and_not_asked_for_again() {
    let mut net = Net::new(2);
    net.submit(ONCE, "close", 1, 8_000_000);
    let m = last_launch(&net);
    net.machine_reads(m, net.newest(m).unwrap());
    net.machines[m].reachable = false;
    net.cut(m, net.newest(m).unwrap(), 0);
    net.pass(5_000_000);
    net.submit(ONCE, "close", 2, 8_000_000);
    net.pass(3_500_000);
    net.submit(ONCE, "close", 3, 8_000_000);
    // It was in the machine's line all the time, and runs now: an asking is told where.
    net.look(m);
    net.machines[m].reachable = true;
    net.pass(5_000_000);
    net.flow(400);
    net.submit(ONCE, "close", 4, 8_000_000);
    judged(
        net,
        expect![[r#"
            40 ms  close asking 1
            40 ms  launch 1 of close on m0
            40 ms  link 1 to m0 is cut, 0 launches unsent
            4040 ms  close asking 1: aborted (a launch may have run)
            5040 ms  close asking 2
            5040 ms  close asking 2: declined (a launch may still run; ask again later)
            8540 ms  close asking 3
            8540 ms  close asking 3: aborted (a launch may have run)
            13940 ms  close asking 4
            13940 ms  close asking 4: placed on m0
        "#]],
    );
}

/// A machine drains between launch and yes: the offer is turned off, and the task goes elsewhere at once.
#[test]
fn a_machine_drains_between_launch_and_yes() {
    let mut net = Net::new(2);
    net.submit(SMALL, "page", 1, 6_000_000);
    let m = last_launch(&net);
    net.machine_reads(m, net.newest(m).unwrap());
    net.drain(m, true);
    net.flow(5);
    net.submit(SMALL, "page2", 1, 6_000_000);
    net.flow(5);
    judged(
        net,
        expect![[r#"
                 40 ms  page asking 1
                 40 ms  launch 1 of page on m1
                 40 ms  m1 drains: true
                 42 ms  launch 2 of page on m0
                 44 ms  page asking 1: placed on m0
                 45 ms  page2 asking 1
                 45 ms  launch 3 of page2 on m0
                 47 ms  page2 asking 1: placed on m0
        "#]],
    );
}

/// It drains while its connection is down: the inventory says so before anything is launched there.
#[test]
fn a_machine_drains_while_its_connection_is_down() {
    let mut net = Net::new(2);
    net.cut(0, net.newest(0).unwrap(), 0);
    net.drain(0, true);
    net.pass(1_000_000);
    net.flow(20);
    for i in 0..3 {
        net.submit(SMALL, &format!("page{i}"), 1, 6_000_000);
    }
    net.flow(5);
    judged(
        net,
        expect![[r#"
            40 ms  link 1 to m0 is cut, 0 launches unsent
            40 ms  m0 drains: true
            1060 ms  page0 asking 1
            1060 ms  launch 1 of page0 on m1
            1060 ms  page1 asking 1
            1060 ms  launch 2 of page1 on m1
            1060 ms  page2 asking 1
            1060 ms  launch 3 of page2 on m1
            1062 ms  page0 asking 1: placed on m1
            1063 ms  page1 asking 1: placed on m1
            1064 ms  page2 asking 1: placed on m1
        "#]],
    );
}

/// The planner dies with launches out. Its successor gets the running ones back from inventories; an owner
/// that asks again for one is told where it runs, and nothing is launched for it.
#[test]
fn a_killed_planners_successor_finds_what_runs() {
    let mut net = Net::new(2);
    net.submit(BIG, "tally", 1, 9_000_000);
    net.submit(ONCE, "close", 1, 8_000_000);
    net.flow(3);
    net.submit(BIG, "late", 1, 9_000_000);
    let m = last_launch(&net);
    net.machine_reads(m, net.newest(m).unwrap());
    net.kill();
    net.flow(40);
    net.submit(BIG, "tally", 2, 9_000_000);
    net.submit(ONCE, "close", 2, 8_000_000);
    net.submit(BIG, "late", 2, 9_000_000);
    net.flow(5);
    judged(
        net,
        expect![[r#"
                 40 ms  tally asking 1
                 40 ms  launch 1 of tally on m0
                 40 ms  close asking 1
                 40 ms  launch 2 of close on m0
                 42 ms  tally asking 1: placed on m0
                 43 ms  close asking 1: placed on m0
                 43 ms  late asking 1
                 43 ms  launch 3 of late on m0
                 43 ms  the planner is killed
                 83 ms  tally asking 2
                 83 ms  tally asking 2: placed on m0
                 83 ms  close asking 2
                 83 ms  close asking 2: placed on m0
                 83 ms  late asking 2
                 83 ms  launch 1 of late on m0
                 85 ms  late asking 2: placed on m0
        "#]],
    );
}

/// A machine comes back with a newer start while its old connection still looks alive: the list tells of it,
/// the old link is hung up, what ran there is lost, and cold offers stay within the budget.
#[test]
fn a_newer_start_ends_a_link_that_looks_alive() {
    let mut net = Net::new(2);
    for i in 0..2 {
        net.submit(SMALL, &format!("page{i}"), 1, 6_000_000);
    }
    net.flow(5);
    let m = last_launch(&net);
    net.restart(m);
    net.list(true);
    net.flow(80);
    for i in 0..8 {
        net.submit(SMALL, &format!("more{i}"), 1, 6_000_000);
    }
    net.flow(5);
    judged(
        net,
        expect![[r#"
            40 ms  page0 asking 1
            40 ms  launch 1 of page0 on m0
            40 ms  page1 asking 1
            40 ms  launch 2 of page1 on m0
            42 ms  page0 asking 1: placed on m0
            43 ms  page1 asking 1: placed on m0
            45 ms  m0 starts anew
            45 ms  link 1 to m0 is cut, 0 launches unsent
            45 ms  page0 asking 1: life 2
            45 ms  page1 asking 1: life 2
            125 ms  more0 asking 1
            125 ms  launch 3 of more0 on m1
            125 ms  more1 asking 1
            125 ms  launch 4 of more1 on m1
            125 ms  more2 asking 1
            125 ms  launch 5 of more2 on m1
            125 ms  more3 asking 1
            125 ms  launch 6 of more3 on m1
            125 ms  more4 asking 1
            125 ms  launch 7 of more4 on m1
            125 ms  more5 asking 1
            125 ms  launch 8 of more5 on m1
            125 ms  more6 asking 1
            125 ms  launch 9 of more6 on m1
            125 ms  more7 asking 1
            125 ms  launch 10 of more7 on m1
            127 ms  more0 asking 1: placed on m1
            128 ms  more1 asking 1: placed on m1
            129 ms  more2 asking 1: placed on m1
            130 ms  more3 asking 1: placed on m1
        "#]],
    );
}

/// A frame that comes twice has one effect, and an ending is said until it is noted.
#[test]
fn an_ending_is_said_until_it_is_noted() {
    let mut net = Net::new(1);
    net.submit(SMALL, "page", 1, 6_000_000);
    net.flow(3);
    net.cut(0, net.newest(0).unwrap(), 0);
    let id = net.machines[0].runs[0];
    net.ends(0, id, EndedHow::EndedDone);
    net.pass(1_000_000);
    net.flow(20);
    assert_eq!(net.machines[0].holder.inventory(&"p".into()).0, [], "noted");
    judged(
        net,
        expect![[r#"
            40 ms  page asking 1
            40 ms  launch 1 of page on m0
            42 ms  page asking 1: placed on m0
            43 ms  link 1 to m0 is cut, 0 launches unsent
            1044 ms  page asking 1: life 1
        "#]],
    );
}
