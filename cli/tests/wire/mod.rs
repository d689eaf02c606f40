//! What the tests of the node's sockets share: the binary as the platform starts it, and the other ends of
//! its connections, which a test drives step by step. A crossing is forced: the process is stopped (SIGSTOP),
//! the other ends write, reset or connect, and it goes on with all of that waiting in the kernel.
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
#[allow(unused_imports)]
pub use harness::{configuration, entry, id, message, ready, request, update};

/// How long a test waits for what must come.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// A planner's process with its configuration file; it ends with the test.
pub struct Node {
    pub child: Child,
    pub listen: String,
    pub file: std::path::PathBuf,
    log: Receiver<String>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// An address of this test process alone: no port that the kernel hands out can be the same.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{}:{}", 64 + pid % 64, pid / 64 % 250, 1 + n % 250, 5080 + n / 250)
}

pub fn listener() -> (TcpListener, String) {
    let address = free_address();
    (TcpListener::bind(&address).unwrap(), address)
}

/// A listener whose queue is full: the next connection comes up only once it has accepted the one that fills it.
pub fn full_listener() -> (TcpListener, TcpStream, String) {
    let address = free_address();
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&address.parse::<SocketAddr>().unwrap().into()).unwrap();
    socket.listen(0).unwrap();
    let fills = TcpStream::connect(&address).unwrap();
    (TcpListener::from(socket), fills, address)
}

pub fn started(name: &str, coordinator: &str, machines: &[(&str, &str)]) -> Node {
    started_with(name, coordinator, machines, |_| {})
}

/// A planner that sends no tests of its own accord: what its machines do is up to the test alone.
pub fn quiet(configuration: &mut Value) {
    configuration["settings"]["permissions"]["probes"] = json!(false);
}

pub fn started_with(
    name: &str,
    coordinator: &str,
    machines: &[(&str, &str)],
    edit: impl FnOnce(&mut Value),
) -> Node {
    let listen = free_address();
    let mut all = configuration(&listen, coordinator, machines);
    edit(&mut all);
    started_from(name, &all)
}

/// A planner under the descriptor limit that its configuration states.
pub fn started_from(name: &str, all: &Value) -> Node {
    let file = std::env::temp_dir().join(format!("basaltpitch-{}-{name}.json", std::process::id()));
    std::fs::write(&file, all.to_string()).unwrap();
    // An older build may be put in the program's place, to see that a test fails on it.
    let program =
        std::env::var("BASALTPITCH_NODE").unwrap_or_else(|_| env!("CARGO_BIN_EXE_basaltpitch").to_owned());
    let limit = all["limits"]["sockets"].as_u64().unwrap();
    let mut child = Command::new("sh")
        .args(["-c", &format!("ulimit -n {limit} && exec \"$0\" --log info node"), &program])
        .env("PROXY_CONFIG", &file)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (lines, log) = channel();
    let from = BufReader::new(child.stderr.take().unwrap());
    std::thread::spawn(move || {
        for line in from.lines() {
            let Ok(line) = line else { return };
            let _ = lines.send(line);
        }
    });
    let node = Node { child, listen: all["listen"].as_str().unwrap().to_owned(), file, log };
    node.logged("planner is serving clients");
    node
}

impl Node {
    /// Waits for a line of its log.
    pub fn logged(&self, text: &str) -> String {
        let until = Instant::now() + TIMEOUT;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let line = self.log.recv_timeout(left).unwrap_or_else(|e| panic!("no line with {text:?}: {e}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The lines of its log that have come.
    pub fn log_lines(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    /// Told to stop, and having read so: its time to serve on begins now.
    pub fn told_to_stop(&self) -> Instant {
        self.signal("-TERM");
        self.logged("received an order to stop");
        Instant::now()
    }

    /// Stops the process; returns once it stands still.
    pub fn hold(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let until = Instant::now() + TIMEOUT;
        while !std::fs::read_to_string(&stat).unwrap().contains(") T ") {
            assert!(Instant::now() < until, "it does not stand still");
            std::thread::yield_now();
        }
    }

    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// Descriptors that it holds now.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Waits for its end; whether that was a good one.
    pub fn ended(&mut self) -> bool {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.success();
            }
            assert!(Instant::now() < until, "it does not end");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Lets real time go by, where the planner measures it.
pub fn wait_until(since: Instant, ms: u64) {
    std::thread::sleep((since + Duration::from_millis(ms)).saturating_duration_since(Instant::now()));
}

/// One end of a conversation in lines.
pub struct Peer {
    pub read: BufReader<TcpStream>,
}

impl Peer {
    pub fn new(stream: TcpStream) -> Peer {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        // What is written waits in the other kernel at once, not behind an acknowledgement.
        stream.set_nodelay(true).unwrap();
        Peer { read: BufReader::new(stream) }
    }

    pub fn to(node: &Node) -> Peer {
        Peer::new(TcpStream::connect(&node.listen).unwrap())
    }

    /// The next link that a machine's listener gets.
    pub fn of(listener: &TcpListener) -> Peer {
        Peer::new(accept(listener))
    }

    pub fn stream(&self) -> &TcpStream {
        self.read.get_ref()
    }

    pub fn say(&mut self, line: &str) {
        self.read.get_mut().write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    /// The next line of a kind; tests are passed on the way. `None` at the end of the stream.
    pub fn next(&mut self, kind: &str) -> Option<Value> {
        loop {
            let found = self.line()?;
            if found["msg"] == kind {
                return Some(found);
            }
        }
    }

    /// The next line; tests are passed on the way. `None` at the end of the stream, however it came.
    pub fn line(&mut self) -> Option<Value> {
        loop {
            let mut line = String::new();
            match self.read.read_line(&mut line) {
                Ok(0) => return None,
                Ok(_) => {}
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => panic!("nothing comes"),
                Err(_) => return None,
            }
            let found: Value = serde_json::from_str(&line).unwrap();
            if found["msg"] != "probe" {
                return Some(found);
            }
            let id = found["sid"].as_str().unwrap().to_owned();
            self.say(&message("probed", &id, json!({"load": "x0:16;x1:32"}), 1));
        }
    }

    /// The ids of all requests that still come, to the end of the stream.
    pub fn all_requests(mut self) -> Vec<String> {
        let mut ids = Vec::new();
        while let Some(line) = self.line() {
            if line["msg"] == "open" {
                ids.push(line["sid"].as_str().unwrap().to_owned());
            }
        }
        ids
    }

    /// Closes with a reset.
    pub fn reset(self) {
        socket2::SockRef::from(self.stream()).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

/// The next connection, which must come.
pub fn accept(listener: &TcpListener) -> TcpStream {
    socket2::SockRef::from(listener).set_read_timeout(Some(TIMEOUT)).unwrap();
    listener.accept().expect("a connection").0
}

/// One call of the coordinator's: what was asked, and the way to reply.
pub fn call(listener: &TcpListener) -> (String, TcpStream) {
    let stream = accept(listener);
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    (asked(&stream), stream)
}

pub fn asked(stream: &TcpStream) -> String {
    let mut read = BufReader::new(stream);
    let mut first = String::new();
    read.read_line(&mut first).unwrap();
    let mut line = String::new();
    while read.read_line(&mut line).unwrap() > 2 {
        line.clear();
    }
    first
}

pub fn reply(mut stream: &TcpStream, body: &Value) {
    let body = body.to_string();
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len()).unwrap();
}

/// Reads to the end of the stream; whether it came.
pub fn ends(stream: &mut TcpStream) -> bool {
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    loop {
        match stream.read(&mut [0; 4096]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) => return e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }
}
