//! A seeded soak test of `basaltpitch node`. The real binary serves simulated clients, machines and
//! a simulated coordinator, and is stopped or killed and started again under its name and address,
//! as drawn from the seed. The invariants are checked on the recorded traffic alone.
//!
//! - `SOAK_SEEDS=A..B` plays these seeds (B excluded) instead of those of CI, `SOAK_JOBS=N` of them
//!   at once.
//! - `SOAK_SEEDS=A..B SOAK_TRACE=1` also prints the whole trace of each run with a violation, in
//!   order of time.
//! - `BASALTPITCH_NODE` names another build of the binary to test.
//!
//! A seed always yields the same plan. The order of events that depends on the host's scheduling,
//! such as which of two messages arrives first, still differs between two plays of a seed.
mod client;
mod coordinator;
mod judge;
mod life;
mod machine;
mod plan;
mod report;
mod trace;
#[path = "../wire/mod.rs"]
mod wire;

use plan::Plan;
use report::{SeedReport, SoakReport};
use std::ops::Range;
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};

/// The seeds that the test plays by default, as in CI.
const CI_SEEDS: Range<u64> = 1..13;
/// Seeds played in parallel by default.
const DEFAULT_JOBS: usize = 3;

/// Returns the range of seeds to play.
fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return CI_SEEDS };
    let bounds = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    bounds.unwrap_or_else(|| panic!("SOAK_SEEDS: found {text:?}; expected a range such as 0..50"))
}

/// Returns how many seeds to play in parallel.
fn jobs() -> usize {
    std::env::var("SOAK_JOBS").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_JOBS)
}

/// Plays the seeds on `jobs` threads.
fn play_all(seeds: Range<u64>, jobs: usize) -> Vec<SeedReport> {
    let queue = Arc::new(Mutex::new(seeds));
    let (sender, reports) = channel();
    for _ in 0..jobs {
        let (queue, sender) = (queue.clone(), sender.clone());
        std::thread::spawn(move || loop {
            let Some(seed) = queue.lock().unwrap().next() else { return };
            let _ = sender.send(life::play(&Plan::draw(seed)));
        });
    }
    drop(sender);
    reports.into_iter().collect()
}

/// Each request must get exactly one answer, and the other invariants of `judge` must hold, while
/// the planner is stopped, paused, killed and started again.
#[test]
fn every_request_gets_one_answer_across_restarts() {
    let report = SoakReport::new(play_all(seeds(), jobs()));
    println!("{report}");
    assert!(report.violations().next().is_none(), "{report}");
}
