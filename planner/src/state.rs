//! One planner without I/O: frames and the passing of time come in, frames to send go out. It holds the
//! placement module, which acts through the host adapter and its ledger, knows peers by small indices, and
//! decides nothing itself: the module places, the ledger says what an answer means, `machine_availability`
//! whether a machine is offered work, `dial` when to connect. What clients, machines, constraints and the
//! directory bring has a module each; all share this one state. Times are whole microseconds.
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
use crate::tenant_access::{AccessDecision, DirectoryAccess, SweepTask, TenantAccess};
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

/// The registry among the peers that are dialled.
pub const REGISTRY: usize = usize::MAX;
/// Services and machines that nothing refers to leave their indices after this time.
const ID_RETENTION_US: i64 = 600_000_000;
const HOUSEKEEPING_INTERVAL_US: i64 = 1_000_000;
/// The admission threshold is recomputed each so often.
const ADMISSION_INTERVAL_US: i64 = 250_000;
/// How long a connection may take to come up, unless the settings say otherwise.
const DEFAULT_CONNECT_TIMEOUT_US: f64 = 250_000.0;
/// Rows that one answer holds at the most.
pub(crate) const MOST_ROWS: usize = 1000;

/// What the service must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A frame to a machine.
    Machine {
        /// The machine's index.
        machine: usize,
        /// The frame.
        body: Body,
        /// The number of an attempt of which it must be known whether it was sent.
        mark: Option<u64>,
    },
    /// A frame to the registry.
    Registry(Body),
    /// A frame to a client or operator.
    Client {
        /// The number of its connection.
        conn: u64,
        /// The frame.
        body: Body,
    },
    /// Connect to a peer.
    Dial {
        /// The machine's index, or `REGISTRY`.
        peer: usize,
        /// The number of the new link.
        link: u64,
        /// The peer's name.
        name: Rc<str>,
        /// Where it listens.
        address: Rc<str>,
    },
    /// End the link to a machine.
    Disconnect {
        /// The machine's index.
        machine: usize,
        /// Why, as the machine and the log are told.
        why: &'static str,
    },
    /// Sync with a server of the directory; a sync that is under way is given up.
    SyncDirectory(SweepTask),
    /// Store what of the directory is to outlive this planner.
    StoreTenants {
        /// When the directory was last read in full.
        at: i64,
        /// All of it, where it changed; else only the time is stored.
        all: Option<Vec<u8>>,
    },
}

/// Who a planner is.
#[derive(Clone, Debug)]
pub struct Identity {
    /// Its name among the planners.
    pub name: String,
    /// The number that fences its earlier incarnations.
    pub epoch: u64,
    /// Where its random draws begin.
    pub seed: u64,
    /// The address of the registry.
    pub register: String,
}

/// What is known of a machine.
struct MachineRecord {
    address: Rc<str>,
    labels: Vec<String>,
    availability: MachineAvailability,
    /// The number of its newest link.
    link: u64,
    /// Whether its index is held for it as a listed machine.
    retained: bool,
}

/// The state of one planner.
pub struct PlannerState {
    /// Who it is.
    pub identity: Identity,
    placement: Planner<HostAdapter>,
    recorder: Option<Recorder>,
    names: InstallationNames,
    tenancy: TenantAccess,
    /// On whose behalf each connection asks.
    logins: HashMap<u64, Rc<str>>,
    /// The request that is being rejected on arrival.
    pending_rejection: Option<PendingRejection>,
    /// Whether requests are worth starting, where that is looked at.
    pub(crate) admission: Option<AdmissionController>,
    /// Where each constraint is in the settings, for answers.
    constraint_names: Vec<String>,
    machine_ids: RefCountedIds<Rc<str>>,
    machines: Vec<Option<MachineRecord>>,
    service_ids: RefCountedIds<u64>,
    /// The service of each task of the module's.
    service_of_task: Vec<usize>,
    dials: DialQueue,
    last_link: u64,
    registry_up: bool,
    /// The registry was asked to send changes of the list.
    watching: bool,
    /// The registry sends changes without being asked by the module.
    registry_pushes: bool,
    /// By number: the machine whose health check is waited for.
    probes: BTreeMap<u64, usize>,
    last_probe: u64,
    connect_timeout_us: i64,
    /// By zone.
    zone_attempts: Vec<ZoneAttempts>,
    /// A report that came with the frame being handled.
    pending_report: Vec<f64>,
    /// The planner's subset of the fleet, where it has one.
    subset: Option<subset::SubsetState>,
    outputs: VecDeque<Output>,
    /// What operators are told of its work.
    pub counts: TaskCounts,
}

