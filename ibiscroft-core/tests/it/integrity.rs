//! Tests of `integrity`.

use ibiscroft_core::integrity::{
    BodyCheck, BodyError, ContentRange, EchoMatch, Framing, ResponseHead, ResumableResponse,
    ResumeAction, check_echo,
};
use proptest::prelude::*;

use crate::support::fuzz;

#[test]
fn response_matches_only_with_the_identical_request_id() {
    struct Case {
        echoed: Option<&'static str>,
        expected: EchoMatch,
    }
    let cases = [
        Case { echoed: Some("r-1"), expected: EchoMatch::Same },
        Case { echoed: Some("r-2"), expected: EchoMatch::Different },
        Case { echoed: Some(""), expected: EchoMatch::Different },
        Case { echoed: Some("r-1 "), expected: EchoMatch::Different },
        Case { echoed: None, expected: EchoMatch::Missing },
    ];
    for case in cases {
        assert_eq!(check_echo("r-1", case.echoed), case.expected, "{:?}", case.echoed);
    }
}

#[test]
fn body_is_complete_only_by_its_length_or_end_marker() {
    struct Case {
        name: &'static str,
        framing: Framing,
        chunks: &'static [u64],
        end_received: bool,
        expected: Result<(), BodyError>,
    }
    let truncated = |received, expected| Err(BodyError::Truncated { received, expected });
    let cases = [
        Case {
            name: "complete by length",
            framing: Framing::Length(10),
            chunks: &[4, 6],
            end_received: false,
            expected: Ok(()),
        },
        Case {
            name: "empty by length",
            framing: Framing::Length(0),
            chunks: &[],
            end_received: false,
            expected: Ok(()),
        },
        Case {
            name: "shorter than the length",
            framing: Framing::Length(10),
            chunks: &[4, 5],
            end_received: true,
            expected: truncated(9, Some(10)),
        },
        Case {
            name: "longer than the length",
            framing: Framing::Length(10),
            chunks: &[4, 7],
            end_received: false,
            expected: Err(BodyError::Oversized { expected: 10 }),
        },
        Case {
            name: "complete by end marker",
            framing: Framing::EndMarker,
            chunks: &[4],
            end_received: true,
            expected: Ok(()),
        },
        Case {
            name: "without end marker",
            framing: Framing::EndMarker,
            chunks: &[4],
            end_received: false,
            expected: truncated(4, None),
        },
        Case {
            name: "ended by the connection",
            framing: Framing::ConnectionEnd,
            chunks: &[4],
            end_received: false,
            expected: Err(BodyError::Undelimited),
        },
    ];
    for case in cases {
        let mut check = BodyCheck::new(case.framing);
        let received = case.chunks.iter().try_for_each(|count| check.receive(*count));
        if case.end_received {
            check.receive_end();
        }
        assert_eq!(received.and_then(|()| check.finish()), case.expected, "{}", case.name);
    }
}

#[test]
fn bytes_beyond_the_stated_length_are_rejected_on_receipt() {
    let mut check = BodyCheck::new(Framing::Length(10));
    assert_eq!(check.receive(10), Ok(()));
    assert_eq!(check.receive(1), Err(BodyError::Oversized { expected: 10 }));
}

fn head(status: u16, etag: &str, length: Option<u64>) -> ResponseHead {
    let etag = (!etag.is_empty()).then(|| etag.to_string());
    ResponseHead { status, etag, length, is_encoded: false, content_range: None }
}

#[test]
fn only_a_plain_get_with_length_and_strong_validator_is_resumed() {
    struct Case {
        name: &'static str,
        is_plain_get: bool,
        head: ResponseHead,
        is_resumed: bool,
    }
    let encoded = ResponseHead { is_encoded: true, ..head(200, "\"v\"", Some(9)) };
    let cases = [
        Case {
            name: "strong validator",
            is_plain_get: true,
            head: head(200, "\"v\"", Some(9)),
            is_resumed: true,
        },
        Case {
            name: "not a plain GET",
            is_plain_get: false,
            head: head(200, "\"v\"", Some(9)),
            is_resumed: false,
        },
        Case {
            name: "weak validator",
            is_plain_get: true,
            head: head(200, "W/\"v\"", Some(9)),
            is_resumed: false,
        },
        Case {
            name: "empty validator",
            is_plain_get: true,
            head: head(200, "\"\"", Some(9)),
            is_resumed: false,
        },
        Case {
            name: "no validator",
            is_plain_get: true,
            head: head(200, "", Some(9)),
            is_resumed: false,
        },
        Case {
            name: "no length",
            is_plain_get: true,
            head: head(200, "\"v\"", None),
            is_resumed: false,
        },
        Case {
            name: "partial response",
            is_plain_get: true,
            head: head(206, "\"v\"", Some(9)),
            is_resumed: false,
        },
        Case { name: "encoded", is_plain_get: true, head: encoded, is_resumed: false },
    ];
    for case in cases {
        let resume = ResumableResponse::new(case.is_plain_get, case.head).on_broken_body(4);
        let expected = if case.is_resumed {
            ResumeAction::RequestRange { from: 4, etag: "\"v\"".to_string() }
        } else {
            ResumeAction::Abort
        };
        assert_eq!(resume, expected, "{}", case.name);
    }
}

