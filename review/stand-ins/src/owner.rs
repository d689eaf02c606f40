//! The owner of tasks: its connections to the planner and what it received on each.
use crate::{line, record, Message};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A line that the planner sent, and when (milliseconds since the start of the case).
#[derive(Clone, Debug)]
pub struct Received {
    pub at_ms: f64,
    pub message: Message,
}

#[derive(Default)]
struct Inbox {
    lines: Vec<Received>,
    has_ended: bool,
}

/// One connection of the owner.
pub struct Connection {
    name: String,
    stream: TcpStream,
    inbox: Arc<(Mutex<Inbox>, Condvar)>,
}

/// The figures of a request.
pub struct Request<'a> {
    pub id: &'a str,
    pub key: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub idem: Option<&'a str>,
    pub left_ms: u64,
    pub cores: &'a str,
    pub memory: &'a str,
    pub service: &'a str,
    /// The machine that holds the task already.
    pub at: Option<&'a str>,
}

impl<'a> Request<'a> {
    pub fn small(id: &'a str, key: &'a str) -> Request<'a> {
        let service = "00000000000000b1";
        Request {
            id,
            key,
            class: "small-svc",
            tenant: "orders",
            idem: None,
            left_ms: 5_500,
            cores: "1",
            memory: "2",
            service,
            at: None,
        }
    }

    pub fn line(&self) -> String {
        let at = self.at.map_or(String::new(), |at| format!(";at:{at}"));
        let idem = self.idem.map_or(String::new(), |idem| format!(",\"idem\":\"{idem}\""));
        let attributes = format!(
            "{{\"class\":\"{}\",\"left\":\"{}\",\"tenant\":\"{}\",\"key\":\"{}\"{idem},\
             \"extras\":\"cores:{};memory:{};service:{}{at}\"}}",
            self.class, self.left_ms, self.tenant, self.key, self.cores, self.memory, self.service
        );
        line("open", self.id, &attributes, None, Some(&format!("task {}\r\n", self.key)))
    }
}

impl Connection {
    /// Connects to the planner; tries again for up to 10 s.
    pub fn open(name: &str, planner: SocketAddr) -> Option<Connection> {
        let until = Instant::now() + Duration::from_secs(10);
        let stream = loop {
            match TcpStream::connect_timeout(&planner, Duration::from_millis(500)) {
                Ok(stream) => break stream,
                Err(_) if Instant::now() < until => thread::sleep(Duration::from_millis(20)),
                Err(_) => return None,
            }
        };
        let _ = stream.set_nodelay(true);
        record::add(name, &format!("connected from {}", stream.local_addr().ok()?));
        let inbox: Arc<(Mutex<Inbox>, Condvar)> = Arc::default();
        let (reader, shared, who) =
            (BufReader::new(stream.try_clone().ok()?), inbox.clone(), name.to_owned());
        thread::spawn(move || {
            for text in reader.lines() {
                let Ok(text) = text else { break };
                record::add(&who, &format!("received {text}"));
                if let Some(message) = Message::parse(&text) {
                    shared.0.lock().unwrap().lines.push(Received { at_ms: record::now_ms(), message });
                    shared.1.notify_all();
                }
            }
            record::add(&who, "connection ended");
            shared.0.lock().unwrap().has_ended = true;
            shared.1.notify_all();
        });
        Some(Connection { name: name.to_owned(), stream, inbox })
    }

    /// Opens a connection whose first test the planner has passed, as the front does.
    pub fn open_tested(name: &str, planner: SocketAddr) -> Option<Connection> {
        let connection = Connection::open(name, planner)?;
        connection.send(&line("probe", "00000000000000ff", "{}", Some(0), None));
        connection.wait_for(Duration::from_secs(10), |message| message.kind == "probed")?;
        Some(connection)
    }

    pub fn send(&self, text: &str) -> f64 {
        let at_ms = record::now_ms();
        let sent = (&self.stream).write_all(format!("{text}\n").as_bytes());
        record::add(&self.name, &format!("sent {text}{}", if sent.is_err() { " (failed)" } else { "" }));
        at_ms
    }

    /// Waits for a line, also one that has come already.
    pub fn wait_for(&self, limit: Duration, matches: impl Fn(&Message) -> bool) -> Option<Received> {
        let until = Instant::now() + limit;
        let (inbox, changed) = &*self.inbox;
        let mut inbox = inbox.lock().unwrap();
        loop {
            if let Some(found) = inbox.lines.iter().find(|received| matches(&received.message)) {
                return Some(found.clone());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() || inbox.has_ended {
                return None;
            }
            inbox = changed.wait_timeout(inbox, left).unwrap().0;
        }
    }

    /// Places a task and waits for the answer.
    pub fn place(&self, request: &Request) -> Option<Received> {
        self.send(&request.line());
        let id = request.id.to_owned();
        let limit = Duration::from_millis(request.left_ms + 600);
        self.wait_for(limit, |message| message.id == id && matches!(message.kind.as_str(), "ready" | "close"))
    }

    /// The address that the connection comes from.
    pub fn local_address(&self) -> SocketAddr {
        self.stream.local_addr().expect("a local address")
    }

    pub fn has_ended(&self) -> bool {
        self.inbox.0.lock().unwrap().has_ended
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        record::add(&self.name, "closes its connection");
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
