//! Which machines there are: the events of the list, and when to ask for it again.
use super::Planner;
use crate::host::{Host, Location, Readiness, Resources};

/// The first wait after a failed call for the list, doubled with each further failure up to so many times.
const RETRY_BASE_US: i64 = 200_000;
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// How long an answer to a call for the list is waited for.
const LIST_TIMEOUT_US: i64 = 5_000_000;

impl<H: Host> Planner<H> {
    /// Entries follow, then `list_finished`. A whole list names every machine; only a fresh one counts as
    /// heard.
    pub fn list_started(&mut self, whole: bool, fresh: bool) {
        self.machines.listed.iter_mut().for_each(|listed| *listed &= !whole);
        if fresh {
            (self.list_heard_at, self.list_failures, self.list_due_at) = (self.now, 0, i64::MAX);
        }
    }

    /// An entry: where the machine is, when it started (in microseconds), and the cores and memory that
    /// nobody requested.
    pub fn machine_listed(
        &mut self,
        machine: usize,
        location: Location,
        readiness: Readiness,
        started_at: i64,
        unrequested: Resources,
    ) {
        self.ensure_machine(machine);
        self.machines.listed[machine] = readiness == Readiness::Ready;
        self.machines.cores[machine] = self.setting(&format!("familyInfo.cpuOfKind.{}", location.0));
        self.machines.memory[machine] = self.setting(&format!("familyInfo.sizeMemory.{}", location.0));
        self.machines.location[machine] = location;
        (self.machines.unrequested[machine], self.machines.listed_at[machine]) = (unrequested, self.now);
        if started_at > self.machines.started_at[machine] {
            // A newer start: a machine that warms up and runs nothing.
            self.machines.started_at[machine] = started_at;
            (self.machines.reported_at[machine], self.machines.ejected_until[machine]) = (0, 0);
            let warm_at = started_at + self.setting("rules.coldUs") as i64;
            self.machines.slow_start_until[machine] = self.machines.slow_start_until[machine].max(warm_at);
        }
    }

    /// A machine's id as a number that is the same at every planner.
    pub fn set_machine_number(&mut self, machine: usize, number: u64) {
        self.ensure_machine(machine);
        self.machines.stable_number[machine] = number;
    }

    /// All entries have come.
    pub fn list_finished(&mut self) {
        self.probe_due_machines();
        self.serve_waiting();
    }

    /// A watch or fetch failed, or the watch dropped, after which nothing more comes: it is asked anew, later
    /// each time.
    pub fn list_lost(&mut self) {
        self.list_failures += 1;
        let wait = RETRY_BASE_US << self.list_failures.min(MAX_RETRY_DOUBLINGS);
        self.list_due_at = self.now + self.rng.i64(wait / 2..wait);
    }

    pub(super) fn request_list(&mut self) {
        self.host.watch_list(true);
        self.list_due_at = self.now + LIST_TIMEOUT_US;
    }

    /// Whether the list can be relied on for drains: while a watch stands it can, else for as long as the
    /// settings let it go without being asked for.
    pub(super) fn list_is_reliable(&self) -> bool {
        self.list_due_at == i64::MAX
            || self.now < self.list_heard_at + self.setting("rules.askEveryUs") as i64
    }
}
