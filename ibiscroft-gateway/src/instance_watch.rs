//! Reads the platform's list of instances, which lags.

use std::time::Duration;

use ibiscroft_platform::StoreClient;
use tokio::sync::mpsc;

use crate::control::ControlEvent;

/// Interval between reads; the list lags by more than that.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// Passes on each list that can be read, until the control thread ends.
pub(crate) async fn watch(list: StoreClient, events: mpsc::UnboundedSender<ControlEvent>) {
    while !events.is_closed() {
        match list.instances().await {
            Ok(instances) => {
                let _ = events.send(ControlEvent::Instances(instances));
            }
            Err(error) => log::debug!("instance list: {error}"),
        }
        tokio::time::sleep(READ_INTERVAL).await;
    }
}
