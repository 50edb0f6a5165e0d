//! Range requests and the byte pattern.

use ibiscroft_lab::backend::{ByteRange, Pattern, RangeOutcome, requested_range};

#[test]
fn ranges_follow_the_headers() {
    struct Case {
        range: Option<&'static str>,
        if_range: Option<&'static str>,
        wanted: RangeOutcome,
    }
    let part = |start, end| RangeOutcome::Part(ByteRange { start, end });
    let cases = [
        Case { range: None, if_range: None, wanted: RangeOutcome::Whole },
        Case { range: Some("bytes=0-9"), if_range: None, wanted: part(0, 10) },
        Case { range: Some("bytes=90-"), if_range: None, wanted: part(90, 100) },
        Case { range: Some("bytes=90-500"), if_range: None, wanted: part(90, 100) },
        Case { range: Some("bytes=-5"), if_range: None, wanted: part(95, 100) },
        Case { range: Some("bytes=100-"), if_range: None, wanted: RangeOutcome::Unsatisfiable },
        Case { range: Some("bytes=-0"), if_range: None, wanted: RangeOutcome::Unsatisfiable },
        Case { range: Some("bytes=5-4"), if_range: None, wanted: RangeOutcome::Unsatisfiable },
        Case { range: Some("bytes=x-4"), if_range: None, wanted: RangeOutcome::Whole },
        Case { range: Some("lines=1-4"), if_range: None, wanted: RangeOutcome::Whole },
        Case { range: Some("bytes=1-2"), if_range: Some("\"e\""), wanted: part(1, 3) },
        Case { range: Some("bytes=1-2"), if_range: Some("\"f\""), wanted: RangeOutcome::Whole },
    ];
    for case in cases {
        let found = requested_range(case.range, case.if_range, "\"e\"", 100);
        assert_eq!(found, case.wanted, "{:?} {:?}", case.range, case.if_range);
    }
}

#[test]
fn a_pattern_is_the_same_in_parts_and_differs_by_path() {
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
