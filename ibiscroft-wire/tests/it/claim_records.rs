//! Tests of the stored form of claim pages.

use ibiscroft_core::claims::{
    ClaimNonce, ClaimRecord, ClaimState, Fingerprint, Page, PageId, StoredResponse, UnixMillis,
};
use ibiscroft_core::ids::IdempotencyKey;
use ibiscroft_wire::claim_records::{claim_page, claim_page_key, claim_page_record};
use ibiscroft_wire::codec;

fn page(state: ClaimState) -> Page {
    let record = ClaimRecord {
        key: IdempotencyKey::new("01938c2e-8a00-7abc-8def-0123456789ab"),
        fingerprint: Fingerprint(u64::MAX),
        nonce: ClaimNonce(u64::MAX),
        expires_at: UnixMillis(1_733_270_400_000),
        state,
    };
    Page { records: vec![record; 3] }
}

/// Returns claim states whose encodings differ most, including bodies that need escapes and bodies
/// that are not UTF-8.
fn states() -> Vec<ClaimState> {
    let body = "\"\\\n\u{1}é".repeat(50);
    vec![
        ClaimState::Claimed,
        ClaimState::Unknown,
        ClaimState::Finished(StoredResponse {
            status: 599,
            content_type: "application/json; charset=\"utf-8\"".to_string(),
            body: Some(body.into_bytes()),
        }),
        ClaimState::Finished(StoredResponse {
            status: 200,
            content_type: String::new(),
            body: Some((0..=255).collect()),
        }),
        ClaimState::Finished(StoredResponse {
            status: 201,
            content_type: String::new(),
            body: None,
        }),
    ]
}

#[test]
fn pages_round_trip_through_their_stored_form() {
    for state in states() {
        let page = page(state);
        let text = codec::to_json(&claim_page_record(&page)).unwrap();
        assert_eq!(claim_page(codec::from_json(&text).unwrap()).unwrap(), page);
    }
}

#[test]
fn encoded_size_is_at_most_the_estimate() {
    for state in states() {
        let page = page(state);
        let size = codec::to_json(&claim_page_record(&page)).unwrap().len();
        assert!(size <= page.encoded_bytes(), "{size} > {}", page.encoded_bytes());
    }
}

/// The `answer` member of a finished claim and the path of the fault that it causes.
struct FaultCase {
    answer: &'static str,
    path: &'static str,
}

const FAULT_CASES: &[FaultCase] = &[
    FaultCase { answer: "", path: "/claims/0/answer" },
    FaultCase {
        answer: r#","answer":{"status":200,"body_hex":"abc"}"#,
        path: "/claims/0/answer/body_hex",
    },
    FaultCase {
        answer: r#","answer":{"status":200,"body_hex":"xy"}"#,
        path: "/claims/0/answer/body_hex",
    },
];

#[test]
fn finished_claim_without_valid_response_is_rejected() {
    for case in FAULT_CASES {
        let text = format!(
            r#"{{"claims":[{{"key":"k","fingerprint":1,"nonce":2,"expires_at_ms":3,
            "state":"finished"{}}}]}}"#,
            case.answer
        );
        let fault = claim_page(codec::from_json(&text).unwrap()).unwrap_err();
        assert_eq!(fault.path, case.path, "{}", case.answer);
    }
}

#[test]
fn page_key_contains_slot_and_shard() {
    let key = claim_page_key(PageId { slot: 173_327_040, shard: 3 });
    assert_eq!(key, "ibiscroft/claims/173327040/3");
}
