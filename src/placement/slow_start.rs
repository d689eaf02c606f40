//! Slow start: how many attempts a machine that warms up is sent, over all planners.
use super::Planner;
use crate::host::Host;

/// Attempts to a machine whose times are remembered for its budget.
pub(super) const MAX_SENT_TIMES: usize = 256;

impl<H: Host> Planner<H> {
    /// A machine that warms up always bears some attempts in each window; this planner keeps to its even part
    /// of them, and after its own start counts them as spent for a window, not knowing what it sent before.
    /// Where there are more planners than attempts they take turns by the clock, in time slots as long as a
    /// window with all that may be under way, half of the attempts a slot, as a window may lie across two.
    pub(super) fn slow_start_allows(&self, machine: usize) -> bool {
        if self.now >= self.machines.slow_start_until[machine] {
            return true;
        }
        // An attempt may be late by the time that a connection takes.
        let window =
            self.setting("rules.fallUs") as i64 + self.setting("permissions.connectTimeoutUs") as i64;
        let budget = self.setting("familyInfo.coldSends");
        let planners = self.setting("nInstances").max(1.0);
        let (mut part, mut since) = ((budget / planners) as usize, self.now - window);
        if part == 0 {
            let slot = (self.now / window) as u64;
            part = self.slow_start_turn(machine, slot, budget as u64, planners);
            since = slot as i64 * window - 1;
        }
        let sent = self.machines.sent_times[machine].iter().filter(|&&sent_at| sent_at > since).count();
        self.now >= self.started_at + window && sent < part.min(MAX_SENT_TIMES)
    }

    /// This planner's attempts in a time slot, 1 where it is one of those whose turn it is.
    fn slow_start_turn(&self, machine: usize, slot: u64, budget: u64, planners: f64) -> usize {
        // Of an odd number every second slot has one more: a machine that bears one is not left alone.
        let (turns, begun) =
            (budget / 2 + slot % 2 * (budget % 2), slot / 2 * budget + slot % 2 * (budget / 2));
        let first = (self.machines.stable_number[machine] % planners as u64 + begun) % planners as u64;
        let after_first = (self.setting("myNumber") + planners) as u64 - first;
        usize::from(after_first % (planners as u64) < turns)
    }
}
