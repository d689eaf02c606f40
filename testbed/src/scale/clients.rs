//! Clients of an open load: requests come by the clock, whatever became of those before, and a wait before
//! sending counts. Each connection asks one planner, and turns to the next when it does not answer.
use super::traffic::{CountingStream, Traffic};
use basaltpitch_agent::link::{self, Clock, LinkCommand, LinkEvent};
use basaltpitch_agent::session::{PeerIdentity, SessionEvent};
use basaltpitch_agent::wire::{self, AnswerKind, Body, LifeHow, Role, Submit};
use hdrhistogram::Histogram;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// A framework that is asked for: its part of all tasks, what one is worth, and its times in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct FrameworkLoad {
    pub name: &'static str,
    pub part: f64,
    pub value: f64,
    pub goal_us: i64,
    pub limit_us: i64,
    pub cores: f64,
    pub memory: f64,
}

#[derive(Clone, Debug)]
pub struct ClientsConfig {
    /// Where planners listen, and how many of them are asked at first, each on a connection of its own.
    pub planners: Vec<String>,
    pub conns: usize,
    /// Of all tasks together, a second; and how long a task runs on average, in seconds.
    pub rate: f64,
    pub runs_s: f64,
    pub frameworks: Vec<FrameworkLoad>,
    pub tenants: usize,
    /// One request in so many is for `many` tasks at once.
    pub one_in: u32,
    pub many: u32,
    pub seed: u64,
}

#[derive(Debug)]
pub enum ClientsCommand {
    Tell,
    /// What was measured before is forgotten: the window begins.
    Begin,
    /// Nothing is asked for any more; what is open is waited for.
    Stop,
}

/// Time that an answer may come after the limit, and between tries of a planner, in microseconds.
const GRACE: i64 = 2_000_000;
const AGAIN: u64 = 50;

struct Open {
    due: i64,
    framework: usize,
    /// Who was asked, and the link it was asked on.
    conn: usize,
    link: u64,
}

/// What came of the tasks of one framework.
struct Seen {
    started: Histogram<u64>,
    counts: Counts,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    asked: u64,
    placed: u64,
    declined: u64,
    aborted: u64,
    /// No answer by the limit; and the planner was gone.
    unanswered: u64,
    cut: u64,
    lost: u64,
    /// Answers beyond the one.
    again: u64,
    value: f64,
}

impl Seen {
    fn new() -> Self {
        let started = Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds that are in order");
        Seen { started, counts: Counts::default() }
    }
}

struct Conn {
    orders: Option<mpsc::Sender<LinkCommand>>,
    link: u64,
    /// Who answers, and what this link carried.
    planner: String,
    traffic: Rc<RefCell<Traffic>>,
    /// What no planner has taken yet.
    waits: VecDeque<Submit>,
}

enum In {
    Up(usize, u64, mpsc::Sender<LinkCommand>, Rc<RefCell<Traffic>>),
    News(usize, u64, LinkEvent),
}

struct Load {
    plan: ClientsConfig,
    clock: Clock,
    chance: fastrand::Rng,
    conns: Vec<Conn>,
    seen: Vec<Seen>,
    open: BTreeMap<u64, Open>,
    /// Tasks that were answered, so that a second answer is seen: the newest ones.
    answered: HashMap<u64, AnswerKind>,
    order: VecDeque<u64>,
    number: u64,
    late: Histogram<u64>,
    /// By planner: what links that ended carried.
    past: BTreeMap<String, Traffic>,
    begun: i64,
}

const REMEMBERS: usize = 200_000;

/// Asks until `words` ends; answers go to `out`.
pub async fn run(plan: ClientsConfig, mut words: mpsc::Receiver<ClientsCommand>, out: impl Fn(Value)) {
    let clock = Clock::start();
    let (news, mut heard) = mpsc::channel(4096);
    for c in 0..plan.conns {
        tokio::task::spawn_local(keep(c, plan.planners.clone(), plan.seed, clock, news.clone()));
    }
    let conn = |_| Conn {
        orders: None,
        link: 0,
        planner: String::new(),
        traffic: Rc::default(),
        waits: VecDeque::new(),
    };
    let conns = (0..plan.conns).map(conn);
    let mut load = Load {
        conns: conns.collect(),
        clock,
        chance: fastrand::Rng::with_seed(plan.seed),
        seen: plan.frameworks.iter().map(|_| Seen::new()).collect(),
        open: BTreeMap::new(),
        answered: HashMap::new(),
        order: VecDeque::new(),
        number: 0,
        late: Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds that are in order"),
        past: BTreeMap::new(),
        begun: clock.now(),
        plan,
    };
    let mut due = clock.now();
    let mut asks = load.plan.rate > 0.0;
    let mut sweeps = tokio::time::interval(Duration::from_millis(250));
    loop {
        let wake = if asks { due } else { clock.now() + 3_600_000_000 };
        tokio::select! {
            word = words.recv() => match word {
                Some(ClientsCommand::Tell) => out(load.view()),
                Some(ClientsCommand::Begin) => load.begin(),
                Some(ClientsCommand::Stop) => asks = false,
                None => return,
            },
            Some(news) = heard.recv() => load.hear(news),
            _ = sweeps.tick() => load.sweep(),
            () = tokio::time::sleep_until(clock.at(wake)) => {
                while asks && due <= clock.now() {
                    load.request(due);
                    due += load.gap();
                }
            }
        }
    }
}

