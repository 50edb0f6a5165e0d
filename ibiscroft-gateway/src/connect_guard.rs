//! Discards a new connection if its target may have restarted while it was being opened.
//!
//! A request that relies on a certificate may be sent only to the run that the certificate names.
//! The end of that run closes the liveness connection before a later run accepts connections. A
//! new connection is therefore used only if the liveness connection is still open after the new
//! connection was established.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tower::{BoxError, Service};

use crate::liveness_connection::LivenessConnection;

tokio::task_local! {
    static LIVENESS: Option<Arc<LivenessConnection>>;
}

/// Runs `request`; a connection that it opens is used only if `liveness` is open afterwards.
///
/// Without `liveness`, connections are not checked.
pub(crate) async fn guarded<F: Future>(
    liveness: Option<Arc<LivenessConnection>>,
    request: F,
) -> F::Output {
    LIVENESS.scope(liveness, request).await
}

/// Connector that checks the liveness connection of the request for which it opens a connection.
#[derive(Clone, Debug)]
pub(crate) struct GuardedConnect<S> {
    inner: S,
}

impl<S> GuardedConnect<S> {
    /// Adds the check to the connector of an HTTP client.
    pub(crate) fn new(inner: S) -> Self {
        Self { inner }
    }
}

impl<S, R> Service<R> for GuardedConnect<S>
where
    S: Service<R, Error: Into<BoxError>>,
    S::Future: Send + 'static,
{
    type Response = S::Response;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx).map_err(Into::into)
    }

    fn call(&mut self, req: R) -> Self::Future {
        let liveness = LIVENESS.try_with(Clone::clone).unwrap_or_default();
        let connecting = self.inner.call(req);
        Box::pin(async move {
            let connection = connecting.await.map_err(Into::into)?;
            if liveness.is_some_and(|liveness| !liveness.is_verified_open()) {
                return Err("the target may have restarted".into());
            }
            Ok(connection)
        })
    }
}
