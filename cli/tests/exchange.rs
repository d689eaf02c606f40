//! Several planners under seats on loopback that tell each other how they are, through relays between them:
//! one is stopped, succeeded and woken; ways between planners are cut both ways and one, slow, and healed.
mod site;

use serde_json::Value;
use site::{asked, machines, seated, Process, Site, PATIENCE};

/// A planner that was seated: its number among the processes, the seat's name, and where it listens.
struct Planner {
    process: usize,
    name: String,
    epoch: u64,
    listening: String,
}

/// So many are seated.
fn planners(all: &[Process], count: usize) -> Vec<Planner> {
    let refs: Vec<&Process> = all.iter().collect();
    let mut found: Vec<Planner> = Vec::new();
    while found.len() < count {
        let (process, line) = seated(&refs);
        // On a slow machine one may lose its seat again.
        found.retain(|p| p.process != process && line["name"] != *p.name);
        found.push(planner(process, &line));
    }
    found
}

fn planner(process: usize, line: &Value) -> Planner {
    let text = |field: &str| line[field].as_str().expect("a text").to_owned();
    let epoch = line["epoch"].as_u64().expect("a number");
    Planner { process, name: text("name"), epoch, listening: text("listening") }
}

/// What a planner says of a seat.
fn row(reader: &Planner, seat: &str) -> Value {
    let told = asked(&["planner", "--planner", &reader.listening]);
    let rows = told["others"]["seats"].as_array().cloned().unwrap_or_default();
    rows.into_iter().find(|r| r["seat"] == *seat).unwrap_or(told)
}

fn hears(row: &Value) -> bool {
    matches!(row["state"].as_str(), Some("heard" | "quiet" | "this planner"))
}

/// Waits until what this reader says of a seat is so.
fn until(reader: &Planner, seat: &str, right: impl Fn(&Value) -> bool) -> Value {
    let end = std::time::Instant::now() + PATIENCE;
    loop {
        let row = row(reader, seat);
        if right(&row) {
            return row;
        }
        assert!(std::time::Instant::now() < end, "{} says of {seat}: {row}", reader.name);
    }
}

/// All of these hear each other.
fn all_hear(all: &[&Planner]) {
    for reader in all {
        all.iter().for_each(|of| drop(until(reader, &of.name, hears)));
    }
}

/// A planner whose process is stopped is unheard, not quiet; its successor is heard under a higher epoch, and
/// what the stopped one says once it wakes changes nothing.
#[test]
fn a_stopped_planner_is_unheard_and_its_successor_replaces_it() {
    // Long enough that a busy machine costs nobody its seat.
    let site = Site::with_term("told", 3, 3000);
    let (_machines, register) = machines(&site.file);
    let _voters: Vec<Process> = (0..3).map(|n| site.voter(n, false)).collect();
    let (_relays, all) = site.planners_that_meet(4, &register);
    let mut seated_now = planners(&all, 3);
    all_hear(&seated_now.iter().collect::<Vec<_>>());
    // Nobody asked for anything: they live and say so. Each knows the machines that the others see.
    let quiet = until(&seated_now[0], &seated_now[1].name, |r| r["halls"]["hall-a"]["ready"] == 3.0);
    assert_eq!(quiet["state"], "quiet", "{quiet}");
    assert_eq!(quiet["epoch"], seated_now[1].epoch, "{quiet}");

    let stopped = seated_now.remove(0);
    all[stopped.process].signal("-STOP");
    let (process, line) = seated(&all.iter().collect::<Vec<_>>());
    let successor = planner(process, &line);
    assert_eq!(successor.name, stopped.name, "its seat is taken by the spare");
    for reader in &seated_now {
        let row = until(reader, &stopped.name, |r| hears(r) && r["epoch"] == successor.epoch);
        assert!(row["epoch"].as_u64() > Some(stopped.epoch), "{row}");
    }
    all[stopped.process].signal("-CONT");
    // As soon as it answers anybody, it is awake; from then on nobody goes back.
    let _ = asked(&["planner", "--planner", &stopped.listening]);
    for _ in 0..10 {
        for reader in &seated_now {
            assert_eq!(row(reader, &stopped.name)["epoch"], successor.epoch);
        }
    }
    all_hear(&seated_now.iter().chain([&successor]).collect::<Vec<_>>());
}

/// Ways between planners fail while voters and machines are well: nobody loses a seat, who is cut off knows
/// that it hears nobody, the others go on hearing each other, and all is as before once the ways are healed.
#[test]
fn ways_between_planners_are_cut_slow_and_healed() {
    let site = Site::with_term("ways", 3, 3000);
    let (_machines, register) = machines(&site.file);
    let _voters: Vec<Process> = (0..3).map(|n| site.voter(n, false)).collect();
    let (relays, all) = site.planners_that_meet(3, &register);
    let three = planners(&all, 3);
    all_hear(&three.iter().collect::<Vec<_>>());
    let (alone, others) = (&three[0], [&three[1], &three[2]]);
    let (process, name) = (alone.process, alone.name.clone());
    let unheard = |r: &Value| r["state"] == "unheard" && r["age_ms"].as_u64() > Some(4000);
    // What it says and what it hears; or only what it says.
    for (to, back) in [(true, true), (true, false)] {
        let name = name.clone();
        relays.turn(move |ways| {
            for (n, way) in ways.iter().enumerate().filter(|w| w.0 != process) {
                assert_ne!(n, process);
                way.cut_of.borrow_mut().insert(name.clone(), (to, back));
            }
            (ways[process].cut_to.set(back), ways[process].cut_back.set(to)).1
        });
        others.iter().for_each(|reader| drop(until(reader, &alone.name, unheard)));
        others.iter().for_each(|of| drop(until(alone, &of.name, unheard)));
        all_hear(&others);
        relays.turn(|ways| {
            for way in ways {
                way.cut_of.borrow_mut().clear();
                (way.cut_to.set(false), way.cut_back.set(false)).1
            }
        });
        all_hear(&three.iter().collect::<Vec<_>>());
    }
    // Every frame half a second late: all are heard, and taken for as old as they may be.
    relays.turn(|ways| ways.iter().for_each(|w| w.late.set(std::time::Duration::from_millis(500))));
    for reader in &three {
        for of in three.iter().filter(|of| of.name != reader.name) {
            until(reader, &of.name, |r| hears(r) && r["age_ms"].as_u64() > Some(1000));
        }
    }
    relays.turn(|ways| ways.iter().for_each(|w| w.late.set(std::time::Duration::ZERO)));
    for reader in &three {
        for of in three.iter().filter(|of| of.name != reader.name) {
            until(reader, &of.name, |r| hears(r) && r["age_ms"].as_u64() < Some(1000));
            assert_eq!(row(reader, &of.name)["epoch"], of.epoch, "nobody lost its seat");
        }
    }
}
