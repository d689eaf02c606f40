//! The state of one planner, without I/O: frames and the current time come in, frames to send go
//! out.
//!
//! The state connects the parts that make the decisions: the placement module chooses machines, the
//! ledger tracks attempts and answers, `machine_availability` decides whether a machine is offered
//! work, and `DialQueue` decides when to connect to a peer. The placement module acts through the
//! host adapter. Submodules handle clients, machines, the registry, constraints, the subset of the
//! fleet and the tenant directory; all of them extend `PlannerState`. Machines, tasks and services
//! have small indices. Times are whole microseconds.
mod actions;
mod clauses;
mod clients;
mod errors;
mod machines;
mod names;
mod registry;
mod subset;
mod tenants;

pub use errors::{ClientFrameError, MachineFrameError, RegistryFrameError};
pub use names::idempotency_text;
pub(crate) use subset::SubsetView;

use crate::admission::{AdmissionController, RequestNeeds};
use crate::host_adapter::{HostAdapter, HostRequest, TaskJob, TaskKey, TimerKind};
use crate::machine_availability::{LinkState, MachineAvailability};
use crate::placement_constraints::{Eligibility, PlacementConstraints};
use crate::placement_event::{outcome_code, readiness_code, PlacementEvent};
use crate::recording::Recorder;
use crate::settings_lists::numbered_texts;
use crate::tenant_access::{AccessDecision, DirectoryAccess, DirectorySyncTask, TenantAccess};
use basaltpitch::host::{number, text, AttemptOutcome, MachineEstimate, Readiness, Settings};
use basaltpitch::placement::Planner;
use basaltpitch_agent::dial_queue::{DialConfig, DialQueue};
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_constraints::state::MachineState;
use basaltpitch_constraints::{Constraint, MachineAttributes, TaskAttributes};
use basaltpitch_interner::{fnv1a_64, RefCountedIds};
use basaltpitch_ledger::{
    Attempt, AttemptEnd, AttemptId, AttemptState, InventoryEntry, Ledger, LedgerAction, LedgerConfig,
    LifecycleEvent, RejectReason, Rejection, Request, RequestOutcome, RequestPhase, TaskRecord,
};
use basaltpitch_tenants::{Change, DirectoryUpdate};
use basaltpitch_zone_failover::ZonePhase;
use names::{index_of_name, InstallationNames};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// The peer index of the registry; all other peers are machines.
pub const REGISTRY: usize = usize::MAX;
/// How long an unused service or machine keeps its index.
const ID_RETENTION_US: i64 = 600_000_000;
/// Interval between two runs of the housekeeping.
const HOUSEKEEPING_INTERVAL_US: i64 = 1_000_000;
/// Interval between two computations of the admission threshold.
const ADMISSION_INTERVAL_US: i64 = 250_000;
/// Timeout of a connection attempt, unless the settings give another.
const DEFAULT_CONNECT_TIMEOUT_US: f64 = 250_000.0;
/// Limit on the rows of one answer to an operator.
pub(crate) const MAX_ROWS: usize = 1000;

/// An action that the service must carry out for the planner.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a frame to a machine.
    Machine {
        /// The machine's index.
        machine: usize,
        /// The frame.
        body: Body,
        /// The number of the attempt that the frame starts; if the link ends, the service must
        /// report whether the frame was sent. `None` for other frames.
        mark: Option<u64>,
    },
    /// Send a frame to the registry.
    Registry(Body),
    /// Send a frame to a client or an operator.
    Client {
        /// The number of the client's connection.
        conn: u64,
        /// The frame.
        body: Body,
    },
    /// Connect to a machine or to the registry.
    Dial {
        /// The machine's index, or `REGISTRY`.
        peer: usize,
        /// The number of the new link, which distinguishes its events from those of earlier links.
        link: u64,
        /// The peer's name.
        name: Rc<str>,
        /// The address on which the peer listens.
        address: Rc<str>,
    },
    /// Close the link to a machine.
    Disconnect {
        /// The machine's index.
        machine: usize,
        /// The reason, which is sent to the machine and logged.
        why: &'static str,
    },
    /// Sync with a server of the tenant directory; a sync in progress is cancelled.
    SyncDirectory(DirectorySyncTask),
    /// Store a snapshot of the tenant directory on disk, for the planner's next start.
    StoreTenants {
        /// The time of the last full sync.
        at: i64,
        /// The snapshot; `None` if it has not changed, so that only the time must be stored.
        snapshot: Option<Vec<u8>>,
    },
}

