//! Crowds of callers that do not respect the limits, or that all use them to the full at once.
//!
//! Each test guards against a gateway that is ended because it uses more memory or descriptors
//! than its machine has, or that no longer answers ordinary callers. They are a test binary of
//! their own so that no other test runs beside a crowd.

mod crowd;
mod senders;
#[allow(dead_code, reason = "some helpers are used only by the tests in `it`")]
#[path = "../it/support.rs"]
mod support;

use futures_util::future::join_all;
use ibiscroft_lab::backend::BackendOptions;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::crowd::{CALLERS, Crowd, MAX_FDS};
use crate::senders::{
    End, MAX_BODY_BYTES, head, pipeline, send_body, send_body_in_pieces, send_large_chunks,
    send_small_chunks, timed_order, write_endlessly,
};
use crate::support::{Fleet, FleetOptions};

/// Receive buffer of callers that read no responses, in bytes, so that the kernel holds little.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Number of bodies for which the memory of the machine is not enough; their connections fit on one
/// traffic thread.
const FULL_BODIES: usize = 60;
/// Extension of a chunk.
const CHUNK_EXTENSION: &str = ";name=value;other=\"some text\"";

/// Every sixth caller sends a whole body, the others stop just short of its end.
const fn mostly_missing(number: usize) -> End {
    if number.is_multiple_of(6) { End::Whole } else { End::Missing }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_heads_over_the_limit_and_without_end() {
    // A field without end, fields without end, and most stop below or above the limit and stay
    // open.
    let act = async |stream: &mut TcpStream, number: usize| {
        let start = "GET /x HTTP/1.1\r\nHost: h.example\r\n";
        match number % 6 {
            0 => write_endlessly(stream, &format!("{start}Field: "), &[b'x'; 4_096]).await,
            1 => write_endlessly(stream, start, &b"Name: value\r\n".repeat(300)).await,
            rest => {
                let length = if rest < 4 { 400_000 } else { 60_000 };
                let head = format!("{start}Field: {}", "x".repeat(length));
                if stream.write_all(head.as_bytes()).await.is_ok() {
                    let _ = stream.read(&mut [0; 512]).await;
                }
            }
        }
    };
    Crowd::start(&[]).await.check("heads", 3 * CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_empty_lines_without_end_before_a_request() {
    let act = async |stream: &mut TcpStream, _| {
        write_endlessly(stream, "", &b"\r\n".repeat(2_048)).await;
    };
    Crowd::start(&[]).await.check("empty lines", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_bodies_of_legal_size_sent_whole() {
    let act = async |stream: &mut TcpStream, number| {
        send_body(stream, &timed_order(number, "/x?work_ms=1000"), End::Whole).await;
    };
    Crowd::start(&[]).await.check("whole bodies", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_bodies_of_legal_size_sent_piece_by_piece() {
    let act = async |stream: &mut TcpStream, number| {
        send_body_in_pieces(stream, &head("PUT", "/x?work_ms=1000", number), End::Whole).await;
    };
    Crowd::start(&[]).await.check("bodies in pieces", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_whole_bodies_mostly_stop_just_short_of_their_end() {
    let act = async |stream: &mut TcpStream, number| {
        send_body(stream, &head("PUT", "/x", number), mostly_missing(number)).await;
    };
    Crowd::start(&[]).await.check("bodies short of their end", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_bodies_in_pieces_mostly_stop_just_short_of_their_end() {
    let act = async |stream: &mut TcpStream, number| {
        send_body_in_pieces(stream, &head("PUT", "/x", number), mostly_missing(number)).await;
    };
    Crowd::start(&[]).await.check("pieces short of their end", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_chunked_bodies_in_large_chunks() {
    let act = async |stream: &mut TcpStream, number| {
        send_large_chunks(stream, &head("PUT", "/x", number), mostly_missing(number)).await;
    };
    Crowd::start(&[]).await.check("large chunks", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_chunked_bodies_in_chunks_of_few_bytes() {
    let act = async |stream: &mut TcpStream, number| {
        send_small_chunks(stream, &head("PUT", "/x", number), "").await;
    };
    Crowd::start(&[]).await.check("small chunks", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_chunked_bodies_with_chunk_extensions() {
    let act = async |stream: &mut TcpStream, number| {
        send_small_chunks(stream, &head("PUT", "/x", number), CHUNK_EXTENSION).await;
    };
    Crowd::start(&[]).await.check("chunk extensions", CALLERS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_pipelined_requests_without_reading_the_responses() {
    let act = async |stream: &mut TcpStream, number| {
        pipeline(stream, "/x", number, 20_000).await;
    };
    let buffer = Some(SMALL_RECEIVE_BUFFER_BYTES);
    Crowd::start(&[]).await.check("pipelined requests", CALLERS, buffer, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_large_responses_that_callers_do_not_read() {
    // The kernel takes some responses of a connection, the process holds the next one. The callers
    // wait so that the responses arrive while the connections are open.
    let act = async |stream: &mut TcpStream, number| {
        pipeline(stream, "/x?bytes=4000000", number, 12).await;
        std::future::pending::<()>().await;
    };
    let buffer = Some(SMALL_RECEIVE_BUFFER_BYTES);
    Crowd::start(&[]).await.check("unread responses", CALLERS, buffer, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_large_responses_of_many_slots_that_callers_do_not_read() {
    // Targets with many slots let more responses be in flight than the memory holds.
    let backend = BackendOptions { slots: 200, ..BackendOptions::default() };
    let act = async |stream: &mut TcpStream, number| {
        pipeline(stream, "/x?bytes=4000000", number, 12).await;
        std::future::pending::<()>().await;
    };
    let buffer = Some(SMALL_RECEIVE_BUFFER_BYTES);
    let crowd = Crowd::start(&[backend]).await;
    crowd.check("unread responses of many slots", CALLERS, buffer, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_more_idle_connections_than_descriptors() {
    let act = async |stream: &mut TcpStream, number: usize| {
        if number.is_multiple_of(2) {
            // An error means that the gateway has closed the connection.
            let _ = stream.write_all(b"GET /x HTTP/1.1\r\nHost: ").await;
        }
    };
    Crowd::start(&[]).await.check("idle connections", 2 * MAX_FDS, None, act).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_answers_bodies_without_room_as_not_run() {
    let crowd = Crowd::start(&[]).await;
    let send = async |number| {
        let mut stream = TcpStream::connect(crowd.callers()).await.unwrap();
        let head = head("PUT", "/x", number);
        let request = format!("{head}Content-Length: {MAX_BODY_BYTES}\r\n\r\nstart");
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        response.to_ascii_lowercase()
    };
    let mut refused = 0;
    for response in join_all((0..FULL_BODIES).map(send)).await {
        let status = response.split(' ').nth(1).unwrap_or_default();
        assert!(status == "503" || status == "408", "{response}");
        assert!(response.contains("x-execution: not_run\r\n"), "{response}");
        assert!(response.contains("connection: close\r\n"), "{response}");
        if status == "503" {
            refused += 1;
            assert!(response.contains("retry-after: 1\r\n"), "{response}");
        }
    }
    assert!(refused > 0, "all of {FULL_BODIES} bodies of {MAX_BODY_BYTES} bytes found room");
    assert_eq!(crowd.ran_count(), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_single_body_of_the_full_legal_size_is_served() {
    let crowd = Crowd::start(&[]).await;
    let body = "x".repeat(MAX_BODY_BYTES);
    let fields = [
        format!("Content-Length: {MAX_BODY_BYTES}\r\n\r\n{body}"),
        format!("Transfer-Encoding: chunked\r\n\r\n{MAX_BODY_BYTES:x}\r\n{body}\r\n0\r\n\r\n"),
    ];
    for (index, rest) in fields.iter().enumerate() {
        let request = format!("{}Connection: close\r\n{rest}", head("PUT", "/x", index));
        let mut stream = TcpStream::connect(crowd.callers()).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        stream.read_to_end(&mut response).await.unwrap();
        let response = String::from_utf8_lossy(&response);
        assert!(response.starts_with("HTTP/1.1 200"), "case {index}: {response}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gateway_without_bounds_in_its_settings_serves_a_full_body() {
    let fleet = Fleet::start(FleetOptions::new(1, 1)).await;
    let req = fleet.request(reqwest::Method::PUT, 0, "/x").body("x".repeat(MAX_BODY_BYTES));
    assert_eq!(req.send().await.unwrap().status(), 200);
}
