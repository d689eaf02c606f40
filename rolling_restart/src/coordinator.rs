//! The coordinator of a rolling restart: its inputs, and the actions that it requests.
use crate::{ListedMachine, RestartPlan, RestartProgress, RestartStage};
use std::collections::{BTreeMap, VecDeque};

/// Action that the caller must carry out. `M` is the type of machine names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartAction<M: Ord> {
    /// Store this progress with a majority of voters, then call `on_progress_recorded`.
    RecordProgress(RestartProgress<M>),
    /// Ask a machine to drain, if it has the given start time, or to accept tasks again, whatever
    /// its start time.
    SetDraining {
        /// Name of the machine.
        machine: M,
        /// Start time of the machine that the request applies to, in microseconds of the machine's
        /// clock; 0 for any.
        started_us: i64,
        /// Whether the machine must drain; false cancels the drain.
        draining: bool,
        /// Number of the request, which increases with each request of a coordinator.
        number: u64,
    },
}

/// Delays of a coordinator that are not part of a plan.
#[derive(Clone, Copy, Debug)]
pub struct RestartConfig {
    /// Time for which a drained machine must be listed as empty before it counts as empty, in
    /// microseconds: attempts may still have been on their way to it.
    pub empty_settle_us: i64,
    /// Time after which a request is repeated if the machine list does not show its effect, in
    /// microseconds.
    pub resend_after_us: i64,
}

/// The coordinator of a rolling restart, from acquiring the lease until losing it. `M` is the type
/// of machine names.
#[derive(Clone, Debug)]
pub struct RestartCoordinator<M: Ord> {
    pub(crate) config: RestartConfig,
    pub(crate) wanted: Option<RestartPlan>,
    /// Progress that a majority of voters has stored under this coordinator's token.
    pub(crate) recorded: Option<RestartProgress<M>>,
    /// Progress that is being stored; `None` when no write is in progress.
    writing: Option<RestartProgress<M>>,
    /// Machines with their zones, as on the machine list.
    pub(crate) fleet: BTreeMap<M, (String, ListedMachine)>,
    /// Whether the complete machine list was received since the registry was last lost.
    has_list: bool,
    /// Stage of each machine and the time at which this coordinator first saw it, in microseconds;
    /// a new coordinator starts counting anew.
    stage_since: BTreeMap<M, (RestartStage, i64)>,
    /// Time since which each machine has been drained and empty, in microseconds.
    pub(crate) empty_since: BTreeMap<M, i64>,
    /// The last drain request to each machine (true to drain) and its time in microseconds.
    pub(crate) sent: BTreeMap<M, (bool, i64)>,
    last_number: u64,
    /// Time since which no restart could begin although machines wait, in microseconds.
    pub(crate) stuck_since: Option<i64>,
    actions: VecDeque<RestartAction<M>>,
}

impl<M: Ord + Clone> RestartCoordinator<M> {
    /// Creates a coordinator that has acquired the lease, with the progress that the previous
    /// coordinator stored.
    pub fn new(now: i64, config: RestartConfig, left: Option<RestartProgress<M>>) -> Self {
        let mut coordinator = RestartCoordinator {
            config,
            wanted: None,
            recorded: None,
            writing: None,
            fleet: BTreeMap::new(),
            has_list: false,
            stage_since: BTreeMap::new(),
            empty_since: BTreeMap::new(),
            sent: BTreeMap::new(),
            last_number: 0,
            stuck_since: None,
            actions: VecDeque::new(),
        };
        // Only a minority of voters may have stored this progress: the coordinator must not act on
        // it before a majority has.
        if let Some(left) = left {
            coordinator.write(left);
        }
        coordinator.advance(now);
        coordinator
    }

    /// Returns the next action, in order.
    pub fn next_action(&mut self) -> Option<RestartAction<M>> {
        self.actions.pop_front()
    }

    /// Returns the progress of the current rolling restart or, if there is none, of the last one.
    pub fn progress(&self) -> Option<&RestartProgress<M>> {
        self.writing.as_ref().or(self.recorded.as_ref())
    }

    fn write(&mut self, next: RestartProgress<M>) {
        self.writing = Some(next.clone());
        self.actions.push_back(RestartAction::RecordProgress(next));
    }

    /// Records that a majority of voters has stored the progress of the last `RecordProgress`
    /// action.
    pub fn on_progress_recorded(&mut self, now: i64) {
        if let Some(written) = self.writing.take() {
            self.recorded = Some(written);
        }
        self.advance(now);
    }