/// The identity of a planner, and the registry that it uses.
#[derive(Clone, Debug)]
pub struct Identity {
    /// The planner's name, which is unique among the planners.
    pub name: String,
    /// The planner's epoch, a fencing token: each incarnation of the planner has a higher one.
    pub epoch: u64,
    /// The seed of the planner's random numbers.
    pub seed: u64,
    /// The address of the registry.
    pub registry_address: String,
}

/// A machine that has an index.
struct MachineRecord {
    /// The address on which its agent listens.
    address: Rc<str>,
    /// The labels in its last list entry, which constraints match.
    labels: Vec<String>,
    availability: MachineAvailability,
    /// The number of its newest link; events of earlier links are ignored.
    link: u64,
    /// Whether the machine's index is reserved: from its first list entry until it is off the list
    /// and its link is down.
    retained: bool,
}

/// The state of one planner.
pub struct PlannerState {
    /// The planner's identity.
    pub identity: Identity,
    /// The placement module, which owns the host adapter with the ledger and the timers.
    placement: Planner<HostAdapter>,
    /// Writes the recording; `None` if the planner does not record.
    recorder: Option<Recorder>,
    names: InstallationNames,
    /// The known tenants, and which logins may act for them.
    tenancy: TenantAccess,
    /// By connection of a client or operator, its login.
    logins: HashMap<u64, Rc<str>>,
    /// The request that is being rejected on arrival; `None` outside of that handling.
    pending_rejection: Option<PendingRejection>,
    /// The admission controller; `None` if every request is admitted.
    pub(crate) admission: Option<AdmissionController>,
    /// By constraint, its name and place in the settings, for answers.
    constraint_names: Vec<String>,
    machine_ids: RefCountedIds<Rc<str>>,
    /// By machine index; `None` for an index that is free.
    machines: Vec<Option<MachineRecord>>,
    service_ids: RefCountedIds<u64>,
    /// By the placement module's task index, the index of the task's service.
    service_of_task: Vec<usize>,
    /// When to connect to each machine and to the registry.
    dials: DialQueue,
    /// The number of the newest link.
    last_link: u64,
    registry_up: bool,
    /// Whether the planner is subscribed to changes of the machine list.
    watching: bool,
    /// Whether the planner subscribes to the machine list as soon as the registry is up. Otherwise
    /// the placement module requests the list.
    registry_pushes: bool,
    /// By the number of an unanswered probe, its machine.
    probes: BTreeMap<u64, usize>,
    /// The number of the newest probe.
    last_probe: u64,
    connect_timeout_us: i64,
    /// By zone, the counts of attempts.
    zone_attempts: Vec<ZoneAttempts>,
    /// The usage report in the machine frame that is being handled; empty if it has none.
    pending_report: Vec<f64>,
    /// The planner's subset of the fleet; `None` if the planner links to all machines.
    subset: Option<subset::SubsetState>,
    /// Actions for the service, in order.
    outputs: VecDeque<Output>,
    /// Counts for operators.
    pub counts: TaskCounts,
}

/// Counts of a planner's requests and tasks since its start, as shown to operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct TaskCounts {
    /// Requests received.
    pub submitted: u64,
    /// Attempts started.
    pub launched: u64,
    /// Requests that were answered with a placement.
    pub placed: u64,
    /// Requests that were declined.
    pub declined: u64,
    /// Requests that were aborted.
    pub aborted: u64,
    /// Tasks that were found running in an inventory.
    pub found: u64,
    /// Placed tasks that were lost with their machines.
    pub lost: u64,
}

/// Counts of the planner's attempts in a zone since the planner's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ZoneAttempts {
    /// Attempts started.
    pub(crate) launched: u64,
    /// Attempts that were refused or failed.
    pub(crate) failed: u64,
}

/// The details of a request that is being rejected on arrival, for its answer.
struct PendingRejection {
    request_id: u64,
    /// The age of the tenant data that the decision was based on, in microseconds; see
    /// `Answer.stale_us`.
    stale_us: i64,
    /// A more detailed reason for the answer; `None` if the general reason is enough.
    explanation: Option<String>,
}

