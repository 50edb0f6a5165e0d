//! Conversions between claim pages as stored and the types of `ibiscroft-core`.

use std::fmt::Write;

use ibiscroft_core::claims::{
    ClaimNonce, ClaimRecord, ClaimState, Fingerprint, Page, PageId, StoredResponse, UnixMillis,
};
use ibiscroft_core::ids::IdempotencyKey;

use crate::generated::claims::{ClaimAnswer, ClaimEntry, ClaimEntryState, ClaimPageRecord};
use crate::keys;
use crate::schema_check::Fault;

/// Returns the key under which the store keeps a claim page.
#[must_use]
pub fn claim_page_key(page: PageId) -> String {
    format!("{}{page}", keys::CLAIMS_PREFIX)
}

/// Converts a claim page to its stored form.
#[must_use]
pub fn claim_page_record(page: &Page) -> ClaimPageRecord {
    ClaimPageRecord { claims: page.records.iter().map(claim_entry).collect() }
}

/// Converts a claim page from its stored form.
///
/// # Errors
///
/// Returns the path of the first finished claim whose response is missing or cannot be decoded.
pub fn claim_page(record: ClaimPageRecord) -> Result<Page, Fault> {
    let mut records = Vec::with_capacity(record.claims.len());
    for (index, entry) in record.claims.into_iter().enumerate() {
        records.push(claim_record(entry, index)?);
    }
    Ok(Page { records })
}

fn claim_entry(record: &ClaimRecord) -> ClaimEntry {
    let (state, answer) = match &record.state {
        ClaimState::Claimed => (ClaimEntryState::Claimed, None),
        ClaimState::Unknown => (ClaimEntryState::Unknown, None),
        ClaimState::Finished(response) => (ClaimEntryState::Finished, Some(claim_answer(response))),
    };
    ClaimEntry {
        key: record.key.to_string(),
        fingerprint: record.fingerprint.get(),
        nonce: record.nonce.get(),
        expires_at_ms: record.expires_at.get(),
        state,
        answer,
    }
}

fn claim_answer(response: &StoredResponse) -> ClaimAnswer {
    let content_type = Some(response.content_type.clone()).filter(|text| !text.is_empty());
    let (body, body_hex) = match response.body.clone().map(String::from_utf8) {
        None => (None, None),
        Some(Ok(text)) => (Some(text), None),
        Some(Err(error)) => (None, Some(hex_encode(error.as_bytes()))),
    };
    ClaimAnswer { status: response.status, content_type, body, body_hex }
}

fn claim_record(entry: ClaimEntry, index: usize) -> Result<ClaimRecord, Fault> {
    let state = match (entry.state, entry.answer) {
        (ClaimEntryState::Claimed, _) => ClaimState::Claimed,
        (ClaimEntryState::Unknown, _) => ClaimState::Unknown,
        (ClaimEntryState::Finished, Some(answer)) => {
            ClaimState::Finished(stored_response(answer, index)?)
        }
        (ClaimEntryState::Finished, None) => {
            return Err(Fault::new(
                format!("/claims/{index}/answer"),
                "missing; required in a finished claim",
            ));
        }
    };
    Ok(ClaimRecord {
        key: IdempotencyKey::new(entry.key),
        fingerprint: Fingerprint(entry.fingerprint),
        nonce: ClaimNonce(entry.nonce),
        expires_at: UnixMillis(entry.expires_at_ms),
        state,
    })
}

fn stored_response(answer: ClaimAnswer, index: usize) -> Result<StoredResponse, Fault> {
    let body = match (answer.body, answer.body_hex) {
        (Some(text), _) => Some(text.into_bytes()),
        (None, Some(digits)) => Some(hex_decode(&digits).ok_or_else(|| {
            Fault::new(
                format!("/claims/{index}/answer/body_hex"),
                "not pairs of hexadecimal digits",
            )
        })?),
        (None, None) => None,
    };
    let content_type = answer.content_type.unwrap_or_default();
    Ok(StoredResponse { status: answer.status, content_type, body })
}

fn hex_encode(bytes: &[u8]) -> String {
    let mut digits = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(digits, "{byte:02x}");
    }
    digits
}

fn hex_decode(digits: &str) -> Option<Vec<u8>> {
    if !digits.is_ascii() || !digits.len().is_multiple_of(2) {
        return None;
    }
    (0..digits.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&digits[at..at + 2], 16).ok())
        .collect()
}
