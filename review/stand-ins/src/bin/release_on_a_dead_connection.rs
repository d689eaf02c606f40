//! Case: a machine's answer is lost, and the connection is left open and of no further use. A task
//! that was placed over this connection earlier ends 6 s later. Its owner must get the release.
use review_stand_ins::coordinator::{Coordinator, Entry};
use review_stand_ins::machine::Machine;
use review_stand_ins::owner::{Connection, Request};
use review_stand_ins::planner::{free_address, write_config, Deployment, Planner};
use review_stand_ins::proxy::Proxy;
use review_stand_ins::{could_not_run, plays_trouble, record, verdict};
use std::thread::sleep;
use std::time::Duration;

/// The page's limit where no release could be sent, and its slack on sockets.
const RELEASE_LIMIT_MS: f64 = 8_000.0 + 50.0;

fn main() {
    record::start();
    let machines: Vec<Machine> =
        (0..3).map(|n| Machine::start(&format!("s-{n}"), if n < 2 { "hall-a" } else { "hall-b" })).collect();
    let proxies: Vec<Proxy> =
        machines.iter().map(|machine| Proxy::start(&machine.host, machine.address)).collect();
    let entries: Vec<Entry> = machines
        .iter()
        .zip(&proxies)
        .map(|(machine, proxy)| Entry { dial: proxy.address, ..machine.entry("in_service") })
        .collect();
    let coordinator = Coordinator::start(&entries);
    let listen = free_address();
    let config = std::env::temp_dir().join("config.json");
    write_config(&config, listen, coordinator.address, &coordinator.known(), &Deployment::default(), 7);
    let planner = Planner::start(listen, config);
    let Some(owner) = Connection::open_tested("owner", listen) else {
        could_not_run(Some(planner), "the planner passed no test");
    };
    // The first task stands on a machine; the second one, of the same service, goes there as well.
    let (first, second) = ("0000000000000101", "0000000000000102");
    let answer = owner.place(&Request::small(first, "00000000000000a1"));
    let holder = machines.iter().position(|machine| machine.holds(first));
    let (Some("ready"), Some(holder)) = (answer.as_ref().map(|answer| answer.message.kind.as_str()), holder)
    else {
        could_not_run(Some(planner), "the task was not placed");
    };
    record::note(&format!("the first task stands on {}", machines[holder].host));
    sleep(Duration::from_millis(700));
    if plays_trouble() {
        proxies[holder].lose_answer_to(second);
    }
    let answer = owner.place(&Request::small(second, "00000000000000a2"));
    if answer.is_none_or(|answer| answer.message.kind != "ready") {
        could_not_run(Some(planner), "the second task was not placed");
    }
    if plays_trouble() && proxies[holder].lost_at_ms().is_none() {
        could_not_run(Some(planner), "the second task went to another machine at first");
    }
    let lost_at_ms = proxies[holder].lost_at_ms().unwrap_or_else(record::now_ms);
    sleep(Duration::from_millis((lost_at_ms + 6_000.0 - record::now_ms()).max(0.0) as u64));
    let ended_at_ms = machines[holder].end_task(first, 16);
    sleep(Duration::from_millis(RELEASE_LIMIT_MS as u64 + 50));
    let release = owner.wait_for(Duration::ZERO, |message| message.id == first && message.kind == "close");
    let broken = match release {
        Some(release) if release.at_ms - ended_at_ms <= RELEASE_LIMIT_MS => Vec::new(),
        _ => vec![format!("the owner got no release within {RELEASE_LIMIT_MS:.0} ms of its task's end")],
    };
    verdict(Some(planner), &broken);
}
