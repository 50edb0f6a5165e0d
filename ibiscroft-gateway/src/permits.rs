//! Messages with which traffic threads request permits from the control thread and report on
//! their use.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::permits::{Outcome, Permit, PermitProof, ReportedState, TargetResponse};
use ibiscroft_core::{Tick, data};
use tokio::sync::{mpsc, oneshot};

use crate::shared::Shared;

/// A message of a traffic thread about permits.
#[derive(Debug)]
pub(crate) enum PermitEvent {
    /// Requests a permit; the permit is refused if `reply` is dropped.
    Request {
        /// Target to send to.
        target: TargetName,
        /// Longest time that the request waits for the permit.
        wait: Duration,
        /// Where to send the permit.
        reply: oneshot::Sender<Permit>,
    },
    /// The use of a permit ended.
    Ended(Permit, Outcome),
    /// A target responded.
    Response(TargetName, TargetResponse),
}

data! {
    /// What a response reports about the process run that sent it.
    pub(crate) struct RunReport {
        /// The run, if stated.
        pub(crate) run: Option<RunId>,
        /// Reported state of the run.
        pub(crate) state: ReportedState,
    }
}

/// Sends permit events to the control thread; drops them when its queue is full.
///
/// A permit request that is dropped counts as refused. When the end of a use is dropped, the
/// permit only counts as in use for longer.
#[derive(Clone, Debug)]
pub(crate) struct PermitSender(mpsc::Sender<PermitEvent>);

impl PermitSender {
    /// Creates a sender of events to `tx`.
    pub(crate) const fn new(tx: mpsc::Sender<PermitEvent>) -> Self {
        Self(tx)
    }

    /// Queues an event; returns whether there was space for it.
    fn send(&self, event: PermitEvent) -> bool {
        self.0.try_send(event).is_ok()
    }

    /// Requests a permit for `target` and waits for it; returns `None` if it is refused.
    pub(crate) async fn request(&self, target: &TargetName, wait: Duration) -> Option<Permit> {
        let (reply, receiver) = oneshot::channel();
        if !self.send(PermitEvent::Request { target: target.clone(), wait, reply }) {
            return None;
        }
        receiver.await.ok()
    }

    /// Reports the response to a request that was sent at `sent_at`, under `permit` if there is
    /// one.
    pub(crate) fn report_response(
        &self,
        target: &TargetName,
        report: &RunReport,
        permit: Option<&Permit>,
        sent_at: Tick,
    ) {
        let response = TargetResponse {
            sent_at,
            run: report.run.clone(),
            state: report.state,
            permit: permit.map(|permit| PermitProof {
                requested_at: permit.requested_at,
                warm_run: permit.warm_run.clone(),
            }),
        };
        self.send(PermitEvent::Response(target.clone(), response));
    }
}

/// A permit in use.
///
/// Dropping it does not return the permit, because the request may still be running.
#[derive(Debug)]
pub(crate) struct PermitUse {
    /// The permit.
    pub(crate) permit: Permit,
    shared: Arc<Shared>,
}

impl PermitUse {
    /// Starts the use of a permit.
    pub(crate) const fn new(permit: Permit, shared: Arc<Shared>) -> Self {
        Self { permit, shared }
    }

    /// Ends the use by a request that did not run: no byte of it was sent, or the target refused
    /// it.
    pub(crate) fn end_not_run(self) {
        self.end(Outcome::NotSent);
    }

    /// Ends the use after the complete response arrived.
    pub(crate) fn end_served(self, report: RunReport) {
        self.end(Outcome::Served { run: report.run, state: report.state });
    }

    fn end(self, outcome: Outcome) {
        self.shared.permits.send(PermitEvent::Ended(self.permit, outcome));
    }
}
