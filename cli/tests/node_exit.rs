//! What is owed when the node is told to stop: each crossing is forced on sockets, against the real binary.
mod wire;
use serde_json::json;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use wire::*;

/// A task of this client stands on the one machine; the machine's link and the client.
fn one_stands(node: &Node, machine: &std::net::TcpListener, n: u64) -> (Peer, Peer) {
    let mut client = Peer::to(node);
    client.say(&request(&id(n), json!({})));
    let mut link = Peer::of(machine);
    link.next("open").unwrap();
    link.say(&ready(&id(n), "stands"));
    client.next("ready").unwrap();
    (link, client)
}

/// Requests that came in time waited in the kernel, on an open connection and on one not yet accepted, while
/// the process stood still: its end came before it read them.
#[test]
fn requests_that_wait_in_the_kernel_at_the_end_are_answered() {
    let (_machine, at) = listener();
    let mut node = started_with("kernel", &free_address(), &[("a", &at)], quiet);
    let mut old = Peer::to(&node);
    old.say(&message("probe", &id(1), json!({}), 0));
    old.next("probed").unwrap();
    let since = node.told_to_stop();
    wait_until(since, 300);
    node.hold();
    old.say(&request(&id(2), json!({})));
    let mut new = Peer::to(&node);
    new.say(&request(&id(3), json!({})));
    wait_until(since, 900);
    node.go_on();
    for (mut peer, n) in [(old, 2), (new, 3)] {
        let end = peer.line().expect("an answer");
        assert_eq!((&end["msg"], &end["sid"], &end["code"]), (&json!("close"), &json!(id(n)), &json!(42)));
        assert!(peer.line().is_none(), "one answer, then the end");
    }
    assert!(node.ended());
}

/// What is open is served to its end, however often the planner is told to stop or to read its file again;
/// what comes late is refused at once, on an open connection and on a new one.
#[test]
fn what_is_open_is_served_and_what_comes_late_is_refused_at_once() {
    let (machine, at) = listener();
    let mut node = started_with("late", &free_address(), &[("a", &at)], quiet);
    let mut client = Peer::to(&node);
    client.say(&request(&id(2), json!({})));
    let mut link = Peer::of(&machine);
    link.next("open").unwrap();
    let since = node.told_to_stop();
    node.signal("-TERM");
    node.signal("-HUP");
    // Within the time, on a new connection: it is served.
    let mut new = Peer::to(&node);
    new.say(&request(&id(3), json!({})));
    assert_eq!(link.next("open").unwrap()["sid"], id(3));
    wait_until(since, 900);
    client.say(&request(&id(4), json!({})));
    let end = client.line().unwrap();
    assert_eq!((&end["sid"], &end["code"]), (&json!(id(4)), &json!(42)));
    let mut last = Peer::to(&node);
    last.say(&request(&id(5), json!({})));
    assert_eq!(last.line().unwrap()["code"], 42);
    for (peer, n) in [(&mut client, 2), (&mut new, 3)] {
        link.say(&ready(&id(n), "taken"));
        let answer = peer.line().unwrap();
        assert_eq!((&answer["msg"], &answer["sid"]), (&json!("ready"), &json!(id(n))));
    }
    assert!(client.line().is_none() && new.line().is_none() && last.line().is_none());
    assert!(node.ended());
}

/// A machine's release of a task that stands waited in the kernel when the time was over: it was never passed
/// on.
#[test]
fn a_release_that_crosses_the_end_reaches_its_client() {
    let (machine, at) = listener();
    let mut node = started_with("release", &free_address(), &[("a", &at)], quiet);
    let (mut link, mut client) = one_stands(&node, &machine, 2);
    let since = node.told_to_stop();
    wait_until(since, 300);
    node.hold();
    link.say(&message("close", &id(2), json!({}), 16));
    wait_until(since, 900);
    node.go_on();
    let end = client.line().expect("the release");
    assert_eq!((&end["msg"], &end["sid"], &end["code"]), (&json!("close"), &json!(id(2)), &json!(16)));
    assert!(node.ended());
}

/// Answers that a slow client had not taken 250 ms after the planner's time were dropped with the process.
#[test]
fn a_client_that_reads_slowly_gets_all_its_answers() {
    const REQUESTS: u64 = 300;
    let (machine, at) = listener();
    let mut node = started_with("slow", &free_address(), &[("a", &at)], quiet);
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&node.listen.parse::<SocketAddr>().unwrap().into()).unwrap();
    let mut client = Peer::new(TcpStream::from(socket));
    let small = json!({"extras": "cores:0.01;memory:0.01;service:00000000000000b1"});
    (1..=REQUESTS).for_each(|n| client.say(&request(&id(n), small.clone())));
    let mut link = Peer::of(&machine);
    let text = "x".repeat(15_000);
    for _ in 0..REQUESTS {
        let open = link.next("open").unwrap();
        link.say(&ready(open["sid"].as_str().unwrap(), &text));
    }
    // The answer to a later one shows that those before it on the link were read.
    let mut other = Peer::to(&node);
    other.say(&request(&id(REQUESTS + 1), small));
    link.next("open").unwrap();
    link.say(&ready(&id(REQUESTS + 1), "last"));
    other.next("ready").unwrap();
    let since = node.told_to_stop();
    wait_until(since, 1_300);
    let answers = std::iter::from_fn(|| client.line()).filter(|l| l["msg"] == "ready").count() as u64;
    assert_eq!(answers, REQUESTS);
    assert!(node.ended());
}

