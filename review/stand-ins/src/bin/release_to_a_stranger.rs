//! Case: the connection of owner A is reset while its task stands, and A comes back on a new one.
//! The task's release must reach A within 1 s, and nobody else.
use review_stand_ins::coordinator::Coordinator;
use review_stand_ins::front::Front;
use review_stand_ins::machine::Machine;
use review_stand_ins::owner::{Connection, Request};
use review_stand_ins::planner::{free_address, write_config, Deployment, Planner};
use review_stand_ins::{could_not_run, plays_trouble, record, verdict, Message};
use std::thread::sleep;
use std::time::Duration;

/// The page's limit after a machine's release, and its slack on sockets.
const RELEASE_LIMIT_MS: f64 = 1_000.0 + 50.0;
/// For how long the release is waited for: the page's limit where no release could be sent.
const WAIT: Duration = Duration::from_millis(8_050);

fn main() {
    record::start();
    let machines: Vec<Machine> =
        (0..3).map(|n| Machine::start(&format!("s-{n}"), if n < 2 { "hall-a" } else { "hall-b" })).collect();
    let entries: Vec<_> = machines.iter().map(|machine| machine.entry("in_service")).collect();
    let coordinator = Coordinator::start(&entries);
    let listen = free_address();
    let config = std::env::temp_dir().join("config.json");
    write_config(&config, listen, coordinator.address, &coordinator.known(), &Deployment::default(), 7);
    let planner = Planner::start(listen, config);
    let Some(test) = Connection::open_tested("front test", listen) else {
        could_not_run(Some(planner), "the planner passed no test");
    };
    test.close();
    let front = Front::start(listen);
    let (Some(a1), Some(b)) =
        (Connection::open("owner A, 1", front.address), Connection::open("owner B", front.address))
    else {
        could_not_run(Some(planner), "no connection came up");
    };
    let place = |connection: &Connection, id: &str, key: &str, tenant: &str| {
        let request = Request { tenant, ..Request::small(id, key) };
        connection.place(&request).is_some_and(|answer| answer.message.kind == "ready")
    };
    let id = "0000000000000a01";
    let mut placed = place(&a1, id, "00000000000000a1", "orders");
    placed &= place(&b, "0000000000000b01", "00000000000000b1", "dispatch");
    sleep(Duration::from_millis(500));
    if plays_trouble() {
        front.reset(a1.local_address());
        sleep(Duration::from_millis(100));
    }
    // Owner A comes back and places a second task, then owner B places another one.
    let Some(a2) = Connection::open("owner A, 2", front.address) else {
        could_not_run(Some(planner), "no connection came up");
    };
    placed &= place(&a2, "0000000000000a02", "00000000000000a2", "orders");
    sleep(Duration::from_millis(500));
    placed &= place(&b, "0000000000000b02", "00000000000000b2", "dispatch");
    let holder = machines.iter().find(|machine| machine.holds(id));
    let (true, Some(holder)) = (placed, holder) else {
        could_not_run(Some(planner), "a task was not placed")
    };
    sleep(Duration::from_millis(500));
    let released_at_ms = holder.end_task(id, 16);
    sleep(WAIT);
    let is_release = |message: &Message| message.id == id && message.kind == "close";
    let now = Duration::ZERO;
    let own = [&a1, &a2].into_iter().find_map(|connection| connection.wait_for(now, is_release));
    let mut broken = Vec::new();
    match own {
        Some(release) if release.at_ms - released_at_ms <= RELEASE_LIMIT_MS => {}
        Some(release) => {
            let after_ms = release.at_ms - released_at_ms;
            broken.push(format!("owner A got the release {after_ms:.0} ms after the machine's; at most {RELEASE_LIMIT_MS:.0} ms are allowed"));
        }
        None => broken.push("owner A, connected all the time, never got the release of its task".to_owned()),
    }
    if b.wait_for(now, |message| message.id == id).is_some() {
        broken.push("owner B got the release of owner A's task".to_owned());
    }
    verdict(Some(planner), &broken);
}
