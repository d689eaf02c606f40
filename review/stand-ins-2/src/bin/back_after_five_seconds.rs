//! Three in ten machines are lost for 5 s and return cold; the list tells it seconds late.
use review_stand_ins_2::client::Client;
use review_stand_ins_2::machine::{Machine, Manner};
use review_stand_ins_2::record::Record;
use review_stand_ins_2::site::{small_task, Site};
use review_stand_ins_2::verdict::{self, Verdict};
use std::collections::HashMap;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long the machines are lost.
const LOST: Duration = Duration::from_secs(5);
/// How late the list tells that they have started again.
const LATE: Duration = Duration::from_secs(4);
/// The bound of the rule, with the slack of time limits.
const BOUND: Duration = Duration::from_millis(8_050);
const TASKS: usize = 30;

fn main() {
    verdict::run(case)
}

/// Takes what the owner is told until the time, with when it was told.
fn listen(owner: &Client, told: &mut HashMap<String, Instant>, ready: &mut usize, until: Instant) {
    while let Some((at, Some(message))) = owner.next(until) {
        match message.get("msg").text() {
            "ready" => *ready += 1,
            "close" | "relocate" => {
                told.entry(message.get("sid").text().to_owned()).or_insert(at);
            }
            _ => {}
        }
    }
}

fn case(record: &Record, trouble: bool, folder: &PathBuf) -> Verdict {
    let second = Duration::from_secs(1);
    let manner = Manner { start: second / 20, run: 20 * second };
    let machines: Vec<Machine> =
        (1..=10).map(|number| Machine::start(record, &format!("near-{number}"), manner)).collect();
    let entry = |machine: &Machine, born_ms: u64| {
        machine.entry("hall-north", "small-box", 1, "in_service", born_ms, (30.0, 60.0))
    };
    let hosts: Vec<String> = machines.iter().map(|machine| entry(machine, 0)).collect();
    let site = Site::start(record, folder, &hosts);
    std::thread::sleep(second);
    let mut owner = Client::connect(record, "owner", site.listen);
    let (mut told, mut ready) = (HashMap::new(), 0);
    let ids: Vec<String> = (1..=TASKS).map(|number| format!("d1c09e7f3a2d84{number:02x}")).collect();
    for (number, id) in ids.iter().enumerate() {
        let (key, service) =
            (format!("00000000c4d1e7{number:02x}"), format!("00000000b4d6{:04x}", 7 * number));
        let line = small_task(id, &key).line().replace("00000000b4d65521", &service);
        owner.send(&line);
        listen(&owner, &mut told, &mut ready, Instant::now() + second / 10);
    }
    listen(&owner, &mut told, &mut ready, Instant::now() + second);
    // The three machines with the most tasks.
    let held = |machine: &Machine| ids.iter().filter(|id| machine.runs(id)).count();
    let mut lost: Vec<&Machine> = machines.iter().collect();
    lost.sort_by_key(|machine| std::cmp::Reverse(held(machine)));
    lost.truncate(3);
    let concerned: usize = lost.iter().map(|machine| held(machine)).sum();
    if ready < TASKS || concerned == 0 {
        return Verdict::CouldNotRun(format!("{ready} tasks were placed, {concerned} on three machines"));
    }
    if trouble {
        lost.iter().for_each(|machine| machine.vanish());
        listen(&owner, &mut told, &mut ready, Instant::now() + LOST);
        let born_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
        lost.iter().for_each(|machine| machine.return_cold());
        listen(&owner, &mut told, &mut ready, Instant::now() + LATE);
        let again: Vec<String> = lost.iter().map(|machine| entry(machine, born_ms)).collect();
        site.coordinator.tell(&again);
        listen(&owner, &mut told, &mut ready, Instant::now() + 2 * second);
    } else {
        listen(&owner, &mut told, &mut ready, Instant::now() + 22 * second);
    }
    let ends: Vec<_> =
        ids.iter().filter_map(|id| lost.iter().find_map(|machine| machine.end_of(id))).collect();
    let delay = |id: &str, at: Instant| told.get(id).map(|told| told.saturating_duration_since(at));
    let late = ends.iter().filter(|end| delay(&end.id, end.at).is_none_or(|delay| delay > BOUND)).count();
    let most = ends.iter().filter_map(|end| delay(&end.id, end.at)).max().unwrap_or_default();
    let text = format!(
        "{late} of {} tasks that ended on three machines were not released within {:.2} s; slowest {:.2} s",
        ends.len(),
        BOUND.as_secs_f64(),
        most.as_secs_f64()
    );
    match (ends.is_empty(), late) {
        (true, _) => Verdict::CouldNotRun("no task ended there".into()),
        (false, 0) => Verdict::Held(text),
        _ => Verdict::Broken(text),
    }
}
