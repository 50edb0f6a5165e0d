//! Connections between two gateways: CBOR messages over a WebSocket.
//!
//! Both sides first send a [`PeerMessage::Hello`] with the instance and run of their gateway. After
//! that each side may send any message at any time.

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

/// Interval of WebSocket pings, so that [`PEER_TIMEOUT`] does not end a connection without other
/// messages.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time without a WebSocket frame from the peer, and for one message to be written.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout for opening or accepting a connection, each with its WebSocket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next attempt to connect or to accept.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Messages that may be queued for a slow peer; further ones are dropped.
const SEND_QUEUE_CAPACITY: usize = 1_024;
/// Largest message, in bytes; a configuration has at most 1 MB.
const MAX_MESSAGE_BYTES: usize = 2 << 20;

static NEXT_LINK_ID: AtomicU64 = AtomicU64::new(1);

/// Sending side of one connection; clones send over the same connection.
#[derive(Clone, Debug)]
pub(crate) struct Link {
    id: u64,
    tx: mpsc::Sender<Bytes>,
}

impl Link {
    /// Returns the id of the connection, which is unique in this process.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Queues an encoded message; drops it if the queue is full or the connection has ended.
    pub(crate) fn send(&self, frame: Bytes) {
        let _ = self.tx.try_send(frame);
    }
}

/// Connects to one gateway, and again whenever the connection ends, until the task is aborted.
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
            log::debug!("connection to gateway {name} failed: {error:#}");
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Accepts connections from other gateways.
pub(crate) async fn listen(
    listener: TcpListener,
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<ControlEvent>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        let shared = Arc::clone(&shared);
        let events = events.clone();
        tokio::task::spawn_local(async move {
            if let Err(error) = accept(stream, &shared, &events).await {
                log::debug!("connection accepted from a gateway failed: {error:#}");
            }
        });
    }
}

/// Opens a connection to another gateway and performs the WebSocket handshake.
async fn connect(address: SocketAddr) -> eyre::Result<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/");
    let (socket, _) =
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config())).await?;
    Ok(socket)
}

/// Performs the WebSocket handshake on an accepted connection, then exchanges messages over it.
async fn accept(
    stream: TcpStream,
    shared: &Shared,
    events: &mpsc::UnboundedSender<ControlEvent>,
) -> eyre::Result<()> {
    stream.set_nodelay(true)?;
    let accepted = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()));
    let socket = tokio::time::timeout(CONNECT_TIMEOUT, accepted).await??;
    run(socket, shared, events).await
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Exchanges hellos, then messages until the connection ends or times out.
async fn run(
    mut socket: WebSocketStream<TcpStream>,
    shared: &Shared,
    events: &mpsc::UnboundedSender<ControlEvent>,
) -> eyre::Result<()> {
    let hello =
        PeerMessage::Hello { instance: shared.instance.to_string(), run: shared.run.to_string() };
    socket.send(Message::binary(codec::to_cbor(&hello)?)).await?;
    let PeerMessage::Hello { instance, .. } = receive(&mut socket, shared).await? else {
        return Err(eyre!("first message from the peer is not a hello"));
    };
    let instance = InstanceName::new(instance);
    let (tx, rx) = mpsc::channel(SEND_QUEUE_CAPACITY);
    let link = Link { id: NEXT_LINK_ID.fetch_add(1, Ordering::Relaxed), tx };
    let id = link.id;
    let _ = events.send(ControlEvent::Peer(PeerEvent::Up { instance: instance.clone(), link }));
    let result = exchange_messages(socket, rx, &instance, shared, events).await;
    let _ = events.send(ControlEvent::Peer(PeerEvent::Down { instance, id }));
    result
}

/// Sends queued messages and pings, and forwards received messages to the control thread.
async fn exchange_messages(
    mut socket: WebSocketStream<TcpStream>,
    mut rx: mpsc::Receiver<Bytes>,
    instance: &InstanceName,
    shared: &Shared,
    events: &mpsc::UnboundedSender<ControlEvent>,
) -> eyre::Result<()> {
    let mut ping_timer = tokio::time::interval(PING_INTERVAL);
    ping_timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ping_timer.tick() => {
                let sent = socket.send(Message::Ping(Bytes::new()));
                tokio::time::timeout(PEER_TIMEOUT, sent).await.wrap_err("write to the peer timed out")??;
            }
            frame = rx.recv() => {
                let Some(frame) = frame else {
                    return Ok(());
                };
                shared.metrics.peer_sent_bytes.inc_by(frame.len() as u64);
                let sent = socket.send(Message::Binary(frame));
                tokio::time::timeout(PEER_TIMEOUT, sent).await.wrap_err("write to the peer timed out")??;
            }
            received = receive(&mut socket, shared) => {
                let instance = instance.clone();
                let message = received?;
                let _ = events.send(ControlEvent::Peer(PeerEvent::Message { instance, message }));
            }
        }
    }
}

/// Waits for the next message from the peer.
async fn receive(
    socket: &mut WebSocketStream<TcpStream>,
    shared: &Shared,
) -> eyre::Result<PeerMessage> {
    loop {
        let next = tokio::time::timeout(PEER_TIMEOUT, socket.next()).await;
        match next.wrap_err("timed out waiting for a message from the peer")? {
            Some(Ok(Message::Binary(frame))) => {
                shared.metrics.peer_received_bytes.inc_by(frame.len() as u64);
                return codec::from_cbor(&frame)
                    .wrap_err("failed to decode a message from the peer");
            }
            Some(Ok(Message::Close(_))) | None => return Err(eyre!("connection closed by peer")),
            Some(Ok(_)) => {}
            Some(Err(error)) => return Err(error.into()),
        }
    }
}
