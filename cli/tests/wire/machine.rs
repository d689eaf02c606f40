//! A simulated machine that keeps the platform's rules on connections: it sends what concerns a
//! task on the connection of the task's request, otherwise on any open one, and repeats the end of
//! a task on the next connection that is opened. Tests break its connections or let it vanish.
use super::{id, message, ready, TIMEOUT};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time after which a connection that is not established counts as refused by a full queue.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Failed connections in a row after which the queue of the listener counts as full.
const FULL_AFTER: u32 = 3;

/// The state of a connection, as the machine sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Lines pass in both directions.
    Open,
    /// Nothing passes in either direction, except that the planner's end of the connection ends it
    /// for the machine too.
    Dead,
    /// Nothing passes in either direction, and the machine never notices an end of the connection.
    DeadForGood,
}

struct Connection {
    link: Link,
    stream: TcpStream,
}

#[derive(Default)]
struct State {
    /// The open connections by number; the first one has the number 1.
    connections: BTreeMap<u64, Connection>,
    /// The number of the last connection that was accepted.
    last_connection: u64,
    /// The connection of its request for each task that runs.
    running: BTreeMap<String, u64>,
    /// Ends of tasks to repeat on the next connection.
    repeats: Vec<String>,
    /// Lines received on connections that are not dead, except health checks.
    received: Vec<Value>,
    /// Whether requests are left without an answer.
    ignores_requests: bool,
    /// The state of a connection from the next request that it brings, which is accepted.
    link_after_request: Option<Link>,
    /// The bytes to send in place of the answer to the next request; the connection is dead after
    /// them, and the machine never notices.
    spoilt_answer: Option<&'static [u8]>,
    has_vanished: bool,
}

