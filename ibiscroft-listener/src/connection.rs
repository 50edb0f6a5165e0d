//! An accepted connection.

use std::net::Shutdown;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// An accepted connection, shared by the server and the handlers of its requests.
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    ended: watch::Sender<bool>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, ended: watch::Sender::new(false) }
    }

    /// Closes the connection in both directions.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Waits until the caller has closed its sending half of the connection, or the connection has
    /// been closed or has failed.
    pub async fn ended(&self) {
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// Records that nothing more can be read, which completes [`Self::ended`].
    pub(crate) fn mark_ended(&self) {
        self.ended.send_replace(true);
    }

    /// Closes the sending half of this side.
    pub(crate) fn shutdown_write(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }
}
