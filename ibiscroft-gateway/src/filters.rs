//! The chain of filters through which each request passes.

pub(crate) mod account;
pub(crate) mod admit;
pub(crate) mod claim;
pub(crate) mod forward;
pub(crate) mod identify;

use std::future::Future;

use crate::exchange::{Exchange, Reply};

/// Serves requests: the end of a chain, or a filter with all that follows it.
pub(crate) trait Handler: Send + Sync {
    /// Serves the request `ex`.
    fn handle(&self, ex: &mut Exchange) -> impl Future<Output = Reply> + Send;
}

/// One step of the chain, which may reject a request, pass it on, and change the reply.
pub(crate) trait Filter: Send + Sync {
    /// Applies the filter to the request `ex`; `next` is the rest of the chain.
    fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> impl Future<Output = Reply> + Send;
}

/// A filter and the rest of the chain.
#[derive(Debug)]
pub(crate) struct Chain<F, H> {
    filter: F,
    next: H,
}

impl<F: Filter, H: Handler> Chain<F, H> {
    /// Puts `filter` in front of `next`.
    pub(crate) fn new(filter: F, next: H) -> Self {
        Self { filter, next }
    }
}

impl<F: Filter, H: Handler> Handler for Chain<F, H> {
    async fn handle(&self, ex: &mut Exchange) -> Reply {
        self.filter.apply(ex, &self.next).await
    }
}
