//! A relay that counts both directions of what it carries, by kind of frame.
use super::hosts::loopback_host;
use super::traffic::{FrameScanner, Traffic, TrafficByPlanner};
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::wire::Body;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Bytes of one read.
const READ_SIZE: usize = 16 * 1024;

/// What a relay counts. `in` is what goes to the address behind it.
#[derive(Debug, Default)]
pub struct RelayCounts {
    /// By kind.
    pub traffic: RefCell<Traffic>,
    /// The same by the name under which who dialled said hello.
    pub by_peer: RefCell<TrafficByPlanner>,
    /// All bytes, whether or not a frame's head was there.
    pub bytes: Cell<u64>,
}

/// Listens on a loopback port of its own, which it returns, relays to `to`, and counts both directions by kind.
///
/// # Errors
///
/// Where no port can be bound.
pub async fn relay(to: String, counts: Rc<RelayCounts>) -> io::Result<String> {
    let listener = TcpListener::bind((loopback_host(7).as_str(), 0)).await?;
    let address = listener.local_addr()?.to_string();
    tokio::task::spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            tokio::task::spawn_local(carry(near, to.clone(), counts.clone()));
        }
    });
    Ok(address)
}

async fn carry(near: TcpStream, to: String, counts: Rc<RelayCounts>) {
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_in, near_out), (far_in, far_out)) = (near.into_split(), far.into_split());
    let peer = RefCell::new(None);
    tokio::join!(
        one_direction(near_in, far_out, true, &counts, &peer),
        one_direction(far_in, near_out, false, &counts, &peer)
    );
}

/// Carries one direction to its end, and then closes it.
async fn one_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    inward: bool,
    counts: &RelayCounts,
    peer: &RefCell<Option<String>>,
) {
    let (mut scanner, mut bytes) = (FrameScanner::default(), vec![0; READ_SIZE]);
    let mut hello_decoder = FrameDecoder::default();
    // What the other side sent before it was known to whom.
    let mut pending = Traffic::default();
    while let Ok(count @ 1..) = from.read(&mut bytes).await {
        counts.bytes.set(counts.bytes.get() + count as u64);
        if inward && peer.borrow().is_none() {
            hello_decoder.push_bytes(&bytes[..count]);
            if let Some((_, Some(Body::Hello(hello)))) = hello_decoder.next_frame() {
                *peer.borrow_mut() = Some(hello.name);
            }
        }
        scanner.scan(&bytes[..count], |kind, bytes| match inward {
            true => pending.0[kind].count_in(bytes),
            false => pending.0[kind].count_out(bytes),
        });
        if let Some(peer) = &*peer.borrow() {
            counts.by_peer.borrow_mut().entry(peer.clone()).or_default().add(&pending);
            counts.traffic.borrow_mut().add(&std::mem::take(&mut pending));
        }
        if to.write_all(&bytes[..count]).await.is_err() {
            break;
        }
    }
    counts.traffic.borrow_mut().add(&pending);
    let _ = to.shutdown().await;
}
