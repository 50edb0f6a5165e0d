//! Requests that the configuration allows are not refused with a status that callers take to be
//! final.

use std::time::Duration;

use ibiscroft_lab::store::StoreFaults;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::faulty_target::{Fault, put_before_targets};
use crate::support::{Fleet, FleetOptions};

async fn send(fleet: &Fleet, request: &str, half_close: bool) -> String {
    let mut stream = TcpStream::connect(fleet.gateways[0].callers).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    if half_close {
        stream.shutdown().await.unwrap();
    }
    let mut received = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(20), stream.read_to_end(&mut received)).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Path whose requests are answered in place of the stand-in, which limits the number of header
/// fields itself.
const MANY_FIELDS_PATH: &str = "/many-fields";

/// Returns the response to a request with many header fields; the proxy answers one request of a
/// connection.
fn response_to_many_fields(request: &[u8]) -> Option<Fault> {
    let text = String::from_utf8_lossy(request);
    let start = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok".to_string();
    text.contains(MANY_FIELDS_PATH).then(|| Fault { start, ..Fault::default() })
}

/// Guards against the HTTP server's own limit on the number of header fields.
#[tokio::test]
async fn gateway_number_of_header_fields_is_limited_only_by_their_size() {
    let mut options = FleetOptions::new(1, 1);
    options.questionnaire = |questionnaire| {
        put_before_targets(&mut questionnaire["services"][0], response_to_many_fields);
    };
    let fleet = Fleet::start(options).await;
    for count in [90, 101, 400] {
        let fields: String = (0..count).map(|number| format!("f{number}: x\r\n")).collect();
        let request = format!(
            "GET {MANY_FIELDS_PATH} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n{fields}\r\n"
        );
        let text = send(&fleet, &request, false).await;
        assert!(text.starts_with("HTTP/1.1 200"), "{count} fields: {text}");
    }
}

/// Guards against a placeholder response that reaches a caller that still reads.
#[tokio::test]
async fn gateway_caller_that_closes_its_sending_half_is_not_told_that_its_request_is_wrong() {
    let fleet = Fleet::start(FleetOptions::new(1, 1)).await;
    for round in 0..20 {
        let text = send(&fleet, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", true).await;
        assert!(!text.contains("HTTP/1.1 4"), "round {round}: {text}");
    }
}

/// Guards against 404 by a configuration that the gateway knows not to be confirmed any more.
#[tokio::test]
async fn unconfirmed_configuration_refuses_no_route_for_good() {
    let mut options = FleetOptions::new(1, 1);
    options.questionnaire = |questionnaire| {
        questionnaire["services"][0]["routes"] = json!([{ "path_prefix": "/" , "host": "h"}]);
    };
    options.starts_cold = true;
    let fleet = Fleet::start(options).await;
    fleet.store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    tokio::time::sleep(Duration::from_secs(8)).await;
    for host in ["h", "added"] {
        let request = format!("GET /x HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
        let text = send(&fleet, &request, false).await;
        assert!(!text.contains("HTTP/1.1 4"), "{host}: {text}");
    }
}
