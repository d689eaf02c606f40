//! Checks what `basaltpitch node` still answers after it is told to stop (SIGTERM). Each race is
//! forced on real sockets.
mod wire;
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use wire::*;

/// Places a task of a new client on the only machine; returns the machine's link and the client.
fn place_task(node: &Node, machine: &std::net::TcpListener, n: u64) -> (Peer, Peer) {
    let mut client = Peer::connect(node);
    client.send_line(&request(&id(n), json!({})));
    let mut link = Peer::accept(machine);
    link.next_of_kind("open").unwrap();
    link.send_line(&ready(&id(n), "stands"));
    client.next_of_kind("ready").unwrap();
    (link, client)
}

/// Requests arrive in time, on an open connection and on one not yet accepted, while the process is
/// paused until its period for new requests is over. Guards against exiting before they are read.
#[test]
fn answers_requests_pending_in_the_kernel_at_exit() {
    let (_machine, machine_address) = listener();
    let mut node = start_node_with("kernel", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut old = Peer::connect(&node);
    old.send_line(&message("probe", &id(1), json!({}), 0));
    old.next_of_kind("probed").unwrap();
    let since = node.request_stop();
    wait_until(since, 300);
    node.pause();
    old.send_line(&request(&id(2), json!({})));
    let mut new = Peer::connect(&node);
    new.send_line(&request(&id(3), json!({})));
    wait_until(since, 900);
    node.resume();
    for (mut peer, n) in [(old, 2), (new, 3)] {
        let end = peer.next_line().expect("an answer to the request");
        assert_eq!((&end["msg"], &end["sid"], &end["code"]), (&json!("close"), &json!(id(n)), &json!(42)));
        assert!(
            peer.next_line().is_none(),
            "found a second line; expected one answer, then the end of the stream"
        );
    }
    assert!(node.exits_successfully());
}

/// Open requests are served to the end, however often the planner gets SIGTERM or SIGHUP. Late
/// requests are refused at once, on an open connection and on a new one.
#[test]
fn serves_open_requests_and_refuses_late_ones_after_sigterm() {
    let (machine, machine_address) = listener();
    let mut node = start_node_with("late", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut client = Peer::connect(&node);
    client.send_line(&request(&id(2), json!({})));
    let mut link = Peer::accept(&machine);
    link.next_of_kind("open").unwrap();
    let since = node.request_stop();
    node.signal("-TERM");
    node.signal("-HUP");
    // A request on a new connection within the period for new requests is served.
    let mut new = Peer::connect(&node);
    new.send_line(&request(&id(3), json!({})));
    assert_eq!(link.next_of_kind("open").unwrap()["sid"], id(3));
    wait_until(since, 900);
    client.send_line(&request(&id(4), json!({})));
    let end = client.next_line().unwrap();
    assert_eq!((&end["sid"], &end["code"]), (&json!(id(4)), &json!(42)));
    let mut last = Peer::connect(&node);
    last.send_line(&request(&id(5), json!({})));
    assert_eq!(last.next_line().unwrap()["code"], 42);
    for (peer, n) in [(&mut client, 2), (&mut new, 3)] {
        link.send_line(&ready(&id(n), "taken"));
        let answer = peer.next_line().unwrap();
        assert_eq!((&answer["msg"], &answer["sid"]), (&json!("ready"), &json!(id(n))));
    }
    assert!(client.next_line().is_none() && new.next_line().is_none() && last.next_line().is_none());
    assert!(node.exits_successfully());
}

/// A machine reports a task's end while the process is paused until its period for new requests is
/// over. Guards against an exit that leaves the report unread in the kernel.
#[test]
fn forwards_a_task_end_that_races_with_exit() {
    let (machine, machine_address) = listener();
    let mut node = start_node_with("release", &free_address(), &[("a", &machine_address)], disable_probes);
    let (mut link, mut client) = place_task(&node, &machine, 2);
    let since = node.request_stop();
    wait_until(since, 300);
    node.pause();
    link.send_line(&message("close", &id(2), json!({}), 16));
    wait_until(since, 900);
    node.resume();
    let end = client.next_line().expect("the end of the task");
    assert_eq!((&end["msg"], &end["sid"], &end["code"]), (&json!("close"), &json!(id(2)), &json!(16)));
    assert!(node.exits_successfully());
}

/// Guards against lost answers: the answers that a slow client had not read 250 ms after the period
/// for new requests were dropped when the process exited.
#[test]
fn slow_client_receives_all_answers_before_exit() {
    const REQUESTS: u64 = 300;
    let (machine, machine_address) = listener();
    let mut node = start_node_with("slow", &free_address(), &[("a", &machine_address)], disable_probes);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&node.listen.parse::<SocketAddr>().unwrap().into()).unwrap();
    let mut client = Peer::new(TcpStream::from(socket));
    let small = json!({"extras": "cores:0.01;memory:0.01;service:00000000000000b1"});
    (1..=REQUESTS).for_each(|n| client.send_line(&request(&id(n), small.clone())));
    let mut link = Peer::accept(&machine);
    let text = "x".repeat(15_000);
    for _ in 0..REQUESTS {
        let open = link.next_of_kind("open").unwrap();
        link.send_line(&ready(open["sid"].as_str().unwrap(), &text));
    }
    // The answer to a later request shows that all earlier lines of the link were read.
    let mut other = Peer::connect(&node);
    other.send_line(&request(&id(REQUESTS + 1), small));
    link.next_of_kind("open").unwrap();
    link.send_line(&ready(&id(REQUESTS + 1), "last"));
    other.next_of_kind("ready").unwrap();
    let since = node.request_stop();
    wait_until(since, 1_300);
    let answers = std::iter::from_fn(|| client.next_line()).filter(|l| l["msg"] == "ready").count() as u64;
    assert_eq!(answers, REQUESTS);
    assert!(node.exits_successfully());
}

/// A task ends while its client is disconnected, then the planner is restarted. Guards against a
/// lost end: the old process dropped it at exit, and the new process dropped the machine's
/// repetition of it, which came before the client reported the task. The client then believed the
/// task to run forever.
#[test]
fn delivers_a_task_end_to_a_reconnecting_client_after_restart() {
    let (machine, machine_address) = listener();
    let mut node = start_node_with("kept", &free_address(), &[("a", &machine_address)], disable_probes);
    let (mut link, mut client) = place_task(&node, &machine, 2);
    client.send_line(&request(&id(3), json!({})));
    link.next_of_kind("open").unwrap();
    drop(client);
    // The planner cancels the client's open request, which shows that it has read the disconnect.
    assert_eq!(link.next_of_kind("close").unwrap()["sid"], id(3));
    // Another client connects from another address.
    let mut other = connect_from(&node, "127.0.9.9:0");
    other.send_line(&request(&id(4), json!({})));
    link.next_of_kind("open").unwrap();
    link.send_line(&message("close", &id(2), json!({}), 16));
    link.send_line(&ready(&id(4), "stands"));
    other.next_of_kind("ready").unwrap();
    other.send_line(&request(&id(5), json!({})));
    let next = link.next_line().unwrap();
    assert_eq!(
        (&next["msg"], &next["sid"]),
        (&json!("open"), &json!(id(5))),
        "the planner must send the next request on this link after a task's end"
    );
    link.send_line(&ready(&id(5), "stands"));
    node.request_stop();
    assert!(node.exits_successfully());

    let node = start_node_with("next", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut other = connect_from(&node, "127.0.9.9:0");
    other.send_line(&request(&id(6), json!({})));
    let mut link = Peer::accept(&machine);
    link.next_of_kind("open").unwrap();
    link.send_line(&message("close", &id(2), json!({}), 16));
    link.send_line(&ready(&id(6), "stands"));
    other.next_of_kind("ready").unwrap();
    let mut client = Peer::connect(&node);
    let extras = "cores:1;memory:2;service:00000000000000b1;at:a";
    client.send_line(&request(&id(2), json!({"extras": extras, "left": "4294967"})));
    let end = client.next_line().unwrap();
    assert_eq!((&end["msg"], &end["sid"], &end["code"]), (&json!("close"), &json!(id(2)), &json!(16)));
}

/// Connects to the planner as a client from a given local address.
fn connect_from(node: &Node, from: &str) -> Peer {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&from.parse::<SocketAddr>().unwrap().into()).unwrap();
    socket
        .connect_timeout(&node.listen.parse::<SocketAddr>().unwrap().into(), Duration::from_secs(5))
        .unwrap();
    Peer::new(TcpStream::from(socket))
}

/// The platform waits at least this long after SIGTERM before it kills a planner: the longest
/// deadline, counted as 3 s, plus 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

/// Reads `count` answers, each of which must arrive before the earliest kill; returns their request
/// ids and codes in order of arrival.
fn read_answers_before_kill(client: &mut Peer, count: usize, since: Instant) -> Vec<(String, i64)> {
    let answer = |_| {
        let line = client.next_line().expect("an answer to the request");
        assert!(
            since.elapsed() < EARLIEST_KILL,
            "{line} arrived {:?} after the order to stop",
            since.elapsed()
        );
        (line["sid"].as_str().unwrap().to_owned(), line["code"].as_i64().unwrap())
    };
    (0..count).map(answer).collect()
}

/// The process is paused when SIGTERM arrives and reads it 0.4 s late, and the only machine never
/// answers. Guards against a period for new requests that starts at the read: requests of 0.8 to
/// 1.0 s after the signal were accepted and still unanswered at the earliest kill.
#[test]
fn answers_requests_accepted_after_a_delayed_sigterm_before_the_kill() {
    let (machine, machine_address) = listener();
    let node = start_node_with("late-order", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut client = Peer::connect(&node);
    client.send_line(&request(&id(1), json!({})));
    let mut link = Peer::accept(&machine);
    link.next_of_kind("open").unwrap();
    node.pause();
    node.signal("-TERM");
    let since = Instant::now();
    wait_until(since, 400);
    node.resume();
    for (n, at_ms) in [(2, 500), (3, 800), (4, 900), (5, 1_000), (6, 1_200)] {
        wait_until(since, at_ms);
        client.send_line(&request(&id(n), json!({})));
    }
    let mut answered = read_answers_before_kill(&mut client, 6, since);
    answered.sort();
    assert_eq!(
        answered.iter().map(|answer| answer.0.clone()).collect::<Vec<_>>(),
        (1..7).map(id).collect::<Vec<_>>()
    );
}

/// A client keeps sending requests after SIGTERM; each must be refused until the earliest kill.
/// Guards against an exit 3.5 s after the signal, when no request was open for a moment: the next
/// request got no answer.
#[test]
fn refuses_requests_of_an_active_client_until_the_kill() {
    let (_machine, machine_address) = listener();
    let node = start_node_with("until-kill", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut client = Peer::connect(&node);
    client.send_line(&message("probe", &id(1), json!({}), 0));
    client.next_of_kind("probed").unwrap();
    let since = node.request_stop();
    wait_until(since, 800);
    let mut n = 10;
    while since.elapsed() + Duration::from_millis(100) < EARLIEST_KILL {
        client.send_line(&request(&id(n), json!({})));
        assert_eq!(read_answers_before_kill(&mut client, 1, since), [(id(n), 42)]);
        std::thread::sleep(Duration::from_millis(10));
        n += 1;
    }
}
