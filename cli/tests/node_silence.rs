//! Runs `basaltpitch node` against machines whose connections die or that vanish. The clients of
//! the tasks placed there must be notified of the end of each task in time.
mod wire;
use serde_json::json;
use std::time::{Duration, Instant};
use wire::machine::{Link, Machine};
use wire::*;

/// The platform's limit for the notice of an end of which no release could be sent, with its slack
/// on sockets.
const NOTICE_LIMIT: Duration = Duration::from_millis(8_050);

/// Starts a planner of a deployment with this many planners and places a task on its machine.
fn place_task(name: &str, planners: u32, machine: &Machine) -> (Node, Peer) {
    let node = start_node_with(name, &free_address(), &[("a", &machine.address)], |configuration| {
        configuration["settings"]["nInstances"] = json!(planners);
    });
    let client = connect_and_place(&node);
    (node, client)
}

/// Connects to the planner as a client and places a task.
fn connect_and_place(node: &Node) -> Peer {
    let mut client = Peer::connect(node);
    client.send_line(&request(&id(1), json!({})));
    assert_eq!(client.next_of_kind("ready").unwrap()["sid"], id(1));
    client
}

/// Waits for the `close` of a task or request and returns its cause and when it arrived.
fn wait_for_close(client: &mut Peer, task: u64) -> (i64, Instant) {
    loop {
        let close = client.next_of_kind("close").expect("the planner keeps the client's connection");
        if close["sid"] == id(task) {
            return (close["code"].as_i64().unwrap(), Instant::now());
        }
    }
}

/// Checks that the task placed first is released with this cause, in time after its end.
fn check_release(client: &mut Peer, cause: i64, ended_at: Instant) {
    let (code, released_at) = wait_for_close(client, 1);
    assert_eq!(code, cause);
    assert!(released_at - ended_at <= NOTICE_LIMIT, "released after {:?}", released_at - ended_at);
}

/// Breaks the machine's link under an unanswered request, ends the task that was placed before and
/// checks that its client is notified in time.
fn check_release_after_unanswered_request(name: &str, planners: u32, link: Link) {
    let machine = Machine::start();
    let (_node, mut client) = place_task(name, planners, &machine);
    machine.ignore_requests();
    client.send_line(&request(&id(2), json!({})));
    machine.wait_for_request(2);
    machine.break_links(link);
    // The planner has replaced the link by now. A machine that does not know reports on the dead one.
    std::thread::sleep(Duration::from_millis(3_700));
    let ended_at = machine.end_task(1, 16);
    check_release(&mut client, 16, ended_at);
}

/// Guards against this failure: an answer was lost and left a dead link. The planner opened a second
/// link and kept the dead one, on which the machine then reported the end of another task.
#[test]
fn releases_a_task_whose_link_died_under_another_request() {
    check_release_after_unanswered_request("dead-link", 2, Link::Dead);
}

/// Guards against the same failure where the machine does not notice that the planner closes the
/// dead link: the end is repeated only on a link that is opened after it.
#[test]
fn releases_a_task_whose_machine_never_notices_that_its_link_died() {
    check_release_after_unanswered_request("dead-link-for-good", 2, Link::DeadForGood);
}

/// Guards against the same failure in a deployment with so many planners that machines are not
/// probed: the unanswered request alone shows that the link is dead.
#[test]
fn releases_a_task_whose_link_died_in_a_deployment_of_900_planners() {
    check_release_after_unanswered_request("dead-link-900", 900, Link::DeadForGood);
}

/// Guards against this failure: nothing was asked on a quiet link of a planner that is one of many,
/// so nobody noticed that the link had died, and the end that the machine reported there was lost.
#[test]
fn releases_a_task_whose_quiet_link_died() {
    let machine = Machine::start();
    let (_node, mut client) = place_task("quiet-link", 900, &machine);
    machine.break_links(Link::DeadForGood);
    let ended_at = machine.end_task(1, 16);
    check_release(&mut client, 16, ended_at);
}

