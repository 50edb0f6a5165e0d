//! Liveness connections: one idle connection to each target, which is closed when the target's
//! process ends.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use ibiscroft_core::ids::TargetName;
use rand::Rng;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use crate::control::ControlEvent;

/// Longest time to establish a liveness connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval of the TCP keepalive probes that the kernel sends on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the kernel closes the connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Smallest reconnect backoff.
///
/// The delay before the connection is opened again is random, between half of the backoff and the
/// backoff.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Largest reconnect backoff; each failure to connect doubles the backoff up to this limit.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// Longest random delay before a connection is opened for the first time.
///
/// It spreads the connections to the targets of a new configuration over this time.
const MAX_INITIAL_DELAY: Duration = Duration::from_millis(100);

/// An idle connection to a target.
#[derive(Debug)]
pub(crate) struct LivenessConnection {
    stream: std::net::TcpStream,
    is_closed: AtomicBool,
}

impl LivenessConnection {
    /// Returns whether the end of the connection was not noticed yet.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Acquire)
    }

    /// Returns whether the connection is open and the kernel knows of no end either.
    ///
    /// The kernel may know of an end that the task which reads from the connection has not
    /// noticed yet.
    pub(crate) fn is_verified_open(&self) -> bool {
        let peeked = self.stream.peek(&mut [0]);
        self.is_open() && peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn mark_closed(&self) {
        self.is_closed.store(true, Ordering::Release);
    }
}

/// A change of a liveness connection.
#[derive(Clone, Debug)]
pub(crate) enum LivenessEvent {
    /// A connection was opened.
    Opened(TargetName, Arc<LivenessConnection>),
    /// The connection ended.
    Closed(TargetName, Arc<LivenessConnection>),
}

/// Keeps a liveness connection to one target open until the task is aborted.
pub(crate) async fn maintain(
    target: TargetName,
    address: SocketAddr,
    events: mpsc::UnboundedSender<ControlEvent>,
) {
    let mut backoff = MIN_BACKOFF;
    tokio::time::sleep(rand::rng().random_range(Duration::ZERO..MAX_INITIAL_DELAY)).await;
    loop {
        match tokio::time::timeout(CONNECT_TIMEOUT, open(address)).await {
            Ok(Ok((mut stream, connection))) => {
                backoff = MIN_BACKOFF;
                let connection = Arc::new(connection);
                let opened = LivenessEvent::Opened(target.clone(), Arc::clone(&connection));
                let _ = events.send(ControlEvent::Liveness(opened));
                // A target never sends on this connection, so received bytes count as its end too.
                let _ = stream.read(&mut [0]).await;
                connection.mark_closed();
                let closed = LivenessEvent::Closed(target.clone(), connection);
                let _ = events.send(ControlEvent::Liveness(closed));
            }
            _ => backoff = (backoff * 2).min(MAX_BACKOFF),
        }
        tokio::time::sleep(rand::rng().random_range(backoff / 2..backoff)).await;
    }
}

async fn open(address: SocketAddr) -> std::io::Result<(TcpStream, LivenessConnection)> {
    let stream = TcpStream::connect(address).await?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    let connection = LivenessConnection {
        stream: socket.try_clone()?.into(),
        is_closed: AtomicBool::new(false),
    };
    Ok((stream, connection))
}
