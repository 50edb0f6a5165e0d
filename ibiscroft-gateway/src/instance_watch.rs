//! Reads the platform's list of instances, which lags.

use std::time::Duration;

use ibiscroft_platform::StoreClient;
use tokio::sync::mpsc;

use crate::control::ControlEvent;

/// Shortest interval between reads; leaving instances must be spared within 3 s.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Bytes a second that reads of the list may take of the budget for control.
const MAX_BYTES_PER_SECOND: u32 = 5_000;
/// Bytes of one entry of the list.
const ENTRY_BYTES: u32 = 64;

/// Passes on each list that can be read, until the control thread ends.
pub(crate) async fn watch(list: StoreClient, events: mpsc::UnboundedSender<ControlEvent>) {
    let mut pause = MIN_INTERVAL;
    while !events.is_closed() {
        match list.instances().await {
            Ok(instances) => {
                pause = interval(instances.instances.len());
                let _ = events.send(ControlEvent::Instances(instances));
            }
            Err(error) => log::debug!("instance list: {error}"),
        }
        tokio::time::sleep(pause).await;
    }
}

/// Returns the interval at which a list of this length stays within its budget.
fn interval(entries: usize) -> Duration {
    let bytes = u32::try_from(entries).unwrap_or(u32::MAX).saturating_mul(ENTRY_BYTES);
    (Duration::from_secs(1) * bytes / MAX_BYTES_PER_SECOND).max(MIN_INTERVAL)
}
