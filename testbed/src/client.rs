//! Simulated clients. A client submits tasks and waits for each answer up to the request's limit.
//! After a rejection or a loss it submits the task again; a task that must not run twice waits
//! until a lost attempt has surely ended. A client connects to the next planner when its own does
//! not accept connections.
use crate::context::TestbedContext;
use crate::faulty_link::{self, FaultInjection, LinkObservation};
use basaltpitch_agent::link::{self, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, LifeHow, Role, Submit};
use basaltpitch_invariants::Incarnation;
use hdrhistogram::Histogram;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time from the end of a request's limit until the client gives up the request, in microseconds.
const ANSWER_GRACE_US: i64 = 2_000_000;
/// Time from one attempt to connect to the next, in microseconds.
const CONNECT_EVERY_US: i64 = 100_000;
/// Time from the end of a connection to the next attempt to connect, in microseconds.
const RECONNECT_AFTER_US: i64 = 20_000;
/// Time that one attempt to connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which a client checks for tasks to submit and requests to give up.
const TICK: Duration = Duration::from_millis(10);

/// A task that a client has to get placed.
#[derive(Clone, Debug)]
pub struct SubmitPlan {
    /// The request; the client fills in the request id and the time left.
    pub submit: Submit,
    /// The tenant's name as the scenario's file has it. A scenario may rename the tenant meanwhile.
    pub tenant: String,
    /// Time within which the request must be answered, in microseconds.
    pub limit_us: i64,
    /// Whether the task may run twice.
    pub repeatable: bool,
    /// Number of requests after which the client gives the task up.
    pub attempts: u32,
}

/// Counts of all clients of a scenario together.
pub struct ClientTotals {
    /// Times from a request to its answer "placed", in microseconds.
    pub placed_us: Histogram<u64>,
    /// Tasks that ran to their end.
    pub completed: u64,
    /// Tasks that were lost while they ran.
    pub lost: u64,
    /// Requests without an answer that clients gave up.
    pub given_up: u64,
    /// Requests that clients submitted.
    pub submitted: u64,
    /// Tasks that clients gave up after the last permitted request.
    pub unplaced: u64,
}

impl Default for ClientTotals {
    fn default() -> Self {
        let placed_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
        ClientTotals { placed_us, completed: 0, lost: 0, given_up: 0, submitted: 0, unplaced: 0 }
    }
}

/// Current addresses of the planners, indexed by planner number.
pub type PlannerAddresses = Rc<RefCell<Vec<String>>>;

/// State of a task at its client. Times are the testbed clock's, in microseconds.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// A request awaits its answer; holds the end of the request's limit.
    Submitted(i64),
    /// No request is open; holds the time from which the next one is submitted.
    Waiting(i64),
    /// The planner placed the task, and the client waits for its end.
    Placed,
}

/// A task at its client.
struct Task {
    plan: SubmitPlan,
    /// When the current request was first sent, in microseconds; 0 before the first request.
    submitted_at: i64,
    /// Requests that the client may still submit for the task.
    attempts_left: u32,
    phase: Phase,
    /// Incarnation of the planner that the current request was sent to; `None` before the first
    /// request.
    planner: Option<Incarnation>,
}

/// Parameters of a client.
pub struct ClientSetup {
    /// State shared by all simulated peers.
    pub context: Rc<TestbedContext>,
    /// The login that the client says hello with.
    pub login: String,
    /// Current addresses of the planners.
    pub addresses: PlannerAddresses,
    /// Where the client adds its counts.
    pub totals: Rc<RefCell<ClientTotals>>,
    /// The client's number, which also selects the planner that it connects to first.
    pub number: u64,
    /// Seed of the client's random number generator.
    pub seed: u64,
    /// Time after which an attempt of a lost task that must not run twice has surely ended, in
    /// microseconds.
    pub settle_us: i64,
}

