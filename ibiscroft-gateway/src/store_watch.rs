//! Watches the gateways' keys in the key-value service.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_platform::StoreClient;
use ibiscroft_wire::keys;
use tokio::sync::mpsc;

use crate::control::ControlEvent;
use crate::shared::Shared;

/// How long the store holds a watch call open when nothing changes.
///
/// Each response, even without changes, also confirms that the view is fresh.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Forwards each response of the watch to the control thread, until that thread ends.
///
/// After a failed call, or if the store's revision went back, all keys are read again: the store
/// may have come back with older data.
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
                let has_gone_back = response.revision < revision;
                revision = if has_gone_back { 0 } else { response.revision };
                let _ = events.send(ControlEvent::Watch { response, is_full, sent_at });
            }
            Err(error) => {
                revision = 0;
                let _ = events.send(ControlEvent::WatchFailed(error));
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}
