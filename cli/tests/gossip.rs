//! Tests of the gossip between planners on loopback, through relays: a planner is paused, replaced
//! and resumed, and links between planners are cut in one or both directions, delayed and healed.
mod site;

use serde_json::Value;
use site::{next_slot_holder, run_command, start_machines, Process, Relays, Site, TIMEOUT};

/// A planner that holds a slot.
struct Planner {
    /// The index of its process.
    process: usize,
    /// The name of its slot.
    name: String,
    epoch: u64,
    /// The address on which it serves clients and commands.
    listening: String,
}

/// Waits until `count` slots have a holder and returns the holders.
fn wait_for_planners(all: &[Process], count: usize) -> Vec<Planner> {
    let refs: Vec<&Process> = all.iter().collect();
    let mut found: Vec<Planner> = Vec::new();
    while found.len() < count {
        let (process, line) = next_slot_holder(&refs);
        // On a slow host a planner may lose its slot again.
        found.retain(|p| p.process != process && line["name"] != *p.name);
        found.push(planner_from_line(process, &line));
    }
    found
}

/// Returns the planner described by the line that a process printed when it acquired its slot.
fn planner_from_line(process: usize, line: &Value) -> Planner {
    let text = |field: &str| line[field].as_str().expect("a text").to_owned();
    let epoch = line["epoch"].as_u64().expect("a number");
    Planner { process, name: text("name"), epoch, listening: text("listening") }
}

/// Returns a planner's status entry of a slot, or its whole status when the slot is not listed.
fn slot_status(reader: &Planner, slot: &str) -> Value {
    let status = run_command(&["planner", "--planner", &reader.listening]);
    let rows = status["others"]["seats"].as_array().cloned().unwrap_or_default();
    rows.into_iter().find(|r| r["seat"] == *slot).unwrap_or(status)
}

/// Returns whether a slot's status is fresh or is the planner's own.
fn is_fresh(status: &Value) -> bool {
    matches!(status["state"].as_str(), Some("heard" | "quiet" | "this planner"))
}

/// Polls a planner's status of a slot until `is_expected` holds and returns it.
fn wait_for_status(reader: &Planner, slot: &str, is_expected: impl Fn(&Value) -> bool) -> Value {
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let status = slot_status(reader, slot);
        if is_expected(&status) {
            return status;
        }
        assert!(std::time::Instant::now() < deadline, "{} reports for slot {slot}: {status}", reader.name);
    }
}

/// Waits until all these planners have fresh summaries of each other.
fn wait_until_all_fresh(planners: &[&Planner]) {
    for reader in planners {
        planners.iter().for_each(|peer| drop(wait_for_status(reader, &peer.name, is_fresh)));
    }
}

/// A paused planner's summary is replaced by that of its successor under a higher epoch. Messages
/// that the resumed planner still sends under its old epoch change nothing.
#[test]
fn successor_replaces_a_paused_planner_under_a_higher_epoch() {
    // The lease is long enough that no planner loses its slot on a busy host.
    let site = Site::with_lease_duration("told", 3, 3000);
    let (_machines, registry) = start_machines(&site.file);
    let _voters: Vec<Process> = (0..3).map(|n| site.start_voter(n, false)).collect();
    let (_relays, all) = site.start_planners_behind_relays(4, &registry);
    let mut holders = wait_for_planners(&all, 3);
    wait_until_all_fresh(&holders.iter().collect::<Vec<_>>());
    // Without requests the planners still publish summaries, which count the machines that each one
    // sees.
    let status = wait_for_status(&holders[0], &holders[1].name, |r| r["halls"]["hall-a"]["ready"] == 3.0);
    assert_eq!(status["state"], "quiet", "{status}");
    assert_eq!(status["epoch"], holders[1].epoch, "{status}");

    let paused = holders.remove(0);
    all[paused.process].signal("-STOP");
    let (process, line) = next_slot_holder(&all.iter().collect::<Vec<_>>());
    let successor = planner_from_line(process, &line);
    assert_eq!(successor.name, paused.name, "the spare must take the slot of the paused planner");
    for reader in &holders {
        let status = wait_for_status(reader, &paused.name, |r| is_fresh(r) && r["epoch"] == successor.epoch);
        assert!(status["epoch"].as_u64() > Some(paused.epoch), "{status}");
    }
    all[paused.process].signal("-CONT");
    // The answer shows that the resumed planner is running; no reader may go back to its old epoch.
    let _ = run_command(&["planner", "--planner", &paused.listening]);
    for _ in 0..10 {
        for reader in &holders {
            assert_eq!(slot_status(reader, &paused.name)["epoch"], successor.epoch);
        }
    }
    wait_until_all_fresh(&holders.iter().chain([&successor]).collect::<Vec<_>>());
}

