//! Checks that 20 planner processes together respect the slow-start limit of one machine.
mod wire;
use serde_json::json;
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wire::*;

const PLANNERS: usize = 20;
/// Attempts that the machine may receive per window (`fallUs`, one second) during slow start.
const MAX_ATTEMPTS_PER_WINDOW: usize = 6;
const WINDOW: Duration = Duration::from_secs(1);

/// Starts a planner process that knows one machine, started at `machine_started_ms`. `incarnation`
/// counts the restarts of this planner.
fn start_planner(number: usize, incarnation: usize, machine: &str, machine_started_ms: u64) -> Node {
    start_node_with(&format!("cold-{number}-{incarnation}"), &free_address(), &[], |configuration| {
        disable_probes(configuration);
        let settings = &mut configuration["settings"];
        (settings["myNumber"], settings["nInstances"]) = (json!(number), json!(PLANNERS));
        settings["familyInfo"]["coldSends"] = json!(MAX_ATTEMPTS_PER_WINDOW);
        let hosts = [entry("a", machine, "in_service", machine_started_ms as i64)];
        configuration["known"] = json!({"index": 1, "updates": [
            {"index": 1, "endpoints": {"seq": 1, "whole": true, "hosts": hosts}}]});
    })
}

/// Submits many small requests that wait for capacity, so that the planner starts an attempt
/// whenever its slow-start limit admits one.
fn submit_backlog(node: &Node, first_id: u64) -> Peer {
    let mut client = Peer::connect(node);
    for n in 0..40 {
        let small = json!({"extras": "cores:0.01;memory:0.01;service:00000000000000b1"});
        client.send_line(&request(&id(first_id + n), small));
    }
    client
}

/// 20 planners send attempts to a machine that has just started, and a third of the planners are
/// restarted meanwhile. No window exceeds the limit by more than random variation (two standard
/// deviations plus 2 attempts), and the machine receives at least as many attempts in total as the
/// limit of one window.
#[test]
fn twenty_planners_respect_one_machines_slow_start_limit() {
    let (machine, address): (TcpListener, String) = listener();
    let machine_started_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let (sender, arrivals) = channel();
    let accepting = machine.try_clone().unwrap();
    std::thread::spawn(move || {
        for stream in accepting.incoming() {
            let Ok(stream) = stream else { return };
            let sender = sender.clone();
            std::thread::spawn(move || {
                let mut link = Peer::new(stream);
                while let Some(open) = link.next_of_kind("open") {
                    let _ = sender.send(Instant::now());
                    link.send_line(&ready(open["sid"].as_str().unwrap(), "taken"));
                }
            });
        }
    });
    let mut planners: Vec<Node> =
        (0..PLANNERS).map(|n| start_planner(n, 0, &address, machine_started_ms)).collect();
    let mut clients: Vec<Peer> =
        planners.iter().zip(0..).map(|(p, n)| submit_backlog(p, 1 + 1000 * n)).collect();
    let since = Instant::now();
    wait_until(since, 2_500);
    for n in (0..PLANNERS).step_by(3) {
        planners[n].child.kill().unwrap();
        planners[n].child.wait().unwrap();
        planners[n] = start_planner(n, 1, &address, machine_started_ms);
        clients[n] = submit_backlog(&planners[n], 1 + 1000 * (PLANNERS + n) as u64);
    }
    // The machine is warming up all the while: the settings say 14 s.
    wait_until(since, 7_000);
    let arrived_at: Vec<Instant> = arrivals.try_iter().collect();
    let most = (0..arrived_at.len())
        .map(|i| arrived_at[i..].iter().take_while(|&&t| t < arrived_at[i] + WINDOW).count())
        .max();
    let limit = MAX_ATTEMPTS_PER_WINDOW as f64;
    assert!(
        most.unwrap_or(0) as f64 <= limit + 2.0 * limit.sqrt() + 2.0,
        "{most:?} attempts in one window; expected about {MAX_ATTEMPTS_PER_WINDOW} at most"
    );
    assert!(arrived_at.len() >= MAX_ATTEMPTS_PER_WINDOW, "{} attempts in total", arrived_at.len());
}
