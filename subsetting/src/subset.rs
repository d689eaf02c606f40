//! One planner's subset as the machine list, slots and tasks change. No I/O; times are whole microseconds.
//!
//! A machine is added as soon as this planner's own view assigns it here. It is released only once the view has
//! assigned it elsewhere for `release_delay_us`, so that views may differ for that long: whoever had the machine
//! when the views last agreed still has it. A slot that is reported vacant without a break for a time has its
//! machines taken over. Only time in which this planner itself ran counts: one that was stopped and wakes does
//! not take its own absence for that of others.
use crate::assignment::{assign, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How often a planner lets time pass for its subset.
pub const TICK_US: i64 = 100_000;
/// Ends of tasks follow an inventory at once; so long after it a link that is wanted for nothing else may go.
pub const INVENTORY_SETTLE_US: i64 = 1_000_000;
/// A machine that was added so long ago is linked, if it answers at all.
pub const LINK_SETUP_US: i64 = 5_000_000;
/// Clocks of two hosts may differ by so much.
pub const MAX_CLOCK_SKEW_US: i64 = 5_000_000;

/// Beyond four lease durations, a machine list that is late is waited for so long.
const LATE_LIST_US: i64 = 4_000_000;
/// Extra links at one time, at most, unless configured otherwise.
const DEFAULT_EXTRA_LINKS: usize = 32;

/// The settings of subsets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SubsetConfig {
    /// In how many subsets each machine is.
    pub replicas: usize,
    /// Hashes of all slots' names, in the installation's order.
    pub slots: Vec<u64>,
    /// Which of them is this planner's.
    pub own_slot: usize,
    /// A slot that nobody holds for so long has its machines taken over, in microseconds.
    pub vacant_after_us: i64,
    /// A machine that is assigned elsewhere is released after this time, in microseconds; views may differ for
    /// as long.
    pub release_delay_us: i64,
    /// An extra link over which no task ran for so long goes, in microseconds.
    pub extra_link_idle_us: i64,
    /// Extra links at one time, at most.
    pub max_extra_links: usize,
}

impl SubsetConfig {
    /// By the lease duration: a slot is vacant once all voters in turn report so for three of them. Four cover
    /// that planners learn of it at different times and in any order.
    pub fn from_lease_duration(
        replicas: usize,
        slots: Vec<u64>,
        own_slot: usize,
        lease_duration_us: i64,
    ) -> SubsetConfig {
        SubsetConfig {
            replicas,
            slots,
            own_slot,
            vacant_after_us: 3 * lease_duration_us,
            release_delay_us: 4 * lease_duration_us + LATE_LIST_US,
            extra_link_idle_us: 4 * lease_duration_us,
            max_extra_links: DEFAULT_EXTRA_LINKS,
        }
    }

    /// How often a planner lets time pass here, at the least: a longer break is one in which it did not run.
    pub fn max_step_us(&self) -> i64 {
        (self.vacant_after_us / 8).max(1)
    }
}

/// Machines that are alike for the assignment: those of one zone and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Stratum {
    zone: usize,
    kind: usize,
}

/// Why a planner links to a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LinkRole {
    /// No link is wanted, except for its first inventory.
    #[default]
    Outside,
    /// In the subset, or in it until a while ago.
    InSubset,
    /// Linked for its capacity.
    Extra,
    /// Linked only for the tasks on it.
    TasksOnly,
}

impl LinkRole {
    /// As operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            LinkRole::Outside => "outside",
            LinkRole::InSubset => "part",
            LinkRole::Extra => "guest",
            LinkRole::TasksOnly => "kept",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Machine {
    name_hash: u64,
    stratum: Stratum,
    /// This planner's view assigns it here.
    assigned: bool,
    role: LinkRole,
    /// When it was last assigned here (in the subset), or last ran a task (extra link); in run time.
    last_needed: i64,
}

/// The subset of one planner. Machines are small indices of the caller's.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subset {
    config: SubsetConfig,
    /// The caller's clock when time last passed.
    now: i64,
    /// Time in which this planner ran.
    run_time: i64,
    machines: BTreeMap<usize, Machine>,
    /// Machines whose inventory came once in this incarnation of the planner, or that have none.
    inventoried: BTreeSet<usize>,
    /// Of each stratum, name hash and index of its machines.
    strata: BTreeMap<Stratum, BTreeSet<(u64, usize)>>,
    /// Strata whose assignment is to be computed anew.
    dirty: BTreeSet<Stratum>,
    /// Since when each slot is vacant, in run time.
    vacant_since: Vec<Option<i64>>,
    /// Slots whose machines are not taken over.
    live_slots: Vec<bool>,
    /// The size of this subset in percent of the even share.
    width_percent: u32,
    changed: VecDeque<usize>,
}

