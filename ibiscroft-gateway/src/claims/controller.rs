//! Runs the claim coordinator of this gateway and performs its calls to the store.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ibiscroft_core::claims::{
    ClaimAction, ClaimCoordinator, ClaimEvent, ClaimId, ClaimLimits, ClaimVerdict, ClockReading,
    UnixMillis,
};
use ibiscroft_platform::StoreClient;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};

use super::guard::ConfirmedClaim;
use super::handle::{ClaimsHandle, Decision, Message};
use super::metrics::ClaimMetrics;
use super::page_store;
use crate::clock::Clock;

/// Interval of coordinator ticks while an operation or a store call is pending.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Interval of coordinator ticks while the coordinator is idle.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Owns the claims of this gateway and performs the coordinator's actions.
#[derive(Debug)]
pub struct ClaimsController {
    coordinator: ClaimCoordinator,
    store: StoreClient,
    clock: Clock,
    metrics: ClaimMetrics,
    decisions: HashMap<ClaimId, oneshot::Sender<Decision>>,
    flushes: Vec<oneshot::Sender<()>>,
    messages: mpsc::UnboundedSender<Message>,
    receiver: mpsc::UnboundedReceiver<Message>,
}

impl ClaimsController {
    /// Creates a controller and a handle to it.
    #[must_use]
    pub fn new(
        limits: ClaimLimits,
        store: StoreClient,
        clock: Clock,
        metrics: ClaimMetrics,
    ) -> (Self, ClaimsHandle) {
        let (messages, receiver) = mpsc::unbounded_channel();
        let handle = ClaimsHandle::new(messages.clone());
        let controller = Self {
            coordinator: ClaimCoordinator::new(limits, rand::random()),
            store,
            clock,
            metrics,
            decisions: HashMap::new(),
            flushes: Vec::new(),
            messages,
            receiver,
        };
        (controller, handle)
    }

    /// Handles messages and ticks until the runtime shuts down.
    pub async fn run(mut self) {
        loop {
            let tick = if self.coordinator.is_idle() { IDLE_TICK } else { BUSY_TICK };
            tokio::select! {
                Some(message) = self.receiver.recv() => self.on_message(message),
                () = tokio::time::sleep(tick) => self.handle_event(ClaimEvent::Tick),
            }
            self.metrics.update(self.coordinator.counters(), self.coordinator.open_claims());
            self.complete_flushes();
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Request { id, request, decision } => {
                self.decisions.insert(id, decision);
                self.handle_event(ClaimEvent::Arrived {
                    id,
                    key: request.key,
                    fingerprint: request.fingerprint,
                    deadline: request.deadline,
                });
            }
            Message::Event(event) => self.handle_event(event),
            Message::Gateways(count) => {
                let rate = ClaimLimits::for_fleet(count).writes_per_second;
                self.coordinator.set_writes_per_second(rate);
            }
            Message::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            Message::Flush(done) => self.flushes.push(done),
        }
    }

    fn handle_event(&mut self, event: ClaimEvent) {
        let at = ClockReading { now: self.clock.now(), wall: wall_time() };
        for action in self.coordinator.handle(event, at) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: ClaimAction) {
        let (store, messages) = (self.store.clone(), self.messages.clone());
        match action {
            ClaimAction::ReadPage { page } => {
                tokio::spawn(async move {
                    let event = page_store::read(store, page).await;
                    let _ = messages.send(Message::Event(event));
                });
            }
            ClaimAction::WritePage { page, expected, content } => {
                tokio::spawn(async move {
                    let event = page_store::write(store, page, expected, content).await;
                    let _ = messages.send(Message::Event(event));
                });
            }
            ClaimAction::Decide { id, verdict } => self.decide(id, verdict),
        }
    }

    /// Sends a decision to the request that waits for it.
    ///
    /// If the request is gone, the confirmed claim is dropped here, which releases it.
    fn decide(&mut self, id: ClaimId, verdict: ClaimVerdict) {
        self.metrics.count_verdict(&verdict);
        let decision = match verdict {
            ClaimVerdict::Proceed => Decision::Send(ConfirmedClaim::new(self.messages.clone(), id)),
            verdict => Decision::Respond(verdict),
        };
        if let Some(reply) = self.decisions.remove(&id) {
            let _ = reply.send(decision);
        }
    }

    /// Completes the pending flushes once no claim is open.
    fn complete_flushes(&mut self) {
        if self.coordinator.open_claims() > 0 {
            return;
        }
        for done in self.flushes.drain(..) {
            let _ = done.send(());
        }
    }

    fn dump(&self) -> Value {
        let counters = self.coordinator.counters();
        json!({
            "orders_open": self.coordinator.open_claims(),
            "pages_in_memory": self.coordinator.pages(),
            "writes_per_second": self.coordinator.limits().writes_per_second,
            "page_reads": counters.reads,
            "page_writes": counters.writes,
            "page_conflicts": counters.conflicts,
            "page_writes_lost": counters.lost,
            "page_bytes_written": counters.bytes_written,
            "orders_confirmed": counters.confirmed,
            "orders_unavailable": counters.unavailable,
        })
    }
}

/// Returns the wall-clock time.
#[expect(clippy::disallowed_methods, reason = "idempotency keys carry the time of day")]
pub(super) fn wall_time() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
