//! A machine: it accepts tasks, runs them and reports their ends. It can be cut off: its connections
//! then stay open and silent, what was written to them arrives after the cut, and no new connection
//! comes up. The tasks run on.
use crate::json::{self, Json};
use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

extern "C" {
    fn listen(descriptor: i32, backlog: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, option: i32, value: *const [i32; 2], length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_LINGER: i32 = 13;

/// Lets the connection be reset once the last handle to it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    // SAFETY: the option takes two integers (on, after 0 s); the socket is open.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
}

/// How a machine treats a task.
#[derive(Clone, Copy)]
pub struct Manner {
    /// Time from the arrival of a set-up until the task runs; the answer is sent then.
    pub start: Duration,
    /// Time for which a task runs.
    pub run: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Starting,
    Running,
}

struct Task {
    phase: Phase,
    connection: u64,
    idem: String,
    /// When the task runs or ends.
    next_at: Instant,
}

struct Connection {
    stream: TcpStream,
    /// Lines that wait for the end of the cut.
    held: Vec<String>,
}

/// An end of a task that had run.
#[derive(Clone, Debug)]
pub struct End {
    pub id: String,
    pub at: Instant,
    pub why: &'static str,
}

struct State {
    cut: bool,
    stopped: bool,
    tasks: HashMap<String, Task>,
    connections: HashMap<u64, Connection>,
    last_connection: u64,
    /// Releases to send on the next connection as well.
    repeats: Vec<String>,
    ends: Vec<End>,
    dummies: Vec<TcpStream>,
}

struct Shared {
    name: String,
    manner: Manner,
    record: Record,
    state: Mutex<State>,
    changed: Condvar,
}

pub struct Machine {
    pub name: String,
    pub address: SocketAddr,
    descriptor: i32,
    shared: Arc<Shared>,
}

impl Machine {
    /// Starts a machine on a free loopback address.
    pub fn start(record: &Record, name: &str, manner: Manner) -> Machine {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let descriptor = listener.as_raw_fd();
        listener.set_nonblocking(true).unwrap();
        let state = State {
            cut: false,
            stopped: false,
            tasks: HashMap::new(),
            connections: HashMap::new(),
            last_connection: 0,
            repeats: Vec::new(),
            ends: Vec::new(),
            dummies: Vec::new(),
        };
        let shared = Arc::new(Shared {
            name: name.to_owned(),
            manner,
            record: record.clone(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let own = shared.clone();
        std::thread::spawn(move || accept(&listener, &own));
        let own = shared.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(2));
            own.advance();
        });
        Machine { name: name.to_owned(), address, descriptor, shared }
    }

    /// Returns the machine's entry in the list.
    pub fn entry(
        &self,
        zone: &str,
        kind: &str,
        block: u32,
        health: &str,
        born_ms: u64,
        free: (f64, f64),
    ) -> String {
        self.entry_at(self.address, zone, kind, block, health, born_ms, free)
    }

    /// Returns the machine's entry in the list, with the address of a relay in front of it.
    #[allow(clippy::too_many_arguments)]
    pub fn entry_at(
        &self,
        address: SocketAddr,
        zone: &str,
        kind: &str,
        block: u32,
        health: &str,
        born_ms: u64,
        free: (f64, f64),
    ) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{zone}\",\"class\":\"{kind}\",\"block\":{block},\
             \"health\":\"{health}\",\"share\":1,\"born_ms\":{born_ms},\"left_over\":[{},{}]}}",
            self.name, address, free.0, free.1
        )
    }

    /// Returns whether the machine holds a running task with this id.
    pub fn runs(&self, id: &str) -> bool {
        self.shared.lock().tasks.get(id).is_some_and(|task| task.phase == Phase::Running)
    }

    /// Returns how the task with this id ended, if it has run and ended.
    pub fn end_of(&self, id: &str) -> Option<End> {
        self.shared.lock().ends.iter().find(|end| end.id == id).cloned()
    }

    /// Cuts the machine off.
    pub fn cut(&self) {
        let mut state = self.shared.lock();
        state.cut = true;
        // A full accept queue: the kernel drops what asks for a connection, as a cut network does.
        // SAFETY: the descriptor is a listening socket that lives as long as the process.
        unsafe { listen(self.descriptor, 0) };
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(30)) {
            state.dummies.push(stream);
        }
        self.shared.record.note(&self.name, "cut off: connections stay open and silent, none comes up");
    }

    /// The machine vanishes: its process dies with all its tasks, and its connections stay silent.
    pub fn vanish(&self) {
        self.cut();
        let mut state = self.shared.lock();
        for (id, task) in std::mem::take(&mut state.tasks) {
            if task.phase == Phase::Running {
                self.shared.record.note(&self.name, &format!("task {id} is over: lost with the machine"));
                state.ends.push(End { id, at: Instant::now(), why: "lost with the machine" });
            }
        }
        state.repeats.clear();
    }

    /// The machine comes back with nothing: what is left of its connections is reset.
    pub fn return_cold(&self) {
        let mut state = self.shared.lock();
        self.shared.record.note(&self.name, "is back, cold; its old connections are reset");
        for (_, connection) in std::mem::take(&mut state.connections) {
            reset_on_close(&connection.stream);
            let _ = connection.stream.shutdown(Shutdown::Read);
        }
        drop(state);
        self.heal();
    }

    /// Ends the cut.
    pub fn heal(&self) {
        let mut state = self.shared.lock();
        state.cut = false;
        // SAFETY: as above.
        unsafe { listen(self.descriptor, 128) };
        self.shared.record.note(&self.name, "the cut is over");
        let connections: Vec<u64> = state.connections.keys().copied().collect();
        for connection in connections {
            let held = state.connections.get_mut(&connection).map(|entry| std::mem::take(&mut entry.held));
            for line in held.into_iter().flatten() {
                self.shared.write(&mut state, connection, line);
            }
        }
        drop(state);
        self.shared.changed.notify_all();
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    loop {
        std::thread::sleep(Duration::from_millis(2));
        let mut state = shared.lock();
        if state.stopped {
            return;
        }
        if state.cut {
            continue;
        }
        let Ok((stream, from)) = listener.accept() else { continue };
        let of_dummy = |dummy: &TcpStream| dummy.local_addr().is_ok_and(|address| address == from);
        if let Some(at) = state.dummies.iter().position(of_dummy) {
            state.dummies.remove(at);
            continue;
        }
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        state.last_connection += 1;
        let connection = state.last_connection;
        shared.record.note(&shared.name, &format!("connection {connection} opened"));
        let reader = stream.try_clone().unwrap();
        state.connections.insert(connection, Connection { stream, held: Vec::new() });
        for line in std::mem::take(&mut state.repeats) {
            shared.write(&mut state, connection, line);
        }
        drop(state);
        let shared = shared.clone();
        std::thread::spawn(move || shared.read(connection, reader));
    }
}

