//! TCP listener for poem whose connections request handlers can close and watch.
//!
//! poem 3.1 serves a connection again after an error on it. A handler then runs on after its
//! caller left, and a body that ended with an error gets the mark of a whole one. With
//! [`Connection::ended`] a handler ends with its caller, and with [`close_on_error`] a body that
//! fails ends the connection.

mod acceptor;
mod body;
mod connection;
mod connections;

pub use acceptor::{ConnectionAcceptor, ConnectionStream};
pub use body::close_on_error;
pub use connection::Connection;
pub use connections::ConnectionRegistry;
