//! Response bodies that close their connection when they fail.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};

use crate::connection::Connection;

/// Forwards the pieces of a response body and closes the connection before it forwards an error.
///
/// Without this the caller could take a truncated body for a complete one.
pub fn close_on_error<S>(body: S, connection: Arc<Connection>) -> impl Stream<Item = S::Item>
where
    S: Stream<Item = io::Result<Bytes>>,
{
    body.inspect(move |piece| {
        if piece.is_err() {
            connection.close();
        }
    })
}
