//! Connections that come in.
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// How long no connection is accepted after one could not be.
const REST: Duration = Duration::from_millis(10);

/// A listener that rests for a moment when a connection could not be accepted: out of descriptors, everything
/// else goes on.
pub struct Acceptor {
    listener: TcpListener,
    rests_until: Option<Instant>,
}

impl Acceptor {
    pub fn new(listener: TcpListener) -> Self {
        Acceptor { listener, rests_until: None }
    }

    /// The next connection, without delay of small writes. May be dropped at any time: no connection is lost,
    /// and a rest goes on with the next call.
    pub async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            if let Some(until) = self.rests_until {
                tokio::time::sleep_until(until).await;
                self.rests_until = None;
            }
            match self.listener.accept().await {
                Ok((stream, from)) => {
                    let _ = stream.set_nodelay(true);
                    return (stream, from);
                }
                Err(e) => {
                    tracing::warn!(error = %e, "a connection could not be accepted");
                    self.rests_until = Some(Instant::now() + REST);
                }
            }
        }
    }
}
