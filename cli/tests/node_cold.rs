//! The cold budget of one machine, kept by the sum of 20 processes of the real binary.
mod wire;
use serde_json::json;
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::*;

const PLANNERS: usize = 20;
/// What the machine bears in `fallUs`, which is a second.
const BEARS: usize = 6;
const WINDOW: Duration = Duration::from_secs(1);

fn planner(number: usize, life: usize, machine: &str, born_ms: u64) -> Node {
    started_with(&format!("cold-{number}-{life}"), &free_address(), &[], |c| {
        quiet(c);
        let settings = &mut c["settings"];
        (settings["myNumber"], settings["nInstances"]) = (json!(number), json!(PLANNERS));
        settings["familyInfo"]["coldSends"] = json!(BEARS);
        let hosts = [entry("a", machine, "in_service", born_ms as i64)];
        c["known"] = json!({"index": 1, "updates": [
            {"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]});
    })
}

/// Many small requests that wait for room, so that the planner sends whenever it may.
fn press(node: &Node, first: u64) -> Peer {
    let mut client = Peer::to(node);
    for n in 0..40 {
        let small = json!({"extras": "cores:0.01;memory:0.01;service:00000000000000b1"});
        client.say(&request(&id(first + n), small));
    }
    client
}

/// A machine that has just started hears from 20 planners at once, a third of which are restarted meanwhile:
/// no window sees more than its budget and chance, and it gets its share.
#[test]
fn twenty_processes_keep_the_budget_of_one_cold_machine() {
    let (machine, at): (TcpListener, String) = listener();
    let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let (arrives, arrivals) = channel();
    let accepting = machine.try_clone().unwrap();
    std::thread::spawn(move || {
        for stream in accepting.incoming() {
            let Ok(stream) = stream else { return };
            let arrives = arrives.clone();
            std::thread::spawn(move || {
                let mut link = Peer::new(stream);
                while let Some(open) = link.next("open") {
                    let _ = arrives.send(Instant::now());
                    link.say(&ready(open["sid"].as_str().unwrap(), "taken"));
                }
            });
        }
    });
    let mut planners: Vec<Node> = (0..PLANNERS).map(|n| planner(n, 0, &at, born_ms)).collect();
    let mut clients: Vec<Peer> = planners.iter().zip(0..).map(|(p, n)| press(p, 1 + 1000 * n)).collect();
    let since = Instant::now();
    wait_until(since, 2_500);
    for n in (0..PLANNERS).step_by(3) {
        planners[n].child.kill().unwrap();
        planners[n].child.wait().unwrap();
        planners[n] = planner(n, 1, &at, born_ms);
        clients[n] = press(&planners[n], 1 + 1000 * (PLANNERS + n) as u64);
    }
    // All the while the machine is cold, which the settings say is 14 s.
    wait_until(since, 7_000);
    let at: Vec<Instant> = arrivals.try_iter().collect();
    let most = (0..at.len()).map(|i| at[i..].iter().take_while(|&&t| t < at[i] + WINDOW).count()).max();
    let bears = BEARS as f64;
    assert!(most.unwrap_or(0) as f64 <= bears + 2.0 * bears.sqrt() + 2.0, "{most:?} in a window of {BEARS}");
    assert!(at.len() >= BEARS, "{} in all", at.len());
}
