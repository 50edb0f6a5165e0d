//! Open-loop load generator: calls are sent at planned times, independent of earlier responses.
//!
//! Latency is measured from the planned time, so that a stall shows in the latency of every call
//! that it delays.

mod caller;
mod key;
mod mix;
mod options;
mod outcome;
mod pacer;
mod plan;
mod records;
mod report;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Instant;

use eyre::Result;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use caller::Caller;

pub use key::timed_key;
pub use mix::{CallKind, WorkDistribution};
pub use options::LoadOptions;
pub use outcome::Outcome;
pub(crate) use pacer::pace;
pub use plan::{Plan, PlannedCall};
pub use records::{CallRecord, CallRecords};
pub use report::{KindReport, Latencies, LoadReport, OutcomeCounts};

/// The load generator.
#[derive(Clone, Copy, Debug)]
pub struct Load;

impl Load {
    /// Starts sending calls.
    ///
    /// # Errors
    ///
    /// Returns an error if an option is out of range or the HTTP client cannot be built.
    ///
    /// # Panics
    ///
    /// Panics when called outside of a Tokio runtime.
    pub fn start(options: LoadOptions) -> Result<RunningLoad> {
        options.check()?;
        let options = Arc::new(options);
        let caller = Arc::new(Caller::new(options.clone())?);
        let plan = Plan::new(&options);
        let started = Instant::now();
        let planned = pace(plan, started);
        let ended_calls = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(send_all(options, caller, planned, started, ended_calls.clone()));
        Ok(RunningLoad { task, ended_calls })
    }
}

/// A load run in progress.
#[derive(Debug)]
pub struct RunningLoad {
    task: JoinHandle<CallRecords>,
    ended_calls: Arc<AtomicU64>,
}

impl RunningLoad {
    /// Returns the number of calls that have ended; calls that were not sent do not count.
    #[must_use]
    pub fn ended_calls(&self) -> u64 {
        self.ended_calls.load(Ordering::Relaxed)
    }

    /// Waits until all calls have ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the sending task panicked.
    pub async fn finish(self) -> Result<CallRecords> {
        Ok(self.task.await?)
    }
}

/// Sends each planned call when it is due and collects the records.
async fn send_all(
    options: Arc<LoadOptions>,
    caller: Arc<Caller>,
    mut planned: mpsc::UnboundedReceiver<PlannedCall>,
    started: Instant,
    ended_calls: Arc<AtomicU64>,
) -> CallRecords {
    let (records_tx, mut records_rx) = mpsc::unbounded_channel();
    let in_flight = Arc::new(AtomicUsize::new(0));
    while let Some(call) = planned.recv().await {
        if in_flight.load(Ordering::Relaxed) >= options.max_in_flight {
            let _ = records_tx.send(CallRecord::not_sent(&call));
            continue;
        }
        in_flight.fetch_add(1, Ordering::Relaxed);
        let (caller, records_tx) = (caller.clone(), records_tx.clone());
        let (in_flight, ended_calls) = (in_flight.clone(), ended_calls.clone());
        tokio::spawn(async move {
            let record = caller.call(&call, started).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            ended_calls.fetch_add(1, Ordering::Relaxed);
            let _ = records_tx.send(record);
        });
    }
    drop(records_tx);
    let mut calls = Vec::new();
    while let Some(record) = records_rx.recv().await {
        calls.push(record);
    }
    calls.sort_by_key(|record| record.number);
    CallRecords::new(options, calls)
}
