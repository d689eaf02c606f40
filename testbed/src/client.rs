//! Stand-in owners: they ask for tasks, wait as long as they said, ask again after a refusal or a loss, make
//! sure before they ask again for what must not run twice, and turn to another planner when theirs does not
//! answer.
use crate::faulty_link::{self, FaultInjection, LinkObservation};
use crate::machine::TestbedContext;
use basaltpitch_agent::link::{self, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, LifeHow, Role, Submit};
use basaltpitch_invariants::Incarnation;
use hdrhistogram::Histogram;
use rand::{rngs::StdRng, Rng, SeedableRng};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A task that an owner wants.
#[derive(Clone, Debug)]
pub struct SubmitPlan {
    pub submit: Submit,
    /// As the day's file names it.
    pub tenant: String,
    pub limit_us: i64,
    pub repeatable: bool,
    pub tries: u32,
}

/// What all owners of a day saw.
pub struct ClientTotals {
    pub placed_us: Histogram<u64>,
    pub done: u64,
    pub lost: u64,
    pub given_up: u64,
    pub asked: u64,
    pub unplaced: u64,
}

impl Default for ClientTotals {
    fn default() -> Self {
        let placed_us = Histogram::new_with_bounds(1, 60_000_000, 3).expect("bounds that are in order");
        ClientTotals { placed_us, done: 0, lost: 0, given_up: 0, asked: 0, unplaced: 0 }
    }
}

/// Where planners are reached now.
pub type PlannerAddresses = Rc<RefCell<Vec<String>>>;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// Waits for an answer until then.
    Asking(i64),
    /// Asks anew at that time.
    Resting(i64),
    Placed,
}

struct Work {
    wish: SubmitPlan,
    asked_at: i64,
    tries: u32,
    phase: Phase,
    /// Was asked of this life of a planner.
    of: Option<Incarnation>,
}

struct SimulatedClient {
    number: u64,
    login: String,
    world: Rc<TestbedContext>,
    front: PlannerAddresses,
    seens: Rc<RefCell<ClientTotals>>,
    chance: StdRng,
    settle_us: i64,
    planner: usize,
    fails: u32,
    conn: u64,
    orders: Option<mpsc::Sender<LinkCommand>>,
    life: Rc<RefCell<Option<Incarnation>>>,
    retry_at: i64,
    works: BTreeMap<String, Work>,
}

/// Starts an owner, known by a login, that first turns to the planner of its number.
pub fn start(
    world: Rc<TestbedContext>,
    login: &str,
    front: PlannerAddresses,
    seens: Rc<RefCell<ClientTotals>>,
    number: u64,
    seed: u64,
    settle_us: i64,
) -> mpsc::Sender<SubmitPlan> {
    let (wishes, inbox) = mpsc::channel(4096);
    let planner = number as usize % front.borrow().len();
    let owner = SimulatedClient {
        number,
        login: login.to_owned(),
        world,
        front,
        seens,
        chance: StdRng::seed_from_u64(seed),
        settle_us,
        planner,
        fails: 0,
        conn: 0,
        orders: None,
        life: Rc::new(RefCell::new(None)),
        retry_at: 0,
        works: BTreeMap::new(),
    };
    tokio::task::spawn_local(owner.run(inbox));
    wishes
}

impl SimulatedClient {
    async fn run(mut self, mut inbox: mpsc::Receiver<SubmitPlan>) {
        let (news, mut heard) = mpsc::channel::<(u64, LinkEvent)>(1024);
        let mut tick = tokio::time::interval(std::time::Duration::from_millis(10));
        loop {
            tokio::select! {
                wish = inbox.recv() => match wish {
                    Some(wish) => self.want(wish),
                    None => return,
                },
                Some((conn, n)) = heard.recv() => if conn == self.conn {
                    self.hear(n);
                },
                _ = tick.tick() => self.tick(&news).await,
            }
        }
    }

    fn now(&self) -> i64 {
        self.world.clock.now()
    }

    fn want(&mut self, wish: SubmitPlan) {
        let key = wish.submit.key.clone();
        let work = Work { tries: wish.tries, wish, asked_at: 0, phase: Phase::Resting(0), of: None };
        self.works.insert(key.clone(), work);
        self.ask(&key);
    }

