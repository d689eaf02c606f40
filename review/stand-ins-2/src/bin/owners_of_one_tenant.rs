//! Two owners of one tenant behind one front. One loses its connection and comes back; then the other one
//! comes and places a task, too.
use review_stand_ins_2::client::Client;
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

/// Places a task on a connection; returns whether the planner said that it stands.
fn place(owner: &mut Client, id: &str, key: &str) -> bool {
    owner.send(&small_task(id, key).line());
    let until = Instant::now() + Duration::from_secs(5);
    while let Some((_, Some(message))) = owner.next(until) {
        if message.get("sid").text() == id {
            return message.get("msg").text() == "ready";
        }
    }
    false
}

/// Returns whether the owner is told of the end of this task within the time.
fn is_told(owner: &Client, id: &str, until: Instant) -> bool {
    while let Some((_, Some(message))) = owner.next(until) {
        if message.get("sid").text() == id && message.get("msg").text() == "close" {
            return true;
        }
    }
    false
}

fn case(record: &Record, trouble: bool, folder: &PathBuf) -> Verdict {
    let second = Duration::from_secs(1);
    let manner = Manner { start: second / 20, run: 10 * second };
    let machines = [Machine::start(record, "near-1", manner), Machine::start(record, "near-2", manner)];
    let hosts: Vec<String> = machines
        .iter()
        .map(|machine| machine.entry("hall-north", "small-box", 1, "in_service", 0, (30.0, 60.0)))
        .collect();
    let site = Site::start(record, folder, &hosts);
    std::thread::sleep(second);
    let (first, later, others) = ("a1c09e7f3a2d8401", "a1c09e7f3a2d8402", "b1c09e7f3a2d8403");
    let mut owner_a = Client::connect(record, "owner-a", site.listen);
    if !place(&mut owner_a, first, "00000000c4d1e7a1") {
        return Verdict::CouldNotRun("the first task was not placed".into());
    }
    std::thread::sleep(3 * second);
    if trouble {
        owner_a.reset();
        std::thread::sleep(second / 10);
        owner_a = Client::connect(record, "owner-a", site.listen);
    }
    if !place(&mut owner_a, later, "00000000c4d1e7a2") {
        return Verdict::CouldNotRun("the later task of the same owner was not placed".into());
    }
    std::thread::sleep(second);
    let mut owner_b = Client::connect(record, "owner-b", site.listen);
    if !place(&mut owner_b, others, "00000000c4d1e7b1") {
        return Verdict::CouldNotRun("the task of the other owner was not placed".into());
    }
    let limit = Instant::now() + 20 * second;
    let end = loop {
        if let Some(end) = machines.iter().find_map(|machine| machine.end_of(first)) {
            break end;
        }
        if Instant::now() > limit {
            return Verdict::CouldNotRun("the first task did not end".into());
        }
        std::thread::sleep(second / 50);
    };
    let told = is_told(&owner_a, first, end.at + BOUND);
    let foreign = is_told(&owner_b, first, Instant::now() + second / 10);
    match (told, foreign) {
        (true, false) => Verdict::Held("the owner of the task was told of its end".into()),
        (true, true) => Verdict::Broken("both owners were told of the end of the first one's task".into()),
        (false, true) => {
            Verdict::Broken("the release of the task went to the other owner, and never to its own".into())
        }
        (false, false) => Verdict::Broken("nobody was told of the end of the task".into()),
    }
}
