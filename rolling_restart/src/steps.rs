//! How a rolling restart moves on: each machine by a step, then further machines as far as the plan allows.
use crate::coordinator::RestartCoordinator;
use crate::{MachineRestart, RestartOutcome, RestartPlan, RestartProgress, RestartStage};

impl<M: Ord + Clone> RestartCoordinator<M> {
    /// Each machine's restart by a step, if it is time for it; then further ones, as many as may be under way.
    pub(crate) fn next_progress(&mut self, now: i64, mut progress: RestartProgress<M>) -> RestartProgress<M> {
        if let Some(wanted) = self.wanted.clone().filter(|wanted| wanted.id == progress.plan.id) {
            progress.plan = wanted;
        }
        for (machine, restart) in &mut progress.machines {
            restart.stage = self.next_stage(now, &progress.plan, machine, *restart);
        }
        self.begin_restarts(now, &mut progress);
        progress
    }

    /// The stage of a machine after this moment.
    fn next_stage(
        &mut self,
        now: i64,
        plan: &RestartPlan,
        machine: &M,
        restart: MachineRestart,
    ) -> RestartStage {
        let since_us = self.stage_since(now, machine, restart.stage);
        let listed = self.fleet.get(machine).map(|(_, listed)| listed).filter(|listed| !listed.is_gone);
        let has_restarted = listed.is_some_and(|listed| listed.started_us != restart.started_us);
        match restart.stage {
            RestartStage::Waiting if plan.stopped => RestartStage::Done(RestartOutcome::Stopped),
            RestartStage::Waiting if has_restarted => RestartStage::Done(RestartOutcome::Restarted),
            RestartStage::Draining | RestartStage::Restarting if has_restarted => {
                RestartStage::Released(RestartOutcome::Restarted)
            }
            RestartStage::Draining | RestartStage::Restarting if plan.stopped => {
                RestartStage::Released(RestartOutcome::Stopped)
            }
            RestartStage::Draining => {
                let settled = |&empty_us: &i64| now >= empty_us + self.config.empty_settle_us;
                let is_empty = self.empty_since.get(machine).is_some_and(settled);
                if is_empty || now >= since_us + plan.drain_timeout_us {
                    RestartStage::Restarting
                } else {
                    RestartStage::Draining
                }
            }
            RestartStage::Restarting if now >= since_us + plan.restart_timeout_us => {
                RestartStage::Released(RestartOutcome::NotRestarted)
            }
            RestartStage::Released(outcome) => {
                // The list must have had the time to show that the drain is gone.
                let is_old = |&(draining, sent_us): &(bool, i64)| {
                    !draining && now >= sent_us + self.config.resend_after_us
                };
                let was_sent = self.sent.get(machine).is_some_and(is_old);
                if was_sent && !listed.is_some_and(|listed| listed.is_draining) {
                    RestartStage::Done(outcome)
                } else {
                    RestartStage::Released(outcome)
                }
            }
            stage => stage,
        }
    }

    /// Machines that wait begin to drain, as many as may be under way; those that never could are absent in the end.
    fn begin_restarts(&mut self, now: i64, progress: &mut RestartProgress<M>) {
        let (plan, under_way) = (&progress.plan, progress.under_way());
        let may_begin =
            if plan.paused || plan.stopped { 0 } else { plan.max_draining.saturating_sub(under_way) };
        let is_free = |machine: &&M| {
            let listed = self.fleet.get(machine);
            listed.is_some_and(|(_, listed)| !listed.is_gone && !listed.is_draining)
        };
        let is_waiting = |restart: &MachineRestart| restart.stage == RestartStage::Waiting;
        let waiting = progress.machines.iter().filter(|(_, restart)| is_waiting(restart));
        let waiting: Vec<M> = waiting.map(|(machine, _)| machine.clone()).collect();
        let next: Vec<&M> = waiting.iter().filter(is_free).take(may_begin).collect();
        let is_stuck = next.is_empty() && under_way == 0 && !waiting.is_empty() && !plan.paused;
        let stuck_since = *self.stuck_since.get_or_insert(now);
        if !is_stuck {
            self.stuck_since = None;
        } else if now >= stuck_since + plan.restart_timeout_us {
            let waiting = progress.machines.values_mut().filter(|restart| is_waiting(restart));
            waiting.for_each(|restart| restart.stage = RestartStage::Done(RestartOutcome::Absent));
        }
        for machine in next {
            if let Some(restart) = progress.machines.get_mut(machine) {
                restart.stage = RestartStage::Draining;
            }
        }
    }
}
