//! Connections between gateways: one tells others what changed.
//!
//! A message is the age of its update in microseconds followed by the update, both in CBOR.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use futures_util::{SinkExt, StreamExt};
use ibiscroft_core::fleet::{FollowerMessage, GatewayCount, Hint, Revision, Update};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::error::RecvError;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{
    Callback, ErrorResponse, Request, Response,
};

use crate::events::event;
use crate::feed_hub::{FeedHub, FeedMessage};
use crate::shared::Shared;

/// Time for which sent bytes may stay unacknowledged before a connection counts as silent.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Opens a connection to the gateway at `address`, which then tells what changed after
/// `revision`.
///
/// # Errors
///
/// Returns why it cannot be opened.
pub(crate) async fn open(
    address: SocketAddr,
    revision: Revision,
) -> eyre::Result<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    prepare(&stream)?;
    let url = format!("ws://{address}/feed?after={revision}");
    let (stream, _) = tokio_tungstenite::client_async(url, stream).await?;
    Ok(stream)
}

/// Returns the message by which a follower tells something.
///
/// # Errors
///
/// Returns why it cannot be encoded.
pub(crate) fn tell(told: &FollowerMessage) -> eyre::Result<Message> {
    let mut buf = Vec::new();
    ciborium::into_writer(told, &mut buf)?;
    Ok(Message::Binary(Bytes::from(buf)))
}

/// Uses a hint from this gateway or a follower and hands it on both ways.
pub(crate) fn take_hint(shared: &Shared, hub: &FeedHub, hint: Hint) {
    let now = shared.clock.now();
    event!(HintTaken, "source=follower {hint:?}");
    shared.local().suspects.note_hint(now, &hint);
    hub.tell_upstream(hint.clone());
    hub.spread(shared.view.load().revision(), vec![hint], now);
}

/// Reads a message; `None` if it carries no update.
///
/// # Errors
///
/// Returns why an update cannot be read.
pub(crate) fn decode(message: Message) -> eyre::Result<Option<Update>> {
    let Message::Binary(bytes) = message else {
        return Ok(None);
    };
    let mut rest = bytes.as_ref();
    let age: u64 = ciborium::from_reader(&mut rest).wrap_err("age")?;
    let update: Update = ciborium::from_reader(&mut rest).wrap_err("update")?;
    Ok(Some(Update { age: Duration::from_micros(age), ..update }))
}

/// Revision that a follower stands at, read from its handshake; 0 if it states none.
struct RequestedRevision(Revision);

impl Callback for &mut RequestedRevision {
    fn on_request(self, req: &Request, res: Response) -> Result<Response, ErrorResponse> {
        let query = req.uri().query().unwrap_or_default();
        let stated = query.strip_prefix("after=").and_then(|text| text.parse().ok());
        self.0 = stated.unwrap_or_default();
        Ok(res)
    }
}

/// Accepts followers until the runtime ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, hub: FeedHub) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (shared, hub) = (Arc::clone(&shared), hub.clone());
                tokio::spawn(async move {
                    let served = serve_follower(&shared, stream, peer, &hub).await;
                    hub.note_follower(peer, GatewayCount(0));
                    if let Err(error) = served {
                        event!(MeshRefused, "peer={peer} reason={:?}", format!("{error:#}"));
                    }
                });
            }
            Err(error) => {
                event!(MeshRefused, "reason={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Sends what the follower lacks and then each change.
async fn serve_follower(
    shared: &Shared,
    stream: TcpStream,
    peer: SocketAddr,
    hub: &FeedHub,
) -> eyre::Result<()> {
    prepare(&stream)?;
    let mut after = RequestedRevision(Revision(0));
    let mut stream =
        tokio_tungstenite::accept_hdr_async(stream, &mut after).await.wrap_err("handshake")?;
    let RequestedRevision(after) = after;
    let (missed, mut updates) = hub.subscribe(after);
    match missed {
        Some(missed) => {
            for message in missed {
                stream.send(encode(shared, &message)?).await?;
            }
        }
        None => stream.send(everything(shared, hub)?).await?,
    }
    loop {
        let message = tokio::select! {
            update = updates.recv() => match update {
                Ok(message) => encode(shared, &message)?,
                Err(RecvError::Lagged(_)) => everything(shared, hub)?,
                Err(RecvError::Closed) => return Ok(()),
            },
            told = stream.next() => {
                let Some(told) = told else {
                    return Ok(());
                };
                if let Message::Binary(bytes) = told? {
                    match ciborium::from_reader(bytes.as_ref())? {
                        FollowerMessage::Gateways(count) => hub.note_follower(peer, count),
                        FollowerMessage::Hint(hint) => take_hint(shared, hub, hint),
                    }
                }
                continue;
            }
        };
        stream.send(message).await?;
    }
}

/// Returns a message with the age that its update has by now.
fn encode(shared: &Shared, message: &FeedMessage) -> eyre::Result<Message> {
    let age = message.update.age + shared.clock.now().since(message.made_at);
    let mut buf = Vec::with_capacity(message.encoded.len() + 9);
    ciborium::into_writer(&u64::try_from(age.as_micros()).unwrap_or(u64::MAX), &mut buf)?;
    buf.extend_from_slice(&message.encoded);
    Ok(Message::Binary(Bytes::from(buf)))
}

/// Returns a message with all that is known; how fresh it is comes with the next one.
fn everything(shared: &Shared, hub: &FeedHub) -> eyre::Result<Message> {
    encode(shared, &hub.everything(shared.view.load_full(), shared.clock.now())?)
}

fn prepare(stream: &TcpStream) -> eyre::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(())
}
