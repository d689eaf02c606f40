//! Case: a machine that drains still holds a task and vanishes. Its owner must be sent the release
//! within 8 s of the task's end.
use review_stand_ins::coordinator::Coordinator;
use review_stand_ins::machine::Machine;
use review_stand_ins::owner::{Connection, Request};
use review_stand_ins::planner::{free_address, write_config, Deployment, Planner};
use review_stand_ins::{could_not_run, plays_trouble, record, verdict};
use std::thread::sleep;
use std::time::Duration;

/// The page's limit for an end of which no release could be sent, and its slack on sockets.
const RELEASE_LIMIT_MS: f64 = 8_000.0 + 50.0;
/// When the coordinator notices that a machine is silent: within the site's `silent_notice_s`.
const NOTICE_MS: u64 = 11_000;

fn main() {
    record::start();
    let zones = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b"];
    let machines: Vec<Machine> =
        zones.iter().enumerate().map(|(index, zone)| Machine::start(&format!("s-{index}"), zone)).collect();
    let entries: Vec<_> = machines.iter().map(|machine| machine.entry("in_service")).collect();
    let coordinator = Coordinator::start(&entries);
    let listen = free_address();
    let config = std::env::temp_dir().join("config.json");
    write_config(&config, listen, coordinator.address, &coordinator.known(), &Deployment::default(), 7);
    let planner = Planner::start(listen, config);
    let Some(owner) = Connection::open_tested("owner", listen) else {
        could_not_run(Some(planner), "the planner passed no test");
    };
    let id = "0000000000000101";
    let answer = owner.place(&Request::small(id, "00000000000000a1"));
    let holder = machines.iter().find(|machine| machine.holds(id));
    let (Some(_), Some(holder)) = (answer.filter(|answer| answer.message.kind == "ready"), holder) else {
        could_not_run(Some(planner), "the task was not placed");
    };
    record::note(&format!("the task stands on {}", holder.host));
    sleep(Duration::from_millis(1_500));
    holder.drain();
    coordinator.tell(false, &[holder.entry("terminating")]);
    sleep(Duration::from_millis(3_000));
    let (ended_at_ms, limit_ms) = match plays_trouble() {
        true => (holder.vanish(), RELEASE_LIMIT_MS),
        // A task that ends on a machine that drains is released by the machine: 1 s.
        false => (holder.end_task(id, 16), 1_000.0 + 50.0),
    };
    sleep(Duration::from_millis(NOTICE_MS));
    coordinator.tell(false, &[holder.entry("terminated")]);
    let release =
        owner.wait_for(Duration::from_secs(4), |message| message.id == id && message.kind == "close");
    let broken = match &release {
        Some(release) if release.at_ms - ended_at_ms <= limit_ms => Vec::new(),
        Some(release) => {
            let after_ms = release.at_ms - ended_at_ms;
            vec![format!("the release came {after_ms:.0} ms after the task's end; at most {limit_ms:.0} ms are allowed")]
        }
        None => vec!["no release came for a task that stood and is over".to_owned()],
    };
    verdict(Some(planner), &broken);
}
