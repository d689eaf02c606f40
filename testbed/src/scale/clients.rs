//! Clients with an open load: arrival times of requests do not depend on earlier answers, and
//! latencies include the wait before sending. Each connection submits to one planner, and changes
//! to the next planner when the connection fails.
mod view;

use super::traffic::{CountingStream, Traffic, TrafficByPlanner};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, LifeHow, Role, Submit};
use hdrhistogram::Histogram;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time past its limit after which a request counts as unanswered, in microseconds.
const ANSWER_GRACE_US: i64 = 2_000_000;
/// Time between attempts to connect to a planner.
const RECONNECT_AFTER: Duration = Duration::from_millis(50);
/// Time that one attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which overdue requests are looked for.
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// Time between wake-ups while nothing is submitted, in microseconds.
const IDLE_US: i64 = 3_600_000_000;
/// Number of answered tasks that are remembered, the newest ones, to detect second answers.
const REMEMBERED: usize = 200_000;
/// Number of services per framework.
const SERVICES: u64 = 40;

/// The load of one framework.
#[derive(Clone, Copy, Debug)]
pub struct FrameworkLoad {
    /// The framework's name.
    pub name: &'static str,
    /// The framework's share of all tasks, relative to the shares of the other frameworks.
    pub share: f64,
    /// Priority weight of a task.
    pub value: f64,
    /// A task placed within this time counts with its full weight, in microseconds.
    pub latency_objective_us: i64,
    /// A task placed after this time counts nothing, in microseconds.
    pub limit_us: i64,
    /// Cores that a task requests.
    pub cores: f64,
    /// Memory that a task requests.
    pub memory: f64,
}

/// The load that one process of clients generates.
#[derive(Clone, Debug)]
pub struct ClientsConfig {
    /// Addresses of the planners.
    pub planners: Vec<String>,
    /// Number of connections; each starts with another planner.
    pub connections: usize,
    /// Tasks per second over all frameworks.
    pub rate: f64,
    /// Mean run time of a task, in seconds.
    pub mean_run_s: f64,
    /// The load of each framework.
    pub frameworks: Vec<FrameworkLoad>,
    /// Number of tenants.
    pub tenants: usize,
    /// On average, one of this many requests is a batch.
    pub batch_every: u32,
    /// Number of tasks in a batch.
    pub batch_size: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// A command to the clients.
#[derive(Debug)]
pub enum ClientsCommand {
    /// Reports the results since the measuring window began.
    Report,
    /// Begins the measuring window: discards what was measured before.
    BeginWindow,
    /// Submits nothing more; requests that are open are still waited for.
    Stop,
}

/// A submitted task that has no answer yet.
struct OpenTask {
    /// When the task arrived, in microseconds.
    due: i64,
    /// Index of the task's framework.
    framework: usize,
    /// Index of the connection that the task was assigned to.
    connection: usize,
    /// Number of the link that the task was sent on; 0: not sent yet.
    link: u64,
}

/// Results of one framework's tasks.
struct FrameworkTotals {
    /// Times from arrival to the answer "placed", in microseconds.
    started_us: Histogram<u64>,
    counts: TaskCounts,
}

/// Counts of tasks by result.
#[derive(Clone, Copy, Default)]
struct TaskCounts {
    submitted: u64,
    placed: u64,
    declined: u64,
    aborted: u64,
    /// Tasks without an answer by the limit and its grace time.
    unanswered: u64,
    /// Tasks whose connection closed before the answer.
    disconnected: u64,
    lost: u64,
    /// Answers to tasks that had already been answered.
    answered_again: u64,
    /// Sum of the weights of placed tasks, reduced for tasks placed after the latency objective.
    value: f64,
}

impl FrameworkTotals {
    fn new() -> Self {
        FrameworkTotals { started_us: new_histogram(), counts: TaskCounts::default() }
    }
}

/// Returns an empty histogram of microseconds.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("valid histogram bounds")
}

