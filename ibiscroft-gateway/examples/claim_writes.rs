//! Measures the store calls for claims: one claims controller per gateway, all in one process,
//! against the lab's store.
//!
//! `cargo run --release -p ibiscroft-gateway --example claim_writes`

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gumdrop::Options;
use hdrhistogram::Histogram;
use ibiscroft_core::claims::{ClaimLimits, Fingerprint, StoredResponse};
use ibiscroft_gateway::Clock;
use ibiscroft_gateway::claims::{
    ClaimMetrics, ClaimRequest, ClaimsController, ClaimsHandle, Decision,
};
use ibiscroft_lab::store::{RunningStore, Store, StoreCounters, StoreFaults, StoreOptions};
use ibiscroft_platform::StoreClient;
use prometheus::Registry;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::mpsc;

/// Timeout of one store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Deadline of a request, counted from its arrival.
const DEADLINE: Duration = Duration::from_secs(10);
/// Seed of the random arrival times and gateways.
const SEED: u64 = 4;

#[derive(Clone, Debug, Options)]
struct Args {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "gateways", default = "18")]
    gateways: u32,
    #[options(help = "requests per second; may be repeated, for one run each")]
    rate: Vec<u32>,
    #[options(help = "duration of each run in seconds", default = "20")]
    seconds: u64,
    #[options(help = "delay of each store response in milliseconds", default = "2")]
    store_delay_ms: u64,
    #[options(
        help = "time that a backend server works on a request, in milliseconds",
        default = "20"
    )]
    work_ms: u64,
    #[options(help = "size of a response body in bytes", default = "200")]
    body: usize,
    #[options(help = "length of a time slot of claims in seconds, if not the default")]
    slot_seconds: Option<u64>,
    #[options(help = "number of pages per time slot, if not the default")]
    shards: Option<u32>,
}

/// Results of one run.
struct RunResult {
    requests: u64,
    /// Requests whose claim was not confirmed.
    refused: u64,
    store_calls: StoreCounters,
    /// Bytes of claim pages written to the store.
    bytes_written: u64,
    /// Time from the request for a claim until its confirmation, in microseconds.
    claim_wait: Histogram<u64>,
    /// Time from the start of the run until every outcome was recorded.
    duration: Duration,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let mut args = Args::parse_args_default_or_exit();
    if args.rate.is_empty() {
        args.rate = vec![1, 10, 100, 500];
    }
    println!(
        "| orders/s | orders | refused | store writes/s | writes/order | conflicts/s | \
         store reads/s | KB/s written | wait p50 ms | p99 ms | max ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for rate in &args.rate {
        let result = run(&args, *rate).await?;
        print_row(*rate, &result);
    }
    Ok(())
}

/// Runs requests at `rate` per second and collects the results.
async fn run(args: &Args, rate: u32) -> eyre::Result<RunResult> {
    let store = Store::start(StoreOptions::default()).await?;
    store.set_faults(StoreFaults { delay_ms: args.store_delay_ms, ..StoreFaults::default() });
    let clock = Clock::start();
    let mut handles = Vec::new();
    for _ in 0..args.gateways {
        handles.push(start_controller(&store, args, clock)?);
    }
    let begun = Instant::now();
    let (tx, mut rx) = mpsc::unbounded_channel();
    send_requests(args, rate, &handles, clock, &tx).await;
    drop(tx);
    let mut claim_wait = Histogram::new(3)?;
    let (mut requests, mut refused) = (0, 0);
    while let Some(waited) = rx.recv().await {
        requests += 1;
        match waited {
            Some(waited) => claim_wait.record(micros(waited))?,
            None => refused += 1,
        }
    }
    let mut bytes_written = 0;
    for handle in &handles {
        handle.flush().await;
        bytes_written += handle.dump().await["page_bytes_written"].as_u64().unwrap_or(0);
    }
    Ok(RunResult {
        requests,
        refused,
        store_calls: store.counters(),
        bytes_written,
        claim_wait,
        duration: begun.elapsed(),
    })
}

/// Starts the claims controller of one gateway.
fn start_controller(store: &RunningStore, args: &Args, clock: Clock) -> eyre::Result<ClaimsHandle> {
    let client = StoreClient::new(vec![store.address()], STORE_TIMEOUT)?;
    let mut limits = ClaimLimits::for_fleet(args.gateways);
    limits.slot = args.slot_seconds.map_or(limits.slot, Duration::from_secs);
    limits.shards = args.shards.unwrap_or(limits.shards);
    let metrics = ClaimMetrics::register(&Registry::new())?;
    let (controller, handle) = ClaimsController::new(limits, client, clock, metrics);
    tokio::spawn(controller.run());
    Ok(handle)
}

/// Starts requests with exponentially distributed gaps, each through a random gateway.
async fn send_requests(
    args: &Args,
    rate: u32,
    handles: &[ClaimsHandle],
    clock: Clock,
    done: &mpsc::UnboundedSender<Option<Duration>>,
) {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let args = Arc::new(args.clone());
    let end = Instant::now() + Duration::from_secs(args.seconds);
    let mut next = Instant::now();
    for number in 0_u64.. {
        next += Duration::from_secs_f64(-rng.random::<f64>().max(1e-9).ln() / f64::from(rate));
        if next >= end {
            return;
        }
        tokio::time::sleep_until(next.into()).await;
        let handle = handles[rng.random_range(0..handles.len())].clone();
        let (args, done) = (Arc::clone(&args), done.clone());
        tokio::spawn(async move {
            let _ = done.send(claim_and_run(&args, &handle, clock, number).await);
        });
    }
}

/// Claims one request, simulates its run and records its response.
///
/// Returns the time until the claim was confirmed, or `None` if it was refused.
async fn claim_and_run(
    args: &Args,
    handle: &ClaimsHandle,
    clock: Clock,
    number: u64,
) -> Option<Duration> {
    let begun = clock.now();
    let request = ClaimRequest {
        key: format!("{}-{number:022}", unix_millis()).parse().ok()?,
        fingerprint: Fingerprint(number),
        deadline: begun + DEADLINE,
    };
    let Decision::Send(claim) = handle.claim(request).await else {
        return None;
    };
    let waited = clock.now().since(begun);
    let sent = claim.begin();
    tokio::time::sleep(Duration::from_millis(args.work_ms)).await;
    sent.record_response(StoredResponse {
        status: 201,
        content_type: "application/json".to_string(),
        body: Some(vec![b'x'; args.body]),
    });
    Some(waited)
}

/// Prints the results of one run as a row of the table.
fn print_row(rate: u32, result: &RunResult) {
    let per_second = |count: u64| count as f64 / result.duration.as_secs_f64();
    println!(
        "| {rate} | {} | {} | {:.1} | {:.2} | {:.1} | {:.1} | {:.0} | {:.1} | {:.1} | {:.1} |",
        result.requests,
        result.refused,
        per_second(result.store_calls.put),
        result.store_calls.put as f64 / result.requests.max(1) as f64,
        per_second(result.store_calls.conflicts),
        per_second(result.store_calls.get),
        per_second(result.bytes_written) / 1_000.0,
        millis(result.claim_wait.value_at_quantile(0.5)),
        millis(result.claim_wait.value_at_quantile(0.99)),
        millis(result.claim_wait.max()),
    );
}

#[expect(clippy::disallowed_methods, reason = "idempotency keys carry the time of day")]
fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
