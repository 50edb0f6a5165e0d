//! Converts the results of the filter chain into HTTP responses for callers.

use std::sync::Arc;

use http::{HeaderValue, StatusCode, header};
use ibiscroft_core::ids::RequestId;
use ibiscroft_listener::{Connection, RequestGuard, close_on_error};
use ibiscroft_wire::generated::problem::Problem;
use ibiscroft_wire::{codec, headers};
use poem::{Body, Response};

use crate::exchange::{BackendResponse, Failure, ResponseBody};
use crate::response_flow::follow_reader;
use crate::shared::Shared;

/// Media type of problem responses.
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");

/// Returns the response to the caller for a response of a backend server.
///
/// If the body fails, the connection to the caller is closed. The request ends with the body.
pub(crate) fn backend_response(
    response: BackendResponse,
    connection: Arc<Connection>,
    request: RequestGuard,
    shared: Arc<Shared>,
) -> Response {
    let length = response.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = match response.body {
        ResponseBody::Whole(bytes) => Body::from_bytes(bytes),
        ResponseBody::Stream(stream) => {
            let stream = follow_reader(stream, length, Arc::clone(&connection), request, shared);
            Body::from_bytes_stream(close_on_error(Box::pin(stream), connection))
        }
    };
    let mut res = Response::default();
    res.set_status(response.status);
    *res.headers_mut() = response.headers;
    res.set_body(body);
    res
}

/// Returns the problem response (RFC 9457) for a failure.
pub(crate) fn failure_response(failure: &Failure, request_id: &RequestId) -> Response {
    let problem =
        failure.kind.problem(failure.detail.clone(), request_id.as_str(), failure.retry_after);
    let status = StatusCode::from_u16(problem.status);
    let mut res = Response::default();
    res.set_status(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    set_headers(res.headers_mut(), &problem);
    if failure.is_body_unread {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    res.set_body(Body::from_string(codec::to_json(&problem).unwrap_or_default()));
    res
}

fn set_headers(fields: &mut http::HeaderMap, problem: &Problem) {
    fields.insert(header::CONTENT_TYPE, PROBLEM_JSON);
    if let Ok(value) = HeaderValue::from_str(&problem.execution.to_string()) {
        fields.insert(headers::EXECUTION, value);
    }
    if let Ok(value) = HeaderValue::from_str(&problem.request_id) {
        fields.insert(headers::REQUEST_ID, value);
    }
    if let Some(millis) = problem.retry_after_ms {
        fields.insert(header::RETRY_AFTER, HeaderValue::from(millis.div_ceil(1_000).max(1)));
    }
}
