//! Histogram of the time added by gateways, parsed from their metrics.

use ibiscroft_lab::demo::added_time::AddedTime;

const METRICS: &str = "\
# HELP ibiscroft_added_seconds Time the gateway added
# TYPE ibiscroft_added_seconds histogram
ibiscroft_added_seconds_bucket{le=\"0.0001\"} 50
ibiscroft_added_seconds_bucket{le=\"0.00031\"} 98
ibiscroft_added_seconds_bucket{le=\"0.001\"} 99
ibiscroft_added_seconds_bucket{le=\"+Inf\"} 100
ibiscroft_added_seconds_sum 0.01
ibiscroft_added_seconds_count 100
";

#[test]
fn quantile_is_upper_bound_of_its_bucket() {
    struct Case {
        quantile: f64,
        bound_ms: Option<f64>,
    }
    let cases = [
        Case { quantile: 0.5, bound_ms: Some(0.1) },
        Case { quantile: 0.98, bound_ms: Some(0.31) },
        Case { quantile: 0.99, bound_ms: Some(1.0) },
        Case { quantile: 1.0, bound_ms: None },
    ];
    for gateways in 1..=3 {
        let mut added = AddedTime::default();
        for _ in 0..gateways {
            added.add(METRICS);
        }
        assert_eq!(added.calls(), gateways * 100);
        for case in &cases {
            assert_eq!(added.bound_ms(case.quantile), case.bound_ms, "{}", case.quantile);
        }
    }
    assert_eq!(AddedTime::default().bound_ms(0.5), None);
}
