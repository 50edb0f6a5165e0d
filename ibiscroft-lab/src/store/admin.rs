//! Admin listener of the store: faults, snapshots, the instance list and counters.

use std::sync::Arc;

use ibiscroft_wire::generated::store::InstanceList;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, IntoEndpoint, Route, get, handler, post};

use super::counters::StoreCounters;
use super::faults::StoreFaults;
use super::shared::Shared;

/// Returns the endpoint of the admin listener.
pub(super) fn endpoint(shared: Arc<Shared>) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at("/faults", post(set_faults))
        .at("/snapshot", post(take_snapshot))
        .at("/rollback", post(roll_back))
        .at("/instances", post(set_instances))
        .at("/counters", get(counters))
        .data(shared)
}

#[handler]
fn set_faults(Data(shared): Data<&Arc<Shared>>, Json(faults): Json<StoreFaults>) -> StatusCode {
    shared.set_faults(faults);
    StatusCode::OK
}

#[handler]
fn take_snapshot(Data(shared): Data<&Arc<Shared>>) -> StatusCode {
    shared.take_snapshot();
    StatusCode::OK
}

#[handler]
fn roll_back(Data(shared): Data<&Arc<Shared>>) -> StatusCode {
    if shared.roll_back() { StatusCode::OK } else { StatusCode::CONFLICT }
}

#[handler]
fn set_instances(Data(shared): Data<&Arc<Shared>>, Json(list): Json<InstanceList>) -> StatusCode {
    shared.set_instances(list);
    StatusCode::OK
}

#[handler]
fn counters(Data(shared): Data<&Arc<Shared>>) -> Json<StoreCounters> {
    Json(shared.counters())
}
