//! The coordinator: numbered events over HTTP/1.1.
use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

struct Shared {
    /// The hosts of each event; the first event has number 1 and is the whole list.
    events: Mutex<Vec<String>>,
    changed: Condvar,
    record: Record,
}

pub struct Coordinator {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

fn text(number: usize, hosts: &str) -> String {
    let whole = number == 1;
    format!("{{\"index\":{number},\"endpoints\":{{\"seq\":{number},\"whole\":{whole},\"hosts\":[{hosts}]}}}}")
}

fn reply(events: &[String], follow: usize) -> String {
    let new: Vec<String> =
        events.iter().enumerate().skip(follow).map(|(at, hosts)| text(at + 1, hosts)).collect();
    format!("{{\"index\":{},\"updates\":[{}]}}", events.len(), new.join(","))
}

impl Coordinator {
    /// Starts a coordinator whose first event lists these hosts.
    pub fn start(record: &Record, hosts: &[String]) -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new(Shared {
            events: Mutex::new(vec![hosts.join(",")]),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let served = shared.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = served.clone();
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Coordinator { address, shared }
    }

    /// Adds an event.
    pub fn tell(&self, hosts: &[String]) {
        self.shared.record.note("coordinator", &format!("event: {}", hosts.join(",")));
        self.shared.events.lock().unwrap().push(hosts.join(","));
        self.shared.changed.notify_all();
    }

    /// Returns the events so far, in the form of `known`.
    pub fn known(&self) -> String {
        reply(&self.shared.events.lock().unwrap(), 0)
    }
}

fn parameter(path: &str, name: &str) -> usize {
    let query = path.split('?').nth(1).unwrap_or("");
    let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut write) = stream.try_clone() else { return };
    let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
    while let Some(first) = lines.next() {
        let path = first.split(' ').nth(1).unwrap_or("").to_owned();
        while lines.next().is_some_and(|line| !line.is_empty()) {}
        let follow = parameter(&path, "follow");
        let until = Instant::now() + Duration::from_millis(parameter(&path, "wait_ms").min(5000) as u64);
        let mut events = shared.events.lock().unwrap();
        while events.len() <= follow {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            events = shared.changed.wait_timeout(events, left).unwrap().0;
        }
        let body = reply(&events, follow);
        drop(events);
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if write.write_all(format!("{head}{body}").as_bytes()).is_err() {
            return;
        }
    }
}
