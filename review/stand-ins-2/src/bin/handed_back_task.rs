//! A keyed task runs on a machine of the other hall while the halls are cut off from each other.
use review_stand_ins_2::client::Client;
use review_stand_ins_2::coordinator::Coordinator;
use review_stand_ins_2::machine::{Machine, Manner};
use review_stand_ins_2::owner::{Belief, Owner};
use review_stand_ins_2::planner::{free_address, Planner};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::settings::{Ask, Deployment};
use review_stand_ins_2::verdict::{self, Verdict};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How long the halls are cut off from each other; the pages name 5 to 20 s.
const CUT: Duration = Duration::from_secs(16);
/// The bound of the rule for the release of a task that is over, with the slack of time limits.
const BOUND: Duration = Duration::from_millis(8_050);

fn main() {
    verdict::run(case)
}

fn case(record: &Record, trouble: bool, folder: &PathBuf) -> Verdict {
    let second = Duration::from_secs(1);
    let near = Machine::start(record, "near-1", Manner { start: second / 5, run: 60 * second });
    let far = Machine::start(record, "far-1", Manner { start: second / 2, run: 30 * second });
    let hosts = [
        near.entry("hall-north", "small-box", 1, "in_service", 0, (30.0, 60.0)),
        far.entry("hall-south", "big-box", 2, "in_service", 0, (46.0, 90.0)),
    ];
    let coordinator = Coordinator::start(record, &hosts);
    let listen = free_address();
    let configuration = Deployment {
        name: "planner-a",
        listen: listen.to_string(),
        coordinator: coordinator.address.to_string(),
        known: coordinator.known(),
        group: "all",
        yes_at: "running",
        zone: "hall-north",
        discovery: "push",
    };
    let log = std::env::var("PLANNER_LOG").ok().map(|_| folder.join("planner.log"));
    let mut planner =
        Planner::start(record, "planner-a", listen, &configuration.configuration(), log.as_ref());
    std::thread::sleep(second);
    let ask = Ask {
        id: "5b1c09e7f3a2d846",
        class: "month-sum",
        left_ms: 10_000,
        tenant: "books",
        key: "00000000c4d1e7a9",
        idem: Some("7be1d0493f5a4c62a8d7139ec0526fb4"),
        cores: 12.0,
        memory: 20.0,
        at: None,
    };
    let began = Instant::now();
    let mut owner = Owner::start(record, Client::connect(record, "owner", listen), ask);
    while owner.belief == Belief::Asked && Instant::now() < began + 10 * second {
        owner.until(Instant::now() + second / 20, &far);
    }
    if !matches!(owner.belief, Belief::Stands(_)) {
        return Verdict::CouldNotRun("the task was not placed".into());
    }
    owner.until(Instant::now() + second, &far);
    let cut_at = Instant::now();
    if trouble {
        far.cut();
    }
    let id = owner.ask.id;
    owner.until(cut_at + CUT, &far);
    if trouble {
        far.heal();
    }
    // Until the task has ended on the machine and the time for its release is over.
    let limit = began + Duration::from_secs(60);
    let end = loop {
        owner.until(Instant::now() + Duration::from_millis(100), &far);
        if let Some(end) = far.end_of(id) {
            break end;
        }
        if Instant::now() >= limit || !planner.is_running() {
            return Verdict::CouldNotRun("the task did not end".into());
        }
    };
    while Instant::now() < end.at + BOUND {
        owner.until(Instant::now() + Duration::from_millis(100), &far);
        if let Belief::Over(_) = owner.belief {
            return Verdict::Held(format!("the owner was told that the task is over ({})", end.why));
        }
    }
    match owner.belief {
        Belief::Stands(_) => Verdict::Broken(format!(
            "the task is over ({}), and {:.2} s later its owner, to whom it stands, was not told; handed to the planner {} time(s)",
            end.why,
            BOUND.as_secs_f64(),
            owner.handed
        )),
        _ => Verdict::CouldNotRun("the set-up has no answer".into()),
    }
}
