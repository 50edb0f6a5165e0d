//! One HTTP/1.1 connection to a target.
//!
//! A request is sent on the connection on which the target just responded to a probe: that
//! connection is known to be alive, and if it still delivers the late response to an earlier
//! request, this is noticed when the probe's response is read.

mod head_limit;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use self::head_limit::{HeadLimit, HeadLimitedStream};
use crate::segments::OutgoingBody;

/// Time for which sent data may stay unacknowledged before the kernel closes the connection;
/// several times the retransmission timeout within a region.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of the read buffer of a connection, in bytes; large enough for a whole response of
/// the common size.
const MAX_READ_BUFFER_BYTES: usize = 32 << 10;
/// Idle time after which a connection is not reused if the target states no keep-alive timeout.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);
/// Fraction of the target's keep-alive timeout after which a connection is not reused, so that no
/// request is sent while the target closes the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

/// Why a request got no response on a connection.
#[derive(Debug)]
pub(crate) enum ConnectionError {
    /// No byte of the request was handed to the connection.
    NotSent(String),
    /// The target may have received the request.
    Lost(String),
    /// The target reset the connection; it may have received the request.
    Reset(String),
}

/// An open connection to a target; dropping it closes the connection.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    sender: SendRequest<OutgoingBody>,
    head_limit: HeadLimit,
    /// Task that reads from and writes to the socket.
    driver: AbortHandle,
    /// Idle time after which the connection is not reused.
    idle_limit: Duration,
    idle_since: Instant,
    /// Whether the target announced that it closes the connection.
    is_closing: bool,
}

impl Drop for TargetConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl TargetConnection {
    /// Connects to a target.
    ///
    /// # Errors
    ///
    /// Returns an error if the TCP connection or the HTTP/1.1 handshake fails.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        let (stream, head_limit) = HeadLimitedStream::new(stream);
        let (sender, connection) = Builder::new()
            .max_buf_size(MAX_READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(Self {
            sender,
            head_limit,
            driver: driver.abort_handle(),
            idle_limit: DEFAULT_IDLE_LIMIT,
            idle_since: Instant::now(),
            is_closing: false,
        })
    }

    /// Sends a request and waits for the head of its response.
    ///
    /// An interim response (status 1xx except 101) for whose header fields `is_final` returns true
    /// ends the wait: the target meant it to be the final one and sends no other.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionError::Lost`] or, if the target reset the connection,
    /// [`ConnectionError::Reset`] if the target may have received the request, also if its
    /// response has a status that no final response can have, and [`ConnectionError::NotSent`] if
    /// it cannot have received the request.
    pub(crate) async fn exchange(
        &mut self,
        mut req: Request<OutgoingBody>,
        is_final: fn(&HeaderMap) -> bool,
    ) -> Result<Response<Incoming>, ConnectionError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ConnectionError::NotSent(error.to_string()));
        }
        self.head_limit.start();
        let final_interim = Arc::new(Notify::new());
        let notify = Arc::clone(&final_interim);
        hyper::ext::on_informational(&mut req, move |res| {
            if is_final(res.headers()) {
                notify.notify_one();
            }
        });
        let sent = tokio::select! {
            sent = self.sender.try_send_request(req) => sent,
            () = final_interim.notified() => {
                let detail = "an interim response in place of the final one";
                return Err(ConnectionError::Lost(detail.to_string()));
            }
        };
        match sent {
            Ok(res) if !is_valid_final(res.status()) => {
                let status = res.status();
                let detail = format!("a final response with the status {}", status.as_str());
                Err(ConnectionError::Lost(detail))
            }
            Ok(res) => {
                self.head_limit.lift();
                self.note_response_head(res.headers());
                Ok(res)
            }
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                let detail = error.to_string();
                Err(if is_unsent {
                    ConnectionError::NotSent(detail)
                } else if is_reset(&error) {
                    ConnectionError::Reset(detail)
                } else {
                    ConnectionError::Lost(detail)
                })
            }
        }
    }

    /// Starts the idle time, after the last response was read completely.
    pub(crate) fn set_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns whether another request may be sent on the connection.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_closing && !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_limit
    }

    /// Reads from a response head how long the connection may be reused.
    fn note_response_head(&mut self, headers: &HeaderMap) {
        self.is_closing |= has_connection_token(headers, "close");
        if let Some(limit) = keep_alive_timeout(headers) {
            self.idle_limit = limit.mul_f64(KEEP_ALIVE_FRACTION);
        }
    }
}

/// Returns whether an error was caused by a reset of the connection.
fn is_reset(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<std::io::Error>());
    source.is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionReset)
}

/// Builds a request to a target.
///
/// # Errors
///
/// Returns an error if `path_and_query` is no valid URI.
pub(crate) fn build_request(
    method: Method,
    path_and_query: &str,
    headers: HeaderMap,
    body: impl Into<OutgoingBody>,
) -> Result<Request<OutgoingBody>, http::Error> {
    let uri: Uri = path_and_query.parse()?;
    let mut req = Request::builder().method(method).uri(uri).body(body.into())?;
    *req.headers_mut() = headers;
    Ok(req)
}

/// Returns whether a final response can have this status.
///
/// The HTTP client accepts all codes from 100 to 999, and 101 as that of a final response. Targets
/// are never asked to switch protocols, since the field for it is hop-by-hop.
fn is_valid_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Returns whether the header fields of a response announce a body, which interim responses do not
/// have.
pub(crate) fn announces_body(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns whether a `Connection` header field lists `token`.
fn has_connection_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(token))
}

/// Returns the `timeout` parameter of the `Keep-Alive` header field, which is a number of whole
/// seconds.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let (_, seconds) = text.split(',').find_map(|part| {
        part.split_once('=').filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
    })?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
