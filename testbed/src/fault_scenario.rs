//! A fault scenario: what goes wrong when, and what it does to machines, links, load and planners. Kinds of
//! faults have the names that scenarios' files give them.
mod play;

use basaltpitch_config::ResolvedValue;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::pin::Pin;

pub use self::play::FaultTargets;

/// A fault and when it happens.
#[derive(Clone, Debug)]
pub struct ScheduledFault {
    /// Its kind.
    pub kind: String,
    /// From the beginning of the scenario, in microseconds.
    pub at_us: i64,
    /// How long its cause lasts, in microseconds.
    pub duration_us: i64,
    /// The part of machines, planners or tasks that it affects.
    pub part: f64,
    /// The zone that it affects, if it is bound to one.
    pub zone: Option<String>,
    /// The machine that it affects, if it is bound to one.
    pub machine: Option<String>,
    /// How strong it is; what that means depends on the kind.
    pub size: f64,
}

impl ScheduledFault {
    fn read(settings: &ResolvedValue) -> ScheduledFault {
        ScheduledFault {
            kind: settings.text("what").unwrap_or("").to_owned(),
            at_us: settings.duration_us("at").unwrap_or(0),
            duration_us: settings.duration_us("for").unwrap_or(0),
            part: settings.number("part").unwrap_or(0.2),
            zone: settings.text("zone").map(str::to_owned),
            machine: settings.text("machine").map(str::to_owned),
            size: settings.number("size").unwrap_or(2.0),
        }
    }
}

/// The faults of a scenario, in the order of the file; one that comes several times, each time.
pub fn faults(day: &ResolvedValue) -> Vec<ScheduledFault> {
    let repeated = |settings: &ResolvedValue| {
        let times = settings.number("times").unwrap_or(1.0) as i64;
        let every_us = settings.duration_us("every").unwrap_or(0);
        let first = ScheduledFault::read(settings);
        (0..times).map(move |n| ScheduledFault { at_us: first.at_us + n * every_us, ..first.clone() })
    };
    day.list("troubles").iter().flat_map(repeated).collect()
}

/// A drawn part of all, one at least.
pub(crate) fn drawn<T>(mut all: Vec<T>, part: f64, chance: &mut StdRng) -> Vec<T> {
    all.shuffle(chance);
    all.truncate(((part * all.len() as f64).ceil() as usize).max(1));
    all
}

/// How faults change the load.
#[derive(Default)]
pub struct LoadModifiers {
    /// Factor of all arrivals; 0: none.
    pub burst: Cell<f64>,
    /// A tenant, and the factor of its arrivals.
    pub tenant_burst: RefCell<Option<(String, f64)>>,
    /// Services that use all that they request.
    pub hot_keys: RefCell<HashSet<u64>>,
    /// Share of tasks that use more, and so many times more.
    pub heavy_tail: Cell<(f64, f64)>,
}

/// Planners as processes that can be killed and come back.
pub trait PlannerControl {
    /// How many there are.
    fn count(&self) -> usize;
    /// The zone that a planner is in.
    fn zone(&self, planner: usize) -> String;
    /// Kills a planner's process.
    fn kill(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
    /// Starts one that was killed anew.
    fn start(&self, planner: usize) -> Pin<Box<dyn Future<Output = ()> + '_>>;
    /// Whether all planners say that this zone has failed.
    fn declare_failed<'a>(&'a self, _zone: &'a str) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async { true })
    }
    /// Takes in what must not be.
    fn report_error(&self, _what: String) {}
    /// Plays a fault that only planners and voters have; false where it is none of theirs.
    fn play<'a>(
        &'a self,
        _fault: &'a ScheduledFault,
        _chance: &'a mut StdRng,
    ) -> Pin<Box<dyn Future<Output = bool> + 'a>> {
        Box::pin(async { false })
    }
}
