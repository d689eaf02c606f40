//! Clients of an open load: requests come by the clock, whatever became of those before, and a wait before
//! sending counts. Each connection submits to one planner, and turns to the next when it does not answer.
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

/// Time that an answer may come after the limit, in microseconds.
const ANSWER_GRACE_US: i64 = 2_000_000;
/// Time between attempts to reach a planner, and the time that one may take.
const RECONNECT_AFTER: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How often requests beyond their limit are looked for.
const SWEEP_EVERY: Duration = Duration::from_millis(250);
/// While nothing is submitted, in microseconds.
const IDLE_US: i64 = 3_600_000_000;
/// Answered tasks that are remembered, so that a second answer is seen: the newest ones.
const REMEMBERED: usize = 200_000;
/// Services of a framework.
const SERVICES: u64 = 40;

/// The load of a framework: its part of all tasks, what one counts, and its times.
#[derive(Clone, Copy, Debug)]
pub struct FrameworkLoad {
    /// Its name.
    pub name: &'static str,
    /// Its part of all tasks.
    pub part: f64,
    /// What a task counts.
    pub value: f64,
    /// A task counts in full up to this time to its start, in microseconds.
    pub latency_objective_us: i64,
    /// A task counts nothing from this time on, in microseconds.
    pub limit_us: i64,
    /// Cores of a task.
    pub cores: f64,
    /// Memory of a task.
    pub memory: f64,
}

/// The load of a process of clients.
#[derive(Clone, Debug)]
pub struct ClientsConfig {
    /// Where planners listen.
    pub planners: Vec<String>,
    /// How many of them are used at first, each on a connection of its own.
    pub connections: usize,
    /// Of all tasks together, a second.
    pub rate: f64,
    /// How long a task runs on average, in seconds.
    pub runs_s: f64,
    /// What is submitted.
    pub frameworks: Vec<FrameworkLoad>,
    /// How many tenants there are.
    pub tenants: usize,
    /// One request in so many is a batch.
    pub batch_every: u32,
    /// Tasks of a batch.
    pub batch_size: u32,
    /// Where chance starts from.
    pub seed: u64,
}

/// What clients are told to do.
#[derive(Debug)]
pub enum ClientsCommand {
    /// AttemptReply what was measured.
    Report,
    /// What was measured before is forgotten: the window begins.
    Begin,
    /// Nothing is submitted any more; what is open is waited for.
    Stop,
}

struct OpenTask {
    due: i64,
    framework: usize,
    /// The connection that it was submitted on, and the link.
    connection: usize,
    link: u64,
}

/// What came of the tasks of one framework.
struct FrameworkTotals {
    started_us: Histogram<u64>,
    counts: TaskCounts,
}

#[derive(Clone, Copy, Default)]
struct TaskCounts {
    submitted: u64,
    placed: u64,
    declined: u64,
    aborted: u64,
    /// No answer by the limit.
    unanswered: u64,
    /// The planner was gone.
    disconnected: u64,
    lost: u64,
    /// Answers beyond the one.
    answered_again: u64,
    value: f64,
}

impl FrameworkTotals {
    fn new() -> Self {
        FrameworkTotals { started_us: new_histogram(), counts: TaskCounts::default() }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds that are in order")
}

#[derive(Default)]
struct Connection {
    orders: Option<mpsc::Sender<LinkCommand>>,
    link: u64,
    /// Who answers, and what this link carried.
    planner: String,
    traffic: Rc<RefCell<Traffic>>,
    /// What no planner has taken yet.
    queue: VecDeque<Submit>,
}

enum ConnectionEvent {
    Connected { link: u64, orders: mpsc::Sender<LinkCommand>, traffic: Rc<RefCell<Traffic>> },
    Link(u64, LinkEvent),
}

struct Clients {
    config: ClientsConfig,
    clock: Clock,
    chance: fastrand::Rng,
    connections: Vec<Connection>,
    totals: Vec<FrameworkTotals>,
    open: BTreeMap<u64, OpenTask>,
    /// Tasks that were answered, and in which order.
    answered: HashMap<u64, AnswerKind>,
    answer_order: VecDeque<u64>,
    task_count: u64,
    /// How late requests were submitted, in microseconds.
    late_us: Histogram<u64>,
    /// By planner: what links that ended carried.
    past_traffic: TrafficByPlanner,
    begun_at: i64,
}

/// Submits tasks until `commands` ends; reports go to `out`.
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
                Some(ClientsCommand::Begin) => clients.begin(),
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
            chance: fastrand::Rng::with_seed(config.seed),
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

    /// Draws the time until the next request.
    fn gap_us(&mut self) -> i64 {
        let batches = 1.0 / f64::from(self.config.batch_every.max(1));
        let tasks = 1.0 - batches + batches * f64::from(self.config.batch_size.max(1));
        let mean_us = tasks / self.config.rate * 1e6;
        (-(1.0 - self.chance.f64()).ln() * mean_us) as i64
    }

