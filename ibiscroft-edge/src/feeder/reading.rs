//! Reads of the store by a [`Feeder`].

use std::time::Duration;

use ibiscroft_core::fleet::GatewayCount;

use super::Feeder;
use super::store_reader::{PendingRead, ReadResponse, ReadResult};
use crate::registry::Registry;

/// Staleness of the view up to which the number of gateways may be written to the store.
const MAX_STALENESS_FOR_WRITES: Duration = Duration::from_secs(1);

/// How far a read of the store is after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadProgress {
    /// The store responds, but has not been read yet.
    Checked,
    /// The read succeeded.
    Read,
    /// The call failed.
    Failed,
}

impl<R: Registry> Feeder<R> {
    /// Reads the store once, or only checks it if that fails; returns whether the read succeeded.
    pub(super) async fn read_store(&mut self) -> bool {
        loop {
            let response = self.begin_read().response().await;
            match self.on_store_response(response) {
                ReadProgress::Checked => {}
                ReadProgress::Read => return true,
                ReadProgress::Failed => return false,
            }
        }
    }

    /// Begins to read the store.
    pub(super) fn begin_read(&mut self) -> PendingRead {
        let knows_no_gateways = self.view.member_count() == 0;
        self.reader.set_has_followers(self.hub.gateway_count() > GatewayCount(1));
        let staleness = self.source_selector.staleness(self.shared.clock.now());
        self.reader.begin(self.view.position(), knows_no_gateways, staleness)
    }

    /// Applies the response to a call to the store.
    pub(super) fn on_store_response(&mut self, response: ReadResponse) -> ReadProgress {
        let progress = match self.reader.finish(response) {
            ReadResult::Updated { update, has_store_recovered } => {
                if has_store_recovered {
                    self.view.note_store_recovered(self.shared.clock.now());
                }
                self.source_selector.note_store_responded();
                self.apply_update(update, "store");
                ReadProgress::Read
            }
            ReadResult::Reachable => ReadProgress::Checked,
            ReadResult::Failed => {
                self.source_selector.note_store_lost();
                ReadProgress::Failed
            }
        };
        self.expire();
        progress
    }

    /// Writes the number of gateways to the store if it differs notably from the one stored.
    pub(super) async fn write_gateway_count(&mut self) {
        let now = self.shared.clock.now();
        let count = self.hub.gateway_count();
        let is_current = self.source_selector.staleness(now) < MAX_STALENESS_FOR_WRITES
            && self.view.member_count() > 0;
        if !is_current || !self.size_debounce.is_due(now, self.view.gateway_count(), count) {
            return;
        }
        self.reader.write_gateway_count(count).await;
    }

    /// Reads the store if the view is stale and the backoff after failed calls has ended; returns
    /// whether the store was read successfully.
    ///
    /// A gateway whose view has never been current tries the other sources first.
    pub(super) async fn read_if_stale(&mut self) -> bool {
        self.is_read_due() && self.read_store().await
    }

    /// Returns whether a view that has been current is stale and the backoff after failed calls
    /// has ended.
    pub(super) fn is_read_due(&self) -> bool {
        let due_at = self.source_selector.stale_at().max(self.reader.next_follower_call());
        self.has_been_current() && self.shared.clock.now() >= due_at
    }
}
