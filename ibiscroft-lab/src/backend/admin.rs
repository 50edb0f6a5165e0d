//! Admin listener of a backend server: control and counters.

use std::sync::Arc;

use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler, post};

use super::control::BackendControl;
use super::counters::BackendCounters;
use super::shared::Shared;

/// Returns the endpoint of the admin listener.
pub(super) fn endpoint(shared: Arc<Shared>) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/counters", get(counters))
        .at("/control", post(control))
        .at("/reset", post(reset))
        .at("/ran", post(ran))
        .data(shared)
}

#[handler]
fn counters(Data(shared): Data<&Arc<Shared>>) -> Json<BackendCounters> {
    Json(shared.counters())
}

#[handler]
fn control(Data(shared): Data<&Arc<Shared>>, Json(control): Json<BackendControl>) -> StatusCode {
    shared.apply(&control);
    StatusCode::OK
}

#[handler]
fn reset(Data(shared): Data<&Arc<Shared>>) -> StatusCode {
    shared.reset();
    StatusCode::OK
}

/// Returns those of the named calls that were executed.
#[handler]
fn ran(Data(shared): Data<&Arc<Shared>>, Json(calls): Json<Vec<String>>) -> Json<Vec<String>> {
    Json(shared.lock().executions.executed_calls(&calls))
}
