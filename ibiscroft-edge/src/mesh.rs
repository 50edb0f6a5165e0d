//! WebSocket connections between gateways.
//!
//! A gateway sends updates of its view to each follower. Such a message is the age of the update
//! in microseconds followed by the update, both in CBOR. In the other direction a follower sends
//! [`FollowerMessage`]s in CBOR: hints, the number of gateways that receive
//! updates through it, and the demand of organisations with a quota.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr;
use futures_util::{SinkExt, StreamExt};
use ibiscroft_core::fleet::{FindingOrigin, FollowerMessage, GatewayCount, Hint, Position, Update};
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
use crate::target_health;

/// Time for which sent data may stay unacknowledged before the kernel closes the connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for sending a message to the source; a fraction of the staleness at which the store is
/// read directly.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Connects to the gateway at `address`, which then sends the updates after `position`, or its full
/// view if it no longer keeps them.
///
/// # Errors
///
/// Returns an error if the TCP connection or the WebSocket handshake fails.
pub(crate) async fn connect(
    address: SocketAddr,
    position: Position,
) -> eyre::Result<WebSocketStream<TcpStream>> {
    let stream = TcpStream::connect(address).await?;
    set_socket_options(&stream)?;
    let url = format!("ws://{address}/feed?after={position}");
    let (stream, _) = tokio_tungstenite::client_async(url, stream).await?;
    Ok(stream)
}

/// Encodes a message of a follower to its source.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded in CBOR.
fn encode_follower_message(message: &FollowerMessage) -> eyre::Result<Message> {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf)?;
    Ok(Message::Binary(Bytes::from(buf)))
}

/// Encodes a message and sends it to the source.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded or sent.
pub(crate) async fn send_encoded(
    stream: &mut WebSocketStream<TcpStream>,
    message: &FollowerMessage,
) -> eyre::Result<()> {
    send(stream, encode_follower_message(message)?).await
}

/// Sends a message to the source.
///
/// # Errors
///
/// Returns an error if the connection has failed, or the message cannot be written to it within
/// `SEND_TIMEOUT`.
pub(crate) async fn send(
    stream: &mut WebSocketStream<TcpStream>,
    message: Message,
) -> eyre::Result<()> {
    let send = stream.send(message);
    Ok(tokio::time::timeout(SEND_TIMEOUT, send)
        .await
        .wrap_err("source did not accept the message in time")??)
}

/// Applies a hint of a follower, and forwards it to the source and all followers if they need it.
pub(crate) fn apply_and_forward_hint(shared: &Shared, hub: &FeedHub, hint: Hint) {
    let Some(hint) = target_health::take(shared, FindingOrigin::Follower, hint) else {
        return;
    };
    // A notice about quotas of a follower is not taken: only sources send them.
    if shared.traffic().on_hint(shared.clock.now(), &hint) {
        event!(HintTaken, "source=follower {hint:?}");
        forward_hint(shared, hub, hint);
    }
}

/// Forwards a hint to the source and all followers.
pub(crate) fn forward_hint(shared: &Shared, hub: &FeedHub, hint: Hint) {
    let now = shared.clock.now();
    hub.send_to_source(FollowerMessage::Hint(hint.clone()));
    hub.send_hints_to_followers(shared.view.load().position(), vec![hint], now);
}

/// Decodes a message of the source; returns `None` if it is not an update.
///
/// # Errors
///
/// Returns an error if an update or its age cannot be decoded.
pub(crate) fn decode_update(message: Message) -> eyre::Result<Option<Update>> {
    let Message::Binary(bytes) = message else {
        return Ok(None);
    };
    let mut rest = bytes.as_ref();
    let age: u64 = ciborium::from_reader(&mut rest).wrap_err("age")?;
    let update: Update = ciborium::from_reader(&mut rest).wrap_err("update")?;
    Ok(Some(Update { age: Duration::from_micros(age), ..update }))
}

/// The position after which a follower requests changes, parsed from the query of its handshake;
/// unknown if it states none.
struct RequestedPosition(Position);

impl Callback for &mut RequestedPosition {
    fn on_request(self, req: &Request, res: Response) -> Result<Response, ErrorResponse> {
        let query = req.uri().query().unwrap_or_default();
        let stated = query.strip_prefix("after=").and_then(|text| text.parse().ok());
        self.0 = stated.unwrap_or_default();
        Ok(res)
    }
}

