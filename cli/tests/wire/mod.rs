//! Helpers of the tests that drive `basaltpitch node` over its sockets: they start the binary as
//! the platform does and script the clients, machines and coordinator that it talks to.
//!
//! A test forces a race by pausing the process (SIGSTOP) while its peers write, reset or connect;
//! the resumed process then finds all of these events pending in the kernel at once.
#![allow(dead_code)]
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

#[path = "../../../platform/tests/harness/mod.rs"]
pub mod harness;
pub mod machine;
#[allow(unused_imports)]
pub use harness::{configuration, entry, id, message, ready, request, update};

/// How long a test waits for an expected line, connection, log entry or process exit.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// A planner process and its configuration file; dropping it kills the process and removes the
/// file.
pub struct Node {
    /// The running process.
    pub child: Child,
    /// The address on which the planner accepts clients.
    pub listen: String,
    /// The path of the configuration file.
    pub file: std::path::PathBuf,
    /// Lines of the planner's stderr that no test has read yet.
    log: Receiver<String>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Returns a loopback address derived from the test's process id, so that no port that the kernel
/// assigns on 127.0.0.1 can collide with it.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{}:{}", 64 + pid % 64, pid / 64 % 250, 1 + n % 250, 5080 + n / 250)
}

/// Binds a listener to a free address.
pub fn listener() -> (TcpListener, String) {
    let address = free_address();
    (TcpListener::bind(&address).unwrap(), address)
}

/// Returns a listener with a full accept queue, the connection that fills the queue and the
/// address. Further connections are established only after the listener has accepted the first one.
pub fn full_listener() -> (TcpListener, TcpStream, String) {
    let address = free_address();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&address.parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let queued = TcpStream::connect(&address).unwrap();
    (TcpListener::from(socket), queued, address)
}

/// Starts a planner with the given coordinator address and machines (name, address).
pub fn start_node(name: &str, coordinator: &str, machines: &[(&str, &str)]) -> Node {
    start_node_with(name, coordinator, machines, |_| {})
}

/// Turns the planner's probes off, so that machines receive only what the test causes.
pub fn disable_probes(configuration: &mut Value) {
    configuration["settings"]["permissions"]["probes"] = json!(false);
}

/// Starts a planner after `edit` has changed its configuration.
pub fn start_node_with(
    name: &str,
    coordinator: &str,
    machines: &[(&str, &str)],
    edit: impl FnOnce(&mut Value),
) -> Node {
    let listen = free_address();
    let mut configuration = configuration(&listen, coordinator, machines);
    edit(&mut configuration);
    start_node_from(name, &configuration)
}

/// Starts a planner under the descriptor limit that its configuration states and waits until it
/// serves clients.
pub fn start_node_from(name: &str, configuration: &Value) -> Node {
    let file = std::env::temp_dir().join(format!("basaltpitch-{}-{name}.json", std::process::id()));
    std::fs::write(&file, configuration.to_string()).unwrap();
    // BASALTPITCH_NODE names another build of the binary, to check that a test fails on that build.
    let program =
        std::env::var("BASALTPITCH_NODE").unwrap_or_else(|_| env!("CARGO_BIN_EXE_basaltpitch").to_owned());
    let limit = configuration["limits"]["sockets"].as_u64().unwrap();
    let mut child = Command::new("sh")
        .args(["-c", &format!("ulimit -n {limit} && exec \"$0\" --log info node"), &program])
        .env("PROXY_CONFIG", &file)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (lines, log) = channel();
    let stderr = BufReader::new(child.stderr.take().unwrap());
    std::thread::spawn(move || {
        for line in stderr.lines() {
            let Ok(line) = line else { return };
            let _ = lines.send(line);
        }
    });
    let node = Node { child, listen: configuration["listen"].as_str().unwrap().to_owned(), file, log };
    node.wait_for_log("planner is serving clients");
    node
}

impl Node {
    /// Waits for a log line that contains `text` and returns it; earlier lines are discarded.
    pub fn wait_for_log(&self, text: &str) -> String {
        let until = Instant::now() + TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line =
                self.log.recv_timeout(left).unwrap_or_else(|e| panic!("no log line contains {text:?}: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the log lines received since the last read.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Sends SIGTERM, waits until the planner logs it and returns the time. The period in which the
    /// planner still serves new requests begins then.
    pub fn request_stop(&self) -> Instant {
        self.signal("-TERM");
        self.wait_for_log("received an order to stop");
        Instant::now()
    }

    /// Pauses the process with SIGSTOP and returns once the kernel reports it as stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + TIMEOUT;
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(Instant::now() < until, "the planner process is not stopped by SIGSTOP");
            std::thread::yield_now();
        }
    }

    /// Resumes the paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Counts the descriptors that the process has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Returns the most memory that the process has held so far (bytes).
    pub fn peak_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
    }

