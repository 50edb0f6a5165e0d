//! Request heads that do not end.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{Fleet, FleetOptions};

/// Guards against connections that stay open for good because their request head never ends.
#[tokio::test]
async fn request_head_without_end_is_answered_with_408_and_closed() {
    let fleet = Fleet::start(FleetOptions::new(1, 1)).await;
    let mut stream = TcpStream::connect(fleet.gateways[0].callers).await.unwrap();
    stream.write_all(b"GET /x HTTP/1.1\r\nHost: h.example\r\nField: ").await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 408 "), "{response:?}");
}
