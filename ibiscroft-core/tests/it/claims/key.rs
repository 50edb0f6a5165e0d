//! Unit tests of key parsing, key age limits and the page of a key.

use ibiscroft_core::claims::{ClaimLimits, KeyError, TimedKey, UnixMillis};

struct Case {
    text: &'static str,
    expected: Result<u64, KeyError>,
}

const CASES: &[Case] = &[
    Case { text: "01938c2e-8a00-7abc-8def-0123456789ab", expected: Ok(0x0193_8c2e_8a00) },
    Case { text: "01938C2E-8A00-7ABC-8DEF-0123456789AB", expected: Ok(0x0193_8c2e_8a00) },
    Case { text: "\"01938c2e-8a00-7abc-8def-0123456789ab\"", expected: Ok(0x0193_8c2e_8a00) },
    Case { text: "1733270400000-a", expected: Ok(1_733_270_400_000) },
    Case { text: "8e03978e-40d5-43dd-bc93-6894a57f9324", expected: Err(KeyError::NoTime) },
    Case { text: "173327040000-a", expected: Err(KeyError::NoTime) },
    Case { text: "1733270400000", expected: Err(KeyError::NoTime) },
    Case { text: "order-17", expected: Err(KeyError::NoTime) },
    Case { text: "", expected: Err(KeyError::Malformed) },
    Case { text: "1733270400000-a b", expected: Err(KeyError::Malformed) },
    Case {
        text: "1733270400000-0123456789012345678901234567890123456789012345678901",
        expected: Err(KeyError::Malformed),
    },
];

#[test]
fn keys_are_parsed_with_their_time() {
    for case in CASES {
        let time = case.text.parse::<TimedKey>().map(|key| key.time().get());
        assert_eq!(time, case.expected, "{:?}", case.text);
    }
}

#[test]
fn uuid_keys_ignore_case_and_quotes() {
    let lower = "01938c2e-8a00-7abc-8def-0123456789ab".parse::<TimedKey>().unwrap();
    let upper = "\"01938C2E-8A00-7ABC-8DEF-0123456789AB\"".parse::<TimedKey>().unwrap();
    assert_eq!(lower, upper);
}

#[test]
fn page_of_a_key_does_not_depend_on_the_gateway_count() {
    let limits = ClaimLimits::for_fleet(18);
    let key = "1733270400000-a".parse::<TimedKey>().unwrap();
    let page = limits.page_of(&key);
    assert_eq!(page.slot, 433_317_600);
    assert!(page.shard < limits.shards);
    assert_eq!(page, ClaimLimits::for_fleet(3).page_of(&key));
}

#[test]
fn key_age_and_clock_skew_limits_are_inclusive() {
    let limits = ClaimLimits::for_fleet(18);
    let day = 24 * 3_600_000;
    assert!(!limits.is_expired(UnixMillis(1_000), UnixMillis(1_000 + day)));
    assert!(limits.is_expired(UnixMillis(1_000), UnixMillis(1_001 + day)));
    assert!(!limits.is_ahead(UnixMillis(301_000), UnixMillis(1_000)));
    assert!(limits.is_ahead(UnixMillis(301_001), UnixMillis(1_000)));
}
