//! Demo of the whole system as processes.
//!
//! Under load, a backend server is killed, another one drains, and an availability zone is taken
//! out of service and brought back.

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

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(20);
/// Interval between lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a call.
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);

/// Options of the demo.
#[derive(Clone, Copy, Debug)]
pub struct DemoOptions {
    /// Mean rate, in calls per second.
    pub rate: f64,
    /// Seed of the load.
    pub seed: u64,
    /// Whether the system keeps running afterwards, until Ctrl-C.
    pub keep: bool,
}

/// Runs the demo and prints its verdict; the exit code is success only if all checks passed.
///
/// # Errors
///
/// Returns an error if a process cannot be started, reached or stopped, or if a command of
/// `ibiscroft-ops` fails.
pub async fn run(options: DemoOptions) -> Result<ExitCode> {
    let (fleet, verdict) = tokio::select! {
        finished = run_steps(options) => finished?,
        stopped = crate::cli::stop_requested() => {
            stopped?;
            eprintln!("stopped by a signal; ending all processes");
            return Ok(ExitCode::FAILURE);
        }
    };
    println!("\n{verdict}");
    if options.keep {
        print_commands(&fleet);
        crate::cli::stop_requested().await?;
    }
    fleet.stop().await?;
    Ok(if verdict.is_success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Starts the system and the load, runs the steps and evaluates the result.
async fn run_steps(options: DemoOptions) -> Result<(Fleet, Verdict)> {
    println!("starting the store, six backend servers in three zones and two gateways");
    let mut fleet = Fleet::start().await?;
    println!("sending {} calls per second for {} s", options.rate, LOAD_DURATION.as_secs());
    let load = Load::start(load_options(&fleet, options))?;
    let (steps, ()) = tokio::try_join!(Steps::run(&mut fleet), print_progress(&load))?;
    let records = load.finish().await?;
    let verdict = Verdict::evaluate(&fleet, &records, &steps).await?;
    Ok((fleet, verdict))
}

fn load_options(fleet: &Fleet, options: DemoOptions) -> LoadOptions {
    let mut load = LoadOptions::new(fleet.caller_addresses(), options.rate, LOAD_DURATION);
    load.seed = options.seed;
    load.timeout = CALLER_TIMEOUT;
    load.mix = vec![
        CallKind::get("register", "/register/leather").weight(70.0).bytes(2_000).work_ms(5.0),
        CallKind::get("pattern", "/patterns/strap").weight(5.0).bytes(200_000).work_ms(5.0),
        CallKind::get("stamp order", "/stamp-orders")
            .weight(25.0)
            .work_ms(10.0)
            .at_most_once_post(),
    ];
    load
}

async fn print_progress(load: &RunningLoad) -> Result<()> {
    let seconds = LOAD_DURATION.as_secs();
    for second in 1..=seconds {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        println!("{second:>3} s of {seconds} s, {} calls ended", load.ended_calls());
    }
    Ok(())
}

/// Prints commands for trying out the running system.
fn print_commands(fleet: &Fleet) {
    let addresses = fleet.caller_addresses();
    println!("\nThe system keeps running; Ctrl-C ends it. Try:");
    println!("  curl -i 'http://{}/register/leather?bytes=100'", addresses[0]);
    println!(
        "  curl -i -X POST -H \"Idempotency-Key: $(date +%s%3N)-a\" http://{}/stamp-orders",
        addresses[1]
    );
    for (name, operators) in fleet.operator_addresses() {
        println!("  curl http://{operators}/dump    # state of {name}");
    }
    println!("  {} --store {} status", fleet.operator_program().display(), fleet.store_address());
}
