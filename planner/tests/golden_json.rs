//! JSON that other builds read must keep its form. `golden/json.txt` holds lines that an earlier
//! build wrote: an entry type and a value, with one line for each variant. `told` is in recordings,
//! `clause` in frames of operators, and `roll-wanted`, `roll` and `halls` in the lease metadata
//! that voters store. The file is never edited.
use basaltpitch_constraints::Constraint;
use basaltpitch_planner::placement_event::PlacementEvent;
use basaltpitch_rolling_restart::{RestartPlan, RestartProgress};
use basaltpitch_zone_failover::FailoverDecision;
use serde::{de::DeserializeOwned, Serialize};

/// Parses a text and serializes the value again.
fn round_trip<T: DeserializeOwned + Serialize>(text: &str) -> String {
    let value: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
    serde_json::to_string(&value).expect("a value that serializes to JSON")
}

/// Returns the text of the golden file.
fn golden() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/json.txt");
    std::fs::read_to_string(path).expect("golden/json.txt")
}

#[test]
fn json_of_earlier_build_round_trips_unchanged() {
    for line in golden().lines() {
        let (entry_type, text) = line.split_once(' ').expect("an entry type and JSON");
        let written = match entry_type {
            "told" => round_trip::<PlacementEvent>(text),
            "clause" => round_trip::<Constraint>(text),
            "halls" => round_trip::<FailoverDecision>(text),
            "roll-wanted" => round_trip::<RestartPlan>(text),
            "roll" => round_trip::<RestartProgress<String>>(text),
            _ => panic!("{line}"),
        };
        assert_eq!(written, text, "{entry_type}");
    }
}

/// A truncated golden file would check nothing.
#[test]
fn golden_file_has_all_entries() {
    let text = golden();
    let count =
        |entry_type: &str| text.lines().filter(|line| line.split(' ').next() == Some(entry_type)).count();
    assert_eq!(["told", "clause", "roll-wanted", "roll", "halls"].map(count), [17, 6, 1, 1, 1]);
}
