//! Simulated clients: they submit tasks, wait as long as they said, submit again after a rejection or a loss,
//! make sure before they submit again what must not run twice, and turn to another planner when theirs does
//! not answer.
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

/// Time after its limit until a client gives a request up, in microseconds.
const ANSWER_GRACE_US: i64 = 2_000_000;
/// Time between attempts to connect, and from a connection's end to the next attempt, in microseconds.
const CONNECT_EVERY_US: i64 = 100_000;
const RECONNECT_AFTER_US: i64 = 20_000;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a client looks at what is due.
const TICK: Duration = Duration::from_millis(10);

/// A task that a client is to place.
#[derive(Clone, Debug)]
pub struct SubmitPlan {
    /// What is submitted.
    pub submit: Submit,
    /// The tenant, as the scenario's file names it.
    pub tenant: String,
    /// Time that an answer may take, in microseconds.
    pub limit_us: i64,
    /// Whether the task may run twice.
    pub repeatable: bool,
    /// Requests that are submitted for it, at most.
    pub attempts: u32,
}

/// What all clients of a scenario saw.
pub struct ClientTotals {
    /// From requests to their answers "placed", in microseconds.
    pub placed_us: Histogram<u64>,
    /// Tasks that ran to their end.
    pub completed: u64,
    /// Tasks that were lost while they ran.
    pub lost: u64,
    /// Requests that were given up.
    pub given_up: u64,
    /// Requests that were submitted.
    pub submitted: u64,
    /// Tasks that were never placed.
    pub unplaced: u64,
}

impl Default for ClientTotals {
    fn default() -> Self {
        let placed_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are in order");
        ClientTotals { placed_us, completed: 0, lost: 0, given_up: 0, submitted: 0, unplaced: 0 }
    }
}

/// Where planners are reached now, by their numbers.
pub type PlannerAddresses = Rc<RefCell<Vec<String>>>;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// Waits for an answer until then.
    Submitted(i64),
    /// Submits a new request at that time.
    Waiting(i64),
    Placed,
}

struct Task {
    plan: SubmitPlan,
    submitted_at: i64,
    attempts_left: u32,
    phase: Phase,
    /// The incarnation of a planner that has the request.
    planner: Option<Incarnation>,
}

/// What a client is started with.
pub struct ClientSetup {
    /// What all peers share.
    pub context: Rc<TestbedContext>,
    /// The login that it is known by.
    pub login: String,
    /// Where planners are reached.
    pub addresses: PlannerAddresses,
    /// Where it counts what it saw.
    pub totals: Rc<RefCell<ClientTotals>>,
    /// Its number; it turns to the planner of this number first.
    pub number: u64,
    /// Where its chance starts from.
    pub seed: u64,
    /// After this time a lost task that must not run twice is sure to have ended, in microseconds.
    pub settle_us: i64,
}

struct SimulatedClient {
    setup: ClientSetup,
    chance: StdRng,
    /// The planner that it turns to, and connections to it that failed.
    planner: usize,
    failures: u32,
    connection: u64,
    orders: Option<mpsc::Sender<LinkCommand>>,
    incarnation: Option<Incarnation>,
    connect_at: i64,
    tasks: BTreeMap<String, Task>,
}

/// Starts a client; tasks go into what it returns.
pub fn start(setup: ClientSetup) -> mpsc::Sender<SubmitPlan> {
    let (plans, inbox) = mpsc::channel(4096);
    let planner = setup.number as usize % setup.addresses.borrow().len();
    let client = SimulatedClient {
        chance: StdRng::seed_from_u64(setup.seed),
        setup,
        planner,
        failures: 0,
        connection: 0,
        orders: None,
        incarnation: None,
        connect_at: 0,
        tasks: BTreeMap::new(),
    };
    tokio::task::spawn_local(client.run(inbox));
    plans
}

impl SimulatedClient {
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

    /// Submits a request for a task, if a planner is there.
    fn submit(&mut self, key: &str) {
        let now = self.now();
        let (Some(orders), Some(planner)) = (&self.orders, self.incarnation.clone()) else { return };
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.plan.submit.ask += 1;
        task.plan.submit.time_left_us = task.plan.limit_us;
        if let Some(directory) = &*self.setup.context.directory.borrow() {
            task.plan.submit.tenant = directory.current_name(&task.plan.tenant);
        }
        if orders.try_send(LinkCommand::Send(Body::Submit(task.plan.submit.clone()), None)).is_ok() {
            self.setup.totals.borrow_mut().submitted += 1;
            (task.submitted_at, task.phase, task.planner) =
                (now, Phase::Submitted(now + task.plan.limit_us), Some(planner));
        }
    }

