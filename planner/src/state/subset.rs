//! The planner's subset of the fleet. Passes the machine list, inventories and waiting tasks to
//! `basaltpitch_subsetting`, and applies its decisions on which machines are linked and offered
//! work. A planner without a subset links to all listed machines.
use super::*;
use basaltpitch_subsetting::assignment::rendezvous_weight;
use basaltpitch_subsetting::growth::MAX_NAMES_PER_QUERY;
use basaltpitch_subsetting::subset::{INVENTORY_SETTLE_US, LINK_SETUP_US, MAX_CLOCK_SKEW_US, TICK_US};
use basaltpitch_subsetting::{
    name_hash, CapacityQuery, LinkRole, Subset, SubsetConfig, SubsetGrowth, TaskRequirement,
};
use serde::Serialize;
use std::collections::HashSet;

/// A task whose request is not answered yet.
#[derive(Clone, Copy)]
struct WaitingTask {
    requirement: TaskRequirement,
    /// The request's deadline, in microseconds.
    deadline: i64,
}

/// The subset, and the tasks and machines that affect its size.
pub(super) struct SubsetState {
    subset: Subset,
    /// Decides on the width of the subset, and when to query the registry for capacity.
    growth: SubsetGrowth,
    /// Received inventories that have not taken effect yet, oldest first: the time of receipt and
    /// the machine.
    inventories: VecDeque<(i64, usize)>,
    /// By task, those that wait to be placed.
    waiting: HashMap<usize, WaitingTask>,
    /// By machine that is offered work, when it was added to the subset. For a newly listed machine
    /// the time is `LINK_SETUP_US` earlier, so that it counts at once as one that had time to be
    /// linked.
    added_at: HashMap<usize, i64>,
    /// Newly listed machines that were not added to the subset yet.
    newly_listed: HashSet<usize>,
    /// When this planner started, in microseconds.
    started_at: i64,
}

/// The subset, as shown to operators.
#[derive(Debug, Serialize)]
pub(crate) struct SubsetView {
    listed: usize,
    #[serde(rename = "dealt")]
    assigned: usize,
    #[serde(rename = "worked")]
    in_subset: usize,
    #[serde(rename = "guests")]
    extra_links: usize,
    #[serde(rename = "kept")]
    tasks_only: usize,
    #[serde(rename = "to_visit")]
    missing_inventories: usize,
    links: usize,
    #[serde(rename = "seats")]
    live_slots: usize,
    width_percent: u32,
    #[serde(rename = "why")]
    widened_because: Option<String>,
    #[serde(rename = "questions")]
    queries: u64,
    #[serde(rename = "questions_with_room")]
    queries_with_capacity: u64,
}

impl PlannerState {
    /// Restricts this planner to a subset of the fleet. Must be called before any machine or task
    /// is known.
    pub fn use_subset(&mut self, now: i64, config: SubsetConfig) {
        self.set_clock(now);
        self.subset = Some(SubsetState {
            subset: Subset::new(now, config),
            growth: SubsetGrowth::new(now),
            inventories: VecDeque::new(),
            waiting: HashMap::new(),
            added_at: HashMap::new(),
            newly_listed: HashSet::new(),
            started_at: now,
        });
        self.placement.host.timers.set(now + TICK_US, TimerKind::Subset);
    }

    /// Records which planner slots are held according to the voters, by the slots' indices.
    pub fn slots_held(&mut self, now: i64, held: impl Iterator<Item = usize>) {
        self.set_clock(now);
        let Some(state) = &mut self.subset else { return };
        let held: Vec<usize> = held.collect();
        (0..state.subset.slot_count())
            .for_each(|slot| state.subset.set_slot_held(slot, held.contains(&slot)));
    }

