//! A simulated network with a simulated clock: one planner's state, machines with the attempt table
//! of the agent protocol, and links that can be cut, delayed and reordered across reconnects. The
//! invariant checker receives every frame in the order in which the planner wrote or read it, so it
//! needs no tolerance for reordering.
#![allow(dead_code)]
use basaltpitch::host::{Settings, Value};
use basaltpitch_agent::attempt_table::{AttemptId, AttemptReply, AttemptState, AttemptTable};
use basaltpitch_agent::refusal_reason;
use basaltpitch_agent::wire::{self, Body, EndedHow, Entry, Launch, LaunchId, Readiness};
use basaltpitch_invariants::{
    Framework, InvariantChecker, InvariantConfig, Location, TrafficTotals, Violation,
};
use basaltpitch_planner::state::{Identity, Output, PlannerState, REGISTRY};
use basaltpitch_subsetting::SubsetConfig;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Name of the framework of repeatable tasks.
pub const SMALL: &str = "small";
/// Name of the framework of keyed tasks, which are launched again only in the same zone.
pub const BIG: &str = "big";
/// Name of the framework of once-only tasks.
pub const ONCE: &str = "once";

/// Returns placement settings of three frameworks, one of each idempotency, on machines of 16
/// cores.
pub fn placement_settings() -> Settings {
    let text = "classes.0.name=small classes.0.semantics=retryable classes.0.objectiveUs=600000 \
        classes.0.deadlineUs=6000000 classes.0.worth=1 classes.1.name=big classes.1.semantics=dedup \
        classes.1.group=zone classes.1.objectiveUs=5000000 classes.1.deadlineUs=9000000 classes.1.worth=5 \
        classes.1.windowUs=6000000 classes.2.name=once classes.2.semantics=fragile classes.2.objectiveUs=2000000 \
        classes.2.deadlineUs=8000000 classes.2.worth=3 discovery=push familyInfo.admitCores=2 \
        familyInfo.admitMemory=1.5 familyInfo.calmLevel.0=1 familyInfo.calmLevel.1=0.8 familyInfo.calmLevel.2=1 \
        familyInfo.fadeSpan.0=1 familyInfo.fadeSpan.1=0.15 familyInfo.fadeSpan.2=1 familyInfo.classKind.0=-1 \
        familyInfo.classKind.1=-1 familyInfo.classKind.2=-1 familyInfo.classSpread.2=machine \
        familyInfo.mostTogether.2=2 familyInfo.coldSends=4 familyInfo.cpuOfKind.0=16 \
        familyInfo.priorityByClass.1=2 familyInfo.sizeMemory.0=32 familyInfo.makeSureUs=3000000 \
        familyInfo.yesAt=accepted nInstances=1 permissions.attemptsCap=3 permissions.cancelling=1 \
        permissions.connectTimeoutUs=250000 rules.coldUs=8000000 rules.fallUs=1000000 localities.0=hall-a \
        localities.1=hall-b machineTypes.0=std stats.fields.0=x0 stats.fields.1=x1";
    let pairs = text.split_whitespace().filter_map(|pair| pair.split_once('='));
    let value = |text: &str| text.parse().map_or_else(|_| Value::Text(text.into()), Value::Number);
    pairs.map(|(name, text)| (name.to_owned(), value(text))).collect()
}

/// Returns the configuration of the invariant checker for the same frameworks.
pub fn invariant_config() -> InvariantConfig {
    let framework = |kind: &str, group: &str, window, spread: &str| Framework {
        idempotency: kind.into(),
        group: group.into(),
        window_us: window,
        spread: spread.into(),
        max_together: 2,
        priority_weight: 1.0,
        latency_objective_us: 1_000_000,
    };
    InvariantConfig {
        answer_grace_us: 0,
        drain_grace_us: 0,
        warm_up_us: 8_000_000,
        offer_window_us: 1_000_000,
        max_offers: 4,
        reorder_tolerance_us: 0,
        frameworks: HashMap::from([
            (SMALL.into(), framework("repeatable", "all", 0, "none")),
            (BIG.into(), framework("keyed", "zone", 6_000_000, "none")),
            (ONCE.into(), framework("once-only", "all", 0, "machine")),
        ]),
    }
}