/// Accepts connections of followers until the runtime stops.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener, hub: FeedHub) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (shared, hub) = (Arc::clone(&shared), hub.clone());
                tokio::spawn(async move {
                    let served = serve_follower(&shared, stream, peer, &hub).await;
                    hub.set_follower_count(peer, GatewayCount(0));
                    shared.quotas.forget_follower(peer);
                    if let Err(error) = served {
                        event!(MeshRefused, "peer={peer} reason={:?}", format!("{error:#}"));
                    }
                });
            }
            Err(error) => {
                event!(MeshRefused, "reason={:?}", error.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Sends a follower the updates after its revision, or the full view if they are no longer kept,
/// and then each new update; handles the messages of the follower.
async fn serve_follower(
    shared: &Shared,
    stream: TcpStream,
    peer: SocketAddr,
    hub: &FeedHub,
) -> eyre::Result<()> {
    set_socket_options(&stream)?;
    let mut after = RequestedPosition(Position::UNKNOWN);
    let mut stream =
        tokio_tungstenite::accept_hdr_async(stream, &mut after).await.wrap_err("handshake")?;
    let RequestedPosition(after) = after;
    let checked_at = shared.clock.now();
    let staleness = hub.staleness(checked_at);
    let (missed, mut updates) = hub.subscribe(after);
    match missed {
        Some(missed) => {
            let reached =
                missed.last().map_or(after, |message| message.update.position().max(after));
            for message in missed {
                stream.send(encode_update(shared, &message)?).await?;
            }
            let age = staleness + shared.clock.now().since(checked_at);
            stream.send(encode_freshness(shared, reached, age)?).await?;
        }
        None => stream.send(encode_full_view(shared, hub)?).await?,
    }
    let hints = shared.traffic().lasting_hints();
    if !hints.is_empty() {
        let message = FeedMessage::of_hints(shared.view.load().position(), hints, checked_at)?;
        stream.send(encode_update(shared, &message)?).await?;
    }
    loop {
        let message = tokio::select! {
            update = updates.recv() => match update {
                Ok(message) => encode_update(shared, &message)?,
                Err(RecvError::Lagged(_)) => encode_full_view(shared, hub)?,
                Err(RecvError::Closed) => return Ok(()),
            },
            received = stream.next() => {
                let Some(received) = received else {
                    return Ok(());
                };
                if let Message::Binary(bytes) = received? {
                    match ciborium::from_reader(bytes.as_ref())? {
                        FollowerMessage::Gateways(count) => hub.set_follower_count(peer, count),
                        FollowerMessage::Hint(hint) => apply_and_forward_hint(shared, hub, hint),
                        FollowerMessage::Quota(report) => {
                            shared.quotas.on_report(shared, peer, &report);
                        }
                    }
                }
                continue;
            }
        };
        stream.send(message).await?;
    }
}

/// Encodes an update, with its age at the time of the call.
fn encode_update(shared: &Shared, message: &FeedMessage) -> eyre::Result<Message> {
    let age = message.update.age + shared.clock.now().since(message.created_at);
    encode_with_age(message, age)
}

/// Encodes an update without changes, which tells a follower whose view has reached `position` that
/// it matched the store `age` ago.
fn encode_freshness(shared: &Shared, position: Position, age: Duration) -> eyre::Result<Message> {
    let update = Update {
        era: position.era,
        since: position.revision,
        revision: position.revision,
        is_full: false,
        is_difference: false,
        changes: Vec::new(),
        hints: Vec::new(),
        age,
    };
    encode_with_age(&FeedMessage::new(update, shared.clock.now())?, age)
}

/// Encodes an age and an update.
fn encode_with_age(message: &FeedMessage, age: Duration) -> eyre::Result<Message> {
    // The age takes at most 9 bytes in CBOR.
    let mut buf = Vec::with_capacity(message.encoded.len() + 9);
    ciborium::into_writer(&u64::try_from(age.as_micros()).unwrap_or(u64::MAX), &mut buf)?;
    buf.extend_from_slice(&message.encoded);
    Ok(Message::Binary(Bytes::from(buf)))
}

/// Encodes the full view with the time since it was last known to match the store.
fn encode_full_view(shared: &Shared, hub: &FeedHub) -> eyre::Result<Message> {
    let now = shared.clock.now();
    let age = hub.staleness(now);
    encode_with_age(&hub.full_view(shared.view.load_full(), now)?, age)
}

/// Disables the delay of small writes and sets `TCP_USER_TIMEOUT`.
fn set_socket_options(stream: &TcpStream) -> eyre::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(())
}
