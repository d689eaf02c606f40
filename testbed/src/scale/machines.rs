//! Simulations of many machines in one process, each with its own port, links and attempt table. A
//! machine accepts attempts that fit its capacity, starts them after a random time, runs them as
//! long as their launches request, and sends the frames that a real machine sends. Faults come by
//! command or at random times drawn from the seed: restarts, and zones that vanish as in a power
//! failure.
mod attempts;
mod connections;
mod faults;
mod view;

use self::view::Counts;
use super::hosts::loopback_host;
use super::traffic::Traffic;
use crate::attempt_frames::AttemptKey;
use basaltpitch_agent::attempt_table::AttemptTable;
use basaltpitch_agent::link::{Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, Body, Entry, Launch, Readiness};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Interval between updates to the registry.
const UPDATE_EVERY: Duration = Duration::from_millis(200);
/// Interval at which a vanished machine checks whether its zone has returned.
const VANISHED_CHECK_EVERY: Duration = Duration::from_millis(100);
/// Wait after a listener's error.
const ACCEPT_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Maximum number of events handled before timers and commands are checked again.
const EVENTS_AT_ONCE: usize = 256;
/// Age of a machine at the start of the process, in microseconds: long enough that it does not warm
/// up any more.
const AGE_AT_START_US: i64 = 60_000_000;
/// Machines per cell within a zone.
const MACHINES_A_CELL: usize = 40;
/// Cores and memory of each task of the absent planners.
const ABSENT_TASK: (f64, f64) = (1.0, 2.0);

/// The machines that one process simulates.
#[derive(Clone, Debug)]
pub struct MachinesConfig {
    /// Number of the first machine.
    pub first: usize,
    /// Number of machines.
    pub count: usize,
    /// All zones; machines are assigned to them in turn.
    pub zones: Vec<String>,
    /// Kind of the machines.
    pub kind: String,
    /// Cores of each machine.
    pub cores: f64,
    /// Memory of each machine.
    pub memory: f64,
    /// Capacity that machines accept tasks for, as multiples of their cores and of their memory.
    pub overcommit: (f64, f64),
    /// Whether a task is reported as accepted only once it runs.
    pub accepts_when_running: bool,
    /// Mean number of random restarts of each machine per hour.
    pub restarts_per_hour: f64,
    /// Load of absent planners, which are not simulated: their tasks per second on these machines,
    /// and the mean run time of a task in seconds. These tasks take capacity and change the machine
    /// list, but no planner is notified of them.
    pub absent_load: (f64, f64),
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A command to the machines of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum MachinesCommand {
    /// Reports the traffic and the running tasks.
    Report,
    /// The machines of a zone stop responding until the zone returns.
    Vanish(String),
    /// The machines of a zone are started again without any state.
    Return(String),
    /// All machines restart, this many at a time.
    RollingRestart(usize),
}

/// An event that the process handles. Machines are given by their index.
enum MachinesEvent {
    /// A machine accepted a connection.
    Accepted(usize, TcpStream),
    /// An event of a machine's connection with this number.
    Connection(usize, u64, LinkEvent),
    /// An event of the link to the registry.
    Registry(LinkEvent),
    /// A new link to the registry was opened; holds its commands.
    RegistryConnected(mpsc::Sender<LinkCommand>),
}

/// An event that the process schedules for a machine.
#[derive(Debug)]
enum MachineTimer {
    /// The check of an offer is complete.
    CheckOffer(AttemptKey),
    /// The start of a task is complete.
    Start(AttemptKey),
    /// The run time of a task is over.
    End(AttemptKey),
    /// The machine starts again.
    Restart,
    /// The machine has been silent for so long that it is listed as gone.
    ListAsGone,
    /// The machine restarts at random.
    DrawnRestart,
    /// The next task of an absent planner arrives, for a random machine.
    AbsentTask,
    /// A task of an absent planner ends.
    AbsentTaskEnds,
}

/// An accepted task.
struct Task {
    /// Cores and memory that the task requested.
    requested: (f64, f64),
    running: bool,
}

/// A connection that a machine accepted.
struct Connection {
    commands: mpsc::Sender<LinkCommand>,
    /// The peer, once its hello has arrived as a planner.
    peer: Option<PeerIdentity>,
    /// Aborts the link when the machine crashes.
    task: AbortHandle,
    traffic: Rc<RefCell<Traffic>>,
}

/// State of one machine.
struct Machine {
    name: String,
    address: String,
    zone: String,
    cell: u32,
    /// When the machine started, in microseconds.
    started_us: i64,
    /// Number of starts; timers of an earlier incarnation are ignored.
    incarnation: u64,
    attempts: AttemptTable<String, Launch>,
    /// Number of the current connection to each planner.
    links: BTreeMap<String, u64>,
    /// All open connections by number.
    connections: HashMap<u64, Connection>,
    tasks: BTreeMap<AttemptKey, Task>,
    /// Cores and memory that accepted tasks requested.
    reserved: (f64, f64),
    /// Number of running tasks of absent planners.
    absent_tasks: usize,
    draining: bool,
    /// Whether the machine is listed as gone.
    gone: bool,
    /// Whether the machine has stopped responding.
    vanished: Rc<Cell<bool>>,
}

/// The machines of one process.
pub struct MachineProcess {
    config: MachinesConfig,
    clock: Clock,
    rng: fastrand::Rng,
    machines: Vec<Machine>,
    /// Index of each machine by its name.
    numbers: HashMap<String, usize>,
    /// Scheduled events by time in microseconds and timer number: the machine, its incarnation, and
    /// the event.
    timers: BTreeMap<(i64, u64), (usize, u64, MachineTimer)>,
    /// Timers set so far.
    timer_count: u64,
    /// Connections accepted so far by all machines.
    connection_count: u64,
    /// Machines whose entries changed since the last update to the registry.
    changed: BTreeSet<usize>,
    /// Machines that a rolling restart still has to drain.
    restart_queue: VecDeque<usize>,
    /// Commands to the link to the registry; `None` while there is none.
    registry: Option<mpsc::Sender<LinkCommand>>,
    events: mpsc::Sender<MachinesEvent>,
    inbox: mpsc::Receiver<MachinesEvent>,
    /// Traffic of closed connections, by planner.
    past_traffic: BTreeMap<String, Traffic>,
    counts: Counts,
}

/// Starts the machines, each on a port of its own.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn start(config: MachinesConfig) -> io::Result<MachineProcess> {
    let clock = Clock::start();
    let (events, inbox) = mpsc::channel(4096);
    let host = loopback_host(0);
    let (mut machines, now) = (Vec::with_capacity(config.count), clock.now());
    for index in 0..config.count {
        let listener = TcpListener::bind((host.as_str(), 0)).await?;
        let machine = Machine::new(&config, index, listener.local_addr()?.to_string(), now);
        tokio::task::spawn_local(accept_all(index, listener, machine.vanished.clone(), events.clone()));
        machines.push(machine);
    }
    let numbers = machines.iter().enumerate().map(|(index, machine)| (machine.name.clone(), index)).collect();
    let rng = fastrand::Rng::with_seed(config.seed ^ (config.first as u64) << 32);
    let mut process = MachineProcess {
        config,
        clock,
        rng,
        machines,
        numbers,
        timers: BTreeMap::new(),
        timer_count: 0,
        connection_count: 0,
        changed: BTreeSet::new(),
        restart_queue: VecDeque::new(),
        registry: None,
        events,
        inbox,
        past_traffic: BTreeMap::new(),
        counts: Counts::default(),
    };
    (0..process.machines.len()).for_each(|machine| process.draw_restart(machine));
    let (rate, runs_s) = process.config.absent_load;
    if rate > 0.0 {
        // The load starts in its steady state, with as many tasks as run on average.
        (0..(rate * runs_s) as usize).for_each(|_| process.place_absent_task());
        process.set_timer(0, 0, MachineTimer::AbsentTask);
    }
    Ok(process)
}

