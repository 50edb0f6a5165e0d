//! Filters that a request passes, in this order: identify, account, quarantine, forward.

pub(crate) mod account;
pub(crate) mod forward;
pub(crate) mod identify;
pub(crate) mod quarantine;
mod select;
mod send;

use std::future::Future;

use crate::exchange::Exchange;
use crate::reply::Reply;

/// Handles a request to its end.
pub(crate) trait Handler: Send + Sync {
    /// Returns what becomes of the request.
    fn handle(&self, ex: &Exchange) -> impl Future<Output = Reply> + Send;
}
