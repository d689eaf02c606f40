//! A simulated machine: it looks at one offer at a time, accepts within bounds or refuses with a reason,
//! starts a few tasks at once, slowly where it has not the program, caches programs for a while, evicts when
//! memory runs out, preempts for higher priority, drops repeats of a keyed task in its group, and fails if
//! it gets too many offers while it warms up.
mod connections;
mod lifecycle;
mod offers;
mod tasks;

use crate::attempt_frames::AttemptKey;
use crate::context::TestbedContext;
use crate::faulty_link::FaultInjection;
use basaltpitch_agent::attempt_table::AttemptTable;
use basaltpitch_agent::link::{LinkCommand, LinkEvent};
use basaltpitch_agent::session::PeerIdentity;
use basaltpitch_agent::wire::Launch;
use rand::{rngs::StdRng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// A machine started so long before its testbed, in microseconds, that it does not warm up any more.
const AGE_AT_START_US: i64 = 60_000_000;

/// How simulated machines, and the clients beside them, behave. Times are microseconds.
#[derive(Clone, Debug)]
pub struct MachineBehaviour {
    /// Time that it takes to look at an offer.
    pub offer_check_us: i64,
    /// Time that the start of a task takes, on average.
    pub start_us: i64,
    /// So many times longer where the machine has not the program.
    pub uncached_start_factor: f64,
    /// Tasks that start at once, at most.
    pub concurrent_starts: usize,
    /// Offers that wait, at most.
    pub max_queue: usize,
    /// Programs that are cached after their tasks ended.
    pub cached_programs: usize,
    /// Cores that are accepted, as a multiple of the machine's.
    pub accept_cores: f64,
    /// Memory that is accepted, as a multiple of the machine's.
    pub accept_memory: f64,
    /// It accepts a task when it runs, not when it is taken.
    pub accepts_when_running: bool,
    /// A machine warms up for so long after its start.
    pub warm_up_us: i64,
    /// Offers that a machine that warms up bears within a window; at over twice as many it fails.
    pub max_warm_up_offers: usize,
    /// That window.
    pub offer_window_us: i64,
    /// Time between refreshes of its report.
    pub report_every_us: i64,
    /// By framework: the kind of machine that it needs.
    pub kinds: HashMap<String, String>,
    /// By framework: the group of machines that know of each other's repeats.
    pub groups: HashMap<String, String>,
    /// By framework.
    pub priorities: HashMap<String, i64>,
    /// Of clients: connections that are tried before one turns to another planner.
    pub client_connect_attempts: u32,
    /// It restarts once it is drained and empty, or was drained for so long, and is away for so long then.
    pub updater: Option<(i64, i64)>,
}

/// What a machine is told to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MachineCommand {
    /// Drains, or takes work again.
    Drain(bool),
    /// A rolling restart's drain, for a machine of this start.
    RollingDrain {
        /// Drains, or takes work again.
        on: bool,
        /// When the machine started that is meant, in microseconds.
        started_us: i64,
    },
    /// Stops with all that runs, and starts anew at once with nothing.
    Restart,
    /// Stops with all that runs.
    Down,
    /// Starts anew with nothing.
    Up,
    /// Drops all cached programs.
    FlushPrograms,
    /// Preempts each task with this probability.
    Preempt(f64),
    /// Sends all tasks away.
    Evacuate,
}

#[derive(Debug)]
enum MachineEvent {
    Connection(u64, LinkEvent),
    Command(MachineCommand),
}

/// What a machine is started with.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u32,
    /// Its kind.
    pub kind: String,
    /// Cores and memory.
    pub size: (f64, f64),
    /// Labels that constraints may name.
    pub labels: Vec<String>,
    /// Where its chance starts from.
    pub seed: u64,
}

/// A machine as a scenario sees it.
pub struct SimulatedMachine {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: String,
    /// Its kind.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Its cell within the zone.
    pub cell: u32,
    /// Its cores.
    pub cores: f64,
    /// Its memory.
    pub memory: f64,
    /// Labels that constraints may name.
    pub labels: RefCell<Vec<String>>,
    /// What is wrong with its links.
    pub faults: Rc<FaultInjection>,
    /// When it started, in microseconds.
    pub started_us: Cell<i64>,
    /// Whether it drains.
    pub draining: Cell<bool>,
    /// Whether it runs.
    pub up: Cell<bool>,
    /// It answers nobody, though it runs.
    pub unresponsive: Cell<bool>,
    /// Cores and memory that accepted tasks requested.
    pub reserved: Cell<(f64, f64)>,
    /// Share of tasks that fail at once.
    pub failure_rate: Cell<f64>,
    /// Reports are so old, in microseconds.
    pub report_delay_us: Cell<i64>,
    /// Share of its cores and memory that leaks away.
    pub leaked: Cell<f64>,
    /// Connections that it accepted so far.
    pub connections: Cell<u64>,
    /// Attempts that it ran so far.
    pub ran: Cell<u64>,
    events: mpsc::Sender<MachineEvent>,
}

impl SimulatedMachine {
    /// Tells the machine to do something.
    pub fn send(&self, command: MachineCommand) {
        let _ = self.events.try_send(MachineEvent::Command(command));
    }
}

/// An accepted task.
struct Task {
    framework: String,
    service: u64,
    cores: f64,
    memory: f64,
    /// Cores and memory that it requested.
    requested: (f64, f64),
    runs_us: i64,
    ends_at: i64,
    running: bool,
}

