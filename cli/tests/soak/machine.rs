//! One machine: it answers attempts after a lag that it draws, runs what it took, refuses what does not fit, and
//! fails as its plan says.
use super::plan::{MachineFault, MachinePlan};
use super::trace::{cause, Event, Message, Party, Trace};
use super::wire::harness::{message, ready};
use fastrand::Rng;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

const CORES: usize = 16;
/// Attempts in a hundred that it never answers.
const UNANSWERED_PERCENT: u32 = 2;
const ERROR_PERCENT: u32 = 3;
/// A machine that closes idle connections does so after this.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean time between two resets of a machine that resets, and the time for which one that hangs does.
const RESET_EVERY: Duration = Duration::from_millis(1_500);
const HANG: Duration = Duration::from_millis(2_000);
/// A task runs for at most twice this.
const MEAN_RUN: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, PartialEq)]
enum TaskState {
    Offered,
    Runs,
}

/// A task that was offered or runs, and the connection of its set-up.
struct Held {
    state: TaskState,
    connection: u64,
}

pub struct Machine {
    pub number: usize,
    plan: MachinePlan,
    random: RefCell<Rng>,
    held: RefCell<BTreeMap<String, Held>>,
    /// The connections by number.
    writers: RefCell<BTreeMap<u64, mpsc::UnboundedSender<String>>>,
    last_connection: Cell<u64>,
    pub drains: Cell<bool>,
    pub trace: RefCell<Trace>,
}

impl Machine {
    pub fn new(number: usize, plan: MachinePlan, seed: u64, trace: Trace) -> Rc<Machine> {
        Rc::new(Machine {
            number,
            plan,
            random: RefCell::new(Rng::with_seed(seed)),
            held: RefCell::default(),
            writers: RefCell::default(),
            last_connection: Cell::new(0),
            drains: Cell::new(false),
            trace: RefCell::new(trace),
        })
    }

    fn party(&self) -> Party {
        Party::Machine(self.number)
    }