/// A link between the planner and a machine, with the frames in flight in each direction.
#[derive(Default)]
pub struct SimulatedLink {
    /// Frames that the planner sent and the machine has not read.
    pub to_machine: VecDeque<Body>,
    /// Frames that the machine sent and the planner has not read.
    pub to_planner: VecDeque<Body>,
    /// Whether the planner has read the machine's hello.
    pub planner_got_hello: bool,
    /// Whether the machine has read the planner's hello.
    pub machine_got_hello: bool,
    /// Whether the planner's end of the link is closed.
    pub planner_closed: bool,
    /// Whether the machine's end of the link is closed.
    pub machine_closed: bool,
}

/// A simulated machine.
pub struct SimulatedMachine {
    pub name: String,
    /// Index of the machine's zone.
    pub zone: usize,
    /// Start of the machine's current process, in microseconds.
    pub started_us: i64,
    /// The agent's table of attempts.
    pub attempts: AttemptTable<String, Launch>,
    /// Launches that the machine has neither accepted nor refused yet.
    pub queue: VecDeque<AttemptId>,
    /// Attempts that run.
    pub running: Vec<AttemptId>,
    pub draining: bool,
    /// Whether the machine refuses every launch.
    pub refuses_launches: bool,
    /// Whether connections to the machine succeed and its frames flow.
    pub reachable: bool,
    pub cell: u32,
    pub labels: Vec<String>,
    /// All links to the machine, closed ones included, by link number.
    pub links: BTreeMap<u64, SimulatedLink>,
}

/// A planner and its machines on a simulated network.
pub struct SimulatedNetwork {
    /// The simulated time, in microseconds.
    pub now_us: i64,
    pub planner: PlannerState,
    pub epoch: u64,
    pub machines: Vec<SimulatedMachine>,
    /// By the planner's index of a peer, the index in `machines`.
    pub machine_of_peer: HashMap<usize, usize>,
    pub checker: InvariantChecker,
    /// By epoch, task key and request id: the times and kinds of all answers.
    pub answers_by_request: HashMap<(u64, String, u64), Vec<(i64, i32)>>,
    /// The trace that tests compare.
    pub log: String,
    /// By key, the number of running attempts of a once-only task.
    pub running_once_only: HashMap<String, u32>,
    /// A description of the last once-only task that ran twice at the same time; `None` if there
    /// was none.
    pub duplicate_run: Option<String>,
    /// By machine, the start that was last reported to the planner.
    reported_starts: HashMap<usize, i64>,
    /// The links that the planner has dialled and that are not connected yet: peer and link number.
    pending_dials: VecDeque<(usize, u64)>,
    /// The tenant for which tasks are submitted.
    pub tenant: String,
    /// The directory syncs that the planner requested.
    pub directory_syncs: Vec<basaltpitch_planner::tenant_access::DirectorySyncTask>,
    /// The tenant snapshots that the planner stored: the time of the last full sync, and the
    /// tenants if they changed.
    pub stored_snapshots: Vec<(i64, Option<Vec<u8>>)>,
    /// All answers that clients received.
    pub received_answers: Vec<wire::Answer>,
    /// Replies to operators that no test has taken yet.
    pub query_replies: Vec<String>,
    /// All launches that the planner sent.
    pub launches: Vec<wire::Launch>,
    /// Configuration of the planner's subset; `None` if it links to all machines.
    pub subset: Option<SubsetConfig>,
    /// All frames that the planner sent to the registry.
    pub registry_frames: Vec<Body>,
}

/// Returns an attempt's id as a frame states it.
fn wire_id(id: AttemptId) -> Option<LaunchId> {
    Some(LaunchId { epoch: id.0, number: id.1 })
}

/// Returns the planner's identity with this epoch.
fn planner_identity(epoch: u64) -> Identity {
    Identity { name: "p".into(), epoch, seed: 7, registry_address: "register".into() }
}

impl SimulatedNetwork {
    /// Creates a network in which all machines are listed and linked.
    pub fn new(machines: usize) -> Self {
        let mut net = SimulatedNetwork::without_list(machines);
        net.send_list(true);
        net.run_rounds(40);
        net
    }

