//! Invariant 4: a machine that has just started and is warming up gets a limited number of
//! launches, all planners together.
use crate::{Incarnation, InvariantChecker};
use std::collections::HashMap;

/// The starts of machines, and the launches on machines that are warming up.
#[derive(Default)]
pub(crate) struct WarmUps {
    /// When each machine last started, in microseconds.
    started: HashMap<String, i64>,
    /// Times of the launches on each machine while it was warming up, in microseconds.
    offers: HashMap<String, Vec<i64>>,
}

impl WarmUps {
    /// Records that a machine started.
    pub(crate) fn started(&mut self, at_us: i64, machine: &str) {
        self.started.insert(machine.to_owned(), at_us);
        self.offers.remove(machine);
    }
}

impl InvariantChecker {
    /// Reports that a machine failed under the load that it got while warming up.
    pub fn machine_overloaded(&mut self, at_us: i64, machine: &str) {
        let planner = (String::from("all planners"), 0);
        self.report(4, at_us, &planner, machine, "failed under the load that it got while warming up".into());
    }

    /// Counts a launch on a machine that is warming up, and reports more than the limit in a
    /// window.
    pub(crate) fn check_warm_up(&mut self, at_us: i64, machine: &str, planner: &Incarnation) {
        let Some(&started) = self.warm_ups.started.get(machine) else { return };
        if at_us >= started + self.config.warm_up_us {
            return;
        }
        let from = at_us - self.config.offer_window_us;
        let offers = self.warm_ups.offers.entry(machine.to_owned()).or_default();
        offers.push(at_us);
        let within = offers.iter().rev().take_while(|&&offered| offered > from).count();
        self.totals.max_warm_up_offers = self.totals.max_warm_up_offers.max(within);
        if within > self.config.max_offers {
            let text = format!(
                "{within} attempts within {} ms, {} ms after the machine's start, are too many while it is \
                 warming up",
                self.config.offer_window_us / 1000,
                (at_us - started) / 1000
            );
            self.report(4, at_us, planner, machine, text);
        }
    }
}