enum MachineTimer {
    CheckOffer,
    Start(AttemptKey),
    End(AttemptKey),
    Refresh,
    Return,
}

struct MachineState {
    shared: Rc<SimulatedMachine>,
    context: Rc<TestbedContext>,
    chance: StdRng,
    attempts: AttemptTable<String, Launch>,
    /// By planner: the current connection.
    links: BTreeMap<String, (u64, mpsc::Sender<LinkCommand>)>,
    connections: HashMap<u64, (mpsc::Sender<LinkCommand>, Option<PeerIdentity>)>,
    offers: VecDeque<AttemptKey>,
    checks_offer: bool,
    /// Accepted tasks that wait for a start.
    start_queue: VecDeque<AttemptKey>,
    starting: usize,
    tasks: BTreeMap<AttemptKey, Task>,
    /// Programs that are cached, by service; the oldest first.
    programs: VecDeque<u64>,
    /// When offers came while it warms up.
    warm_up_offers: VecDeque<i64>,
    /// When, and which cores and memory were not in use.
    reports: VecDeque<(i64, f64, f64)>,
    timers: BTreeMap<(i64, u64), MachineTimer>,
    timer_count: u64,
    drained_at: Option<i64>,
}

/// Starts a machine on a loopback port of its own.
///
/// # Errors
///
/// Where no port can be bound.
pub async fn start(context: Rc<TestbedContext>, spec: MachineSpec) -> std::io::Result<Rc<SimulatedMachine>> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (events, inbox) = mpsc::channel(1024);
    let now = context.clock.now();
    let shared = Rc::new(SimulatedMachine {
        name: spec.name,
        address: listener.local_addr()?.to_string(),
        kind: spec.kind,
        zone: spec.zone,
        cell: spec.cell,
        cores: spec.size.0,
        memory: spec.size.1,
        labels: RefCell::new(spec.labels),
        faults: Rc::new(FaultInjection::default()),
        started_us: Cell::new(now - AGE_AT_START_US),
        draining: Cell::new(false),
        up: Cell::new(true),
        unresponsive: Cell::new(false),
        reserved: Cell::new((0.0, 0.0)),
        failure_rate: Cell::new(0.0),
        report_delay_us: Cell::new(0),
        leaked: Cell::new(0.0),
        connections: Cell::new(0),
        ran: Cell::new(0),
        events: events.clone(),
    });
    let state = MachineState::new(shared.clone(), context, spec.seed);
    tokio::task::spawn_local(state.run(listener, events, inbox));
    Ok(shared)
}

impl MachineState {
    fn new(shared: Rc<SimulatedMachine>, context: Rc<TestbedContext>, seed: u64) -> MachineState {
        let now = context.clock.now();
        MachineState {
            shared,
            context,
            chance: StdRng::seed_from_u64(seed),
            attempts: AttemptTable::default(),
            links: BTreeMap::new(),
            connections: HashMap::new(),
            offers: VecDeque::new(),
            checks_offer: false,
            start_queue: VecDeque::new(),
            starting: 0,
            tasks: BTreeMap::new(),
            programs: VecDeque::new(),
            warm_up_offers: VecDeque::new(),
            reports: VecDeque::new(),
            timers: BTreeMap::from([((now, 0), MachineTimer::Refresh)]),
            timer_count: 0,
            drained_at: None,
        }
    }

    async fn run(
        mut self,
        listener: TcpListener,
        events: mpsc::Sender<MachineEvent>,
        mut inbox: mpsc::Receiver<MachineEvent>,
    ) {
        loop {
            let wake = self.timers.keys().next().map_or(i64::MAX, |key| key.0);
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(MachineEvent::Connection(number, event)) => self.connection_event(number, event),
                    Some(MachineEvent::Command(command)) => self.command(command),
                    None => return,
                },
                accepted = listener.accept() => {
                    if let (Ok((stream, _)), true) = (accepted, self.shared.up.get()) {
                        self.accept(stream, events.clone());
                    }
                }
                () = tokio::time::sleep_until(self.context.clock.at(wake)) => {
                    let now = self.now();
                    while self.timers.keys().next().is_some_and(|key| key.0 <= now) {
                        let (_, timer) = self.timers.pop_first().expect("it has a first");
                        self.fire(timer);
                    }
                }
            }
        }
    }

    fn now(&self) -> i64 {
        self.context.clock.now()
    }

    fn set_timer(&mut self, after_us: i64, timer: MachineTimer) {
        self.timer_count += 1;
        self.timers.insert((self.now() + after_us, self.timer_count), timer);
    }

    fn fire(&mut self, timer: MachineTimer) {
        match timer {
            MachineTimer::CheckOffer => self.check_next_offer(),
            MachineTimer::Start(attempt) => self.task_started(attempt),
            MachineTimer::End(attempt) => self.task_done(&attempt),
            MachineTimer::Refresh => self.refresh(),
            MachineTimer::Return => self.command(MachineCommand::Up),
        }
    }

    fn task_key(&self, attempt: &AttemptKey) -> String {
        self.attempts.payload(&attempt.0, attempt.1).map(|launch| launch.key.clone()).unwrap_or_default()
    }

    fn priority(&self, framework: &str) -> i64 {
        self.context.behaviour.priorities.get(framework).copied().unwrap_or(0)
    }
}