/// State of one simulated client.
struct SimulatedClient {
    setup: ClientSetup,
    rng: StdRng,
    /// Number of the planner that the client connects to.
    planner: usize,
    /// Attempts to connect to this planner that failed in a row.
    failures: u32,
    /// Number of the current connection; events of earlier connections are ignored.
    connection: u64,
    /// Commands to the current connection; `None` while there is none.
    commands: Option<mpsc::Sender<LinkCommand>>,
    /// The planner's incarnation, once its hello has arrived on the current connection.
    incarnation: Option<Incarnation>,
    /// Earliest time of the next attempt to connect, in microseconds.
    connect_at: i64,
    /// Tasks that have not ended, by key.
    tasks: BTreeMap<String, Task>,
}

/// Starts a client and returns the sender that hands it tasks. The client ends when the sender is
/// dropped.
pub fn start(setup: ClientSetup) -> mpsc::Sender<SubmitPlan> {
    let (plans, inbox) = mpsc::channel(4096);
    let planner = setup.number as usize % setup.addresses.borrow().len();
    let client = SimulatedClient {
        rng: StdRng::seed_from_u64(setup.seed),
        setup,
        planner,
        failures: 0,
        connection: 0,
        commands: None,
        incarnation: None,
        connect_at: 0,
        tasks: BTreeMap::new(),
    };
    tokio::task::spawn_local(client.run(inbox));
    plans
}

impl SimulatedClient {
    /// Handles tasks and link events until the sender of tasks is dropped.
    async fn run(mut self, mut inbox: mpsc::Receiver<SubmitPlan>) {
        let (events, mut inbox_events) = mpsc::channel::<(u64, LinkEvent)>(1024);
        let mut tick = tokio::time::interval(TICK);
        loop {
            tokio::select! {
                plan = inbox.recv() => match plan {
                    Some(plan) => self.add(plan),
                    None => return,
                },
                Some((connection, event)) = inbox_events.recv() => if connection == self.connection {
                    self.link_event(event);
                },
                _ = tick.tick() => self.tick(&events).await,
            }
        }
    }

    fn now(&self) -> i64 {
        self.setup.context.clock.now()
    }

    /// Takes a new task over and submits its first request.
    fn add(&mut self, plan: SubmitPlan) {
        let key = plan.submit.key.clone();
        let task = Task {
            attempts_left: plan.attempts,
            plan,
            submitted_at: 0,
            phase: Phase::Waiting(0),
            planner: None,
        };
        self.tasks.insert(key.clone(), task);
        self.submit(&key);
    }

    /// Submits a new request for a task. Without a connection the task stays as it is and is tried
    /// at the next tick.
    fn submit(&mut self, key: &str) {
        let now = self.now();
        let (Some(commands), Some(planner)) = (&self.commands, self.incarnation.clone()) else { return };
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.plan.submit.ask += 1;
        task.plan.submit.time_left_us = task.plan.limit_us;
        if let Some(directory) = &*self.setup.context.directory.borrow() {
            task.plan.submit.tenant = directory.current_name(&task.plan.tenant);
        }
        if commands.try_send(LinkCommand::Send(Body::Submit(task.plan.submit.clone()), None)).is_ok() {
            self.setup.totals.borrow_mut().submitted += 1;
            (task.submitted_at, task.phase, task.planner) =
                (now, Phase::Submitted(now + task.plan.limit_us), Some(planner));
        }
    }

    /// Connects if there is no connection, gives up overdue requests, and submits the tasks whose
    /// wait is over.
    async fn tick(&mut self, events: &mpsc::Sender<(u64, LinkEvent)>) {
        let now = self.now();
        if self.commands.is_none() && now >= self.connect_at {
            self.connect(events).await;
        }
        let mut due = Vec::new();
        for (key, task) in &self.tasks {
            match task.phase {
                Phase::Submitted(until) if now >= until + ANSWER_GRACE_US => due.push((key.clone(), true)),
                Phase::Waiting(until) if now >= until => due.push((key.clone(), false)),
                _ => {}
            }
        }
        for (key, overdue) in due {
            if overdue {
                self.withdraw(&key);
                self.retry(&key, 0);
            } else {
                self.submit(&key);
            }
        }
    }

