//! Measures store calls for claims: many claimers in one process against the stand-in store.
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

/// Longest time of one store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long callers wait.
const DEADLINE: Duration = Duration::from_secs(10);
/// Seed of the arrivals.
const SEED: u64 = 4;

#[derive(Clone, Debug, Options)]
struct Args {
    #[options(help = "print this text")]
    help: bool,
    #[options(help = "gateways", default = "18")]
    gateways: u32,
    #[options(help = "orders a second, repeated for more runs")]
    rate: Vec<u32>,
    #[options(help = "seconds of each run", default = "20")]
    seconds: u64,
    #[options(help = "delay of the store in milliseconds", default = "2")]
    store_delay_ms: u64,
    #[options(help = "work of an order in milliseconds", default = "20")]
    work_ms: u64,
    #[options(help = "bytes of an answer's body", default = "200")]
    body: usize,
    #[options(help = "seconds of a time slot, when not the default")]
    slot_seconds: Option<u64>,
    #[options(help = "pages of a time slot, when not the default")]
    shards: Option<u32>,
}

/// What one run showed.
struct Row {
    orders: u64,
    refused: u64,
    calls: StoreCounters,
    bytes: u64,
    wait: Histogram<u64>,
    /// From the first order until every outcome was recorded.
    span: Duration,
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
        let row = run(&args, *rate).await?;
        print_row(*rate, &row);
    }
    Ok(())
}

async fn run(args: &Args, rate: u32) -> eyre::Result<Row> {
    let store = Store::start(StoreOptions::default()).await?;
    store.set_faults(StoreFaults { delay_ms: args.store_delay_ms, ..StoreFaults::default() });
    let clock = Clock::start();
    let mut handles = Vec::new();
    for _ in 0..args.gateways {
        handles.push(start_claimer(&store, args, clock)?);
    }
    let begun = Instant::now();
    let (tx, mut rx) = mpsc::unbounded_channel();
    send_orders(args, rate, &handles, clock, &tx).await;
    drop(tx);
    let mut wait = Histogram::new(3)?;
    let (mut orders, mut refused) = (0, 0);
    while let Some(confirmed) = rx.recv().await {
        orders += 1;
        match confirmed {
            Some(span) => wait.record(micros(span))?,
            None => refused += 1,
        }
    }
    let mut bytes = 0;
    for handle in &handles {
        handle.flush().await;
        bytes += handle.dump().await["page_bytes_written"].as_u64().unwrap_or(0);
    }
    Ok(Row { orders, refused, calls: store.counters(), bytes, wait, span: begun.elapsed() })
}

fn start_claimer(store: &RunningStore, args: &Args, clock: Clock) -> eyre::Result<ClaimsHandle> {
    let client = StoreClient::new(vec![store.address()], STORE_TIMEOUT)?;
    let mut limits = ClaimLimits::for_fleet(args.gateways);
    limits.slot = args.slot_seconds.map_or(limits.slot, Duration::from_secs);
    limits.shards = args.shards.unwrap_or(limits.shards);
    let metrics = ClaimMetrics::register(&Registry::new())?;
    let (controller, handle) = ClaimsController::new(limits, client, clock, metrics);
    tokio::spawn(controller.run());
    Ok(handle)
}

/// Sends orders with exponential gaps, each through a random gateway.
async fn send_orders(
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
            let _ = done.send(order(&args, &handle, clock, number).await);
        });
    }
}

/// Claims and ends one order; returns how long the claim took when it was confirmed.
async fn order(args: &Args, handle: &ClaimsHandle, clock: Clock, number: u64) -> Option<Duration> {
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

fn print_row(rate: u32, row: &Row) {
    let per_second = |count: u64| count as f64 / row.span.as_secs_f64();
    println!(
        "| {rate} | {} | {} | {:.1} | {:.2} | {:.1} | {:.1} | {:.0} | {:.1} | {:.1} | {:.1} |",
        row.orders,
        row.refused,
        per_second(row.calls.put),
        row.calls.put as f64 / row.orders.max(1) as f64,
        per_second(row.calls.conflicts),
        per_second(row.calls.get),
        per_second(row.bytes) / 1_000.0,
        millis(row.wait.value_at_quantile(0.5)),
        millis(row.wait.value_at_quantile(0.99)),
        millis(row.wait.max()),
    );
}

fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