/// Links between planners fail while voters and machines work: no planner loses its slot, the
/// isolated planner reports all peers as stale, the others keep fresh summaries of each other, and
/// all summaries are fresh again once the links are healed.
#[test]
fn summaries_become_stale_on_cut_links_and_fresh_once_healed() {
    let site = Site::with_lease_duration("ways", 3, 3000);
    let (_machines, registry) = start_machines(&site.file);
    let _voters: Vec<Process> = (0..3).map(|n| site.start_voter(n, false)).collect();
    let (relays, all) = site.start_planners_behind_relays(3, &registry);
    let three = wait_for_planners(&all, 3);
    wait_until_all_fresh(&three.iter().collect::<Vec<_>>());
    let (isolated, others) = (&three[0], [&three[1], &three[2]]);
    let (process, name) = (isolated.process, isolated.name.clone());
    let is_stale = |r: &Value| r["state"] == "unheard" && r["age_ms"].as_u64() > Some(4000);
    // The isolated planner loses both directions, then only the direction from it to its peers.
    for (to, back) in [(true, true), (true, false)] {
        let name = name.clone();
        relays.apply(move |links| {
            for (n, link) in links.iter().enumerate().filter(|w| w.0 != process) {
                assert_ne!(n, process);
                link.cut_by_peer.borrow_mut().insert(name.clone(), (to, back));
            }
            (links[process].cut_forward.set(back), links[process].cut_backward.set(to)).1
        });
        others.iter().for_each(|reader| drop(wait_for_status(reader, &isolated.name, is_stale)));
        others.iter().for_each(|peer| drop(wait_for_status(isolated, &peer.name, is_stale)));
        wait_until_all_fresh(&others);
        relays.apply(|links| {
            for link in links {
                link.cut_by_peer.borrow_mut().clear();
                (link.cut_forward.set(false), link.cut_backward.set(false)).1
            }
        });
        wait_until_all_fresh(&three.iter().collect::<Vec<_>>());
    }
    // Every frame is delayed by 500 ms: summaries stay fresh, and their reported age is an upper
    // bound that includes the delay.
    relays.apply(|links| links.iter().for_each(|w| w.delay.set(std::time::Duration::from_millis(500))));
    for reader in &three {
        for peer in three.iter().filter(|peer| peer.name != reader.name) {
            wait_for_status(reader, &peer.name, |r| is_fresh(r) && r["age_ms"].as_u64() > Some(1000));
        }
    }
    relays.apply(|links| links.iter().for_each(|w| w.delay.set(std::time::Duration::ZERO)));
    for reader in &three {
        for peer in three.iter().filter(|peer| peer.name != reader.name) {
            wait_for_status(reader, &peer.name, |r| is_fresh(r) && r["age_ms"].as_u64() < Some(1000));
            assert_eq!(slot_status(reader, &peer.name)["epoch"], peer.epoch, "a planner lost its slot");
        }
    }
}

