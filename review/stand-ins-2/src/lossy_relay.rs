//! A relay in front of a machine. On command the next answer to a set-up stops short: half of its line
//! passes, and from then on nothing passes on that connection any more, in neither direction, not even its
//! end. Other connections are not concerned.
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

pub struct LossyRelay {
    pub address: SocketAddr,
    armed: Arc<AtomicBool>,
}

struct Wire {
    /// Whether nothing passes any more.
    dead: AtomicBool,
    /// Keeps both sides open.
    sides: Mutex<Vec<TcpStream>>,
}

impl LossyRelay {
    /// Starts a relay to a machine.
    pub fn start(record: &Record, machine: SocketAddr) -> LossyRelay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let armed: Arc<AtomicBool> = Arc::default();
        let (command, record) = (armed.clone(), record.clone());
        std::thread::spawn(move || {
            for planner in listener.incoming().map_while(Result::ok) {
                let Ok(machine) = TcpStream::connect(machine) else { continue };
                let _ = (planner.set_nodelay(true), machine.set_nodelay(true));
                let sides = vec![planner.try_clone().unwrap(), machine.try_clone().unwrap()];
                let wire = Arc::new(Wire { dead: AtomicBool::new(false), sides: Mutex::new(sides) });
                let (from, to) = (planner.try_clone().unwrap(), machine.try_clone().unwrap());
                let (own, idle) = (wire.clone(), Arc::new(AtomicBool::new(false)));
                let log = record.clone();
                std::thread::spawn(move || forward(from, to, &own, &idle, &log));
                let (own, command, log) = (wire, command.clone(), record.clone());
                std::thread::spawn(move || forward(machine, planner, &own, &command, &log));
            }
        });
        LossyRelay { address, armed }
    }

    /// Lets the next answer stop short.
    pub fn cut_next_answer(&self) {
        self.armed.store(true, Ordering::SeqCst);
    }

    /// Returns whether no answer has stopped short since.
    pub fn is_armed(&self) -> bool {
        self.armed.load(Ordering::SeqCst)
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, wire: &Wire, armed: &AtomicBool, record: &Record) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if wire.dead.load(Ordering::SeqCst) {
            if read == 0 {
                // The other side does not learn of the end.
                return;
            }
            record.note("relay", &format!("lost: {}", String::from_utf8_lossy(&buffer[..read])));
            continue;
        }
        let mut part = &buffer[..read];
        let is_answer = String::from_utf8_lossy(part).contains("\"msg\":\"ready\"");
        if is_answer && armed.swap(false, Ordering::SeqCst) {
            wire.dead.store(true, Ordering::SeqCst);
            part = &part[..read / 2];
            record.note("relay", "an answer stops short; its connection stays open and nothing passes on it");
        }
        if read == 0 || to.write_all(part).is_err() {
            break;
        }
    }
    for side in wire.sides.lock().unwrap().iter() {
        let _ = side.shutdown(Shutdown::Both);
    }
}
