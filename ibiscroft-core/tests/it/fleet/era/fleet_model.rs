//! Model of gateways that read a store and send each other updates. The decisions are those of the
//! core; the order of the daemon's steps is repeated here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{
    Change, Incarnation, Position, Relay, TargetState, Update, UpdateHistory, View,
};
use ibiscroft_core::ids::{Generation, TargetName};

use super::store_model::Store;

/// Gateway that reads the store when the fleet settles.
pub(super) const READER: usize = 0;

/// A gateway with its connection to its source.
#[derive(Debug, Default)]
pub(super) struct Gateway {
    pub(super) view: View,
    relay: Relay,
    history: UpdateHistory<Update>,
    source: Option<usize>,
    /// Updates of the source that have not arrived yet.
    incoming: VecDeque<Update>,
    /// Response of the store that has not arrived yet.
    response: Option<Update>,
    /// Latest position and configuration seen.
    latest: (Position, Generation),
    /// Latest registrations that were seen to end or drain.
    departed: BTreeMap<TargetName, (Incarnation, u64)>,
}

/// Gateways and their store. Gateway 0 reads the store, 3 and later ones follow 1, the others 0.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) store: Store,
    pub(super) gateways: Vec<Gateway>,
    now: Tick,
}

impl Fleet {
    pub(super) fn new(count: usize) -> Self {
        let gateways = (0..count).map(|_| Gateway::default()).collect();
        Self { store: Store::default(), gateways, now: Tick::from_millis(1) }
    }

    /// Lets time pass.
    pub(super) fn wait(&mut self, time: Duration) {
        self.now = self.now + time;
        for index in 0..self.gateways.len() {
            let before = self.gateways[index].view.position();
            let expired = self.gateways[index].view.expire(self.now);
            if !expired.is_empty() {
                self.publish(index, before, false, expired);
            }
        }
    }

    /// Reads the store; the response arrives at once.
    pub(super) fn read(&mut self, index: usize) {
        self.begin_read(index);
        self.end_read(index);
    }

    /// Begins a read: a watch, or a listing if the store does not have the changes or has begun
    /// another era.
    pub(super) fn begin_read(&mut self, index: usize) {
        let own = self.gateways[index].view.position();
        let watched = own.is_known().then(|| self.store.watch(own.revision)).flatten();
        let response = match watched {
            Some(update) if update.era <= own.era => update,
            _ => self.store.list(),
        };
        self.gateways[index].response = Some(response);
    }

    /// Applies the response to the read that was begun last, if any.
    pub(super) fn end_read(&mut self, index: usize) {
        if let Some(update) = self.gateways[index].response.take() {
            self.apply(index, &update);
        }
    }

    /// Ends the connection to the source.
    pub(super) fn cut_off(&mut self, index: usize) {
        self.gateways[index].source = None;
        self.gateways[index].incoming.clear();
    }

    /// Connects to a source, which sends what is missing.
    pub(super) fn follow(&mut self, index: usize, source: usize) {
        self.cut_off(index);
        let after = self.gateways[index].view.position();
        let source_gateway = &self.gateways[source];
        let missed = source_gateway.history.updates_after(after);
        let missed =
            missed.unwrap_or_else(|| vec![source_gateway.view.to_full_update(Duration::ZERO)]);
        self.gateways[index].source = Some(source);
        self.gateways[index].incoming.extend(missed);
    }

    /// Delivers the oldest update of the source.
    pub(super) fn deliver_one(&mut self, index: usize) {
        let Some(update) = self.gateways[index].incoming.pop_front() else {
            return;
        };
        if self.gateways[index].view.is_contiguous_with(&update) {
            self.apply(index, &update);
        } else if let Some(source) = self.gateways[index].source {
            self.follow(index, source);
        }
    }

    /// Delivers all updates on all connections.
    pub(super) fn deliver_all(&mut self) {
        let mut delivered = 0;
        while let Some(index) = self.gateways.iter().position(|g| !g.incoming.is_empty()) {
            self.deliver_one(index);
            delivered += 1;
            assert!(delivered < 10_000, "gateways send updates without end");
        }
    }

    /// Lets all gateways connect to their usual sources and receive the store's state.
    pub(super) fn settle(&mut self) {
        for index in 0..self.gateways.len() {
            self.end_read(index);
            self.cut_off(index);
        }
        self.read(READER);
        for index in 1..self.gateways.len() {
            self.follow(index, if index < 3 { READER } else { 1 });
            self.deliver_all();
        }
        self.read(READER);
        self.deliver_all();
    }

    /// Checks that no gateway went back: its position and configuration, and targets that it saw
    /// leave.
    pub(super) fn check_no_regress(&mut self, seed: u64) {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let seen = (gateway.view.position(), gateway.view.configuration_version());
            assert!(seen.0 >= gateway.latest.0, "seed {seed}: position of {index}: {seen:?}");
            assert!(seen.1 >= gateway.latest.1, "seed {seed}: configuration of {index}: {seen:?}");
            gateway.latest = seen;
            for target in gateway.view.targets().filter(|t| t.state == TargetState::Ready) {
                let departed = gateway.departed.get(&target.name);
                let registration = (target.incarnation, target.sequence);
                assert!(
                    departed.is_none_or(|departed| registration > *departed),
                    "seed {seed}: gateway {index} uses {target:?}, seen to leave: {departed:?}"
                );
            }
        }
    }

    fn apply(&mut self, index: usize, update: &Update) {
        let now = self.now;
        let gateway = &mut self.gateways[index];
        if !gateway.view.accepts(update) {
            return;
        }
        let before = gateway.view.position();
        let known = gateway.view.clone();
        let applied = gateway.view.apply(now, update.clone());
        // An update may repeat changes that the view has, so only its end result counts.
        for target in known.targets() {
            if gateway.view.target(&target.name).is_none() {
                let registration = (target.incarnation, target.sequence);
                gateway.departed.insert(target.name.clone(), registration);
            }
        }
        for target in gateway.view.targets().filter(|t| t.state == TargetState::Draining) {
            let registration = (target.incarnation, target.sequence);
            gateway.departed.insert(target.name.clone(), registration);
        }
        let forwarded = gateway.relay.changes_to_forward(&gateway.view, update, &applied);
        self.publish(index, before, update.is_full || update.is_difference, forwarded);
    }

    /// Sends an update to the followers of a gateway, as the daemon does.
    fn publish(
        &mut self,
        index: usize,
        before: Position,
        is_difference: bool,
        forwarded: Vec<Change>,
    ) {
        let gateway = &mut self.gateways[index];
        let position = gateway.view.position();
        if !position.is_known() {
            return;
        }
        let is_listing_in_grace = is_difference && gateway.view.is_in_grace_of_era();
        let begins_era = position.era > before.era;
        let update = if !before.is_known() || begins_era || is_listing_in_grace {
            gateway.view.to_full_update(Duration::ZERO)
        } else {
            Update {
                era: position.era,
                since: before.revision,
                revision: position.revision,
                is_full: false,
                is_difference,
                changes: forwarded,
                hints: Vec::new(),
                age: Duration::ZERO,
            }
        };
        if update.is_full || update.is_difference {
            gateway.history.reset(position);
        } else {
            gateway.history.push(position, update.clone());
        }
        for follower in self.gateways.iter_mut().filter(|other| other.source == Some(index)) {
            follower.incoming.push_back(update.clone());
        }
    }
}