    /// Asks for a task, if a planner is there and it is time.
    fn ask(&mut self, key: &str) {
        let now = self.now();
        let (Some(orders), Some(life)) = (&self.orders, self.life.borrow().clone()) else { return };
        let Some(work) = self.works.get_mut(key) else { return };
        work.wish.submit.ask += 1;
        work.wish.submit.time_left_us = work.wish.limit_us;
        if let Some(feast) = &*self.world.directory.borrow() {
            work.wish.submit.tenant = feast.called(&work.wish.tenant);
        }
        if orders.try_send(LinkCommand::Send(Body::Submit(work.wish.submit.clone()), None)).is_ok() {
            self.seens.borrow_mut().asked += 1;
            (work.asked_at, work.phase, work.of) = (now, Phase::Asking(now + work.wish.limit_us), Some(life));
        }
    }

    async fn tick(&mut self, news: &mpsc::Sender<(u64, LinkEvent)>) {
        let now = self.now();
        if self.orders.is_none() && now >= self.retry_at {
            self.connect(news).await;
        }
        let grace = 2_000_000;
        let mut due = Vec::new();
        for (key, work) in &self.works {
            match work.phase {
                Phase::Asking(until) if now >= until + grace => due.push((key.clone(), true)),
                Phase::Resting(until) if now >= until => due.push((key.clone(), false)),
                _ => {}
            }
        }
        for (key, overdue) in due {
            if overdue {
                self.take_back(&key);
                self.again(&key, 0);
            } else {
                self.ask(&key);
            }
        }
    }

    fn take_back(&mut self, key: &str) {
        let Some(work) = self.works.get(key) else { return };
        let body = wire::Withdraw { key: key.to_owned(), ask: work.wish.submit.ask };
        match (&self.orders, &work.of) {
            (Some(orders), _) => {
                let _ = orders.try_send(LinkCommand::Send(Body::Withdraw(body), None));
            }
            // No connection, so no answer can come.
            (None, Some(life)) => {
                self.world.checker.borrow_mut().client_disconnected(life, key, work.wish.submit.ask)
            }
            (None, None) => {}
        }
        self.seens.borrow_mut().given_up += 1;
    }

    /// The owner asks again later, after `least_us`, until its tries are used up.
    fn again(&mut self, key: &str, least_us: i64) {
        let (now, rest) = (self.now(), self.chance.random_range(300_000..900_000));
        let Some(work) = self.works.get_mut(key) else { return };
        work.tries = work.tries.saturating_sub(1);
        work.phase = Phase::Resting(now + least_us.max(rest));
        if work.tries == 0 {
            self.works.remove(key);
            self.seens.borrow_mut().unplaced += 1;
        }
    }

    async fn connect(&mut self, news: &mpsc::Sender<(u64, LinkEvent)>) {
        let address = self.front.borrow()[self.planner].clone();
        let clock = self.world.clock;
        self.retry_at = self.now() + 100_000;
        let within = std::time::Duration::from_millis(100);
        let Ok(Ok(stream)) = tokio::time::timeout(within, TcpStream::connect(&address)).await else {
            self.fails += 1;
            if self.fails >= self.world.behaviour.front_tries {
                // The front gives a planner up that does not answer.
                (self.planner, self.fails) = ((self.planner + 1) % self.front.borrow().len(), 0);
            }
            return;
        };
        self.fails = 0;
        let _ = stream.set_nodelay(true);
        self.conn += 1;
        let conn = self.conn;
        let (outer, inner) = tokio::io::duplex(64 * 1024);
        let (orders, inbox) = mpsc::channel(4096);
        let world = self.world.clone();
        let show = move |hello: &wire::Hello, seen: LinkObservation| {
            let life = (hello.name.clone(), hello.epoch);
            let (mut checker, now) = (world.checker.borrow_mut(), world.clock.now());
            match seen {
                LinkObservation::Wrote { body: Body::Submit(s) } => checker.client_sent(now, &life, s),
                LinkObservation::Wrote { body: Body::Withdraw(w) } => {
                    checker.client_withdrew(&life, &w.key, w.ask)
                }
                LinkObservation::Read { body, .. } => checker.client_received(now, &life, body),
                _ => {}
            }
        };
        tokio::task::spawn_local(faulty_link::carry(
            stream,
            inner,
            conn,
            Rc::new(FaultInjection::default()),
            clock,
            show,
        ));
        let me = PeerIdentity {
            role: Role::Owner,
            name: format!("owner-{}", self.number),
            epoch: 1,
            link: conn,
            login: self.login.clone(),
        };
        let to = news.clone();
        tokio::task::spawn_local(link::run(outer, link::LinkContext::new(me, clock), inbox, to, move |n| {
            (conn, n)
        }));
        self.orders = Some(orders);
    }

