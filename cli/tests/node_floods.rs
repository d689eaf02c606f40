//! Runs `basaltpitch node` against clients that send more than it can handle: it must keep within its
//! memory limit, and place nothing for a client that has left.
mod wire;
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::thread::JoinHandle;
use wire::*;

/// Number of clients that send at once; the limit of 64 descriptors leaves 29 to clients.
const CLIENTS: usize = 20;
/// Bytes that each of them sends.
const BYTES_PER_CLIENT: usize = 4_000_000;
/// Number of requests that a client leaves behind.
const REQUESTS: u64 = 1_000;

/// Returns a line without effect whose attributes hold this JSON value, repeated up to a length near
/// the maximum.
fn line_of_many(value: &str) -> String {
    let values = vec![value; 15_000 / (value.len() + 1)].join(",");
    format!("{{\"msg\":\"closed\",\"sid\":\"{}\",\"attrs\":{{\"a\":[{values}]}}}}\n", id(1))
}

/// Sends a line many times, in the background; ends early if the planner closes the connection.
fn send_repeatedly(mut stream: TcpStream, line: String) -> JoinHandle<()> {
    std::thread::spawn(move || {
        for _ in 0..BYTES_PER_CLIENT / line.len() {
            if stream.write_all(line.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Guards against this failure: clients sent lines of very many short values faster than the planner
/// handled them; the lines piled up, parsed, and the process was killed at its memory limit.
#[test]
fn stays_within_its_memory_when_clients_send_lines_of_many_values() {
    let node = start_node_with("many-values", &free_address(), &[], disable_probes);
    for value in ["[]", "{\"b\":1}", "1"] {
        let streams = (0..CLIENTS).map(|_| TcpStream::connect(&node.listen).unwrap());
        let senders: Vec<JoinHandle<()>> =
            streams.map(|stream| send_repeatedly(stream, line_of_many(value))).collect();
        senders.into_iter().for_each(|sender| sender.join().unwrap());
    }
    let mut other = Peer::connect(&node);
    other.send_line(&message("probe", &id(2), json!({}), 0));
    assert_eq!(other.next_of_kind("probed").unwrap()["sid"], id(2));
    let limit = configuration("", "", &[])["limits"]["memory_mb"].as_u64().unwrap() * 1_000_000;
    let peak = node.peak_memory_bytes();
    assert!(peak <= limit, "the planner took {peak} bytes");
}

/// A client sends requests while the planner is paused and closes its connection; it comes back and
/// sends the first one again. Guards against these failures: the planner read a part of the requests
/// before the end of the connection and sent them to machines, and the request that came again was
/// sent twice or got no answer.
#[test]
fn sends_nothing_for_a_client_that_left_with_requests_unread() {
    let (machine, machine_address) = listener();
    let node = start_node_with("left", &free_address(), &[("a", &machine_address)], disable_probes);
    let small = json!({"extras": "cores:0.001;memory:0.001;service:00000000000000b1"});
    let mut client = Peer::connect(&node);
    client.send_line(&request(&id(1), small.clone()));
    let mut link = Peer::accept(&machine);
    link.next_of_kind("open").unwrap();
    link.send_line(&ready(&id(1), "taken"));
    client.next_of_kind("ready").unwrap();
    node.pause();
    let requests: String = (0..REQUESTS).map(|n| request(&id(100 + n), small.clone()) + "\n").collect();
    // All of it fits into the buffers of the kernel.
    client.stream().write_all(requests.as_bytes()).unwrap();
    drop(client);
    let mut again = Peer::connect(&node);
    again.send_line(&request(&id(100), small));
    node.resume();
    let open = link.next_of_kind("open").unwrap();
    assert_eq!(open["sid"], id(100));
    link.send_line(&ready(&id(100), "taken"));
    assert_eq!(again.next_of_kind("ready").unwrap()["sid"], id(100));
    again.send_line(&request(&id(99), json!({})));
    assert_eq!(
        link.next_of_kind("open").unwrap()["sid"],
        id(99),
        "a request of the client that left was sent"
    );
}
