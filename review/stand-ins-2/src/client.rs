//! A client's connection to a planner.
use crate::json::{self, Json};
use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

/// A line that the planner sent, and when it came; `None` is the end of the connection.
pub type Received = (Instant, Option<Json>);

pub struct Client {
    name: String,
    stream: TcpStream,
    received: Receiver<Received>,
    record: Record,
}

impl Client {
    /// Connects to a planner.
    pub fn connect(record: &Record, name: &str, address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("the planner accepts a client");
        let _ = stream.set_nodelay(true);
        let (sender, received) = channel();
        let (reader, own, log) = (stream.try_clone().unwrap(), name.to_owned(), record.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                log.note(&own, &format!("<- {line}"));
                let _ = sender.send((Instant::now(), json::parse(&line)));
            }
            log.note(&own, "<- end of the connection");
            let _ = sender.send((Instant::now(), None));
        });
        Client { name: name.to_owned(), stream, received, record: record.clone() }
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) {
        self.record.note(&self.name, &format!("-> {line}"));
        let _ = self.stream.write_all(format!("{line}\n").as_bytes());
    }

    /// Returns the next line, or `None` if none comes until the time.
    pub fn next(&self, until: Instant) -> Option<Received> {
        let left = until.saturating_duration_since(Instant::now());
        match self.received.recv_timeout(left) {
            Ok(received) => Some(received),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => {
                std::thread::sleep(left.min(Duration::from_millis(20)));
                None
            }
        }
    }
}