/// Two regions of one zone each, with two planners per zone, exchange only summaries of whole
/// zones. Links between the regions fail in one direction, a planner is paused and resumed, and no
/// planner exceeds its byte budget for gossip.
#[test]
fn regions_exchange_zone_summaries_within_the_byte_budget() {
    let mut site = Site::with_lease_duration("regions", 4, 3000);
    let text = std::fs::read_to_string(&site.file).expect("the installation's file");
    let zones = "zones: [\"hall-a\", \"hall-b\"]\n\
                 regions: [{name: \"east\", zones: [\"hall-a\"]}, {name: \"west\", zones: [\"hall-b\"]}]\n\
                 control: {bytes_a_second: 1200}\n";
    site.file = site.folder.join("regions.rec").display().to_string();
    std::fs::write(&site.file, text.replace("zones: [\"hall-a\"]\n", zones)).expect("a file");
    let (_machines, registry) = start_machines(&site.file);
    let _voters: Vec<Process> = (0..3).map(|n| site.start_voter(n, false)).collect();
    let host = site.voters[0].rsplit_once(':').map_or("127.0.0.1", |x| x.0);
    let listens: Vec<String> = (0..4).map(|n| format!("{host}:{}", 7440 + n)).collect();
    let relays = Relays::start(listens.clone());
    let start = |n: usize| {
        let zone = ["hall-a", "hall-b"][n / 2];
        let args = ["serve", &site.file, "--seat", "any", "--zone", zone, "--register", &registry];
        Process::start(&[&args[..], &["--listen", &listens[n], "--advertise", &relays.addresses[n]]].concat())
    };
    let all: Vec<Process> = (0..4).map(start).collect();
    let mut four = wait_for_planners(&all, 4);
    four.sort_by_key(|p| p.process);
    let zone_status = |reader: &Planner| {
        let status = run_command(&["planner", "--planner", &reader.listening]);
        status["others"]["zones"][0].clone()
    };
    let wait_for_zone = |reader: &Planner, is_expected: &dyn Fn(&Value) -> bool| {
        let deadline = std::time::Instant::now() + 2 * TIMEOUT;
        loop {
            let status = zone_status(reader);
            if is_expected(&status) {
                return;
            }
            assert!(
                std::time::Instant::now() < deadline,
                "{} reports for the other zone: {status}",
                reader.name
            );
        }
    };
    let is_complete = |z: &Value| z["planners"] == 2 && z["unheard"] == 0;
    let (east, west) = (&four[..2], &four[2..]);
    let started_at = std::time::Instant::now();
    for reader in &four {
        wait_for_zone(reader, &is_complete);
        wait_for_status(reader, &four[reader.process ^ 1].name, is_fresh);
        // Planners of the other region are known only through the summary of their zone.
        let far = slot_status(reader, &four[reader.process ^ 2].name);
        assert_eq!(far["state"], "heard with its zone", "{far}");
        assert_eq!(far["counts"], serde_json::json!({}), "{far}");
    }
    // The west receives the queries of the east, but none of its own messages arrives there.
    let names = |of: &[Planner]| of.iter().map(|p| p.name.clone()).collect::<Vec<_>>();
    let (east_names, west_names) = (names(east), names(west));
    relays.apply(move |links| {
        for (n, link) in links.iter().enumerate() {
            let others = if n < 2 { &west_names } else { &east_names };
            let cut = if n < 2 { (true, false) } else { (false, true) };
            link.cut_by_peer.borrow_mut().extend(others.iter().map(|name| (name.clone(), cut)));
        }
    });
    for reader in &four {
        wait_for_zone(reader, &|z| z["state"] == "unheard");
        wait_for_status(reader, &four[reader.process ^ 1].name, is_fresh);
    }
    relays.apply(|links| links.iter().for_each(|w| w.cut_by_peer.borrow_mut().clear()));
    for reader in &four {
        wait_for_zone(reader, &is_complete);
    }
    // While one planner of the east is paused, the east's summary covers a single planner.
    all[0].signal("-STOP");
    west.iter().for_each(|reader| wait_for_zone(reader, &|z| z["planners"] == 1));
    all[0].signal("-CONT");
    for reader in west {
        wait_for_zone(reader, &is_complete);
    }
    // Gossip may use an eighth of the control bytes (150 of 1200 a second), plus 4096 bytes saved
    // up before.
    let budget = 150.0 * started_at.elapsed().as_secs_f64() + 4096.0;
    for reader in &four[1..] {
        let status = run_command(&["planner", "--planner", &reader.listening]);
        let sent = status["others"]["bytes_told"].as_f64().expect("a number");
        assert!(
            sent > 0.0 && sent <= budget,
            "{}: sent {sent} bytes of gossip; expected {budget} at most",
            reader.name
        );
    }
}
