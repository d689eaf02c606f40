//! One client: it uses one connection until that ends, gives requests up, ends tasks, and comes again.
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

/// Requests in a hundred that are given up right behind their set-up.
const GIVEN_UP_PERCENT: u32 = 5;
/// Tasks in a hundred that their client ends.
const ENDED_PERCENT: u32 = 30;
const MAX_END_DELAY_MS: u64 = 1_000;
/// A client that finds nobody tries again after this.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a client does next with a request or a task of its own.
type Closes = BTreeMap<Instant, Vec<String>>;

pub struct Client {
    number: usize,
    address: SocketAddr,
    pace: Duration,
    random: Rng,
    trace: Trace,
    /// The number of the last request of all clients.
    last_id: Rc<Cell<u64>>,
    connection: u64,
    /// Requests without an answer, and tasks, of the current connection.
    requests: BTreeSet<String>,
    tasks: BTreeSet<String>,
    closes: Closes,
}

impl Client {
    pub fn new(number: usize, plan: &Plan, planner: &str, trace: Trace, last_id: Rc<Cell<u64>>) -> Client {
        Client {
            number,
            address: planner.parse().unwrap(),
            pace: plan.pace,
            random: Rng::with_seed(plan.seed << 16 | number as u64),
            trace,
            last_id,
            connection: 0,
            requests: BTreeSet::new(),
            tasks: BTreeSet::new(),
            closes: Closes::new(),
        }
    }

    fn party(&self) -> Party {
        Party::Client(self.number)
    }

    /// Uses the planner for as long as it is polled.
    pub async fn run(mut self) {
        loop {
            match timeout(CONNECT_TIMEOUT, self.connect()).await {
                Ok(Some(stream)) => self.converse(stream).await,
                _ => sleep(RECONNECT_DELAY).await,
            }
        }
    }

    /// A connection from this client's own address.
    async fn connect(&self) -> Option<TcpStream> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind(format!("127.0.9.{}:0", 1 + self.number).parse().unwrap()).ok()?;
        let stream = socket.connect(self.address).await.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    async fn converse(&mut self, stream: TcpStream) {
        self.connection += 1;
        self.requests.clear();
        self.tasks.clear();
        self.closes.clear();
        self.trace.add(Event::Connected(self.party(), self.connection));
        let (read, mut write) = stream.into_split();
        let mut lines = BufReader::new(read).lines();
        let mut next_request = Instant::now() + self.draw_pace();
        loop {
            let next_close = self.closes.keys().next().copied();
            let until = next_close.map_or(next_request, |at| at.min(next_request));
            let is_alive = tokio::select! {
                line = lines.next_line() => match line {
                    Ok(Some(line)) => {
                        self.hear(&serde_json::from_str(&line).expect("a line of the planner is JSON"));
                        true
                    }
                    _ => false,
                },
                _ = sleep_until(until) => {
                    if Some(until) == next_close {
                        self.close_due(&mut write).await
                    } else {
                        next_request = Instant::now() + self.draw_pace();
                        self.ask(&mut write).await
                    }
                }
            };
            if !is_alive {
                return self.trace.add(Event::EndedByPlanner(self.party(), self.connection));
            }
        }
    }

    fn draw_pace(&mut self) -> Duration {
        self.pace.mul_f64(-(1.0 - self.random.f64()).ln())
    }

    /// Whether the connection took the line.
    async fn say(&self, write: &mut OwnedWriteHalf, line: &str) -> bool {
        let value: Value = serde_json::from_str(line).unwrap();
        let is_taken = write.write_all(format!("{line}\n").as_bytes()).await.is_ok();
        if is_taken {
            self.trace.add(Event::Said(self.party(), self.connection, Message::of(&value)));
        }
        is_taken
    }

    async fn ask(&mut self, write: &mut OwnedWriteHalf) -> bool {
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
        if !self.say(write, &request(&id, attributes)).await {
            return false;
        }
        if self.random.u32(0..100) < GIVEN_UP_PERCENT {
            return self.say(write, &message("close", &id, json!({}), cause::ENDED)).await;
        }
        // Its owner waits no longer than it said.
        let gives_up_at = Instant::now() + Duration::from_millis(left_ms);
        self.closes.entry(gives_up_at).or_default().push(id.clone());
        self.requests.insert(id);
        true
    }

    /// Gives up, or ends, what is due.
    async fn close_due(&mut self, write: &mut OwnedWriteHalf) -> bool {
        let Some((_, due)) = self.closes.pop_first() else { return true };
        for id in due {
            let is_open = self.requests.remove(&id) | self.tasks.remove(&id);
            if is_open && !self.say(write, &message("close", &id, json!({}), cause::ENDED)).await {
                return false;
            }
        }
        true
    }

    fn hear(&mut self, line: &Value) {
        let heard = Message::of(line);
        match heard.kind.as_str() {
            "ready" => {
                self.requests.remove(&heard.id);
                self.tasks.insert(heard.id.clone());
                if self.random.u32(0..100) < ENDED_PERCENT {
                    let delay = Duration::from_millis(self.random.u64(0..MAX_END_DELAY_MS));
                    self.closes.entry(Instant::now() + delay).or_default().push(heard.id.clone());
                }
            }
            "close" | "relocate" => {
                self.requests.remove(&heard.id);
                self.tasks.remove(&heard.id);
            }
            _ => {}
        }
        self.trace.add(Event::Heard(self.party(), self.connection, heard));
    }
}
