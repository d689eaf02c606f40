//! Slow start: limits how many attempts all planners together send to a machine that warms up.
use super::Planner;
use crate::host::Host;

/// Maximum number of launch times kept per machine, which also limits a planner's slow-start quota.
pub(super) const MAX_LAUNCH_TIMES: usize = 256;

impl<H: Host> Planner<H> {
    /// Returns whether this planner may send an attempt to a machine now. Always true unless the
    /// machine warms up.
    ///
    /// A machine that warms up has a budget of attempts per window, over all planners. Each planner
    /// uses an equal share. After its own start, a planner sends none for one window, because it
    /// does not know what it sent before the restart.
    ///
    /// If there are more planners than attempts in the budget, planners take turns by the clock, in
    /// time slots as long as the window including the connection delay. Each time slot gets half of
    /// the budget, because a window can overlap two time slots.
    pub(super) fn slow_start_allows(&self, machine: usize) -> bool {
        if self.now >= self.machines.slow_start_until[machine] {
            return true;
        }
        // An attempt can reach the machine later by the time that the connection takes.
        let window =
            self.setting("rules.fallUs") as i64 + self.setting("permissions.connectTimeoutUs") as i64;
        let budget = self.setting("familyInfo.coldSends");
        let planners = self.setting("nInstances").max(1.0);
        let (mut quota, mut since) = ((budget / planners) as usize, self.now - window);
        if quota == 0 {
            let time_slot = (self.now / window) as u64;
            quota = self.slow_start_quota_in_turn(machine, time_slot, budget as u64, planners);
            since = time_slot as i64 * window - 1;
        }
        let sent = self.machines.launch_times[machine].iter().filter(|&&sent_at| sent_at > since).count();
        self.now >= self.started_at + window && sent < quota.min(MAX_LAUNCH_TIMES)
    }

    /// Returns how many attempts this planner may send to the machine in a time slot, if planners
    /// take turns: 1 in this planner's turn, otherwise 0.
    fn slow_start_quota_in_turn(&self, machine: usize, time_slot: u64, budget: u64, planners: f64) -> usize {
        // Half of an odd budget is rounded up in every second time slot; rounded down in all of
        // them, a budget of 1 would give no planner a turn.
        let (turns, turns_before) = (
            budget / 2 + time_slot % 2 * (budget % 2),
            time_slot / 2 * budget + time_slot % 2 * (budget / 2),
        );
        let first = (self.machines.stable_number[machine] % planners as u64 + turns_before) % planners as u64;
        let after_first = (self.setting("myNumber") + planners) as u64 - first;
        usize::from(after_first % (planners as u64) < turns)
    }
}
