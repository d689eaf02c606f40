//! Clients that have left: no attempt begins for one whose departure had come, wherever what it left behind
//! waits. Each crossing is forced on sockets, against the real binary.
mod wire;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};
use wire::*;

/// The ids of requests as links bring them, from now on.
fn requests_on(links: Vec<Peer>) -> Receiver<String> {
    let (sends, ids) = channel();
    for mut link in links {
        let sends = sends.clone();
        std::thread::spawn(move || {
            while let Some(line) = link.line() {
                if line["msg"] == "open" && sends.send(line["sid"].as_str().unwrap().to_owned()).is_err() {
                    return;
                }
            }
        });
    }
    ids
}

/// A client whose connection is accepted.
fn known(node: &Node) -> Peer {
    let mut client = Peer::to(node);
    client.say(&message("probe", &id(1), json!({}), 0));
    client.next("probed").unwrap();
    client
}

/// Requests that were cancelled, or whose connection ended, while the process stood still were read together
/// with that, and sent on all the same: the attempts began long after their clients had left.
#[test]
fn requests_that_were_taken_back_in_the_kernel_are_not_sent() {
    let (machine, at) = listener();
    let node = started_with("taken-back", &free_address(), &[("a", &at)], quiet);
    let (mut cancels, mut closes, mut stays) = (known(&node), known(&node), known(&node));
    stays.say(&request(&id(2), json!({})));
    let mut link = Peer::of(&machine);
    link.next("open").unwrap();
    node.hold();
    for n in 10..20 {
        cancels.say(&request(&id(n), json!({})));
        cancels.say(&message("close", &id(n), json!({}), 16));
        closes.say(&request(&id(n + 10), json!({})));
    }
    drop(closes);
    let mut resets = Peer::to(&node);
    resets.say(&request(&id(40), json!({})));
    resets.reset();
    stays.say(&request(&id(50), json!({})));
    node.go_on();
    assert_eq!(link.next("open").unwrap()["sid"], id(50));
    stays.say(&request(&id(51), json!({})));
    assert_eq!(link.next("open").unwrap()["sid"], id(51));
    for n in 10..20 {
        let end = cancels.line().unwrap();
        assert_eq!((&end["msg"], &end["sid"]), (&json!("closed"), &json!(id(n))));
    }
}

/// Further attempts of clients that had left began, as the machine's refusal was handled before the client's
/// close.
#[test]
fn a_refusal_that_crosses_a_departure_begins_no_further_attempt() {
    let (machines, at): (Vec<TcpListener>, Vec<String>) = (0..2).map(|_| listener()).unzip();
    let node = started_with("further", &free_address(), &[("a", &at[0]), ("b", &at[1])], quiet);
    // A request of each of 20 clients is open on one of the machines.
    let mut clients: Vec<Peer> = (0..20).map(|_| known(&node)).collect();
    let mut stays = known(&node);
    for (n, client) in clients.iter_mut().enumerate() {
        let service = format!("cores:1;memory:1;service:{:016x}", 0xb1 + n);
        client.say(&request(&id(100 + n as u64), json!({"extras": service})));
    }
    let mut links: Vec<Peer> = machines.iter().map(Peer::of).collect();
    let (mut open, mut on) = (0, [Vec::new(), Vec::new()]);
    for (link, ids) in links.iter_mut().zip(&mut on) {
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
    assert!(open == 20 && on.iter().all(|ids| !ids.is_empty()), "{on:?}");
    node.hold();
    for (link, ids) in links.iter_mut().zip(&on) {
        ids.iter().for_each(|id| link.say(&message("close", id, json!({"note": "queue_full"}), 34)));
    }
    for (n, mut client) in clients.into_iter().enumerate() {
        match n % 3 {
            0 => client.say(&message("close", &id(100 + n as u64), json!({}), 16)),
            1 => drop(client),
            _ => client.reset(),
        }
    }
    stays.say(&request(&id(500), json!({})));
    node.go_on();
    let begun = requests_on(links);
    assert_eq!(begun.recv_timeout(TIMEOUT).unwrap(), id(500));
    stays.say(&request(&id(501), json!({})));
    assert_eq!(begun.recv_timeout(TIMEOUT).unwrap(), id(501));
}

/// A request that was cancelled while its machine's connection was on its way up is not sent once it is up.
#[test]
fn what_was_taken_back_during_a_dial_is_not_sent() {
    let (machine, fills, address) = full_listener();
    let node = started_with("dial", &free_address(), &[("a", &address)], |c| {
        quiet(c);
        c["settings"]["permissions"]["connectTimeoutUs"] = json!(10_000_000);
    });
    let (mut cancels, mut closes, mut stays) = (known(&node), known(&node), known(&node));
    cancels.say(&request(&id(2), json!({})));
    closes.say(&request(&id(3), json!({})));
    stays.say(&request(&id(4), json!({"left": "12000"})));
    cancels.say(&message("close", &id(2), json!({}), 16));
    assert_eq!(cancels.line().unwrap()["msg"], "closed");
    drop(closes);
    // What is said behind it is answered once it was read.
    stays.say(&message("probe", &id(5), json!({}), 0));
    stays.next("probed").unwrap();
    accept(&machine);
    drop(fills);
    let mut link = Peer::of(&machine);
    let first = link.next("open").unwrap();
    assert_eq!(first["sid"], id(4));
}

/// A machine that takes nothing held lines in the planner's queue; those of clients that had left went out
/// once it read again. Where the planner's core was busy and the machine read on a free one, all of them did: the
/// writer never waited while the machine took its bytes, so that the client's departure, which had come long ago,
/// was not read before the queue was empty. A trace of the system calls showed up to 614 requests written between
/// two looks at the sockets; with the writer giving way, two.
#[test]
fn what_was_taken_back_in_the_queue_of_a_link_is_not_sent() {
    const REQUESTS: u64 = 800;
    let address = free_address();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind(&address.parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(16).unwrap();
    let machine = TcpListener::from(socket);
    let node = started_with("queue", &free_address(), &[("a", &address)], |c| {
        quiet(c);
        // Nothing but the client's departure takes a line back here.
        c["settings"]["permissions"]["connectTimeoutUs"] = json!(60_000_000);
    });
    let (mut leaves, mut stays) = (known(&node), known(&node));
    let small = "cores:0.01;memory:0.01;service:00000000000000b1";
    let text = "x".repeat(15_000);
    (10..10 + REQUESTS).for_each(|n| leaves.say(&request(&id(n), json!({"extras": small, "text": text}))));
    leaves.say(&message("probe", &id(5), json!({}), 0));
    leaves.next("probed").unwrap();
    drop(leaves);
    stays.say(&request(&id(2), json!({"extras": small})));
    let link = Peer::of(&machine);
    let begun = requests_on(vec![link]);
    let mut seen = Vec::new();
    while seen.last() != Some(&id(2)) {
        seen.push(begun.recv_timeout(TIMEOUT).unwrap());
    }
    assert!(
        seen.len() < REQUESTS as usize / 2 && !seen.contains(&id(9 + REQUESTS)),
        "{} were sent",
        seen.len()
    );
}
