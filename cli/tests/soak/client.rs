//! A simulated client: it sends requests on one connection, cancels some, ends tasks, and
//! reconnects when the planner closes the connection.
use super::plan::Plan;
use super::trace::{cause, Event, Message, Party, Trace};
use super::wire::harness::{message, request};
use fastrand::Rng;
use serde_json::{json, Value};
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// Percentage of requests that are cancelled immediately after they are sent.
const CANCELLED_PERCENT: u32 = 5;
/// Percentage of tasks that the client ends.
const ENDED_PERCENT: u32 = 30;
/// Maximum time between a task's placement and its end by the client.
const MAX_END_DELAY_MS: u64 = 1_000;
/// Delay before the next attempt after a failed connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The ids to close, by the time at which each close is due.
type ScheduledCloses = BTreeMap<Instant, Vec<String>>;

/// A simulated client.
pub struct Client {
    number: usize,
    address: SocketAddr,
    /// Mean time between two requests.
    mean_interval: Duration,
    random: Rng,
    trace: Trace,
    /// The number of the last request of any client; ids are unique across clients.
    last_id: Rc<Cell<u64>>,
    /// The number of the current connection.
    connection: u64,
    /// Unanswered requests of the current connection.
    requests: BTreeSet<String>,
    /// Placed tasks of the current connection.
    tasks: BTreeSet<String>,
    scheduled_closes: ScheduledCloses,
}

impl Client {
    /// Creates a client that follows the plan; its random numbers depend on the seed and its number
    /// alone.
    pub fn new(number: usize, plan: &Plan, planner: &str, trace: Trace, last_id: Rc<Cell<u64>>) -> Client {
        Client {
            number,
            address: planner.parse().unwrap(),
            mean_interval: plan.mean_interval,
            random: Rng::with_seed(plan.seed << 16 | number as u64),
            trace,
            last_id,
            connection: 0,
            requests: BTreeSet::new(),
            tasks: BTreeSet::new(),
            scheduled_closes: ScheduledCloses::new(),
        }
    }

    fn party(&self) -> Party {
        Party::Client(self.number)
    }

    /// Connects, sends requests and reconnects until the future is dropped.
    pub async fn run(mut self) {
        loop {
            match timeout(CONNECT_TIMEOUT, self.connect()).await {
                Ok(Some(stream)) => self.use_connection(stream).await,
                _ => sleep(RECONNECT_DELAY).await,
            }
        }
    }

    /// Connects from this client's own loopback address; `None` when that fails.
    async fn connect(&self) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind(format!("127.0.9.{}:0", 1 + self.number).parse().unwrap()).ok()?;
        let stream = socket.connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    /// Sends requests and closes and handles answers until the connection ends.
    async fn use_connection(&mut self, stream: TcpStream) {
        self.connection += 1;
        self.requests.clear();
        self.tasks.clear();
        self.scheduled_closes.clear();
        self.trace.add(Event::Connected(self.party(), self.connection));
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut next_request = Instant::now() + self.draw_interval();
        loop {
            let next_close = self.scheduled_closes.keys().next().copied();
            let until = next_close.map_or(next_request, |at| at.min(next_request));
            let is_alive = tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) => {
                        self.handle_line(&serde_json::from_str(&line).expect("a JSON line from the planner"));
                        true
                    }
                    _ => false,
                },
                _ = sleep_until(until) => {
                    if Some(until) == next_close {
                        self.send_due_closes(&mut write).await
                    } else {
                        next_request = Instant::now() + self.draw_interval();
                        self.send_request(&mut write).await
                    }
                }
            };
            if !is_alive {
                return self.trace.add(Event::EndedByPlanner(self.party(), self.connection));
            }
        }
    }

    /// Draws the time to the next request from an exponential distribution.
    fn draw_interval(&mut self) -> Duration {
        self.mean_interval.mul_f64(-(1.0 - self.random.f64()).ln())
    }

    /// Sends and records a line; returns false when the connection is broken.
    async fn send_line(&self, write: &mut OwnedWriteHalf, line: &str) -> bool {
        let value: Value = serde_json::from_str(line).unwrap();
        let is_sent = write.write_all(format!("{line}\n").as_bytes()).await.is_ok();
        if is_sent {
            self.trace.add(Event::Sent(self.party(), self.connection, Message::from_line(&value)));
        }
        is_sent
    }

    /// Sends a request with random attributes and schedules its cancellation at its deadline, or
    /// cancels it at once; returns false when the connection is broken.
    async fn send_request(&mut self, write: &mut OwnedWriteHalf) -> bool {
        let number = self.last_id.get() + 1;
        self.last_id.set(number);
        let id = format!("{number:016x}");
        let left_ms = self.random.u64(3_100..6_000);
        let service = self.random.u64(1..5);
        let extras = format!("cores:1;memory:1;service:{service:016x}");
        let mut attributes = json!({"left": left_ms.to_string(), "extras": extras});
        if self.random.u32(0..3) == 0 {
            attributes["class"] = json!("large");
            attributes["idem"] = json!(format!("{number:032x}"));
        }
        if !self.send_line(write, &request(&id, attributes)).await {
            return false;
        }
        if self.random.u32(0..100) < CANCELLED_PERCENT {
            return self.send_line(write, &message("close", &id, json!({}), cause::ENDED)).await;
        }
        // The client cancels an unanswered request at the deadline that it has announced.
        let cancel_at = Instant::now() + Duration::from_millis(left_ms);
        self.scheduled_closes.entry(cancel_at).or_default().push(id.clone());
        self.requests.insert(id);
        true
    }

    /// Closes the requests and tasks whose time has come; returns false when the connection is
    /// broken.
    async fn send_due_closes(&mut self, write: &mut OwnedWriteHalf) -> bool {
        let Some((_, due)) = self.scheduled_closes.pop_first() else { return true };
        for id in due {
            let is_open = self.requests.remove(&id) | self.tasks.remove(&id);
            if is_open && !self.send_line(write, &message("close", &id, json!({}), cause::ENDED)).await {
                return false;
            }
        }
        true
    }

    /// Records a line of the planner and updates the open requests and tasks.
    fn handle_line(&mut self, line: &Value) {
        let message_received = Message::from_line(line);
        match message_received.kind.as_str() {
            "ready" => {
                self.requests.remove(&message_received.id);
                self.tasks.insert(message_received.id.clone());
                if self.random.u32(0..100) < ENDED_PERCENT {
                    let delay = Duration::from_millis(self.random.u64(0..MAX_END_DELAY_MS));
                    self.scheduled_closes
                        .entry(Instant::now() + delay)
                        .or_default()
                        .push(message_received.id.clone());
                }
            }
            "close" | "relocate" => {
                self.requests.remove(&message_received.id);
                self.tasks.remove(&message_received.id);
            }
            _ => {}
        }
        self.trace.add(Event::Received(self.party(), self.connection, message_received));
    }
}
