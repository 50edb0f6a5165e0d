//! State machine of the stand-in store.

use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_lab::store::{LeaseId, PutError, StoreState};
use ibiscroft_wire::generated::store::PutRequest;

fn request(value: &str, expected_version: u64, lease: Option<LeaseId>) -> PutRequest {
    PutRequest { value: value.to_string(), expected_version, lease: lease.map(LeaseId::get) }
}

#[test]
fn write_requires_current_version() {
    struct Case {
        name: &'static str,
        expected_version: u64,
        result: Result<u64, PutError>,
    }
    let cases = [
        Case { name: "current version", expected_version: 1, result: Ok(2) },
        Case {
            name: "key expected to be absent",
            expected_version: 0,
            result: Err(PutError::Conflict(1)),
        },
        Case { name: "future version", expected_version: 9, result: Err(PutError::Conflict(1)) },
    ];
    for case in cases {
        let mut state = StoreState::default();
        assert_eq!(state.put("k", request("a", 0, None), Tick::ZERO), Ok(1));
        let result = state.put("k", request("b", case.expected_version, None), Tick::ZERO);
        assert_eq!(result, case.result, "{}", case.name);
        let value = state.get("k").and_then(|entry| entry.value);
        let expected = if case.result.is_ok() { "b" } else { "a" };
        assert_eq!(value.as_deref(), Some(expected), "{}", case.name);
    }
}

#[test]
fn deleted_key_is_change_without_value() {
    let mut state = StoreState::default();
    state.put("p/a", request("a", 0, None), Tick::ZERO).unwrap();
    state.put("q/b", request("b", 0, None), Tick::ZERO).unwrap();
    state.delete("p/a", 1, Tick::ZERO).unwrap();
    let changes = state.changes("p/", 1);
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].value.as_deref(), changes[0].version), (None, 3));
    assert!(state.list("p/").is_empty());
    assert_eq!(state.put("p/a", request("c", 0, None), Tick::ZERO), Ok(4));
}

#[test]
fn end_of_lease_deletes_its_keys() {
    struct Case {
        name: &'static str,
        renew_at_ms: Option<u64>,
        check_at_ms: u64,
        exists: bool,
    }
    let cases = [
        Case { name: "before the end", renew_at_ms: None, check_at_ms: 99, exists: true },
        Case { name: "after the end", renew_at_ms: None, check_at_ms: 100, exists: false },
        Case { name: "renewed", renew_at_ms: Some(50), check_at_ms: 149, exists: true },
        Case { name: "renewed too late", renew_at_ms: Some(100), check_at_ms: 101, exists: false },
    ];
    for case in cases {
        let mut state = StoreState::default();
        let lease = state.grant_lease(Duration::from_millis(100), Tick::ZERO);
        state.put("k", request("v", 0, Some(lease)), Tick::ZERO).unwrap();
        if let Some(at) = case.renew_at_ms {
            let _ = state.renew_lease(lease, Tick::from_millis(at));
        }
        state.expire(Tick::from_millis(case.check_at_ms));
        assert_eq!(state.get("k").is_some(), case.exists, "{}", case.name);
        assert_eq!(state.changes("", 1).len(), usize::from(!case.exists), "{}", case.name);
    }
}

#[test]
fn revision_above_current_counts_as_zero() {
    let mut state = StoreState::default();
    state.put("k", request("v", 0, None), Tick::ZERO).unwrap();
    assert_eq!(state.changes("", 1).len(), 0);
    assert_eq!(state.changes("", 2).len(), 1);
}

#[test]
fn write_of_oversized_value_or_with_ended_lease_has_no_effect() {
    let mut state = StoreState::default();
    let large = "x".repeat(1024 * 1024 + 1);
    assert_eq!(state.put("k", request(&large, 0, None), Tick::ZERO), Err(PutError::TooLarge));
    let ended = request("v", 0, Some(LeaseId(7)));
    assert_eq!(state.put("k", ended, Tick::ZERO), Err(PutError::LeaseEnded));
    assert_eq!(state.revision(), 0);
}
