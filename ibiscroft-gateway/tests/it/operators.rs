//! The operators' command-line tool against gateway processes.

use gumdrop::Options;
use ibiscroft_core::ids::{Generation, ZoneName};
use ibiscroft_ops::{Args, ExitCode, OpsError, Report, StatusReport, ZoneReport, run};
use reqwest::Method;

use crate::support::{Fleet, FleetOptions, wait_for};

/// Gateways in the fleet.
const GATEWAYS: usize = 3;

/// Runs the command-line tool with the arguments `line` against the fleet's store.
async fn command(fleet: &Fleet, line: &[&str]) -> Result<Report, OpsError> {
    let store = fleet.store.address().to_string();
    let line: Vec<&str> = ["--store", &store].into_iter().chain(line.iter().copied()).collect();
    run(&Args::parse_args_default(&line).unwrap()).await
}

/// Takes a zone out of service (`out`) or back into service (`in`).
async fn zone(fleet: &Fleet, direction: &str, name: &str) -> ZoneReport {
    match command(fleet, &["zone", direction, name]).await.unwrap() {
        Report::Zone(report) => report,
        report => panic!("expected a zone report: {report}"),
    }
}

async fn status(fleet: &Fleet) -> StatusReport {
    match command(fleet, &["status"]).await.unwrap() {
        Report::Status(report) => report,
        report => panic!("expected a status report: {report}"),
    }
}

async fn wait_registered(fleet: &Fleet) {
    wait_for("all gateways registered", async || status(fleet).await.gateways.len() == GATEWAYS)
        .await;
}

async fn wait_in_force(fleet: &Fleet, zones: Generation) {
    wait_for("zone state in force at every gateway", async || {
        let status = status(fleet).await;
        status.zones.generation == zones && !status.is_lagging()
    })
    .await;
}

#[tokio::test]
async fn status_and_dump_show_gateways_and_paused_gateway_as_lagging() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    wait_registered(&fleet).await;
    let initial = status(&fleet).await;
    assert!(!initial.is_lagging(), "{initial}");
    assert_eq!(initial.targets.len(), 3);
    let Report::Dump(dump) = command(&fleet, &["dump", "gw-1"]).await.unwrap() else {
        panic!("expected a dump report");
    };
    assert_eq!(dump.0["instance"], "gw-1");
    let unknown = command(&fleet, &["dump", "gw-9"]).await.unwrap_err();
    assert!(unknown.to_string().contains("gw-0, gw-1, gw-2"), "{unknown}");
    fleet.gateways[2].signal(libc::SIGSTOP);
    let report = command(&fleet, &["status"]).await.unwrap();
    assert_eq!(report.exit_code(), ExitCode::Lagging, "{report}");
}

#[tokio::test]
async fn zone_stays_out_of_service_after_store_rollback() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    wait_registered(&fleet).await;
    fleet.store.take_snapshot();
    let first = zone(&fleet, "out", "a").await;
    assert_eq!(first.handed_to.len(), GATEWAYS);
    assert!(fleet.store.roll_back());
    let second = zone(&fleet, "out", "b").await;
    assert_eq!(second.out, ["a", "b"].map(ZoneName::new));
    assert!(second.generation > first.generation);
    wait_in_force(&fleet, second.generation).await;
    let before: Vec<u64> =
        fleet.backends.iter().map(|backend| backend.counters().received).collect();
    for gateway in 0..GATEWAYS {
        for _ in 0..20 {
            let res = fleet.request(Method::GET, gateway, "/x?bytes=10").send().await.unwrap();
            assert_eq!(res.status(), 200);
        }
    }
    for (index, before) in before.iter().enumerate().take(2) {
        assert_eq!(fleet.backends[index].counters().received, *before, "backend server {index}");
    }
}

#[tokio::test]
async fn concurrent_zone_commands_leave_every_gateway_with_the_same_state() {
    let fleet = Fleet::start(FleetOptions::new(GATEWAYS, 3)).await;
    wait_registered(&fleet).await;
    for round in 0..6 {
        let direction = if round % 2 == 0 { "out" } else { "in" };
        let lines = ["a", "b"].map(|name| ["zone", direction, name]);
        let (first, second) = tokio::join!(command(&fleet, &lines[0]), command(&fleet, &lines[1]));
        let accepted: Vec<ZoneReport> = [first, second]
            .into_iter()
            .filter_map(|result| match result {
                Ok(Report::Zone(report)) => Some(report),
                Ok(report) => panic!("expected a zone report: {report}"),
                Err(error) => {
                    assert_eq!(error.exit_code(), ExitCode::LostRace, "{error}");
                    None
                }
            })
            .collect();
        let newest = accepted.iter().max_by_key(|report| report.generation).unwrap();
        wait_in_force(&fleet, newest.generation).await;
        assert_eq!(status(&fleet).await.out, newest.out, "round {round}");
    }
}
