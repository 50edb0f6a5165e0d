//! Command line.

mod serve;

use std::net::SocketAddr;

use eyre::{Result, bail};
use gumdrop::Options;

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
}

/// Runs the subcommand named in the arguments of the process.
///
/// # Errors
///
/// Returns what the subcommand could not do.
pub async fn run() -> Result<()> {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Store(arguments)) => serve::store(arguments).await,
        Some(Command::Backend(arguments)) => serve::backend(arguments).await,
        None => bail!("no command given\n\n{}", Arguments::usage()),
    }
}

/// Refuses an address outside 127.0.0.0/8.
fn check_loopback(address: SocketAddr) -> Result<SocketAddr> {
    if address.is_ipv4() && address.ip().is_loopback() {
        return Ok(address);
    }
    bail!("address {address} is not in 127.0.0.0/8; the lab stays on loopback")
}
