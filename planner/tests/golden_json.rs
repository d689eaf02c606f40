//! JSON that planners write for other builds, as an earlier build read and wrote it: `golden/json.txt` has a
//! line for each sort and each of its kinds. `told` stands in recordings, `clause` in frames of operators, and
//! `roll-wanted`, `roll` and `halls` in the notes that voters keep. The file is never edited.
use basaltpitch_constraints::Constraint;
use basaltpitch_planner::placement_event::PlacementEvent;
use basaltpitch_rolling_restart::{RestartPlan, RestartProgress};
use basaltpitch_zone_failover::FailoverDecision;
use serde::{de::DeserializeOwned, Serialize};

/// What becomes of a text that is read and written again.
fn again<T: DeserializeOwned + Serialize>(text: &str) -> String {
    let value: T = serde_json::from_str(text).unwrap_or_else(|e| panic!("{text}: {e}"));
    serde_json::to_string(&value).expect("plain values")
}

fn golden() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/json.txt");
    std::fs::read_to_string(path).expect("golden/json.txt")
}

#[test]
fn what_the_earlier_build_wrote_is_read_and_written_the_same() {
    for line in golden().lines() {
        let (sort, text) = line.split_once(' ').expect("a sort and JSON");
        let found = match sort {
            "told" => again::<PlacementEvent>(text),
            "clause" => again::<Constraint>(text),
            "halls" => again::<FailoverDecision>(text),
            "roll-wanted" => again::<RestartPlan>(text),
            "roll" => again::<RestartProgress<String>>(text),
            _ => panic!("{line}"),
        };
        assert_eq!(found, text, "{sort}");
    }
}

/// A file that was cut holds nothing.
#[test]
fn each_sort_is_in_the_file() {
    let text = golden();
    let count = |sort: &str| text.lines().filter(|line| line.split(' ').next() == Some(sort)).count();
    assert_eq!(["told", "clause", "roll-wanted", "roll", "halls"].map(count), [17, 6, 1, 1, 1]);
}
