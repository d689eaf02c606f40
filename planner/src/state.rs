//! One planner without I/O: frames and the passing of time come in, frames to send go out. It holds the
//! placing module with the ledger in its hands, knows peers by small indices, and decides nothing itself:
//! the module places, the ledger says what an answer means, `standing` whether a machine is offered work,
//! `dial` when to connect. What owners, machines, clauses and the directory bring has a room each; all
//! share this one record. Times are whole microseconds.
mod clauses;
mod clients;
mod machines;
mod parts;
mod tenants;

use crate::admission::{AdmissionController, Rejection, RequestNeeds};
use crate::host_adapter::{HostAdapter, HostRequest, TaskJob, TaskKey, TimerKind};
use crate::machine_availability::{LinkState, MachineAvailability};
use crate::placement_constraints::{Eligibility, PlacementConstraints};
use crate::placement_event::{outcome_code, readiness_code, PlacementEvent};
use crate::recording::Recorder;
use crate::settings_lists::numbered_texts;
use crate::tenancy::{Asked, Learnt, Task, Tenancy};
use basaltpitch::host::{number, text, AttemptOutcome, MachineEstimate, Readiness, Settings};
use basaltpitch::placement::Planner;
use basaltpitch_agent::dial_queue::{DialConfig, DialQueue};
use basaltpitch_agent::wire::{self, Body};
use basaltpitch_constraints::state::MachineState;
use basaltpitch_constraints::{Constraint, MachineAttributes, TaskAttributes};
use basaltpitch_interner::{fnv1a_64, RefCountedIds};
use basaltpitch_ledger::{
    Act, Answer, Asking, CopyState, Ending, Held, Kind, Launch, Ledger, Life, Phase, Promises, Reason,
    PROMISES,
};
use basaltpitch_tenants::{Change, Sweep};
use basaltpitch_zone_failover::ZonePhase;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;

/// The register among the peers that are dialled.
pub const REGISTRY: usize = usize::MAX;
/// Services and machines that nothing holds leave their indices after this time.
const KEEP_IDS: i64 = 600_000_000;
const ROUND: i64 = 1_000_000;
/// The admission threshold is recomputed each so often.
const LINE: i64 = 250_000;
/// Rows that one answer holds at the most.
pub(crate) const MOST_ROWS: usize = 1000;
/// Probes whose answer is waited for; a further one is not sent.
const MOST_PROBES: usize = 100_000;

/// What the service must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// A frame to a machine; with a mark, a launch whose sending must be known.
    Machine {
        machine: usize,
        body: Body,
        mark: Option<u64>,
    },
    Registry(Body),
    /// A frame to an owner or operator.
    Client {
        conn: u64,
        body: Body,
    },
    /// Connect to a peer, with the number of this link.
    Dial {
        peer: usize,
        link: u64,
        name: Rc<str>,
        address: Rc<str>,
    },
    Disconnect {
        machine: usize,
        why: &'static str,
    },
    /// Sweep a server of the directory; one that is under way is given up.
    SyncDirectory(Task),
    /// What of the directory is to outlive this planner: all of it, or only when it was last heard in full.
    StoreTenants {
        at: i64,
        all: Option<Vec<u8>>,
    },
}

/// Who a planner is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub name: String,
    pub epoch: u64,
    pub seed: u64,
    /// Where the register listens.
    pub register: String,
}

struct MachineRecord {
    address: Rc<str>,
    labels: Vec<String>,
    availability: MachineAvailability,
    link: u64,
    held: bool,
}