    /// Creates a network in which the planner has not received a machine list yet.
    pub fn without_list(machines: usize) -> Self {
        let now_us = 100_000_000;
        let machine = |m: usize| SimulatedMachine {
            name: format!("m{m}"),
            zone: m % 2,
            started_us: 1_000_000,
            attempts: AttemptTable::default(),
            queue: VecDeque::new(),
            running: Vec::new(),
            draining: false,
            refuses_launches: false,
            reachable: true,
            cell: 0,
            labels: Vec::new(),
            links: BTreeMap::new(),
        };
        let mut net = SimulatedNetwork {
            now_us,
            planner: PlannerState::new(planner_identity(1), placement_settings(), now_us, None),
            epoch: 1,
            machines: (0..machines).map(machine).collect(),
            machine_of_peer: HashMap::new(),
            checker: InvariantChecker::new(invariant_config()),
            answers_by_request: HashMap::new(),
            log: String::new(),
            running_once_only: HashMap::new(),
            duplicate_run: None,
            pending_dials: VecDeque::new(),
            tenant: String::new(),
            directory_syncs: Vec::new(),
            stored_snapshots: Vec::new(),
            received_answers: Vec::new(),
            query_replies: Vec::new(),
            launches: Vec::new(),
            subset: None,
            registry_frames: Vec::new(),
            reported_starts: HashMap::new(),
        };
        for m in &net.machines {
            let location = Location { zone: m.zone.to_string(), cell: 0, ..Location::default() };
            net.checker.set_location(&m.name, location);
        }
        net.carry_out();
        net
    }

    /// Returns the planner's name and epoch.
    pub fn planner_id(&self) -> (String, u64) {
        ("p".into(), self.epoch)
    }

    /// Appends a line to the trace.
    fn log_event(&mut self, text: String) {
        self.log += &format!("{} ms  {text}\n", (self.now_us - 100_000_000) / 1000);
    }

    /// Limits the planner to a subset of the fleet from now on.
    pub fn use_subset(&mut self, config: SubsetConfig) {
        self.subset = Some(config.clone());
        self.planner.use_subset(self.now_us, config);
    }

    /// Sends the planner a list of all machines from the registry.
    pub fn send_list(&mut self, whole: bool) {
        self.send_selected_list(whole, 0, |_| true);
    }

    /// Sends the planner a list of some machines, in reply to its query with the number `question`;
    /// 0 for a list that no query requested.
    pub fn send_selected_list(&mut self, whole: bool, question: u64, includes: impl Fn(usize) -> bool) {
        let entry = |m: &SimulatedMachine| Entry {
            machine: m.name.clone(),
            address: m.name.clone(),
            kind: "std".into(),
            zone: ["hall-a", "hall-b"][m.zone].into(),
            cell: m.cell,
            readiness: if m.draining { Readiness::Draining } else { Readiness::Ready } as i32,
            started_us: m.started_us,
            cores_left: 0.0,
            memory_left: 0.0,
            labels: m.labels.clone(),
        };
        let entries =
            self.machines.iter().enumerate().filter(|x| includes(x.0)).map(|x| entry(x.1)).collect();
        let list = wire::List { whole, stamp: 0, entries, question };
        self.checker.registry_sent(self.now_us, &self.planner_id(), &list);
        if question == 0 {
            (0..self.machines.len()).for_each(|m| self.report_start(m));
            self.planner.registry_up(self.now_us);
        }
        self.planner.registry_frame(self.now_us, Body::List(list)).expect("a valid list");
        self.carry_out();
    }

    /// Advances the simulated time, and runs the planner's timers when they are due.
    pub fn advance(&mut self, duration_us: i64) {
        let until_us = self.now_us + duration_us;
        loop {
            let at_us = self.planner.next_at().max(self.now_us);
            if at_us > until_us {
                break;
            }
            self.now_us = at_us;
            self.planner.advance_clock(at_us);
            self.carry_out();
        }
        self.now_us = until_us;
        self.planner.advance_clock(until_us);
        self.carry_out();
    }