/// Guards against this failure: a machine that drains was never asked for a sign of life. When it
/// vanished, the client of its task was notified only once the list showed the machine as gone.
#[test]
fn releases_a_task_of_a_draining_machine_that_vanishes() {
    let machine = Machine::start();
    let (coordinator, coordinator_address) = listener();
    let node = start_node("drains", &coordinator_address, &[("a", &machine.address)]);
    let (_, stream) = accept_call(&coordinator);
    let mut client = connect_and_place(&node);
    reply(&stream, &update(2, &[entry("a", &machine.address, "terminating", 0)]));
    // The planner has applied the list once it follows the next index.
    assert!(read_call(&stream).contains("follow=2&"));
    let vanished_at = machine.vanish();
    check_release(&mut client, 41, vanished_at);
}

/// Breaks the machine's link, ends its task as the client and checks that the machine is told.
fn check_end_at_machine(name: &str, planners: u32) {
    let machine = Machine::start();
    let (_node, mut client) = place_task(name, planners, &machine);
    machine.break_links(Link::DeadForGood);
    let ended_at = Instant::now();
    client.send_line(&message("close", &id(1), json!({}), 16));
    let told_after = machine.wait_until_ended(1) - ended_at;
    assert!(told_after <= NOTICE_LIMIT, "the machine was told after {told_after:?}");
}

/// Guards against this failure: a client ended its task, and the planner's message to the machine
/// was lost with a dead link. The task ran on for nobody.
#[test]
fn ends_a_task_on_a_machine_whose_link_died() {
    check_end_at_machine("end-on-dead-link", 2);
}

/// Guards against the same failure in a deployment with so many planners that machines are not
/// probed.
#[test]
fn ends_a_task_on_a_machine_whose_link_died_in_a_deployment_of_900_planners() {
    check_end_at_machine("end-on-dead-link-900", 900);
}

/// Guards against the same failure at an attempt: the machine accepted it, but neither its answer
/// nor the planner's withdrawal passed. The task ran beside its next attempt elsewhere.
#[test]
fn ends_an_attempt_on_a_machine_whose_answer_was_lost() {
    let machine = Machine::start();
    let (_node, mut client) = place_task("withdrawn", 2, &machine);
    machine.break_link_at_next_request(Link::DeadForGood);
    client.send_line(&request(&id(2), json!({"left": "2000"})));
    machine.wait_for_request(2);
    let (_, withdrawn_at) = wait_for_close(&mut client, 2);
    let told_after = machine.wait_until_ended(2).saturating_duration_since(withdrawn_at);
    assert!(told_after <= NOTICE_LIMIT, "the machine was told after {told_after:?}");
}

/// Spoils an answer on the machine's link, ends the task that was placed before and checks that its
/// client is notified in time.
fn check_release_after_spoilt_answer(name: &str, answer: &'static [u8]) {
    let machine = Machine::start();
    let (_node, mut client) = place_task(name, 2, &machine);
    machine.spoil_next_answer(answer);
    client.send_line(&request(&id(2), json!({})));
    machine.wait_for_request(2);
    // The planner has replaced the link by now.
    std::thread::sleep(Duration::from_millis(6_000));
    let ended_at = machine.end_task(1, 16);
    check_release(&mut client, 16, ended_at);
}

/// Guards against this failure: an answer stopped short and the planner closed its link, which the
/// machine did not notice. It reported the end of another task there, and its client was not told.
#[test]
fn releases_a_task_whose_link_was_given_up_for_an_incomplete_line() {
    check_release_after_spoilt_answer("half-answer", b"{\"msg\":\"ready\",\"sid\":\"00");
}

/// Guards against the same failure after an answer that is not JSON.
#[test]
fn releases_a_task_whose_link_was_given_up_for_an_invalid_line() {
    check_release_after_spoilt_answer("invalid-answer", b"ready\n");
}

/// Guards against the same failure after a line that is not text.
#[test]
fn releases_a_task_whose_link_was_given_up_for_an_unreadable_line() {
    check_release_after_spoilt_answer("unreadable-answer", b"\xff\n");
}
