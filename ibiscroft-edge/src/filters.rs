//! Filters that a request passes through, in this order: identify, account, quota, stop, quarantine,
//! forward.

pub(crate) mod account;
pub(crate) mod forward;
pub(crate) mod identify;
pub(crate) mod quarantine;
pub(crate) mod quota;
pub(crate) mod select;
mod send;
pub(crate) mod stop;

use std::future::Future;

use crate::exchange::Exchange;
use crate::reply::Reply;

/// A filter after `identify`: handles a request itself or passes it to the next filter.
pub(crate) trait Handler: Send + Sync {
    /// Handles a request and returns its outcome.
    fn handle(&self, ex: &Exchange) -> impl Future<Output = Reply> + Send;
}
