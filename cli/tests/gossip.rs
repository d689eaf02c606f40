//! Several planners under seats on loopback that tell each other how they are, through relays between them:
//! one is stopped, succeeded and woken; ways between planners are cut both ways and one, slow, and healed.
mod site;

use serde_json::Value;
use site::{asked, machines, seated, Process, Relays, Site, PATIENCE};

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

/// RelayControl between planners fail while voters and machines are well: nobody loses a seat, who is cut off knows
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
                way.cut_by_peer.borrow_mut().insert(name.clone(), (to, back));
            }
            (ways[process].cut_forward.set(back), ways[process].cut_backward.set(to)).1
        });
        others.iter().for_each(|reader| drop(until(reader, &alone.name, unheard)));
        others.iter().for_each(|of| drop(until(alone, &of.name, unheard)));
        all_hear(&others);
        relays.turn(|ways| {
            for way in ways {
                way.cut_by_peer.borrow_mut().clear();
                (way.cut_forward.set(false), way.cut_backward.set(false)).1
            }
        });
        all_hear(&three.iter().collect::<Vec<_>>());
    }
    // Every frame half a second late: all are heard, and taken for as old as they may be.
    relays.turn(|ways| ways.iter().for_each(|w| w.delay.set(std::time::Duration::from_millis(500))));
    for reader in &three {
        for of in three.iter().filter(|of| of.name != reader.name) {
            until(reader, &of.name, |r| hears(r) && r["age_ms"].as_u64() > Some(1000));
        }
    }
    relays.turn(|ways| ways.iter().for_each(|w| w.delay.set(std::time::Duration::ZERO)));
    for reader in &three {
        for of in three.iter().filter(|of| of.name != reader.name) {
            until(reader, &of.name, |r| hears(r) && r["age_ms"].as_u64() < Some(1000));
            assert_eq!(row(reader, &of.name)["epoch"], of.epoch, "nobody lost its seat");
        }
    }
}

/// Two regions of one zone each, with two planners in each: of the other zone only its summary is heard. The
/// ways from one region to the other fail in one direction, a planner is stopped and wakes, and no planner
/// ever sends more than its bytes.
#[test]
fn regions_hear_of_each_other_as_one_and_nobody_is_over_its_bytes() {
    let mut site = Site::with_term("regions", 4, 3000);
    let text = std::fs::read_to_string(&site.file).expect("what was just written");
    let zones = "zones: [\"hall-a\", \"hall-b\"]\n\
                 regions: [{name: \"east\", zones: [\"hall-a\"]}, {name: \"west\", zones: [\"hall-b\"]}]\n\
                 control: {bytes_a_second: 1200}\n";
    site.file = site.folder.join("regions.rec").display().to_string();
    std::fs::write(&site.file, text.replace("zones: [\"hall-a\"]\n", zones)).expect("a file");
    let (_machines, register) = machines(&site.file);
    let _voters: Vec<Process> = (0..3).map(|n| site.voter(n, false)).collect();
    let host = site.voters[0].rsplit_once(':').map_or("127.0.0.1", |x| x.0);
    let listens: Vec<String> = (0..4).map(|n| format!("{host}:{}", 7440 + n)).collect();
    let relays = Relays::start(listens.clone());
    let start = |n: usize| {
        let zone = ["hall-a", "hall-b"][n / 2];
        let args = ["serve", &site.file, "--seat", "any", "--zone", zone, "--register", &register];
        Process::start(&[&args[..], &["--listen", &listens[n], "--advertise", &relays.addresses[n]]].concat())
    };
    let all: Vec<Process> = (0..4).map(start).collect();
    let mut four = planners(&all, 4);
    four.sort_by_key(|p| p.process);
    let zone = |reader: &Planner| {
        let told = asked(&["planner", "--planner", &reader.listening]);
        told["others"]["zones"][0].clone()
    };
    let until_zone = |reader: &Planner, right: &dyn Fn(&Value) -> bool| {
        let end = std::time::Instant::now() + 2 * PATIENCE;
        loop {
            let told = zone(reader);
            if right(&told) {
                return;
            }
            assert!(std::time::Instant::now() < end, "{} says of the other zone: {told}", reader.name);
        }
    };
    let whole = |z: &Value| z["planners"] == 2 && z["unheard"] == 0;
    let (east, west) = (&four[..2], &four[2..]);
    let begun = std::time::Instant::now();
    for reader in &four {
        until_zone(reader, &whole);
        until(reader, &four[reader.process ^ 1].name, hears);
        // Of the other region's no one is heard by itself.
        let far = row(reader, &four[reader.process ^ 2].name);
        assert_eq!(far["state"], "heard with its zone", "{far}");
        assert_eq!(far["counts"], serde_json::json!({}), "{far}");
    }
    // The west hears the east's questions, and nothing that it says gets there.
    let names = |of: &[Planner]| of.iter().map(|p| p.name.clone()).collect::<Vec<_>>();
    let (east_names, west_names) = (names(east), names(west));
    relays.turn(move |ways| {
        for (n, way) in ways.iter().enumerate() {
            let others = if n < 2 { &west_names } else { &east_names };
            let cut = if n < 2 { (true, false) } else { (false, true) };
            way.cut_by_peer.borrow_mut().extend(others.iter().map(|name| (name.clone(), cut)));
        }
    });
    for reader in &four {
        until_zone(reader, &|z| z["state"] == "unheard");
        until(reader, &four[reader.process ^ 1].name, hears);
    }
    relays.turn(|ways| ways.iter().for_each(|w| w.cut_by_peer.borrow_mut().clear()));
    for reader in &four {
        until_zone(reader, &whole);
    }
    // One of the east is stopped: the east says for one alone, until it is back.
    all[0].signal("-STOP");
    west.iter().for_each(|reader| until_zone(reader, &|z| z["planners"] == 1));
    all[0].signal("-CONT");
    for reader in west {
        until_zone(reader, &whole);
    }
    // An eighth of the bytes for control is for what a planner tells the others, and what it saved before.
    let most = 150.0 * begun.elapsed().as_secs_f64() + 4096.0;
    for reader in &four[1..] {
        let told = asked(&["planner", "--planner", &reader.listening]);
        let sent = told["others"]["bytes_told"].as_f64().expect("a number");
        assert!(sent > 0.0 && sent <= most, "{}: {sent} bytes of {most}", reader.name);
    }
}
