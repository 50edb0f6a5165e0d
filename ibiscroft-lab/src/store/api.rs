//! HTTP interface of the key-value service and the instance list.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_listener::Connection;
use ibiscroft_wire::generated::store::{
    EntryList, LeaseAnswer, LeaseRequest, PutAnswer, PutRequest, WatchAnswer,
};
use poem::http::StatusCode;
use poem::web::{Data, Json, Query};
use poem::{
    Endpoint, EndpointExt, IntoEndpoint, IntoResponse, Request, Response, Route, get, handler, post,
};
use serde::Deserialize;

use super::leases::LeaseId;
use super::shared::{Inner, Shared};
use super::state::PutError;

/// Longest wait of a watch, in milliseconds.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

#[derive(Debug, Deserialize)]
struct KeyQuery {
    key: String,
}

#[derive(Debug, Deserialize)]
struct DeleteQuery {
    key: String,
    expected_version: u64,
}

#[derive(Debug, Deserialize)]
struct ListQuery {
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct LeaseQuery {
    lease: u64,
}

/// Returns the endpoint of all calls, wrapped in the injection of faults.
pub(super) fn endpoint(shared: Arc<Shared>) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/v1/kv", get(get_key).put(put_key).delete(delete_key))
        .at("/v1/list", get(list))
        .at("/v1/watch", get(watch))
        .at("/v1/leases", post(grant_lease))
        .at("/v1/leases/renew", post(renew_lease))
        .at("/v1/leases/revoke", post(revoke_lease))
        .at("/v1/instances", get(instances))
        .around(inject_faults)
        .data(shared)
}

/// Applies the active faults to a call.
async fn inject_faults(ep: Arc<impl Endpoint>, req: Request) -> poem::Result<Response> {
    let shared = req.data::<Arc<Shared>>().cloned();
    let Some(shared) = shared else {
        return Ok(StatusCode::INTERNAL_SERVER_ERROR.into());
    };
    let connection = shared.connections.for_request(&req);
    let delay = Duration::from_millis(shared.faults().delay_ms);
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    if refuse_while_down(&shared) {
        return Ok(close_without_response(connection.as_deref()));
    }
    let is_write = matches!(req.method().as_str(), "PUT" | "DELETE");
    let response = ep.call(req).await.map(IntoResponse::into_response);
    if is_write && take_lost_response(&shared) {
        return Ok(close_without_response(connection.as_deref()));
    }
    response
}

/// Returns whether the store is down, and counts the refused call.
fn refuse_while_down(shared: &Shared) -> bool {
    let mut inner = shared.lock();
    if inner.faults.down {
        inner.counters.refused += 1;
    }
    inner.faults.down
}

/// Returns whether the response to the current write is to be lost.
fn take_lost_response(shared: &Shared) -> bool {
    let mut inner = shared.lock();
    if inner.faults.lose_answers == 0 {
        return false;
    }
    inner.faults.lose_answers -= 1;
    inner.counters.lost_answers += 1;
    true
}

/// Closes the caller's connection. The returned response is never sent.
fn close_without_response(connection: Option<&Connection>) -> Response {
    if let Some(connection) = connection {
        connection.close();
    }
    StatusCode::SERVICE_UNAVAILABLE.into()
}

#[handler]
fn get_key(Data(shared): Data<&Arc<Shared>>, Query(query): Query<KeyQuery>) -> Response {
    let entry = shared.update(|inner, now| {
        inner.counters.get += 1;
        inner.state.expire(now);
        inner.state.get(&query.key)
    });
    match entry {
        Some(entry) => Json(entry).into_response(),
        None => StatusCode::NOT_FOUND.into(),
    }
}

#[handler]
fn put_key(
    Data(shared): Data<&Arc<Shared>>,
    Query(query): Query<KeyQuery>,
    Json(request): Json<PutRequest>,
) -> Response {
    let result = shared.update(|inner, now| {
        inner.counters.put += 1;
        let result = inner.state.put(&query.key, request, now);
        count_conflict(inner, &result);
        result
    });
    write_response(result)
}

