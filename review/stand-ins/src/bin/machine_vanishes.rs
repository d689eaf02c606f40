//! Look: a ready machine that holds a task vanishes right after it passed a test.
use review_stand_ins::coordinator::Coordinator;
use review_stand_ins::machine::Machine;
use review_stand_ins::owner::{Connection, Request};
use review_stand_ins::planner::{free_address, write_config, Deployment, Planner};
use review_stand_ins::{could_not_run, record, verdict};
use std::thread::sleep;
use std::time::Duration;

fn main() {
    record::start();
    let planners: usize = std::env::var("PLANNERS").ok().and_then(|x| x.parse().ok()).unwrap_or(2);
    let delay: u64 = std::env::var("DELAY").ok().and_then(|x| x.parse().ok()).unwrap_or(0);
    let machines: Vec<Machine> = (0..5).map(|n| Machine::start(&format!("s-{n}"), if n < 3 { "hall-a" } else { "hall-b" })).collect();
    let entries: Vec<_> = machines.iter().map(|machine| machine.entry("in_service")).collect();
    let coordinator = Coordinator::start(&entries);
    let listen = free_address();
    let config = std::env::temp_dir().join("config.json");
    let deployment = Deployment { planners, ..Deployment::default() };
    write_config(&config, listen, coordinator.address, &coordinator.known(), &deployment, 7);
    let planner = Planner::start(listen, config);
    let Some(owner) = Connection::open_tested("owner", listen) else {
        could_not_run(Some(planner), "the planner passed no test");
    };
    let id = "0000000000000101";
    let answer = owner.place(&Request::small(id, "00000000000000a1"));
    let holder = machines.iter().find(|machine| machine.holds(id));
    let (Some(_), Some(holder)) = (answer, holder) else { could_not_run(Some(planner), "not placed") };
    sleep(Duration::from_millis(1_500));
    let before = holder.probes_answered();
    for _ in 0..3000 {
        if holder.probes_answered() > before { break; }
        sleep(Duration::from_millis(5));
    }
    sleep(Duration::from_millis(delay));
    let at = holder.vanish();
    let release = owner.wait_for(Duration::from_secs(30), |message| message.id == id && message.kind == "close");
    let after = release.map(|r| r.at_ms - at);
    record::note(&format!("planners {planners} release after {after:?}"));
    verdict(Some(planner), &[]);
}
