//! The handle through which traffic threads use the claims controller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{
    ClaimEvent, ClaimId, ClaimVerdict, Fingerprint, RetiredSlots, TimedKey,
};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::guard::ConfirmedClaim;

/// An at-most-once request whose key is to be claimed.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Idempotency key that the caller chose.
    pub key: TimedKey,
    /// Hash of the request.
    pub fingerprint: Fingerprint,
    /// Time at which the caller stops waiting.
    pub deadline: Tick,
}

/// What to do with an at-most-once request.
#[derive(Debug)]
pub enum Decision {
    /// Send the request once, under this claim.
    Send(ConfirmedClaim),
    /// Respond according to this verdict, which is never [`ClaimVerdict::Proceed`].
    Respond(ClaimVerdict),
}

/// A message to the claims controller.
#[derive(Debug)]
pub(super) enum Message {
    /// A request arrived.
    Request { id: ClaimId, request: ClaimRequest, decision: oneshot::Sender<Decision> },
    /// An event for the claim coordinator.
    Event(ClaimEvent),
    /// Number of gateways that share the store's write budget.
    Gateways(u32),
    /// Requests a description of the claims for the dump.
    Dump(oneshot::Sender<Value>),
    /// Requests a notification once no claim is open.
    Flush(oneshot::Sender<()>),
}

/// Sends messages to the claims controller; clones use the same controller.
#[derive(Clone, Debug)]
pub struct ClaimsHandle {
    messages: mpsc::UnboundedSender<Message>,
    next_id: Arc<AtomicU64>,
}

impl ClaimsHandle {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { messages, next_id: Arc::new(AtomicU64::new(0)) }
    }

    /// Claims the key of a request and waits for the decision.
    ///
    /// If the returned future is dropped before it completes, the claim is released. If the
    /// controller has stopped, the decision is [`ClaimVerdict::Unavailable`].
    pub async fn claim(&self, request: ClaimRequest) -> Decision {
        let id = ClaimId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (decision, receiver) = oneshot::channel();
        let cancel_on_drop = CancelOnDrop { messages: &self.messages, id };
        if self.messages.send(Message::Request { id, request, decision }).is_err() {
            return Decision::Respond(ClaimVerdict::Unavailable);
        }
        let decision = receiver.await;
        std::mem::forget(cancel_on_drop);
        decision.unwrap_or(Decision::Respond(ClaimVerdict::Unavailable))
    }

    /// Sets the number of gateways that share the store's write budget.
    pub fn set_gateways(&self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let _ = self.messages.send(Message::Gateways(count));
    }

    /// Makes the controller refuse the keys of time slots up to and including `slots.through`.
    pub fn retire(&self, slots: RetiredSlots) {
        let event = ClaimEvent::Retired { through: slots.through };
        let _ = self.messages.send(Message::Event(event));
    }

    /// Returns a description of the claims for the dump; null if the controller has stopped.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        let _ = self.messages.send(Message::Dump(tx));
        rx.await.unwrap_or(Value::Null)
    }

    /// Waits until no claim is open, that is, until the outcome of every request is recorded.
    pub async fn flush(&self) {
        let (tx, rx) = oneshot::channel();
        let _ = self.messages.send(Message::Flush(tx));
        let _ = rx.await;
    }
}

/// Cancels a request when dropped, because its caller disconnected before the decision.
struct CancelOnDrop<'a> {
    messages: &'a mpsc::UnboundedSender<Message>,
    id: ClaimId,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        let event = ClaimEvent::Cancelled { id: self.id };
        let _ = self.messages.send(Message::Event(event));
    }
}
