//! Invariant 4: a machine that has just started gets few offers, those of all planners together.
use crate::{Incarnation, InvariantChecker};
use std::collections::HashMap;

/// Starts of machines, and offers to those that warm up.
#[derive(Default)]
pub(crate) struct WarmUps {
    started: HashMap<String, i64>,
    offers: HashMap<String, Vec<i64>>,
}

impl WarmUps {
    pub(crate) fn started(&mut self, at_us: i64, machine: &str) {
        self.started.insert(machine.to_owned(), at_us);
        self.offers.remove(machine);
    }
}

impl InvariantChecker {
    /// A machine failed under the load that it got while it warmed up.
    pub fn machine_overloaded(&mut self, at_us: i64, machine: &str) {
        let planner = (String::from("all planners"), 0);
        self.report(4, at_us, &planner, machine, "the cold machine fell over".into());
    }

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
                "{within} offers within {} ms, {} ms after its start",
                self.config.offer_window_us / 1000,
                (at_us - started) / 1000
            );
            self.report(4, at_us, planner, machine, text);
        }
    }
}
