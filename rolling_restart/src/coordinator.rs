//! The coordinator: what it is told, and what it has to do.
use crate::{ListedMachine, RestartPlan, RestartProgress, RestartStage};
use std::collections::{BTreeMap, VecDeque};

/// What the caller has to do. `M` is the type of machine names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RestartAction<M: Ord> {
    /// Have this stored by a majority of voters, then call `on_progress_recorded`.
    RecordProgress(RestartProgress<M>),
    /// Tell a machine that it takes nothing new, if it is of this start; or that it does again, whatever its start.
    SetDraining {
        /// The machine's name.
        machine: M,
        /// The start that it is for, by the machine's clock in microseconds; 0: any.
        started_us: i64,
        /// Whether it is to drain.
        draining: bool,
        /// Rises from one request of a coordinator to the next.
        number: u64,
    },
}

/// Delays of a coordinator that no plan names.
#[derive(Clone, Copy, Debug)]
pub struct RestartConfig {
    /// A machine counts as empty once the list has had it so, drained, for so long, in microseconds: attempts may have
    /// been on their way.
    pub empty_settle_us: i64,
    /// What the list does not show yet is requested again after this time, in microseconds.
    pub resend_after_us: i64,
}

/// One coordinator, from when it acquired the lease until it lost it. `M` is the type of machine names.
#[derive(Clone, Debug)]
pub struct RestartCoordinator<M: Ord> {
    pub(crate) config: RestartConfig,
    pub(crate) wanted: Option<RestartPlan>,
    /// What a majority stores under this coordinator's token.
    pub(crate) recorded: Option<RestartProgress<M>>,
    /// What is being written.
    writing: Option<RestartProgress<M>>,
    /// Machines and their zones, as the list has them.
    pub(crate) fleet: BTreeMap<M, (String, ListedMachine)>,
    /// Whether the list was received whole since the registry was last lost.
    has_list: bool,
    /// When each machine came to its stage, as far as this coordinator knows: a successor counts anew.
    stage_since: BTreeMap<M, (RestartStage, i64)>,
    /// Since when each machine has been drained and empty.
    pub(crate) empty_since: BTreeMap<M, i64>,
    /// What was last requested of each machine, and when.
    pub(crate) sent: BTreeMap<M, (bool, i64)>,
    last_number: u64,
    /// Since when nothing could be begun though machines wait.
    pub(crate) stuck_since: Option<i64>,
    actions: VecDeque<RestartAction<M>>,
}

impl<M: Ord + Clone> RestartCoordinator<M> {
    /// The lease is acquired, with the progress that the last coordinator left.
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
        // It may be with a minority only: it must not be acted on before a majority stores it.
        if let Some(left) = left {
            coordinator.write(left);
        }
        coordinator.advance(now);
        coordinator
    }

    /// The next thing to do, in order.
    pub fn next_action(&mut self) -> Option<RestartAction<M>> {
        self.actions.pop_front()
    }

    /// What is known of the rolling restart under way, or the last one.
    pub fn progress(&self) -> Option<&RestartProgress<M>> {
        self.writing.as_ref().or(self.recorded.as_ref())
    }

    fn write(&mut self, next: RestartProgress<M>) {
        self.writing = Some(next.clone());
        self.actions.push_back(RestartAction::RecordProgress(next));
    }

    /// A majority stores what was last to be recorded.
    pub fn on_progress_recorded(&mut self, now: i64) {
        if let Some(written) = self.writing.take() {
            self.recorded = Some(written);
        }
        self.advance(now);
    }

    /// What operators want, as a majority stores it.
    pub fn on_plan(&mut self, now: i64, plan: RestartPlan) {
        if self.wanted.as_ref() != Some(&plan) {
            self.wanted = Some(plan);
            self.advance(now);
        }
    }

    /// A machine of a zone, as the list has it now.
    pub fn on_machine(&mut self, now: i64, machine: M, zone: &str, listed: ListedMachine) {
        if listed.is_draining && listed.is_empty && !listed.is_gone {
            self.empty_since.entry(machine.clone()).or_insert(now);
        } else {
            self.empty_since.remove(&machine);
        }
        self.fleet.insert(machine, (zone.to_owned(), listed));
    }

    /// A list was received whole: machines that are not in it are gone.
    pub fn on_whole_list(&mut self, contains: impl Fn(&M) -> bool) {
        self.has_list = true;
        self.fleet.retain(|machine, _| contains(machine));
        self.empty_since.retain(|machine, _| contains(machine));
    }

    /// The list is not received any more. Requests may not have come through: they are sent again once it is.
    pub fn on_list_lost(&mut self) {
        self.has_list = false;
        self.sent.clear();
    }

    /// Time passes, or something was received: what is recorded is acted on, and what comes next is written.
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

    /// A plan that is wanted and newer than the last.
    fn first_progress(&self, last_id: u64) -> Option<RestartProgress<M>> {
        let plan = self.wanted.clone().filter(|wanted| wanted.id > last_id && !wanted.stopped)?;
        let of_zone = self.fleet.iter().filter(|(_, (zone, listed))| *zone == plan.zone && !listed.is_gone);
        let waiting = |started_us| (started_us, RestartStage::Waiting).into();
        let machines = of_zone.map(|(machine, (_, listed))| (machine.clone(), waiting(listed.started_us)));
        let machines = machines.collect();
        Some(RestartProgress { plan, machines })
    }

    /// Since when a machine has been in this stage.
    pub(crate) fn stage_since(&mut self, now: i64, machine: &M, stage: RestartStage) -> i64 {
        let known = self.stage_since.entry(machine.clone()).or_insert((stage, now));
        if known.0 != stage {
            *known = (stage, now);
        }
        known.1
    }

    /// Requests of machines what is recorded, once, and again where the list shows otherwise after a while.
    fn send_recorded(&mut self, now: i64) {
        let Some(recorded) = &self.recorded else { return };
        for (machine, restart) in &recorded.machines {
            let draining = match restart.stage {
                RestartStage::Draining | RestartStage::Restarting => true,
                RestartStage::Released(_) => false,
                RestartStage::Waiting | RestartStage::Done(_) => continue,
            };
            let listed = self.fleet.get(machine).map(|(_, listed)| listed);
            // A machine that started anew is not drained again; its drain is taken back whatever its start.
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
