//! The core's room for the planner's part of the fleet: between what the list, machines and tasks tell, and
//! the decisions of `basaltpitch_subsetting`. Without a part nothing here does anything: all that is listed is
//! linked.
use super::*;
use basaltpitch_subsetting::deal::weight;
use basaltpitch_subsetting::part::{CLOCKS, LINKED, TICK, VISIT};
use basaltpitch_subsetting::shortage::MOST_NAMES;
use basaltpitch_subsetting::{hash, Ask, Need, Part, Role, Shortage, Terms};
use std::collections::HashSet;

pub(super) struct Parts {
    part: Part,
    shortage: Shortage,
    /// Inventories that came, the oldest first.
    visits: VecDeque<(i64, usize)>,
    /// What tasks without an answer need, and when their time is over.
    needs: HashMap<usize, (Need, i64)>,
    /// When machines that are offered work were taken on; those that came to the list meanwhile, long ago.
    taken: HashMap<usize, i64>,
    came: HashSet<usize>,
    born_at: i64,
}

impl PlannerState {
    /// From now on this planner links to a part of the fleet alone. To be called before anything else comes.
    pub fn use_subset(&mut self, now: i64, terms: Terms) {
        self.set_clock(now);
        let (part, shortage) = (Part::new(now, terms), Shortage::new(now));
        let (visits, needs, taken, came) = Default::default();
        self.part = Some(Parts { part, shortage, visits, needs, taken, came, born_at: now });
        self.placement.host.timers.set(now + TICK, TimerKind::Subset);
    }

    /// The council tells which seats are held, by their places in the installation.
    pub fn slots_held(&mut self, now: i64, held: impl Iterator<Item = usize>) {
        self.set_clock(now);
        let Some(parts) = &mut self.part else { return };
        let held: Vec<usize> = held.collect();
        (0..parts.part.seats()).for_each(|seat| parts.part.seat(seat, held.contains(&seat)));
    }

