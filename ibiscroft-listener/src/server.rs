//! HTTP/1.1 server for the connections of an acceptor.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::uri::Scheme;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Request};
use tokio::sync::watch;

use crate::acceptor::{ConnectionAcceptor, ConnectionStream};
use crate::connection::Connection;

/// Maximum number of header fields of a request: as many as fit into a head of 16 KiB, as the
/// shortest one has 4 bytes. The HTTP library reserves memory for all of them for each head.
const MAX_HEADER_FIELDS: usize = 4_096;

/// What connections do; the order of the variants is the order in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Requests are served.
    Serving,
    /// Requests in flight are completed, and their connections are closed.
    Draining,
    /// All connections are closed.
    Ended,
}

/// HTTP/1.1 server with room for the header fields of any request head of up to 16 KiB.
#[derive(Debug)]
pub struct Server {
    acceptor: ConnectionAcceptor,
    idle_timeout: Option<Duration>,
}

impl Server {
    /// Creates a server for the connections of `acceptor`.
    #[must_use]
    pub const fn new(acceptor: ConnectionAcceptor) -> Self {
        Self { acceptor, idle_timeout: None }
    }

    /// Sets how long a connection may stay without a complete request before it is closed; requests
    /// in flight are not interrupted. By default there is no limit.
    #[must_use]
    pub const fn idle_timeout(mut self, timeout: Duration) -> Self {
        self.idle_timeout = Some(timeout);
        self
    }

    /// Serves requests with `endpoint` until `stop` completes. Then no connection is accepted, idle
    /// ones are closed, and those with a request in flight get `drain_timeout` to complete it, or as
    /// long as it takes if that is `None`.
    pub async fn run_until<E: Endpoint + 'static>(
        mut self,
        endpoint: E,
        stop: impl Future<Output = ()>,
        drain_timeout: Option<Duration>,
    ) {
        let endpoint = Arc::new(endpoint);
        let phase = watch::Sender::new(Phase::Serving);
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                accepted = self.acceptor.accept() => {
                    let (stream, local, remote, _) = match accepted {
                        Ok(accepted) => accepted,
                        Err(error) => {
                            log::warn!("connection could not be accepted: {error}");
                            continue;
                        }
                    };
                    let endpoint = Arc::clone(&endpoint);
                    let connection = Arc::clone(stream.connection());
                    let serving = serve(stream, local, remote, endpoint, phase.subscribe());
                    tokio::spawn(end_when_idle(serving, connection, self.idle_timeout));
                }
            }
        }
        drop(self.acceptor);
        phase.send_replace(Phase::Draining);
        match drain_timeout {
            None => phase.closed().await,
            Some(timeout) => {
                let drained = tokio::time::timeout(timeout, phase.closed()).await;
                if drained.is_err() {
                    phase.send_replace(Phase::Ended);
                }
            }
        }
    }
}

/// Serves the requests of one connection.
async fn serve<E: Endpoint>(
    stream: ConnectionStream,
    local: LocalAddr,
    remote: RemoteAddr,
    endpoint: Arc<E>,
    mut phase: watch::Receiver<Phase>,
) {
    let connection = Arc::clone(stream.connection());
    let service = service_fn(|req: http::Request<Incoming>| {
        let mut req = Request::from((req, local.clone(), remote.clone(), Scheme::HTTP));
        req.extensions_mut().insert(Arc::clone(&connection));
        async { Ok::<_, Infallible>(http::Response::from(endpoint.get_response(req).await)) }
    });
    let mut server = pin!(
        Builder::new()
            .max_headers(MAX_HEADER_FIELDS)
            .serve_connection(TokioIo::new(stream), service)
    );
    let result = tokio::select! {
        result = server.as_mut() => result,
        () = wait_for(&mut phase, Phase::Draining) => {
            server.as_mut().graceful_shutdown();
            tokio::select! {
                result = server.as_mut() => result,
                () = wait_for(&mut phase, Phase::Ended) => return,
            }
        }
    };
    if let Err(error) = result {
        log::debug!("connection of {remote} ended: {error}");
    }
}

/// Serves a connection until it ends or has been idle for `timeout`.
async fn end_when_idle(
    serving: impl Future<Output = ()>,
    connection: Arc<Connection>,
    timeout: Option<Duration>,
) {
    let Some(timeout) = timeout else {
        return serving.await;
    };
    tokio::select! {
        () = serving => {}
        () = connection.idle_for(timeout) => {}
    }
}

/// Waits until the server has reached a phase or has returned.
async fn wait_for(phase: &mut watch::Receiver<Phase>, reached: Phase) {
    let _ = phase.wait_for(|phase| *phase >= reached).await;
}
