//! A simulated machine. It checks one offer at a time and accepts it within limits, or refuses it
//! with a reason. It starts a few tasks concurrently, more slowly if it has not cached the task's
//! program. It evicts tasks when memory runs out, preempts tasks for others of higher priority,
//! refuses repeats of a keyed task within its group of machines, and crashes under too many offers
//! while it warms up.
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

/// Age of a machine at the start of the testbed, in microseconds: long enough that it does not warm
/// up any more.
const AGE_AT_START_US: i64 = 60_000_000;

/// Behaviour of the simulated machines, and of the clients' connections. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct MachineBehaviour {
    /// Time that the check of an offer takes.
    pub offer_check_us: i64,
    /// Average time that the start of a task takes.
    pub start_us: i64,
    /// Factor on the start time if the machine has not cached the task's program.
    pub uncached_start_factor: f64,
    /// Maximum number of tasks that start at the same time.
    pub concurrent_starts: usize,
    /// Maximum number of offers that wait for their check.
    pub max_queue: usize,
    /// Number of programs that stay cached after their tasks ended.
    pub cached_programs: usize,
    /// Cores that a machine accepts tasks for, as a multiple of its own cores.
    pub accept_cores: f64,
    /// Memory that a machine accepts tasks for, as a multiple of its own memory.
    pub accept_memory: f64,
    /// Whether a task is reported as accepted only once it runs.
    pub accepts_when_running: bool,
    /// Time after a start during which a machine warms up.
    pub warm_up_us: i64,
    /// Offers per window that a warming machine can handle; it crashes at more than twice as many.
    pub max_warm_up_offers: usize,
    /// Length of the window in which offers are counted.
    pub offer_window_us: i64,
    /// Interval at which a machine refreshes its report.
    pub report_every_us: i64,
    /// Kind of machine that a framework requires, by framework.
    pub kinds: HashMap<String, String>,
    /// Group of machines within which repeats of a keyed task are detected (`zone`, `cell` or
    /// `all`), by framework.
    pub groups: HashMap<String, String>,
    /// Priority of a framework's tasks, by framework.
    pub priorities: HashMap<String, i64>,
    /// Failed connections after which a client connects to another planner.
    pub client_connect_attempts: u32,
    /// Maximum drain time and downtime of simulated updates: a machine restarts once it is drained
    /// and empty, or after the maximum drain time, and stays down for the downtime. `None`:
    /// machines do not update themselves.
    pub updater: Option<(i64, i64)>,
}

/// A command to a simulated machine.
#[derive(Clone, Debug, PartialEq)]
pub enum MachineCommand {
    /// Starts or ends a drain.
    Drain(bool),
    /// Starts or ends a drain on behalf of a rolling restart; ignored if the machine has restarted
    /// since.
    RollingDrain {
        /// Whether the drain starts.
        on: bool,
        /// Start time that the coordinator knows of the machine, in microseconds.
        started_us: i64,
    },
    /// Stops the machine with all its tasks, and starts it again at once without any state.
    Restart,
    /// Stops the machine with all its tasks.
    Down,
    /// Starts the machine without any state.
    Up,
    /// Drops all cached programs.
    FlushPrograms,
    /// Preempts each task with this probability.
    Preempt(f64),
    /// Ends all tasks as sent away.
    Evacuate,
}

/// An event that a machine handles.
#[derive(Debug)]
enum MachineEvent {
    /// An event of the connection with this number.
    Connection(u64, LinkEvent),
    /// A command of the scenario.
    Command(MachineCommand),
}

/// Parameters of a simulated machine.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// The machine's name.
    pub name: String,
    /// The machine's zone.
    pub zone: String,
    /// The machine's cell within the zone.
    pub cell: u32,
    /// The machine's kind.
    pub kind: String,
    /// Cores and memory of the machine.
    pub size: (f64, f64),
    /// Labels that constraints can refer to.
    pub labels: Vec<String>,
    /// Seed of the machine's random number generator.
    pub seed: u64,
}

