//! A relay in front of a planner, as a front is. It can end a connection on both sides, the side of the
//! planner some time after the side of the client.
use crate::record::Record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

struct Pair {
    client: TcpStream,
    planner: TcpStream,
    /// Set once the relay itself ends the connection.
    ending: Arc<AtomicBool>,
}

pub struct Relay {
    pub address: SocketAddr,
    pairs: Arc<Mutex<Vec<Pair>>>,
    record: Record,
}

fn forward(mut from: TcpStream, mut to: TcpStream, ending: &AtomicBool) {
    let mut buffer = [0; 4096];
    while let Ok(read) = from.read(&mut buffer) {
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    if !ending.load(Ordering::SeqCst) {
        let _ = to.shutdown(Shutdown::Write);
    }
}

impl Relay {
    /// Starts a relay to a planner.
    pub fn start(record: &Record, planner: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let pairs: Arc<Mutex<Vec<Pair>>> = Arc::default();
        let kept = pairs.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(planner) = TcpStream::connect(planner) else { continue };
                let _ = (client.set_nodelay(true), planner.set_nodelay(true));
                let ending: Arc<AtomicBool> = Arc::default();
                for (from, to) in [(&client, &planner), (&planner, &client)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let ending = ending.clone();
                    std::thread::spawn(move || forward(from, to, &ending));
                }
                kept.lock().unwrap().push(Pair { client, planner, ending });
            }
        });
        Relay { address, pairs, record: record.clone() }
    }

    /// Ends the connection with this number: towards the client now, towards the planner `later`.
    pub fn end(&self, number: usize, later: Duration) {
        let pairs = self.pairs.lock().unwrap();
        let planner = pairs[number].planner.try_clone().unwrap();
        self.record.note("front", &format!("ends connection {number} towards the client"));
        pairs[number].ending.store(true, Ordering::SeqCst);
        let _ = pairs[number].client.shutdown(Shutdown::Both);
        let record = self.record.clone();
        std::thread::spawn(move || {
            std::thread::sleep(later);
            record.note("front", &format!("ends connection {number} towards the planner"));
            let _ = planner.shutdown(Shutdown::Both);
        });
    }
}
