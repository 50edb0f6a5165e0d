//! The stand-in store over HTTP.

use std::time::Duration;

use ibiscroft_lab::store::{RunningStore, Store, StoreFaults, StoreOptions};
use ibiscroft_wire::generated::store::{Entry, EntryList, PutAnswer, WatchAnswer};
use reqwest::{Client, Method, Response, StatusCode};

fn url(store: &RunningStore, path: &str) -> String {
    format!("http://{}{path}", store.address())
}

async fn put(store: &RunningStore, value: &str, version: u64) -> reqwest::Result<Response> {
    Client::new()
        .request(Method::PUT, url(store, "/v1/kv?key=p%2Fk"))
        .json(&serde_json::json!({"value": value, "expected_version": version}))
        .send()
        .await
}

async fn value(store: &RunningStore) -> Option<String> {
    let response = reqwest::get(url(store, "/v1/kv?key=p%2Fk")).await.unwrap();
    if response.status() == StatusCode::NOT_FOUND {
        return None;
    }
    response.json::<Entry>().await.unwrap().value
}

#[tokio::test]
async fn write_with_lost_response_takes_effect() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    store.set_faults(StoreFaults { lose_answers: 1, ..StoreFaults::default() });
    assert!(put(&store, "a", 0).await.is_err());
    assert_eq!(value(&store).await.as_deref(), Some("a"));
    let second = put(&store, "b", 0).await.unwrap();
    assert_eq!(second.status(), StatusCode::CONFLICT);
    assert_eq!(second.json::<PutAnswer>().await.unwrap().version, 1);
    assert_eq!(store.counters().lost_answers, 1);
}

#[tokio::test]
async fn store_that_is_down_closes_connection_without_effect() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    assert!(put(&store, "a", 0).await.is_err());
    store.set_faults(StoreFaults::default());
    assert_eq!(value(&store).await, None);
    assert!(store.counters().refused >= 1);
}

#[tokio::test]
async fn watch_returns_on_change_and_counts_once() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    let path = url(&store, "/v1/watch?prefix=p%2F&after=0&wait_ms=20000");
    let watch = tokio::spawn(async move {
        reqwest::get(path).await.unwrap().json::<WatchAnswer>().await.unwrap()
    });
    while store.counters().watch == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    put(&store, "a", 0).await.unwrap();
    let response = watch.await.unwrap();
    assert_eq!(response.revision, 1);
    assert_eq!(response.entries[0].value.as_deref(), Some("a"));
    assert_eq!(store.counters().watch, 1);
}

#[tokio::test]
async fn rollback_restores_snapshot() {
    let store = Store::start(StoreOptions::default()).await.unwrap();
    assert!(!store.roll_back());
    put(&store, "a", 0).await.unwrap();
    store.take_snapshot();
    put(&store, "b", 1).await.unwrap();
    assert!(store.roll_back());
    let list = reqwest::get(url(&store, "/v1/list?prefix=")).await.unwrap();
    let list: EntryList = list.json().await.unwrap();
    assert_eq!(list.revision, 1);
    assert_eq!(list.entries[0].value.as_deref(), Some("a"));
}
