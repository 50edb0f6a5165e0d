//! Guards that report the outcome of an at-most-once request exactly once.

use ibiscroft_core::claims::{ClaimEvent, ClaimId, StoredResponse};
use tokio::sync::mpsc;

use super::handle::Message;

/// Guard of a request whose claim is confirmed and that was not sent yet.
///
/// Dropping it records that the request did not run, which releases the claim.
#[derive(Debug)]
pub struct ConfirmedClaim {
    on_drop: EventOnDrop,
}

/// Guard of a request that may be running at a backend server.
///
/// Dropping it records that the outcome is unknown.
#[derive(Debug)]
pub struct SentRequest {
    on_drop: EventOnDrop,
}

/// Sends `event`, if there is one, to the claims controller when dropped.
#[derive(Debug)]
struct EventOnDrop {
    messages: mpsc::UnboundedSender<Message>,
    id: ClaimId,
    event: Option<ClaimEvent>,
}

impl ConfirmedClaim {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>, id: ClaimId) -> Self {
        let event = Some(ClaimEvent::NotRun { id });
        Self { on_drop: EventOnDrop { messages, id, event } }
    }

    /// Returns the guard to hold while the request runs.
    ///
    /// Must be called before the first byte of the request is sent.
    #[must_use]
    pub fn begin(mut self) -> SentRequest {
        let event = self.on_drop.event.take();
        let (messages, id) = (self.on_drop.messages.clone(), self.on_drop.id);
        let event = event.map(|_| ClaimEvent::ResponseLost { id });
        SentRequest { on_drop: EventOnDrop { messages, id, event } }
    }
}

impl SentRequest {
    /// Records that the request did not run: no byte of it was sent, or no backend server ran it.
    pub fn record_not_run(mut self) {
        let id = self.on_drop.id;
        self.on_drop.event = Some(ClaimEvent::NotRun { id });
    }

    /// Records the response of the backend server.
    pub fn record_response(mut self, response: StoredResponse) {
        let id = self.on_drop.id;
        self.on_drop.event = Some(ClaimEvent::ResponseReceived { id, response });
    }

    /// Records that the request may have run and that its outcome is unknown.
    pub fn record_unknown(self) {}
}

impl Drop for EventOnDrop {
    fn drop(&mut self) {
        if let Some(event) = self.event.take() {
            let _ = self.messages.send(Message::Event(event));
        }
    }
}
