//! One connection between two gateways: CBOR messages over a WebSocket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, eyre};
use futures_util::{SinkExt, StreamExt};
use ibiscroft_core::ids::InstanceName;
use ibiscroft_wire::codec;
use ibiscroft_wire::generated::peer::PeerMessage;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::control::ControlEvent;
use crate::controllers::peers::PeerEvent;
use crate::shared::Shared;

/// Interval of WebSocket pings, which keep a connection without other messages from counting as
/// silent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time without a message from the other side.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause between tries to connect.
const REDIAL_PAUSE: Duration = Duration::from_millis(500);
/// Messages that may wait for a slow peer; further ones are dropped.
const SEND_QUEUE: usize = 1_024;
/// Largest message, in bytes; a configuration has at most 1 MB.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Sends messages over one connection.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    id: u64,
    tx: mpsc::Sender<Bytes>,
}

impl Link {
    /// Identifies the connection in this process.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Queues a message; drops it when the peer is too slow.
    pub(crate) fn send(&self, frame: Bytes) {
        let _ = self.tx.try_send(frame);
    }
}

/// Keeps a connection to one gateway up until the task is aborted.
pub(crate) async fn dial(
    name: InstanceName,
    address: SocketAddr,
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<ControlEvent>,
) {
    loop {
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connect(address)).await;
        if let Ok(Ok(socket)) = connected
            && let Err(error) = run(socket, &shared, &events).await
        {
            log::debug!("connection to {name}: {error:#}");
        }
        tokio::time::sleep(REDIAL_PAUSE).await;
    }
}

/// Accepts connections of other gateways.
pub(crate) async fn listen(
    listener: TcpListener,
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<ControlEvent>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(REDIAL_PAUSE).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let events = events.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = accept(stream, &shared, &events).await {
                log::debug!("connection from a peer: {error:#}");
            }
        });
    }
}

async fn connect(address: SocketAddr) -> eyre::Result<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(limits())).await?;
    Ok(socket)
}

async fn accept(
    stream: TcpStream,
    shared: &Shared,
    events: &mpsc::UnboundedSender<ControlEvent>,
) -> eyre::Result<()> {
    stream.set_nodelay(true)?;
    let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(limits()));
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, accepted).await??;
    run(socket, shared, events).await
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Exchanges messages until the connection ends or goes silent.
async fn run(
    mut socket: WebSocketStream<TcpStream>,
    shared: &Shared,
    events: &mpsc::UnboundedSender<ControlEvent>,
) -> eyre::Result<()> {
    let hello =
        PeerMessage::Hello { instance: shared.instance.to_string(), run: shared.run.to_string() };
    socket.send(Message::binary(codec::to_cbor(&hello)?)).await?;
    let PeerMessage::Hello { instance, .. } = receive(&mut socket, shared).await? else {
        return Err(eyre!("the first message was no hello"));
    };
    let instance = InstanceName::new(instance);
    let (tx, rx) = mpsc::channel(SEND_QUEUE);
    let link = Link { id: NEXT_LINK.fetch_add(1, Ordering::Relaxed), tx };
    let id = link.id;
    let _ = events.send(ControlEvent::Peer(PeerEvent::Up { instance: instance.clone(), link }));
    let ended = exchange(socket, rx, &instance, shared, events).await;
    let _ = events.send(ControlEvent::Peer(PeerEvent::Down { instance, id }));
    ended
}

async fn exchange(
    mut socket: WebSocketStream<TcpStream>,
    mut rx: mpsc::Receiver<Bytes>,
    instance: &InstanceName,
    shared: &Shared,
    events: &mpsc::UnboundedSender<ControlEvent>,
) -> eyre::Result<()> {
    let mut keep_alive = tokio::time::interval(KEEP_ALIVE_INTERVAL);
    keep_alive.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = keep_alive.tick() => {
                let sent = socket.send(Message::Ping(Bytes::new()));
                tokio::time::timeout(SILENCE_LIMIT, sent).await.wrap_err("peer does not read")??;
            }
            frame = rx.recv() => {
                let Some(frame) = frame else {
                    return Ok(());
                };
                shared.metrics.peer_sent_bytes.inc_by(frame.len() as u64);
                let sent = socket.send(Message::Binary(frame));
                tokio::time::timeout(SILENCE_LIMIT, sent).await.wrap_err("peer does not read")??;
            }
            received = receive(&mut socket, shared) => {
                let instance = instance.clone();
                let message = received?;
                let _ = events.send(ControlEvent::Peer(PeerEvent::Message { instance, message }));
            }
        }
    }
}

/// Receives the next message.
async fn receive(
    socket: &mut WebSocketStream<TcpStream>,
    shared: &Shared,
) -> eyre::Result<PeerMessage> {
    loop {
        let next = tokio::time::timeout(SILENCE_LIMIT, socket.next()).await;
        match next.wrap_err("the peer went silent")? {
            Some(Ok(Message::Binary(frame))) => {
                shared.metrics.peer_received_bytes.inc_by(frame.len() as u64);
                return codec::from_cbor(&frame).wrap_err("unknown message");
            }
            Some(Ok(Message::Close(_))) | None => return Err(eyre!("the peer closed")),
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(error.into()),
        }
    }
}
