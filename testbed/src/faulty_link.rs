//! A rough link: it carries bytes between a socket and a stand-in's conversation, and spoils them on command.
//! What comes and goes is shown to the checker frame by frame, twice each way: while bytes are held back, a
//! frame is on the socket at one time and with the stand-in at another.
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::link::Clock;
use basaltpitch_agent::wire::{Body, Hello, Role};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;

/// What is wrong with the links of one stand-in. Times are the clock's, in microseconds; 0: nothing.
#[derive(Debug, Default)]
pub struct FaultInjection {
    /// Until then bytes of both directions are held back; then they come all at once.
    pub held_until: Cell<i64>,
    /// Only links to planners whose name has this number are held, where it is set.
    pub held_for: Cell<u64>,
    pub no_beats_until: Cell<i64>,
    /// Until then nothing is read from the socket.
    pub deaf_until: Cell<i64>,
    /// Connections numbered up to this one neither read nor write any more, and stay open.
    pub dead_up_to: Cell<u64>,
    /// So many frames more are written; the next is cut in the middle, and the connection with it.
    pub cut_after: Cell<Option<u32>>,
    /// A count that ends all connections when it goes up.
    pub ends: Cell<u64>,
}

/// Something seen on a link.
pub enum LinkObservation<'a> {
    /// Read from the socket: the peer has sent it. `late`: nothing had been read there for a while.
    Read {
        body: &'a Body,
        late: bool,
    },
    /// Handed to the stand-in, which knows of it from now on.
    Heard {
        body: &'a Body,
    },
    /// The stand-in has said it.
    Wrote {
        body: &'a Body,
    },
    /// Written to the socket: the peer can know of it from now on.
    Sent {
        body: &'a Body,
    },
    Gone,
}

/// A number for a planner's name as a bit of a set.
pub fn bit_of(name: &str) -> u64 {
    let number: String = name.chars().filter(char::is_ascii_digit).collect();
    1 << (number.parse::<u64>().unwrap_or(0) % 64)
}

/// Carries bytes until either end is gone. `show` is called with the peer's hello, once it is known.
pub async fn carry(
    mut socket: TcpStream,
    mut inner: DuplexStream,
    conn: u64,
    knobs: Rc<FaultInjection>,
    clock: Clock,
    show: impl Fn(&Hello, LinkObservation),
) {
    let (mut reads, mut writes) = (FrameDecoder::default(), FrameDecoder::default());
    let (mut to_inner, mut to_socket): (Vec<u8>, Vec<u8>) = (Vec::new(), Vec::new());
    let (mut from_socket, mut from_inner) = (vec![0; 32 * 1024], vec![0; 32 * 1024]);
    // The whole frames among those bytes.
    let (mut unheard, mut unsent): (Vec<Body>, Vec<Body>) = (Vec::new(), Vec::new());
    let mut peer: Option<Hello> = None;
    let mut deaf_before = 0;
    let ends = knobs.ends.get();
    'on: loop {
        let now = clock.now();
        if knobs.ends.get() != ends {
            break;
        }
        let dead = conn <= knobs.dead_up_to.get();
        let whom = peer.as_ref().filter(|p| p.role == Role::Planner as i32).map_or(0, |p| bit_of(&p.name));
        let concerned = knobs.held_for.get() == 0 || knobs.held_for.get() & whom != 0;
        let held = dead || (now < knobs.held_until.get() && concerned);
        let deaf = now < knobs.deaf_until.get();
        if deaf {
            deaf_before = now;
        }
        if !held {
            if !to_inner.is_empty() && inner.write_all(&std::mem::take(&mut to_inner)).await.is_err() {
                break;
            }
            unheard
                .drain(..)
                .zip(peer.iter().cycle())
                .for_each(|(b, p)| show(p, LinkObservation::Heard { body: &b }));
            if !to_socket.is_empty() && socket.write_all(&std::mem::take(&mut to_socket)).await.is_err() {
                break;
            }
            unsent
                .drain(..)
                .zip(peer.iter().cycle())
                .for_each(|(b, p)| show(p, LinkObservation::Sent { body: &b }));
        }
        // FaultInjection are turned at any time: a look every few milliseconds is often enough.
        let look = tokio::time::sleep(std::time::Duration::from_millis(5));
        let (mut reader, mut writer) = socket.split();
        tokio::select! {
            got = reader.read(&mut from_socket), if !deaf => {
                let Ok(n) = got else { break };
                if n == 0 {
                    break;
                }
                reads.push_bytes(&from_socket[..n]);
                to_inner.extend_from_slice(&from_socket[..n]);
                while let Some((_, body)) = reads.next_frame() {
                    if let Some(Body::Hello(hello)) = &body {
                        peer = Some(hello.clone());
                    }
                    if let (Some(peer), Some(body)) = (&peer, &body) {
                        let late = deaf_before > 0 && clock.now() < deaf_before + 500_000;
                        show(peer, LinkObservation::Read { body, late });
                    }
                    unheard.extend(body);
                }
            }
            got = inner.read(&mut from_inner) => {
                let Ok(n) = got else { break };
                if n == 0 {
                    break;
                }
                writes.push_bytes(&from_inner[..n]);
                while let Some((bytes, body)) = writes.next_frame() {
                    if matches!(body, Some(Body::Heartbeat(_))) && now < knobs.no_beats_until.get() {
                        continue;
                    }
                    if let Some(left) = knobs.cut_after.get() {
                        knobs.cut_after.set(left.checked_sub(1));
                        if left == 0 {
                            let _ = writer.write_all(&bytes[..bytes.len() / 2]).await;
                            break 'on;
                        }
                    }
                    to_socket.extend_from_slice(&bytes);
                    if let (Some(peer), Some(body), false) = (&peer, &body, dead) {
                        show(peer, LinkObservation::Wrote { body });
                        unsent.push(body.clone());
                    }
                }
            }
            () = look, if held || deaf || dead => {}
            () = tokio::time::sleep(std::time::Duration::from_millis(50)) => {}
        }
    }
    if let Some(peer) = &peer {
        show(peer, LinkObservation::Gone);
    }
    // What was read before the end still comes in, however late: the receiver must cope with it.
    if inner.write_all(&to_inner).await.is_ok() {
        unheard
            .iter()
            .zip(peer.iter().cycle())
            .for_each(|(body, p)| show(p, LinkObservation::Heard { body }));
    }
}