    /// Gives up a request, and sends its withdrawal to the planner if there is a connection.
    fn withdraw(&mut self, key: &str) {
        let Some(task) = self.tasks.get(key) else { return };
        let body = wire::Withdraw { key: key.to_owned(), ask: task.plan.submit.ask };
        match (&self.commands, &task.planner) {
            (Some(commands), _) => {
                let _ = commands.try_send(LinkCommand::Send(Body::Withdraw(body), None));
            }
            // Without a connection no answer can arrive, so the checker expects none.
            (None, Some(planner)) => self.setup.context.checker.borrow_mut().client_disconnected(
                planner,
                key,
                task.plan.submit.ask,
            ),
            (None, None) => {}
        }
        self.setup.totals.borrow_mut().given_up += 1;
    }

    /// Schedules the next request of a task, at least `min_wait_us` from now. Drops the task if all
    /// its requests are used up.
    fn retry(&mut self, key: &str, min_wait_us: i64) {
        let (now, random_wait_us) = (self.now(), self.rng.random_range(300_000..900_000));
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.attempts_left = task.attempts_left.saturating_sub(1);
        task.phase = Phase::Waiting(now + min_wait_us.max(random_wait_us));
        if task.attempts_left == 0 {
            self.tasks.remove(key);
            self.setup.totals.borrow_mut().unplaced += 1;
        }
    }

    /// Connects to the current planner, and selects the next planner after too many failures in a
    /// row.
    async fn connect(&mut self, events: &mpsc::Sender<(u64, LinkEvent)>) {
        let address = self.setup.addresses.borrow()[self.planner].clone();
        let clock = self.setup.context.clock;
        self.connect_at = self.now() + CONNECT_EVERY_US;
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await else {
            self.failures += 1;
            if self.failures >= self.setup.context.behaviour.client_connect_attempts {
                // The planner does not accept connections, so the next attempt goes to the next
                // planner.
                (self.planner, self.failures) = ((self.planner + 1) % self.setup.addresses.borrow().len(), 0);
            }
            return;
        };
        self.failures = 0;
        let _ = stream.set_nodelay(true);
        self.connection += 1;
        let connection = self.connection;
        let (outer, inner) = tokio::io::duplex(64 * 1024);
        let (commands, inbox) = mpsc::channel(4096);
        let context = self.setup.context.clone();
        let observe = move |hello: &wire::Hello, observation: LinkObservation| {
            let planner = (hello.name.clone(), hello.epoch);
            let (mut checker, now) = (context.checker.borrow_mut(), context.clock.now());
            match observation {
                LinkObservation::Sent { body: Body::Submit(submit) } => {
                    checker.client_sent(now, &planner, submit)
                }
                LinkObservation::Sent { body: Body::Withdraw(withdraw) } => {
                    checker.client_withdrew(&planner, &withdraw.key, withdraw.ask)
                }
                LinkObservation::SocketRead { body, .. } => checker.client_received(now, &planner, body),
                _ => {}
            }
        };
        tokio::task::spawn_local(faulty_link::forward(
            stream,
            inner,
            connection,
            Rc::new(FaultInjection::default()),
            clock,
            observe,
        ));
        let identity = PeerIdentity {
            role: Role::Owner,
            name: format!("owner-{}", self.setup.number),
            epoch: 1,
            link: connection,
            login: self.setup.login.clone(),
        };
        let to = events.clone();
        tokio::task::spawn_local(link::run(
            outer,
            link::LinkContext::new(identity, clock),
            inbox,
            to,
            move |event| (connection, event),
        ));
        self.commands = Some(commands);
    }