pub struct PlannerState {
    pub identity: Identity,
    placement: Planner<HostAdapter>,
    recorder: Option<Recorder>,
    names: Names,
    tenancy: Tenancy,
    /// On whose behalf each connection asks.
    logins: HashMap<u64, Rc<str>>,
    /// An asking that is declined at the door.
    pending_rejection: Option<PendingRejection>,
    /// Whether askings are worth starting, where that is looked at.
    pub(crate) admission: Option<AdmissionController>,
    /// Where each clause stands, in words for answers.
    constraint_names: Vec<String>,
    machine_ids: RefCountedIds<Rc<str>>,
    machines: Vec<Option<MachineRecord>>,
    service_ids: RefCountedIds<u64>,
    /// The service of each task of the module's.
    service_of_task: Vec<usize>,
    dials: DialQueue,
    last_link: u64,
    registry_up: bool,
    watching: bool,
    registry_pushes: bool,
    probes: BTreeMap<u64, usize>,
    last_probe: u64,
    connect_timeout_us: i64,
    /// By hall: launches, and launches refused or failed, since the start.
    zone_attempts: Vec<[u64; 2]>,
    /// A report that came with the frame being handled.
    pending_report: Vec<f64>,
    /// The planner's part of the fleet, where it has one.
    part: Option<parts::Parts>,
    outputs: VecDeque<Output>,
    pub counts: TaskCounts,
}

/// What operators are told of a planner's work, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct TaskCounts {
    pub submitted: u64,
    pub launched: u64,
    pub placed: u64,
    pub declined: u64,
    pub aborted: u64,
    pub found: u64,
    pub lost: u64,
}

/// An asking that is declined at the door: how old that is which the refusal rests on, and more words for it.
struct PendingRejection {
    ask: u64,
    stale_us: i64,
    words: Option<String>,
}

/// Names of the installation and their indices.
struct Names {
    frameworks: Vec<(String, Kind)>,
    zones: Vec<String>,
    kinds: Vec<String>,
    /// Cores and memory of each kind of machine.
    sizes: Vec<(f64, f64)>,
    /// By framework: the kind of machine that its tasks are bound to.
    kind_of: Vec<Option<usize>>,
}

impl Names {
    fn new(given: &Settings) -> Self {
        let list = |of: &dyn Fn(usize) -> String| numbered_texts(given, of);
        let kind = |i: usize| match text(given, &format!("classes.{i}.semantics")) {
            "retryable" => Kind::Repeatable,
            "dedup" => Kind::Keyed,
            _ => Kind::OnceOnly,
        };
        let frameworks = list(&|i| format!("classes.{i}.name"));
        let bound = |i| number(given, &format!("familyInfo.classKind.{i}")).filter(|k| *k >= 0.0);
        let kinds = list(&|i| format!("machineTypes.{i}"));
        let of_kind = |name: &str, i: usize| number(given, &format!("familyInfo.{name}.{i}")).unwrap_or(0.0);
        Names {
            sizes: (0..kinds.len()).map(|i| (of_kind("cpuOfKind", i), of_kind("sizeMemory", i))).collect(),
            kind_of: (0..frameworks.len()).map(|i| bound(i).map(|k| k as usize)).collect(),
            frameworks: frameworks.into_iter().enumerate().map(|(i, name)| (name, kind(i))).collect(),
            zones: list(&|i| format!("localities.{i}")),
            kinds,
        }
    }
}

fn index_of_name(names: &[String], name: &str) -> Option<usize> {
    names.iter().position(|n| n == name)
}

pub fn idempotency_text(kind: Kind) -> &'static str {
    match kind {
        Kind::Repeatable => "repeatable",
        Kind::Keyed => "keyed",
        Kind::OnceOnly => "once-only",
    }
}

