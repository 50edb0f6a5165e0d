//! Gives up a new connection when the target it leads to may have restarted meanwhile.
//!
//! A request that relies on a certificate may go only to the run that the certificate names.
//! The end of that run closes the tripwire before a later run accepts connections. So a new
//! connection is used only if the tripwire is still open after the connection was made.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tower::{BoxError, Layer, Service};

use crate::liveness_connection::LivenessConnection;

tokio::task_local! {
    static GUARD: Option<Arc<LivenessConnection>>;
}

/// Runs `request`; connections that it opens are used only while `tripwire` is open.
pub(crate) async fn guarded<F: Future>(
    liveness: Option<Arc<LivenessConnection>>,
    request: F,
) -> F::Output {
    GUARD.scope(liveness, request).await
}

/// Wraps the part of the client that opens connections.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GuardLayer;

impl<S> Layer<S> for GuardLayer {
    type Service = GuardedConnect<S>;

    fn layer(&self, inner: S) -> Self::Service {
        GuardedConnect { inner }
    }
}

/// Opens connections and checks the tripwire of the request they were opened for.
#[derive(Clone, Debug)]
pub(crate) struct GuardedConnect<S> {
    inner: S,
}

impl<S, R> Service<R> for GuardedConnect<S>
where
    S: Service<R, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = S::Response;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<S::Response, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: R) -> Self::Future {
        let liveness = GUARD.try_with(Clone::clone).unwrap_or_default();
        let connecting = self.inner.call(req);
        Box::pin(async move {
            let connection = connecting.await?;
            if liveness.is_some_and(|liveness| !liveness.is_surely_open()) {
                return Err("the target may have restarted".into());
            }
            Ok(connection)
        })
    }
}
