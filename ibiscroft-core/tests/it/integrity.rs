//! Tests of `integrity`.

use ibiscroft_core::integrity::{
    AnswerHead, BodyCheck, BodyFault, ContentRange, Echo, Framing, Resume, Resumption, check_echo,
};
use proptest::prelude::*;

use crate::support::fuzz;

#[test]
fn answers_are_compared_by_request_id() {
    struct Case {
        echoed: Option<&'static str>,
        expected: Echo,
    }
    let cases = [
        Case { echoed: Some("r-1"), expected: Echo::Own },
        Case { echoed: Some("r-2"), expected: Echo::Crossed },
        Case { echoed: Some(""), expected: Echo::Crossed },
        Case { echoed: Some("r-1 "), expected: Echo::Crossed },
        Case { echoed: None, expected: Echo::Missing },
    ];
    for case in cases {
        assert_eq!(check_echo("r-1", case.echoed), case.expected, "{:?}", case.echoed);
    }
}

#[test]
fn a_body_is_whole_only_when_that_is_shown() {
    struct Case {
        name: &'static str,
        framing: Framing,
        pieces: &'static [u64],
        saw_end: bool,
        expected: Result<(), BodyFault>,
    }
    let truncated = |received, expected| Err(BodyFault::Truncated { received, expected });
    let cases = [
        Case {
            name: "whole by length",
            framing: Framing::Length(10),
            pieces: &[4, 6],
            saw_end: false,
            expected: Ok(()),
        },
        Case {
            name: "empty by length",
            framing: Framing::Length(0),
            pieces: &[],
            saw_end: false,
            expected: Ok(()),
        },
        Case {
            name: "short by length",
            framing: Framing::Length(10),
            pieces: &[4, 5],
            saw_end: true,
            expected: truncated(9, Some(10)),
        },
        Case {
            name: "long by length",
            framing: Framing::Length(10),
            pieces: &[4, 7],
            saw_end: false,
            expected: Err(BodyFault::Oversized { expected: 10 }),
        },
        Case {
            name: "whole by end marker",
            framing: Framing::EndMarker,
            pieces: &[4],
            saw_end: true,
            expected: Ok(()),
        },
        Case {
            name: "no end marker",
            framing: Framing::EndMarker,
            pieces: &[4],
            saw_end: false,
            expected: truncated(4, None),
        },
        Case {
            name: "end of the connection",
            framing: Framing::ConnectionEnd,
            pieces: &[4],
            saw_end: false,
            expected: Err(BodyFault::Unprovable),
        },
    ];
    for case in cases {
        let mut check = BodyCheck::new(case.framing);
        let received = case.pieces.iter().try_for_each(|count| check.receive(*count));
        if case.saw_end {
            check.receive_end();
        }
        assert_eq!(received.and_then(|()| check.finish()), case.expected, "{}", case.name);
    }
}

#[test]
fn bytes_beyond_the_length_are_refused_before_they_are_passed_on() {
    let mut check = BodyCheck::new(Framing::Length(10));
    assert_eq!(check.receive(10), Ok(()));
    assert_eq!(check.receive(1), Err(BodyFault::Oversized { expected: 10 }));
}

fn head(status: u16, etag: &str, length: Option<u64>) -> AnswerHead {
    let etag = (!etag.is_empty()).then(|| etag.to_string());
    AnswerHead { status, etag, length, is_encoded: false, content_range: None }
}

#[test]
fn only_a_plain_answer_with_a_strong_validator_is_resumed() {
    struct Case {
        name: &'static str,
        is_plain_get: bool,
        head: AnswerHead,
        is_resumed: bool,
    }
    let encoded = AnswerHead { is_encoded: true, ..head(200, "\"v\"", Some(9)) };
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
            name: "partial answer",
            is_plain_get: true,
            head: head(206, "\"v\"", Some(9)),
            is_resumed: false,
        },
        Case { name: "encoded", is_plain_get: true, head: encoded, is_resumed: false },
    ];
    for case in cases {
        let resume = Resumption::new(case.is_plain_get, case.head).broken_at(4);
        let expected = if case.is_resumed {
            Resume::Range { from: 4, etag: "\"v\"".to_string() }
        } else {
            Resume::Abort
        };
        assert_eq!(resume, expected, "{}", case.name);
    }
}