    /// Carries out the planner's outputs: puts frames on links, and records what goes elsewhere.
    fn carry_out(&mut self) {
        while let Some(output) = self.planner.next_output() {
            match output {
                Output::Dial { peer: REGISTRY, .. } => {}
                Output::Registry(body) => self.registry_frames.push(body),
                Output::Dial { peer, link, name, .. } => {
                    let m = self.machines.iter().position(|m| *m.name == *name).expect("a listed machine");
                    self.machine_of_peer.insert(peer, m);
                    self.pending_dials.push_back((peer, link));
                }
                Output::Machine { machine, body, mark } => {
                    let m = self.machine_of_peer[&machine];
                    let machine = &mut self.machines[m];
                    let last = machine
                        .links
                        .iter_mut()
                        .rev()
                        .find(|(_, c)| c.planner_got_hello && !c.planner_closed);
                    match (last, mark) {
                        (Some((&link, state)), _) => {
                            state.to_machine.push_back(body.clone());
                            let name = machine.name.clone();
                            if let Body::Launch(launch) = &body {
                                self.launches.push(launch.clone());
                                self.log_event(format!(
                                    "launch {} of {} on {name}",
                                    launch.id.unwrap().number,
                                    launch.key
                                ));
                            }
                            let (now_us, planner) = (self.now_us, self.planner_id());
                            self.checker.machine_socket_read(
                                now_us,
                                &name,
                                connection_id(m, link),
                                &planner,
                                &body,
                                false,
                            );
                        }
                        (None, Some(number)) => self.planner.launch_unsent(self.now_us, number),
                        _ => {}
                    }
                }
                Output::SyncDirectory(task) => self.directory_syncs.push(task),
                Output::StoreTenants { at, snapshot } => self.stored_snapshots.push((at, snapshot)),
                Output::Client { body, .. } => {
                    let (now_us, planner) = (self.now_us, self.planner_id());
                    self.checker.client_received(now_us, &planner, &body);
                    match body {
                        Body::Answer(answer) => {
                            self.received_answers.push(answer.clone());
                            let kind = ["?", "placed", "declined", "aborted"][answer.kind as usize];
                            let on = if answer.machine.is_empty() {
                                String::new()
                            } else {
                                format!(" on {}", answer.machine)
                            };
                            let why = if answer.reason.is_empty() {
                                String::new()
                            } else {
                                format!(" ({})", answer.reason)
                            };
                            self.log_event(format!("{} request {}: {kind}{on}{why}", answer.key, answer.ask));
                            self.answers_by_request
                                .entry((self.epoch, answer.key, answer.ask))
                                .or_default()
                                .push((now_us, answer.kind));
                        }
                        Body::Told(reply) => self.query_replies.push(reply.json),
                        Body::Life(event) => self.log_event(format!(
                            "{} request {}: lifecycle event {}",
                            event.key, event.ask, event.how
                        )),
                        _ => {}
                    }
                }
                Output::Disconnect { machine, .. } => {
                    let m = self.machine_of_peer[&machine];
                    let up =
                        self.machines[m].links.iter().rev().find(|(_, c)| !c.planner_closed).map(|x| *x.0);
                    if let Some(link) = up {
                        self.cut_link(m, link, 0);
                    }
                }
            }
        }
    }

    /// Returns the planner's index of a machine.
    fn peer_index(&self, m: usize) -> usize {
        *self.machine_of_peer.iter().find(|x| *x.1 == m).expect("a dialled machine").0
    }

    /// Completes the first pending dial, which fails if the machine is not reachable.
    pub fn complete_dial(&mut self) {
        let Some((peer, link)) = self.pending_dials.pop_front() else { return };
        let m = self.machine_of_peer[&peer];
        if self.machines[m].reachable {
            self.machines[m].links.insert(link, SimulatedLink::default());
        } else {
            self.planner.machine_down(self.now_us, peer, link, &[]);
            self.carry_out();
        }
    }

    /// Closes the planner's end of a link. The last `unsent` frames to the machine are reported to
    /// the planner as not sent.
    pub fn cut_link(&mut self, m: usize, link: u64, unsent: usize) {
        let Some(state) = self.machines[m].links.get_mut(&link).filter(|c| !c.planner_closed) else { return };
        state.planner_closed = true;
        state.to_planner.clear();
        let mut numbers = Vec::new();
        for _ in 0..unsent {
            if let Some(Body::Launch(launch)) = state.to_machine.pop_back() {
                numbers.push(launch.id.unwrap().number);
            }
        }
        let text =
            format!("link {link} to {} is cut, {} launches unsent", self.machines[m].name, numbers.len());
        self.log_event(text);
        let id = |number: &u64| wire_id((self.epoch, *number));
        for number in &numbers {
            // The checker counts a launch that no machine ever reads as refused.
            let refused = wire::Refused { id: id(number), key: String::new(), why: 0, report: None };
            let (now_us, planner, name) = (self.now_us, self.planner_id(), self.machines[m].name.clone());
            self.checker.machine_sent_and_delivered(now_us, &name, &planner, &Body::Refused(refused));
        }
        self.checker.machine_disconnected(self.now_us, connection_id(m, link));
        let peer = self.peer_index(m);
        self.planner.machine_down(self.now_us, peer, link, &numbers);
        self.carry_out();
    }