/// A connection to a planner, which is replaced by a new link when it closes.
#[derive(Default)]
struct Connection {
    /// Commands to the current link; `None` while there is none.
    commands: Option<mpsc::Sender<LinkCommand>>,
    /// Number of the current link.
    link: u64,
    /// Name of the planner at the other end.
    planner: String,
    /// Traffic of the current link.
    traffic: Rc<RefCell<Traffic>>,
    /// Tasks that were not sent yet.
    queue: VecDeque<Submit>,
}

/// An event of a connection.
enum ConnectionEvent {
    /// A new link was opened.
    Connected { link: u64, commands: mpsc::Sender<LinkCommand>, traffic: Rc<RefCell<Traffic>> },
    /// An event of the link with this number.
    Link(u64, LinkEvent),
}

/// All clients of the process.
struct Clients {
    config: ClientsConfig,
    clock: Clock,
    rng: fastrand::Rng,
    connections: Vec<Connection>,
    totals: Vec<FrameworkTotals>,
    /// Tasks without an answer, by task number.
    open: BTreeMap<u64, OpenTask>,
    /// Answers to the most recently answered tasks, by task number.
    answered: HashMap<u64, AnswerKind>,
    /// Numbers of the answered tasks that are remembered, the oldest first.
    answer_order: VecDeque<u64>,
    /// Number of tasks so far.
    task_count: u64,
    /// Times by which submissions lagged behind the arrivals, in microseconds.
    late_us: Histogram<u64>,
    /// Traffic of closed links, by planner.
    past_traffic: TrafficByPlanner,
    /// Start of the measuring window, in microseconds.
    begun_at: i64,
}

/// Submits tasks until the sender of `commands` is dropped; reports are passed to `out`.
pub async fn run(config: ClientsConfig, mut commands: mpsc::Receiver<ClientsCommand>, out: impl Fn(Value)) {
    let clock = Clock::start();
    let (events, mut inbox) = mpsc::channel(4096);
    for number in 0..config.connections {
        let (planners, seed) = (config.planners.clone(), config.seed);
        tokio::task::spawn_local(keep_connected((number, seed), planners, clock, events.clone()));
    }
    let mut clients = Clients::new(config, clock);
    let mut due = clock.now();
    let mut submits = clients.config.rate > 0.0;
    let mut sweeps = tokio::time::interval(SWEEP_EVERY);
    loop {
        let wake = if submits { due } else { clock.now() + IDLE_US };
        tokio::select! {
            command = commands.recv() => match command {
                Some(ClientsCommand::Report) => out(clients.view()),
                Some(ClientsCommand::BeginWindow) => clients.begin(),
                Some(ClientsCommand::Stop) => submits = false,
                None => return,
            },
            Some((connection, event)) = inbox.recv() => clients.event(connection, event),
            _ = sweeps.tick() => clients.sweep(),
            () = tokio::time::sleep_until(clock.at(wake)) => {
                while submits && due <= clock.now() {
                    clients.request(due);
                    due += clients.gap_us();
                }
            }
        }
    }
}

impl Clients {
    fn new(config: ClientsConfig, clock: Clock) -> Clients {
        Clients {
            connections: (0..config.connections).map(|_| Connection::default()).collect(),
            clock,
            rng: fastrand::Rng::with_seed(config.seed),
            totals: config.frameworks.iter().map(|_| FrameworkTotals::new()).collect(),
            open: BTreeMap::new(),
            answered: HashMap::new(),
            answer_order: VecDeque::new(),
            task_count: 0,
            late_us: new_histogram(),
            past_traffic: BTreeMap::new(),
            begun_at: clock.now(),
            config,
        }
    }

    /// Draws the time until the next request, in microseconds.
    fn gap_us(&mut self) -> i64 {
        let batches = 1.0 / f64::from(self.config.batch_every.max(1));
        let tasks = 1.0 - batches + batches * f64::from(self.config.batch_size.max(1));
        let mean_us = tasks / self.config.rate * 1e6;
        (-(1.0 - self.rng.f64()).ln() * mean_us) as i64
    }

