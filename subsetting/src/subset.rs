//! One planner's subset of the fleet, updated as the machine list, the slots and the tasks change.
//! No I/O; times are whole microseconds.
//!
//! A machine joins the subset as soon as this planner's own view assigns it here. It is released
//! only after the view has assigned it elsewhere for `release_delay_us`. Planners' views may differ
//! for that long: until then, the planner that had the machine when the views last agreed still
//! offers it work. When a slot has been reported vacant without interruption for `vacant_after_us`,
//! the other slots take over its machines. Only time in which this planner ran counts, so that a
//! planner that was suspended does not mistake its own absence for that of the others.
use crate::assignment::{assign, rendezvous_weight};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Interval at which a planner advances its subset.
pub const TICK_US: i64 = 100_000;
/// Time for which a link that serves no other purpose is kept after its inventory: reports of ended
/// tasks follow the inventory at once.
pub const INVENTORY_SETTLE_US: i64 = 1_000_000;
/// Time within which a newly added machine is linked, unless it does not answer.
pub const LINK_SETUP_US: i64 = 5_000_000;
/// Maximum difference between the clocks of two hosts.
pub const MAX_CLOCK_SKEW_US: i64 = 5_000_000;

/// Part of the release delay that covers a late machine list.
const LATE_LIST_US: i64 = 4_000_000;
/// Default of `SubsetConfig::max_extra_links`.
const DEFAULT_EXTRA_LINKS: usize = 32;

/// Settings of a subset.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SubsetConfig {
    /// Number of subsets that contain each machine.
    pub replicas: usize,
    /// Hashes of all slots' names, in the order of the installation's configuration.
    pub slots: Vec<u64>,
    /// Index in `slots` of this planner's slot.
    pub own_slot: usize,
    /// Time for which a slot must be vacant before its machines are taken over, in microseconds.
    pub vacant_after_us: i64,
    /// Time after which a machine that is assigned elsewhere is released, in microseconds;
    /// planners' views may differ for as long.
    pub release_delay_us: i64,
    /// Time after which an extra link to a machine without tasks of this planner is dropped, in
    /// microseconds.
    pub extra_link_idle_us: i64,
    /// Maximum number of extra links at one time.
    pub max_extra_links: usize,
}

impl SubsetConfig {
    /// Derives the delays from the lease duration. A slot counts as vacant once the voters, queried
    /// in turn, have reported it vacant for three lease durations. A machine is released after
    /// four, because planners learn of a vacancy at different times and in any order.
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

    /// Returns the longest interval between two calls of `advance` while the planner runs, in
    /// microseconds; a longer one means that the planner was suspended.
    pub fn max_step_us(&self) -> i64 {
        (self.vacant_after_us / 8).max(1)
    }
}

/// Class of machines that the assignment treats alike: those of one zone and kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Stratum {
    zone: usize,
    kind: usize,
}

/// Reason for which a planner links to a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LinkRole {
    /// No link is needed, except to receive the machine's first inventory.
    #[default]
    Outside,
    /// The machine is in the subset, or left it less than the release delay ago.
    InSubset,
    /// The machine is outside the subset and is linked for its capacity.
    Extra,
    /// The machine is linked only because tasks of this planner run on it.
    TasksOnly,
}

impl LinkRole {
    /// Returns the role's name as operators see it.
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
    /// Whether this planner's view assigns the machine to its own slot.
    assigned: bool,
    role: LinkRole,
    /// Run time at which the machine was last assigned here (`InSubset`) or last ran a task of this
    /// planner (`Extra`), in microseconds.
    last_needed: i64,
}

/// The subset of one planner. Machines are identified by the caller's small indices.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Subset {
    config: SubsetConfig,
    /// The caller's clock at the last call of `advance`, in microseconds.
    now: i64,
    /// Accumulated time in which this planner ran, in microseconds.
    run_time: i64,
    machines: BTreeMap<usize, Machine>,
    /// Machines whose inventory was received in this epoch of the planner, or that need none.
    inventoried: BTreeSet<usize>,
    /// Name hash and index of the machines of each stratum.
    strata: BTreeMap<Stratum, BTreeSet<(u64, usize)>>,
    /// Strata whose assignment must be recomputed.
    dirty: BTreeSet<Stratum>,
    /// Run time at which each slot was first reported vacant; `None` for a held slot.
    vacant_since: Vec<Option<i64>>,
    /// Whether each slot keeps its machines; false for a slot whose machines are taken over.
    live_slots: Vec<bool>,
    /// Size of the subset in percent of the even share.
    width_percent: u32,
    changed: VecDeque<usize>,
}

impl Subset {
    /// Creates an empty subset in which all slots count as held until the voters report otherwise.
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

    /// Records that a machine is on the machine list, ready or draining; `name` is the hash of its
    /// name. Returns true if the machine was not on the list before.
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

    /// Records that a machine is no longer on the machine list.
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

    /// Records whether the voters report a slot as held.
    pub fn set_slot_held(&mut self, slot: usize, held: bool) {
        if let Some(since) = self.vacant_since.get_mut(slot) {
            *since = (!held).then(|| since.unwrap_or(self.run_time));
        }
    }

