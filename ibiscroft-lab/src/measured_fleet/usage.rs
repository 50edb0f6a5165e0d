//! Resource usage of a gateway process.

use std::collections::HashMap;

use eyre::{Result, WrapErr, eyre};

/// Clock ticks per second of the times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in kilobytes.
const PAGE_KB: f64 = 4.0;

/// Resource usage of a process: its current resident memory, and totals since its start.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    /// CPU time of the control thread, in seconds.
    pub(crate) control_seconds: f64,
    /// CPU time of all threads, in seconds.
    pub(crate) process_seconds: f64,
    /// Resident memory, in kilobytes.
    pub(crate) resident_kb: f64,
    /// Payload sent to other gateways, in bytes.
    pub(crate) peer_sent_bytes: f64,
    /// Payload received from other gateways, in bytes.
    pub(crate) peer_received_bytes: f64,
}

impl Usage {
    /// Reads the usage of process `pid` from `/proc` and from the text of its metrics.
    pub(crate) fn read(pid: u32, metrics: &str) -> Result<Self> {
        let metrics = parse_metrics(metrics);
        let metric = |name: &str| metrics.get(name).copied().unwrap_or(0.0);
        Ok(Self {
            control_seconds: cpu_seconds(&format!("/proc/{pid}/task/{pid}/stat"))?,
            process_seconds: cpu_seconds(&format!("/proc/{pid}/stat"))?,
            resident_kb: resident_kb(pid)?,
            peer_sent_bytes: metric("ibiscroft_peer_sent_bytes_total"),
            peer_received_bytes: metric("ibiscroft_peer_received_bytes_total"),
        })
    }
}

/// Returns the CPU time, in seconds, from a `stat` file in `/proc`.
///
/// The main thread of a gateway, whose thread id is the process id, is its control thread.
fn cpu_seconds(path: &str) -> Result<f64> {
    let stat = std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {path}"))?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| -> Result<f64> {
        fields
            .get(index)
            .and_then(|text| text.parse().ok())
            .ok_or_else(|| eyre!("field {index} of {path} is missing or not a number"))
    };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process, in kilobytes.
fn resident_kb(pid: u32) -> Result<f64> {
    let path = format!("/proc/{pid}/statm");
    let statm = std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {path}"))?;
    let pages: f64 = statm
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| eyre!("resident size in {path} is missing or not a number"))?;
    Ok(pages * PAGE_KB)
}

/// Parses lines of the form `NAME VALUE`; other lines are skipped.
fn parse_metrics(text: &str) -> HashMap<&str, f64> {
    let mut metrics = HashMap::new();
    for line in text.lines() {
        let Some((name, value)) = line.rsplit_once(' ') else {
            continue;
        };
        if let Ok(value) = value.parse() {
            metrics.insert(name, value);
        }
    }
    metrics
}