impl Subset {
    /// All slots count as held at first: which of them are not shows in time.
    pub fn new(now: i64, config: SubsetConfig) -> Subset {
        let slots = config.slots.len();
        Subset {
            now,
            run_time: 0,
            machines: BTreeMap::new(),
            inventoried: BTreeSet::new(),
            strata: BTreeMap::new(),
            dirty: BTreeSet::new(),
            vacant_since: vec![None; slots],
            live_slots: vec![true; slots],
            width_percent: 100,
            changed: VecDeque::new(),
            config,
        }
    }

    /// The machine list has a machine, ready or draining, with the hash of its name. True: it was not on the list
    /// before.
    pub fn machine_listed(&mut self, machine: usize, name: u64, zone: usize, kind: usize) -> bool {
        let (stratum, new) = (Stratum { zone, kind }, !self.machines.contains_key(&machine));
        match self.machines.get_mut(&machine) {
            Some(known) if known.name_hash == name && known.stratum == stratum => return false,
            Some(known) => {
                let old_stratum = std::mem::replace(&mut known.stratum, stratum);
                let old_name = std::mem::replace(&mut known.name_hash, name);
                self.remove_from_stratum(old_stratum, old_name, machine);
            }
            None => {
                let (role, last_needed) = (LinkRole::Outside, self.run_time);
                let new = Machine { name_hash: name, stratum, assigned: false, role, last_needed };
                self.machines.insert(machine, new);
                self.changed.push_back(machine);
            }
        }
        self.strata.entry(stratum).or_default().insert((name, machine));
        self.dirty.insert(stratum);
        new
    }

    /// The machine list has a machine no longer.
    pub fn machine_unlisted(&mut self, machine: usize) {
        if let Some(known) = self.machines.remove(&machine) {
            self.remove_from_stratum(known.stratum, known.name_hash, machine);
            self.changed.push_back(machine);
        }
    }

    fn remove_from_stratum(&mut self, stratum: Stratum, name: u64, machine: usize) {
        if let Some(names) = self.strata.get_mut(&stratum) {
            names.remove(&(name, machine));
        }
        self.dirty.insert(stratum);
    }

    /// The voters report whether a slot is held.
    pub fn set_slot_held(&mut self, slot: usize, held: bool) {
        if let Some(since) = self.vacant_since.get_mut(slot) {
            *since = (!held).then(|| since.unwrap_or(self.run_time));
        }
    }

    /// How wide the subset is to be, in percent of the even share.
    pub fn set_width_percent(&mut self, width_percent: u32) {
        if std::mem::replace(&mut self.width_percent, width_percent.max(100)) != self.width_percent {
            self.dirty.extend(self.strata.keys());
        }
    }

    /// A machine's inventory came, or it started later than this planner did: what an earlier incarnation
    /// launched there is known.
    pub fn inventory_known(&mut self, machine: usize) {
        if self.inventoried.insert(machine) {
            self.changed.push_back(machine);
        }
    }

    /// A machine's index may go to another.
    pub fn forget_machine(&mut self, machine: usize) {
        self.machine_unlisted(machine);
        self.inventoried.remove(&machine);
    }

    /// A machine has capacity for what fits nowhere in the subset. False: there are as many extra links as may be.
    pub fn add_extra_link(&mut self, machine: usize) -> bool {
        let extra_links = self.count(LinkRole::Extra);
        let Some(known) = self.machines.get_mut(&machine) else { return false };
        if matches!(known.role, LinkRole::Outside | LinkRole::TasksOnly)
            && extra_links < self.config.max_extra_links
        {
            (known.role, known.last_needed) = (LinkRole::Extra, self.run_time);
            self.changed.push_back(machine);
        }
        matches!(known.role, LinkRole::InSubset | LinkRole::Extra)
    }

    /// Whether a link is wanted to a machine that is listed.
    pub fn wants_link(&self, machine: usize) -> bool {
        self.machines
            .get(&machine)
            .is_some_and(|x| x.role != LinkRole::Outside || !self.inventoried.contains(&machine))
    }

    /// Whether a machine is offered work.
    pub fn is_offered_work(&self, machine: usize) -> bool {
        matches!(self.role(machine), LinkRole::InSubset | LinkRole::Extra)
    }

    /// Why this planner links to a machine.
    pub fn role(&self, machine: usize) -> LinkRole {
        self.machines.get(&machine).map_or(LinkRole::Outside, |x| x.role)
    }

    /// How many machines have a role.
    pub fn count(&self, role: LinkRole) -> usize {
        self.machines.values().filter(|machine| machine.role == role).count()
    }

    /// Listed machines whose inventory is still to come.
    pub fn missing_inventories(&self) -> usize {
        self.machines.keys().filter(|m| !self.inventoried.contains(m)).count()
    }

    /// Whether this planner is one of those that report a machine which the list has no longer: the slots of its
    /// highest weights.
    pub fn reports_unlisted(&self, name: u64) -> bool {
        let own = rendezvous_weight(name, self.config.slots[self.config.own_slot]);
        let higher = self.live_slot_hashes().filter(|slot| rendezvous_weight(name, *slot) > own);
        higher.count() < self.config.replicas
    }

