//! How traffic threads ask the claims controller.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use ibiscroft_core::Tick;
use ibiscroft_core::claims::{
    ClaimEvent, ClaimId, ClaimVerdict, Fingerprint, RetiredSlots, TimedKey,
};
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::guard::ConfirmedClaim;

/// An order that must run at most once.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Key that the caller chose.
    pub key: TimedKey,
    /// Hash of what the caller sent.
    pub fingerprint: Fingerprint,
    /// When the caller no longer waits.
    pub deadline: Tick,
}

/// What to do with an order.
#[derive(Debug)]
pub enum Decision {
    /// Send it, once, under this claim.
    Send(ConfirmedClaim),
    /// Answer it with this verdict, which is never [`ClaimVerdict::Proceed`].
    Respond(ClaimVerdict),
}

/// A message to the claims controller.
#[derive(Debug)]
pub(super) enum Message {
    /// An order arrived.
    Order { id: ClaimId, request: ClaimRequest, decision: oneshot::Sender<Decision> },
    /// Something happened to an order or to a page.
    Event(ClaimEvent),
    /// The number of gateways that share the store changed.
    Gateways(u32),
    /// Describe the state.
    Dump(oneshot::Sender<Value>),
    /// Tell when no order is left whose outcome is not recorded.
    Flush(oneshot::Sender<()>),
}

/// Asks the claims controller; clones share it.
#[derive(Clone, Debug)]
pub struct ClaimsHandle {
    messages: mpsc::UnboundedSender<Message>,
    next_order: Arc<AtomicU64>,
}

impl ClaimsHandle {
    pub(super) fn new(messages: mpsc::UnboundedSender<Message>) -> Self {
        Self { messages, next_order: Arc::new(AtomicU64::new(0)) }
    }

    /// Claims the key of an order and waits for the decision.
    ///
    /// When the returned future is dropped, the claim is released.
    pub async fn claim(&self, request: ClaimRequest) -> Decision {
        let id = ClaimId(self.next_order.fetch_add(1, Ordering::Relaxed));
        let (decision, decided) = oneshot::channel();
        let withdrawal = Withdrawal { messages: &self.messages, id };
        if self.messages.send(Message::Order { id, request, decision }).is_err() {
            return Decision::Respond(ClaimVerdict::Unavailable);
        }
        let decision = decided.await;
        std::mem::forget(withdrawal);
        decision.unwrap_or(Decision::Respond(ClaimVerdict::Unavailable))
    }

    /// Tells how many gateways share the store's budget.
    pub fn set_gateways(&self, count: usize) {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let _ = self.messages.send(Message::Gateways(count));
    }

    /// Tells that the keys of time slots up to `slots.through` are refused.
    pub fn retire(&self, slots: RetiredSlots) {
        let event = ClaimEvent::Retired { through: slots.through };
        let _ = self.messages.send(Message::Event(event));
    }

    /// Describes the state of the claims.
    pub async fn dump(&self) -> Value {
        let (tx, rx) = oneshot::channel();
        let _ = self.messages.send(Message::Dump(tx));
        rx.await.unwrap_or(Value::Null)
    }

    /// Waits until the outcome of every order is recorded.
    pub async fn flush(&self) {
        let (tx, rx) = oneshot::channel();
        let _ = self.messages.send(Message::Flush(tx));
        let _ = rx.await;
    }
}

/// Withdraws an order whose caller went away before the decision.
struct Withdrawal<'a> {
    messages: &'a mpsc::UnboundedSender<Message>,
    id: ClaimId,
}

impl Drop for Withdrawal<'_> {
    fn drop(&mut self) {
        let event = ClaimEvent::Cancelled { id: self.id };
        let _ = self.messages.send(Message::Event(event));
    }
}