impl PlannerState {
    pub fn new(
        who: Identity,
        given: Settings,
        now: i64,
        record: Option<Box<dyn std::io::Write + Send>>,
    ) -> Self {
        let settle_us = number(&given, "familyInfo.makeSureUs").map_or(PROMISES.settle_us, |n| n as i64);
        let ledger = Ledger::new(who.epoch, now, Promises { settle_us, ..PROMISES });
        let hands = HostAdapter::new(now, ledger, record.is_some());
        let names = Names::new(&given);
        let tenancy = Tenancy::Listed(numbered_texts(&given, &|i| format!("tenants.{i}.name")));
        let connect_timeout_us = number(&given, "permissions.connectTimeoutUs").unwrap_or(250_000.0) as i64;
        let pushes = text(&given, "discovery") != "ask";
        let recorder = record.map(|out| Recorder::start(out, who.seed, now, &given));
        let mut dials = DialQueue::new(who.seed, now, DialConfig::DEFAULT);
        dials.add(REGISTRY, now);
        let mut core = PlannerState {
            placement: Planner::new(hands, who.seed, now, given),
            identity: who,
            recorder,
            names,
            tenancy,
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
            registry_pushes: pushes,
            probes: BTreeMap::new(),
            last_probe: 0,
            connect_timeout_us,
            zone_attempts: Vec::new(),
            pending_report: Vec::new(),
            part: None,
            outputs: VecDeque::new(),
            counts: TaskCounts::default(),
        };
        core.placement.host.timers.set(now + ROUND, TimerKind::Housekeeping);
        if let (Some(recorder), Some(calls)) = (&mut core.recorder, &mut core.placement.host.transcript) {
            recorder.calls(calls);
        }
        core.perform_pending();
        core
    }

    /// The connect time-out, in microseconds.
    pub fn connect_timeout_us(&self) -> i64 {
        self.connect_timeout_us
    }

    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// The time at which `clock` has something to do.
    pub fn next_at(&self) -> i64 {
        let dial = self.dials.next_due_at().unwrap_or(i64::MAX);
        self.placement.host.timers.next_at().unwrap_or(i64::MAX).min(dial).min(self.tenancy.next_at())
    }