    fn hear(&mut self, news: LinkEvent) {
        match news {
            LinkEvent::Session(SessionEvent::Up(party)) => self.meet((party.name, party.epoch)),
            LinkEvent::Session(SessionEvent::Frame(Body::Answer(a))) => self.answered(a),
            LinkEvent::Session(SessionEvent::Frame(Body::Life(l))) => self.life(l),
            LinkEvent::Ended { .. } => {
                (self.orders, self.retry_at) = (None, self.now() + 20_000);
                *self.life.borrow_mut() = None;
            }
            LinkEvent::Session(_) => {}
        }
    }

    /// A planner answers. What was asked of the same life of it is asked for again under the same number;
    /// what was asked of another may run, and is asked anew once that is sure.
    fn meet(&mut self, life: Incarnation) {
        *self.life.borrow_mut() = Some(life.clone());
        let now = self.now();
        let keys: Vec<String> = self.works.keys().cloned().collect();
        for key in keys {
            let work = self.works.get_mut(&key).expect("just listed");
            let same = work.of.as_ref() == Some(&life);
            match work.phase {
                Phase::Asking(until) if same && until > now => {
                    work.wish.submit.time_left_us = until - now;
                    if let Some(orders) = &self.orders {
                        let _ =
                            orders.try_send(LinkCommand::Send(Body::Submit(work.wish.submit.clone()), None));
                    }
                }
                Phase::Asking(_) if !same => {
                    if let Some(of) = &work.of {
                        self.world.checker.borrow_mut().client_disconnected(of, &key, work.wish.submit.ask);
                    }
                    let wait = if work.wish.repeatable { 0 } else { self.settle_us };
                    self.again(&key, wait);
                }
                Phase::Placed if !same => {
                    // It runs on without its owner, as far as this owner can know.
                    self.works.remove(&key);
                    self.seens.borrow_mut().done += 1;
                }
                Phase::Resting(until) if until <= now => self.ask(&key),
                _ => {}
            }
        }
    }

    fn answered(&mut self, a: wire::Answer) {
        let now = self.now();
        let Some(work) = self.works.get_mut(&a.key).filter(|w| w.wish.submit.ask == a.ask) else { return };
        if !matches!(work.phase, Phase::Asking(_)) {
            return;
        }
        if let Some(feast) = &*self.world.directory.borrow() {
            feast.judge(work.asked_at, &self.login, &a);
        }
        match AnswerKind::try_from(a.kind) {
            Ok(AnswerKind::Placed) => {
                work.phase = Phase::Placed;
                let took = (now - work.asked_at).max(1) as u64;
                self.seens.borrow_mut().placed_us.saturating_record(took);
            }
            Ok(AnswerKind::Declined) => self.again(&a.key, a.retry_after_us),
            _ => self.again(&a.key, self.settle_us),
        }
    }

    fn life(&mut self, l: wire::Life) {
        let Some(work) = self.works.get(&l.key).filter(|w| w.wish.submit.ask == l.ask) else { return };
        let repeatable = work.wish.repeatable;
        match LifeHow::try_from(l.how) {
            Ok(LifeHow::LifeEnded | LifeHow::LifeStopped) => {
                self.works.remove(&l.key);
                self.seens.borrow_mut().done += 1;
            }
            Ok(LifeHow::LifeLost) => {
                self.seens.borrow_mut().lost += 1;
                self.again(&l.key, if repeatable { 0 } else { self.settle_us });
            }
            _ => self.again(&l.key, 0),
        }
    }
}
