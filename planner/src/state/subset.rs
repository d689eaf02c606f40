//! The planner's subset of the fleet: between what the machine list, machines and tasks report, and the decisions
//! of `basaltpitch_subsetting`. Without a subset nothing here does anything: all listed machines are linked.
use super::*;
use basaltpitch_subsetting::assignment::rendezvous_weight;
use basaltpitch_subsetting::growth::MAX_NAMES_PER_QUERY;
use basaltpitch_subsetting::subset::{INVENTORY_SETTLE_US, LINK_SETUP_US, MAX_CLOCK_SKEW_US, TICK_US};
use basaltpitch_subsetting::{
    name_hash, CapacityQuery, LinkRole, Subset, SubsetConfig, SubsetGrowth, TaskRequirement,
};
use serde::Serialize;
use std::collections::HashSet;

/// A task that is not answered yet.
#[derive(Clone, Copy)]
struct WaitingTask {
    requirement: TaskRequirement,
    deadline: i64,
}

/// The subset, and what decides on its size.
pub(super) struct SubsetState {
    subset: Subset,
    growth: SubsetGrowth,
    /// When inventories came and of which machine, the oldest first.
    inventories: VecDeque<(i64, usize)>,
    waiting: HashMap<usize, WaitingTask>,
    /// When machines that are offered work were added to the subset; new ones of the list, long ago.
    added_at: HashMap<usize, i64>,
    /// Machines that are new on the list and were not added yet.
    newly_listed: HashSet<usize>,
    started_at: i64,
}

