//! Checks that `basaltpitch node` starts no attempt for a request whose cancellation or whose
//! client's disconnect has already arrived, wherever the request waits. Each race is forced on real
//! sockets.
mod wire;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use wire::*;

/// Reads the links in background threads and returns a channel with the ids of the requests
/// received.
fn collect_request_ids(links: Vec<Peer>) -> Receiver<String> {
    let (sender, ids) = channel();
    for mut link in links {
        let sender = sender.clone();
        std::thread::spawn(move || {
            while let Some(line) = link.next_line() {
                if line["msg"] == "open" && sender.send(line["sid"].as_str().unwrap().to_owned()).is_err() {
                    return;
                }
            }
        });
    }
    ids
}

/// Returns a client whose connection the planner has accepted.
fn accepted_client(node: &Node) -> Peer {
    let mut client = Peer::connect(node);
    client.send_line(&message("probe", &id(1), json!({}), 0));
    client.next_of_kind("probed").unwrap();
    client
}

/// While the process is paused, clients send requests and then cancel them, close or reset. Guards
/// against attempts for requests that the planner reads together with their cancellation.
#[test]
fn drops_requests_cancelled_before_they_are_read() {
    let (machine, machine_address) = listener();
    let node = start_node_with("taken-back", &free_address(), &[("a", &machine_address)], disable_probes);
    let (mut canceller, mut closer, mut remaining) =
        (accepted_client(&node), accepted_client(&node), accepted_client(&node));
    remaining.send_line(&request(&id(2), json!({})));
    let mut link = Peer::accept(&machine);
    link.next_of_kind("open").unwrap();
    node.pause();
    for n in 10..20 {
        canceller.send_line(&request(&id(n), json!({})));
        canceller.send_line(&message("close", &id(n), json!({}), 16));
        closer.send_line(&request(&id(n + 10), json!({})));
    }
    drop(closer);
    let mut resetter = Peer::connect(&node);
    resetter.send_line(&request(&id(40), json!({})));
    resetter.reset();
    remaining.send_line(&request(&id(50), json!({})));
    node.resume();
    assert_eq!(link.next_of_kind("open").unwrap()["sid"], id(50));
    remaining.send_line(&request(&id(51), json!({})));
    assert_eq!(link.next_of_kind("open").unwrap()["sid"], id(51));
    for n in 10..20 {
        let end = canceller.next_line().unwrap();
        assert_eq!((&end["msg"], &end["sid"]), (&json!("closed"), &json!(id(n))));
    }
}

/// Machines refuse attempts at the same time as their clients cancel or disconnect. Guards against
/// further attempts that began because the refusal was handled before the client's departure.
#[test]
fn does_not_retry_refused_attempts_of_departed_clients() {
    let (machines, addresses): (Vec<TcpListener>, Vec<String>) = (0..2).map(|_| listener()).unzip();
    let node = start_node_with(
        "further",
        &free_address(),
        &[("a", &addresses[0]), ("b", &addresses[1])],
        disable_probes,
    );
    // Each of 20 clients has one request open on one of the two machines.
    let mut clients: Vec<Peer> = (0..20).map(|_| accepted_client(&node)).collect();
    let mut remaining = accepted_client(&node);
    for (n, client) in clients.iter_mut().enumerate() {
        let service = format!("cores:1;memory:1;service:{:016x}", 0xb1 + n);
        client.send_line(&request(&id(100 + n as u64), json!({"extras": service})));
    }
    let mut links: Vec<Peer> = machines.iter().map(Peer::accept).collect();
    let (mut open, mut ids_by_link) = (0, [Vec::new(), Vec::new()]);
    for (link, ids) in links.iter_mut().zip(&mut ids_by_link) {
        link.stream().set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        let until = Instant::now() + Duration::from_secs(5);
        while Instant::now() < until && open < 20 {
            let mut line = String::new();
            if std::io::BufRead::read_line(&mut link.read, &mut line).is_err() {
                break;
            }
            let line: Value = serde_json::from_str(&line).unwrap();
            ids.push(line["sid"].as_str().unwrap().to_owned());
            open += 1;
        }
        link.stream().set_read_timeout(Some(TIMEOUT)).unwrap();
    }
    assert!(open == 20 && ids_by_link.iter().all(|ids| !ids.is_empty()), "{ids_by_link:?}");
    node.pause();
    for (link, ids) in links.iter_mut().zip(&ids_by_link) {
        ids.iter().for_each(|id| link.send_line(&message("close", id, json!({"note": "queue_full"}), 34)));
    }
    for (n, mut client) in clients.into_iter().enumerate() {
        match n % 3 {
            0 => client.send_line(&message("close", &id(100 + n as u64), json!({}), 16)),
            1 => drop(client),
            _ => client.reset(),
        }
    }
    remaining.send_line(&request(&id(500), json!({})));
    node.resume();
    let started = collect_request_ids(links);
    assert_eq!(started.recv_timeout(TIMEOUT).unwrap(), id(500));
    remaining.send_line(&request(&id(501), json!({})));
    assert_eq!(started.recv_timeout(TIMEOUT).unwrap(), id(501));
}

