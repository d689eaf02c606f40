//! An owner with one task loses its connection, comes back and waits for word of its task.
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

fn case(record: &Record, trouble: bool, folder: &PathBuf) -> Verdict {
    let second = Duration::from_secs(1);
    let manner = Manner { start: second / 20, run: 12 * second };
    let machines = [Machine::start(record, "near-1", manner), Machine::start(record, "near-2", manner)];
    let hosts: Vec<String> = machines
        .iter()
        .map(|machine| machine.entry("hall-north", "small-box", 1, "in_service", 0, (30.0, 60.0)))
        .collect();
    let site = Site::start(record, folder, &hosts);
    std::thread::sleep(second);
    let id = "a1c09e7f3a2d8465";
    let mut owner = Client::connect(record, "owner", site.listen);
    owner.send(&small_task(id, "00000000c4d1e7a1").line());
    let placed_by = Instant::now() + 5 * second;
    loop {
        match owner.next(placed_by) {
            Some((_, Some(message))) if message.get("sid").text() == id => {
                if message.get("msg").text() == "ready" {
                    break;
                }
                return Verdict::CouldNotRun("the task was not placed".into());
            }
            Some((_, Some(_))) => {}
            _ => return Verdict::CouldNotRun("the task was not placed".into()),
        }
    }
    // The connection rests; the owner has nothing else to ask for.
    std::thread::sleep(5 * second);
    if trouble {
        owner.reset();
        std::thread::sleep(second / 10);
        owner = Client::connect(record, "owner", site.listen);
    }
    let limit = Instant::now() + 40 * second;
    let mut returns = u32::from(trouble);
    loop {
        let end = machines.iter().find_map(|machine| machine.end_of(id));
        let until = end.as_ref().map_or(limit, |end| end.at + BOUND);
        if Instant::now() >= until {
            return match end {
                None => Verdict::CouldNotRun("the task did not end".into()),
                Some(_) => Verdict::Broken(format!(
                    "the task ended ({:.2} s ago) and its owner, who came back {returns} time(s) and was connected, was not told",
                    BOUND.as_secs_f64()
                )),
            };
        }
        match owner.next(until.min(Instant::now() + second / 10)) {
            Some((_, Some(message))) => {
                if message.get("sid").text() == id && message.get("msg").text() == "close" {
                    let has_ended = machines.iter().any(|machine| machine.end_of(id).is_some());
                    return match has_ended {
                        true => Verdict::Held("the owner was told of the end of its task".into()),
                        false => Verdict::CouldNotRun("the task was released before its end".into()),
                    };
                }
            }
            Some((_, None)) => {
                // The planner may close a connection on which no set-up is open.
                std::thread::sleep(second / 10);
                owner = Client::connect(record, "owner", site.listen);
                returns += 1;
            }
            None => {}
        }
    }
}
