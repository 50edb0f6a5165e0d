//! TCP listener for poem that gives request handlers access to their connection.
//!
//! poem 3.1 continues to serve a connection after an error on it. Without further measures a
//! handler keeps running after its caller has disconnected, and a response body that fails is
//! terminated like a complete one. With [`Connection::ended`] a handler can stop when its caller
//! disconnects, and with [`close_on_error`] a body that fails closes the connection.

mod acceptor;
mod activity;
mod body;
mod bounds;
mod connection;
mod connections;
mod read_ahead;
mod refusals;
mod send_window;
mod server;

pub use acceptor::{ConnectionAcceptor, ConnectionStream};
pub use body::close_on_error;
pub use bounds::ConnectionBounds;
pub use connection::{Connection, RequestGuard};
pub use connections::ConnectionRegistry;
pub use send_window::SendWindow;
pub use server::Server;