/// Accepts a machine's connections. While the machine has vanished, they wait in the listener's
/// queue.
async fn accept_all(
    machine: usize,
    listener: TcpListener,
    vanished: Rc<Cell<bool>>,
    events: mpsc::Sender<MachinesEvent>,
) {
    loop {
        while vanished.get() {
            tokio::time::sleep(VANISHED_CHECK_EVERY).await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                if events.send(MachinesEvent::Accepted(machine, stream)).await.is_err() {
                    return;
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_AFTER).await,
        }
    }
}

impl Machine {
    fn new(config: &MachinesConfig, index: usize, address: String, now: i64) -> Machine {
        let number = config.first + index;
        Machine {
            name: format!("machine-{number}"),
            address,
            zone: config.zones[number % config.zones.len()].clone(),
            cell: (number / config.zones.len() / MACHINES_A_CELL) as u32,
            started_us: now - AGE_AT_START_US,
            incarnation: 0,
            attempts: AttemptTable::default(),
            links: BTreeMap::new(),
            connections: HashMap::new(),
            tasks: BTreeMap::new(),
            reserved: (0.0, 0.0),
            absent_tasks: 0,
            draining: false,
            gone: false,
            vanished: Rc::new(Cell::new(false)),
        }
    }

    /// Reserves cores and memory.
    fn reserve(&mut self, size: (f64, f64)) {
        self.reserved = (self.reserved.0 + size.0, self.reserved.1 + size.1);
    }

    /// Releases cores and memory.
    fn release(&mut self, size: (f64, f64)) {
        self.reserved = (self.reserved.0 - size.0, self.reserved.1 - size.1);
    }
}

impl MachineProcess {
    /// Returns the entry of each machine in the machine list.
    pub fn entries(&self) -> Vec<Entry> {
        (0..self.machines.len()).map(|machine| self.entry(machine)).collect()
    }

    /// Returns the entry of a machine in the machine list.
    fn entry(&self, machine: usize) -> Entry {
        let (machine, config) = (&self.machines[machine], &self.config);
        let readiness = match machine {
            _ if machine.gone => Readiness::Gone,
            _ if machine.draining => Readiness::Draining,
            _ => Readiness::Ready,
        };
        Entry {
            machine: machine.name.clone(),
            address: machine.address.clone(),
            kind: config.kind.clone(),
            zone: machine.zone.clone(),
            cell: machine.cell,
            readiness: readiness as i32,
            started_us: machine.started_us,
            cores_left: config.cores - machine.reserved.0,
            memory_left: config.memory - machine.reserved.1,
            labels: Vec::new(),
        }
    }