    pub(super) fn part_due(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + TICK, TimerKind::Subset);
        let Some(parts) = &mut self.part else { return };
        while let Some((_, m)) = parts.visits.pop_front_if(|v| v.0 + VISIT <= now) {
            // A link that fell since brings the inventory anew.
            if self.machines.get(m).and_then(Option::as_ref).is_some_and(|x| x.availability.link.is_up()) {
                parts.part.visited(m);
            }
        }
        if let Some(ask) = parts.shortage.clock(now) {
            self.ask_for_guests(ask);
        }
        self.part_settles();
    }

    /// What changed of the part takes effect.
    fn part_settles(&mut self) {
        let now = self.now();
        let Some(parts) = &mut self.part else { return };
        parts.part.widen(parts.shortage.width());
        let ledger = &self.placement.host.ledger;
        parts.part.clock(now, |m| !ledger.is_machine_free(m));
        while let Some(m) = self.part.as_mut().and_then(|x| x.part.next_changed()) {
            self.part_changed(m);
        }
    }

    fn part_changed(&mut self, m: usize) {
        let now = self.now();
        let Some(parts) = &mut self.part else { return };
        let (links, offers) = (parts.part.links(m), parts.part.offers(m));
        match offers {
            true => {
                let at = if parts.came.remove(&m) { now - LINKED } else { now };
                parts.taken.entry(m).or_insert(at);
            }
            false => drop(parts.taken.remove(&m)),
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
        let Some(parts) = &mut self.part else { return self.dials.add(m, now) };
        let Some(standing) = self.machines[m].as_mut().map(|x| &mut x.availability) else { return };
        let (kind, zone, _) = standing.location;
        if parts.part.listed(m, hash(self.machine_ids.ids.id(m)), zone, kind) {
            parts.came.insert(m);
        }
        standing.outside_subset = !parts.part.offers(m);
        if standing.started_us >= parts.born_at + CLOCKS {
            // Nothing that an earlier life of the seat launched runs there.
            parts.part.visited(m);
        }
    }

    pub(super) fn part_unlisted(&mut self, m: usize) {
        if let Some(parts) = &mut self.part {
            parts.part.unlisted(m);
            parts.came.remove(&m);
        }
    }

    pub(super) fn part_forgets(&mut self, m: usize) {
        if let Some(parts) = &mut self.part {
            parts.part.forget(m);
        }
    }

    pub(super) fn part_visited(&mut self, m: usize) {
        let now = self.now();
        if let Some(parts) = &mut self.part {
            parts.visits.push_back((now, m));
        }
    }

    /// Entries of the list are taken in; those that answer a question are invited.
    pub(super) fn part_listed(&mut self, question: u64, named: &[usize]) {
        let Some(parts) = &mut self.part else { return };
        if question > 0 {
            let ready = |m: usize| {
                self.machines[m].as_ref().is_some_and(|x| x.availability.listed == Some(Readiness::Ready))
            };
            let outside: Vec<usize> =
                named.iter().copied().filter(|&m| ready(m) && !parts.part.offers(m)).collect();
            if parts.shortage.answered(question, outside.len()) {
                for m in outside {
                    parts.part.invite(m);
                }
            }
        }
        self.part_settles();
        self.perform_pending();
    }

    fn ask_for_guests(&mut self, ask: Ask) {
        let Some(parts) = &self.part else { return };
        let name = |names: &[String], at: Option<usize>| at.map(|i| names[i].clone()).unwrap_or_default();
        let mut among: Vec<usize> = Vec::new();
        if self.placement.host.constraints.is_some() {
            let listed = |m: &usize| {
                self.machines[*m].as_ref().is_some_and(|x| x.availability.listed == Some(Readiness::Ready))
            };
            let may = |m: &usize| !parts.part.offers(*m) && self.clauses_allow(ask.task, *m);
            among = (0..self.machines.len()).filter(listed).filter(may).collect();
            if among.is_empty() {
                return;
            }
            // Others each time, and of other planners.
            let draw = |m: usize| weight(hash(self.machine_ids.ids.id(m)), self.identity.seed ^ ask.number);
            among.sort_by_cached_key(|&m| draw(m));
            among.truncate(MOST_NAMES);
        }
        if self.registry_up {
            let fetch = wire::Fetch {
                question: ask.number,
                cores: ask.need.cores,
                memory: ask.need.memory,
                kind: name(&self.names.kinds, ask.need.kind),
                zone: name(&self.names.zones, ask.need.zone),
                among: among.into_iter().map(|m| self.machine_ids.ids.id(m).to_string()).collect(),
                most: ask.most,
            };
            self.outputs.push_back(Output::Registry(Body::Fetch(fetch)));
        }
    }

    /// Whether clauses let a task go to a machine now, asked beside the module.
    fn clauses_allow(&self, task: usize, m: usize) -> bool {
        let bounds = self.placement.host.constraints.as_ref();
        let group = bounds.and_then(|b| Some((b, b.group(task)?)));
        group.is_none_or(|(b, g)| b.state.allows(g, m))
    }

    // Tasks that wait.

    pub(super) fn task_waits(&mut self, task: usize, job: &TaskJob, left: i64) {
        if self.part.is_none() {
            return;
        }
        let kind = self.names.kind_of.get(job.framework).copied().flatten();
        let need = Need { cores: job.cores, memory: job.memory, kind, zone: None };
        self.waits(task, need, self.now() + left);
    }

    fn waits(&mut self, task: usize, need: Need, limit_at: i64) {
        let now = self.now();
        let could = |m: usize| {
            let Some(kind) = self.machines.get(m).and_then(Option::as_ref).map(|x| x.availability.location.0)
            else {
                return false;
            };
            let (cores, memory) = self.names.sizes[kind];
            let of_kind = need.kind.is_none_or(|k| k == kind);
            of_kind && cores >= need.cores && memory >= need.memory && self.clauses_allow(task, m)
        };
        let could = self.part.as_ref().is_some_and(|x| x.part.offered().any(could));
        if let Some(parts) = &mut self.part {
            parts.needs.insert(task, (need, limit_at));
            parts.shortage.waits(now, task, need, limit_at - now, could);
        }
    }

    pub(super) fn task_launched(&mut self, task: usize) {
        if let Some(parts) = &mut self.part {
            parts.shortage.over(task);
        }
    }

    pub(super) fn task_waits_no_more(&mut self, task: usize) {
        if let Some(parts) = &mut self.part {
            parts.shortage.over(task);
            parts.needs.remove(&task);
        }
    }

    /// A launch has an outcome: it is over, or the task waits again.
    pub(super) fn task_resolved(&mut self, task: usize, outcome: AttemptOutcome, over: bool) {
        if outcome == AttemptOutcome::Full {
            self.short_of_room();
        }
        let need = self.part.as_mut().and_then(|x| x.needs.remove(&task));
        match need {
            Some((need, limit_at)) if !over => self.waits(task, need, limit_at),
            _ => self.task_waits_no_more(task),
        }
    }

    pub(super) fn short_of_room(&mut self) {
        if let Some(parts) = &mut self.part {
            parts.shortage.refused();
        }
    }

    // What others are told.

    /// How many times the part the fleet is, by the machines that the list has.
    pub(crate) fn fleet_to_subset_ratio(&self) -> f64 {
        let Some(parts) = &self.part else { return 1.0 };
        let all = parts.part.listed_count() as f64;
        all / (parts.part.offered().count().max(1) as f64)
    }

    /// Each machine that this planner can say something of: not those outside its part, which are unknown to
    /// it and not gone, nor those that it has only just taken on from others. Of machines that are gone each
    /// has as many planners that speak for it, so that a hall that is lost stays one.
    pub(crate) fn observable_machines(
        &self,
    ) -> impl Iterator<Item = (usize, &MachineAvailability, basaltpitch::host::MachineEstimate)> {
        let now = self.now();
        let speaks_of = move |m: usize, standing: &MachineAvailability| {
            let Some(parts) = &self.part else { return true };
            if !standing.is_wanted() {
                return parts.part.speaks_for(hash(self.machine_ids.ids.id(m)));
            }
            let linked_by_now = parts.taken.get(&m).is_some_and(|at| now - at >= LINKED);
            !standing.outside_subset && (standing.is_responsive() || linked_by_now)
        };
        self.machines().filter(move |(m, standing, _)| speaks_of(*m, standing))
    }

    /// What operators see of the part; none where the planner works the whole fleet.
    pub(crate) fn subset_view(&self) -> Option<Value> {
        let parts = self.part.as_ref()?;
        let (part, shortage) = (&parts.part, &parts.shortage);
        let links = self.machines.iter().flatten().filter(|x| x.availability.link.is_up()).count();
        Some(json!({
            "listed": part.listed_count(), "dealt": part.mine(), "worked": part.count(Role::Worked),
            "guests": part.count(Role::Guest), "kept": part.count(Role::Kept),
            "to_visit": part.unvisited(), "links": links, "seats": part.live(),
            "width_percent": part.width(), "why": shortage.why(),
            "questions": shortage.questions, "questions_with_room": shortage.named,
        }))
    }

    /// What a machine is to this planner, in words, where it has a part.
    pub(crate) fn link_role_text(&self, m: usize) -> Option<&'static str> {
        self.part.as_ref().map(|x| x.part.role(m).words())
    }
}