impl Load {
    /// Time until the next request, in microseconds.
    fn gap(&mut self) -> i64 {
        let one = 1.0 / f64::from(self.plan.one_in.max(1));
        let tasks = 1.0 - one + one * f64::from(self.plan.many.max(1));
        let mean = tasks / self.plan.rate * 1e6;
        (-(1.0 - self.chance.f64()).ln() * mean) as i64
    }

    fn request(&mut self, due: i64) {
        let many = if self.chance.u32(0..self.plan.one_in.max(1)) == 0 { self.plan.many } else { 1 };
        // The tasks of one request are of one framework, tenant and service, and go to one planner.
        let mut drawn = self.chance.f64() * self.plan.frameworks.iter().map(|f| f.part).sum::<f64>();
        let pick = self.plan.frameworks.iter().position(|f| {
            drawn -= f.part;
            drawn < 0.0
        });
        let framework = pick.unwrap_or(0);
        let f = self.plan.frameworks[framework];
        let (conn, tenant) =
            (self.chance.usize(0..self.conns.len()), self.chance.usize(0..self.plan.tenants.max(1)));
        let service = 1 + framework as u64 * 1000 + self.chance.u64(0..40);
        for _ in 0..many.max(1) {
            self.number += 1;
            let runs_s = -(1.0 - self.chance.f64()).ln() * self.plan.runs_s;
            let submit = Submit {
                key: format!("{}/{}", self.plan.seed, self.number),
                ask: 1,
                framework: f.name.into(),
                tenant: format!("tenant-{tenant}"),
                service,
                cores: f.cores,
                memory: f.memory,
                runs_for_us: (runs_s * 1e6) as i64 + 50_000,
                time_left_us: f.limit_us,
            };
            self.seen[framework].counts.asked += 1;
            self.open.insert(self.number, Open { due, framework, conn, link: 0 });
            self.conns[conn].waits.push_back(submit);
        }
        self.late.saturating_record((self.clock.now() - due).max(1) as u64);
        self.send(conn);
    }

    fn send(&mut self, c: usize) {
        let now = self.clock.now();
        let conn = &mut self.conns[c];
        let Some(orders) = &conn.orders else { return };
        while let Some(mut submit) = conn.waits.pop_front() {
            let number = number_of(&submit.key);
            let Some(open) = self.open.get_mut(&number) else { continue };
            submit.time_left_us = open.due + self.plan.frameworks[open.framework].limit_us - now;
            if submit.time_left_us <= 0 {
                continue;
            }
            if let Err(e) = orders.try_send(LinkCommand::Send(Body::Submit(submit), None)) {
                if let mpsc::error::TrySendError::Full(LinkCommand::Send(Body::Submit(submit), _)) = e {
                    conn.waits.push_front(submit);
                }
                return;
            }
            open.link = conn.link;
        }
    }

    fn hear(&mut self, news: In) {
        match news {
            In::Up(c, link, orders, traffic) => {
                let conn = &mut self.conns[c];
                (conn.orders, conn.link, conn.traffic) = (Some(orders), link, traffic);
                self.send(c);
            }
            In::News(c, link, LinkEvent::Session(SessionEvent::Up(party))) if link == self.conns[c].link => {
                self.conns[c].planner = party.name;
            }
            In::News(c, link, LinkEvent::Session(SessionEvent::Frame(body)))
                if link == self.conns[c].link =>
            {
                match body {
                    Body::Answer(a) => self.answer(a),
                    Body::Life(l) => self.life(l),
                    _ => {}
                }
            }
            In::News(c, link, LinkEvent::Ended { .. }) if link == self.conns[c].link => {
                let conn = &mut self.conns[c];
                conn.orders = None;
                let carried = conn.traffic.take();
                self.past.entry(conn.planner.clone()).or_default().add(&carried);
                // What was asked of it may run; its answer can come no more.
                let cut: Vec<u64> = self
                    .open
                    .iter()
                    .filter(|o| (o.1.conn, o.1.link) == (c, link) && link > 0)
                    .map(|o| *o.0)
                    .collect();
                for number in cut {
                    if let Some(open) = self.open.remove(&number) {
                        self.seen[open.framework].counts.cut += 1;
                    }
                }
            }
            In::News(..) => {}
        }
    }