    /// Updates the subset periodically: applies inventories and sends a capacity query if one is
    /// due.
    pub(super) fn subset_tick(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + TICK_US, TimerKind::Subset);
        let Some(state) = &mut self.subset else { return };
        while let Some((_, machine)) =
            state.inventories.pop_front_if(|received| received.0 + INVENTORY_SETTLE_US <= now)
        {
            // If the link has ended since, the next link will deliver an inventory again.
            if self
                .machines
                .get(machine)
                .and_then(Option::as_ref)
                .is_some_and(|record| record.availability.link.is_up())
            {
                state.subset.inventory_known(machine);
            }
        }
        if let Some(query) = state.growth.poll(now) {
            self.query_capacity(query);
        }
        self.update_subset();
    }

    /// Updates the subset and applies its changes to machines.
    fn update_subset(&mut self) {
        let now = self.now();
        let Some(state) = &mut self.subset else { return };
        state.subset.set_width_percent(state.growth.width_percent());
        let ledger = &self.placement.host.ledger;
        state.subset.advance(now, |machine| !ledger.has_no_attempts_on(machine));
        while let Some(machine) = self.subset.as_mut().and_then(|state| state.subset.next_changed()) {
            self.subset_changed(machine);
        }
    }

    /// Applies a change of whether the planner wants a link to a machine, or offers it work.
    fn subset_changed(&mut self, machine: usize) {
        let now = self.now();
        let Some(state) = &mut self.subset else { return };
        let (wants_link, offered) = (state.subset.wants_link(machine), state.subset.is_offered_work(machine));
        match offered {
            true => {
                let at = if state.newly_listed.remove(&machine) { now - LINK_SETUP_US } else { now };
                state.added_at.entry(machine).or_insert(at);
            }
            false => drop(state.added_at.remove(&machine)),
        }
        let Some(record) = self.machines.get_mut(machine).and_then(Option::as_mut) else { return };
        record.availability.outside_subset = !offered;
        if wants_link && record.availability.is_wanted() {
            self.dials.add(machine, now);
        } else if record.availability.is_wanted() {
            self.dials.remove(machine);
            // A link that is still being set up is abandoned too. The service reports the attempts
            // that were not sent over a link that ends.
            if record.availability.link != LinkState::None {
                (record.availability.link, record.link) = (LinkState::None, 0);
                self.outputs.push_back(Output::Disconnect { machine, why: "outside the planner's part" });
            }
        }
        self.availability_changed(machine);
    }

    /// Handles a list entry of a machine that is ready or draining: without a subset the planner
    /// connects to it, otherwise the subset decides.
    pub(super) fn machine_listed(&mut self, machine: usize) {
        let now = self.now();
        let Some(state) = &mut self.subset else { return self.dials.add(machine, now) };
        let Some(availability) = self.machines[machine].as_mut().map(|record| &mut record.availability)
        else {
            return;
        };
        let (kind, zone, _) = availability.location;
        if state.subset.machine_listed(machine, name_hash(self.machine_ids.ids.id(machine)), zone, kind) {
            state.newly_listed.insert(machine);
        }
        availability.outside_subset = !state.subset.is_offered_work(machine);
        if availability.started_us >= state.started_at + MAX_CLOCK_SKEW_US {
            // The machine started after this planner, so it runs no attempts of an earlier
            // incarnation of the planner and its inventory is not needed.
            state.subset.inventory_known(machine);
        }
    }

    /// Removes a machine that is off the list from the subset, if there is one.
    pub(super) fn subset_machine_unlisted(&mut self, machine: usize) {
        if let Some(state) = &mut self.subset {
            state.subset.machine_unlisted(machine);
            state.newly_listed.remove(&machine);
        }
    }

    /// Removes all data of a machine from the subset, because its index becomes free.
    pub(super) fn subset_forget_machine(&mut self, machine: usize) {
        if let Some(state) = &mut self.subset {
            state.subset.forget_machine(machine);
        }
    }

    /// Records that a machine's inventory was received. The inventory takes effect after
    /// `INVENTORY_SETTLE_US`.
    pub(super) fn subset_inventory_received(&mut self, machine: usize) {
        let now = self.now();
        if let Some(state) = &mut self.subset {
            state.inventories.push_back((now, machine));
        }
    }

    /// Handles received list entries: the machines in the answer to a capacity query get extra
    /// links. `query` is the number of the query that the list answers, or 0.
    pub(super) fn subset_list_received(&mut self, query: u64, listed: &[usize]) {
        let Some(state) = &mut self.subset else { return };
        if query > 0 {
            let is_ready = |machine: usize| {
                self.machines[machine]
                    .as_ref()
                    .is_some_and(|record| record.availability.listed == Some(Readiness::Ready))
            };
            let outside: Vec<usize> = listed
                .iter()
                .copied()
                .filter(|&machine| is_ready(machine) && !state.subset.is_offered_work(machine))
                .collect();
            if state.growth.query_answered(query, outside.len()) {
                for machine in outside {
                    state.subset.add_extra_link(machine);
                }
            }
        }
        self.update_subset();
        self.perform_pending();
    }

    /// Queries the registry for machines outside the subset with capacity for a task. If there are
    /// constraints, the query names machines that they allow, and is not sent if they allow no
    /// machine.
    fn query_capacity(&mut self, query: CapacityQuery) {
        let Some(state) = &self.subset else { return };
        let name_or_any = |names: &[String], index: Option<usize>| {
            index.map(|index| names[index].clone()).unwrap_or_default()
        };
        let mut candidates: Vec<usize> = Vec::new();
        if self.placement.host.constraints.is_some() {
            let is_ready = |machine: &usize| {
                self.machines[*machine]
                    .as_ref()
                    .is_some_and(|record| record.availability.listed == Some(Readiness::Ready))
            };
            let is_allowed = |machine: &usize| {
                !state.subset.is_offered_work(*machine) && self.constraints_allow(query.task, *machine)
            };
            candidates = (0..self.machines.len()).filter(is_ready).filter(is_allowed).collect();
            if candidates.is_empty() {
                return;
            }
            // A pseudorandom choice, so that each query and each planner names different machines.
            let weight = |machine: usize| {
                rendezvous_weight(
                    name_hash(self.machine_ids.ids.id(machine)),
                    self.identity.seed ^ query.number,
                )
            };
            candidates.sort_by_cached_key(|&machine| weight(machine));
            candidates.truncate(MAX_NAMES_PER_QUERY);
        }
        if self.registry_up {
            let fetch = wire::Fetch {
                question: query.number,
                cores: query.requirement.cores,
                memory: query.requirement.memory,
                kind: name_or_any(&self.names.kinds, query.requirement.kind),
                zone: name_or_any(&self.names.zones, query.requirement.zone),
                among: candidates
                    .into_iter()
                    .map(|machine| self.machine_ids.ids.id(machine).to_string())
                    .collect(),
                most: query.max_machines,
            };
            self.outputs.push_back(Output::Registry(Body::Fetch(fetch)));
        }
    }

    /// Returns whether constraints allow a task on a machine now. Unlike `Host::allows`, the query
    /// is not recorded.
    fn constraints_allow(&self, task: usize, machine: usize) -> bool {
        let constraints = self.placement.host.constraints.as_ref();
        let group = constraints.and_then(|constraints| Some((constraints, constraints.group(task)?)));
        group.is_none_or(|(constraints, group)| constraints.state.allows(group, machine))
    }

    /// Records that a task waits to be placed, with `time_left_us` until its deadline.
    pub(super) fn subset_task_waiting(&mut self, task: usize, job: &TaskJob, time_left_us: i64) {
        if self.subset.is_none() {
            return;
        }
        let kind = self.names.required_kind.get(job.framework).copied().flatten();
        let requirement = TaskRequirement { cores: job.cores, memory: job.memory, kind, zone: None };
        self.add_waiting_task(task, WaitingTask { requirement, deadline: self.now() + time_left_us });
    }

    /// Adds a waiting task, and reports to the subset's growth whether a machine in the subset is
    /// large enough for it.
    fn add_waiting_task(&mut self, task: usize, waiting: WaitingTask) {
        let now = self.now();
        let requirement = waiting.requirement;
        let fits = |machine: usize| {
            let Some(record) = self.machines.get(machine).and_then(Option::as_ref) else { return false };
            let kind = record.availability.location.0;
            let (cores, memory) = self.names.sizes[kind];
            let of_kind = requirement.kind.is_none_or(|required| required == kind);
            of_kind
                && cores >= requirement.cores
                && memory >= requirement.memory
                && self.constraints_allow(task, machine)
        };
        let fits_linked = self.subset.as_ref().is_some_and(|state| state.subset.offered_machines().any(fits));
        if let Some(state) = &mut self.subset {
            state.waiting.insert(task, waiting);
            state.growth.task_pending(now, task, requirement, waiting.deadline - now, fits_linked);
        }
    }

    /// Records that an attempt to run a task was started.
    pub(super) fn subset_task_launched(&mut self, task: usize) {
        if let Some(state) = &mut self.subset {
            state.growth.task_settled(task);
        }
    }

    /// Records that a task no longer waits.
    pub(super) fn subset_task_settled(&mut self, task: usize) {
        if let Some(state) = &mut self.subset {
            state.growth.task_settled(task);
            state.waiting.remove(&task);
        }
    }

    /// Handles the outcome of an attempt: the task is over, or waits again.
    pub(super) fn subset_attempt_resolved(&mut self, task: usize, outcome: AttemptOutcome, over: bool) {
        if outcome == AttemptOutcome::Refused {
            self.subset_capacity_refused();
        }
        let waiting = self.subset.as_mut().and_then(|state| state.waiting.remove(&task));
        match waiting {
            Some(waiting) if !over => self.add_waiting_task(task, waiting),
            _ => self.subset_task_settled(task),
        }
    }

    /// Records that a machine refused an attempt, or that a request was declined, for lack of
    /// capacity.
    pub(super) fn subset_capacity_refused(&mut self) {
        if let Some(state) = &mut self.subset {
            state.growth.capacity_refused();
        }
    }

    /// Returns the ratio of listed machines to machines that are offered work; 1 without a subset.
    pub(crate) fn fleet_to_subset_ratio(&self) -> f64 {
        let Some(state) = &self.subset else { return 1.0 };
        let listed = state.subset.listed_count() as f64;
        listed / (state.subset.offered_machines().count().max(1) as f64)
    }

    /// Returns each machine whose state this planner can report to others, with its availability
    /// and estimate. Machines outside the subset are left out, because their state is unknown to
    /// this planner, and so are machines that were added too recently to be linked. A machine off
    /// the list is reported by as many planners as had it in their subsets, so that a failed zone
    /// does not drop out of the reports.
    pub(crate) fn observable_machines(
        &self,
    ) -> impl Iterator<Item = (usize, &MachineAvailability, basaltpitch::host::MachineEstimate)> {
        let now = self.now();
        let is_observable = move |machine: usize, availability: &MachineAvailability| {
            let Some(state) = &self.subset else { return true };
            if !availability.is_wanted() {
                return state.subset.reports_unlisted(name_hash(self.machine_ids.ids.id(machine)));
            }
            let had_time_to_link = state.added_at.get(&machine).is_some_and(|at| now - at >= LINK_SETUP_US);
            !availability.outside_subset && (availability.is_responsive() || had_time_to_link)
        };
        self.machines().filter(move |(machine, availability, _)| is_observable(*machine, availability))
    }

    /// Returns the state of the subset for operators; `None` if the planner links to the whole
    /// fleet.
    pub(crate) fn subset_view(&self) -> Option<SubsetView> {
        let state = self.subset.as_ref()?;
        let (subset, growth) = (&state.subset, &state.growth);
        let links = self.machines.iter().flatten().filter(|record| record.availability.link.is_up()).count();
        Some(SubsetView {
            listed: subset.listed_count(),
            assigned: subset.assigned_count(),
            in_subset: subset.count(LinkRole::InSubset),
            extra_links: subset.count(LinkRole::Extra),
            tasks_only: subset.count(LinkRole::TasksOnly),
            missing_inventories: subset.missing_inventories(),
            links,
            live_slots: subset.live_slot_count(),
            width_percent: subset.width_percent(),
            widened_because: growth.widened_because().map(str::to_owned),
            queries: growth.queries(),
            queries_with_capacity: growth.queries_with_capacity(),
        })
    }

    /// Returns the reason for the link to a machine, as shown to operators; `None` without a
    /// subset.
    pub(crate) fn link_role_text(&self, machine: usize) -> Option<&'static str> {
        self.subset.as_ref().map(|state| state.subset.role(machine).as_str())
    }
}