/// A request is cancelled while the connection to its machine is being established; it must not be
/// sent once the connection is up.
#[test]
fn drops_requests_cancelled_while_the_machine_is_dialled() {
    let (machine, queued, address) = full_listener();
    let node = start_node_with("dial", &free_address(), &[("a", &address)], |configuration| {
        disable_probes(configuration);
        configuration["settings"]["permissions"]["connectTimeoutUs"] = json!(10_000_000);
    });
    let (mut canceller, mut closer, mut remaining) =
        (accepted_client(&node), accepted_client(&node), accepted_client(&node));
    canceller.send_line(&request(&id(2), json!({})));
    closer.send_line(&request(&id(3), json!({})));
    remaining.send_line(&request(&id(4), json!({"left": "12000"})));
    canceller.send_line(&message("close", &id(2), json!({}), 16));
    assert_eq!(canceller.next_line().unwrap()["msg"], "closed");
    drop(closer);
    // The answer to a later probe shows that the requests before it were read.
    remaining.send_line(&message("probe", &id(5), json!({}), 0));
    remaining.next_of_kind("probed").unwrap();
    accept(&machine);
    drop(queued);
    let mut link = Peer::accept(&machine);
    let first = link.next_of_kind("open").unwrap();
    assert_eq!(first["sid"], id(4));
}

/// A machine that reads slowly leaves requests in the planner's outgoing queue, and their client
/// disconnects meanwhile. Guards against sending them all the same. When the planner's core was
/// busy and the machine read on a free one, the writer never had to wait, so the client's
/// disconnect was not read before the queue was empty: a system call trace showed up to 614
/// requests written between two polls of the sockets, and two once the writer yielded.
#[test]
fn drops_queued_requests_of_a_disconnected_client() {
    const REQUESTS: u64 = 800;
    let address = free_address();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind(&address.parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(16).unwrap();
    let machine = TcpListener::from(socket);
    let node = start_node_with("queue", &free_address(), &[("a", &address)], |configuration| {
        disable_probes(configuration);
        // The long timeout leaves the client's disconnect as the only reason to drop a queued
        // request.
        configuration["settings"]["permissions"]["connectTimeoutUs"] = json!(60_000_000);
    });
    let (mut leaver, mut remaining) = (accepted_client(&node), accepted_client(&node));
    let small = "cores:0.01;memory:0.01;service:00000000000000b1";
    let text = "x".repeat(15_000);
    (10..10 + REQUESTS)
        .for_each(|n| leaver.send_line(&request(&id(n), json!({"extras": small, "text": text}))));
    leaver.send_line(&message("probe", &id(5), json!({}), 0));
    leaver.next_of_kind("probed").unwrap();
    drop(leaver);
    remaining.send_line(&request(&id(2), json!({"extras": small})));
    let link = Peer::accept(&machine);
    let started = collect_request_ids(vec![link]);
    let mut seen = Vec::new();
    while seen.last() != Some(&id(2)) {
        seen.push(started.recv_timeout(TIMEOUT).unwrap());
    }
    assert!(
        seen.len() < REQUESTS as usize / 2 && !seen.contains(&id(9 + REQUESTS)),
        "{} requests reached the machine; expected fewer than half, without the last one",
        seen.len()
    );
}

/// A machine dies and another one comes up at its address before the list says so. Guards against
/// this failure: a task that was placed after that ran at the new machine and counted as lost with the
/// old one; its client was told so and placed it again, and it ran twice.
#[test]
fn ends_tasks_taken_by_another_machine_at_the_address_of_one_that_is_gone() {
    let (coordinator, coordinator_address) = listener();
    let (machine, address) = listener();
    let node = start_node_with("reused", &coordinator_address, &[("a", &address)], disable_probes);
    let (_, stream) = accept_call(&coordinator);
    let mut client = Peer::connect(&node);
    client.send_line(&request(&id(1), json!({})));
    let mut of_old = Peer::accept(&machine);
    assert_eq!(of_old.next_of_kind("open").unwrap()["sid"], id(1));
    of_old.send_line(&ready(&id(1), "runs at the old machine"));
    client.next_of_kind("ready").unwrap();
    of_old.reset();
    let mut of_new = Peer::accept(&machine);
    client.send_line(&request(&id(2), json!({})));
    assert_eq!(of_new.next_of_kind("open").unwrap()["sid"], id(2));
    of_new.send_line(&ready(&id(2), "runs at the new machine"));
    client.next_of_kind("ready").unwrap();
    let hosts = [entry("a", &address, "terminated", 0), entry("b", &address, "in_service", 0)];
    reply(&stream, &update(2, &hosts));
    let lost = [client.next_of_kind("close").unwrap(), client.next_of_kind("close").unwrap()];
    assert_eq!(lost.map(|line| line["sid"].clone()), [id(1), id(2)]);
    let mut ended = Vec::new();
    while let Some(close) = of_new.next_of_kind("close") {
        ended.push(close["sid"].as_str().unwrap().to_owned());
        if ended.contains(&id(2)) {
            return;
        }
    }
    panic!("the new machine was told to end {ended:?}; expected also {}", id(2));
}