impl PlannerState {
    /// Creates a planner that knows no machines yet. A recording of the placement module goes to
    /// `record`, if that is given.
    pub fn new(
        identity: Identity,
        settings: Settings,
        now: i64,
        record: Option<Box<dyn std::io::Write + Send>>,
    ) -> Self {
        let default = LedgerConfig::DEFAULT;
        let settle_us = number(&settings, "familyInfo.makeSureUs").map_or(default.settle_us, |us| us as i64);
        let ledger = Ledger::new(identity.epoch, now, LedgerConfig { settle_us, ..default });
        let host = HostAdapter::new(now, ledger, record.is_some());
        let connect_timeout_us =
            number(&settings, "permissions.connectTimeoutUs").unwrap_or(DEFAULT_CONNECT_TIMEOUT_US) as i64;
        let recorder = record.map(|out| Recorder::start(out, identity.seed, now, &settings));
        let mut dials = DialQueue::new(identity.seed, now, DialConfig::DEFAULT);
        dials.add(REGISTRY, now);
        let mut state = PlannerState {
            recorder,
            names: InstallationNames::new(&settings),
            tenancy: TenantAccess::Listed(numbered_texts(&settings, &|index| {
                format!("tenants.{index}.name")
            })),
            logins: HashMap::new(),
            pending_rejection: None,
            admission: None,
            constraint_names: Vec::new(),
            machine_ids: RefCountedIds::default(),
            machines: Vec::new(),
            service_ids: RefCountedIds::default(),
            service_of_task: Vec::new(),
            dials,
            last_link: 0,
            registry_up: false,
            watching: false,
            registry_pushes: text(&settings, "discovery") != "ask",
            probes: BTreeMap::new(),
            last_probe: 0,
            connect_timeout_us,
            zone_attempts: Vec::new(),
            pending_report: Vec::new(),
            subset: None,
            outputs: VecDeque::new(),
            counts: TaskCounts::default(),
            placement: Planner::new(host, identity.seed, now, settings),
            identity,
        };
        state.placement.host.timers.set(now + HOUSEKEEPING_INTERVAL_US, TimerKind::Housekeeping);
        state.record_calls();
        state.perform_pending();
        state
    }

    /// Returns the timeout of a connection attempt, in microseconds.
    pub fn connect_timeout_us(&self) -> i64 {
        self.connect_timeout_us
    }

    /// Removes and returns the next action that the service must carry out.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time at which `advance_clock` next has something to do.
    pub fn next_at(&self) -> i64 {
        let dial = self.dials.next_due_at().unwrap_or(i64::MAX);
        self.placement.host.timers.next_at().unwrap_or(i64::MAX).min(dial).min(self.tenancy.next_at())
    }

    /// Advances the clock: handles the timers that are due, and starts connections and directory
    /// syncs.
    pub fn advance_clock(&mut self, now: i64) {
        self.set_clock(now);
        while let Some((_, timer)) = self.placement.host.timers.next_due(now) {
            match timer {
                TimerKind::Placement(token) => self.notify_placement(PlacementEvent::Timer { token }),
                TimerKind::AttemptTimeout(attempt) => {
                    self.placement.host.on_ledger(|ledger, actions| ledger.timed_out(attempt, actions));
                }
                TimerKind::Probe(probe) => self.probe_failed(probe, AttemptOutcome::TimedOut),
                TimerKind::Housekeeping => self.housekeeping(),
                TimerKind::AdmissionThreshold => self.update_admission_threshold(),
                TimerKind::Subset => self.subset_tick(),
            }
            self.perform_pending();
        }
        while let Some(peer) = self.dials.next_due(now) {
            self.dial(peer);
        }
        if let Some(directory) = self.tenancy.directory_mut() {
            let sync = directory.next_sync(now);
            directory.log_state_changes(now);
            self.outputs.extend(sync.map(Output::SyncDirectory));
        }
    }

    /// Enables admission control: requests that `controller` rejects are declined on arrival.
    pub fn enable_admission(&mut self, now: i64, controller: AdmissionController) {
        self.admission = Some(controller);
        self.placement.host.timers.set(now + ADMISSION_INTERVAL_US, TimerKind::AdmissionThreshold);
    }

    /// Returns the admission controller; `None` if every request is admitted.
    pub fn admission(&self) -> Option<&AdmissionController> {
        self.admission.as_ref()
    }