/// A simulated machine with a listener of its own.
#[derive(Clone)]
pub struct Machine {
    /// The address that the machine listens on.
    pub address: String,
    listener: Arc<TcpListener>,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Machine {
    /// Starts a machine without tasks.
    pub fn start() -> Machine {
        let (listener, address) = super::listener();
        let machine = Machine { address, listener: Arc::new(listener), state: Arc::default() };
        let accepting = machine.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = accepting.listener.accept() {
                if accepting.state().has_vanished {
                    // The connection stays open and silent.
                    std::mem::forget(stream);
                    return;
                }
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        machine
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Changes the state and wakes the threads that wait for a condition.
    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.state.1.notify_all();
    }

    /// Waits until the state meets a condition.
    fn wait_for(&self, what: &str, condition: impl Fn(&State) -> bool) {
        let (state, changed) = (&self.state.0, &self.state.1);
        let waiting = changed.wait_timeout_while(state.lock().unwrap(), TIMEOUT, |state| !condition(state));
        assert!(!waiting.unwrap().1.timed_out(), "the machine waits in vain: {what}");
    }

    /// Serves one connection until its end.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().unwrap());
        let (mut number, mut repeats) = (0, Vec::new());
        self.change(|state| {
            state.last_connection += 1;
            number = state.last_connection;
            state.connections.insert(number, Connection { link: Link::Open, stream });
            repeats = std::mem::take(&mut state.repeats);
        });
        repeats.iter().for_each(|line| self.send(number, line));
        for line in reader.lines().map_while(Result::ok) {
            let link = self.state().connections.get(&number).map(|connection| connection.link);
            if link == Some(Link::Open) {
                self.handle(number, serde_json::from_str(&line).unwrap());
            }
        }
        self.change(|state| {
            let is_noticed = state.connections[&number].link != Link::DeadForGood;
            if is_noticed && !state.has_vanished {
                state.connections.remove(&number);
            }
        });
    }

    fn handle(&self, connection: u64, line: Value) {
        let id = line["sid"].as_str().unwrap().to_owned();
        match line["msg"].as_str().unwrap() {
            "probe" => {
                return self.send(connection, &message("probed", &id, json!({"load": "x0:8;x1:16"}), 1))
            }
            "open" if !self.state().ignores_requests => {
                self.change(|state| {
                    if let Some(answer) = state.spoilt_answer.take() {
                        let connection = state.connections.get_mut(&connection).unwrap();
                        (&connection.stream).write_all(answer).unwrap();
                        connection.link = Link::DeadForGood;
                    }
                    state.running.insert(id.clone(), connection);
                    if let Some(link) = state.link_after_request.take() {
                        state.connections.get_mut(&connection).unwrap().link = link;
                    }
                });
                self.send(connection, &ready(&id, "runs"));
            }
            "close" => {
                let mut was_running = false;
                self.change(|state| was_running = state.running.remove(&id).is_some());
                if was_running {
                    self.send(connection, &message("close", &id, json!({}), 31));
                }
            }
            _ => {}
        }
        self.change(|state| state.received.push(line));
    }

    /// Writes a line to a connection, if anything passes on it.
    fn send(&self, connection: u64, line: &str) {
        let state = self.state();
        let Some(found) = state.connections.get(&connection) else { return };
        if found.link == Link::Open {
            let _ = (&found.stream).write_all(format!("{line}\n").as_bytes());
        }
    }

    /// Leaves further requests without an answer.
    pub fn ignore_requests(&self) {
        self.change(|state| state.ignores_requests = true);
    }

    /// Accepts the next request and breaks its connection before the answer passes.
    pub fn break_link_at_next_request(&self, link: Link) {
        self.change(|state| state.link_after_request = Some(link));
    }

    /// Sends these bytes in place of the answer to the next request, and nothing more on that
    /// connection.
    pub fn spoil_next_answer(&self, answer: &'static [u8]) {
        self.change(|state| state.spoilt_answer = Some(answer));
    }

    /// Waits until a task no longer runs on the machine and returns the time.
    pub fn wait_until_ended(&self, task: u64) -> Instant {
        self.wait_for("the planner ends a task", |state| !state.running.contains_key(&id(task)));
        Instant::now()
    }

    /// Waits until a request was received.
    pub fn wait_for_request(&self, task: u64) {
        let is_request = |line: &Value| line["msg"] == "open" && line["sid"] == id(task);
        self.wait_for("a request arrives", |state| state.received.iter().any(is_request));
    }

    /// Breaks the open connections; later ones work.
    pub fn break_links(&self, link: Link) {
        self.change(|state| state.connections.values_mut().for_each(|connection| connection.link = link));
    }

    /// Ends a task and reports its end; returns the time.
    pub fn end_task(&self, task: u64, code: i64) -> Instant {
        let line = message("close", &id(task), json!({}), code);
        let mut route = None;
        self.change(|state| {
            let of_request = state.running.remove(&id(task)).unwrap();
            let newest = state.connections.keys().next_back().copied();
            route = Some(of_request).filter(|number| state.connections.contains_key(number)).or(newest);
            state.repeats.push(line.clone());
        });
        if let Some(connection) = route {
            self.send(connection, &line);
        }
        Instant::now()
    }

    /// Stops the machine without a word: its tasks are over, its connections stay open and silent,
    /// and no new one is established. Returns the time.
    pub fn vanish(&self) -> Instant {
        let vanished_at = Instant::now();
        self.change(|state| {
            state.has_vanished = true;
            state.running.clear();
            state.connections.values_mut().for_each(|connection| connection.link = Link::DeadForGood);
        });
        socket2::SockRef::from(&*self.listener).listen(0).unwrap();
        let address: SocketAddr = self.address.parse().unwrap();
        let mut failures = 0;
        while failures < FULL_AFTER {
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(stream) => {
                    failures = 0;
                    // The connection stays in the queue of the listener.
                    std::mem::forget(stream);
                }
                Err(_) => failures += 1,
            }
        }
        vanished_at
    }
}
