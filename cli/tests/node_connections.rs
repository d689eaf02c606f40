//! Tests of `basaltpitch node` when connections break, are closed by the planner or use up the
//! descriptors, and when the watch on the coordinator fails. Each race is forced on real sockets.
mod wire;
use serde_json::json;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};
use wire::*;

/// A machine answers, then resets its connection while the planner has a write pending on it.
/// Guards against a failed write that discards answers not yet read.
#[test]
fn delivers_an_answer_sent_before_a_reset() {
    let (machine, machine_address) = listener();
    let node = start_node_with("reset", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut client = Peer::connect(&node);
    (2..4).for_each(|n| client.send_line(&request(&id(n), json!({}))));
    let mut link = Peer::accept(&machine);
    (2..4).for_each(|_| drop(link.next_of_kind("open").unwrap()));
    node.pause();
    client.send_line(&request(&id(4), json!({})));
    link.send_line(&ready(&id(2), "taken"));
    link.reset();
    node.resume();
    assert_eq!(client.next_of_kind("ready").unwrap()["sid"], id(2));
}

/// When descriptors run out, the planner closes idle connections. Guards against closing a
/// connection whose next request waits unread in the kernel.
#[test]
fn serves_a_request_that_races_with_closing_an_idle_connection() {
    let (machine, machine_address) = listener();
    let node = start_node_with("evicted", &free_address(), &[("a", &machine_address)], disable_probes);
    // As many connections as the limit of 64 descriptors leaves to clients; all are idle after
    // this.
    let mut idle: Vec<Peer> = (0..29).map(|_| Peer::connect(&node)).collect();
    for peer in &mut idle {
        peer.send_line(&message("probe", &id(1), json!({}), 0));
        peer.next_of_kind("probed").unwrap();
    }
    node.pause();
    idle[0].send_line(&request(&id(2), json!({})));
    // The second connection sends half a request: the planner has not accepted it and may close it.
    idle[1].stream().write_all(b"{\"msg\":\"open\",\"sid\":\"00").unwrap();
    let newcomers: Vec<Peer> = (0..5).map(|_| Peer::connect(&node)).collect();
    node.resume();
    let mut link = Peer::accept(&machine);
    assert_eq!(link.next_of_kind("open").unwrap()["sid"], id(2));
    link.send_line(&ready(&id(2), "taken"));
    assert_eq!(idle[0].next_of_kind("ready").unwrap()["sid"], id(2));
    assert!(idle[1].next_line().is_none());
    for mut peer in newcomers {
        peer.send_line(&message("probe", &id(3), json!({}), 0));
        assert_eq!(peer.next_of_kind("probed").unwrap()["sid"], id(3));
    }
}

/// A client that reads none of its answers is disconnected once its outgoing queue is full; other
/// clients are still served.
#[test]
fn a_client_that_takes_nothing_is_cut_and_costs_nobody_else() {
    let (machine, machine_address) = listener();
    let node = start_node_with("takes-nothing", &free_address(), &[("a", &machine_address)], disable_probes);
    let small = json!({"extras": "cores:0.001;memory:0.001;service:00000000000000b1"});
    let mut stalled = Peer::connect(&node);
    stalled.send_line(&request(&id(1), small.clone()));
    let mut link = Peer::accept(&machine);
    let responder = std::thread::spawn(move || {
        let text = "x".repeat(15_000);
        while let Some(open) = link.next_of_kind("open") {
            link.send_line(&ready(open["sid"].as_str().unwrap(), &text));
        }
    });
    let mut stream = stalled.stream().try_clone().unwrap();
    for n in 2..2_000 {
        let line = request(&id(n), small.clone());
        let _ = stream.write_all(format!("{line}\n").as_bytes());
    }
    // Writes fail once the planner has closed the connection.
    let (until, line) = (Instant::now() + TIMEOUT, message("probe", &id(1), json!({}), 0));
    while stream.write_all(format!("{line}\n").as_bytes()).is_ok() {
        assert!(Instant::now() < until, "the client that reads nothing is never disconnected");
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut other = Peer::connect(&node);
    other.send_line(&request(&id(5_000), small));
    assert_eq!(other.next_of_kind("ready").unwrap()["sid"], id(5_000));
    drop((node, other));
    responder.join().unwrap();
}

/// Idle clients and clients that read nothing use up the descriptors while the coordinator is down
/// and connections to machines are pending. Once the coordinator is back, the planner must reach it
/// within 5 s, serve a new client and stay below its limit of descriptors.
#[test]
fn reserves_descriptors_for_discovery_and_new_clients() {
    let slow: Vec<(TcpListener, TcpStream, String)> = (0..20).map(|_| full_listener()).collect();
    let names: Vec<String> = (0..slow.len()).map(|n| format!("m{n}")).collect();
    let machines: Vec<(&str, &str)> =
        names.iter().zip(&slow).map(|(n, s)| (n.as_str(), s.2.as_str())).collect();
    let coordinator = free_address();
    let node = start_node("full", &coordinator, &machines);
    let mut most = 0;
    let mut idle = Vec::new();
    for n in 0..300 {
        let mut stream = TcpStream::connect(&node.listen).unwrap();
        if n % 3 == 0 {
            // This client sends many probes and reads no answer.
            let line = message("probe", &id(n), json!({}), 0);
            let _ = (0..200).try_for_each(|_| stream.write_all(format!("{line}\n").as_bytes()));
        }
        idle.push(stream);
        most = most.max(node.open_descriptors());
    }
    let back = TcpListener::bind(&coordinator).unwrap();
    let since = Instant::now();
    let (first, _stream) = accept_call(&back);
    assert!(first.contains("follow=1&"), "{first}");
    assert!(since.elapsed() < Duration::from_secs(5), "{:?}", since.elapsed());
    let mut client = Peer::connect(&node);
    client.send_line(&message("probe", &id(999), json!({}), 0));
    assert_eq!(client.next_of_kind("probed").unwrap()["sid"], id(999));
    most = most.max(node.open_descriptors());
    assert!(most < 64, "{most} descriptors are open; expected fewer than 64");
}

/// A connection must send its first line within 2 s. Guards against a false timeout: the line
/// arrived in time while the process was paused, but after the resume the timers ran before the
/// sockets were read, and the connection was closed with the request unread (`client's connection
/// closed why="it said nothing"`).
#[test]
fn accepts_a_first_line_that_arrives_during_a_pause() {
    let (machine, machine_address) = listener();
    let node = start_node_with("first-line", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut client = Peer::connect(&node);
    let since = Instant::now();
    wait_until(since, 1_600);
    node.pause();
    client.send_line(&request(&id(2), json!({})));
    wait_until(since, 2_300);
    node.resume();
    let mut link = Peer::accept(&machine);
    assert_eq!(link.next_of_kind("open").unwrap()["sid"], id(2));
    link.send_line(&ready(&id(2), "taken"));
    assert_eq!(client.next_of_kind("ready").unwrap()["sid"], id(2));
}

/// A machine's answer arrives while the process is paused, and the attempt's timeout of 3 s is over
/// at the resume. Guards against timers that run before the sockets are read: the attempt was
/// abandoned and the task that the machine had accepted was cancelled.
#[test]
fn accepts_an_answer_that_arrives_during_a_pause() {
    let (machine, machine_address) = listener();
    let node = start_node_with("stall-answer", &free_address(), &[("a", &machine_address)], disable_probes);
    let mut client = Peer::connect(&node);
    client.send_line(&request(&id(2), json!({})));
    let mut link = Peer::accept(&machine);
    link.next_of_kind("open").unwrap();
    let since = Instant::now();
    wait_until(since, 2_500);
    node.pause();
    link.send_line(&ready(&id(2), "taken"));
    wait_until(since, 3_300);
    node.resume();
    let answer = client.next_line().unwrap();
    assert_eq!((&answer["msg"], &answer["sid"]), (&json!("ready"), &json!(id(2))));
}

/// A planner is killed and started again while the coordinator is down, no machine accepts
/// connections and 200 client connections are queued. It must answer the platform's first probe
/// within 10 s.
#[test]
fn restarted_planner_answers_its_first_probe_while_peers_are_down() {
    let (_listener, _queued, address) = full_listener();
    let names: Vec<String> = (0..50).map(|n| format!("m{n}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), address.as_str())).collect();
    let mut node = start_node("before", &free_address(), &machines);
    let _client = Peer::connect(&node);
    node.child.kill().unwrap();
    node.child.wait().unwrap();
    let since = Instant::now();
    let node = start_node("after", &free_address(), &machines);
    let _queue: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(&node.listen).unwrap()).collect();
    let mut prober = Peer::connect(&node);
    prober.send_line(&message("probe", &id(1), json!({}), 0));
    assert_eq!(prober.next_of_kind("probed").unwrap()["code"], 1);
    assert!(since.elapsed() < Duration::from_secs(10), "{:?}", since.elapsed());
}

/// Guards against lost updates: a reply that could not be used advanced the index from which the
/// planner follows the coordinator, so that its updates were never fetched again. An invalid entry
/// of a valid reply must not affect the other entries.
#[test]
fn an_unusable_reply_does_not_advance_the_watch_index() {
    let (coordinator, address) = listener();
    let (machine, machine_address) = listener();
    let node = start_node_with("useless", &address, &[], disable_probes);
    let (_, stream) = accept_call(&coordinator);
    reply(&stream, &json!({"index": 5, "updates": [{"endpoints": {"hosts": []}}]}));
    let (again, stream) = accept_call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    // A status other than 200 and a body that is not JSON do not advance the index either.
    (&stream).write_all(b"HTTP/1.1 204 No Content\r\n\r\n").unwrap();
    let (again, mut stream) = accept_call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{\"index\":").unwrap();
    let (again, stream) = accept_call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    let odd = json!({"host": "odd", "health": "unheard of"});
    reply(&stream, &update(6, &[odd, entry("a", &machine_address, "in_service", 0)]));
    assert!(read_call(&stream).contains("follow=6&"));
    let mut client = Peer::connect(&node);
    client.send_line(&request(&id(2), json!({})));
    let mut link = Peer::accept(&machine);
    assert_eq!(link.next_of_kind("open").unwrap()["sid"], id(2));
}

/// The coordinator stops in the middle of a reply, or never replies, on a connection that stays
/// open. The planner must close it and send its call again on a new connection.
#[test]
fn retries_a_watch_call_that_stalls() {
    let (coordinator, address) = listener();
    let _node = start_node_with("silent", &address, &[], disable_probes);
    let (_, mut half) = accept_call(&coordinator);
    half.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n{\"index\":7,\"upd").unwrap();
    let since = Instant::now();
    let (again, _second) = accept_call(&coordinator);
    assert!(again.contains("follow=1&"), "{again}");
    assert!(since.elapsed() < Duration::from_secs(4), "{:?}", since.elapsed());
    // The planner closes the old connection.
    assert!(reads_to_end(&mut half));
    // The second call got no reply at all and is retried too.
    assert!(accept_call(&coordinator).0.contains("follow=1&"));
}

/// The coordinator moves to an address where its event indices are lower. Guards against following
/// from an index that the new coordinator never reaches, after which no update arrived any more. A
/// single reply with a lower index may be a late one; after eight of them the planner restarts from
/// index 0.
#[test]
fn restarts_from_index_zero_when_coordinator_indices_go_back() {
    let (old, address) = listener();
    let (new, moved) = listener();
    let (machine, machine_address) = listener();
    let node = start_node_with("numbers", &address, &[], disable_probes);
    let (_, stream) = accept_call(&old);
    reply(&stream, &update(40, &[]));
    assert!(read_call(&stream).contains("follow=40&"));
    let text = std::fs::read_to_string(&node.file).unwrap();
    std::fs::write(&node.file, text.replace(&address, &moved)).unwrap();
    node.signal("-HUP");
    let renumbered = update(3, &[entry("a", &machine_address, "in_service", 0)]);
    let mut follows_old_index = Vec::new();
    let stream = loop {
        let (call, stream) = accept_call(&new);
        follows_old_index.push(call.contains("follow=40&"));
        if call.contains("follow=0&") {
            break stream;
        }
        assert!(follows_old_index.len() < 20, "the planner keeps following from the old index");
        reply(&stream, &renumbered);
        // After the eighth reply the planner restarts from 0 on the same connection.
        if follows_old_index.len() == 8 {
            assert!(read_call(&stream).contains("follow=0&"));
            break stream;
        }
    };
    assert_eq!(follows_old_index, [true; 8]);
    reply(&stream, &renumbered);
    let mut client = Peer::connect(&node);
    client.send_line(&request(&id(2), json!({})));
    assert_eq!(Peer::accept(&machine).next_of_kind("open").unwrap()["sid"], id(2));
}
