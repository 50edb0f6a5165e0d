//! The controller that owns the claims of this gateway.

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

/// Interval of ticks while something waits for the store.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Interval of ticks otherwise.
const IDLE_TICK: Duration = Duration::from_secs(1);

/// Owns the claims of this gateway.
#[derive(Debug)]
pub struct ClaimsController {
    book: ClaimCoordinator,
    store: StoreClient,
    clock: Clock,
    metrics: ClaimMetrics,
    waiting: HashMap<ClaimId, oneshot::Sender<Decision>>,
    flushes: Vec<oneshot::Sender<()>>,
    messages: mpsc::UnboundedSender<Message>,
    inbox: mpsc::UnboundedReceiver<Message>,
}

impl ClaimsController {
    /// Makes a controller and the handle to it.
    #[must_use]
    pub fn new(
        limits: ClaimLimits,
        store: StoreClient,
        clock: Clock,
        metrics: ClaimMetrics,
    ) -> (Self, ClaimsHandle) {
        let (messages, inbox) = mpsc::unbounded_channel();
        let handle = ClaimsHandle::new(messages.clone());
        let controller = Self {
            book: ClaimCoordinator::new(limits, rand::random()),
            store,
            clock,
            metrics,
            waiting: HashMap::new(),
            flushes: Vec::new(),
            messages,
            inbox,
        };
        (controller, handle)
    }

    /// Works until its runtime ends.
    pub async fn run(mut self) {
        loop {
            let tick = if self.book.is_idle() { IDLE_TICK } else { BUSY_TICK };
            tokio::select! {
                Some(message) = self.inbox.recv() => self.on_message(message),
                () = tokio::time::sleep(tick) => self.feed(ClaimEvent::Tick),
            }
            self.metrics.update(self.book.counters(), self.book.open_claims());
            self.answer_flushes();
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Order { id, request, decision } => {
                self.waiting.insert(id, decision);
                self.feed(ClaimEvent::Arrived {
                    id,
                    key: request.key,
                    fingerprint: request.fingerprint,
                    deadline: request.deadline,
                });
            }
            Message::Event(event) => self.feed(event),
            Message::Gateways(count) => {
                let rate = ClaimLimits::for_fleet(count).writes_per_second;
                self.book.set_writes_per_second(rate);
            }
            Message::Dump(answer) => {
                let _ = answer.send(self.dump());
            }
            Message::Flush(done) => self.flushes.push(done),
        }
    }

    fn feed(&mut self, event: ClaimEvent) {
        let at = ClockReading { now: self.clock.now(), wall: wall_time() };
        for action in self.book.handle(event, at) {
            self.act(action);
        }
    }

    fn act(&mut self, action: ClaimAction) {
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

    /// Hands a decision out; a claim that nobody takes releases itself.
    fn decide(&mut self, id: ClaimId, verdict: ClaimVerdict) {
        self.metrics.count(&verdict);
        let decision = match verdict {
            ClaimVerdict::Proceed => Decision::Send(ConfirmedClaim::new(self.messages.clone(), id)),
            verdict => Decision::Respond(verdict),
        };
        if let Some(waiting) = self.waiting.remove(&id) {
            let _ = waiting.send(decision);
        }
    }

    fn answer_flushes(&mut self) {
        if self.book.open_claims() > 0 {
            return;
        }
        for done in self.flushes.drain(..) {
            let _ = done.send(());
        }
    }

    fn dump(&self) -> Value {
        let counters = self.book.counters();
        json!({
            "orders_open": self.book.open_claims(),
            "pages_in_memory": self.book.pages(),
            "writes_per_second": self.book.limits().writes_per_second,
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
pub(super) fn wall_time() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
