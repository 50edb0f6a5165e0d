//! Sources of gateways, and the messages between them.

use std::net::SocketAddr;

use ibiscroft_core::fleet::{GatewayCount, QuotaLedger, QuotaNotice, QuotaTolerance};
use rand::Rng;

use super::{Emulator, Message, SLACK, ZONES};
use crate::support::at;

/// Time between two choices of a source, in milliseconds; as a gateway notices a lost source.
const CHOICE_MS: std::ops::Range<u64> = 500..1_500;
/// Delay of a message, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 1..6;
/// Delay of some messages, in milliseconds.
const LONG_DELAY_MS: std::ops::Range<u64> = 20..100;
/// Part of the messages with a long delay.
const LONG_DELAYS: f64 = 0.03;
/// Time for which a frozen or lost gateway is chosen as a source still, in milliseconds.
const SUSPICION_MS: u64 = 1_000;

fn address(gateway: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], gateway as u16 + 1))
}

impl Emulator {
    /// Chooses the source, and sends what is due.
    pub(super) fn step(&mut self, index: usize) {
        if !self.gateways[index].is_running || self.frozen.contains(&index) {
            return;
        }
        if self.now_ms >= self.gateways[index].choose_at {
            let source = self.choose_source(index);
            let previous = std::mem::replace(&mut self.gateways[index].source, source);
            self.gateways[index].choose_at = self.now_ms + self.rng.random_range(CHOICE_MS);
            let has_chosen = std::mem::replace(&mut self.gateways[index].has_chosen, true);
            if source != previous || !has_chosen {
                if let Some(previous) = previous {
                    self.gateways[previous].gate.forget_follower(address(index));
                }
                if source.is_none() {
                    let mut ledger = QuotaLedger::new(QuotaTolerance {
                        window: std::time::Duration::from_secs(5),
                        overage: 0.1,
                        slack: SLACK,
                    });
                    ledger.configure(at(self.now_ms), Some(&self.configuration));
                    self.gateways[index].ledger = ledger;
                }
            }
        }
        let (now, fleet) = (at(self.now_ms), GatewayCount(self.fleet));
        if let Some(source) = self.gateways[index].source {
            if let Some(report) = self.gateways[index].gate.take_report(now) {
                self.send(index, source, Message::Report(report));
            }
        } else if self.now_ms.is_multiple_of(50) && self.gateways[index].has_chosen {
            let gateway = &mut self.gateways[index];
            let report = gateway.gate.take_demand(now);
            gateway.ledger.on_report(now, fleet, &report);
            if let Some(notice) = gateway.ledger.notice(now) {
                gateway.gate.on_notice(now, &notice);
                self.forward(index, &notice);
            }
        }
    }

    /// Returns the gateway that `index` follows, `None` if it reads the store.
    fn choose_source(&self, index: usize) -> Option<usize> {
        let is_usable = |peer: &usize| {
            let failed_at = self.gateways[*peer].failed_at;
            let is_suspected = failed_at.is_some_and(|at| self.now_ms >= at + SUSPICION_MS);
            !is_suspected && self.groups[*peer] == self.groups[index]
        };
        let root = (0..self.gateways.len()).find(is_usable)?;
        let leader = (0..self.gateways.len())
            .filter(|peer| peer % ZONES == index % ZONES)
            .find(is_usable)
            .unwrap_or(root);
        match index {
            _ if index == root => None,
            _ if index == leader => Some(root),
            _ => Some(leader),
        }
    }

    fn forward(&mut self, index: usize, notice: &QuotaNotice) {
        for follower in 0..self.gateways.len() {
            if self.gateways[follower].source == Some(index) {
                self.send(index, follower, Message::Notice(notice.clone()));
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.bytes += match &message {
            Message::Report(report) => serde_json::to_string(report).unwrap().len(),
            Message::Notice(notice) => serde_json::to_string(notice).unwrap().len(),
        };
        let is_long = self.rng.random_bool(LONG_DELAYS);
        let delay = self.rng.random_range(if is_long { LONG_DELAY_MS } else { DELAY_MS });
        let arrival = self.arrivals.entry((from, to)).or_insert(0);
        *arrival = (*arrival).max(self.now_ms + delay);
        self.message_count += 1;
        self.messages.insert((*arrival, self.message_count), (from, to, message));
    }

    pub(super) fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let (from, to, message) = entry.remove();
            let is_linked = self.groups[from] == self.groups[to];
            if !is_linked || !self.gateways[to].is_running {
                continue;
            }
            if self.frozen.contains(&to) {
                self.gateways[to].backlog.push((from, message));
            } else {
                self.receive(from, to, message);
            }
        }
    }

    pub(super) fn receive(&mut self, from: usize, to: usize, message: Message) {
        let now = at(self.now_ms);
        match message {
            Message::Report(report) => {
                self.gateways[to].gate.on_report(now, address(from), &report);
            }
            Message::Notice(notice) if self.gateways[to].source == Some(from) => {
                self.gateways[to].gate.on_notice(now, &notice);
                self.forward(to, &notice);
            }
            Message::Notice(_) => {}
        }
    }
}
