//! The load generator.

use std::time::Duration;

use ibiscroft_lab::backend::{Backend, BackendControl, BackendOptions, ResponseFaults};
use ibiscroft_lab::load::{CallKind, Load, LoadOptions, LoadReport, Outcome, Plan};

fn options(address: &str, calls: u64) -> LoadOptions {
    let addresses = vec![address.parse().unwrap()];
    let mut options = LoadOptions::new(addresses, 1_000.0, Duration::from_secs(60));
    options.max_calls = calls;
    options.timeout = Duration::from_millis(300);
    options
}

#[test]
fn plan_is_reproducible_and_matches_rate_and_weights() {
    let mut options = options("127.0.0.1:1", 100_000);
    options.duration = Duration::from_secs(10);
    options.mix = vec![CallKind::get("a", "/a").weight(3.0), CallKind::get("b", "/b").weight(1.0)];
    let calls: Vec<_> = Plan::new(&options).collect();
    assert_eq!(calls, Plan::new(&options).collect::<Vec<_>>());
    assert!((9_500..10_500).contains(&calls.len()), "{} calls", calls.len());
    let first = calls.iter().filter(|call| call.kind == 0).count();
    assert!(
        (7_200..7_800).contains(&(first * 10_000 / calls.len())),
        "{first} calls of the first kind"
    );
}

#[tokio::test]
async fn options_out_of_range_are_rejected() {
    struct Case {
        name: &'static str,
        options: LoadOptions,
        error: &'static str,
    }
    let valid = || options("127.0.0.1:1", 10);
    let cases = [
        Case {
            name: "address",
            options: options("10.0.0.1:80", 10),
            error: "10.0.0.1:80 is not in 127.0.0.0/8",
        },
        Case { name: "IPv6", options: options("[::1]:80", 10), error: "[::1]:80 is not in" },
        Case { name: "rate", options: LoadOptions { rate: 1e6, ..valid() }, error: "rate is" },
        Case { name: "no rate", options: LoadOptions { rate: 0.0, ..valid() }, error: "rate is" },
        Case {
            name: "duration",
            options: LoadOptions { duration: Duration::from_secs(601), ..valid() },
            error: "duration is",
        },
        Case {
            name: "calls",
            options: LoadOptions { max_calls: 3_000_000, ..valid() },
            error: "number of calls",
        },
        Case { name: "mix", options: LoadOptions { mix: vec![], ..valid() }, error: "no kind" },
    ];
    for case in cases {
        let error = Load::start(case.options).unwrap_err().to_string();
        assert!(error.contains(case.error), "{}: {error}", case.name);
    }
}

#[tokio::test]
async fn each_response_fault_gives_its_outcome() {
    struct Case {
        name: &'static str,
        faults: ResponseFaults,
        outcome: Outcome,
    }
    let none = ResponseFaults::default;
    let cases = [
        Case { name: "none", faults: none(), outcome: Outcome::Answered },
        Case {
            name: "truncated",
            faults: ResponseFaults { truncate_after: Some(10), ..none() },
            outcome: Outcome::CutOff,
        },
        Case {
            name: "lost",
            faults: ResponseFaults { lose_answer: true, ..none() },
            outcome: Outcome::CutOff,
        },
        Case {
            name: "crossed",
            faults: ResponseFaults { crossed: true, ..none() },
            outcome: Outcome::WrongBytes,
        },
        Case {
            name: "stalled",
            faults: ResponseFaults { stall_after: Some(10), ..none() },
            outcome: Outcome::TimedOut,
        },
    ];
    let backend = Backend::start(BackendOptions::default()).await.unwrap();
    for case in cases {
        let faults = ResponseFaults { count: 1, ..case.faults };
        backend
            .control(&BackendControl { answer_faults: Some(faults), ..BackendControl::default() });
        let options = options(&backend.address().to_string(), 1);
        let records = Load::start(options).unwrap().finish().await.unwrap();
        assert_eq!(records.calls()[0].outcome, case.outcome, "{}", case.name);
    }
}

#[tokio::test]
async fn refused_calls_are_not_run_and_report_counts_every_call() {
    let backend_options = BackendOptions { slots: 1, queue: 0, ..BackendOptions::default() };
    let backend = Backend::start(backend_options).await.unwrap();
    let mut options = options(&backend.address().to_string(), 50);
    options.mix = vec![CallKind::get("slow", "/").work_ms(5.0).at_most_once_post()];
    let records = Load::start(options).unwrap().finish().await.unwrap();
    let counters = backend.counters();
    assert_eq!(records.count(Outcome::Answered), counters.ran);
    assert_eq!(records.count(Outcome::NotRun), counters.shed);
    assert_eq!(counters.keys_ran as u64, counters.ran);
    let report = LoadReport::new(&records).unwrap();
    assert_eq!(report.all.calls, 50);
    assert_eq!(report.all.outcomes.values().sum::<u64>(), 50);
}

#[tokio::test]
async fn call_to_address_without_listener_is_unreached() {
    let backend = Backend::start(BackendOptions::default()).await.unwrap();
    let address = backend.address().to_string();
    backend.stop().await;
    let records = Load::start(options(&address, 1)).unwrap().finish().await.unwrap();
    assert_eq!(records.count(Outcome::Unreached), 1);
}
