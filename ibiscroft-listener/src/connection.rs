//! One accepted connection.

use std::net::Shutdown;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// One accepted connection, shared by its server and its request handlers.
#[derive(Debug)]
pub struct Connection {
    pub(crate) stream: TcpStream,
    ended: watch::Sender<bool>,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, ended: watch::Sender::new(false) }
    }

    /// Closes the connection; nothing more is read or written.
    pub fn close(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Both);
    }

    /// Waits until the caller ended its half of the connection, or either side closed it.
    pub async fn ended(&self) {
        let _ = self.ended.subscribe().wait_for(|ended| *ended).await;
    }

    /// Notes that nothing more can be read.
    pub(crate) fn set_ended(&self) {
        self.ended.send_replace(true);
    }

    /// Ends the writing half.
    pub(crate) fn finish_writing(&self) {
        let _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
    }
}
