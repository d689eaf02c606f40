//! Connections that break, are given up or fill the descriptors, and a watch that dies: each crossing is
//! forced on sockets, against the real binary.
mod wire;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use wire::*;

/// A machine answered and its connection was reset, and the planner wrote on it in that moment: the failed
/// write took the answer along.
#[test]
fn an_answer_that_was_sent_before_a_reset_counts() {
    let (machine, at) = listener();
    let node = started_with("reset", &free_address(), &[("a", &at)], quiet);
    let mut client = Peer::to(&node);
    (2..4).for_each(|n| client.say(&request(&id(n), json!({}))));
    let mut link = Peer::of(&machine);
    (2..4).for_each(|_| drop(link.next("open").unwrap()));
    node.hold();
    client.say(&request(&id(4), json!({})));
    link.say(&ready(&id(2), "taken"));
    link.reset();
    node.go_on();
    assert_eq!(client.next("ready").unwrap()["sid"], id(2));
}

/// A connection was closed for another's descriptor although a request waited in it unread.
#[test]
fn an_eviction_that_crosses_a_request_serves_it() {
    let (machine, at) = listener();
    let node = started_with("evicted", &free_address(), &[("a", &at)], quiet);
    // As many as the limit of 64 leaves to clients; each is of no use by now.
    let mut idle: Vec<Peer> = (0..29).map(|_| Peer::to(&node)).collect();
    for peer in &mut idle {
        peer.say(&message("probe", &id(1), json!({}), 0));
        peer.next("probed").unwrap();
    }
    node.hold();
    idle[0].say(&request(&id(2), json!({})));
    // The next says half a request: it was never taken, and its connection may go.
    idle[1].stream().write_all(b"{\"msg\":\"open\",\"sid\":\"00").unwrap();
    let newcomers: Vec<Peer> = (0..5).map(|_| Peer::to(&node)).collect();
    node.go_on();
    let mut link = Peer::of(&machine);
    assert_eq!(link.next("open").unwrap()["sid"], id(2));
    link.say(&ready(&id(2), "taken"));
    assert_eq!(idle[0].next("ready").unwrap()["sid"], id(2));
    assert!(idle[1].line().is_none());
    for mut peer in newcomers {
        peer.say(&message("probe", &id(3), json!({}), 0));
        assert_eq!(peer.next("probed").unwrap()["sid"], id(3));
    }
}