#[test]
fn resumptions_are_bounded() {
    let mut resumption = Resumption::new(true, head(200, "\"v\"", Some(9)));
    let resumed = (0..10).filter(|from| resumption.broken_at(*from) != Resume::Abort).count();
    assert_eq!(resumed, 3);
    assert_eq!(Resumption::new(true, head(200, "\"v\"", Some(9))).broken_at(9), Resume::Abort);
}

#[test]
fn content_ranges_are_read_strictly() {
    let range = ContentRange { first: 4, last: 8, total: 9 };
    assert_eq!("bytes 4-8/9".parse(), Ok(range));
    for text in ["", "bytes */9", "bytes 4-8/*", "4-8/9", "bytes 4-/9", "items 4-8/9"] {
        assert!(text.parse::<ContentRange>().is_err(), "{text}");
    }
}

#[test]
fn a_resumption_continues_only_with_exactly_the_rest() {
    let resumption = Resumption::new(true, head(200, "\"v\"", Some(9)));
    let range = |first, last, total| Some(ContentRange { first, last, total });
    let good = AnswerHead { content_range: range(4, 8, 9), ..head(206, "\"v\"", Some(5)) };
    struct Case {
        name: &'static str,
        answer: AnswerHead,
    }
    let bad = [
        Case { name: "whole body", answer: AnswerHead { status: 200, ..good.clone() } },
        Case { name: "no range", answer: AnswerHead { content_range: None, ..good.clone() } },
        Case {
            name: "other start",
            answer: AnswerHead { content_range: range(5, 8, 9), ..good.clone() },
        },
        Case {
            name: "other end",
            answer: AnswerHead { content_range: range(4, 7, 9), ..good.clone() },
        },
        Case {
            name: "other total",
            answer: AnswerHead { content_range: range(4, 8, 10), ..good.clone() },
        },
        Case { name: "other length", answer: AnswerHead { length: Some(4), ..good.clone() } },
        Case {
            name: "other version",
            answer: AnswerHead { etag: Some("\"w\"".to_string()), ..good.clone() },
        },
        Case { name: "no version", answer: AnswerHead { etag: None, ..good.clone() } },
        Case { name: "encoded", answer: AnswerHead { is_encoded: true, ..good.clone() } },
    ];
    assert!(resumption.continues(4, &good));
    for case in bad {
        assert!(!resumption.continues(4, &case.answer), "{}", case.name);
    }
}

/// A target's version of a document: bytes that depend on version and offset.
fn byte(version: u64, offset: u64) -> u8 {
    (version.wrapping_mul(31) ^ offset.wrapping_mul(7)) as u8
}

proptest! {
    #![proptest_config(fuzz(500))]

    /// Targets may hold other versions, ignore the range, send too little or too much; the
    /// caller gets the bytes of one version, whole, or sees an abort.
    #[test]
    fn callers_get_one_whole_version_or_an_abort(
        total in 1_u64..60,
        first_version in 0_u64..3,
        tries in prop::collection::vec((0_u64..3, 0_u64..80, 0_u8..6), 1..6),
    ) {
        let etag = |version: u64| format!("\"v{version}\"");
        let first = head(200, &etag(first_version), Some(total));
        let mut resumption = Resumption::new(true, first);
        let mut check = BodyCheck::new(Framing::Length(total));
        let mut delivered = Vec::new();
        let mut version = first_version;
        let mut is_aborted = false;
        for (next_version, sent, manner) in tries {
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
            let Resume::Range { from, etag: wanted } = resumption.broken_at(check.received()) else {
                is_aborted = true;
                break;
            };
            prop_assert_eq!(&wanted, &etag(first_version));
            // An obedient target sends the whole when its version differs.
            let is_partial = manner == 0 || next_version == first_version;
            let status = if is_partial { 206 } else { 200 };
            let first = if manner == 1 { from.saturating_sub(1) } else { from };
            let range = ContentRange { first, last: total - 1, total };
            let content_range = is_partial.then_some(range);
            let answer = AnswerHead { content_range, ..head(status, &etag(next_version), None) };
            if !resumption.continues(from, &answer) {
                is_aborted = true;
                break;
            }
            version = next_version;
        }
        if !is_aborted && check.finish().is_ok() {
            let whole: Vec<u8> = (0..total).map(|offset| byte(first_version, offset)).collect();
            prop_assert_eq!(delivered, whole);
        }
    }
}
