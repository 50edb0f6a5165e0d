//! Bodies that end their connection when they fail.

use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};

use crate::connection::Connection;

/// Passes on a body, and closes its connection before an error, so that the caller cannot take
/// what arrived for the whole.
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