    fn request(&mut self, due: i64) {
        let batch = self.chance.u32(0..self.config.batch_every.max(1)) == 0;
        let count = if batch { self.config.batch_size } else { 1 };
        // The tasks of one request are of one framework, tenant and service, and go to one planner.
        let mut drawn = self.chance.f64() * self.config.frameworks.iter().map(|f| f.part).sum::<f64>();
        let chosen = self.config.frameworks.iter().position(|framework| {
            drawn -= framework.part;
            drawn < 0.0
        });
        let index = chosen.unwrap_or(0);
        let framework = self.config.frameworks[index];
        let connection = self.chance.usize(0..self.connections.len());
        let tenant = self.chance.usize(0..self.config.tenants.max(1));
        let service = 1 + index as u64 * 1000 + self.chance.u64(0..SERVICES);
        for _ in 0..count.max(1) {
            self.task_count += 1;
            let runs_s = -(1.0 - self.chance.f64()).ln() * self.config.runs_s;
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

    fn send_queued(&mut self, connection: usize) {
        let now = self.clock.now();
        let connection = &mut self.connections[connection];
        let Some(orders) = &connection.orders else { return };
        while let Some(mut submit) = connection.queue.pop_front() {
            let Some(open) = self.open.get_mut(&number_of(&submit.key)) else { continue };
            submit.time_left_us = open.due + self.config.frameworks[open.framework].limit_us - now;
            if submit.time_left_us <= 0 {
                continue;
            }
            if let Err(e) = orders.try_send(LinkCommand::Send(Body::Submit(submit), None)) {
                if let mpsc::error::TrySendError::Full(LinkCommand::Send(Body::Submit(submit), _)) = e {
                    connection.queue.push_front(submit);
                }
                return;
            }
            open.link = connection.link;
        }
    }

    fn event(&mut self, number: usize, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Connected { link, orders, traffic } => {
                let connection = &mut self.connections[number];
                connection.orders = Some(orders);
                (connection.link, connection.traffic) = (link, traffic);
                self.send_queued(number);
            }
            ConnectionEvent::Link(link, event) if link == self.connections[number].link => {
                self.link_event(number, link, event);
            }
            ConnectionEvent::Link(..) => {}
        }
    }

    fn link_event(&mut self, number: usize, link: u64, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(party)) => self.connections[number].planner = party.name,
            LinkEvent::Session(SessionEvent::Frame(Body::Answer(answer))) => self.answer(&answer),
            LinkEvent::Session(SessionEvent::Frame(Body::Life(event))) => {
                let lost = LifeHow::try_from(event.how) == Ok(LifeHow::LifeLost);
                self.totals[0].counts.lost += u64::from(lost);
            }
            LinkEvent::Session(_) => {}
            LinkEvent::Ended { .. } => self.disconnected(number, link),
        }
    }

    /// What the planner had may run; its answer can come no more.
    fn disconnected(&mut self, number: usize, link: u64) {
        let connection = &mut self.connections[number];
        connection.orders = None;
        let carried = connection.traffic.take();
        self.past_traffic.entry(connection.planner.clone()).or_default().add(&carried);
        let on_link = |open: &OpenTask| (open.connection, open.link) == (number, link) && link > 0;
        for open in self.take_open(on_link) {
            self.totals[open.framework].counts.disconnected += 1;
        }
    }

    fn take_open(&mut self, taken: impl Fn(&OpenTask) -> bool) -> Vec<OpenTask> {
        let numbers: Vec<u64> =
            self.open.iter().filter(|(_, open)| taken(open)).map(|(number, _)| *number).collect();
        numbers.iter().filter_map(|number| self.open.remove(number)).collect()
    }

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
                // In full up to the objective, nothing from the limit on.
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

    /// Of what is open beyond its limit no answer is waited for.
    fn sweep(&mut self) {
        let now = self.clock.now();
        let limits: Vec<i64> = self.config.frameworks.iter().map(|framework| framework.limit_us).collect();
        let overdue = |open: &OpenTask| open.due + limits[open.framework] + ANSWER_GRACE_US < now;
        for open in self.take_open(overdue) {
            self.totals[open.framework].counts.unanswered += 1;
        }
        (0..self.connections.len()).for_each(|connection| self.send_queued(connection));
    }

    fn begin(&mut self) {
        self.begun_at = self.clock.now();
        self.late_us.reset();
        // What was submitted before the window counts for nothing, whenever it is answered.
        self.open.clear();
        self.connections.iter_mut().for_each(|connection| connection.queue.clear());
        self.totals.iter_mut().for_each(|totals| *totals = FrameworkTotals::new());
    }
}

/// The number of a task, of its key.
fn number_of(key: &str) -> u64 {
    key.rsplit('/').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Keeps a connection to a planner: first the one of its number, then the next that answers.
async fn keep_connected(
    (number, seed): (usize, u64),
    planners: Vec<String>,
    clock: Clock,
    events: mpsc::Sender<(usize, ConnectionEvent)>,
) {
    for (planner, link) in (number..).zip(1u64..) {
        let connecting = TcpStream::connect(&planners[planner % planners.len()]);
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
            let (orders, inbox) = mpsc::channel(4096);
            let identity = PeerIdentity {
                role: Role::Owner,
                name: format!("client-{seed}-{number}"),
                epoch: 1,
                link,
                login: String::new(),
            };
            let traffic: Rc<RefCell<Traffic>> = Rc::default();
            let connected = ConnectionEvent::Connected { link, orders, traffic: traffic.clone() };
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
