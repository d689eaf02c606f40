//! A simulated machine: it answers attempts after a random delay, runs the tasks that it accepts,
//! refuses those that do not fit, and fails as its plan says.
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

/// Tasks that a machine holds at most; each task needs one core.
const CORES: usize = 16;
/// Percentage of attempts that a machine never answers.
const UNANSWERED_PERCENT: u32 = 2;
/// Percentage of attempts that a machine answers with an error.
const ERROR_PERCENT: u32 = 3;
/// Time after which a machine with the fault `ClosesIdle` closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Mean time from a connection's start to its reset by a machine with the fault `Resets`.
const MEAN_RESET_DELAY: Duration = Duration::from_millis(1_500);
/// Extra delay of half of the answers of a machine with the fault `Hangs`.
const HANG_DELAY: Duration = Duration::from_millis(2_000);
/// Mean running time of a task; the time is uniform between zero and twice the mean.
const MEAN_TASK_DURATION: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, PartialEq)]
enum TaskState {
    /// The machine has received the attempt and not answered it.
    Offered,
    /// The machine has accepted the task.
    Runs,
}

/// A task that was offered or runs.
struct HeldTask {
    state: TaskState,
    /// The number of the connection on which the task was offered.
    connection: u64,
}

/// A simulated machine.
pub struct Machine {
    /// The machine's index in the plan.
    pub number: usize,
    plan: MachinePlan,
    random: RefCell<Rng>,
    /// Tasks by the id of their request.
    held: RefCell<BTreeMap<String, HeldTask>>,
    /// The outgoing lines of each connection, by its number.
    writers: RefCell<BTreeMap<u64, mpsc::UnboundedSender<String>>>,
    last_connection: Cell<u64>,
    /// Whether the machine refuses all further attempts.
    pub is_draining: Cell<bool>,
    /// The trace of the current run of the planner.
    pub trace: RefCell<Trace>,
}

impl Machine {
    /// Creates a machine without tasks; its random numbers depend on `seed` alone.
    pub fn new(number: usize, plan: MachinePlan, seed: u64, trace: Trace) -> Rc<Machine> {
        Rc::new(Machine {
            number,
            plan,
            random: RefCell::new(Rng::with_seed(seed)),
            held: RefCell::default(),
            writers: RefCell::default(),
            last_connection: Cell::new(0),
            is_draining: Cell::new(false),
            trace: RefCell::new(trace),
        })
    }

    fn party(&self) -> Party {
        Party::Machine(self.number)
    }

    fn record(&self, event: Event) {
        self.trace.borrow().add(event);
    }