#[handler]
fn delete_key(Data(shared): Data<&Arc<Shared>>, Query(query): Query<DeleteQuery>) -> Response {
    let result = shared.update(|inner, now| {
        inner.counters.delete += 1;
        let result = inner.state.delete(&query.key, query.expected_version, now);
        count_conflict(inner, &result);
        result
    });
    write_response(result)
}

#[handler]
fn list(Data(shared): Data<&Arc<Shared>>, Query(query): Query<ListQuery>) -> Json<EntryList> {
    Json(shared.update(|inner, now| {
        inner.counters.list += 1;
        inner.state.expire(now);
        EntryList { revision: inner.state.revision(), entries: inner.state.list(&query.prefix) }
    }))
}

#[handler]
async fn watch(
    Data(shared): Data<&Arc<Shared>>,
    Query(query): Query<WatchQuery>,
) -> Json<WatchAnswer> {
    shared.lock().counters.watch += 1;
    let wait = Duration::from_millis(query.wait_ms.min(MAX_WATCH_WAIT_MS));
    let deadline = tokio::time::Instant::now() + wait;
    let mut changed = shared.subscribe();
    loop {
        changed.mark_unchanged();
        let response = shared.update(|inner, now| watch_response(inner, &query, now));
        // The revision is below `after` if the store was rolled back since the caller read it.
        if !response.entries.is_empty() || response.revision < query.after {
            return Json(response);
        }
        if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
            return Json(response);
        }
    }
}

fn watch_response(inner: &mut Inner, query: &WatchQuery, now: Tick) -> WatchAnswer {
    inner.state.expire(now);
    WatchAnswer {
        revision: inner.state.revision(),
        entries: inner.state.changes(&query.prefix, query.after),
    }
}

#[handler]
fn grant_lease(
    Data(shared): Data<&Arc<Shared>>,
    Json(request): Json<LeaseRequest>,
) -> Json<LeaseAnswer> {
    let ttl = Duration::from_millis(request.ttl_ms.into());
    let id = shared.update(|inner, now| {
        inner.counters.lease += 1;
        inner.state.grant_lease(ttl, now)
    });
    Json(LeaseAnswer { lease: id.get(), ttl_ms: request.ttl_ms })
}

#[handler]
fn renew_lease(Data(shared): Data<&Arc<Shared>>, Query(query): Query<LeaseQuery>) -> Response {
    let renewed = shared.update(|inner, now| {
        inner.counters.lease += 1;
        inner.state.renew_lease(LeaseId(query.lease), now)
    });
    let Some(ttl) = renewed else {
        return StatusCode::NOT_FOUND.into();
    };
    let ttl_ms = u32::try_from(ttl.as_millis()).unwrap_or(u32::MAX);
    Json(LeaseAnswer { lease: query.lease, ttl_ms }).into_response()
}

#[handler]
fn revoke_lease(Data(shared): Data<&Arc<Shared>>, Query(query): Query<LeaseQuery>) -> StatusCode {
    shared.update(|inner, _| {
        inner.counters.lease += 1;
        inner.state.revoke_lease(LeaseId(query.lease));
    });
    StatusCode::OK
}

#[handler]
fn instances(Data(shared): Data<&Arc<Shared>>) -> Response {
    let visible = shared.update(|inner, now| {
        inner.counters.instances += 1;
        inner.instances.visible(now)
    });
    Json(visible).into_response()
}

fn count_conflict(inner: &mut Inner, result: &Result<u64, PutError>) {
    if matches!(result, Err(PutError::Conflict(_))) {
        inner.counters.conflicts += 1;
    }
}

fn write_response(result: Result<u64, PutError>) -> Response {
    match result {
        Ok(version) => Json(PutAnswer { version }).into_response(),
        Err(PutError::Conflict(version)) => {
            Json(PutAnswer { version }).with_status(StatusCode::CONFLICT).into_response()
        }
        Err(PutError::LeaseEnded) => StatusCode::NOT_FOUND.into(),
        Err(PutError::TooLarge) => StatusCode::PAYLOAD_TOO_LARGE.into(),
    }
}