    async fn tick(&mut self, events: &mpsc::Sender<(u64, LinkEvent)>) {
        let now = self.now();
        if self.orders.is_none() && now >= self.connect_at {
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

    fn withdraw(&mut self, key: &str) {
        let Some(task) = self.tasks.get(key) else { return };
        let body = wire::Withdraw { key: key.to_owned(), ask: task.plan.submit.ask };
        match (&self.orders, &task.planner) {
            (Some(orders), _) => {
                let _ = orders.try_send(LinkCommand::Send(Body::Withdraw(body), None));
            }
            // No connection, so no answer can come.
            (None, Some(planner)) => self.setup.context.checker.borrow_mut().client_disconnected(
                planner,
                key,
                task.plan.submit.ask,
            ),
            (None, None) => {}
        }
        self.setup.totals.borrow_mut().given_up += 1;
    }

    /// Submits a new request later, after `least_us`, until all attempts are used up.
    fn retry(&mut self, key: &str, least_us: i64) {
        let (now, rest) = (self.now(), self.chance.random_range(300_000..900_000));
        let Some(task) = self.tasks.get_mut(key) else { return };
        task.attempts_left = task.attempts_left.saturating_sub(1);
        task.phase = Phase::Waiting(now + least_us.max(rest));
        if task.attempts_left == 0 {
            self.tasks.remove(key);
            self.setup.totals.borrow_mut().unplaced += 1;
        }
    }

    async fn connect(&mut self, events: &mpsc::Sender<(u64, LinkEvent)>) {
        let address = self.setup.addresses.borrow()[self.planner].clone();
        let clock = self.setup.context.clock;
        self.connect_at = self.now() + CONNECT_EVERY_US;
        let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(&address)).await else {
            self.failures += 1;
            if self.failures >= self.setup.context.behaviour.client_connect_attempts {
                // A planner that does not answer is given up.
                (self.planner, self.failures) = ((self.planner + 1) % self.setup.addresses.borrow().len(), 0);
            }
            return;
        };
        self.failures = 0;
        let _ = stream.set_nodelay(true);
        self.connection += 1;
        let connection = self.connection;
        let (outer, inner) = tokio::io::duplex(64 * 1024);
        let (orders, inbox) = mpsc::channel(4096);
        let context = self.setup.context.clone();
        let show = move |hello: &wire::Hello, seen: LinkObservation| {
            let planner = (hello.name.clone(), hello.epoch);
            let (mut checker, now) = (context.checker.borrow_mut(), context.clock.now());
            match seen {
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
        tokio::task::spawn_local(faulty_link::carry(
            stream,
            inner,
            connection,
            Rc::new(FaultInjection::default()),
            clock,
            show,
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
        self.orders = Some(orders);
    }

    fn link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Session(SessionEvent::Up(party)) => self.planner_connected((party.name, party.epoch)),
            LinkEvent::Session(SessionEvent::Frame(Body::Answer(answer))) => self.answered(answer),
            LinkEvent::Session(SessionEvent::Frame(Body::Life(event))) => self.lifecycle(event),
            LinkEvent::Ended { .. } => {
                (self.orders, self.connect_at) = (None, self.now() + RECONNECT_AFTER_US);
                self.incarnation = None;
            }
            LinkEvent::Session(_) => {}
        }
    }

    /// A planner is there. What the same incarnation of it has is submitted again under the same number; what
    /// another had may run, and gets a new request once that is sure.
    fn planner_connected(&mut self, planner: Incarnation) {
        self.incarnation = Some(planner.clone());
        let now = self.now();
        let keys: Vec<String> = self.tasks.keys().cloned().collect();
        for key in keys {
            let task = self.tasks.get_mut(&key).expect("just listed");
            let same = task.planner.as_ref() == Some(&planner);
            match task.phase {
                Phase::Submitted(until) if same && until > now => {
                    task.plan.submit.time_left_us = until - now;
                    if let Some(orders) = &self.orders {
                        let _ =
                            orders.try_send(LinkCommand::Send(Body::Submit(task.plan.submit.clone()), None));
                    }
                }
                Phase::Submitted(_) if !same => {
                    if let Some(of) = &task.planner {
                        self.setup.context.checker.borrow_mut().client_disconnected(
                            of,
                            &key,
                            task.plan.submit.ask,
                        );
                    }
                    let wait = if task.plan.repeatable { 0 } else { self.setup.settle_us };
                    self.retry(&key, wait);
                }
                Phase::Placed if !same => {
                    // It runs on without its client, as far as this client can know.
                    self.tasks.remove(&key);
                    self.setup.totals.borrow_mut().completed += 1;
                }
                Phase::Waiting(until) if until <= now => self.submit(&key),
                _ => {}
            }
        }
    }

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