/// A machine's properties and state, as fault scenarios and the registry access them.
pub struct SimulatedMachine {
    /// The machine's name.
    pub name: String,
    /// Address that the machine listens on.
    pub address: String,
    /// The machine's kind.
    pub kind: String,
    /// The machine's zone.
    pub zone: String,
    /// The machine's cell within the zone.
    pub cell: u32,
    /// Number of cores.
    pub cores: f64,
    /// Size of the memory.
    pub memory: f64,
    /// Labels that constraints can refer to.
    pub labels: RefCell<Vec<String>>,
    /// Faults of the machine's links.
    pub faults: Rc<FaultInjection>,
    /// When the machine started, in microseconds.
    pub started_us: Cell<i64>,
    /// Whether the machine is draining.
    pub draining: Cell<bool>,
    /// Whether the machine is up.
    pub up: Cell<bool>,
    /// Whether the machine is up but does not respond, so that the registry counts it as silent.
    pub unresponsive: Cell<bool>,
    /// Cores and memory that accepted tasks requested.
    pub reserved: Cell<(f64, f64)>,
    /// Share of offers that fail at once.
    pub failure_rate: Cell<f64>,
    /// Age of the usage that reports show, in microseconds.
    pub report_delay_us: Cell<i64>,
    /// Share of the machine's cores and memory that is lost to leaks.
    pub leaked: Cell<f64>,
    /// Connections accepted so far.
    pub connections: Cell<u64>,
    /// Attempts that ran so far.
    pub ran: Cell<u64>,
    events: mpsc::Sender<MachineEvent>,
}

impl SimulatedMachine {
    /// Sends a command to the machine.
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
    /// Cores and memory that the task requested.
    requested: (f64, f64),
    /// Run time of the task, in microseconds.
    runs_us: i64,
    /// When the task ends, in microseconds; 0 until it runs.
    ends_at: i64,
    running: bool,
}

/// An event that a machine schedules for itself.
enum MachineTimer {
    /// The check of the first queued offer is complete.
    CheckOffer,
    /// The start of a task is complete.
    Start(AttemptKey),
    /// The run time of a task is over.
    End(AttemptKey),
    /// The report is due to be refreshed.
    Refresh,
    /// The machine comes back after an update.
    Return,
}

/// State of a machine, which its own task of the runtime owns.
struct MachineState {
    shared: Rc<SimulatedMachine>,
    context: Rc<TestbedContext>,
    rng: StdRng,
    attempts: AttemptTable<String, Launch>,
    /// Number and commands of the current connection to each planner.
    links: BTreeMap<String, (u64, mpsc::Sender<LinkCommand>)>,
    /// All open connections by number: their commands, and the peer once its hello has arrived.
    connections: HashMap<u64, (mpsc::Sender<LinkCommand>, Option<PeerIdentity>)>,
    /// Offers that wait for their check.
    offers: VecDeque<AttemptKey>,
    /// Whether the check of an offer is in progress.
    checks_offer: bool,
    /// Accepted tasks that wait for their start.
    start_queue: VecDeque<AttemptKey>,
    /// Number of tasks that are starting.
    starting: usize,
    tasks: BTreeMap<AttemptKey, Task>,
    /// Cached programs by service, the least recently used first.
    programs: VecDeque<u64>,
    /// Times of recent offers while the machine warms up, in microseconds.
    warm_up_offers: VecDeque<i64>,
    /// Recent reports: their time in microseconds, unused cores and unused memory.
    reports: VecDeque<(i64, f64, f64)>,
    /// Scheduled events by time in microseconds; the second part of the key keeps the order of
    /// equal times.
    timers: BTreeMap<(i64, u64), MachineTimer>,
    /// Timers set so far.
    timer_count: u64,
    /// Start of the current drain, in microseconds; kept only for simulated updates.
    drained_at: Option<i64>,
}

/// Starts a machine on a loopback port.
///
/// # Errors
///
/// Fails if no port can be bound.
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
            rng: StdRng::seed_from_u64(seed),
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

    /// Handles connections, commands and timers.
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
                        let (_, timer) = self.timers.pop_first().expect("a timer is due");
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

    /// Handles a timer that is due.
    fn fire(&mut self, timer: MachineTimer) {
        match timer {
            MachineTimer::CheckOffer => self.check_next_offer(),
            MachineTimer::Start(attempt) => self.task_started(attempt),
            MachineTimer::End(attempt) => self.task_done(&attempt),
            MachineTimer::Refresh => self.refresh(),
            MachineTimer::Return => self.command(MachineCommand::Up),
        }
    }

    /// Returns the task key of an attempt; empty if the attempt is not known.
    fn task_key(&self, attempt: &AttemptKey) -> String {
        self.attempts.payload(&attempt.0, attempt.1).map(|launch| launch.key.clone()).unwrap_or_default()
    }

    fn priority(&self, framework: &str) -> i64 {
        self.context.behaviour.priorities.get(framework).copied().unwrap_or(0)
    }
}
