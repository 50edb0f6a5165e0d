//! Guards that report the end of an order exactly once.

use ibiscroft_core::claims::{ClaimEvent, ClaimId, StoredResponse};
use tokio::sync::mpsc;

use super::handle::Message;

/// A confirmed claim of an order that was not sent yet; dropping it releases the claim.
#[derive(Debug)]
pub struct ConfirmedClaim {
    report: Report,
}

/// An order that may be running; dropping it records that its outcome is unknown.
#[derive(Debug)]
pub struct SentRequest {
    report: Report,
}

/// Reports one event when it is dropped.
#[derive(Debug)]
struct Report {
    messages: mpsc::UnboundedSender<Message>,
    id: ClaimId,
    event: Option<ClaimEvent>,
}

impl ConfirmedClaim {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>, id: ClaimId) -> Self {
        let event = Some(ClaimEvent::NotRun { id });
        Self { report: Report { messages, id, event } }
    }

    /// Returns the guard to hold while the order is sent; it must be taken before the first byte.
    #[must_use]
    pub fn begin(mut self) -> SentRequest {
        let event = self.report.event.take();
        let (messages, id) = (self.report.messages.clone(), self.report.id);
        let event = event.map(|_| ClaimEvent::ResponseLost { id });
        SentRequest { report: Report { messages, id, event } }
    }
}

impl SentRequest {
    /// Records that no byte of the order went out or that no backend server ran it.
    pub fn record_not_run(mut self) {
        let id = self.report.id;
        self.report.event = Some(ClaimEvent::NotRun { id });
    }

    /// Records the answer of the backend server.
    pub fn record_response(mut self, response: StoredResponse) {
        let id = self.report.id;
        self.report.event = Some(ClaimEvent::ResponseReceived { id, response });
    }

    /// Records that the outcome is unknown.
    pub fn record_unknown(self) {}
}

impl Drop for Report {
    fn drop(&mut self) {
        if let Some(event) = self.event.take() {
            let _ = self.messages.send(Message::Event(event));
        }
    }
}
