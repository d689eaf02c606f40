//! A set-up crosses the end of a resting connection and is resent once, on a new connection.
use review_stand_ins_2::client::Client;
use review_stand_ins_2::coordinator::Coordinator;
use review_stand_ins_2::machine::{Machine, Manner};
use review_stand_ins_2::planner::{free_address, Planner};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::relay::Relay;
use review_stand_ins_2::settings::{Ask, Deployment};
use review_stand_ins_2::verdict::{self, Verdict};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// How much later the front ends the planner's side of a connection than the client's.
const LAG: Duration = Duration::from_millis(30);
const LEFT_MS: u32 = 5_000;

fn main() {
    verdict::run(case)
}

/// What became of a set-up on a connection.
#[derive(Debug, PartialEq)]
enum Outcome {
    Answered(String),
    ConnectionEnded,
    Nothing,
}

fn outcome(client: &Client, id: &str, until: Instant) -> Outcome {
    while Instant::now() < until {
        match client.next(until) {
            Some((_, None)) => return Outcome::ConnectionEnded,
            Some((_, Some(message))) if message.get("sid").text() == id => {
                let kind = message.get("msg").text();
                if kind == "ready" || kind == "close" {
                    return Outcome::Answered(kind.to_owned());
                }
            }
            _ => {}
        }
    }
    Outcome::Nothing
}

fn case(record: &Record, trouble: bool, folder: &PathBuf) -> Verdict {
    let second = Duration::from_secs(1);
    let manner = Manner { start: Duration::from_millis(150), run: 60 * second };
    let machines = [Machine::start(record, "near-1", manner), Machine::start(record, "near-2", manner)];
    let hosts: Vec<String> = machines
        .iter()
        .map(|machine| machine.entry("hall-north", "small-box", 1, "in_service", 0, (30.0, 60.0)))
        .collect();
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
    let _planner = Planner::start(record, "planner-a", listen, &configuration.configuration(), log.as_ref());
    let front = Relay::start(record, listen);
    std::thread::sleep(second);
    let ask = |id: &'static str, key: &'static str| Ask {
        id,
        class: "web-copy",
        left_ms: LEFT_MS,
        tenant: "shop",
        key,
        idem: None,
        cores: 0.5,
        memory: 1.0,
        at: None,
    };
    // A first task, so that the connection is in use and then rests.
    let mut first = Client::connect(record, "client", front.address);
    let (resting, crossing) = ("3f60a1c2d94b7e01", "3f60a1c2d94b7e02");
    first.send(&ask(resting, "00000000c4d1e701").line());
    if outcome(&first, resting, Instant::now() + 6 * second) != Outcome::Answered("ready".into()) {
        return Verdict::CouldNotRun("the first task was not placed".into());
    }
    std::thread::sleep(3 * second);
    let sent_at = Instant::now();
    first.send(&ask(crossing, "00000000c4d1e702").line());
    let answered_by = sent_at + Duration::from_millis(u64::from(LEFT_MS) + 500);
    if !trouble {
        return match outcome(&first, crossing, answered_by) {
            Outcome::Answered(kind) => Verdict::Held(format!("the set-up was answered ({kind})")),
            other => Verdict::Broken(format!("{other:?}")),
        };
    }
    std::thread::sleep(Duration::from_millis(2));
    front.end(0, LAG);
    if outcome(&first, crossing, sent_at + second / 10) != Outcome::ConnectionEnded {
        return Verdict::CouldNotRun("the set-up did not cross the end of its connection".into());
    }
    let mut second_connection = Client::connect(record, "client again", front.address);
    second_connection.send(&ask(crossing, "00000000c4d1e702").line());
    match outcome(&second_connection, crossing, answered_by) {
        Outcome::Answered(kind) => Verdict::Held(format!("the set-up that was resent was answered ({kind})")),
        Outcome::ConnectionEnded => Verdict::Broken(
            "the planner read the set-up that was resent and closed its connection with no answer".into(),
        ),
        Outcome::Nothing => Verdict::Broken("the set-up that was resent got no answer in its time".into()),
    }
}
