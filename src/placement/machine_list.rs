//! The machine list: events that update it, and when to request the list again.
use super::Planner;
use crate::host::{Host, Location, Readiness, Resources};

/// Base of the exponential backoff after a failure of the machine list.
const RETRY_BASE_US: i64 = 200_000;
/// Maximum number of times that consecutive failures double the backoff.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Time after which an unanswered request for the machine list is repeated.
const LIST_TIMEOUT_US: i64 = 5_000_000;

impl<H: Host> Planner<H> {
    /// Starts an update of the machine list; calls of `machine_listed` and one of `list_finished`
    /// follow. A `whole` list contains every machine, so machines without an entry are no longer
    /// ready. Only a `fresh` list counts as received; a list from a cache does not.
    pub fn list_started(&mut self, whole: bool, fresh: bool) {
        self.machines.listed.iter_mut().for_each(|listed| *listed &= !whole);
        if fresh {
            (self.list_received_at, self.list_failures, self.list_request_at) = (self.now, 0, i64::MAX);
        }
    }

    /// Handles an entry of the machine list: the machine's location, its start time in microseconds
    /// (0 if unknown), and its cores and memory that no task has requested.
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
            // The machine has restarted: it warms up, and its old report no longer applies.
            self.machines.started_at[machine] = started_at;
            (self.machines.reported_at[machine], self.machines.ejected_until[machine]) = (0, 0);
            let warm_at = started_at + self.setting("rules.coldUs") as i64;
            self.machines.slow_start_until[machine] = self.machines.slow_start_until[machine].max(warm_at);
        }
    }

    /// Sets a machine's number, which is derived from its id and the same in every planner.
    pub fn set_machine_number(&mut self, machine: usize, number: u64) {
        self.ensure_machine(machine);
        self.machines.stable_number[machine] = number;
    }

    /// Ends an update of the machine list: probes machines that are due and serves waiting tasks.
    pub fn list_finished(&mut self) {
        self.probe_due_machines();
        self.serve_waiting();
    }

    /// Handles a failed watch or fetch of the machine list, or the loss of a watch, after which no
    /// updates arrive. Schedules a new request with exponential backoff and jitter.
    pub fn list_lost(&mut self) {
        self.list_failures += 1;
        let wait = RETRY_BASE_US << self.list_failures.min(MAX_RETRY_DOUBLINGS);
        self.list_request_at = self.now + self.rng.i64(wait / 2..wait);
    }

    /// Starts a watch of the machine list, and schedules another request in case no list arrives.
    pub(super) fn request_list(&mut self) {
        self.host.watch_list(true);
        self.list_request_at = self.now + LIST_TIMEOUT_US;
    }

    /// Returns whether the machine list is recent enough to rely on for drains: always while no
    /// request for it is due, otherwise for the time `rules.askEveryUs` after the list was last
    /// received.
    pub(super) fn list_is_reliable(&self) -> bool {
        self.list_request_at == i64::MAX
            || self.now < self.list_received_at + self.setting("rules.askEveryUs") as i64
    }
}
