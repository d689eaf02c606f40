//! A machine's answer stops short and leaves a connection that is of no further use. A task that stood on
//! that machine before ends later.
use review_stand_ins_2::client::Client;
use review_stand_ins_2::lossy_relay::LossyRelay;
use review_stand_ins_2::machine::{Machine, Manner};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::site::{small_task, Site};
use review_stand_ins_2::verdict::{self, Verdict};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The bound of the rule, with the slack of time limits.
const BOUND: Duration = Duration::from_millis(8_050);

fn main() {
    verdict::run(case)
}

/// Returns the type of the next line about this task other than `trying`, if one comes in time.
fn next_about(owner: &Client, id: &str, until: Instant) -> Option<String> {
    while let Some((_, Some(message))) = owner.next(until) {
        let kind = message.get("msg").text();
        if message.get("sid").text() == id && kind != "trying" {
            return Some(kind.to_owned());
        }
    }
    None
}

fn case(record: &Record, trouble: bool, folder: &PathBuf) -> Verdict {
    let second = Duration::from_secs(1);
    let manner = Manner { start: second / 20, run: 10 * second };
    let machines = [Machine::start(record, "near-1", manner), Machine::start(record, "near-2", manner)];
    let relays: Vec<LossyRelay> =
        machines.iter().map(|machine| LossyRelay::start(record, machine.address)).collect();
    let hosts: Vec<String> = machines
        .iter()
        .zip(&relays)
        .map(|(machine, relay)| {
            machine.entry_at(relay.address, "hall-north", "small-box", 1, "in_service", 0, (30.0, 60.0))
        })
        .collect();
    let site = Site::start(record, folder, &hosts);
    std::thread::sleep(second);
    let first = "c1c09e7f3a2d8401";
    let mut owner = Client::connect(record, "owner", site.listen);
    owner.send(&small_task(first, "00000000c4d1e7a1").line());
    if next_about(&owner, first, Instant::now() + 5 * second).as_deref() != Some("ready") {
        return Verdict::CouldNotRun("the first task was not placed".into());
    }
    let Some(at) = machines.iter().position(|machine| machine.runs(first)) else {
        return Verdict::CouldNotRun("the first task does not run".into());
    };
    let (machine, relay) = (&machines[at], &relays[at]);
    std::thread::sleep(2 * second);
    if trouble {
        relay.cut_next_answer();
    }
    // Further tasks, until the answer to one of them stops short.
    for number in 2..8 {
        if trouble && !relay.is_armed() {
            break;
        }
        let (id, key) = (format!("c1c09e7f3a2d84{number:02}"), format!("00000000c4d1e7{number:02}"));
        owner.send(&small_task(&id, &key).line());
        std::thread::sleep(second / 5);
    }
    if trouble && relay.is_armed() {
        return Verdict::CouldNotRun("no further task was sent to that machine".into());
    }
    let limit = Instant::now() + 30 * second;
    let end = loop {
        if let Some(end) = machine.end_of(first) {
            break end;
        }
        if Instant::now() > limit {
            return Verdict::CouldNotRun("the first task did not end".into());
        }
        std::thread::sleep(second / 50);
    };
    match next_about(&owner, first, end.at + BOUND).as_deref() {
        Some("close") => Verdict::Held("the owner was told of the end of the first task".into()),
        Some(other) => Verdict::Broken(format!("the owner got {other} for a task that had ended")),
        None => Verdict::Broken(format!(
            "the first task ended {:.2} s ago and its owner, connected all the time, was not told",
            BOUND.as_secs_f64()
        )),
    }
}
