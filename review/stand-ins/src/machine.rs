//! A machine: it accepts every task, tells its figures, answers tests, ends tasks when told, and
//! can vanish as the protocol page words it: open connections stay open and silent, and new ones
//! never come up.
use crate::coordinator::Entry;
use crate::{line, record, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The time that the machine takes to look at an offer.
const ADMIT: Duration = Duration::from_millis(20);

#[derive(Default)]
struct State {
    has_vanished: bool,
    is_draining: bool,
    /// Tasks that stand, by id, with the connection of their set-up.
    standing: BTreeMap<String, u64>,
    /// Set-ups that were given up.
    given_up: BTreeSet<String>,
    /// Open connections.
    writers: BTreeMap<u64, TcpStream>,
    last_connection: u64,
    /// Releases to be sent on the next connection opened as well.
    repeats: Vec<String>,
    /// Connections that only fill the queue of a vanished machine's listener.
    fillers: Vec<TcpStream>,
    probes_answered: u64,
    /// For how long accepted tasks run; they end by themselves after that.
    life: Option<Duration>,
    /// All set-ups received, with their times.
    offers: Vec<(f64, String)>,
}

/// One machine.
#[derive(Clone)]
pub struct Machine {
    pub host: String,
    pub address: SocketAddr,
    zone: &'static str,
    listener: Arc<TcpListener>,
    state: Arc<Mutex<State>>,
    /// Held by the offer that the machine looks at.
    door: Arc<Mutex<()>>,
}

impl Machine {
    /// Starts a machine on a free loopback port.
    pub fn start(host: &str, zone: &'static str) -> Machine {
        let listener = Arc::new(TcpListener::bind("127.0.0.1:0").expect("the machine can listen"));
        let address = listener.local_addr().expect("an address");
        let machine = Machine {
            host: host.to_owned(),
            address,
            zone,
            listener,
            state: Arc::default(),
            door: Arc::default(),
        };
        let accepting = machine.clone();
        thread::spawn(move || loop {
            let Ok((stream, _)) = accepting.listener.accept() else { return };
            if accepting.state.lock().unwrap().has_vanished {
                // Accepting has stopped: what came in meanwhile stays silent.
                accepting.state.lock().unwrap().fillers.push(stream);
                return;
            }
            let serving = accepting.clone();
            thread::spawn(move || serving.serve(stream));
        });
        let telling = machine.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_secs(1));
            telling.tell_use();
        });
        machine
    }

    /// The machine's entry in the list.
    pub fn entry(&self, health: &'static str) -> Entry {
        Entry { host: self.host.clone(), dial: self.address, zone: self.zone, health, born_ms: 0 }
    }

    pub fn holds(&self, id: &str) -> bool {
        self.state.lock().unwrap().standing.contains_key(id)
    }

    pub fn probes_answered(&self) -> u64 {
        self.state.lock().unwrap().probes_answered
    }

    pub fn offers(&self) -> Vec<(f64, String)> {
        self.state.lock().unwrap().offers.clone()
    }

    /// Accepted tasks end by themselves after this time.
    pub fn set_life(&self, life: Duration) {
        self.state.lock().unwrap().life = Some(life);
    }

    /// From now on the machine accepts no task.
    pub fn drain(&self) {
        self.state.lock().unwrap().is_draining = true;
    }

    /// Names a standing task anew: an owner has handed it to a planner under this id.
    pub fn hold(&self, id: &str) {
        self.state.lock().unwrap().standing.insert(id.to_owned(), 0);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().expect("a second handle of the connection"));
        let (connection, repeats) = {
            let mut state = self.state.lock().unwrap();
            state.last_connection += 1;
            let connection = state.last_connection;
            state.writers.insert(connection, stream);
            (connection, std::mem::take(&mut state.repeats))
        };
        record::add(&self.host, &format!("connection {connection} came up"));
        for repeat in repeats {
            self.send(connection, &repeat);
        }
        for text in reader.lines() {
            let Ok(text) = text else { break };
            if self.state.lock().unwrap().has_vanished {
                continue;
            }
            if let Some(message) = Message::parse(&text) {
                if message.kind != "probe" {
                    record::add(&self.host, &format!("received on {connection} {text}"));
                }
                self.handle(connection, message);
            }
        }
        let mut state = self.state.lock().unwrap();
        state.writers.remove(&connection);
        if !state.has_vanished {
            drop(state);
            record::add(&self.host, &format!("connection {connection} ended"));
        }
    }

    fn handle(&self, connection: u64, message: Message) {
        match message.kind.as_str() {
            "probe" => {
                let held = self.state.lock().unwrap().standing.len();
                let load = format!("{{\"load\":\"x0:{};x1:{}\"}}", 36 - held.min(30), 60 - 2 * held.min(28));
                self.send(connection, &line("probed", &message.id, &load, Some(1), None));
                self.state.lock().unwrap().probes_answered += 1;
            }
            "open" => {
                self.state.lock().unwrap().offers.push((record::now_ms(), message.id.clone()));
                let machine = self.clone();
                thread::spawn(move || machine.admit(connection, message));
            }
            "close" => {
                let mut state = self.state.lock().unwrap();
                let stood = state.standing.remove(&message.id).is_some();
                if !stood {
                    // The set-up is given up; if it waits for its turn, it does not get one.
                    state.given_up.insert(message.id.clone());
                }
                drop(state);
                if stood {
                    record::add(&self.host, &format!("cuts task {}", message.id));
                    self.send(connection, &line("close", &message.id, "{}", Some(31), None));
                }
            }
            _ => {}
        }
    }

    /// Looks at one offer at a time and answers it.
    fn admit(&self, connection: u64, message: Message) {
        let _one_at_a_time = self.door.lock().unwrap();
        thread::sleep(ADMIT);
        let mut state = self.state.lock().unwrap();
        if state.has_vanished || state.given_up.remove(&message.id) {
            return;
        }
        if state.is_draining {
            drop(state);
            let note = "{\"note\":\"not_here\"}";
            return self.send(connection, &line("close", &message.id, note, Some(34), None));
        }
        state.standing.insert(message.id.clone(), connection);
        if let Some(life) = state.life {
            let (machine, id) = (self.clone(), message.id.clone());
            thread::spawn(move || {
                thread::sleep(life);
                if machine.holds(&id) {
                    machine.end_task(&id, 16);
                }
            });
        }
        drop(state);
        let text = format!("{} holds {}\r\n", self.host, message.id);
        self.send(connection, &line("ready", &message.id, "{}", None, Some(&text)));
    }

    /// Ends a standing task: its release goes on the connection of its set-up, else on any open
    /// one, and on the next connection opened as well.
    pub fn end_task(&self, id: &str, code: i64) -> f64 {
        let release = line("close", id, "{}", Some(code), None);
        let connection = {
            let mut state = self.state.lock().unwrap();
            let of_set_up = state.standing.remove(id).unwrap_or_default();
            state.repeats.push(release.clone());
            let any = state.writers.keys().next_back().copied();
            if state.writers.contains_key(&of_set_up) {
                Some(of_set_up)
            } else {
                any
            }
        };
        record::add(&self.host, &format!("task {id} ends with cause {code}"));
        let at_ms = record::now_ms();
        if let Some(connection) = connection {
            self.send(connection, &release);
        }
        at_ms
    }

    fn send(&self, connection: u64, text: &str) {
        let state = self.state.lock().unwrap();
        if state.has_vanished {
            return;
        }
        if let Some(mut writer) = state.writers.get(&connection) {
            let _ = writer.write_all(format!("{text}\n").as_bytes());
            if !text.contains("\"probed\"") {
                record::add(&self.host, &format!("sent on {connection} {text}"));
            }
        }
    }

    /// Sends a note on what each standing task uses.
    fn tell_use(&self) {
        let standing: Vec<(String, u64)> = self
            .state
            .lock()
            .unwrap()
            .standing
            .iter()
            .map(|(id, connection)| (id.clone(), *connection))
            .collect();
        for (id, connection) in standing {
            let note = "{\"note\":\"cores\",\"value\":\"0.5\"}";
            let open = self.state.lock().unwrap().writers.keys().next_back().copied();
            let has_own = self.state.lock().unwrap().writers.contains_key(&connection);
            if let Some(connection) = if has_own { Some(connection) } else { open } {
                self.send(connection, &line("event", &id, note, None, None));
            }
        }
    }

    /// Resets nothing and closes nothing: the machine says no more, and no new connection comes up.
    pub fn vanish(&self) -> f64 {
        extern "C" {
            fn listen(socket: i32, backlog: i32) -> i32;
        }
        let at_ms = record::now_ms();
        self.state.lock().unwrap().has_vanished = true;
        // The accept thread takes one connection more and ends; the next ones fill the listener's
        // queue, after which the kernel answers no further set-up of a connection.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut failures = 0;
        while failures < 3 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(30)) {
                Ok(filler) => {
                    failures = 0;
                    self.state.lock().unwrap().fillers.push(filler);
                }
                Err(_) => failures += 1,
            }
        }
        let fillers = self.state.lock().unwrap().fillers.len();
        record::add(&self.host, &format!("{fillers} connections of its own fill its listener's queue"));
        record::add(&self.host, "vanished: its tasks have ended, nobody is told, no connection comes up");
        self.state.lock().unwrap().standing.clear();
        at_ms
    }

    /// Ends the machine's process: connections are reset and its tasks are cut.
    pub fn die(&self) {
        let mut state = self.state.lock().unwrap();
        state.has_vanished = true;
        state.standing.clear();
        state.writers.values().for_each(|writer| {
            let _ = writer.shutdown(Shutdown::Both);
        });
    }
}
