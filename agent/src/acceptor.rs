//! Accepts TCP connections, with a pause after a failed `accept`.
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Pause after a failed `accept` call.
const BACKOFF: Duration = Duration::from_millis(10);

/// A listener that pauses after a failed `accept` call, so that a process without free file
/// descriptors does not spin on the error and its other work goes on.
pub struct Acceptor {
    listener: TcpListener,
    paused_until: Option<Instant>,
}

impl Acceptor {
    /// Returns an acceptor for the connections of this listener.
    pub fn new(listener: TcpListener) -> Self {
        Acceptor { listener, paused_until: None }
    }

    /// Returns the next connection, with `TCP_NODELAY` set. Cancel safe: dropping the future loses
    /// no connection, and a pause continues with the next call.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            if let Some(until) = self.paused_until {
                tokio::time::sleep_until(until).await;
                self.paused_until = None;
            }
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    let _ = stream.set_nodelay(true);
                    return (stream, from);
                }
                Err(error) => {
                    tracing::warn!(%error, "accepting a connection failed; pausing before the next attempt");
                    self.paused_until = Some(Instant::now() + BACKOFF);
                }
            }
        }
    }
}
