//! Tests of commands against the simulated store: lost responses, races and rejected changes.

use gumdrop::Options;
use ibiscroft_core::ids::{Generation, StoreVersion, ZoneName};
use ibiscroft_lab::store::{RunningStore, Store, StoreFaults, StoreOptions};
use ibiscroft_ops::{Args, ExitCode, OpsError, Report, run};
use ibiscroft_platform::StoreClient;
use ibiscroft_wire::keys;

const VERBAND: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/verband.json");
const VATUWAQA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../examples/vatuwaqa.json");

async fn start() -> RunningStore {
    Store::start(StoreOptions::default()).await.unwrap()
}

/// Runs a command against the store.
async fn command(store: &RunningStore, line: &[&str]) -> Result<Report, OpsError> {
    let address = store.address().to_string();
    let line: Vec<&str> = ["--store", &address].into_iter().chain(line.iter().copied()).collect();
    run(&Args::parse_args_default(&line).unwrap()).await
}

/// Runs a command that must write a change, and returns the generation of the change.
async fn run_accepted_change(store: &RunningStore, line: &[&str]) -> Generation {
    match command(store, line).await.unwrap() {
        Report::Answer(report) => {
            assert!(report.changed, "{line:?}");
            report.generation
        }
        Report::Zone(report) => {
            assert!(report.changed, "{line:?}");
            report.generation
        }
        report => panic!("{line:?}: {report}"),
    }
}

#[tokio::test]
async fn change_raises_generation_and_repeated_answer_changes_nothing() {
    let store = start().await;
    assert_eq!(run_accepted_change(&store, &["answer", VERBAND]).await, Generation(1));
    let Report::Answer(again) = command(&store, &["answer", VERBAND]).await.unwrap() else {
        panic!("no answer report");
    };
    assert_eq!((again.changed, again.generation), (false, Generation(1)));
    assert_eq!(run_accepted_change(&store, &["answer", VATUWAQA]).await, Generation(2));
    let Report::Check(check) = command(&store, &["check", VATUWAQA]).await.unwrap() else {
        panic!("no check report");
    };
    assert_eq!(check.differences, Some(Vec::new()));
    let Report::Check(check) = command(&store, &["check", VERBAND]).await.unwrap() else {
        panic!("no check report");
    };
    assert!(!check.differences.unwrap().is_empty());
    assert_eq!(check.in_force, Some(Generation(2)));
}

#[tokio::test]
async fn change_succeeds_if_response_to_write_is_lost() {
    let store = start().await;
    for (lose_answers, line) in [
        (1, ["answer", VERBAND].as_slice()),
        (1, &["zone", "out", "mittelland-a"]),
        (2, &["zone", "in", "mittelland-a"]),
    ] {
        store.set_faults(StoreFaults { lose_answers, ..StoreFaults::default() });
        run_accepted_change(&store, line).await;
    }
    let Report::Status(status) = command(&store, &["status"]).await.unwrap() else {
        panic!("no status report");
    };
    assert_eq!(status.configuration.generation, Generation(1));
    assert_eq!(status.zones.generation, Generation(2));
    assert_eq!(status.out, Vec::<ZoneName>::new());
    assert!(store.counters().lost_answers >= 3);
}

#[tokio::test]
async fn concurrent_changes_accept_one_and_report_it_to_the_other() {
    let store = start().await;
    run_accepted_change(&store, &["answer", VERBAND]).await;
    let mut lost = 0;
    for round in 0..20 {
        let direction = if round % 2 == 0 { "out" } else { "in" };
        let lines = ["mittelland-a", "mittelland-b"].map(|zone| ["zone", direction, zone]);
        let (first, second) = tokio::join!(command(&store, &lines[0]), command(&store, &lines[1]));
        for (result, other) in [(&first, &second), (&second, &first)] {
            let Err(error) = result else {
                continue;
            };
            lost += 1;
            assert_eq!(error.exit_code(), ExitCode::LostRace, "{error}");
            let Ok(Report::Zone(winner)) = other else {
                panic!("both lost: {error}");
            };
            assert!(error.to_string().contains(winner.change_id.as_str()), "{error}");
            assert!(error.to_string().contains(&winner.generation.to_string()), "{error}");
        }
    }
    assert!(lost > 0, "no change lost a race in 20 rounds");
}

/// A command that is rejected, with its exit code and a part of its error message.
struct Rejection {
    line: &'static [&'static str],
    exit_code: ExitCode,
    error: &'static str,
}

const REJECTIONS: [Rejection; 4] = [
    Rejection {
        line: &["zone", "out", "nowhere"],
        exit_code: ExitCode::UnknownZone,
        error: "\"nowhere\"; allowed are mittelland-a, mittelland-b, mittelland-c",
    },
    Rejection {
        line: &["zone", "in", "nowhere"],
        exit_code: ExitCode::UnknownZone,
        error: "allowed are mittelland-a",
    },
    Rejection {
        line: &["zone", "out", "mittelland-c"],
        exit_code: ExitCode::LastZone,
        error: "mittelland-c is the last one in",
    },
    Rejection {
        line: &["dump", "gw-9"],
        exit_code: ExitCode::InstanceUnavailable,
        error: "\"gw-9\"; known are (none)",
    },
];

#[tokio::test]
async fn invalid_changes_are_rejected() {
    let store = start().await;
    let error = command(&store, &["zone", "out", "mittelland-a"]).await.unwrap_err();
    assert_eq!(error.exit_code(), ExitCode::NoConfiguration);
    run_accepted_change(&store, &["answer", VERBAND]).await;
    run_accepted_change(&store, &["zone", "out", "mittelland-a"]).await;
    run_accepted_change(&store, &["zone", "out", "mittelland-b"]).await;
    for rejection in REJECTIONS {
        let error = command(&store, rejection.line).await.unwrap_err();
        assert_eq!(error.exit_code(), rejection.exit_code, "{error}");
        assert!(error.to_string().contains(rejection.error), "{error}");
    }
    run_accepted_change(&store, &["zone", "out", "mittelland-c", "--force"]).await;
}

#[tokio::test]
async fn new_configuration_keeps_zone_out_of_service() {
    let store = start().await;
    run_accepted_change(&store, &["answer", VERBAND]).await;
    run_accepted_change(&store, &["zone", "out", "mittelland-a"]).await;
    run_accepted_change(&store, &["answer", VATUWAQA]).await;
    run_accepted_change(&store, &["answer", VERBAND]).await;
    let Report::Status(status) = command(&store, &["status"]).await.unwrap() else {
        panic!("no status report");
    };
    assert_eq!(status.out, [ZoneName::new("mittelland-a")]);
}

#[tokio::test]
async fn unavailable_store_and_invalid_record_have_distinct_exit_codes() {
    let store = start().await;
    run_accepted_change(&store, &["answer", VERBAND]).await;
    store.set_faults(StoreFaults { down: true, ..StoreFaults::default() });
    let error = command(&store, &["zone", "out", "mittelland-a"]).await.unwrap_err();
    assert_eq!(error.exit_code(), ExitCode::StoreUnavailable, "{error}");
    store.set_faults(StoreFaults::default());
    let client =
        StoreClient::new(vec![store.address()], std::time::Duration::from_secs(3)).unwrap();
    client.write(keys::ZONES, "{".to_string(), StoreVersion(0), None).await.unwrap();
    let error = command(&store, &["zone", "out", "mittelland-a"]).await.unwrap_err();
    assert_eq!(error.exit_code(), ExitCode::StoreProtocol, "{error}");
    assert!(error.to_string().contains(keys::ZONES), "{error}");
}
