//! `basaltpitch measure-scale` in a small form, with real processes: judged by laws alone, never by speeds.
use serde_json::Value;
use std::process::{Command, Output};

fn measured(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_basaltpitch")).arg("measure-scale").args(args).output().unwrap()
}

/// Wrong input: exit 2, and all of these words in one message.
fn refused(args: &[&str], words: &[&str]) {
    let out = measured(args);
    let said = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "{args:?}: {said}");
    for word in words {
        assert!(said.contains(word), "{args:?}: {word:?} is not in: {said}");
    }
    assert!(out.stdout.is_empty(), "{args:?}: nothing was measured");
}

/// Real planners beside hollow ones, hollow machines, voters, a register and clients: all are seated, all
/// machines are linked, each task has one final answer, what was counted adds up to what relays carried.
#[test]
fn a_small_fleet_keeps_the_laws() {
    let shape = ["--planners", "4", "--real", "2", "--machines", "12", "--tenants", "5", "--running", "20"];
    let load = ["--rate", "48", "--seconds", "4", "--rise", "1", "--term", "3000"];
    let out = measured(&[&shape[..], &load, &["--counters", "-o", "json"]].concat());
    let said = String::from_utf8_lossy(&out.stderr);
    let found: Value = serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {said}"));
    let laws = &found["laws"];
    assert_eq!(laws["seats_taken"], 4, "{laws}");
    assert_eq!(laws["machines_linked"], 12, "{laws}");
    for law in [
        "all_seated",
        "all_machines_linked",
        "one_answer_a_task",
        "counters_add_up",
        "planners_counters_add_up",
    ] {
        assert_eq!(laws[law], true, "{law}: {laws}");
    }
    assert!(laws["asked"].as_u64() > Some(20) && laws["asked"] == laws["answered"], "{laws}");
    assert_eq!(laws["answered_again"], 0, "{laws}");
    // What hollow planners would place is on the machines, too.
    assert!(found["seen"]["running_of_hollow_planners"].as_u64() > Some(0), "{}", found["seen"]);
    // Each kind that a planner carries is there, of each real planner.
    let planners = found["planner_traffic"].as_object().expect("by planner");
    assert_eq!(planners.len(), 2, "{planners:?}");
    for (planner, traffic) in planners {
        for kind in ["heartbeats", "summaries", "council", "lists", "tasks"] {
            assert!(traffic[kind]["bytes_in"].as_u64() > Some(0), "{planner}: {kind}: {traffic}");
        }
        assert!(traffic["tasks"]["frames_out"].as_u64() > Some(0), "{planner}: {traffic}");
    }
    let roles: Vec<&str> =
        found["roles"].as_array().unwrap().iter().flat_map(|r| r["role"].as_str()).collect();
    assert_eq!(roles, ["planner", "hollow planners", "voter", "register", "machines", "clients"]);
    assert!(out.status.success(), "{said}");
}

/// Bad input is one clear error that names the field, what was found, what was expected and what to do; and
/// nothing is started.
#[test]
fn bad_input_is_refused_before_anything_starts() {
    refused(&["--machines", "0"], &["--machines", "found 0", "expected 1 or more", "give a higher"]);
    refused(&["--planners", "0"], &["--planners", "found 0"]);
    refused(&["--tenants", "0"], &["--tenants", "found 0"]);
    refused(&["--seconds", "0"], &["--seconds", "found 0"]);
    refused(&["--planners", "4", "--real", "5"], &["--real", "found 5", "expected 4", "raise --planners"]);
    // Whatever the limit is, a planner cannot have so many links.
    refused(&["--machines", "2000000000"], &["--machines", "found 2000000000", "descriptors", "ulimit"]);
    refused(&["--planners", "400", "--real", "400", "--machines", "5"], &["--real", "found 400", "300"]);
    refused(&["--rate", "0"], &["--rate", "found 0", "above 0"]);
    refused(&["--rate", "NaN"], &["--rate", "found NaN"]);
    refused(&["--voters", "2"], &["--voters", "found 2", "3 or 5"]);
    refused(&["--term", "1"], &["--term", "found 1", "100 ms"]);
    refused(&["--heartbeat", "0"], &["--heartbeat", "found 0"]);
    refused(&["--planners", "4", "--copies", "5"], &["--copies", "found 5", "1 to 4"]);
    refused(&["--faults", "flood"], &["--faults", "flood", "one-way", "zone"]);
    refused(&["--region", "atlantis"], &["--region", "found \"atlantis\"", "east, west, north"]);
    refused(&["--sweep", "zones=1,2,3,4"], &["--sweep", "zones", "machines, planners"]);
    refused(&["--sweep", "machines=1,2,x,4"], &["--sweep", "machines=1,2,x,4"]);
    refused(&["--sweep", "machines=10,20,20,30"], &["--sweep", "found 3 different", "4 or more"]);
    refused(&["--sweep", "machines=0,1,2,3"], &["--sweep", "found 0", "machines above 0"]);
    refused(&["--sweep", "rate=1,2,3,4", "--machines", "0"], &["--machines", "found 0"]);
}

/// A page without the marks is refused before anything is measured, and is left as it was.
#[test]
fn a_page_without_marks_is_refused() {
    let page = std::env::temp_dir().join(format!("basaltpitch-page-{}.md", std::process::id()));
    let into = page.display().to_string();
    refused(&["--into", &into], &["--into", "expected a page"]);
    for text in [
        "no marks\n",
        "<!-- measured: none -->\nand no end\n",
        "<!-- end -->\n<!-- measured: none -->\n",
        "<!-- measured: none -->\n<!-- measured: zone -->\n<!-- end -->\n",
        "<!-- measured: zone -->\n<!-- end -->\n",
    ] {
        std::fs::write(&page, text).unwrap();
        refused(&["--into", &into], &["--into", "<!-- measured: none -->", "<!-- end -->", "--mark"]);
        assert_eq!(std::fs::read_to_string(&page).unwrap(), text);
    }
    std::fs::remove_file(&page).unwrap();
}