    /// Creates the task or the batch of tasks that arrived at the time `due`, in microseconds.
    fn request(&mut self, due: i64) {
        let batch = self.rng.u32(0..self.config.batch_every.max(1)) == 0;
        let count = if batch { self.config.batch_size } else { 1 };
        // The tasks of a batch share framework, tenant and service, and go to one planner.
        let mut drawn = self.rng.f64() * self.config.frameworks.iter().map(|f| f.share).sum::<f64>();
        let chosen = self.config.frameworks.iter().position(|framework| {
            drawn -= framework.share;
            drawn < 0.0
        });
        let index = chosen.unwrap_or(0);
        let framework = self.config.frameworks[index];
        let connection = self.rng.usize(0..self.connections.len());
        let tenant = self.rng.usize(0..self.config.tenants.max(1));
        let service = 1 + index as u64 * 1000 + self.rng.u64(0..SERVICES);
        for _ in 0..count.max(1) {
            self.task_count += 1;
            let runs_s = -(1.0 - self.rng.f64()).ln() * self.config.mean_run_s;
            let submit = Submit {
                key: format!("{}/{}", self.config.seed, self.task_count),
                ask: 1,
                framework: framework.name.into(),
                tenant: format!("tenant-{tenant}"),
                service,
                cores: framework.cores,
                memory: framework.memory,
                runs_for_us: (runs_s * 1e6) as i64 + 50_000,
                time_left_us: framework.limit_us,
            };
            self.totals[index].counts.submitted += 1;
            self.open.insert(self.task_count, OpenTask { due, framework: index, connection, link: 0 });
            self.connections[connection].queue.push_back(submit);
        }
        self.late_us.saturating_record((self.clock.now() - due).max(1) as u64);
        self.send_queued(connection);
    }

    /// Sends a connection's queued tasks, and drops those whose limit has passed.
    fn send_queued(&mut self, connection: usize) {
        let now = self.clock.now();
        let connection = &mut self.connections[connection];
        let Some(commands) = &connection.commands else { return };
        while let Some(mut submit) = connection.queue.pop_front() {
            let Some(open) = self.open.get_mut(&number_of(&submit.key)) else { continue };
            submit.time_left_us = open.due + self.config.frameworks[open.framework].limit_us - now;
            if submit.time_left_us <= 0 {
                continue;
            }
            if let Err(e) = commands.try_send(LinkCommand::Send(Body::Submit(submit), None)) {
                if let mpsc::error::TrySendError::Full(LinkCommand::Send(Body::Submit(submit), _)) = e {
                    connection.queue.push_front(submit);
                }
                return;
            }
            open.link = connection.link;
        }
    }