#[test]
fn resumptions_of_a_response_are_limited() {
    let mut response = ResumableResponse::new(true, head(200, "\"v\"", Some(9)));
    let resumed =
        (0..10).filter(|from| response.on_broken_body(*from) != ResumeAction::Abort).count();
    assert_eq!(resumed, 3);
    assert_eq!(
        ResumableResponse::new(true, head(200, "\"v\"", Some(9))).on_broken_body(9),
        ResumeAction::Abort
    );
}

#[test]
fn malformed_content_ranges_are_rejected() {
    let range = ContentRange { first: 4, last: 8, total: 9 };
    assert_eq!("bytes 4-8/9".parse(), Ok(range));
    for text in ["", "bytes */9", "bytes 4-8/*", "4-8/9", "bytes 4-/9", "items 4-8/9"] {
        assert!(text.parse::<ContentRange>().is_err(), "{text}");
    }
}

#[test]
fn response_is_continued_only_by_exactly_the_missing_bytes() {
    let response = ResumableResponse::new(true, head(200, "\"v\"", Some(9)));
    let range = |first, last, total| Some(ContentRange { first, last, total });
    let good = ResponseHead { content_range: range(4, 8, 9), ..head(206, "\"v\"", Some(5)) };
    struct Case {
        name: &'static str,
        next: ResponseHead,
    }
    let bad = [
        Case { name: "complete body", next: ResponseHead { status: 200, ..good.clone() } },
        Case {
            name: "no content range",
            next: ResponseHead { content_range: None, ..good.clone() },
        },
        Case {
            name: "other start",
            next: ResponseHead { content_range: range(5, 8, 9), ..good.clone() },
        },
        Case {
            name: "other end",
            next: ResponseHead { content_range: range(4, 7, 9), ..good.clone() },
        },
        Case {
            name: "other total",
            next: ResponseHead { content_range: range(4, 8, 10), ..good.clone() },
        },
        Case { name: "other length", next: ResponseHead { length: Some(4), ..good.clone() } },
        Case {
            name: "other validator",
            next: ResponseHead { etag: Some("\"w\"".to_string()), ..good.clone() },
        },
        Case { name: "no validator", next: ResponseHead { etag: None, ..good.clone() } },
        Case { name: "encoded", next: ResponseHead { is_encoded: true, ..good.clone() } },
    ];
    assert!(response.is_continued_by(4, &good));
    for case in bad {
        assert!(!response.is_continued_by(4, &case.next), "{}", case.name);
    }
}

/// Returns the byte at `offset` in the given version of a document.
fn byte(version: u64, offset: u64) -> u8 {
    (version.wrapping_mul(31) ^ offset.wrapping_mul(7)) as u8
}

proptest! {
    #![proptest_config(fuzz(500))]

    /// Targets may hold other versions, ignore the requested range, and send too few or too many
    /// bytes. The caller receives one complete version, or the response is aborted.
    #[test]
    fn callers_receive_one_complete_version_or_an_abort(
        total in 1_u64..60,
        first_version in 0_u64..3,
        attempts in prop::collection::vec((0_u64..3, 0_u64..80, 0_u8..6), 1..6),
    ) {
        let etag = |version: u64| format!("\"v{version}\"");
        let first = head(200, &etag(first_version), Some(total));
        let mut response = ResumableResponse::new(true, first);
        let mut check = BodyCheck::new(Framing::Length(total));
        let mut delivered = Vec::new();
        let mut version = first_version;
        let mut is_aborted = false;
        for (next_version, sent, fault) in attempts {
            for _ in 0..sent.min(total + 2 - delivered.len() as u64) {
                let offset = delivered.len() as u64;
                if check.receive(1).is_err() {
                    is_aborted = true;
                    break;
                }
                delivered.push(byte(version, offset));
            }
            if is_aborted || check.finish().is_ok() {
                break;
            }
            let ResumeAction::RequestRange { from, etag: validator } =
                response.on_broken_body(check.received())
            else {
                is_aborted = true;
                break;
            };
            prop_assert_eq!(&validator, &etag(first_version));
            // A correct target sends the complete body if its version differs. Fault 0 sends a
            // part of another version, fault 1 starts one byte too early.
            let is_partial = fault == 0 || next_version == first_version;
            let status = if is_partial { 206 } else { 200 };
            let first = if fault == 1 { from.saturating_sub(1) } else { from };
            let range = ContentRange { first, last: total - 1, total };
            let content_range = is_partial.then_some(range);
            let next = ResponseHead { content_range, ..head(status, &etag(next_version), None) };
            if !response.is_continued_by(from, &next) {
                is_aborted = true;
                break;
            }
            version = next_version;
        }
        if !is_aborted && check.finish().is_ok() {
            let complete: Vec<u8> = (0..total).map(|offset| byte(first_version, offset)).collect();
            prop_assert_eq!(delivered, complete);
        }
    }
}
