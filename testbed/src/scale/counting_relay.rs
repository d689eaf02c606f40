//! A relay that counts its traffic in both directions, by kind of frame.
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

/// Size of the read buffers, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// Counts of a relay. "In" is the direction to the address behind the relay.
#[derive(Debug, Default)]
pub struct RelayCounts {
    /// Traffic by kind of frame.
    pub traffic: RefCell<Traffic>,
    /// Traffic by the name in the hello of the client that connected.
    pub by_peer: RefCell<TrafficByPlanner>,
    /// All bytes, including those of frames whose kind is not known yet.
    pub bytes: Cell<u64>,
}

/// Starts a relay to the address `to` on a loopback port, and returns the relay's address.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn relay(to: String, counts: Rc<RelayCounts>) -> io::Result<String> {
    let listener = TcpListener::bind((loopback_host(7).as_str(), 0)).await?;
    let address = listener.local_addr()?.to_string();
    tokio::task::spawn_local(async move {
        while let Ok((client, _)) = listener.accept().await {
            tokio::task::spawn_local(forward(client, to.clone(), counts.clone()));
        }
    });
    Ok(address)
}

/// Forwards a client's connection until both directions have closed.
async fn forward(client: TcpStream, to: String, counts: Rc<RelayCounts>) {
    let Ok(target) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let ((client_in, client_out), (target_in, target_out)) = (client.into_split(), target.into_split());
    let peer = RefCell::new(None);
    tokio::join!(
        forward_direction(client_in, target_out, true, &counts, &peer),
        forward_direction(target_in, client_out, false, &counts, &peer)
    );
}

/// Forwards one direction to its end, and then closes it.
async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    inward: bool,
    counts: &RelayCounts,
    peer: &RefCell<Option<String>>,
) {
    let (mut scanner, mut bytes) = (FrameScanner::default(), vec![0; READ_SIZE]);
    let mut hello_decoder = FrameDecoder::default();
    // Traffic that arrived before the client's hello.
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