    /// Accepts the planner's connections until the listener fails.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let connection = self.last_connection.get() + 1;
            self.last_connection.set(connection);
            spawn_local(self.clone().serve_connection(stream, connection));
        }
    }

    /// Exchanges lines on one connection until it ends, as the plan's fault says.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream, connection: u64) {
        self.record(Event::Connected(self.party(), connection));
        let (lines, mut outgoing) = mpsc::unbounded_channel();
        self.writers.borrow_mut().insert(connection, lines);
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read).lines();
        let reset_after = match self.plan.fault {
            MachineFault::Resets => MEAN_RESET_DELAY.mul_f64(2.0 * self.random.borrow_mut().f64()),
            _ => Duration::from_secs(3_600),
        };
        let reset = sleep(reset_after);
        tokio::pin!(reset);
        let end = loop {
            tokio::select! {
                line = next_line(&mut read, self.idle_timeout()) => match line {
                    ReadLine::Line(line) => self.handle_line(connection, &line),
                    ReadLine::End => break ConnectionEnd::ByPlanner,
                    ReadLine::Idle => break ConnectionEnd::Idle,
                },
                Some(line) = outgoing.recv() => {
                    if write.write_all(line.as_bytes()).await.is_err() {
                        break ConnectionEnd::ByPlanner;
                    }
                }
                _ = &mut reset => break ConnectionEnd::Reset,
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

    /// Queues a line on a connection and records it.
    fn send_line(&self, connection: u64, line: String) {
        let value: Value = serde_json::from_str(&line).unwrap();
        let writers = self.writers.borrow();
        // A line about a task whose connection has ended goes out on the newest other connection.
        let found = writers.get_key_value(&connection).or_else(|| writers.last_key_value());
        if let Some((number, writer)) = found {
            self.record(Event::Sent(self.party(), *number, Message::from_line(&value)));
            let _ = writer.send(format!("{line}\n"));
        }
    }

    /// Handles a line of the planner.
    fn handle_line(self: &Rc<Self>, connection: u64, line: &Value) {
        let received = Message::from_line(line);
        let (kind, id) = (received.kind.clone(), received.id.clone());
        match kind.as_str() {
            "probe" => {
                let free = CORES.saturating_sub(self.held.borrow().len());
                let load = json!({"load": format!("x0:{free};x1:{}", 2 * free)});
                self.send_line(connection, message("probed", &id, load, 1));
            }
            "open" => {
                self.record(Event::Received(self.party(), connection, received));
                self.handle_attempt(connection, id);
            }
            "close" => {
                self.record(Event::Received(self.party(), connection, received));
                self.handle_close(connection, &id);
            }
            _ => {}
        }
    }

    /// Refuses an attempt at once or starts to answer it.
    fn handle_attempt(self: &Rc<Self>, connection: u64, id: String) {
        if self.is_draining.get() || self.held.borrow().len() >= CORES {
            let reason = if self.is_draining.get() { "not_here" } else { "no_cores" };
            return self.send_line(connection, message("close", &id, json!({"note": reason}), cause::FULL));
        }
        let held = HeldTask { state: TaskState::Offered, connection };
        self.held.borrow_mut().insert(id.clone(), held);
        let (latency, percentile) = {
            let mut random = self.random.borrow_mut();
            (self.plan.max_latency.mul_f64(random.f64()).max(Duration::from_millis(5)), random.u32(0..100))
        };
        let hangs = self.plan.fault == MachineFault::Hangs && percentile < 50;
        spawn_local(self.clone().answer_attempt(
            connection,
            id,
            if hangs { latency + HANG_DELAY } else { latency },
            percentile,
        ));
    }

    /// Returns whether a task is held in this state.
    fn holds(&self, id: &str, state: TaskState) -> bool {
        self.held.borrow().get(id).is_some_and(|held| held.state == state)
    }

    /// Answers an attempt after a delay and runs its task; `percentile` (0 to 99) decides on a
    /// missing answer or an error.
    async fn answer_attempt(self: Rc<Self>, connection: u64, id: String, latency: Duration, percentile: u32) {
        if percentile < UNANSWERED_PERCENT {
            return;
        }
        sleep(latency).await;
        if !self.holds(&id, TaskState::Offered) {
            return;
        }
        if percentile < UNANSWERED_PERCENT + ERROR_PERCENT {
            self.held.borrow_mut().remove(&id);
            return self.send_line(connection, message("close", &id, json!({}), cause::ERROR));
        }
        if let Some(held) = self.held.borrow_mut().get_mut(&id) {
            held.state = TaskState::Runs;
        }
        self.send_line(connection, ready(&id, "runs"));
        let duration = MEAN_TASK_DURATION.mul_f64(2.0 * self.random.borrow_mut().f64());
        sleep(duration).await;
        if self.holds(&id, TaskState::Runs) {
            self.held.borrow_mut().remove(&id);
            self.send_line(connection, message("close", &id, json!({}), cause::ENDED));
        }
    }

    /// Handles the cancellation of an attempt or the end of a task by the planner.
    fn handle_close(&self, connection: u64, id: &str) {
        let was_running = self.holds(id, TaskState::Runs);
        self.held.borrow_mut().remove(id);
        if was_running {
            self.send_line(connection, message("close", id, json!({}), cause::CANCELLED));
        }
    }
}

/// How a connection to the machine ended.
#[derive(PartialEq)]
enum ConnectionEnd {
    ByPlanner,
    /// The machine closed the connection after its idle timeout.
    Idle,
    /// The machine reset the connection.
    Reset,
}

/// The result of reading a line.
enum ReadLine {
    Line(Value),
    End,
    Idle,
}

/// Reads the next line, or returns `Idle` after the idle timeout. A line that is not JSON counts as
/// the end.
async fn next_line(read: &mut Lines<BufReader<OwnedReadHalf>>, idle: Duration) -> ReadLine {
    match timeout(idle, read.next_line()).await {
        Err(_) => ReadLine::Idle,
        Ok(Ok(Some(line))) => serde_json::from_str(&line).map_or(ReadLine::End, ReadLine::Line),
        Ok(Ok(None) | Err(_)) => ReadLine::End,
    }
}