    /// Handles an event of the current connection.
    fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(peer)) => self.planner_connected((peer.name, peer.epoch)),
            LinkEvent::Session(SessionEvent::Frame(Body::Answer(answer))) => self.answered(answer),
            LinkEvent::Session(SessionEvent::Frame(Body::Life(event))) => self.lifecycle(event),
            LinkEvent::Ended { .. } => {
                (self.commands, self.connect_at) = (None, self.now() + RECONNECT_AFTER_US);
                self.incarnation = None;
            }
            LinkEvent::Session(_) => {}
        }
    }

    /// Settles the open tasks after a planner's hello. A request that this incarnation of the
    /// planner already has is sent again under the same request id. A request that another
    /// incarnation had may still run, so its task gets a new request only after the time in which
    /// the attempt has surely ended.
    fn planner_connected(&mut self, planner: Incarnation) {
        self.incarnation = Some(planner.clone());
        let now = self.now();
        let keys: Vec<String> = self.tasks.keys().cloned().collect();
        for key in keys {
            let task = self.tasks.get_mut(&key).expect("the key was just read from this map");
            let same = task.planner.as_ref() == Some(&planner);
            match task.phase {
                Phase::Submitted(until) if same && until > now => {
                    task.plan.submit.time_left_us = until - now;
                    if let Some(commands) = &self.commands {
                        let _ = commands
                            .try_send(LinkCommand::Send(Body::Submit(task.plan.submit.clone()), None));
                    }
                }
                Phase::Submitted(_) if !same => {
                    if let Some(previous) = &task.planner {
                        self.setup.context.checker.borrow_mut().client_disconnected(
                            previous,
                            &key,
                            task.plan.submit.ask,
                        );
                    }
                    let wait_us = if task.plan.repeatable { 0 } else { self.setup.settle_us };
                    self.retry(&key, wait_us);
                }
                Phase::Placed if !same => {
                    // The task runs on, but this client will not learn of its end, so it counts as
                    // completed.
                    self.tasks.remove(&key);
                    self.setup.totals.borrow_mut().completed += 1;
                }
                Phase::Waiting(until) if until <= now => self.submit(&key),
                _ => {}
            }
        }
    }

    /// Handles the answer to a request; ignores answers to requests that are not open.
    fn answered(&mut self, answer: wire::Answer) {
        let now = self.now();
        let Some(task) = self.tasks.get_mut(&answer.key).filter(|task| task.plan.submit.ask == answer.ask)
        else {
            return;
        };
        if !matches!(task.phase, Phase::Submitted(_)) {
            return;
        }
        if let Some(directory) = &*self.setup.context.directory.borrow() {
            directory.check_answer(task.submitted_at, &self.setup.login, &answer);
        }
        match AnswerKind::try_from(answer.kind) {
            Ok(AnswerKind::Placed) => {
                task.phase = Phase::Placed;
                let took = (now - task.submitted_at).max(1) as u64;
                self.setup.totals.borrow_mut().placed_us.saturating_record(took);
            }
            Ok(AnswerKind::Declined) => self.retry(&answer.key, answer.retry_after_us),
            _ => self.retry(&answer.key, self.setup.settle_us),
        }
    }

    /// Handles the end, loss or eviction of a placed task.
    fn lifecycle(&mut self, event: wire::Life) {
        let Some(task) = self.tasks.get(&event.key).filter(|task| task.plan.submit.ask == event.ask) else {
            return;
        };
        let repeatable = task.plan.repeatable;
        match LifeHow::try_from(event.how) {
            Ok(LifeHow::LifeEnded | LifeHow::LifeStopped) => {
                self.tasks.remove(&event.key);
                self.setup.totals.borrow_mut().completed += 1;
            }
            Ok(LifeHow::LifeLost) => {
                self.setup.totals.borrow_mut().lost += 1;
                self.retry(&event.key, if repeatable { 0 } else { self.setup.settle_us });
            }
            _ => self.retry(&event.key, 0),
        }
    }
}