fn line(kind: &str, id: &str, rest: &str) -> String {
    format!("{{\"msg\":\"{kind}\",\"sid\":\"{id}\",\"attrs\":{{{rest}")
}

const LOAD: &str = "\"load\":\"x0:20;x1:40;queue:0;util:0.2\"";

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Writes a line to a connection, or holds it while the machine is cut off.
    fn write(&self, state: &mut State, connection: u64, line: String) {
        let cut = state.cut;
        let Some(entry) = state.connections.get_mut(&connection) else { return };
        if cut {
            return entry.held.push(line);
        }
        self.record.note(&self.name, &format!("-> [{connection}] {line}"));
        let _ = entry.stream.write_all(format!("{line}\n").as_bytes());
    }

    /// Reads a connection to its end.
    fn read(&self, connection: u64, stream: TcpStream) {
        let mut lines = BufReader::new(stream).lines();
        loop {
            let next = lines.next();
            let mut state = self.lock();
            while state.cut {
                state = self.changed.wait(state).unwrap();
            }
            let Some(Ok(text)) = next else { break };
            self.record.note(&self.name, &format!("<- [{connection}] {text}"));
            match json::parse(&text) {
                Some(message) => self.handle(&mut state, connection, &message),
                None => break,
            }
        }
        let mut state = self.lock();
        self.record.note(&self.name, &format!("connection {connection} closed by the planner"));
        if let Some(entry) = state.connections.remove(&connection) {
            let _ = entry.stream.shutdown(Shutdown::Both);
        }
        // The set-ups open on a closed connection are given up.
        state.tasks.retain(|_, task| task.connection != connection || task.phase == Phase::Running);
    }

    fn handle(&self, state: &mut State, connection: u64, message: &Json) {
        let id = message.get("sid").text().to_owned();
        match message.get("msg").text() {
            "probe" => {
                let answer = line("probed", &id, &format!("{LOAD}}},\"code\":1}}"));
                self.write(state, connection, answer);
            }
            "open" => {
                let idem = message.get("attrs").get("idem").text().to_owned();
                let stands = |task: &Task| !idem.is_empty() && task.idem == idem;
                if state.tasks.contains_key(&id) || state.tasks.values().any(stands) {
                    let answer = line("close", &id, "\"note\":\"not_here\"},\"code\":34}");
                    return self.write(state, connection, answer);
                }
                let next_at = Instant::now() + self.manner.start;
                state.tasks.insert(id, Task { phase: Phase::Starting, connection, idem, next_at });
            }
            "close" => match state.tasks.get(&id).map(|task| task.phase) {
                Some(Phase::Starting) => {
                    state.tasks.remove(&id);
                    self.record.note(&self.name, &format!("set-up {id} given up before it ran"));
                }
                Some(Phase::Running) => self.end(state, &id, 31, "cut by the planner's release"),
                None => {}
            },
            _ => {}
        }
    }

    /// Ends a running task and releases it.
    fn end(&self, state: &mut State, id: &str, code: i32, why: &'static str) {
        let Some(task) = state.tasks.remove(id) else { return };
        self.record.note(&self.name, &format!("task {id} is over: {why}"));
        state.ends.push(End { id: id.to_owned(), at: Instant::now(), why });
        let release = line("close", id, &format!("}},\"code\":{code}}}"));
        let own = state.connections.contains_key(&task.connection).then_some(task.connection);
        if let Some(connection) = own.or_else(|| state.connections.keys().max().copied()) {
            self.write(state, connection, release.clone());
        }
        state.repeats.push(release);
    }

    /// Starts and ends the tasks that are due.
    fn advance(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let due: Vec<(String, Phase, u64)> = state
            .tasks
            .iter()
            .filter(|(_, task)| task.next_at <= now)
            .map(|(id, task)| (id.clone(), task.phase, task.connection))
            .collect();
        for (id, phase, connection) in due {
            if phase == Phase::Running {
                self.end(&mut state, &id, 16, "it has come to its end");
                continue;
            }
            self.record.note(&self.name, &format!("task {id} runs"));
            if let Some(task) = state.tasks.get_mut(&id) {
                (task.phase, task.next_at) = (Phase::Running, now + self.manner.run);
            }
            let text = json::quote(&format!("{id}\r\nrun on {}\r\n", self.name));
            self.write(&mut state, connection, format!("{}}},\"text\":{text}}}", line("ready", &id, "")));
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.shared.lock().stopped = true;
    }
}