    /// Lets time pass: timers come due, peers are dialled.
    pub fn advance_clock(&mut self, now: i64) {
        self.set_clock(now);
        while let Some((_, due)) = self.placement.host.timers.next_due(now) {
            match due {
                TimerKind::Placement(token) => self.notify_placement(PlacementEvent::Timer { token }),
                TimerKind::AttemptTimeout(launch) => {
                    self.placement.host.on_ledger(|l, acts| l.timed_out(launch, acts))
                }
                TimerKind::Probe(n) => self.probe_failed(n, AttemptOutcome::TimedOut),
                TimerKind::Housekeeping => self.housekeeping(),
                TimerKind::AdmissionThreshold => self.update_admission_threshold(),
                TimerKind::Subset => self.part_due(),
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

    // Admission control.

    /// From now on askings that are not worth starting are declined at once.
    pub fn enable_admission(&mut self, now: i64, controller: AdmissionController) {
        self.admission = Some(controller);
        self.placement.host.timers.set(now + LINE, TimerKind::AdmissionThreshold);
    }

    pub fn admission(&self) -> Option<&AdmissionController> {
        self.admission.as_ref()
    }

    fn update_admission_threshold(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + LINE, TimerKind::AdmissionThreshold);
        let Some(mut admission) = self.admission.take() else { return };
        let ready = self.machines().filter(|(_, s, _)| s.readiness() == Readiness::Ready);
        let fleet = self.fleet_to_subset_ratio();
        // The line is that of the whole fleet, of which a part is a sample.
        let scaled = |x: MachineEstimate| MachineEstimate {
            cores: fleet * x.cores,
            cores_at_confidence: fleet * x.cores_at_confidence,
            ..x
        };
        admission.recompute(now, ready.map(|x| scaled(x.2)));
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
        let Some(machine) = self.machines[peer].as_mut() else { return self.dials.remove(peer) };
        (machine.availability.link, machine.link) = (LinkState::Connecting, link);
        let (name, address) = (self.machine_ids.ids.id(peer).clone(), machine.address.clone());
        self.outputs.push_back(Output::Dial { peer, link, name, address });
    }

    // What was decided is carried out.

    fn notify_placement(&mut self, told: PlacementEvent) {
        let now = self.now();
        told.apply(&mut self.placement).expect("numbers that this code wrote itself");
        if let Some(recorder) = &mut self.recorder {
            recorder.told(now, &told, self.placement.host.take_answers());
        }
        if let (Some(recorder), Some(calls)) = (&mut self.recorder, &mut self.placement.host.transcript) {
            recorder.calls(calls);
        }
    }

    /// Carries out all acts and wishes, in order, until none is left.
    fn perform_pending(&mut self) {
        loop {
            if let Some(act) = self.placement.host.actions.pop_front() {
                self.perform(act);
            } else if let Some(wish) = self.placement.host.requests.pop_front() {
                self.perform_host_request(wish);
            } else {
                break;
            }
        }
        let now = self.now();
        for task in self.placement.host.ledger.settled() {
            self.service_ids.release(self.service_of_task[task], now);
            if let Some(bounds) = &mut self.placement.host.constraints {
                bounds.task_closed(task);
            }
        }
    }

    /// The service of a task's job, held under its index while the module knows the task.
    fn hold_service(&mut self, task: usize) -> Option<(TaskJob, usize)> {
        let now = self.now();
        let ledger = &self.placement.host.ledger;
        let job = ledger.record(ledger.key_of(task)?)?.job.clone();
        let s = self.service_ids.acquire(job.service, now);
        if let (Some(bounds), Some(facts)) = (&mut self.placement.host.constraints, &job.facts) {
            bounds.task_opened(task, facts);
        }
        if task >= self.service_of_task.len() {
            self.service_of_task.resize(task + 1, 0);
        }
        self.service_of_task[task] = s;
        self.notify_placement(PlacementEvent::Service { s, number: job.service });
        Some((job, s))
    }

    fn perform(&mut self, act: Act<TaskKey>) {
        match act {
            Act::Wanted { task, left_us } => {
                let Some((job, s)) = self.hold_service(task) else { return };
                let (f, tenant, asks) = (job.framework, job.tenant, (job.cores, job.memory));
                self.task_waits(task, &job, left_us);
                self.notify_placement(PlacementEvent::Wanted { task, f, tenant, s, asks, left: left_us });
            }
            Act::Found { task, machine } => {
                self.counts.found += 1;
                let Some((job, s)) = self.hold_service(task) else { return };
                let (f, tenant, asks) = (job.framework, job.tenant, (job.cores, job.memory));
                self.notify_placement(PlacementEvent::Found { task, f, tenant, s, asks, m: machine });
            }
            Act::Accepted { task } => self.notify_placement(PlacementEvent::Accepted { task }),
            Act::Expired { task } => {
                self.task_waits_no_more(task);
                self.notify_placement(PlacementEvent::Expired { task });
            }
            Act::Resolved { task, outcome, why, over } => {
                let (end, report) = (outcome_code(outcome), std::mem::take(&mut self.pending_report));
                self.task_resolved(task, outcome, over);
                self.notify_placement(PlacementEvent::Resolved { task, end, why, over, report });
            }
            Act::Launch { key, launch, machine, time_out_us } => {
                self.launch(key, launch, machine, time_out_us)
            }
            Act::Cancel { launch, machine } => {
                self.send_machine(machine, Body::Cancel(wire::Cancel { id: wire_id(launch) }))
            }
            Act::Stop { launch, machine } => {
                self.send_machine(machine, Body::Stop(wire::Stop { id: wire_id(launch) }))
            }
            Act::Noted { launch, machine } => {
                self.send_machine(machine, Body::Noted(wire::Noted { id: wire_id(launch) }))
            }
            Act::Answer { key, ask, owner, answer } => self.answer(key, ask, owner, answer),
            // Counted by the hands when they heard of it.
            Act::Began { .. } | Act::Over { .. } => {}
            Act::Life { key, ask, owner, how } => {
                self.counts.lost += u64::from(how == Life::Lost);
                let how = match how {
                    Life::Ended => wire::LifeHow::LifeEnded,
                    Life::Lost => wire::LifeHow::LifeLost,
                    Life::Evicted => wire::LifeHow::LifeEvicted,
                    Life::Moved => wire::LifeHow::LifeMoved,
                    Life::Stopped => wire::LifeHow::LifeStopped,
                };
                if owner != 0 {
                    let life = wire::Life { key: key.to_string(), ask, how: how as i32 };
                    self.outputs.push_back(Output::Client { conn: owner, body: Body::Life(life) });
                }
            }
        }
    }

    fn send_machine(&mut self, machine: usize, body: Body) {
        if self.machines[machine].as_ref().is_some_and(|x| x.availability.link.is_up()) {
            self.outputs.push_back(Output::Machine { machine, body, mark: None });
        }
    }

    fn launch(&mut self, key: TaskKey, launch: Launch, machine: usize, time_out_us: i64) {
        self.counts.launched += 1;
        self.count_attempt(machine, 0);
        if let Some(task) = self.placement.host.ledger.record(&key).and_then(|r| r.task) {
            self.task_launched(task);
        }
        let now = self.now();
        let link = self.machines[machine].as_ref().map(|x| x.availability.link);
        let record = self.placement.host.ledger.record(&key);
        let (Some(LinkState::Healthy | LinkState::Suspect), Some(record)) = (link, record) else {
            return self.placement.host.on_ledger(|l, acts| l.unsent(launch, acts));
        };
        let job = &record.job;
        let (tenant, tenant_id) = job.tenant.map(|t| self.tenancy.called(t)).unwrap_or_default();
        let body = Body::Launch(wire::Launch {
            id: wire_id(launch),
            key: key.to_string(),
            ask: record.ask,
            framework: self.names.frameworks[job.framework].0.clone(),
            tenant,
            tenant_id,
            service: job.service,
            cores: job.cores,
            memory: job.memory,
            runs_for_us: job.runs_for_us,
            time_out_us,
            kind: idempotency_text(record.kind).to_owned(),
        });
        tracing::debug!(
            task = &*key,
            launch = launch.number,
            machine = &**self.machine_ids.ids.id(machine),
            "launch"
        );
        self.outputs.push_back(Output::Machine { machine, body, mark: Some(launch.number) });
        self.placement.host.timers.set(now + time_out_us, TimerKind::AttemptTimeout(launch));
    }

    fn answer(&mut self, key: TaskKey, ask: u64, owner: u64, answer: Answer) {
        let mut a = wire::Answer { key: key.to_string(), ask, ..wire::Answer::default() };
        let rests_on = self.placement.host.ledger.record(&key).filter(|r| r.ask == ask);
        a.stale_us = rests_on.map_or(0, |r| r.job.stale_us);
        if let Some(admission) = &mut self.admission {
            let (now, asked) = (self.placement.host.now, (key.clone(), ask));
            match answer {
                Answer::Placed { .. } => admission.request_placed(now, &asked),
                Answer::Declined { reason: Reason::NoRoom, .. } => admission.request_expired(now, &asked),
                _ => admission.request_withdrawn(&asked),
            }
        }
        match answer {
            Answer::Placed { machine } => {
                self.counts.placed += 1;
                a.kind = wire::AnswerKind::Placed as i32;
                a.machine = self.machine_ids.ids.id(machine).to_string();
            }
            Answer::Declined { retry_after_us, reason } => {
                self.counts.declined += 1;
                a.kind = wire::AnswerKind::Declined as i32;
                (a.retry_after_us, a.reason) = (retry_after_us, reason.words().to_owned());
                a.not_allowed = matches!(reason, Reason::NotAllowed(_));
                match (reason, self.pending_rejection.as_mut().filter(|d| d.ask == ask)) {
                    (Reason::NotAllowed(_) | Reason::NoMachine | Reason::NoSlack, Some(door)) => {
                        a.stale_us = door.stale_us;
                        a.reason = door.words.take().unwrap_or(a.reason);
                    }
                    (Reason::NoRoom, _) => {
                        self.short_of_room();
                        let facts = self.placement.host.ledger.record(&key).and_then(|r| r.job.facts.clone());
                        if let Some(why) = facts.and_then(|f| self.kept_out(&f)) {
                            a.reason = format!("{}; {why}", a.reason);
                        }
                    }
                    _ => {}
                }
            }
            Answer::Aborted { reason } => {
                self.counts.aborted += 1;
                a.kind = wire::AnswerKind::Aborted as i32;
                a.reason = reason.words().to_owned();
            }
        }
        tracing::debug!(task = &*key, ask, kind = a.kind, machine = a.machine, reason = a.reason, "answer");
        if owner != 0 {
            self.outputs.push_back(Output::Client { conn: owner, body: Body::Answer(a) });
        }
    }

    fn perform_host_request(&mut self, wish: HostRequest) {
        let now = self.now();
        match wish {
            HostRequest::Probe(m) => {
                self.last_probe += 1;
                let n = self.last_probe;
                let stands = self.machines[m].as_ref().is_some_and(|x| x.availability.link.is_up());
                self.probes.insert(n, m);
                if !stands || self.probes.len() > MOST_PROBES {
                    return self.probe_failed(n, AttemptOutcome::ConnectFailed);
                }
                self.send_machine(m, Body::Probe(wire::Probe { number: n }));
                self.placement.host.timers.set(now + self.connect_timeout_us, TimerKind::Probe(n));
            }
            HostRequest::Watch(on) if self.registry_up => {
                self.watching = on;
                self.watch(on);
            }
            HostRequest::Fetch if self.registry_up => {
                self.outputs.push_back(Output::Registry(Body::Fetch(wire::Fetch::default())))
            }
            HostRequest::Watch(_) | HostRequest::Fetch => self.notify_placement(PlacementEvent::ListLost),
        }
    }

    /// Once a second: records and ids that nothing needs leave.
    fn housekeeping(&mut self) {
        let now = self.now();
        self.placement.host.timers.set(now + ROUND, TimerKind::Housekeeping);
        self.placement.host.on_ledger(|l, _| l.forget());
        while let Some(s) = self.service_ids.pop_expired(now, KEEP_IDS) {
            self.notify_placement(PlacementEvent::ServiceLeft { s });
        }
        while let Some(m) = self.machine_ids.pop_expired(now, KEEP_IDS) {
            self.machines[m] = None;
            self.part_forgets(m);
            self.notify_placement(PlacementEvent::MachineLeft { m });
        }
        if let Some(recorder) = &mut self.recorder {
            recorder.flush();
        }
    }

    // What operators see.

    /// Askings that wait for an answer.
    pub fn open_requests(&self) -> usize {
        self.ledger().open()
    }

    /// Copies of which it is not known whether they run.
    pub fn uncertain_attempts(&self) -> usize {
        let unsure = |c: &&basaltpitch_ledger::Copy| c.state != CopyState::Held;
        self.ledger().records().map(|(_, r)| r.copies.iter().filter(unsure).count()).sum()
    }

    pub(crate) fn ledger(&self) -> &Ledger<TaskKey, TaskJob> {
        &self.placement.host.ledger
    }

    pub(crate) fn framework_name(&self, f: usize) -> &str {
        &self.names.frameworks[f].0
    }

    pub(crate) fn machine_name(&self, m: usize) -> &str {
        self.machine_ids.ids.id(m)
    }

    pub(crate) fn now(&self) -> i64 {
        self.placement.host.now
    }

    /// Each known machine: its index, how it stands, and what the module believes of it.
    pub(crate) fn machines(
        &self,
    ) -> impl Iterator<Item = (usize, &MachineAvailability, basaltpitch::host::MachineEstimate)> {
        let known = self.machines.iter().enumerate().filter_map(|(m, x)| Some((m, x.as_ref()?)));
        known
            .filter(|(_, x)| x.availability.last_reported.is_some())
            .map(|(m, x)| (m, &x.availability, self.placement.machine_estimate(m)))
    }

    pub(crate) fn tenancy(&self) -> &Tenancy {
        &self.tenancy
    }

    pub(crate) fn is_watching(&self) -> bool {
        self.watching
    }
}

fn wire_id(launch: Launch) -> Option<wire::LaunchId> {
    Some(wire::LaunchId { epoch: launch.epoch, number: launch.number })
}
