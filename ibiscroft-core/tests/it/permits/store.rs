//! Simulated store for leases and registrations, with outages, delays and lost responses.

use std::collections::BTreeMap;
use std::time::Duration;

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, StoreVersion};
use ibiscroft_core::roster::{Change, LeaseId, Member, RosterUpdate};

#[derive(Clone, Debug)]
pub(crate) enum Call {
    Create,
    Renew(LeaseId),
    Register(LeaseId, Member),
    Watch(StoreVersion),
}

#[derive(Clone, Debug)]
pub(crate) enum Response {
    Lease(LeaseId),
    Ended(LeaseId),
    Registered,
    Update(RosterUpdate),
}

#[derive(Default)]
pub(crate) struct Store {
    pub(crate) is_down: bool,
    pub(crate) responses_to_lose: u32,
    pub(crate) delay: Duration,
    leases: BTreeMap<LeaseId, Tick>,
    registrations: BTreeMap<InstanceName, (LeaseId, Member)>,
    log: Vec<(StoreVersion, Change)>,
    counter: u64,
}

impl Store {
    /// Ends the leases that were not renewed, together with their registrations.
    pub(crate) fn tick(&mut self, now: Tick) {
        self.leases.retain(|_, until| *until > now);
        let lost: Vec<InstanceName> = self
            .registrations
            .iter()
            .filter(|(_, (lease, _))| !self.leases.contains_key(lease))
            .map(|(name, _)| name.clone())
            .collect();
        for name in lost {
            self.registrations.remove(&name);
            self.record(name, None);
        }
    }

    /// Handles a call; returns `None` when the store is down or the response is lost.
    pub(crate) fn handle(
        &mut self,
        from: &InstanceName,
        call: Call,
        sent_at: Tick,
        ttl: Duration,
        now: Tick,
    ) -> Option<Response> {
        if self.is_down {
            return None;
        }
        if let Call::Watch(after) = call {
            return Some(Response::Update(self.update(after, sent_at)));
        }
        let response = self.write(from, call, ttl, now);
        if self.responses_to_lose > 0 {
            self.responses_to_lose -= 1;
            return None;
        }
        Some(response)
    }

    fn write(&mut self, from: &InstanceName, call: Call, ttl: Duration, now: Tick) -> Response {
        match call {
            Call::Create => {
                self.counter += 1;
                let lease = LeaseId(self.counter);
                self.leases.insert(lease, now + ttl);
                Response::Lease(lease)
            }
            Call::Renew(lease) | Call::Register(lease, _) if !self.leases.contains_key(&lease) => {
                Response::Ended(lease)
            }
            Call::Renew(lease) => {
                self.leases.insert(lease, now + ttl);
                Response::Lease(lease)
            }
            Call::Register(lease, member) => {
                self.counter += 1;
                let member = Member { version: StoreVersion(self.counter), ..member };
                self.registrations.insert(from.clone(), (lease, member.clone()));
                self.log.push((
                    StoreVersion(self.counter),
                    Change { name: from.clone(), member: Some(member) },
                ));
                Response::Registered
            }
            Call::Watch(_) => unreachable!("a watch does not write"),
        }
    }

    fn record(&mut self, name: InstanceName, member: Option<Member>) {
        self.counter += 1;
        self.log.push((StoreVersion(self.counter), Change { name, member }));
    }

    /// Returns the latest state of each registration that changed after revision `after`, or all
    /// registrations if that is 0.
    fn update(&self, after: StoreVersion, sent_at: Tick) -> RosterUpdate {
        let mut latest: BTreeMap<InstanceName, Change> = BTreeMap::new();
        for (version, change) in &self.log {
            if *version > after {
                latest.insert(change.name.clone(), change.clone());
            }
        }
        let is_full = after == StoreVersion(0);
        let changes = latest.into_values().filter(|change| !is_full || change.member.is_some());
        RosterUpdate {
            sent_at,
            revision: StoreVersion(self.counter),
            is_full,
            changes: changes.collect(),
        }
    }
}