    /// Sets the size of the subset in percent of the even share, at least 100.
    pub fn set_width_percent(&mut self, width_percent: u32) {
        if std::mem::replace(&mut self.width_percent, width_percent.max(100)) != self.width_percent {
            self.dirty.extend(self.strata.keys());
        }
    }

    /// Records that the attempts which an earlier epoch of this planner left on a machine are
    /// known: its inventory was received, or the machine started later than this planner.
    pub fn inventory_known(&mut self, machine: usize) {
        if self.inventoried.insert(machine) {
            self.changed.push_back(machine);
        }
    }

    /// Removes a machine whose index may be reused for another machine.
    pub fn forget_machine(&mut self, machine: usize) {
        self.machine_unlisted(machine);
        self.inventoried.remove(&machine);
    }

    /// Adds an extra link to a machine that has capacity for a task which fits nowhere in the
    /// subset. Returns whether the machine is offered work; false if it is not listed or the limit
    /// of extra links is reached.
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

    /// Returns whether the planner needs a link to a machine; false if the machine is not listed.
    pub fn wants_link(&self, machine: usize) -> bool {
        self.machines
            .get(&machine)
            .is_some_and(|x| x.role != LinkRole::Outside || !self.inventoried.contains(&machine))
    }

    /// Returns whether the planner offers work to a machine.
    pub fn is_offered_work(&self, machine: usize) -> bool {
        matches!(self.role(machine), LinkRole::InSubset | LinkRole::Extra)
    }

    /// Returns the reason for which this planner links to a machine.
    pub fn role(&self, machine: usize) -> LinkRole {
        self.machines.get(&machine).map_or(LinkRole::Outside, |x| x.role)
    }

    /// Returns the number of machines with a role.
    pub fn count(&self, role: LinkRole) -> usize {
        self.machines.values().filter(|machine| machine.role == role).count()
    }

    /// Returns the number of listed machines whose inventory has not been received.
    pub fn missing_inventories(&self) -> usize {
        self.machines.keys().filter(|m| !self.inventoried.contains(m)).count()
    }

    /// Returns whether this planner reports a machine that left the machine list: the slots with
    /// the highest rendezvous weights for the machine do, as many as there are replicas.
    pub fn reports_unlisted(&self, name: u64) -> bool {
        let own = rendezvous_weight(name, self.config.slots[self.config.own_slot]);
        let higher = self.live_slot_hashes().filter(|slot| rendezvous_weight(name, *slot) > own);
        higher.count() < self.config.replicas
    }

    /// Returns the number of machines on the machine list.
    pub fn listed_count(&self) -> usize {
        self.machines.len()
    }

    /// Returns the machines that the planner offers work to.
    pub fn offered_machines(&self) -> impl Iterator<Item = usize> + '_ {
        self.machines
            .iter()
            .filter(|x| matches!(x.1.role, LinkRole::InSubset | LinkRole::Extra))
            .map(|x| *x.0)
    }

    /// Returns the number of machines that this planner's view assigns to its own slot.
    pub fn assigned_count(&self) -> usize {
        self.machines.values().filter(|machine| machine.assigned).count()
    }

    /// Returns the number of slots whose machines are not taken over.
    pub fn live_slot_count(&self) -> usize {
        self.live_slot_hashes().count()
    }

    fn live_slot_hashes(&self) -> impl Iterator<Item = u64> + '_ {
        self.config.slots.iter().zip(&self.live_slots).filter(|(_, live)| **live).map(|(slot, _)| *slot)
    }

    /// Returns the number of slots of the installation.
    pub fn slot_count(&self) -> usize {
        self.live_slots.len()
    }

    /// Returns the size of the subset in percent of the even share.
    pub fn width_percent(&self) -> u32 {
        self.width_percent
    }

    /// Returns the time at which `advance` must be called next, in microseconds.
    pub fn next_at(&self) -> i64 {
        self.now + self.config.max_step_us()
    }

    /// Returns the next machine for which the need of a link, or the offer of work, may have
    /// changed.
    pub fn next_changed(&mut self) -> Option<usize> {
        self.changed.pop_front()
    }

    /// Advances the clock and applies all reports since the last call. `busy` tells whether a
    /// machine is known to run tasks of this planner.
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

    /// Recomputes which machines of a stratum belong to this planner, from its current view.
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
        let mut unassigned = Vec::new();
        for (&(name, m), chosen) in names.iter().zip(&assignment) {
            let assigned = chosen.contains(&own_slot);
            if !assigned && self.width_percent > 100 {
                unassigned.push((rendezvous_weight(name, own_hash), m));
            }
            if let Some(machine) = self.machines.get_mut(&m) {
                machine.assigned = assigned;
            }
        }
        // The subset is widened by the same share in each stratum, so that it keeps its share of
        // every zone and kind.
        unassigned.sort_unstable_by(|a, b| b.cmp(a));
        let even_share = (self.config.replicas * names.len()) as f64 / slots.len() as f64;
        let added = (even_share * f64::from(self.width_percent - 100) / 100.0).ceil() as usize;
        for (_, m) in unassigned.into_iter().take(added) {
            if let Some(machine) = self.machines.get_mut(&m) {
                machine.assigned = true;
            }
        }
    }
}
