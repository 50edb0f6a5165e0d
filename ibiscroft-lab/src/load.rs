//! Open-loop load: calls are sent at the times of a plan, whatever the answers do.
//!
//! Latency counts from the planned time, so that a stall delays every call behind it visibly.

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
pub use plan::{Plan, Planned};
pub use records::{CallRecord, Records};
pub use report::{KindReport, Latencies, LoadReport, OutcomeCounts};

/// The load tool.
#[derive(Clone, Copy, Debug)]
pub struct Load;

impl Load {
    /// Starts sending calls; must be called within a runtime.
    ///
    /// # Errors
    ///
    /// Returns which option is out of its bounds.
    pub fn start(options: LoadOptions) -> Result<RunningLoad> {
        options.check()?;
        let options = Arc::new(options);
        let caller = Arc::new(Caller::new(options.clone())?);
        let plan = Plan::new(&options);
        let started = Instant::now();
        let planned = pace(plan, started);
        let done = Arc::new(AtomicU64::new(0));
        let task = tokio::spawn(send_all(options, caller, planned, started, done.clone()));
        Ok(RunningLoad { task, done })
    }
}

/// Calls that are being sent.
#[derive(Debug)]
pub struct RunningLoad {
    task: JoinHandle<Records>,
    done: Arc<AtomicU64>,
}

impl RunningLoad {
    /// Returns how many calls have ended.
    #[must_use]
    pub fn done(&self) -> u64 {
        self.done.load(Ordering::Relaxed)
    }

    /// Waits until all calls have ended.
    ///
    /// # Errors
    ///
    /// Returns why the sending task failed.
    pub async fn finish(self) -> Result<Records> {
        Ok(self.task.await?)
    }
}

/// Sends each planned call at its time and collects what became of it.
async fn send_all(
    options: Arc<LoadOptions>,
    caller: Arc<Caller>,
    mut planned: mpsc::UnboundedReceiver<Planned>,
    started: Instant,
    done: Arc<AtomicU64>,
) -> Records {
    let (records_tx, mut records_rx) = mpsc::unbounded_channel();
    let in_flight = Arc::new(AtomicUsize::new(0));
    while let Some(call) = planned.recv().await {
        if in_flight.load(Ordering::Relaxed) >= options.max_in_flight {
            let _ = records_tx.send(CallRecord::not_sent(&call));
            continue;
        }
        in_flight.fetch_add(1, Ordering::Relaxed);
        let (caller, records_tx) = (caller.clone(), records_tx.clone());
        let (in_flight, done) = (in_flight.clone(), done.clone());
        tokio::spawn(async move {
            let record = caller.call(&call, started).await;
            in_flight.fetch_sub(1, Ordering::Relaxed);
            done.fetch_add(1, Ordering::Relaxed);
            let _ = records_tx.send(record);
        });
    }
    drop(records_tx);
    let mut calls = Vec::new();
    while let Some(record) = records_rx.recv().await {
        calls.push(record);
    }
    calls.sort_by_key(|record| record.number);
    Records::new(options, calls)
}
