//! Accepts connections.
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long no connection is accepted after one could not be.
const BACKOFF: Duration = Duration::from_millis(10);

/// A listener that backs off for a moment when a connection could not be accepted: a process that is out of
/// descriptors goes on with everything else.
pub struct Acceptor {
    listener: TcpListener,
    paused_until: Option<Instant>,
}

impl Acceptor {
    /// Accepts what connects to this listener.
    pub fn new(listener: TcpListener) -> Self {
        Acceptor { listener, paused_until: None }
    }

    /// The next connection, without delay of small writes. May be dropped at any time: no connection is lost,
    /// and a backoff goes on with the next call.
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
                    tracing::warn!(%error, "a connection could not be accepted");
                    self.paused_until = Some(Instant::now() + BACKOFF);
                }
            }
        }
    }
}
