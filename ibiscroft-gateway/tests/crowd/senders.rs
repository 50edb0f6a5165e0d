//! What the callers of a crowd send on a connection.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::timed_key;

/// Largest legal body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 1 << 20;
/// Length of a piece of a body that is sent piece by piece, in bytes, and the pause after it.
const PIECE_BYTES: usize = 8 << 10;
const PIECE_PAUSE: Duration = Duration::from_millis(5);
/// Length of a large chunk, in bytes.
const LARGE_CHUNK_BYTES: usize = 256 << 10;
/// Number of small chunks that are written at once.
const SMALL_CHUNKS: usize = 3_000;
/// Bytes of bodies.
static BODY: [u8; MAX_BODY_BYTES] = [b'x'; MAX_BODY_BYTES];

/// Whether a caller sends the end of its body.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The whole body is sent and the response read.
    Whole,
    /// The caller stops just short of the end, and its connection stays open.
    Missing,
}

/// Returns the start of a request head, without the empty line at its end.
pub(crate) fn head(method: &str, path: &str, number: usize) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: h.example\r\nIbiscroft-Request-Id: id-{number}\r\n")
}

/// Returns the start of the head of an at-most-once request with a key of its own.
pub(crate) fn timed_order(number: usize, path: &str) -> String {
    let key = timed_key(&format!("crowd-{number}"));
    format!("{}Idempotency-Key: {key}\r\n", head("POST", path, number))
}

/// Reads until the gateway closes the connection.
async fn read_all(stream: &mut TcpStream) {
    let mut buf = vec![0; 64 << 10];
    while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {}
}

/// Writes `bytes` again and again until the connection fails.
pub(crate) async fn write_endlessly(stream: &mut TcpStream, start: &str, bytes: &[u8]) {
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(bytes).await.is_ok() {}
}

/// Returns the bytes of a body of the full legal length that are sent.
fn body(end: End) -> &'static [u8] {
    &BODY[usize::from(end == End::Missing)..]
}

/// Sends a body of the full legal length at once.
pub(crate) async fn send_body(stream: &mut TcpStream, head: &str, end: End) {
    let head = format!("{head}Content-Length: {MAX_BODY_BYTES}\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    if stream.write_all(body(end)).await.is_ok() {
        read_all(stream).await;
    }
}

/// Sends a body of the full legal length in pieces.
pub(crate) async fn send_body_in_pieces(stream: &mut TcpStream, head: &str, end: End) {
    let head = format!("{head}Content-Length: {MAX_BODY_BYTES}\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    for piece in body(end).chunks(PIECE_BYTES) {
        if stream.write_all(piece).await.is_err() {
            return;
        }
        tokio::time::sleep(PIECE_PAUSE).await;
    }
    read_all(stream).await;
}

/// Sends a body of the full legal length in large chunks.
pub(crate) async fn send_large_chunks(stream: &mut TcpStream, head: &str, end: End) {
    let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    for bytes in BODY.chunks(LARGE_CHUNK_BYTES) {
        let size = format!("{:x}\r\n", bytes.len());
        for part in [size.as_bytes(), bytes, b"\r\n"] {
            if stream.write_all(part).await.is_err() {
                return;
            }
        }
    }
    if end == End::Whole && stream.write_all(b"0\r\n\r\n").await.is_err() {
        return;
    }
    read_all(stream).await;
}

/// Sends a body in chunks of 1 to 3 bytes, each with this extension, just short of the full legal
/// length, without the last chunk.
pub(crate) async fn send_small_chunks(stream: &mut TcpStream, head: &str, extension: &str) {
    let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let chunk = |length: usize| format!("{length}{extension}\r\n{}\r\n", "x".repeat(length));
    let chunks: String = (0..SMALL_CHUNKS).map(|index| chunk(index % 3 + 1)).collect();
    for _ in 0..MAX_BODY_BYTES / (2 * SMALL_CHUNKS) {
        if stream.write_all(chunks.as_bytes()).await.is_err() {
            return;
        }
    }
    read_all(stream).await;
}

/// Sends this number of requests at once and reads no response.
pub(crate) async fn pipeline(stream: &mut TcpStream, path: &str, number: usize, count: usize) {
    let request = format!("{}\r\n", head("GET", path, number));
    // An error means that the gateway has closed the connection.
    let _ = stream.write_all(request.repeat(count).as_bytes()).await;
}
