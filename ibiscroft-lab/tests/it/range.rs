//! Range requests, and the content of resources.

use ibiscroft_lab::backend::{ByteRange, Pattern, RangeOutcome, requested_range};

#[test]
fn requested_range_follows_headers() {
    struct Case {
        range: Option<&'static str>,
        if_range: Option<&'static str>,
        expected: RangeOutcome,
    }
    let part = |start, end| RangeOutcome::Part(ByteRange { start, end });
    let cases = [
        Case { range: None, if_range: None, expected: RangeOutcome::Whole },
        Case { range: Some("bytes=0-9"), if_range: None, expected: part(0, 10) },
        Case { range: Some("bytes=90-"), if_range: None, expected: part(90, 100) },
        Case { range: Some("bytes=90-500"), if_range: None, expected: part(90, 100) },
        Case { range: Some("bytes=-5"), if_range: None, expected: part(95, 100) },
        Case { range: Some("bytes=100-"), if_range: None, expected: RangeOutcome::Unsatisfiable },
        Case { range: Some("bytes=-0"), if_range: None, expected: RangeOutcome::Unsatisfiable },
        Case { range: Some("bytes=5-4"), if_range: None, expected: RangeOutcome::Unsatisfiable },
        Case { range: Some("bytes=x-4"), if_range: None, expected: RangeOutcome::Whole },
        Case { range: Some("lines=1-4"), if_range: None, expected: RangeOutcome::Whole },
        Case { range: Some("bytes=1-2"), if_range: Some("\"e\""), expected: part(1, 3) },
        Case { range: Some("bytes=1-2"), if_range: Some("\"f\""), expected: RangeOutcome::Whole },
    ];
    for case in cases {
        let actual = requested_range(case.range, case.if_range, "\"e\"", 100);
        assert_eq!(actual, case.expected, "{:?} {:?}", case.range, case.if_range);
    }
}

#[test]
fn pattern_slices_match_whole_content_and_differ_by_path() {
    let pattern = Pattern::new("/a", 1_000);
    let whole = pattern.slice(0, 1_000);
    for (start, end) in [(0, 0), (0, 1), (7, 9), (8, 16), (13, 1_000)] {
        let part = pattern.slice(start, end);
        assert_eq!(part[..], whole[start as usize..end as usize], "{start}..{end}");
        assert!(pattern.matches(start, &part), "{start}..{end}");
    }
    assert!(!Pattern::new("/b", 1_000).matches(0, &whole));
    assert!(!pattern.matches(1, &whole[..999]));
}