    /// Records the operator's plan, as stored by a majority of voters.
    pub fn on_plan(&mut self, now: i64, plan: RestartPlan) {
        if self.wanted.as_ref() != Some(&plan) {
            self.wanted = Some(plan);
            self.advance(now);
        }
    }

    /// Records the current entry of a machine in the machine list.
    pub fn on_machine(&mut self, now: i64, machine: M, zone: &str, listed: ListedMachine) {
        if listed.is_draining && listed.is_empty && !listed.is_gone {
            self.empty_since.entry(machine.clone()).or_insert(now);
        } else {
            self.empty_since.remove(&machine);
        }
        self.fleet.insert(machine, (zone.to_owned(), listed));
    }

    /// Records that the complete machine list was received: machines that are not on it are gone.
    pub fn on_whole_list(&mut self, contains: impl Fn(&M) -> bool) {
        self.has_list = true;
        self.fleet.retain(|machine, _| contains(machine));
        self.empty_since.retain(|machine, _| contains(machine));
    }

    /// Records that the machine list is no longer received. Requests may have been lost, so that
    /// they are sent again once the list is back.
    pub fn on_list_lost(&mut self) {
        self.has_list = false;
        self.sent.clear();
    }

    /// Sends the requests of the recorded progress, computes the next progress and starts to store
    /// it. Must be called when time passes or an input was received.
    pub fn advance(&mut self, now: i64) {
        if !self.has_list {
            return;
        }
        self.send_recorded(now);
        if self.writing.is_some() {
            return;
        }
        let next = match &self.recorded {
            Some(recorded) if !recorded.is_over() => Some(self.next_progress(now, recorded.clone())),
            recorded => self.first_progress(recorded.as_ref().map_or(0, |last| last.plan.id)),
        };
        if let Some(next) = next.filter(|next| Some(next) != self.recorded.as_ref()) {
            self.write(next);
        }
    }

    /// Returns the initial progress of an operator's plan that is newer than the last one.
    fn first_progress(&self, last_id: u64) -> Option<RestartProgress<M>> {
        let plan = self.wanted.clone().filter(|wanted| wanted.id > last_id && !wanted.stopped)?;
        let of_zone = self.fleet.iter().filter(|(_, (zone, listed))| *zone == plan.zone && !listed.is_gone);
        let waiting = |started_us| (started_us, RestartStage::Waiting).into();
        let machines = of_zone.map(|(machine, (_, listed))| (machine.clone(), waiting(listed.started_us)));
        let machines = machines.collect();
        Some(RestartProgress { plan, machines })
    }

    /// Returns the time since which a machine has been in this stage, in microseconds.
    pub(crate) fn stage_since(&mut self, now: i64, machine: &M, stage: RestartStage) -> i64 {
        let known = self.stage_since.entry(machine.clone()).or_insert((stage, now));
        if known.0 != stage {
            *known = (stage, now);
        }
        known.1
    }

    /// Sends the drain requests of the recorded progress, and repeats one if the machine list does
    /// not show its effect after `resend_after_us`.
    fn send_recorded(&mut self, now: i64) {
        let Some(recorded) = &self.recorded else { return };
        for (machine, restart) in &recorded.machines {
            let draining = match restart.stage {
                RestartStage::Draining | RestartStage::Restarting => true,
                RestartStage::Released(_) => false,
                RestartStage::Waiting | RestartStage::Done(_) => continue,
            };
            let listed = self.fleet.get(machine).map(|(_, listed)| listed);
            // A machine that has restarted is not drained again. A cancellation applies whatever
            // the machine's start time.
            let started_us = if draining { restart.started_us } else { 0 };
            if draining && listed.is_some_and(|listed| listed.started_us != started_us) {
                continue;
            }
            let is_shown = listed.is_some_and(|listed| listed.is_draining == draining);
            let is_due = match self.sent.get(machine) {
                Some(&(sent, sent_us)) if sent == draining => {
                    !is_shown && now >= sent_us + self.config.resend_after_us
                }
                _ => true,
            };
            if is_due {
                self.sent.insert(machine.clone(), (draining, now));
                self.last_number += 1;
                let (machine, number) = (machine.clone(), self.last_number);
                let action = RestartAction::SetDraining { machine, started_us, draining, number };
                self.actions.push_back(action);
            }
        }
    }
}
