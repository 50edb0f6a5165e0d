//! Demo: the whole system as processes while a server is killed, one drains and a zone leaves.

pub mod added_time;
mod fleet;
mod steps;
mod verdict;

use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;

use crate::load::{CallKind, Load, LoadOptions, RunningLoad};
use fleet::Fleet;
use steps::Steps;
use verdict::Verdict;

/// Length of the load.
const LOAD_DURATION: Duration = Duration::from_secs(20);
/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// How long a caller waits.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of the demo.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Calls a second.
    pub rate: f64,
    /// Seed of the calls.
    pub seed: u64,
    /// Leaves the system running afterwards, until Ctrl-C.
    pub keep: bool,
}

/// Runs the demo; succeeds only when nothing was doubled, cut off or sent wrongly.
///
/// # Errors
///
/// Returns what could not be started or reached.
pub async fn run(options: DemoOptions) -> Result<ExitCode> {
    let (fleet, verdict) = tokio::select! {
        reached = reach_verdict(options) => reached?,
        stopped = crate::cli::stop_requested() => {
            stopped?;
            eprintln!("stopped; all processes are ended");
            return Ok(ExitCode::FAILURE);
        }
    };
    println!("\n{verdict}");
    if options.keep {
        show_entries(&fleet);
        crate::cli::stop_requested().await?;
    }
    fleet.stop().await?;
    Ok(if verdict.is_success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn reach_verdict(options: DemoOptions) -> Result<(Fleet, Verdict)> {
    println!("starting the store, six backend servers in three zones and two gateways");
    let mut fleet = Fleet::start().await?;
    println!("sending {} calls a second for {} s", options.rate, LOAD_DURATION.as_secs());
    let load = Load::start(load_options(&fleet, options))?;
    let (steps, ()) = tokio::try_join!(Steps::run(&mut fleet), show_progress(&load))?;
    let records = load.finish().await?;
    let verdict = Verdict::reach(&fleet, &records, &steps).await?;
    Ok((fleet, verdict))
}

fn load_options(fleet: &Fleet, options: DemoOptions) -> LoadOptions {
    let mut load = LoadOptions::new(fleet.entries(), options.rate, LOAD_DURATION);
    load.seed = options.seed;
    load.timeout = CALLER_TIMEOUT;
    load.mix = vec![
        CallKind::get("register", "/register/leather").weight(70.0).bytes(2_000).work_ms(5.0),
        CallKind::get("pattern", "/patterns/strap").weight(5.0).bytes(200_000).work_ms(5.0),
        CallKind::get("stamp order", "/stamp-orders").weight(25.0).work_ms(10.0).order(),
    ];
    load
}

async fn show_progress(load: &RunningLoad) -> Result<()> {
    let seconds = LOAD_DURATION.as_secs();
    for second in 1..=seconds {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        println!("{second:>3} s of {seconds} s, {} calls ended", load.done());
    }
    Ok(())
}

/// Shows how to reach the system.
fn show_entries(fleet: &Fleet) {
    let entries = fleet.entries();
    println!("\nThe system keeps running; Ctrl-C ends it. Try:");
    println!("  curl -i 'http://{}/register/leather?bytes=100'", entries[0]);
    println!(
        "  curl -i -X POST -H \"Idempotency-Key: $(date +%s%3N)-a\" http://{}/stamp-orders",
        entries[1]
    );
    for (name, operators) in fleet.operators() {
        println!("  curl http://{operators}/dump    # state of {name}");
    }
    println!("  {} --store {} status", fleet.operator_program().display(), fleet.store_address());
}