    /// How many machines the list has.
    pub fn listed_count(&self) -> usize {
        self.machines.len()
    }

    /// Machines that are offered work.
    pub fn offered_machines(&self) -> impl Iterator<Item = usize> + '_ {
        self.machines
            .iter()
            .filter(|x| matches!(x.1.role, LinkRole::InSubset | LinkRole::Extra))
            .map(|x| *x.0)
    }

    /// How many machines this planner's view assigns here.
    pub fn assigned_count(&self) -> usize {
        self.machines.values().filter(|machine| machine.assigned).count()
    }

    /// How many slots do not have their machines taken over.
    pub fn live_slot_count(&self) -> usize {
        self.live_slot_hashes().count()
    }

    fn live_slot_hashes(&self) -> impl Iterator<Item = u64> + '_ {
        self.config.slots.iter().zip(&self.live_slots).filter(|(_, live)| **live).map(|(slot, _)| *slot)
    }

    /// How many slots the installation has.
    pub fn slot_count(&self) -> usize {
        self.live_slots.len()
    }

    /// The size of the subset in percent of the even share.
    pub fn width_percent(&self) -> u32 {
        self.width_percent
    }

    /// When time must pass next.
    pub fn next_at(&self) -> i64 {
        self.now + self.config.max_step_us()
    }

    /// A machine of which it may have changed whether it is linked or offered work.
    pub fn next_changed(&mut self) -> Option<usize> {
        self.changed.pop_front()
    }

    /// Time passes, and what was reported takes effect. `busy`: whether tasks of this planner are known on a
    /// machine.
    pub fn advance(&mut self, now: i64, busy: impl Fn(usize) -> bool) {
        self.run_time += (now - self.now).clamp(0, 2 * self.config.max_step_us());
        self.now = self.now.max(now);
        self.vacant_since[self.config.own_slot] = None;
        let is_live =
            |since: &Option<i64>| since.is_none_or(|at| self.run_time - at < self.config.vacant_after_us);
        let live_slots: Vec<bool> = self.vacant_since.iter().map(is_live).collect();
        if live_slots != self.live_slots {
            self.live_slots = live_slots;
            self.dirty.extend(self.strata.keys());
        }
        for stratum in std::mem::take(&mut self.dirty) {
            self.assign_stratum(stratum);
        }
        self.update_roles(busy);
    }

    fn update_roles(&mut self, busy: impl Fn(usize) -> bool) {
        for (&index, machine) in &mut self.machines {
            if machine.assigned {
                machine.last_needed = self.run_time;
            }
            let idle = self.run_time - machine.last_needed;
            let role = match machine.role {
                _ if machine.assigned => LinkRole::InSubset,
                LinkRole::InSubset if idle < self.config.release_delay_us => LinkRole::InSubset,
                LinkRole::Extra if busy(index) => {
                    machine.last_needed = self.run_time;
                    LinkRole::Extra
                }
                LinkRole::Extra if idle < self.config.extra_link_idle_us => LinkRole::Extra,
                _ if busy(index) => LinkRole::TasksOnly,
                _ => LinkRole::Outside,
            };
            if std::mem::replace(&mut machine.role, role) != role {
                self.changed.push_back(index);
            }
        }
    }

    /// Which machines of a stratum are this planner's, by what it knows now.
    fn assign_stratum(&mut self, stratum: Stratum) {
        let Some(names) = self.strata.get(&stratum).filter(|names| !names.is_empty()) else {
            self.strata.remove(&stratum);
            return;
        };
        let own_hash = self.config.slots[self.config.own_slot];
        let slots: Vec<u64> = self.live_slot_hashes().collect();
        let own_slot = slots.iter().position(|slot| *slot == own_hash).unwrap_or(0) as u16;
        let hashes: Vec<u64> = names.iter().map(|entry| entry.0).collect();
        let salt = rendezvous_weight(stratum.zone as u64, stratum.kind as u64);
        let assignment = assign(&slots, &hashes, self.config.replicas, salt);
        let mut others = Vec::new();
        for (&(name, m), chosen) in names.iter().zip(&assignment) {
            let assigned = chosen.contains(&own_slot);
            if !assigned && self.width_percent > 100 {
                others.push((rendezvous_weight(name, own_hash), m));
            }
            if let Some(machine) = self.machines.get_mut(&m) {
                machine.assigned = assigned;
            }
        }
        // Wider by the same share in each stratum, so that it holds its share of every zone and kind.
        others.sort_unstable_by(|a, b| b.cmp(a));
        let even = (self.config.replicas * names.len()) as f64 / slots.len() as f64;
        let more = (even * f64::from(self.width_percent - 100) / 100.0).ceil() as usize;
        for (_, m) in others.into_iter().take(more) {
            if let Some(machine) = self.machines.get_mut(&m) {
                machine.assigned = true;
            }
        }
    }
}