    fn answer(&mut self, a: wire::Answer) {
        let (now, number) = (self.clock.now(), number_of(&a.key));
        let kind = AnswerKind::try_from(a.kind).unwrap_or(AnswerKind::AnswerUnknown);
        let Some(open) = self.open.remove(&number) else {
            if self.answered.contains_key(&number) {
                self.seen[0].counts.again += 1;
            }
            return;
        };
        let f = self.plan.frameworks[open.framework];
        let seen = &mut self.seen[open.framework];
        let took = now - open.due;
        match kind {
            AnswerKind::Placed => {
                seen.counts.placed += 1;
                seen.started.saturating_record(took.max(1) as u64);
                // In full up to the goal, nothing from the limit on.
                let late = (took - f.goal_us) as f64 / (f.limit_us - f.goal_us).max(1) as f64;
                seen.counts.value += f.value * (1.0 - late).clamp(0.0, 1.0);
            }
            AnswerKind::Declined => seen.counts.declined += 1,
            _ => seen.counts.aborted += 1,
        }
        self.answered.insert(number, kind);
        self.order.push_back(number);
        while self.order.len() > REMEMBERS {
            if let Some(old) = self.order.pop_front() {
                self.answered.remove(&old);
            }
        }
    }

    fn life(&mut self, l: wire::Life) {
        self.seen[0].counts.lost += u64::from(LifeHow::try_from(l.how) == Ok(LifeHow::LifeLost));
    }

    /// Of what is open beyond its limit no answer is waited for.
    fn sweep(&mut self) {
        let now = self.clock.now();
        let over = |o: &Open| o.due + self.plan.frameworks[o.framework].limit_us + GRACE < now;
        let all: Vec<u64> = self.open.iter().filter(|o| over(o.1)).map(|o| *o.0).collect();
        for number in all {
            if let Some(open) = self.open.remove(&number) {
                self.seen[open.framework].counts.unanswered += 1;
            }
        }
        (0..self.conns.len()).for_each(|c| self.send(c));
    }

    fn begin(&mut self) {
        self.begun = self.clock.now();
        self.late.reset();
        // What was asked before the window counts for nothing, whenever it is answered.
        self.open.clear();
        self.conns.iter_mut().for_each(|c| c.waits.clear());
        self.seen.iter_mut().for_each(|s| *s = Seen::new());
    }

    fn view(&self) -> Value {
        let ms = |us: u64| us as f64 / 1000.0;
        let row = |name: &str, h: &Histogram<u64>, c: &Counts| {
            // Of none placed there is no time.
            let at = |q: f64| (!h.is_empty()).then(|| ms(h.value_at_quantile(q)));
            json!({"framework": name, "asked": c.asked, "placed": c.placed, "declined": c.declined,
                "aborted": c.aborted, "unanswered": c.unanswered, "cut": c.cut, "lost": c.lost,
                "answered_again": c.again, "value": (c.value * 10.0).round() / 10.0,
                "p50_ms": at(0.5), "p99_ms": at(0.99), "p99.9_ms": at(0.999), "most_ms": at(1.0)})
        };
        let mut all = Seen::new();
        for s in &self.seen {
            let _ = all.started.add(&s.started);
            let (a, c) = (&mut all.counts, &s.counts);
            (a.asked, a.placed, a.declined) =
                (a.asked + c.asked, a.placed + c.placed, a.declined + c.declined);
            (a.aborted, a.unanswered) = (a.aborted + c.aborted, a.unanswered + c.unanswered);
            (a.cut, a.lost, a.again) = (a.cut + c.cut, a.lost + c.lost, a.again + c.again);
            a.value += c.value;
        }
        let mut rows: Vec<Value> = self
            .seen
            .iter()
            .zip(&self.plan.frameworks)
            .map(|(s, f)| row(f.name, &s.started, &s.counts))
            .collect();
        rows.push(row("all", &all.started, &all.counts));
        let mut by = self.past.clone();
        for conn in &self.conns {
            by.entry(conn.planner.clone()).or_default().add(&conn.traffic.borrow());
        }
        let by: serde_json::Map<String, Value> = by.iter().map(|(p, t)| (p.clone(), t.view())).collect();
        let seconds = (self.clock.now() - self.begun) as f64 / 1e6;
        json!({"frameworks": rows, "open": self.open.len(), "seconds": (seconds * 1000.0).round() / 1000.0,
            "sent_late_p99.9_ms": ms(self.late.value_at_quantile(0.999)), "planners": by})
    }
}

fn number_of(key: &str) -> u64 {
    key.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Keeps a connection to a planner: first the one of its number, then the next that answers.
async fn keep(c: usize, planners: Vec<String>, seed: u64, clock: Clock, news: mpsc::Sender<In>) {
    for (at, link) in (c..).zip(1u64..) {
        let dialled = TcpStream::connect(&planners[at % planners.len()]);
        if let Ok(Ok(stream)) = tokio::time::timeout(Duration::from_millis(250), dialled).await {
            let (orders, inbox) = mpsc::channel(4096);
            let me = PeerIdentity {
                role: Role::Owner,
                name: format!("client-{seed}-{c}"),
                epoch: 1,
                link,
                login: String::new(),
            };
            let traffic: Rc<RefCell<Traffic>> = Rc::default();
            if news.send(In::Up(c, link, orders, traffic.clone())).await.is_err() {
                return;
            }
            let stream = CountingStream::new(stream, Rc::new(Cell::new(false)), traffic);
            link::run(stream, link::LinkContext::new(me, clock), inbox, news.clone(), move |n| {
                In::News(c, link, n)
            })
            .await;
        }
        tokio::time::sleep(Duration::from_millis(AGAIN)).await;
    }
}
