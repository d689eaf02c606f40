//! The coordinator: numbered events of the machines' list over HTTP/1.1, with long polls.
use crate::record;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One machine as the list shows it.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub zone: &'static str,
    pub health: &'static str,
    pub born_ms: u64,
}

impl Entry {
    fn text(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"std-node\",\"block\":0,\"health\":\"{}\",\
             \"share\":1,\"born_ms\":{},\"left_over\":[30,50]}}",
            self.host, self.dial, self.zone, self.health, self.born_ms
        )
    }
}

#[derive(Default)]
struct Events {
    /// The text of each event; event 1 holds the whole list.
    texts: Vec<String>,
    /// Whether the coordinator is down: it breaks off open calls and answers none.
    is_down: bool,
    /// Open connections.
    streams: Vec<TcpStream>,
}

impl Events {
    fn reply(&self, after: usize) -> String {
        let updates: Vec<&str> = self.texts.iter().skip(after).map(String::as_str).collect();
        format!("{{\"index\":{},\"updates\":[{}]}}", self.texts.len(), updates.join(","))
    }
}

/// The coordinator.
#[derive(Clone)]
pub struct Coordinator {
    pub address: SocketAddr,
    events: Arc<(Mutex<Events>, Condvar)>,
}

impl Coordinator {
    /// Starts a coordinator whose first event holds these machines.
    pub fn start(machines: &[Entry]) -> Coordinator {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the coordinator can listen");
        let address = listener.local_addr().expect("an address");
        let coordinator = Coordinator { address, events: Arc::default() };
        coordinator.tell(true, machines);
        let serving = coordinator.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        coordinator
    }

    /// Adds an event; from now on it counts as told.
    pub fn tell(&self, whole: bool, machines: &[Entry]) {
        let (events, told) = &*self.events;
        let mut events = events.lock().unwrap();
        let index = events.texts.len() + 1;
        let hosts: Vec<String> = machines.iter().map(Entry::text).collect();
        let text = format!(
            "{{\"index\":{index},\"endpoints\":{{\"seq\":{index},\"whole\":{whole},\"hosts\":[{}]}}}}",
            hosts.join(",")
        );
        record::add("coordinator", &format!("event {text}"));
        events.texts.push(text);
        told.notify_all();
    }

    /// Breaks off all calls, or answers calls again.
    pub fn set_down(&self, is_down: bool) -> f64 {
        let (events, told) = &*self.events;
        let mut events = events.lock().unwrap();
        record::add("coordinator", if is_down { "breaks off and is down" } else { "is up again" });
        events.is_down = is_down;
        for stream in events.streams.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        told.notify_all();
        record::now_ms()
    }

    /// All events so far, in the form of `known`.
    pub fn known(&self) -> String {
        self.events.0.lock().unwrap().reply(0)
    }

    fn serve(&self, stream: TcpStream) {
        {
            let mut events = self.events.0.lock().unwrap();
            if events.is_down {
                return;
            }
            events.streams.extend(stream.try_clone());
        }
        let mut writer = stream.try_clone().expect("a second handle of the connection");
        let mut reader = BufReader::new(stream);
        loop {
            let mut call = String::new();
            if reader.read_line(&mut call).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header.trim().is_empty() {
                    break;
                }
            }
            let parameter = |name: &str| {
                let from = call.find(name)? + name.len();
                let digits: String = call[from..].chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<usize>().ok()
            };
            let (after, wait_ms) = (parameter("follow=").unwrap_or(0), parameter("wait_ms=").unwrap_or(0));
            let until = Instant::now() + Duration::from_millis(wait_ms.min(5_000) as u64);
            let (events, told) = &*self.events;
            let mut events = events.lock().unwrap();
            while events.texts.len() <= after && !events.is_down {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                events = told.wait_timeout(events, left).unwrap().0;
            }
            if events.is_down {
                return;
            }
            let body = events.reply(after);
            let has_news = events.texts.len() > after;
            drop(events);
            if has_news {
                record::add("coordinator", &format!("answers a call that follows {after}"));
            }
            let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length:";
            if write!(writer, "{head} {}\r\n\r\n{body}", body.len()).is_err() {
                return;
            }
        }
    }
}
