//! Fault scenarios: which faults occur when, and what they affect (machines, links, load,
//! planners). The kinds of faults are the names that scenario files use.
mod play;

use basaltpitch_config::ResolvedValue;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::pin::Pin;

pub use self::play::FaultTargets;

/// A fault and when it occurs.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// The kind of the fault, such as `crash` or `zone_cut`.
    pub kind: String,
    /// Time from the start of the scenario to the fault, in microseconds.
    pub at_us: i64,
    /// How long the cause of the fault lasts, in microseconds.
    pub duration_us: i64,
    /// Share of machines, slots, processes or tasks that the fault affects, up to 1.
    pub share: f64,
    /// The affected zone; `None`: not bound to a zone.
    pub zone: Option<String>,
    /// The affected machine; `None`: not bound to a machine.
    pub machine: Option<String>,
    /// Strength of the fault; its unit depends on the kind (a factor, a share, seconds or a count).
    pub strength: f64,
}

impl ScheduledFault {
    /// Reads a fault from its settings.
    fn read(settings: &ResolvedValue) -> ScheduledFault {
        ScheduledFault {
            kind: settings.text("what").unwrap_or("").to_owned(),
            at_us: settings.duration_us("at").unwrap_or(0),
            duration_us: settings.duration_us("for").unwrap_or(0),
            share: settings.number("part").unwrap_or(0.2),
            zone: settings.text("zone").map(str::to_owned),
            machine: settings.text("machine").map(str::to_owned),
            strength: settings.number("size").unwrap_or(2.0),
        }
    }
}

/// Returns the faults of a scenario in the order of the file. A repeated fault is listed once per
/// occurrence.
pub fn faults(scenario: &ResolvedValue) -> Vec<ScheduledFault> {
    let repeated = |settings: &ResolvedValue| {
        let times = settings.number("times").unwrap_or(1.0) as i64;
        let every_us = settings.duration_us("every").unwrap_or(0);
        let first = ScheduledFault::read(settings);
        (0..times).map(move |n| ScheduledFault { at_us: first.at_us + n * every_us, ..first.clone() })
    };
    scenario.list("troubles").iter().flat_map(repeated).collect()
}

/// Returns a random subset with this share of the elements, but at least one element.
pub(crate) fn random_subset<T>(mut all: Vec<T>, part: f64, rng: &mut StdRng) -> Vec<T> {
    all.shuffle(rng);
    all.truncate(((part * all.len() as f64).ceil() as usize).max(1));
    all
}

/// How active faults change the load.
#[derive(Default)]
pub struct LoadModifiers {
    /// Factor on the arrival rate of all tasks; 0: unchanged.
    pub burst: Cell<f64>,
    /// A tenant, and the factor on the arrival rate of its tasks.
    pub tenant_burst: RefCell<Option<(String, f64)>>,
    /// Services, as service numbers modulo `HOT_KEYS`, whose tasks use all the cores that they
    /// request.
    pub hot_keys: RefCell<HashSet<u64>>,
    /// Share of tasks with a higher usage, and the factor on their usage.
    pub heavy_tail: Cell<(f64, f64)>,
}

/// Control over the planner processes of a drill.
pub trait PlannerControl {
    /// Returns the number of planners.
    fn count(&self) -> usize;
    /// Returns the zone that a planner runs in.
    fn zone(&self, planner: usize) -> String;
    /// Kills a planner's process.
    fn kill(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
    /// Restarts a planner that was killed.
    fn start(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
    /// Returns whether all planners report this zone as failed.
    fn zone_reported_failed<'a>(&'a self, _zone: &'a str) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async { true })
    }
    /// Records an error for the drill's report.
    fn report_error(&self, _what: String) {}
    /// Plays a fault of planners or voters. Returns false for any other kind of fault.
    fn play<'a>(
        &'a self,
        _fault: &'a ScheduledFault,
        _chance: &'a mut StdRng,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async { false })
    }
}