    fn record(&self, event: Event) {
        self.trace.borrow().add(event);
    }

    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let connection = self.last_connection.get() + 1;
            self.last_connection.set(connection);
            spawn_local(self.clone().converse(stream, connection));
        }
    }

    async fn converse(self: Rc<Self>, stream: TcpStream, connection: u64) {
        self.record(Event::Connected(self.party(), connection));
        let (lines, mut outgoing) = mpsc::unbounded_channel();
        self.writers.borrow_mut().insert(connection, lines);
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read).lines();
        let reset_after = match self.plan.fault {
            MachineFault::Resets => RESET_EVERY.mul_f64(2.0 * self.random.borrow_mut().f64()),
            _ => Duration::from_secs(3_600),
        };
        let resets = sleep(reset_after);
        tokio::pin!(resets);
        let end = loop {
            tokio::select! {
                line = next_line(&mut read, self.idle_timeout()) => match line {
                    ReadLine::Line(line) => self.hear(connection, &line),
                    ReadLine::End => break ConnectionEnd::ByPlanner,
                    ReadLine::Idle => break ConnectionEnd::Idle,
                },
                Some(line) = outgoing.recv() => {
                    if write.write_all(line.as_bytes()).await.is_err() {
                        break ConnectionEnd::ByPlanner;
                    }
                }
                _ = &mut resets => break ConnectionEnd::Reset,
            }
        };
        self.record(match end {
            ConnectionEnd::ByPlanner => Event::EndedByPlanner(self.party(), connection),
            ConnectionEnd::Idle | ConnectionEnd::Reset => Event::EndedByPeer(self.party(), connection),
        });
        if end == ConnectionEnd::Reset {
            let stream = read.into_inner().into_inner().reunite(write).expect("two halves of one stream");
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        self.writers.borrow_mut().remove(&connection);
        self.held
            .borrow_mut()
            .retain(|_, held| held.connection != connection || held.state == TaskState::Runs);
    }

    fn idle_timeout(&self) -> Duration {
        match self.plan.fault {
            MachineFault::ClosesIdle => IDLE_TIMEOUT,
            _ => Duration::from_secs(3_600),
        }
    }

    fn say(&self, connection: u64, line: String) {
        let value: Value = serde_json::from_str(&line).unwrap();
        let writers = self.writers.borrow();
        // What concerns a task whose connection is over goes on any other.
        let found = writers.get_key_value(&connection).or_else(|| writers.last_key_value());
        if let Some((number, writer)) = found {
            self.record(Event::Said(self.party(), *number, Message::of(&value)));
            let _ = writer.send(format!("{line}\n"));
        }
    }

    fn hear(self: &Rc<Self>, connection: u64, line: &Value) {
        let heard = Message::of(line);
        let (kind, id) = (heard.kind.clone(), heard.id.clone());
        match kind.as_str() {
            "probe" => {
                let free = CORES.saturating_sub(self.held.borrow().len());
                let load = json!({"load": format!("x0:{free};x1:{}", 2 * free)});
                self.say(connection, message("probed", &id, load, 1));
            }
            "open" => {
                self.record(Event::Heard(self.party(), connection, heard));
                self.offered(connection, id);
            }
            "close" => {
                self.record(Event::Heard(self.party(), connection, heard));
                self.closed(connection, &id);
            }
            _ => {}
        }
    }

    fn offered(self: &Rc<Self>, connection: u64, id: String) {
        if self.drains.get() || self.held.borrow().len() >= CORES {
            let why = if self.drains.get() { "not_here" } else { "no_cores" };
            return self.say(connection, message("close", &id, json!({"note": why}), cause::FULL));
        }
        let held = Held { state: TaskState::Offered, connection };
        self.held.borrow_mut().insert(id.clone(), held);
        let (lag, chance) = {
            let mut random = self.random.borrow_mut();
            (self.plan.max_lag.mul_f64(random.f64()).max(Duration::from_millis(5)), random.u32(0..100))
        };
        let hangs = self.plan.fault == MachineFault::Hangs && chance < 50;
        spawn_local(self.clone().answer(connection, id, if hangs { lag + HANG } else { lag }, chance));
    }

    fn holds(&self, id: &str, state: TaskState) -> bool {
        self.held.borrow().get(id).is_some_and(|held| held.state == state)
    }

    async fn answer(self: Rc<Self>, connection: u64, id: String, lag: Duration, chance: u32) {
        if chance < UNANSWERED_PERCENT {
            return;
        }
        sleep(lag).await;
        if !self.holds(&id, TaskState::Offered) {
            return;
        }
        if chance < UNANSWERED_PERCENT + ERROR_PERCENT {
            self.held.borrow_mut().remove(&id);
            return self.say(connection, message("close", &id, json!({}), cause::ERROR));
        }
        if let Some(held) = self.held.borrow_mut().get_mut(&id) {
            held.state = TaskState::Runs;
        }
        self.say(connection, ready(&id, "runs"));
        let run = MEAN_RUN.mul_f64(2.0 * self.random.borrow_mut().f64());
        sleep(run).await;
        if self.holds(&id, TaskState::Runs) {
            self.held.borrow_mut().remove(&id);
            self.say(connection, message("close", &id, json!({}), cause::ENDED));
        }
    }

    /// The planner gives an attempt up, or ends a task.
    fn closed(&self, connection: u64, id: &str) {
        let was_running = self.holds(id, TaskState::Runs);
        self.held.borrow_mut().remove(id);
        if was_running {
            self.say(connection, message("close", id, json!({}), cause::CANCELLED));
        }
    }
}

/// How a connection of the machine's ended.
#[derive(PartialEq)]
enum ConnectionEnd {
    ByPlanner,
    Idle,
    Reset,
}

enum ReadLine {
    Line(Value),
    End,
    Idle,
}

async fn next_line(read: &mut Lines<BufReader<OwnedReadHalf>>, idle: Duration) -> ReadLine {
    match timeout(idle, read.next_line()).await {
        Err(_) => ReadLine::Idle,
        Ok(Ok(Some(line))) => serde_json::from_str(&line).map_or(ReadLine::End, ReadLine::Line),
        Ok(Ok(None) | Err(_)) => ReadLine::End,
    }
}
