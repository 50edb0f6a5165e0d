//! Watches the keys that concern gateways.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_platform::StoreClient;
use ibiscroft_wire::keys;
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::shared::Shared;

/// Longest wait of one watch call; each answer also confirms that the view is fresh.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Passes on each answer of the watch, until the control thread ends.
///
/// After a failed call everything is read again, as the store may come back with older data.
pub(crate) async fn watch(
    store: StoreClient,
    shared: Arc<Shared>,
    events: mpsc::UnboundedSender<ControlEvent>,
) {
    let mut revision = 0;
    while !events.is_closed() {
        shared.metrics.store_calls.with_label_values(&["watch"]).inc();
        let sent_at = shared.clock.now();
        let is_full = revision == 0;
        match store.watch(keys::WATCHED_PREFIX, revision, WATCH_WAIT).await {
            Ok(response) => {
                let went_back = response.revision < revision;
                revision = if went_back { 0 } else { response.revision };
                let _ = events.send(ControlEvent::Watch { response, is_full, sent_at });
            }
            Err(error) => {
                revision = 0;
                let _ = events.send(ControlEvent::WatchFailed(error));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