/// A client that takes none of its answers is cut once its queue is full; the others are served all the while.
#[test]
fn a_client_that_takes_nothing_is_cut_and_costs_nobody_else() {
    let (machine, at) = listener();
    let node = started_with("takes-nothing", &free_address(), &[("a", &at)], quiet);
    let small = json!({"extras": "cores:0.001;memory:0.001;service:00000000000000b1"});
    let mut greedy = Peer::to(&node);
    greedy.say(&request(&id(1), small.clone()));
    let mut link = Peer::of(&machine);
    let answering = std::thread::spawn(move || {
        let text = "x".repeat(15_000);
        while let Some(open) = link.next("open") {
            link.say(&ready(open["sid"].as_str().unwrap(), &text));
        }
    });
    let mut stream = greedy.stream().try_clone().unwrap();
    for n in 2..2_000 {
        let line = request(&id(n), small.clone());
        let _ = stream.write_all(format!("{line}\n").as_bytes());
    }
    // Once it is cut, what is written to it fails.
    let (until, line) = (Instant::now() + TIMEOUT, message("probe", &id(1), json!({}), 0));
    while stream.write_all(format!("{line}\n").as_bytes()).is_ok() {
        assert!(Instant::now() < until, "it is never cut");
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut other = Peer::to(&node);
    other.say(&request(&id(5_000), small));
    assert_eq!(other.next("ready").unwrap()["sid"], id(5_000));
    drop((node, other));
    answering.join().unwrap();
}

/// Idle clients and clients that read nothing fill the descriptors while discovery is down and machines are
/// slow to come up: the coordinator is reached once it is back, and a new client is served.
#[test]
fn descriptors_are_left_for_discovery_and_new_clients() {
    let slow: Vec<(TcpListener, TcpStream, String)> = (0..20).map(|_| full_listener()).collect();
    let names: Vec<String> = (0..slow.len()).map(|n| format!("m{n}")).collect();
    let machines: Vec<(&str, &str)> =
        names.iter().zip(&slow).map(|(n, s)| (n.as_str(), s.2.as_str())).collect();
    let coordinator = free_address();
    let node = started("full", &coordinator, &machines);
    let mut most = 0;
    let mut idle = Vec::new();
    for n in 0..300 {
        let mut stream = TcpStream::connect(&node.listen).unwrap();
        if n % 3 == 0 {
            // It asks a lot and reads nothing.
            let line = message("probe", &id(n), json!({}), 0);
            let _ = (0..200).try_for_each(|_| stream.write_all(format!("{line}\n").as_bytes()));
        }
        idle.push(stream);
        most = most.max(node.descriptors());
    }
    let back = TcpListener::bind(&coordinator).unwrap();
    let since = Instant::now();
    let (first, _stream) = call(&back);
    assert!(first.contains("follow=1&"), "{first}");
    assert!(since.elapsed() < Duration::from_secs(5), "{:?}", since.elapsed());
    let mut client = Peer::to(&node);
    client.say(&message("probe", &id(999), json!({}), 0));
    assert_eq!(client.next("probed").unwrap()["sid"], id(999));
    most = most.max(node.descriptors());
    assert!(most < 64, "{most} descriptors of 64");
}

/// A connection must bring its first line within 2 s. The line came in time, while the process stood still; when it
/// went on, its timers were due before its sockets were read, and the connection was closed with the request unread
/// (`client's connection closed why="it said nothing"`).
#[test]
fn a_first_line_that_came_during_a_stall_counts() {
    let (machine, at) = listener();
    let node = started_with("first-line", &free_address(), &[("a", &at)], quiet);
    let mut client = Peer::to(&node);
    let since = Instant::now();
    wait_until(since, 1_600);
    node.hold();
    client.say(&request(&id(2), json!({})));
    wait_until(since, 2_300);
    node.go_on();
    let mut link = Peer::of(&machine);
    assert_eq!(link.next("open").unwrap()["sid"], id(2));
    link.say(&ready(&id(2), "taken"));
    assert_eq!(client.next("ready").unwrap()["sid"], id(2));
}

/// A machine's answer came while the process stood still, and the attempt's 3 s were over when it went on. The timers
/// were due before the sockets were read: the attempt was given up and the task that the machine had taken was cut.
#[test]
fn an_answer_that_came_during_a_stall_counts() {
    let (machine, at) = listener();
    let node = started_with("stall-answer", &free_address(), &[("a", &at)], quiet);
    let mut client = Peer::to(&node);
    client.say(&request(&id(2), json!({})));
    let mut link = Peer::of(&machine);
    link.next("open").unwrap();
    let since = Instant::now();
    wait_until(since, 2_500);
    node.hold();
    link.say(&ready(&id(2), "taken"));
    wait_until(since, 3_300);
    node.go_on();
    let answer = client.line().unwrap();
    assert_eq!((&answer["msg"], &answer["sid"]), (&json!("ready"), &json!(id(2))));
}

/// Killed and started again with discovery down, machines that never come up and a queue of connections
/// before it, the planner passes its first test in time.
#[test]
fn a_restarted_planner_is_ready_in_time_with_everything_down() {
    let (_never, _fills, address) = full_listener();
    let names: Vec<String> = (0..50).map(|n| format!("m{n}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), address.as_str())).collect();
    let mut node = started("before", &free_address(), &machines);
    let _one = Peer::to(&node);
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    let since = Instant::now();
    let node = started("after", &free_address(), &machines);
    let _queue: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(&node.listen).unwrap()).collect();
    let mut test = Peer::to(&node);
    test.say(&message("probe", &id(1), json!({}), 0));
    assert_eq!(test.next("probed").unwrap()["code"], 1);
    assert!(since.elapsed() < Duration::from_secs(10), "{:?}", since.elapsed());
}

/// A reply that could not be used moved the number that is asked from: what it had told was lost for good. An
/// entry that cannot be read costs no other entry.
#[test]
fn nothing_is_lost_by_a_reply_that_cannot_be_used() {
    let (coordinator, address) = listener();
    let (machine, at) = listener();
    let node = started_with("useless", &address, &[], quiet);
    let (_, stream) = call(&coordinator);
    reply(&stream, &json!({"index": 5, "updates": [{"endpoints": {"hosts": []}}]}));
    let (again, stream) = call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    // Neither do a status that is not 200, and a body that is not JSON.
    (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    let (again, mut stream) = call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"index\":").unwrap();
    let (again, stream) = call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    let odd = json!({"host": "odd", "health": "unheard of"});
    reply(&stream, &update(6, &[odd, entry("a", &at, "in_service", 0)]));
    assert!(asked(&stream).contains("follow=6&"));
    let mut client = Peer::to(&node);
    client.say(&request(&id(2), json!({})));
    let mut link = Peer::of(&machine);
    assert_eq!(link.next("open").unwrap()["sid"], id(2));
}

/// A watch that falls silent in the middle of a reply, on a connection that stays open, is asked for anew.
#[test]
fn a_watch_that_falls_silent_is_asked_anew() {
    let (coordinator, address) = listener();
    let _node = started_with("silent", &address, &[], quiet);
    let (_, mut half) = call(&coordinator);
    half.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{\"index\":7,\"upd").unwrap();
    let since = Instant::now();
    let (again, _none) = call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
    // The old connection is given up.
    assert!(ends(&mut half));
    // And one that says nothing at all.
    assert!(call(&coordinator).0.contains("follow=1&"));
}

/// After a move the coordinator's numbers are others: it was asked from a number that it never reached, and
/// nothing more was heard. One late reply is not believed.
#[test]
fn a_coordinator_with_other_numbers_is_asked_from_the_start() {
    let (old, address) = listener();
    let (new, moved) = listener();
    let (machine, at) = listener();
    let node = started_with("numbers", &address, &[], quiet);
    let (_, stream) = call(&old);
    reply(&stream, &update(40, &[]));
    assert!(asked(&stream).contains("follow=40&"));
    let text = std::fs::read_to_string(&node.file).unwrap();
    std::fs::write(&node.file, text.replace(&address, &moved)).unwrap();
    node.signal("-HUP");
    let renumbered = update(3, &[entry("a", &at, "in_service", 0)]);
    let mut asked_from = Vec::new();
    let stream = loop {
        let (asked, stream) = call(&new);
        asked_from.push(asked.contains("follow=40&"));
        if asked.contains("follow=0&") {
            break stream;
        }
        assert!(asked_from.len() < 20, "it is asked from the old number for good");
        reply(&stream, &renumbered);
        // Once it believes, it asks on the same connection.
        if asked_from.len() == 8 {
            assert!(wire::asked(&stream).contains("follow=0&"));
            break stream;
        }
    };
    assert_eq!(asked_from, [true; 8]);
    reply(&stream, &renumbered);
    let mut client = Peer::to(&node);
    client.say(&request(&id(2), json!({})));
    assert_eq!(Peer::of(&machine).next("open").unwrap()["sid"], id(2));
}
