//! A relay in front of one machine. It can lose one answer of the machine; from then on nothing
//! passes on that connection in either direction, and the connection stays open.
use crate::record;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// The id of the set-up whose answer is lost, if any, and when it was lost.
    loses: Arc<Mutex<(Option<String>, Option<f64>)>>,
}

impl Proxy {
    /// Starts a relay to the machine at this address; `name` is for the record.
    pub fn start(name: &str, machine: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the relay can listen");
        let proxy = Proxy { address: listener.local_addr().expect("an address"), loses: Arc::default() };
        let (loses, name) = (proxy.loses.clone(), name.to_owned());
        thread::spawn(move || {
            for (number, planner) in listener.incoming().flatten().enumerate() {
                let Ok(inner) = TcpStream::connect(machine) else { continue };
                let (loses, name) = (loses.clone(), format!("{name} relay {}", number + 1));
                thread::spawn(move || relay(&name, planner, inner, &loses));
            }
        });
        proxy
    }

    /// The answer to this set-up is lost.
    pub fn lose_answer_to(&self, id: &str) {
        self.loses.lock().unwrap().0 = Some(id.to_owned());
    }

    /// When the answer was lost (milliseconds since the start of the case).
    pub fn lost_at_ms(&self) -> Option<f64> {
        self.loses.lock().unwrap().1
    }
}

fn relay(
    name: &str,
    mut planner: TcpStream,
    mut machine: TcpStream,
    loses: &Mutex<(Option<String>, Option<f64>)>,
) {
    for stream in [&planner, &machine] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    }
    let (mut buffer, mut from_machine, mut is_dead) = (vec![0; 64 * 1024], Vec::new(), false);
    loop {
        match planner.read(&mut buffer) {
            Ok(0) if is_dead => return,
            Ok(0) => return,
            Ok(_) if is_dead => {}
            Ok(bytes) if machine.write_all(&buffer[..bytes]).is_err() => return,
            Err(error) if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return,
            _ => {}
        }
        match machine.read(&mut buffer) {
            // The end of a dead connection does not pass either.
            Ok(0) if is_dead => thread::sleep(Duration::from_millis(5)),
            Ok(0) => return,
            Ok(bytes) => from_machine.extend_from_slice(&buffer[..bytes]),
            Err(error) if !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return,
            _ => {}
        }
        while let Some(end) = from_machine.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = from_machine.drain(..=end).collect();
            let text = String::from_utf8_lossy(&line).into_owned();
            let mut lost = loses.lock().unwrap();
            let id = lost.0.clone().filter(|id| text.contains("\"ready\"") && text.contains(id.as_str()));
            if id.is_some() {
                *lost = (None, Some(record::now_ms()));
                is_dead = true;
                record::add(name, "loses the answer; nothing passes on this connection from now on");
            }
            drop(lost);
            if is_dead {
                if !text.contains("\"probed\"") {
                    record::add(name, &format!("lost {text}"));
                }
            } else if planner.write_all(&line).is_err() {
                return;
            }
        }
    }
}
