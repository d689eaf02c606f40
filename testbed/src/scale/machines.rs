//! Many simulated machines in one process, each with a port, links and a table of attempts of its own. A
//! machine accepts what fits, starts it after a drawn time, runs it as long as the launch says, and sends what
//! a machine sends. What goes wrong comes by command or by a schedule from the seed: restarts, and zones that
//! vanish as when their power is lost.
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

/// Time between updates for the registry.
const UPDATE_EVERY: Duration = Duration::from_millis(200);
/// How often one that vanished looks whether it is back, and the wait after an error of its listener.
const VANISHED_CHECK_EVERY: Duration = Duration::from_millis(100);
const ACCEPT_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Events that are taken in at once, at most.
const EVENTS_AT_ONCE: usize = 256;
/// A machine started so long before its process, in microseconds, that it does not warm up any more.
const AGE_AT_START_US: i64 = 60_000_000;
/// Machines of a zone in one cell.
const MACHINES_A_CELL: usize = 40;
/// Cores and memory of a task of a planner that is not there.
const ABSENT_TASK: (f64, f64) = (1.0, 2.0);

/// The part of the fleet that one process has.
#[derive(Clone, Debug)]
pub struct MachinesConfig {
    /// The number of its first machine.
    pub first: usize,
    /// How many machines it has.
    pub count: usize,
    /// All zones; machines are dealt to them in turn.
    pub zones: Vec<String>,
    /// The kind of the machines.
    pub kind: String,
    /// Cores of each.
    pub cores: f64,
    /// Memory of each.
    pub memory: f64,
    /// What is accepted, as multiples of cores and of memory.
    pub accepts: (f64, f64),
    /// A task is accepted when it runs, not when it is taken.
    pub accepts_when_running: bool,
    /// Of each machine, drawn from the seed.
    pub restarts_per_hour: f64,
    /// Tasks that absent planners place: so many a second on these machines, each for so many seconds on
    /// average. They take capacity and change the list, and nobody is told of them.
    pub absent_load: (f64, f64),
    /// Where chance starts from.
    pub seed: u64,
}

/// What the machines of a process are told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MachinesCommand {
    /// AttemptReply what was carried.
    Report,
    /// The machines of a zone answer nobody any more; until they are back, started anew.
    Vanish(String),
    /// The machines of a zone are back.
    Return(String),
    /// All machines restart, so many at a time.
    RollingRestart(usize),
}

enum MachinesEvent {
    Accepted(usize, TcpStream),
    Connection(usize, u64, LinkEvent),
    Registry(LinkEvent),
    RegistryConnected(mpsc::Sender<LinkCommand>),
}

#[derive(Debug)]
enum MachineTimer {
    CheckOffer(AttemptKey),
    Start(AttemptKey),
    End(AttemptKey),
    Restart,
    ListAsGone,
    /// A restart that was drawn.
    DrawnRestart,
    /// The next task of an absent planner, on whichever machine.
    AbsentTask,
    AbsentTaskEnds,
}

struct Task {
    requested: (f64, f64),
    running: bool,
}

struct Connection {
    orders: mpsc::Sender<LinkCommand>,
    party: Option<PeerIdentity>,
    task: AbortHandle,
    traffic: Rc<RefCell<Traffic>>,
}

struct Machine {
    name: String,
    address: String,
    zone: String,
    cell: u32,
    started_us: i64,
    /// Counts starts: timers of an earlier incarnation do nothing.
    incarnation: u64,
    attempts: AttemptTable<String, Launch>,
    links: BTreeMap<String, u64>,
    connections: HashMap<u64, Connection>,
    tasks: BTreeMap<AttemptKey, Task>,
    /// Cores and memory that accepted tasks requested.
    reserved: (f64, f64),
    absent_tasks: usize,
    draining: bool,
    gone: bool,
    vanished: Rc<Cell<bool>>,
}

/// The machines of one process.
pub struct MachineProcess {
    config: MachinesConfig,
    clock: Clock,
    chance: fastrand::Rng,
    machines: Vec<Machine>,
    numbers: HashMap<String, usize>,
    /// By time and number: machine, incarnation, and what is due.
    timers: BTreeMap<(i64, u64), (usize, u64, MachineTimer)>,
    timer_count: u64,
    connection_count: u64,
    /// Machines whose entries changed since the last update for the registry.
    changed: BTreeSet<usize>,
    /// Machines that a rolling restart has still to drain.
    restart_queue: VecDeque<usize>,
    registry: Option<mpsc::Sender<LinkCommand>>,
    events: mpsc::Sender<MachinesEvent>,
    inbox: mpsc::Receiver<MachinesEvent>,
    /// By planner: what connections that ended carried.
    past_traffic: BTreeMap<String, Traffic>,
    counts: Counts,
}

/// Starts the machines, each on a port of its own.
///
/// # Errors
///
/// Where no port can be bound.
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
    let chance = fastrand::Rng::with_seed(config.seed ^ (config.first as u64) << 32);
    let mut process = MachineProcess {
        config,
        clock,
        chance,
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
        // As many as run at one time are there from the start.
        (0..(rate * runs_s) as usize).for_each(|_| process.place_absent_task());
        process.set_timer(0, 0, MachineTimer::AbsentTask);
    }
    Ok(process)
}

/// Accepts the connections of a machine. While it has vanished, they wait in the listener's queue.
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

    fn reserve(&mut self, size: (f64, f64)) {
        self.reserved = (self.reserved.0 + size.0, self.reserved.1 + size.1);
    }

    fn release(&mut self, size: (f64, f64)) {
        self.reserved = (self.reserved.0 - size.0, self.reserved.1 - size.1);
    }
}

impl MachineProcess {
    /// Each machine's entry in the registry's list.
    pub fn entries(&self) -> Vec<Entry> {
        (0..self.machines.len()).map(|machine| self.entry(machine)).collect()
    }

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

    /// Runs until `commands` ends; reports go to `out`. It updates the registry at that address, if there is
    /// one.
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

    fn set_timer(&mut self, machine: usize, after_us: i64, timer: MachineTimer) {
        self.timer_count += 1;
        let incarnation = self.machines[machine].incarnation;
        let key = (self.clock.now() + after_us, self.timer_count);
        self.timers.insert(key, (machine, incarnation, timer));
    }

    fn event(&mut self, event: MachinesEvent) {
        match event {
            MachinesEvent::Accepted(machine, stream) => self.accept(machine, stream),
            MachinesEvent::Connection(machine, number, event) => {
                self.connection_event(machine, number, event);
            }
            MachinesEvent::RegistryConnected(orders) => {
                let list = wire::List { whole: true, stamp: 1, entries: self.entries(), question: 0 };
                let _ = orders.try_send(LinkCommand::Send(Body::List(list), None));
                self.registry = Some(orders);
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

    /// Tells the registry what changed.
    fn update_registry(&mut self) {
        let Some(registry) = self.registry.clone().filter(|_| !self.changed.is_empty()) else { return };
        let entries = self.changed.iter().map(|&machine| self.entry(machine)).collect();
        let list = wire::List { whole: false, stamp: 1, entries, question: 0 };
        if registry.try_send(LinkCommand::Send(Body::List(list), None)).is_ok() {
            self.changed.clear();
        }
    }
}