    /// Runs until the sender of `commands` is dropped; reports are passed to `out`. Keeps the
    /// entries in the registry at the address `registry` up to date, if it is given.
    pub async fn run(
        mut self,
        registry: Option<String>,
        mut commands: mpsc::Receiver<MachinesCommand>,
        out: impl Fn(Value),
    ) {
        if let Some(address) = registry {
            let name = format!("machines-from-{}", self.config.first);
            tokio::task::spawn_local(connections::to_registry(
                address,
                name,
                self.clock,
                self.events.clone(),
            ));
        }
        let mut updates = tokio::time::interval(UPDATE_EVERY);
        loop {
            let wake = self.timers.keys().next().map_or(i64::MAX, |key| key.0);
            tokio::select! {
                command = commands.recv() => match command {
                    Some(MachinesCommand::Report) => out(self.view()),
                    Some(command) => self.command(command),
                    None => return,
                },
                Some(event) = self.inbox.recv() => {
                    self.event(event);
                    for _ in 0..EVENTS_AT_ONCE {
                        let Ok(event) = self.inbox.try_recv() else { break };
                        self.event(event);
                    }
                }
                _ = updates.tick() => self.update_registry(),
                () = tokio::time::sleep_until(self.clock.at(wake)) => {
                    let now = self.clock.now();
                    while self.timers.keys().next().is_some_and(|key| key.0 <= now) {
                        let Some((_, (machine, incarnation, timer))) = self.timers.pop_first() else { break };
                        self.fire(machine, incarnation, timer);
                    }
                }
            }
        }
    }

    /// Schedules an event for a machine.
    fn set_timer(&mut self, machine: usize, after_us: i64, timer: MachineTimer) {
        self.timer_count += 1;
        let incarnation = self.machines[machine].incarnation;
        let key = (self.clock.now() + after_us, self.timer_count);
        self.timers.insert(key, (machine, incarnation, timer));
    }

    /// Handles an event.
    fn event(&mut self, event: MachinesEvent) {
        match event {
            MachinesEvent::Accepted(machine, stream) => self.accept(machine, stream),
            MachinesEvent::Connection(machine, number, event) => {
                self.connection_event(machine, number, event);
            }
            MachinesEvent::RegistryConnected(commands) => {
                let list = wire::List { whole: true, stamp: 1, entries: self.entries(), question: 0 };
                let _ = commands.try_send(LinkCommand::Send(Body::List(list), None));
                self.registry = Some(commands);
            }
            MachinesEvent::Registry(LinkEvent::Session(SessionEvent::Frame(Body::Drain(drain)))) => {
                if let Some(&machine) = self.numbers.get(&drain.machine) {
                    let started_us = self.machines[machine].started_us;
                    if !drain.on || drain.started_us == 0 || drain.started_us == started_us {
                        self.drain(machine, drain.on);
                    }
                }
            }
            MachinesEvent::Registry(LinkEvent::Ended { .. }) => self.registry = None,
            MachinesEvent::Registry(_) => {}
        }
    }

    /// Handles a timer that is due. Timers of an earlier incarnation of the machine are ignored,
    /// except those of random restarts and of the arrival of absent planners' tasks.
    fn fire(&mut self, machine: usize, incarnation: u64, timer: MachineTimer) {
        match timer {
            MachineTimer::DrawnRestart => return self.drawn_restart(machine),
            MachineTimer::AbsentTask => return self.next_absent_task(),
            _ if self.machines[machine].incarnation != incarnation => return,
            _ => {}
        }
        match timer {
            MachineTimer::CheckOffer(attempt) => self.check_offer(machine, attempt),
            MachineTimer::Start(attempt) => self.task_started(machine, attempt),
            MachineTimer::End(attempt) => {
                self.end_task(machine, &attempt, wire::EndedHow::EndedDone);
            }
            MachineTimer::ListAsGone => {
                self.machines[machine].gone = true;
                self.changed.insert(machine);
            }
            MachineTimer::AbsentTaskEnds => {
                self.machines[machine].release(ABSENT_TASK);
                self.machines[machine].absent_tasks -= 1;
                self.changed.insert(machine);
            }
            MachineTimer::Restart => self.begin(machine),
            MachineTimer::DrawnRestart | MachineTimer::AbsentTask => {}
        }
    }

    /// Sends the changed entries to the registry.
    fn update_registry(&mut self) {
        let Some(registry) = self.registry.clone().filter(|_| !self.changed.is_empty()) else { return };
        let entries = self.changed.iter().map(|&machine| self.entry(machine)).collect();
        let list = wire::List { whole: false, stamp: 1, entries, question: 0 };
        if registry.try_send(LinkCommand::Send(Body::List(list), None)).is_ok() {
            self.changed.clear();
        }
    }
}
