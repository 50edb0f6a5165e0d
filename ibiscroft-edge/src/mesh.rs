//! Connections between gateways: one tells others what changed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use futures_util::SinkExt;
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::Update;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::sync::broadcast::error::RecvError;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::events::event;
use crate::feeder::aged;
use crate::shared::Shared;

/// Updates that may wait for one follower before it gets everything anew.
pub(crate) const FOLLOWER_QUEUE: usize = 64;
/// Time for which sent bytes may stay unacknowledged before a connection counts as silent.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);

/// Age stated for a view whose age the sender does not know; any view is stale long before.
const UNKNOWN_AGE: Duration = Duration::from_secs(3_600);

/// An update on its way to followers.
#[derive(Clone, Debug)]
pub(crate) struct FeedMessage {
    update: Arc<Update>,
    made_at: Tick,
}

impl FeedMessage {
    /// Makes a message at `now`.
    pub(crate) fn new(update: Update, now: Tick) -> Self {
        Self { update: Arc::new(update), made_at: now }
    }

    /// Returns the message as it is sent at `now`.
    fn encode(&self, now: Tick) -> eyre::Result<Message> {
        let age = aged(self.update.age, self.made_at, now);
        let mut buf = Vec::new();
        ciborium::into_writer(&Update { age, ..(*self.update).clone() }, &mut buf)?;
        Ok(Message::Binary(Bytes::from(buf)))
    }
}

/// Opens a connection to the gateway at `address`, which then tells what it knows and what changes.
///
/// # Errors
///
/// Returns why it cannot be opened.
pub(crate) async fn open(address: SocketAddr) -> eyre::Result<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    prepare(&stream)?;
    let (stream, _) =
        tokio_tungstenite::client_async(format!("ws://{address}/feed"), stream).await?;
    Ok(stream)
}

/// Reads a message; `None` if it carries no update.
///
/// # Errors
///
/// Returns why an update cannot be read.
pub(crate) fn decode(message: Message) -> eyre::Result<Option<Update>> {
    match message {
        Message::Binary(bytes) => Ok(Some(ciborium::from_reader(bytes.as_ref())?)),
        _ => Ok(None),
    }
}

/// Accepts followers until the runtime ends.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    listener: TcpListener,
    updates: broadcast::Sender<FeedMessage>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let updates = updates.subscribe();
                tokio::spawn(serve_logged(Arc::clone(&shared), stream, peer, updates));
            }
            Err(error) => {
                event!(MeshRefused, "reason={:?}", error.to_string());
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_logged(
    shared: Arc<Shared>,
    stream: TcpStream,
    peer: SocketAddr,
    updates: broadcast::Receiver<FeedMessage>,
) {
    if let Err(error) = serve_follower(shared, stream, updates).await {
        event!(MeshRefused, "peer={peer} reason={:?}", format!("{error:#}"));
    }
}

/// Sends everything known and then each change.
async fn serve_follower(
    shared: Arc<Shared>,
    stream: TcpStream,
    mut updates: broadcast::Receiver<FeedMessage>,
) -> eyre::Result<()> {
    prepare(&stream)?;
    let mut stream = tokio_tungstenite::accept_async(stream).await.wrap_err("handshake")?;
    stream.send(everything(&shared)?).await?;
    loop {
        let message = match updates.recv().await {
            Ok(message) => message.encode(shared.clock.now())?,
            Err(RecvError::Lagged(_)) => everything(&shared)?,
            Err(RecvError::Closed) => return Ok(()),
        };
        stream.send(message).await?;
    }
}

/// Returns a message with all that is known; its age is that of the published view.
fn everything(shared: &Shared) -> eyre::Result<Message> {
    let view = shared.view.load_full();
    // How fresh the view is comes with the next change or heartbeat.
    let update = view.full(UNKNOWN_AGE);
    FeedMessage::new(update, Tick::ZERO).encode(Tick::ZERO)
}

fn prepare(stream: &TcpStream) -> eyre::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(())
}