    /// Waits for the process to exit and returns whether its exit code was 0.
    pub fn exits_successfully(&mut self) -> bool {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < until, "the planner process does not exit");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Sleeps until `ms` milliseconds after `since`, for timers of the planner that run on real time.
pub fn wait_until(since: Instant, ms: u64) {
    std::thread::sleep((since + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// A client or machine at the other end of one of the planner's connections; it exchanges JSON
/// lines.
pub struct Peer {
    /// The connection, with buffered reads.
    pub read: BufReader<TcpStream>,
}

impl Peer {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        // Without TCP_NODELAY a line may wait for the acknowledgement of the previous one.
        stream.set_nodelay(true).unwrap();
        Peer { read: BufReader::new(stream) }
    }

    /// Connects to a planner as a client.
    pub fn connect(node: &Node) -> Peer {
        Peer::new(TcpStream::connect(&node.listen).unwrap())
    }

    /// Accepts the next connection of the planner to a machine.
    pub fn accept(listener: &TcpListener) -> Peer {
        Peer::new(accept(listener))
    }

    /// Returns the underlying stream.
    pub fn stream(&self) -> &TcpStream {
        self.read.get_ref()
    }

    /// Sends one line.
    pub fn send_line(&mut self, line: &str) {
        self.read.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// Returns the next line of a kind and skips others; probes are answered on the way. `None` at
    /// the end of the stream.
    pub fn next_of_kind(&mut self, kind: &str) -> Option<Value> {
        loop {
            let found = self.next_line()?;
            if found["msg"] == kind {
                return Some(found);
            }
        }
    }

    /// Returns the next line; probes are answered on the way. `None` at the end of the stream or
    /// after a read error such as a reset.
    pub fn next_line(&mut self) -> Option<Value> {
        loop {
            let mut line = String::new();
            match self.read.read_line(&mut line) {
                Ok(0) => return None,
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("no line arrives in time"),
                Err(_) => return None,
            }
            let found: Value = serde_json::from_str(&line).unwrap();
            if found["msg"] != "probe" {
                return Some(found);
            }
            let id = found["sid"].as_str().unwrap().to_owned();
            self.send_line(&message("probed", &id, json!({"load": "x0:16;x1:32"}), 1));
        }
    }

    /// Reads to the end of the stream and returns the ids of all requests on it.
    pub fn all_requests(mut self) -> Vec<String> {
        let mut ids = Vec::new();
        while let Some(line) = self.next_line() {
            if line["msg"] == "open" {
                ids.push(line["sid"].as_str().unwrap().to_owned());
            }
        }
        ids
    }

    /// Closes the connection with a reset (RST).
    pub fn reset(self) {
        socket2::SockRef::from(self.stream()).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// Accepts the next connection and panics when none arrives within `TIMEOUT`.
pub fn accept(listener: &TcpListener) -> TcpStream {
    socket2::SockRef::from(listener).set_read_timeout(Some(TIMEOUT)).unwrap();
    listener.accept().expect("a connection").0
}

/// Accepts a connection to the simulated coordinator; returns the request line of the HTTP call and
/// the stream for the reply.
pub fn accept_call(listener: &TcpListener) -> (String, TcpStream) {
    let stream = accept(listener);
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    (read_call(&stream), stream)
}

/// Reads the head of an HTTP call and returns its request line.
pub fn read_call(stream: &TcpStream) -> String {
    let mut read = BufReader::new(stream);
    let mut first = String::new();
    read.read_line(&mut first).unwrap();
    let mut line = String::new();
    while read.read_line(&mut line).unwrap() > 2 {
        line.clear();
    }
    first
}

/// Replies to an HTTP call with status 200 and a JSON body.
pub fn reply(mut stream: &TcpStream, body: &Value) {
    let body = body.to_string();
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).unwrap();
}

/// Reads until the stream ends or fails; returns whether that happened within `TIMEOUT`.
pub fn reads_to_end(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    loop {
        match stream.read(&mut [0; 4096]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}