    /// Handles an event of a connection; ignores events of earlier links.
    fn event(&mut self, number: usize, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Connected { link, commands, traffic } => {
                let connection = &mut self.connections[number];
                connection.commands = Some(commands);
                (connection.link, connection.traffic) = (link, traffic);
                self.send_queued(number);
            }
            ConnectionEvent::Link(link, event) if link == self.connections[number].link => {
                self.link_event(number, link, event);
            }
            ConnectionEvent::Link(..) => {}
        }
    }

    /// Handles an event of the current link.
    fn link_event(&mut self, number: usize, link: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(peer)) => self.connections[number].planner = peer.name,
            LinkEvent::Session(SessionEvent::Frame(Body::Answer(answer))) => self.answer(&answer),
            LinkEvent::Session(SessionEvent::Frame(Body::Life(event))) => {
                let lost = LifeHow::try_from(event.how) == Ok(LifeHow::LifeLost);
                self.totals[0].counts.lost += u64::from(lost);
            }
            LinkEvent::Session(_) => {}
            LinkEvent::Ended { .. } => self.disconnected(number, link),
        }
    }

    /// Counts the open tasks of a closed link as disconnected: they may run, but no answer can
    /// arrive.
    fn disconnected(&mut self, number: usize, link: u64) {
        let connection = &mut self.connections[number];
        connection.commands = None;
        let carried = connection.traffic.take();
        self.past_traffic.entry(connection.planner.clone()).or_default().add(&carried);
        let on_link = |open: &OpenTask| (open.connection, open.link) == (number, link) && link > 0;
        for open in self.take_open(on_link) {
            self.totals[open.framework].counts.disconnected += 1;
        }
    }

    /// Removes and returns the open tasks that match.
    fn take_open(&mut self, taken: impl Fn(&OpenTask) -> bool) -> Vec<OpenTask> {
        let numbers: Vec<u64> =
            self.open.iter().filter(|(_, open)| taken(open)).map(|(number, _)| *number).collect();
        numbers.iter().filter_map(|number| self.open.remove(number)).collect()
    }

    /// Counts the answer to a task.
    fn answer(&mut self, answer: &wire::Answer) {
        let (now, number) = (self.clock.now(), number_of(&answer.key));
        let kind = AnswerKind::try_from(answer.kind).unwrap_or(AnswerKind::AnswerUnknown);
        let Some(open) = self.open.remove(&number) else {
            if self.answered.contains_key(&number) {
                self.totals[0].counts.answered_again += 1;
            }
            return;
        };
        let framework = self.config.frameworks[open.framework];
        let totals = &mut self.totals[open.framework];
        let took_us = now - open.due;
        match kind {
            AnswerKind::Placed => {
                totals.counts.placed += 1;
                totals.started_us.saturating_record(took_us.max(1) as u64);
                // The full weight counts up to the latency objective; it falls linearly to nothing
                // at the limit.
                let objective_us = framework.latency_objective_us;
                let late =
                    (took_us - objective_us) as f64 / (framework.limit_us - objective_us).max(1) as f64;
                totals.counts.value += framework.value * (1.0 - late).clamp(0.0, 1.0);
            }
            AnswerKind::Declined => totals.counts.declined += 1,
            _ => totals.counts.aborted += 1,
        }
        self.answered.insert(number, kind);
        self.answer_order.push_back(number);
        while self.answer_order.len() > REMEMBERED {
            if let Some(old) = self.answer_order.pop_front() {
                self.answered.remove(&old);
            }
        }
    }

    /// Counts overdue tasks as unanswered, and sends queued tasks.
    fn sweep(&mut self) {
        let now = self.clock.now();
        let limits: Vec<i64> = self.config.frameworks.iter().map(|framework| framework.limit_us).collect();
        let overdue = |open: &OpenTask| open.due + limits[open.framework] + ANSWER_GRACE_US < now;
        for open in self.take_open(overdue) {
            self.totals[open.framework].counts.unanswered += 1;
        }
        (0..self.connections.len()).for_each(|connection| self.send_queued(connection));
    }

    /// Begins the measuring window.
    fn begin(&mut self) {
        self.begun_at = self.clock.now();
        self.late_us.reset();
        // Tasks that were submitted before the window are not counted, whenever their answers
        // arrive.
        self.open.clear();
        self.connections.iter_mut().for_each(|connection| connection.queue.clear());
        self.totals.iter_mut().for_each(|totals| *totals = FrameworkTotals::new());
    }
}

/// Returns the number of a task from its key; 0 if it has none.
fn number_of(key: &str) -> u64 {
    key.rsplit('/').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Keeps one connection open: first to the planner of the same number, and after each close or
/// failed attempt to the next planner.
async fn keep_connected(
    (number, seed): (usize, u64),
    planners: Vec<String>,
    clock: Clock,
    events: mpsc::Sender<(usize, ConnectionEvent)>,
) {
    for (planner, link) in (number..).zip(1u64..) {
        let connecting = TcpStream::connect(&planners[planner % planners.len()]);
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            let (commands, inbox) = mpsc::channel(4096);
            let identity = PeerIdentity {
                role: Role::Owner,
                name: format!("client-{seed}-{number}"),
                epoch: 1,
                link,
                login: String::new(),
            };
            let traffic: Rc<RefCell<Traffic>> = Rc::default();
            let connected = ConnectionEvent::Connected { link, commands, traffic: traffic.clone() };
            if events.send((number, connected)).await.is_err() {
                return;
            }
            let stream = CountingStream::new(stream, Rc::new(Cell::new(false)), traffic);
            let event = move |event| (number, ConnectionEvent::Link(link, event));
            link::run(stream, link::LinkContext::new(identity, clock), inbox, events.clone(), event).await;
        }
        tokio::time::sleep(RECONNECT_AFTER).await;
    }
}
