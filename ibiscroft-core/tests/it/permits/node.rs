//! One gateway of the model around the controller under test.

use std::collections::{BTreeMap, HashMap, VecDeque};

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, RunId, TargetName};
use ibiscroft_core::permits::{
    Action, Controller, Outcome, Permit, PermitId, PermitMessage, PermitProof, ReportedState,
    TargetResponse,
};
use ibiscroft_core::roster::RosterUpdate;

use super::rules::{Broken, CUT_OFF, TARGETS, target_name, times};
use super::step::FreezePoint;
use super::store;

/// A request that was checked and is about to be written.
pub(super) struct Prepared {
    pub(super) target: usize,
    pub(super) run: u32,
    pub(super) permit: Option<Permit>,
    pub(super) checked_at: Tick,
}

/// A request that was sent.
pub(super) struct Flight {
    pub(super) target: usize,
    pub(super) sent_at: Tick,
    pub(super) permit: Option<Permit>,
}

pub(super) enum Event {
    Peer(InstanceName, PermitMessage),
    Store(store::Answer, Tick),
    Answer { flight: u64, run: RunId, state: ReportedState },
    TripwireClosed { target: usize },
}

pub(super) struct Node {
    pub(super) controller: Controller,
    pub(super) incarnation: u32,
    pub(super) is_alive: bool,
    pub(super) is_frozen: bool,
    pub(super) freeze_at: Option<FreezePoint>,
    pub(super) is_cut: bool,
    pub(super) taken: Option<(Event, Tick)>,
    pub(super) inbox: VecDeque<Event>,
    pub(super) waiting: BTreeMap<PermitId, usize>,
    pub(super) prepared: Vec<Prepared>,
    pub(super) flights: HashMap<u64, Flight>,
    pub(super) tripwires: [Option<u32>; TARGETS],
    pub(super) told_cold: [Tick; TARGETS],
    pub(super) next_watch: Tick,
    pub(super) next_register: Tick,
}

impl Node {
    /// Goes on as if the store had confirmed the lease and the last view.
    pub(super) fn pretend_confirmed(&mut self, now: Tick) {
        let roster = self.controller.roster_mut();
        let Some(lease) = roster.lease().id() else {
            return;
        };
        roster.lease_mut().on_confirmed(lease, now, times(Broken::Nothing).lease_ttl);
        let revision = roster.view().revision();
        let sent_at = Tick::from_micros(now.as_micros() - CUT_OFF.as_micros() as u64);
        let update = RosterUpdate { sent_at, revision, is_full: false, changes: Vec::new() };
        roster.on_update(&update, now);
    }

    pub(super) fn hear_cold(&mut self, target: &TargetName, now: Tick) {
        for (index, told) in self.told_cold.iter_mut().enumerate() {
            if target_name(index) == *target {
                *told = now;
            }
        }
    }

    pub(super) fn store_answered(&mut self, answer: store::Answer, sent_at: Tick, now: Tick) {
        let ttl = times(Broken::Nothing).lease_ttl;
        let roster = self.controller.roster_mut();
        match answer {
            store::Answer::Lease(lease) => roster.lease_mut().on_confirmed(lease, sent_at, ttl),
            store::Answer::Ended(lease) => roster.lease_mut().on_lost(lease, now),
            store::Answer::Registered => {}
            store::Answer::Seen(update) => {
                roster.on_update(&update, now);
            }
        }
    }

    pub(super) fn answered(
        &mut self,
        flight: &Flight,
        run: RunId,
        state: ReportedState,
        now: Tick,
    ) -> Vec<Action> {
        let target = target_name(flight.target);
        if state == ReportedState::Cold {
            self.hear_cold(&target, now);
        }
        let permit = flight.permit.as_ref();
        let answer = TargetResponse {
            sent_at: flight.sent_at,
            run: Some(run.clone()),
            state,
            permit: permit.map(|permit| PermitProof {
                requested_at: permit.requested_at,
                warm_run: permit.warm_run.clone(),
            }),
        };
        let mut actions = self.controller.on_response(&target, &answer, now);
        if let Some(permit) = permit {
            let outcome = Outcome::Served { run: Some(run), state };
            actions.extend(self.controller.return_permit(permit, outcome, now));
        }
        actions
    }
}
