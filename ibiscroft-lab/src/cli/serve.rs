//! Subcommands that run a stand-in until SIGINT or SIGTERM.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, bail};
use gumdrop::Options;

use super::{check_loopback, stop_requested};
use crate::backend::{Backend, BackendOptions, CrashMode, NoiseOptions};
use crate::process::StandInAddresses;
use crate::store::{Store, StoreOptions};

/// Arguments of `ibiscroft-lab store`.
#[derive(Debug, Options)]
pub(super) struct StoreArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, meta = "ADDRESS", help = "address for gateways and operators")]
    listen: Option<SocketAddr>,
    #[options(no_short, required, meta = "ADDRESS", help = "address for faults and counters")]
    admin: Option<SocketAddr>,
    #[options(no_short, meta = "MS", help = "delay of changes in the instance list")]
    instances_lag_ms: u64,
}

/// Arguments of `ibiscroft-lab backend`.
#[derive(Debug, Options)]
pub(super) struct BackendArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, required, meta = "ADDRESS", help = "address for requests")]
    listen: Option<SocketAddr>,
    #[options(no_short, required, meta = "ADDRESS", help = "address for control and counters")]
    admin: Option<SocketAddr>,
    #[options(no_short, default = "backend", help = "name in the counters")]
    name: String,
    #[options(no_short, default = "6", meta = "N", help = "requests that run concurrently")]
    slots: usize,
    #[options(no_short, default = "3", meta = "N", help = "requests that may wait for a slot")]
    queue: usize,
    #[options(no_short, default = "2", meta = "N", help = "concurrent requests taken while cold")]
    cold_bears: usize,
    #[options(no_short, meta = "MS", help = "time from first request until warm; 0 starts warm")]
    cold_ms: u64,
    #[options(no_short, meta = "US", help = "one-way network delay from callers")]
    zone_delay_us: u64,
    #[options(no_short, meta = "MS", help = "maximum age of the load in /load")]
    load_lag_ms: u64,
    #[options(no_short, meta = "MS", help = "work of a request that sets none")]
    work_ms: u64,
    #[options(no_short, meta = "MS", help = "mean time between random slowdowns; 0 for none")]
    noise_every_ms: u64,
    #[options(no_short, meta = "MS", help = "duration of a random slowdown")]
    noise_for_ms: u64,
    #[options(no_short, default = "5", meta = "X", help = "factor on work during a slowdown")]
    noise_factor: f64,
    #[options(no_short, default = "1", meta = "N", help = "seed of the random slowdowns")]
    seed: u64,
    #[options(no_short, meta = "FILE", help = "file to which executions are appended")]
    journal: Option<PathBuf>,
}

/// Runs the stand-in store until SIGINT or SIGTERM.
pub(super) async fn store(arguments: StoreArguments) -> Result<()> {
    let options = StoreOptions {
        listen: required(arguments.listen, "--listen")?,
        admin: required(arguments.admin, "--admin")?,
        instance_list_lag: Duration::from_millis(arguments.instances_lag_ms),
    };
    let store = Store::start(options).await?;
    print_addresses(StandInAddresses { listen: store.address(), admin: store.admin_address() })?;
    stop_requested().await?;
    store.stop().await;
    Ok(())
}

/// Runs a stand-in backend server until SIGINT or SIGTERM.
pub(super) async fn backend(arguments: BackendArguments) -> Result<()> {
    let noise = NoiseOptions {
        every: Duration::from_millis(arguments.noise_every_ms),
        duration: Duration::from_millis(arguments.noise_for_ms),
        factor: arguments.noise_factor,
    };
    let options = BackendOptions {
        listen: required(arguments.listen, "--listen")?,
        admin: required(arguments.admin, "--admin")?,
        name: arguments.name,
        slots: arguments.slots,
        queue: arguments.queue,
        cold_capacity: arguments.cold_bears,
        warm_up: Duration::from_millis(arguments.cold_ms),
        zone_delay: Duration::from_micros(arguments.zone_delay_us),
        load_lag: Duration::from_millis(arguments.load_lag_ms),
        default_work: Duration::from_millis(arguments.work_ms),
        noise,
        seed: arguments.seed,
        crash: CrashMode::Exit,
        journal: arguments.journal,
    };
    let backend = Backend::start(options).await?;
    print_addresses(StandInAddresses {
        listen: backend.address(),
        admin: backend.admin_address(),
    })?;
    stop_requested().await?;
    backend.stop().await;
    Ok(())
}

/// Returns an address that must be given and be on loopback.
fn required(address: Option<SocketAddr>, flag: &str) -> Result<SocketAddr> {
    match address {
        Some(address) => check_loopback(address),
        None => bail!("{flag} is missing"),
    }
}

fn print_addresses(addresses: StandInAddresses) -> Result<()> {
    println!("{}", serde_json::to_string(&addresses)?);
    Ok(())
}