    /// Returns the newest link to a machine whose planner's end is open.
    pub fn newest_link(&self, m: usize) -> Option<u64> {
        self.machines[m].links.iter().rev().find(|(_, c)| !c.planner_closed).map(|x| *x.0)
    }

    /// Lets the machine read one frame of a link, which may be an outdated link.
    pub fn machine_reads(&mut self, m: usize, link: u64) {
        let epoch = self.epoch;
        let machine = &mut self.machines[m];
        let Some(state) = machine.links.get_mut(&link).filter(|c| !c.machine_closed) else { return };
        if !state.machine_got_hello {
            state.machine_got_hello = true;
            if !machine.attempts.admit_link(&"p".into(), epoch, link) {
                state.machine_closed = true;
                return;
            }
            machine.queue.retain(|id| machine.attempts.state(&"p".into(), *id).is_some());
            let (ended, held) = machine.attempts.inventory(&"p".into());
            for (id, reply) in ended {
                state.to_planner.push_back(reply_frame(id, reply));
            }
            let held = held.into_iter().map(|(_, state, launch)| wire::Held {
                launch: Some(launch),
                accepted: state != AttemptState::Queued,
                running: state == AttemptState::Running,
            });
            state.to_planner.push_back(Body::Inventory(wire::Inventory {
                held: held.collect(),
                draining: machine.draining,
            }));
            return;
        }
        let Some(body) = state.to_machine.pop_front() else { return };
        if !machine.attempts.is_current(&"p".into(), epoch, link) {
            return;
        }
        let id = |id: Option<LaunchId>| id.map(|i| (i.epoch, i.number)).unwrap();
        let mut ended = None;
        let reply = match body {
            Body::Launch(launch) => {
                let id = (launch.id.unwrap().epoch, launch.id.unwrap().number);
                let (reply, is_new) = machine.attempts.launch(&"p".into(), id, launch);
                if is_new {
                    machine.queue.push_back(id);
                }
                (id, reply)
            }
            Body::Cancel(cancel) => {
                let id = id(cancel.id);
                let reply = machine.attempts.cancel(&"p".into(), id);
                machine.queue.retain(|queued| *queued != id);
                (id, reply)
            }
            Body::Stop(stop) => {
                let id = id(stop.id);
                match machine.attempts.state(&"p".into(), id) {
                    Some(AttemptState::Accepted | AttemptState::Running) => {
                        ended = Some(id);
                        (id, AttemptReply::Nothing)
                    }
                    _ => {
                        machine.queue.retain(|queued| *queued != id);
                        (id, machine.attempts.cancel(&"p".into(), id))
                    }
                }
            }
            Body::Noted(noted) => {
                machine.attempts.acknowledge(&"p".into(), id(noted.id));
                return;
            }
            Body::Probe(probe) => {
                let report = Some(wire::Report { values: vec![16.0, 32.0] });
                self.machine_sends(m, Body::Probed(wire::Probed { number: probe.number, why: 0, report }));
                return;
            }
            _ => return,
        };
        if reply.1 != AttemptReply::Nothing {
            self.machine_sends(m, reply_frame(reply.0, reply.1));
        }
        if let Some(id) = ended {
            self.end_attempt(m, id, EndedHow::EndedStopped);
        }
    }

    /// Sends a frame from the machine on its current link. The frame is lost if there is no current
    /// link or either end of it is closed.
    fn machine_sends(&mut self, m: usize, body: Body) {
        let machine = &mut self.machines[m];
        let epoch = self.epoch;
        let is_current = |link: &u64| machine.attempts.is_current(&"p".into(), epoch, *link);
        let link = machine.links.keys().rev().find(|link| is_current(link)).copied();
        if let Some(state) =
            link.and_then(|l| machine.links.get_mut(&l)).filter(|c| !c.planner_closed && !c.machine_closed)
        {
            state.to_planner.push_back(body);
        }
    }