    /// Recomputes the admission threshold, and sets the timer for the next time.
    fn update_admission_threshold(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + ADMISSION_INTERVAL_US, TimerKind::AdmissionThreshold);
        let Some(mut admission) = self.admission.take() else { return };
        let ready = self.machines().filter(|entry| entry.1.readiness() == Readiness::Ready);
        // The threshold is that of the whole fleet, which is extrapolated from the planner's
        // subset.
        let ratio = self.fleet_to_subset_ratio();
        let scaled = |estimate: MachineEstimate| MachineEstimate {
            cores: ratio * estimate.cores,
            cores_at_confidence: ratio * estimate.cores_at_confidence,
            ..estimate
        };
        admission.recompute(now, ready.map(|entry| scaled(entry.2)));
        self.admission = Some(admission);
    }

    /// Sets the clock of the state and of the placement module; it never goes back.
    pub(crate) fn set_clock(&mut self, now: i64) {
        let now = now.max(self.placement.host.now);
        self.placement.host.now = now;
        self.placement.set_clock(now);
    }

    /// Starts a connection to a machine or to the registry.
    fn dial(&mut self, peer: usize) {
        self.last_link += 1;
        let link = self.last_link;
        if peer == REGISTRY {
            let address = self.identity.registry_address.as_str().into();
            return self.outputs.push_back(Output::Dial { peer, link, name: "register".into(), address });
        }
        let Some(record) = self.machines[peer].as_mut() else { return self.dials.remove(peer) };
        (record.availability.link, record.link) = (LinkState::Connecting, link);
        let (name, address) = (self.machine_ids.ids.id(peer).clone(), record.address.clone());
        self.outputs.push_back(Output::Dial { peer, link, name, address });
    }

    /// Passes an event to the placement module, and records it.
    fn notify_placement(&mut self, event: PlacementEvent) {
        let now = self.now();
        event.apply(&mut self.placement).expect("codes made by outcome_code and readiness_code are valid");
        if let Some(recorder) = &mut self.recorder {
            recorder.record_event(now, &event, self.placement.host.take_answers());
        }
        self.record_calls();
    }

    /// Adds the placement module's latest calls to the recording.
    fn record_calls(&mut self) {
        let host = &mut self.placement.host;
        if let (Some(recorder), Some(transcript)) = (&mut self.recorder, &mut host.transcript) {
            recorder.record_calls(transcript);
        }
    }

    /// Carries out the pending actions of the ledger and requests of the placement module, in
    /// order, until none is left. Actions go first.
    fn perform_pending(&mut self) {
        loop {
            if let Some(action) = self.placement.host.actions.pop_front() {
                self.perform(action);
            } else if let Some(request) = self.placement.host.requests.pop_front() {
                self.perform_host_request(request);
            } else {
                break;
            }
        }
        let now = self.now();
        for task in self.placement.host.ledger.free_task_indices() {
            self.service_ids.release(self.service_of_task[task], now);
            if let Some(constraints) = &mut self.placement.host.constraints {
                constraints.task_closed(task);
            }
        }
    }

    /// Removes expired task records, and frees the indices of services and machines that were
    /// unused for `ID_RETENTION_US`.
    fn housekeeping(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + HOUSEKEEPING_INTERVAL_US, TimerKind::Housekeeping);
        self.placement.host.on_ledger(|ledger, _| ledger.expire_records());
        while let Some(service) = self.service_ids.pop_expired(now, ID_RETENTION_US) {
            self.notify_placement(PlacementEvent::ServiceLeft { service });
        }
        while let Some(machine) = self.machine_ids.pop_expired(now, ID_RETENTION_US) {
            self.machines[machine] = None;
            self.subset_forget_machine(machine);
            self.notify_placement(PlacementEvent::MachineLeft { machine });
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.flush();
        }
    }
}

/// Read access for operators' queries and for other parts of the service.
impl PlannerState {
    /// Returns the number of requests that wait for an answer.
    pub fn open_requests(&self) -> usize {
        self.ledger().open_count()
    }

    /// Returns the number of attempts of which it is not known whether they run.
    pub fn uncertain_attempts(&self) -> usize {
        let is_uncertain = |attempt: &&Attempt| attempt.state != AttemptState::Active;
        self.ledger().records().map(|entry| entry.1.attempts.iter().filter(is_uncertain).count()).sum()
    }

    pub(crate) fn ledger(&self) -> &Ledger<TaskKey, TaskJob> {
        &self.placement.host.ledger
    }

    pub(crate) fn framework_name(&self, framework: usize) -> &str {
        &self.names.frameworks[framework].name
    }

    pub(crate) fn machine_name(&self, machine: usize) -> &str {
        self.machine_ids.ids.id(machine)
    }

    pub(crate) fn now(&self) -> i64 {
        self.placement.host.now
    }

    fn machine(&self, machine: usize) -> Option<&MachineRecord> {
        self.machines.get(machine)?.as_ref()
    }

    /// Returns each machine that was reported to the placement module: its index, its availability
    /// and the module's estimate of its usage.
    pub(crate) fn machines(&self) -> impl Iterator<Item = (usize, &MachineAvailability, MachineEstimate)> {
        let known = self
            .machines
            .iter()
            .enumerate()
            .filter_map(|(machine, record)| Some((machine, record.as_ref()?)));
        known.filter(|(_, record)| record.availability.last_reported.is_some()).map(|(machine, record)| {
            (machine, &record.availability, self.placement.machine_estimate(machine))
        })
    }

    /// Returns the known tenants, and which logins may act for them.
    pub(crate) fn tenancy(&self) -> &TenantAccess {
        &self.tenancy
    }

    /// Returns whether the planner is subscribed to changes of the machine list.
    pub(crate) fn is_watching(&self) -> bool {
        self.watching
    }
}
