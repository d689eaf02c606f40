//! Case: discovery breaks off for 12 s, and two of four machines begin to drain meanwhile. No
//! set-up may reach them later than the grace after the drains count as told.
use review_stand_ins::coordinator::Coordinator;
use review_stand_ins::machine::Machine;
use review_stand_ins::owner::{Connection, Request};
use review_stand_ins::planner::{free_address, write_config, Deployment, Planner};
use review_stand_ins::{could_not_run, plays_trouble, record, verdict};
use std::thread::sleep;
use std::time::Duration;

fn main() {
    record::start();
    let machines: Vec<Machine> = (0..4)
        .map(|n| Machine::start(&format!("s-{n}"), if n % 2 == 0 { "hall-a" } else { "hall-b" }))
        .collect();
    machines.iter().for_each(|machine| machine.set_life(Duration::from_secs(4)));
    let entries: Vec<_> = machines.iter().map(|machine| machine.entry("in_service")).collect();
    let coordinator = Coordinator::start(&entries);
    let listen = free_address();
    let config = std::env::temp_dir().join("config.json");
    write_config(&config, listen, coordinator.address, &coordinator.known(), &Deployment::default(), 7);
    let planner = Planner::start(listen, config);
    let Some(owner) = Connection::open_tested("owner", listen) else {
        could_not_run(Some(planner), "the planner passed no test");
    };
    let (mut down, mut drained, mut up) = (None, None, None);
    let outage_ms: f64 = std::env::var("OUTAGE_MS").ok().and_then(|x| x.parse().ok()).unwrap_or(12_000.0);
    for n in 0..800u32 {
        let now_ms = record::now_ms();
        if now_ms >= 4_000.0 && down.is_none() {
            // News that has just come: the list held is as fresh as it can be.
            coordinator.tell(false, &[machines[3].entry("in_service")]);
            sleep(Duration::from_millis(20));
            down = Some(if plays_trouble() { coordinator.set_down(true) } else { record::now_ms() });
        }
        if now_ms >= 4_500.0 && drained.is_none() {
            drained = Some(now_ms);
            for machine in &machines[..2] {
                machine.drain();
                coordinator.tell(false, &[machine.entry("terminating")]);
            }
        }
        if now_ms >= 4_000.0 + outage_ms && up.is_none() && plays_trouble() {
            up = Some(coordinator.set_down(false));
        }
        let (id, key) = (format!("{:016x}", 0x1000 + n), format!("{:016x}", 0xa000 + n));
        let service = format!("{:016x}", 0xb0 + n % 12);
        owner.send(&Request { service: &service, ..Request::small(&id, &key) }.line());
        sleep(Duration::from_millis(25));
    }
    sleep(Duration::from_secs(2));
    let told_ms = if plays_trouble() { down.unwrap() + 7_000.0 } else { drained.unwrap() };
    let limit = told_ms + 1_000.0 + 50.0;
    let mut broken = Vec::new();
    for machine in &machines[..2] {
        for (at, id) in machine.offers() {
            if at > drained.unwrap() {
                record::note(&format!(
                    "{} got {id} {:.0} ms after the outage began",
                    machine.host,
                    at - down.unwrap()
                ));
            }
            if at > limit {
                broken.push(format!(
                    "set-up {id} reached {} {:.0} ms after its drain counted as told",
                    machine.host,
                    at - told_ms
                ));
            }
        }
    }
    verdict(Some(planner), &broken);
}
