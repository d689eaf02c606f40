//! A client's connection to a planner.
use crate::json::{self, Json};
use crate::machine::reset_on_close;
use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A line that the planner sent, and when it came; `None` is the end of the connection.
pub type Received = (Instant, Option<Json>);

pub struct Client {
    name: String,
    stream: TcpStream,
    reader: Option<JoinHandle<()>>,
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
        let reader = std::thread::spawn(move || {
            for line in BufReader::new(reader).lines().map_while(Result::ok) {
                log.note(&own, &format!("<- {line}"));
                let _ = sender.send((Instant::now(), json::parse(&line)));
            }
            log.note(&own, "<- end of the connection");
            let _ = sender.send((Instant::now(), None));
        });
        Client { name: name.to_owned(), stream, reader: Some(reader), received, record: record.clone() }
    }

    /// Sends a line.
    pub fn send(&mut self, line: &str) {
        self.record.note(&self.name, &format!("-> {line}"));
        let _ = self.stream.write_all(format!("{line}\n").as_bytes());
    }

    /// Resets the connection, as a network does.
    pub fn reset(mut self) {
        self.record.note(&self.name, "the connection is reset");
        reset_on_close(&self.stream);
        let _ = self.stream.shutdown(Shutdown::Read);
        if let Some(reader) = self.reader.take() {
            let _ = reader.join();
        }
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
