//! The front: a plain relay between owners and one planner. It can reset the connections of an
//! owner, as networks do.
use crate::record;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Front {
    pub address: SocketAddr,
    /// For each connection, in the order of their opening: the owner's address, and whether the
    /// connection is to be reset.
    relays: Arc<Mutex<Vec<(SocketAddr, bool)>>>,
}

impl Front {
    pub fn start(planner: SocketAddr) -> Front {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the front can listen");
        let front = Front { address: listener.local_addr().expect("an address"), relays: Arc::default() };
        let relays = front.relays.clone();
        thread::spawn(move || {
            for owner in listener.incoming().flatten() {
                let (Ok(from), Ok(inner)) = (owner.peer_addr(), TcpStream::connect(planner)) else {
                    continue;
                };
                let number = {
                    let mut relays = relays.lock().unwrap();
                    relays.push((from, false));
                    relays.len() - 1
                };
                let relays = relays.clone();
                thread::spawn(move || relay(owner, inner, &relays, number));
            }
        });
        front
    }

    /// Resets the connection of the owner at this address, towards both sides.
    pub fn reset(&self, owner: SocketAddr) {
        for relay in self.relays.lock().unwrap().iter_mut().filter(|relay| relay.0 == owner) {
            record::add("front", &format!("resets the connection from {owner}"));
            relay.1 = true;
        }
    }
}

/// Passes bytes on in both directions until either side ends or the relay is to be reset.
fn relay(
    mut owner: TcpStream,
    mut planner: TcpStream,
    relays: &Mutex<Vec<(SocketAddr, bool)>>,
    number: usize,
) {
    for stream in [&owner, &planner] {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1)));
    }
    let mut buffer = vec![0; 64 * 1024];
    loop {
        if relays.lock().unwrap()[number].1 {
            reset_on_close(&owner);
            reset_on_close(&planner);
            return;
        }
        if !pass(&mut owner, &mut planner, &mut buffer) || !pass(&mut planner, &mut owner, &mut buffer) {
            return;
        }
    }
}

fn pass(from: &mut TcpStream, to: &mut TcpStream, buffer: &mut [u8]) -> bool {
    match from.read(buffer) {
        Ok(0) => false,
        Ok(bytes) => to.write_all(&buffer[..bytes]).is_ok(),
        Err(error) => matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
    }
}

/// Makes the connection's close a reset.
fn reset_on_close(stream: &TcpStream) {
    extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = [1i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
}
