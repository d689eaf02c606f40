//! Runs `basaltpitch measure-scale` on a small scale with real processes and checks its invariants,
//! never its speed.
use serde_json::Value;
use std::process::{Command, Output};

/// Runs `measure-scale` to its end.
fn run_measurement(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_basaltpitch")).arg("measure-scale").args(args).output().unwrap()
}

/// Asserts that `measure-scale` rejects these arguments with exit code 2 and an error that contains
/// all `words`, before it measures anything.
fn assert_rejected(args: &[&str], words: &[&str]) {
    let out = run_measurement(args);
    let stderr = String::from_utf8_lossy(&out.stderr);
    assert_eq!(out.status.code(), Some(2), "{args:?}: {stderr}");
    for word in words {
        assert!(stderr.contains(word), "{args:?}: {word:?} is not in: {stderr}");
    }
    assert!(out.stdout.is_empty(), "{args:?}: expected no output on stdout");
}

/// Real and simulated planners run with simulated machines, voters, a registry and clients. All
/// planners acquire a slot, all machines are linked, each task has one final answer, and the
/// planners' traffic counters match the bytes that the relays carried.
#[test]
fn small_fleet_satisfies_the_invariants() {
    let shape = ["--planners", "4", "--real", "2", "--machines", "12", "--tenants", "5", "--running", "20"];
    let load = ["--rate", "48", "--seconds", "4", "--rise", "1", "--term", "3000"];
    let out = run_measurement(&[&shape[..], &load, &["--counters", "-o", "json"]].concat());
    let stderr = String::from_utf8_lossy(&out.stderr);
    let report: Value = serde_json::from_slice(&out.stdout).unwrap_or_else(|e| panic!("{e}: {stderr}"));
    let invariants = &report["laws"];
    assert_eq!(invariants["seats_taken"], 4, "{invariants}");
    assert_eq!(invariants["machines_linked"], 12, "{invariants}");
    for invariant in [
        "all_seated",
        "all_machines_linked",
        "one_answer_a_task",
        "counters_add_up",
        "planners_counters_add_up",
    ] {
        assert_eq!(invariants[invariant], true, "{invariant}: {invariants}");
    }
    assert!(
        invariants["asked"].as_u64() > Some(20) && invariants["asked"] == invariants["answered"],
        "{invariants}"
    );
    assert_eq!(invariants["answered_again"], 0, "{invariants}");
    // Tasks placed by simulated planners run on the machines as well.
    assert!(report["seen"]["running_of_hollow_planners"].as_u64() > Some(0), "{}", report["seen"]);
    // The traffic of each real planner is reported, with each kind of traffic.
    let planners = report["planner_traffic"].as_object().expect("traffic by planner");
    assert_eq!(planners.len(), 2, "{planners:?}");
    for (planner, traffic) in planners {
        for kind in ["heartbeats", "summaries", "council", "lists", "tasks"] {
            assert!(traffic[kind]["bytes_in"].as_u64() > Some(0), "{planner}: {kind}: {traffic}");
        }
        assert!(traffic["tasks"]["frames_out"].as_u64() > Some(0), "{planner}: {traffic}");
    }
    let roles: Vec<&str> =
        report["roles"].as_array().unwrap().iter().flat_map(|r| r["role"].as_str()).collect();
    assert_eq!(roles, ["planner", "hollow planners", "voter", "register", "machines", "clients"]);
    assert!(out.status.success(), "{stderr}");
}

/// Invalid input ends with one error that names the option, the found and the expected value and a
/// remedy; no process is started.
#[test]
fn rejects_invalid_input_before_starting_processes() {
    assert_rejected(&["--machines", "0"], &["--machines", "found 0", "expected 1 or more", "give a higher"]);
    assert_rejected(&["--planners", "0"], &["--planners", "found 0"]);
    assert_rejected(&["--tenants", "0"], &["--tenants", "found 0"]);
    assert_rejected(&["--seconds", "0"], &["--seconds", "found 0"]);
    assert_rejected(
        &["--planners", "4", "--real", "5"],
        &["--real", "found 5", "expected 4", "raise --planners"],
    );
    // Two billion links exceed any limit of descriptors.
    assert_rejected(
        &["--machines", "2000000000"],
        &["--machines", "found 2000000000", "descriptors", "ulimit"],
    );
    assert_rejected(
        &["--planners", "400", "--real", "400", "--machines", "5"],
        &["--real", "found 400", "300"],
    );
    assert_rejected(&["--rate", "0"], &["--rate", "found 0", "above 0"]);
    assert_rejected(&["--rate", "NaN"], &["--rate", "found NaN"]);
    assert_rejected(&["--voters", "2"], &["--voters", "found 2", "3 or 5"]);
    assert_rejected(&["--term", "1"], &["--term", "found 1", "100 ms"]);
    assert_rejected(&["--heartbeat", "0"], &["--heartbeat", "found 0"]);
    assert_rejected(&["--planners", "4", "--copies", "5"], &["--copies", "found 5", "1 to 4"]);
    assert_rejected(&["--faults", "flood"], &["--faults", "flood", "one-way", "zone"]);
    assert_rejected(&["--region", "atlantis"], &["--region", "found \"atlantis\"", "east, west, north"]);
    assert_rejected(&["--sweep", "zones=1,2,3,4"], &["--sweep", "zones", "machines, planners"]);
    assert_rejected(&["--sweep", "machines=1,2,x,4"], &["--sweep", "machines=1,2,x,4"]);
    assert_rejected(&["--sweep", "machines=10,20,20,30"], &["--sweep", "found 3 different", "4 or more"]);
    assert_rejected(&["--sweep", "machines=0,1,2,3"], &["--sweep", "found 0", "machines above 0"]);
    assert_rejected(&["--sweep", "rate=1,2,3,4", "--machines", "0"], &["--machines", "found 0"]);
}

/// A page without the marks between which the tables go is rejected before the measurement and
/// stays unchanged.
#[test]
fn rejects_a_page_without_marks() {
    let page = std::env::temp_dir().join(format!("basaltpitch-page-{}.md", std::process::id()));
    let into = page.display().to_string();
    assert_rejected(&["--into", &into], &["--into", "expected a page"]);
    for text in [
        "no marks\n",
        "<!-- measured: none -->\nand no end\n",
        "<!-- end -->\n<!-- measured: none -->\n",
        "<!-- measured: none -->\n<!-- measured: zone -->\n<!-- end -->\n",
        "<!-- measured: zone -->\n<!-- end -->\n",
    ] {
        std::fs::write(&page, text).unwrap();
        assert_rejected(&["--into", &into], &["--into", "<!-- measured: none -->", "<!-- end -->", "--mark"]);
        assert_eq!(std::fs::read_to_string(&page).unwrap(), text);
    }
    std::fs::remove_file(&page).unwrap();
}