    /// Lets the planner read one frame of a link.
    pub fn planner_reads(&mut self, m: usize, link: u64) {
        let started_us = self.machines[m].started_us;
        let (name, peer) = (self.machines[m].name.clone(), self.peer_index(m));
        let Some(state) = self.machines[m].links.get_mut(&link).filter(|c| !c.planner_closed) else { return };
        if !state.planner_got_hello {
            state.planner_got_hello = true;
            self.report_start(m);
            if !self.planner.machine_up(self.now_us, peer, link, &name, started_us as u64) {
                self.cut_link(m, link, 0);
            }
            return self.carry_out();
        }
        let Some(body) = state.to_planner.pop_front() else { return };
        let (now_us, planner) = (self.now_us, self.planner_id());
        self.checker.machine_sent_and_delivered(now_us, &name, &planner, &body);
        self.planner.machine_frame(now_us, peer, link, body).expect("a valid frame");
        self.carry_out();
    }

    /// Lets the machine accept or refuse the first launch in its queue.
    pub fn decide_next_launch(&mut self, m: usize) {
        let machine = &mut self.machines[m];
        let Some(id) = machine.queue.pop_front() else { return };
        if machine.attempts.state(&"p".into(), id) != Some(AttemptState::Queued) {
            return;
        }
        let launch = machine.attempts.payload(&"p".into(), id).expect("queued").clone();
        if machine.draining || machine.refuses_launches {
            machine.attempts.forget(&"p".into(), id);
            let refused = wire::Refused {
                id: wire_id(id),
                key: launch.key,
                why: refusal_reason::NOT_HERE,
                report: None,
            };
            return self.machine_sends(m, Body::Refused(refused));
        }
        machine.attempts.set_state(&"p".into(), id, AttemptState::Running);
        machine.running.push(id);
        if launch.kind == "once-only" {
            let count = self.running_once_only.entry(launch.key.clone()).or_insert(0);
            *count += 1;
            if *count > 1 {
                self.duplicate_run = Some(format!(
                    "{} runs twice, the second time on {}, at {} us",
                    launch.key, self.machines[m].name, self.now_us
                ));
            }
        }
        self.machine_sends(m, reply_frame(id, AttemptReply::Accepted));
    }

    /// Ends a running attempt, and sends the planner its end.
    pub fn end_attempt(&mut self, m: usize, id: AttemptId, how: EndedHow) {
        let machine = &mut self.machines[m];
        machine.running.retain(|r| *r != id);
        if let Some(launch) = machine.attempts.payload(&"p".into(), id).filter(|l| l.kind == "once-only") {
            *self.running_once_only.entry(launch.key.clone()).or_insert(1) -= 1;
        }
        machine.attempts.set_state(&"p".into(), id, AttemptState::Ended(how as u8));
        self.machine_sends(m, reply_frame(id, AttemptReply::Ended(how as u8)));
    }

    /// Restarts a machine, which loses all its attempts.
    pub fn restart_machine(&mut self, m: usize) {
        self.now_us += 1;
        let running = std::mem::take(&mut self.machines[m].running);
        for id in running {
            if let Some(launch) =
                self.machines[m].attempts.payload(&"p".into(), id).filter(|l| l.kind == "once-only")
            {
                *self.running_once_only.entry(launch.key.clone()).or_insert(1) -= 1;
            }
        }
        let machine = &mut self.machines[m];
        (machine.attempts, machine.started_us, machine.draining) =
            (AttemptTable::default(), self.now_us, false);
        machine.queue.clear();
        machine.links.values_mut().for_each(|c| c.machine_closed = true);
        let name = machine.name.clone();
        self.log_event(format!("{name} restarts"));
    }

    /// Reports a machine's start to the checker when the planner first receives it: launches that
    /// the planner sent before went to an earlier process of the machine.
    fn report_start(&mut self, m: usize) {
        let (started_us, name) = (self.machines[m].started_us, self.machines[m].name.clone());
        if self.reported_starts.insert(m, started_us) != Some(started_us) {
            self.checker.machine_started(started_us, &name);
        }
    }

    /// Starts or ends a machine's drain, of which the machine notifies the planner.
    pub fn drain_machine(&mut self, m: usize, on: bool) {
        self.machines[m].draining = on;
        let machine = self.machines[m].name.clone();
        self.log_event(format!("{machine} draining: {on}"));
        self.machine_sends(m, Body::Drain(wire::Drain { machine, on, ..wire::Drain::default() }));
    }