/// A release that found no connection of its client went with the process, and the next life dropped the
/// machine's repeat of it, as it came before the client's word that the task stands: it stood for good.
#[test]
fn a_release_that_found_no_connection_reaches_its_client_in_the_next_life() {
    let (machine, at) = listener();
    let mut node = started_with("kept", &free_address(), &[("a", &at)], quiet);
    let (mut link, mut client) = one_stands(&node, &machine, 2);
    client.say(&request(&id(3), json!({})));
    link.next("open").unwrap();
    drop(client);
    // That its connection ended is known once what was open on it is given up.
    assert_eq!(link.next("close").unwrap()["sid"], id(3));
    // Another client, from another address.
    let mut other = from_address(&node, "127.0.9.9:0");
    other.say(&request(&id(4), json!({})));
    link.next("open").unwrap();
    link.say(&message("close", &id(2), json!({}), 16));
    link.say(&ready(&id(4), "stands"));
    other.next("ready").unwrap();
    other.say(&request(&id(5), json!({})));
    let next = link.line().unwrap();
    assert_eq!(
        (&next["msg"], &next["sid"]),
        (&json!("open"), &json!(id(5))),
        "a release is heard once it goes on"
    );
    link.say(&ready(&id(5), "stands"));
    node.told_to_stop();
    assert!(node.ended());

    let node = started_with("next", &free_address(), &[("a", &at)], quiet);
    let mut other = from_address(&node, "127.0.9.9:0");
    other.say(&request(&id(6), json!({})));
    let mut link = Peer::of(&machine);
    link.next("open").unwrap();
    link.say(&message("close", &id(2), json!({}), 16));
    link.say(&ready(&id(6), "stands"));
    other.next("ready").unwrap();
    let mut client = Peer::to(&node);
    let stands = "cores:1;memory:2;service:00000000000000b1;at:a";
    client.say(&request(&id(2), json!({"extras": stands, "left": "4294967"})));
    let end = client.line().unwrap();
    assert_eq!((&end["msg"], &end["sid"], &end["code"]), (&json!("close"), &json!(id(2)), &json!(16)));
}

fn from_address(node: &Node, from: &str) -> Peer {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&from.parse::<SocketAddr>().unwrap().into()).unwrap();
    socket
        .connect_timeout(&node.listen.parse::<SocketAddr>().unwrap().into(), Duration::from_secs(5))
        .unwrap();
    Peer::new(TcpStream::from(socket))
}

/// The platform kills a planner no earlier than so long after the order to stop: the longest deadline, counted as
/// 3 s, and 0.7 s.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);

/// The answers' ids and causes in the order in which they come, each before the earliest kill.
fn answers_before_the_kill(client: &mut Peer, count: usize, since: Instant) -> Vec<(String, i64)> {
    let answer = |_| {
        let line = client.line().expect("an answer");
        assert!(since.elapsed() < EARLIEST_KILL, "{line} came {:?} after the order", since.elapsed());
        (line["sid"].as_str().unwrap().to_owned(), line["code"].as_i64().unwrap())
    };
    (0..count).map(answer).collect()
}

/// The process stood still when it was told to stop, and read the order 0.4 s late: its time to serve on began
/// then, and the requests of 0.8 to 1.0 s were taken and had no answer at the earliest kill. The machine takes
/// all and says nothing.
#[test]
fn what_is_taken_after_a_late_order_is_answered_before_the_kill() {
    let (machine, at) = listener();
    let node = started_with("late-order", &free_address(), &[("a", &at)], quiet);
    let mut client = Peer::to(&node);
    client.say(&request(&id(1), json!({})));
    let mut link = Peer::of(&machine);
    link.next("open").unwrap();
    node.hold();
    node.signal("-TERM");
    let since = Instant::now();
    wait_until(since, 400);
    node.go_on();
    for (n, at_ms) in [(2, 500), (3, 800), (4, 900), (5, 1_000), (6, 1_200)] {
        wait_until(since, at_ms);
        client.say(&request(&id(n), json!({})));
    }
    let mut answered = answers_before_the_kill(&mut client, 6, since);
    answered.sort();
    assert_eq!(
        answered.iter().map(|answer| answer.0.clone()).collect::<Vec<_>>(),
        (1..7).map(id).collect::<Vec<_>>()
    );
}

/// The planner ended in a moment in which nothing was owed, 3.5 s after the order and before the earliest kill,
/// though a client still used its connection: the request of that moment had no answer.
#[test]
fn a_client_that_uses_its_connection_is_refused_until_the_kill() {
    let (_machine, at) = listener();
    let node = started_with("until-kill", &free_address(), &[("a", &at)], quiet);
    let mut client = Peer::to(&node);
    client.say(&message("probe", &id(1), json!({}), 0));
    client.next("probed").unwrap();
    let since = node.told_to_stop();
    wait_until(since, 800);
    let mut n = 10;
    while since.elapsed() + Duration::from_millis(100) < EARLIEST_KILL {
        client.say(&request(&id(n), json!({})));
        assert_eq!(answers_before_the_kill(&mut client, 1, since), [(id(n), 42)]);
        std::thread::sleep(Duration::from_millis(10));
        n += 1;
    }
}
