//! Store calls that read and write claim pages.

use ibiscroft_core::claims::{ClaimEvent, Page, PageId};
use ibiscroft_core::ids::StoreVersion;
use ibiscroft_platform::{StoreClient, StoreError};
use ibiscroft_wire::claim_records::{claim_page, claim_page_key, claim_page_record};
use ibiscroft_wire::codec;
use ibiscroft_wire::generated::store::Entry;

use crate::events::event;

/// Reads a page and returns the resulting event; a page that does not exist is empty.
pub(super) async fn read(store: StoreClient, page: PageId) -> ClaimEvent {
    match store.read(&claim_page_key(page)).await {
        Ok(None) => {
            ClaimEvent::PageRead { page, version: StoreVersion(0), content: Page::default() }
        }
        Ok(Some(entry)) => read_event(page, &entry),
        Err(error) => {
            log::debug!("read of claim page {page} failed: {error}");
            ClaimEvent::PageReadFailed { page }
        }
    }
}

/// Writes a page if it has the expected version, and returns the resulting event.
pub(super) async fn write(
    store: StoreClient,
    page: PageId,
    expected: StoreVersion,
    content: Page,
) -> ClaimEvent {
    let Ok(text) = codec::to_json(&claim_page_record(&content)) else {
        return ClaimEvent::PageConflict { page };
    };
    match store.write(&claim_page_key(page), text, expected, None).await {
        Ok(version) => ClaimEvent::PageWritten { page, version },
        Err(StoreError::Conflict(_)) => ClaimEvent::PageConflict { page },
        Err(error) => {
            log::debug!("write of claim page {page} failed or has an unknown result: {error}");
            ClaimEvent::PageWriteLost { page }
        }
    }
}

/// Returns the event for a page that was read.
///
/// A page that cannot be decoded counts as a failed read, so that it is never overwritten.
fn read_event(page: PageId, entry: &Entry) -> ClaimEvent {
    let text = entry.value.as_deref().unwrap_or_default();
    let content = codec::from_json(text)
        .map_err(|error| error.to_string())
        .and_then(|record| claim_page(record).map_err(|fault| fault.to_string()));
    match content {
        Ok(content) => ClaimEvent::PageRead { page, version: StoreVersion(entry.version), content },
        Err(error) => {
            event!(ClaimPageUnusable, "page {page}: {error}");
            ClaimEvent::PageReadFailed { page }
        }
    }
}