    /// Kills the planner, and starts its successor without state and under the next epoch.
    pub fn kill_planner(&mut self) {
        self.checker.planner_killed(self.now_us, "p", self.epoch);
        self.log_event("the planner is killed".into());
        self.epoch += 1;
        self.planner =
            PlannerState::new(planner_identity(self.epoch), placement_settings(), self.now_us, None);
        if let Some(config) = self.subset.clone() {
            self.planner.use_subset(self.now_us, config);
        }
        self.machine_of_peer.clear();
        self.pending_dials.clear();
        for m in 0..self.machines.len() {
            let links: Vec<u64> = self.machines[m].links.keys().copied().collect();
            for link in links {
                self.checker.machine_disconnected(self.now_us, connection_id(m, link));
            }
            // Link numbers restart with the epoch, and frames in flight are lost with their
            // sockets.
            self.machines[m].links.clear();
        }
        self.carry_out();
        self.send_list(true);
    }

    /// Submits a task as a client.
    pub fn submit(&mut self, framework: &str, key: &str, request_id: u64, time_left_us: i64) {
        let submit = wire::Submit {
            key: key.into(),
            ask: request_id,
            framework: framework.into(),
            tenant: self.tenant.clone(),
            service: key.len() as u64,
            cores: if framework == BIG { 4.0 } else { 1.0 },
            memory: 2.0,
            runs_for_us: 1_000_000,
            time_left_us,
        };
        self.log_event(format!("{key} request {request_id}"));
        let planner = self.planner_id();
        self.checker.client_sent(self.now_us, &planner, &submit);
        self.planner.client_frame(self.now_us, 1, Body::Submit(submit)).expect("a valid submit");
        self.carry_out();
    }

    /// Sends a query or command on the connection and returns the reply. An error is the reason
    /// with which the planner closes the connection.
    pub fn operator_request(&mut self, body: Body) -> Result<String, String> {
        basaltpitch_planner::view::client_frame(&mut self.planner, self.now_us, 1, body, || None)
            .map_err(|error| error.to_string())?;
        self.carry_out();
        Ok(self.query_replies.pop().unwrap_or_default())
    }

    /// Withdraws a request as a client.
    pub fn withdraw(&mut self, key: &str, request_id: u64) {
        let planner = self.planner_id();
        self.checker.client_withdrew(&planner, key, request_id);
        let withdraw = wire::Withdraw { key: key.into(), ask: request_id };
        self.planner.client_frame(self.now_us, 1, Body::Withdraw(withdraw)).expect("a valid withdrawal");
        self.carry_out();
    }

    /// Runs rounds of one millisecond without faults: links come up, frames are read, and machines
    /// decide on launches.
    pub fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.advance(1_000);
            while !self.pending_dials.is_empty() {
                self.complete_dial();
            }
            for m in 0..self.machines.len() {
                for link in self.machines[m].links.keys().copied().collect::<Vec<_>>() {
                    if !self.machines[m].reachable {
                        continue;
                    }
                    for _ in 0..8 {
                        self.machine_reads(m, link);
                        self.planner_reads(m, link);
                    }
                    // The planner notices that the machine's end is closed.
                    if self.machines[m]
                        .links
                        .get(&link)
                        .is_some_and(|c| c.machine_closed && !c.planner_closed)
                    {
                        self.cut_link(m, link, 0);
                    }
                }
                self.decide_next_launch(m);
            }
        }
    }

    /// Returns the violations of invariants and the totals of the traffic.
    pub fn finish(self) -> (Vec<Violation>, TrafficTotals) {
        self.checker.finish(self.now_us)
    }
}

/// Returns the checker's number of a connection.
fn connection_id(m: usize, link: u64) -> u64 {
    (m as u64) << 32 | link
}

/// Returns the frame of a machine's reply.
fn reply_frame(id: AttemptId, reply: AttemptReply) -> Body {
    let (id, key) = (wire_id(id), String::new());
    match reply {
        AttemptReply::Accepted => Body::Yes(wire::Yes { id, key, report: None }),
        AttemptReply::Failed => Body::Failed(wire::Failed { id, key, report: None }),
        AttemptReply::Ended(how) => Body::Ended(wire::Ended { id, key, how: i32::from(how), report: None }),
        AttemptReply::NotHere | AttemptReply::Nothing => {
            Body::Refused(wire::Refused { id, key, why: refusal_reason::NOT_HERE, report: None })
        }
    }
}
