//! One connection to a target.
//!
//! The connection that answered a health check is the one that carries the request: it is known
//! to be alive, and an answer that came too late for an earlier request shows on it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Time for which sent bytes may stay unacknowledged before a connection counts as silent;
/// several times the retransmission timeout within a region.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1_500);
/// Largest read buffer of a connection, in bytes: a full answer of the common size.
const READ_BUFFER: usize = 32 << 10;
/// Idle time after which a connection is not used again if the target states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the target's stated idle time after which a connection is not used again, so that no
/// request crosses the target's close.
const IDLE_PART: f64 = 0.8;

/// Why a request got no answer on a connection.
#[derive(Debug)]
pub(crate) enum LinkError {
    /// No byte of it was handed to the connection.
    NotSent(String),
    /// It may have arrived.
    Lost(String),
}

/// An open connection to a target; dropping it closes it.
#[derive(Debug)]
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    idle_limit: Duration,
    idle_since: Instant,
    is_closing: bool,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Link {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns why none can be opened.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
        let (sender, connection) = Builder::new()
            .max_buf_size(READ_BUFFER)
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
            driver: driver.abort_handle(),
            idle_limit: DEFAULT_IDLE,
            idle_since: Instant::now(),
            is_closing: false,
        })
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Says whether the request may have arrived.
    pub(crate) async fn exchange(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, LinkError> {
        if let Err(error) = self.sender.ready().await {
            return Err(LinkError::NotSent(error.to_string()));
        }
        match self.sender.try_send_request(req).await {
            Ok(res) => {
                self.note_head(res.headers());
                Ok(res)
            }
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let detail = error.into_error().to_string();
                Err(if is_unsent { LinkError::NotSent(detail) } else { LinkError::Lost(detail) })
            }
        }
    }

    /// Notes that the last answer has ended and the connection is idle.
    pub(crate) fn set_idle(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Returns whether the connection may carry another request.
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_closing && !self.sender.is_closed() && self.idle_since.elapsed() < self.idle_limit
    }

    fn note_head(&mut self, headers: &HeaderMap) {
        self.is_closing |= has_token(headers, "close");
        if let Some(limit) = keep_alive(headers) {
            self.idle_limit = limit.mul_f64(IDLE_PART);
        }
    }
}

/// Makes a request for a target.
///
/// # Errors
///
/// Returns why the path cannot be sent.
pub(crate) fn request(
    method: Method,
    path_and_query: &str,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, http::Error> {
    let uri: Uri = path_and_query.parse()?;
    let mut req = Request::builder().method(method).uri(uri).body(Full::new(body))?;
    *req.headers_mut() = headers;
    Ok(req)
}

fn has_token(headers: &HeaderMap, token: &str) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|found| found.trim().eq_ignore_ascii_case(token))
}

/// Returns the idle time that a target states in whole seconds.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let (_, seconds) = text.split(',').find_map(|part| {
        part.split_once('=').filter(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))
    })?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
