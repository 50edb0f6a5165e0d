//! Requests under suspicion: takes losses from traffic and peers, publishes what may be sent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::quarantine::{self, Fingerprint, Loss};
use ibiscroft_wire::generated::peer::PeerMessage;
use serde_json::{Value, json};

use crate::events::event;
use crate::shared::Shared;

/// Time for which the end of a target is kept for losses that are told later.
const ENDS_KEPT: Duration = Duration::from_secs(10);

/// Control state of the quarantine.
#[derive(Debug)]
pub(crate) struct Quarantine {
    shared: Arc<Shared>,
    core: quarantine::Quarantine,
    ended_at: HashMap<TargetName, Tick>,
    is_published_empty: bool,
}

impl Quarantine {
    /// Makes the state without suspects.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        let core = quarantine::Quarantine::default();
        Self { shared, core, ended_at: HashMap::new(), is_published_empty: true }
    }

    /// Takes a request that was lost; returns what peers must hear.
    pub(crate) fn on_lost(&mut self, loss: &Loss, sent_at: Tick) -> Vec<PeerMessage> {
        let now = self.shared.clock.now();
        let target = loss.target.clone();
        self.core.note_lost(now, loss.clone());
        let has_ended = self.ended_at.get(&target).is_some_and(|ended| *ended >= sent_at);
        let told = if has_ended { self.confirm(now, &target) } else { Vec::new() };
        self.publish(now);
        told
    }

    /// Takes the end of a target's run; returns what peers must hear.
    pub(crate) fn on_target_ended(&mut self, target: &TargetName) -> Vec<PeerMessage> {
        let now = self.shared.clock.now();
        self.ended_at.insert(target.clone(), now);
        let told = self.confirm(now, target);
        self.publish(now);
        told
    }

    /// Takes the answer to a suspect; returns what peers must hear.
    pub(crate) fn on_answered(&mut self, fingerprint: Fingerprint) -> Option<PeerMessage> {
        let is_news = self.core.note_answered(fingerprint);
        self.publish(self.shared.clock.now());
        is_news.then_some(PeerMessage::SuspectCleared { fingerprint: fingerprint.0 })
    }

    /// Takes a message of a peer; returns whether others must hear it.
    pub(crate) fn on_peer(&mut self, message: &PeerMessage) -> bool {
        let now = self.shared.clock.now();
        let is_news = match message {
            PeerMessage::Suspect { fingerprint, target, run } => {
                let loss = Loss {
                    fingerprint: Fingerprint(*fingerprint),
                    target: TargetName::new(target),
                    run: RunId::new(run),
                };
                self.core.note_peer_loss(now, &loss)
            }
            PeerMessage::SuspectCleared { fingerprint } => {
                self.core.note_peer_answered(Fingerprint(*fingerprint))
            }
            _ => false,
        };
        if is_news {
            self.publish(now);
        }
        is_news
    }

    /// Handles the passing of time.
    pub(crate) fn on_tick(&mut self) {
        let now = self.shared.clock.now();
        self.ended_at.retain(|_, ended| now.since(*ended) < ENDS_KEPT);
        if !self.is_published_empty {
            self.core.expire(now);
            self.publish(now);
        }
    }

    /// Describes the state.
    pub(crate) fn dump(&self) -> Value {
        json!({ "suspects": self.shared.standings.load().len() })
    }

    fn confirm(&mut self, now: Tick, target: &TargetName) -> Vec<PeerMessage> {
        let mut told = Vec::new();
        for loss in self.core.note_target_ended(now, target) {
            event!(RequestSuspected, "request {} at target {target}", loss.fingerprint);
            told.push(PeerMessage::Suspect {
                fingerprint: loss.fingerprint.0,
                target: loss.target.to_string(),
                run: loss.run.to_string(),
            });
        }
        told
    }

    fn publish(&mut self, now: Tick) {
        let standings = self.core.standings(now);
        self.is_published_empty = standings.is_empty();
        self.shared.standings.store(Arc::new(standings));
    }
}