/// What operators are told of a planner's work, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct TaskCounts {
    /// Requests that came.
    pub submitted: u64,
    /// Attempts made.
    pub launched: u64,
    /// Requests that were answered with a place.
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

/// Attempts in a zone since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ZoneAttempts {
    /// Attempts made.
    pub(crate) launched: u64,
    /// Attempts that were refused or failed.
    pub(crate) failed: u64,
}

/// A request that is rejected on arrival.
struct PendingRejection {
    request_id: u64,
    /// How old that is which the rejection rests on.
    stale_us: i64,
    /// The reason in more detail.
    explanation: Option<String>,
}

impl PlannerState {
    /// A planner that knows no machine yet. Its decisions are recorded to `record`.
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

    /// The timeout of connections, in microseconds.
    pub fn connect_timeout_us(&self) -> i64 {
        self.connect_timeout_us
    }

    /// The next thing that the service must do.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The time at which `advance_clock` has something to do.
    pub fn next_at(&self) -> i64 {
        let dial = self.dials.next_due_at().unwrap_or(i64::MAX);
        self.placement.host.timers.next_at().unwrap_or(i64::MAX).min(dial).min(self.tenancy.next_at())
    }

    /// Lets time pass: timers come due, peers are dialled.
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
        if let Some(learnt) = self.tenancy.learnt() {
            let task = learnt.next(now);
            learnt.say(now);
            self.outputs.extend(task.map(Output::SyncDirectory));
        }
    }

    /// From now on requests that are not worth starting are declined at once.
    pub fn enable_admission(&mut self, now: i64, controller: AdmissionController) {
        self.admission = Some(controller);
        self.placement.host.timers.set(now + ADMISSION_INTERVAL_US, TimerKind::AdmissionThreshold);
    }

    /// What decides on admission, where that is looked at.
    pub fn admission(&self) -> Option<&AdmissionController> {
        self.admission.as_ref()
    }

    fn update_admission_threshold(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + ADMISSION_INTERVAL_US, TimerKind::AdmissionThreshold);
        let Some(mut admission) = self.admission.take() else { return };
        let ready = self.machines().filter(|entry| entry.1.readiness() == Readiness::Ready);
        let fleet = self.fleet_to_subset_ratio();
        // The threshold is that of the whole fleet, of which a subset is a sample.
        let scaled = |estimate: MachineEstimate| MachineEstimate {
            cores: fleet * estimate.cores,
            cores_at_confidence: fleet * estimate.cores_at_confidence,
            ..estimate
        };
        admission.recompute(now, ready.map(|entry| scaled(entry.2)));
        self.admission = Some(admission);
    }

    pub(crate) fn set_clock(&mut self, now: i64) {
        let now = now.max(self.placement.host.now);
        self.placement.host.now = now;
        self.placement.set_clock(now);
    }

    fn dial(&mut self, peer: usize) {
        self.last_link += 1;
        let link = self.last_link;
        if peer == REGISTRY {
            let address = self.identity.register.as_str().into();
            return self.outputs.push_back(Output::Dial { peer, link, name: "register".into(), address });
        }
        let Some(record) = self.machines[peer].as_mut() else { return self.dials.remove(peer) };
        (record.availability.link, record.link) = (LinkState::Connecting, link);
        let (name, address) = (self.machine_ids.ids.id(peer).clone(), record.address.clone());
        self.outputs.push_back(Output::Dial { peer, link, name, address });
    }

    /// Tells the placement module of an event, and records it.
    fn notify_placement(&mut self, event: PlacementEvent) {
        let now = self.now();
        event.apply(&mut self.placement).expect("codes that this planner wrote itself");
        if let Some(recorder) = &mut self.recorder {
            recorder.record_event(now, &event, self.placement.host.take_answers());
        }
        self.record_calls();
    }

    fn record_calls(&mut self) {
        let host = &mut self.placement.host;
        if let (Some(recorder), Some(transcript)) = (&mut self.recorder, &mut host.transcript) {
            recorder.record_calls(transcript);
        }
    }

    /// Carries out all actions and requests, in order, until none is left.
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

    /// Records and ids that nothing needs leave.
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

/// What operators and other parts of the service see.
impl PlannerState {
    /// Requests that wait for an answer.
    pub fn open_requests(&self) -> usize {
        self.ledger().open_count()
    }

    /// Attempts of which it is not known whether they run.
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

    /// Each known machine: its index, its availability, and what the module believes of it.
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

    pub(crate) fn tenancy(&self) -> &TenantAccess {
        &self.tenancy
    }

    pub(crate) fn is_watching(&self) -> bool {
        self.watching
    }
}
