//! A relay between processes: it forwards bytes between its clients and one address, and injects
//! faults: cuts in one or both directions, delays, resets and refused connections. A connection
//! that is cut in one direction stays open, as when a switch drops packets, so neither end is
//! notified.
use basaltpitch_agent::frame_decoder::FrameDecoder;
use basaltpitch_agent::wire::Body;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Active faults of a relay, which may change at any time, and its byte count.
#[derive(Debug, Default)]
pub struct RelayControl {
    /// Whether nothing is forwarded from clients. Bytes sent meanwhile are delivered after the cut.
    pub cut_forward: Cell<bool>,
    /// Whether nothing is forwarded back to clients. Bytes sent meanwhile are delivered after the
    /// cut.
    pub cut_backward: Cell<bool>,
    /// The same two cuts, forward and backward, for the connections of one client, by the name in
    /// its hello.
    pub cut_by_peer: RefCell<BTreeMap<String, (bool, bool)>>,
    /// Delay of all bytes.
    pub delay: Cell<Duration>,
    /// A counter; all connections are closed when it increases.
    pub resets: Cell<u64>,
    /// Whether new connections are closed at once.
    pub refuses: Cell<bool>,
    /// Bytes received, of both directions.
    pub bytes_forwarded: Cell<u64>,
}

/// Interval at which changed faults are noticed.
const CHECK_EVERY: Duration = Duration::from_millis(5);
/// Maximum number of reads per direction that await their delivery.
const MAX_PENDING_READS: usize = 256;

/// Starts a relay to the address `to` on a loopback port, and returns the relay's address.
///
/// # Errors
///
/// Fails if no port can be bound.
pub async fn start(to: String, control: Rc<RelayControl>) -> io::Result<String> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?.to_string();
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            if !control.refuses.get() {
                tokio::task::spawn_local(forward(stream, to.clone(), control.clone()));
            }
        }
    });
    Ok(address)
}

/// Forwards a client's connection until it closes or is reset.
async fn forward(client: TcpStream, to: String, control: Rc<RelayControl>) {
    let Ok(target) = TcpStream::connect(to).await else { return };
    let _ = (client.set_nodelay(true), target.set_nodelay(true));
    let ((client_in, client_out), (target_in, target_out)) = (client.into_split(), target.into_split());
    let resets = control.resets.get();
    let reset = async {
        while control.resets.get() == resets {
            tokio::time::sleep(CHECK_EVERY).await;
        }
    };
    // A client's first frame is its hello, which names it.
    let (client_name, hello_decoder) =
        (RefCell::new(String::new()), RefCell::new(Some(FrameDecoder::default())));
    let on_read = |bytes: &[u8]| {
        let mut pending_decoder = hello_decoder.borrow_mut();
        let Some(decoder) = pending_decoder.as_mut() else { return };
        decoder.push_bytes(bytes);
        if let Some((_, body)) = decoder.next_frame() {
            if let Some(Body::Hello(hello)) = body {
                *client_name.borrow_mut() = hello.name;
            }
            *pending_decoder = None;
        }
    };
    let cut_of_peer =
        || control.cut_by_peer.borrow().get(&*client_name.borrow()).copied().unwrap_or_default();
    tokio::select! {
        () = forward_direction(
            client_in,
            target_out,
            on_read,
            || control.cut_forward.get() || cut_of_peer().0,
            &control,
        ) => {}
        () = forward_direction(
            target_in,
            client_out,
            |_| {},
            || control.cut_backward.get() || cut_of_peer().1,
            &control,
        ) => {}
        () = reset => {}
    }
}

/// Forwards one direction until either end closes.
async fn forward_direction(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    on_read: impl Fn(&[u8]),
    cut: impl Fn() -> bool,
    control: &RelayControl,
) {
    // A delay does not slow down the bytes that follow: it models a long path, not one of low
    // bandwidth.
    let (pending, mut arrivals) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_PENDING_READS);
    let reads = async {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            let count = from.read(&mut bytes).await.unwrap_or(0);
            control.bytes_forwarded.set(control.bytes_forwarded.get() + count as u64);
            on_read(&bytes[..count]);
            let at = Instant::now() + control.delay.get();
            if pending.send((at, bytes[..count].to_vec())).await.is_err() || count == 0 {
                return std::future::pending::<()>().await;
            }
        }
    };
    let writes = async {
        while let Some((at, bytes)) = arrivals.recv().await {
            tokio::time::sleep_until(at).await;
            while cut() {
                tokio::time::sleep(CHECK_EVERY).await;
            }
            if bytes.is_empty() || to.write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = reads => {}
        () = writes => {}
    }
}