/// What operators see of the subset.
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
    /// From now on this planner links to a subset of the fleet only. To be called before anything else comes.
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

    /// The voters report which slots are held, by their positions in the installation.
    pub fn slots_held(&mut self, now: i64, held: impl Iterator<Item = usize>) {
        self.set_clock(now);
        let Some(state) = &mut self.subset else { return };
        let held: Vec<usize> = held.collect();
        (0..state.subset.slot_count())
            .for_each(|slot| state.subset.set_slot_held(slot, held.contains(&slot)));
    }

    pub(super) fn subset_tick(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + TICK_US, TimerKind::Subset);
        let Some(state) = &mut self.subset else { return };
        while let Some((_, m)) = state.inventories.pop_front_if(|v| v.0 + INVENTORY_SETTLE_US <= now) {
            // A link that fell since brings the inventory anew.
            if self.machines.get(m).and_then(Option::as_ref).is_some_and(|x| x.availability.link.is_up()) {
                state.subset.inventory_known(m);
            }
        }
        if let Some(query) = state.growth.poll(now) {
            self.query_capacity(query);
        }
        self.update_subset();
    }

    /// What changed of the subset takes effect.
    fn update_subset(&mut self) {
        let now = self.now();
        let Some(state) = &mut self.subset else { return };
        state.subset.set_width_percent(state.growth.width_percent());
        let ledger = &self.placement.host.ledger;
        state.subset.advance(now, |m| !ledger.has_no_attempts_on(m));
        while let Some(m) = self.subset.as_mut().and_then(|x| x.subset.next_changed()) {
            self.subset_changed(m);
        }
    }

    fn subset_changed(&mut self, m: usize) {
        let now = self.now();
        let Some(state) = &mut self.subset else { return };
        let (links, offers) = (state.subset.wants_link(m), state.subset.is_offered_work(m));
        match offers {
            true => {
                let at = if state.newly_listed.remove(&m) { now - LINK_SETUP_US } else { now };
                state.added_at.entry(m).or_insert(at);
            }
            false => drop(state.added_at.remove(&m)),
        }
        let Some(machine) = self.machines.get_mut(m).and_then(Option::as_mut) else { return };
        machine.availability.outside_subset = !offers;
        if links && machine.availability.is_wanted() {
            self.dials.add(m, now);
        } else if machine.availability.is_wanted() {
            self.dials.remove(m);
            // A link that still comes up is of no use; what was not sent over one that ends is told.
            if machine.availability.link != LinkState::None {
                (machine.availability.link, machine.link) = (LinkState::None, 0);
                self.outputs.push_back(Output::Disconnect { machine: m, why: "outside the planner's part" });
            }
        }
        self.availability_changed(m);
    }

    /// The list has a machine, ready or draining.
    pub(super) fn want(&mut self, m: usize) {
        let now = self.now();
        let Some(state) = &mut self.subset else { return self.dials.add(m, now) };
        let Some(availability) = self.machines[m].as_mut().map(|x| &mut x.availability) else { return };
        let (kind, zone, _) = availability.location;
        if state.subset.machine_listed(m, name_hash(self.machine_ids.ids.id(m)), zone, kind) {
            state.newly_listed.insert(m);
        }
        availability.outside_subset = !state.subset.is_offered_work(m);
        if availability.started_us >= state.started_at + MAX_CLOCK_SKEW_US {
            // Nothing that an earlier incarnation launched runs there.
            state.subset.inventory_known(m);
        }
    }

    pub(super) fn subset_machine_unlisted(&mut self, m: usize) {
        if let Some(state) = &mut self.subset {
            state.subset.machine_unlisted(m);
            state.newly_listed.remove(&m);
        }
    }

    pub(super) fn subset_forget_machine(&mut self, m: usize) {
        if let Some(state) = &mut self.subset {
            state.subset.forget_machine(m);
        }
    }

    pub(super) fn subset_inventory_received(&mut self, m: usize) {
        let now = self.now();
        if let Some(state) = &mut self.subset {
            state.inventories.push_back((now, m));
        }
    }

    /// Entries of the list were read; machines that answer a query get extra links.
    pub(super) fn subset_list_received(&mut self, question: u64, named: &[usize]) {
        let Some(state) = &mut self.subset else { return };
        if question > 0 {
            let ready = |m: usize| {
                self.machines[m].as_ref().is_some_and(|x| x.availability.listed == Some(Readiness::Ready))
            };
            let outside: Vec<usize> =
                named.iter().copied().filter(|&m| ready(m) && !state.subset.is_offered_work(m)).collect();
            if state.growth.query_answered(question, outside.len()) {
                for m in outside {
                    state.subset.add_extra_link(m);
                }
            }
        }
        self.update_subset();
        self.perform_pending();
    }

    fn query_capacity(&mut self, query: CapacityQuery) {
        let Some(state) = &self.subset else { return };
        let name = |names: &[String], at: Option<usize>| at.map(|i| names[i].clone()).unwrap_or_default();
        let mut among: Vec<usize> = Vec::new();
        if self.placement.host.constraints.is_some() {
            let listed = |m: &usize| {
                self.machines[*m].as_ref().is_some_and(|x| x.availability.listed == Some(Readiness::Ready))
            };
            let may = |m: &usize| !state.subset.is_offered_work(*m) && self.constraints_allow(query.task, *m);
            among = (0..self.machines.len()).filter(listed).filter(may).collect();
            if among.is_empty() {
                return;
            }
            // Others each time, and of other planners.
            let draw = |m: usize| {
                rendezvous_weight(name_hash(self.machine_ids.ids.id(m)), self.identity.seed ^ query.number)
            };
            among.sort_by_cached_key(|&m| draw(m));
            among.truncate(MAX_NAMES_PER_QUERY);
        }
        if self.registry_up {
            let fetch = wire::Fetch {
                question: query.number,
                cores: query.requirement.cores,
                memory: query.requirement.memory,
                kind: name(&self.names.kinds, query.requirement.kind),
                zone: name(&self.names.zones, query.requirement.zone),
                among: among.into_iter().map(|m| self.machine_ids.ids.id(m).to_string()).collect(),
                most: query.max_machines,
            };
            self.outputs.push_back(Output::Registry(Body::Fetch(fetch)));
        }
    }

    /// Whether constraints allow a task on a machine now; not through the placement module.
    fn constraints_allow(&self, task: usize, m: usize) -> bool {
        let bounds = self.placement.host.constraints.as_ref();
        let group = bounds.and_then(|b| Some((b, b.group(task)?)));
        group.is_none_or(|(b, g)| b.state.allows(g, m))
    }

    /// A task waits to be placed, with so much time left.
    pub(super) fn task_waits(&mut self, task: usize, job: &TaskJob, time_left_us: i64) {
        if self.subset.is_none() {
            return;
        }
        let kind = self.names.kind_of.get(job.framework).copied().flatten();
        let requirement = TaskRequirement { cores: job.cores, memory: job.memory, kind, zone: None };
        self.add_waiting_task(task, WaitingTask { requirement, deadline: self.now() + time_left_us });
    }

    fn add_waiting_task(&mut self, task: usize, waiting: WaitingTask) {
        let now = self.now();
        let requirement = waiting.requirement;
        let fits = |m: usize| {
            let Some(machine) = self.machines.get(m).and_then(Option::as_ref) else { return false };
            let kind = machine.availability.location.0;
            let (cores, memory) = self.names.sizes[kind];
            let of_kind = requirement.kind.is_none_or(|required| required == kind);
            of_kind
                && cores >= requirement.cores
                && memory >= requirement.memory
                && self.constraints_allow(task, m)
        };
        let fits_linked = self.subset.as_ref().is_some_and(|x| x.subset.offered_machines().any(fits));
        if let Some(state) = &mut self.subset {
            state.waiting.insert(task, waiting);
            state.growth.task_pending(now, task, requirement, waiting.deadline - now, fits_linked);
        }
    }

    pub(super) fn task_launched(&mut self, task: usize) {
        if let Some(state) = &mut self.subset {
            state.growth.task_settled(task);
        }
    }

    pub(super) fn task_waits_no_more(&mut self, task: usize) {
        if let Some(state) = &mut self.subset {
            state.growth.task_settled(task);
            state.waiting.remove(&task);
        }
    }

    /// An attempt has an outcome: the task is over, or it waits again.
    pub(super) fn task_resolved(&mut self, task: usize, outcome: AttemptOutcome, over: bool) {
        if outcome == AttemptOutcome::Refused {
            self.short_of_room();
        }
        let waiting = self.subset.as_mut().and_then(|x| x.waiting.remove(&task));
        match waiting {
            Some(waiting) if !over => self.add_waiting_task(task, waiting),
            _ => self.task_waits_no_more(task),
        }
    }

    pub(super) fn short_of_room(&mut self) {
        if let Some(state) = &mut self.subset {
            state.growth.capacity_refused();
        }
    }

    /// How many times as large as the subset the fleet is, by the machines that the list has.
    pub(crate) fn fleet_to_subset_ratio(&self) -> f64 {
        let Some(state) = &self.subset else { return 1.0 };
        let all = state.subset.listed_count() as f64;
        all / (state.subset.offered_machines().count().max(1) as f64)
    }

    /// Each machine of which this planner can report the state: not those outside its subset, which are unknown to
    /// it and not gone, nor those that were only just added. A machine that is gone is reported by as many
    /// planners as had it, so that a zone that failed stays one.
    pub(crate) fn observable_machines(
        &self,
    ) -> impl Iterator<Item = (usize, &MachineAvailability, basaltpitch::host::MachineEstimate)> {
        let now = self.now();
        let reports = move |m: usize, availability: &MachineAvailability| {
            let Some(state) = &self.subset else { return true };
            if !availability.is_wanted() {
                return state.subset.reports_unlisted(name_hash(self.machine_ids.ids.id(m)));
            }
            let had_time_to_link = state.added_at.get(&m).is_some_and(|at| now - at >= LINK_SETUP_US);
            !availability.outside_subset && (availability.is_responsive() || had_time_to_link)
        };
        self.machines().filter(move |(m, availability, _)| reports(*m, availability))
    }

    /// What operators see of the subset; none where the planner links to the whole fleet.
    pub(crate) fn subset_view(&self) -> Option<SubsetView> {
        let state = self.subset.as_ref()?;
        let (subset, growth) = (&state.subset, &state.growth);
        let links = self.machines.iter().flatten().filter(|x| x.availability.link.is_up()).count();
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

    /// Why this planner links to a machine, in words, where it has a subset.
    pub(crate) fn link_role_text(&self, m: usize) -> Option<&'static str> {
        self.subset.as_ref().map(|x| x.subset.role(m).as_str())
    }
}
