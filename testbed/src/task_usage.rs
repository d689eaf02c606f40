//! Usage of tasks while they run.
use crate::context::TaskUsage;
use crate::fault_scenario::LoadModifiers;
use basaltpitch_config::installation::Installation;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cell::RefCell;
use std::rc::Rc;

/// Seed of the random number generator, the same in all scenarios.
const SEED: u64 = 11;
/// Number of services that hot keys are drawn from.
pub(crate) const HOT_KEYS: u64 = 64;

/// Returns a function that draws the usage of a task: the scenario's share of what the task
/// requests, changed by the active faults.
pub(crate) fn task_usage(installation: &Installation, load: Rc<LoadModifiers>) -> TaskUsage {
    let scenario = installation.all.get("day").cloned();
    let shares: Vec<(String, f64)> = scenario
        .iter()
        .flat_map(|scenario| scenario.list("tasks"))
        .map(|task| (task.text("framework").unwrap_or("").to_owned(), task.number("uses").unwrap_or(0.5)))
        .collect();
    let rng = RefCell::new(StdRng::seed_from_u64(SEED));
    Box::new(move |launch| {
        let mut rng = rng.borrow_mut();
        let share = shares.iter().find(|share| share.0 == launch.framework).map_or(0.5, |share| share.1);
        let mut share = share * rng.random_range(0.8..1.2);
        if load.hot_keys.borrow().contains(&(launch.service % HOT_KEYS)) {
            share = 1.0;
        }
        let (part, factor) = load.heavy_tail.get();
        if part > 0.0 && rng.random_bool(part.min(1.0)) {
            share *= factor;
        }
        if load.burst.get() > 0.0 {
            share *= 1.2;
        }
        let runs_us = (launch.runs_for_us as f64 * rng.random_range(0.5..1.5)) as i64;
        (launch.cores * share, launch.memory * (0.2 + share).min(1.6), runs_us.max(1000))
    })
}
