//! A seeded soak of `basaltpitch node`: the real binary among clients, machines and a coordinator that are played
//! here, restarted on its name and address, with its planned and unplanned ends drawn from a seed and judged by the
//! traffic alone.
//!
//! - `SOAK_SEEDS=A..B` plays these seeds (B excluded) instead of the few of CI; `SOAK_JOBS=N` at once.
//! - `SOAK_SEEDS=N..M SOAK_TRACE=1` prints each life that failed whole, in order of time.
//! - `BASALTPITCH_NODE` puts another build in the program's place.
//!
//! One seed draws one plan, always the same. What the machine's scheduling tips, such as which message of two
//! comes first, differs from run to run.
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

/// The seeds that CI plays.
const CI_SEEDS: Range<u64> = 1..13;
/// Seeds that are played at once.
const DEFAULT_JOBS: usize = 3;

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return CI_SEEDS };
    let bounds = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    bounds.unwrap_or_else(|| panic!("SOAK_SEEDS: found {text:?}; expected a range such as 0..50"))
}

fn jobs() -> usize {
    std::env::var("SOAK_JOBS").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_JOBS)
}

/// Plays each seed on one of `jobs` threads.
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

#[test]
fn every_request_has_its_one_answer_through_planned_ends() {
    let report = SoakReport::new(play_all(seeds(), jobs()));
    println!("{report}");
    assert!(report.violations().next().is_none(), "{report}");
}
