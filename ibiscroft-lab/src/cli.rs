//! Command line of `ibiscroft-lab`.

mod added_latency;
mod control_cost;
mod demo;
mod experiment;
mod load;
mod serve;

use std::net::SocketAddr;
use std::process::ExitCode;

use eyre::{Result, bail};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

/// Arguments of `ibiscroft-lab`.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

/// Subcommands.
#[derive(Debug, Options)]
enum Command {
    #[options(help = "run the stand-in key-value service and instance list")]
    Store(serve::StoreArguments),
    #[options(help = "run a stand-in backend server")]
    Backend(serve::BackendArguments),
    #[options(help = "measure the cost of control for each gateway")]
    ControlCost(control_cost::ControlCostArguments),
    #[options(help = "compare the latency of calls through a gateway and direct calls")]
    AddedLatency(added_latency::AddedLatencyArguments),
    #[options(help = "send calls at a fixed mean rate")]
    Load(load::LoadArguments),
    #[options(help = "run the whole system while servers and a zone go out of service")]
    Demo(demo::DemoArguments),
    #[options(help = "compare strategies for selecting a target")]
    Experiment(experiment::ExperimentArguments),
}

/// Runs the subcommand that the arguments of the process name.
///
/// # Errors
///
/// Returns the error of the subcommand, or an error if none is named.
pub async fn run() -> Result<ExitCode> {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Store(arguments)) => serve::store(arguments).await?,
        Some(Command::Backend(arguments)) => serve::backend(arguments).await?,
        Some(Command::Load(arguments)) => load::load(arguments).await?,
        Some(Command::Demo(arguments)) => return demo::demo(arguments).await,
        Some(Command::ControlCost(arguments)) => control_cost::run(arguments).await?,
        Some(Command::AddedLatency(arguments)) => added_latency::run(arguments).await?,
        Some(Command::Experiment(arguments)) => experiment::run(arguments).await?,
        None => bail!("no command given\n\n{}", Arguments::usage()),
    }
    Ok(ExitCode::SUCCESS)
}

/// Waits for SIGINT or SIGTERM.
pub(crate) async fn stop_requested() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        stopped = tokio::signal::ctrl_c() => stopped?,
    }
    Ok(())
}

/// Returns `address` if it is in 127.0.0.0/8, otherwise an error.
fn check_loopback(address: SocketAddr) -> Result<SocketAddr> {
    if address.is_ipv4() && address.ip().is_loopback() {
        return Ok(address);
    }
    bail!("address {address} is not in 127.0.0.0/8; the lab uses loopback addresses only")
}
