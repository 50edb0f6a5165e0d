//! Tripwires: one idle connection to each target, which the end of the target's process closes.

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

/// Longest time to open a tripwire.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without traffic after which the kernel probes the other side.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which the connection is closed.
const PROBES: u32 = 2;
/// Shortest pause before a tripwire is opened again.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before a tripwire is opened again.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Time after which the first tripwires of a configuration are open.
const SPREAD: Duration = Duration::from_millis(100);

/// An idle connection to a target.
#[derive(Debug)]
pub(crate) struct LivenessConnection {
    stream: std::net::TcpStream,
    is_closed: AtomicBool,
}

impl LivenessConnection {
    /// Returns whether no end was noticed yet.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_closed.load(Ordering::Acquire)
    }

    /// Returns whether the kernel knows of no end either.
    pub(crate) fn is_surely_open(&self) -> bool {
        let peeked = self.stream.peek(&mut [0]);
        self.is_open() && peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    }

    fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
    }
}

/// Something that happened to a tripwire.
#[derive(Clone, Debug)]
pub(crate) enum LivenessEvent {
    /// A tripwire is open.
    Opened(TargetName, Arc<LivenessConnection>),
    /// The tripwire ended.
    Closed(TargetName, Arc<LivenessConnection>),
}

/// Keeps a tripwire to one target until the task is aborted.
pub(crate) async fn keep(
    target: TargetName,
    address: SocketAddr,
    events: mpsc::UnboundedSender<ControlEvent>,
) {
    let mut pause = SHORTEST_PAUSE;
    tokio::time::sleep(rand::rng().random_range(Duration::ZERO..SPREAD)).await;
    loop {
        match tokio::time::timeout(CONNECT_TIMEOUT, open(address)).await {
            Ok(Ok((mut stream, connection))) => {
                pause = SHORTEST_PAUSE;
                let connection = Arc::new(connection);
                let opened = LivenessEvent::Opened(target.clone(), Arc::clone(&connection));
                let _ = events.send(ControlEvent::Liveness(opened));
                // A target has nothing to say here; bytes count as the end as well.
                let _ = stream.read(&mut [0]).await;
                connection.close();
                let closed = LivenessEvent::Closed(target.clone(), connection);
                let _ = events.send(ControlEvent::Liveness(closed));
            }
            _ => pause = (pause * 2).min(LONGEST_PAUSE),
        }
        tokio::time::sleep(rand::rng().random_range(pause / 2..pause)).await;
    }
}

async fn open(address: SocketAddr) -> std::io::Result<(TcpStream, LivenessConnection)> {
    let stream = TcpStream::connect(address).await?;
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    let connection = LivenessConnection {
        stream: socket.try_clone()?.into(),
        is_closed: AtomicBool::new(false),
    };
    Ok((stream, connection))
}
