//! A simulated gateway with the controller under test.

use std::collections::{BTreeMap, HashMap, VecDeque};

use ibiscroft_core::Tick;
use ibiscroft_core::ids::{InstanceName, RunId, TargetName};
use ibiscroft_core::permits::{
    Action, Controller, Outcome, Permit, PermitId, PermitMessage, PermitProof, ReportedState,
    TargetResponse,
};
use ibiscroft_core::roster::RosterUpdate;

use super::rules::{BrokenRule, STORE_TIMEOUT, TARGETS, roster_timings, target_name};
use super::step::PausePoint;
use super::store;

/// A request that passed the check and was not written yet, as the gateway was paused in between.
pub(super) struct CheckedRequest {
    pub(super) target: usize,
    pub(super) run: u32,
    pub(super) permit: Option<Permit>,
    pub(super) checked_at: Tick,
}

/// A request that was sent.
pub(super) struct SentRequest {
    pub(super) target: usize,
    pub(super) sent_at: Tick,
    pub(super) permit: Option<Permit>,
}

/// An event in the inbox of a gateway.
pub(super) enum Event {
    /// Message from another gateway.
    Peer(InstanceName, PermitMessage),
    /// Response of the store, with the time at which its call was sent.
    Store(store::Response, Tick),
    Response {
        request: u64,
        run: RunId,
        state: ReportedState,
    },
    /// The kernel saw the liveness connection to a target closed.
    LivenessClosed {
        target: usize,
    },
}

/// A gateway process.
pub(super) struct Node {
    pub(super) controller: Controller,
    pub(super) incarnation: u32,
    pub(super) is_alive: bool,
    pub(super) is_paused: bool,
    pub(super) pause_at: Option<PausePoint>,
    /// Whether the gateway cannot reach the store.
    pub(super) is_cut: bool,
    /// Event that the gateway had taken from its inbox when it was paused, with its clock reading.
    pub(super) taken_event: Option<(Event, Tick)>,
    pub(super) inbox: VecDeque<Event>,
    /// Targets of the requests that wait for a permit.
    pub(super) waiting: BTreeMap<PermitId, usize>,
    pub(super) checked_requests: Vec<CheckedRequest>,
    pub(super) sent_requests: HashMap<u64, SentRequest>,
    /// Run of each target to which the liveness connection is open.
    pub(super) liveness_connections: [Option<u32>; TARGETS],
    /// Time of the last notification that each target is cold.
    pub(super) notified_cold_at: [Tick; TARGETS],
    pub(super) next_watch: Tick,
    pub(super) next_register: Tick,
}

impl Node {
    /// Treats the lease and the last view as confirmed by the store; used by broken rules.
    pub(super) fn confirm_without_store(&mut self, now: Tick) {
        let roster = self.controller.roster_mut();
        let Some(lease) = roster.lease().id() else {
            return;
        };
        roster.lease_mut().on_confirmed(lease, now, roster_timings(BrokenRule::None).lease_ttl);
        let revision = roster.view().revision();
        let sent_at = Tick::from_micros(now.as_micros() - STORE_TIMEOUT.as_micros() as u64);
        let update = RosterUpdate { sent_at, revision, is_full: false, changes: Vec::new() };
        roster.on_update(&update, now);
    }

    /// Records that the gateway was notified that `target` is cold.
    pub(super) fn note_cold(&mut self, target: &TargetName, now: Tick) {
        for (index, notified_at) in self.notified_cold_at.iter_mut().enumerate() {
            if target_name(index) == *target {
                *notified_at = now;
            }
        }
    }

    pub(super) fn on_store_response(
        &mut self,
        response: store::Response,
        sent_at: Tick,
        now: Tick,
    ) {
        let ttl = roster_timings(BrokenRule::None).lease_ttl;
        let roster = self.controller.roster_mut();
        match response {
            store::Response::Lease(lease) => roster.lease_mut().on_confirmed(lease, sent_at, ttl),
            store::Response::Ended(lease) => roster.lease_mut().on_lost(lease, now),
            store::Response::Registered => {}
            store::Response::Update(update) => {
                roster.on_update(&update, now);
            }
        }
    }

    pub(super) fn on_response(
        &mut self,
        request: &SentRequest,
        run: RunId,
        state: ReportedState,
        now: Tick,
    ) -> Vec<Action> {
        let target = target_name(request.target);
        if state == ReportedState::Cold {
            self.note_cold(&target, now);
        }
        let permit = request.permit.as_ref();
        let response = TargetResponse {
            sent_at: request.sent_at,
            run: Some(run.clone()),
            state,
            permit: permit.map(|permit| PermitProof {
                requested_at: permit.requested_at,
                warm_run: permit.warm_run.clone(),
            }),
        };
        let mut actions = self.controller.on_response(&target, &response, now);
        if let Some(permit) = permit {
            let outcome = Outcome::Served { run: Some(run), state };
            actions.extend(self.controller.return_permit(permit, outcome, now));
        }
        actions
    }
}
