//! Progress of a rolling restart: the next stage of each machine, and the start of further restarts
//! within the plan's limit.
use crate::coordinator::RestartCoordinator;
use crate::{MachineRestart, RestartOutcome, RestartPlan, RestartProgress, RestartStage};

impl<M: Ord + Clone> RestartCoordinator<M> {
    /// Returns the next progress: advances each machine's stage where due, then begins further
    /// restarts within the limit.
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

    /// Returns the next stage of a machine, which is the current one if no change is due.
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
                // The list must have had time to show that the drain was cancelled.
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

    /// Begins to drain waiting machines, as many as the plan allows. If none of the waiting
    /// machines can be drained for the restart timeout while no other restart is under way, they
    /// are recorded as absent.
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
