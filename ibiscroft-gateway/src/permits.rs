//! How traffic threads ask the control thread for permits and report what they saw.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::ids::{RunId, TargetName};
use ibiscroft_core::permits::{Outcome, Permit, PermitProof, ReportedState, TargetResponse};
use ibiscroft_core::{Tick, data};
use tokio::sync::{mpsc, oneshot};

use crate::shared::Shared;

/// Something a traffic thread asks or tells about permits.
#[derive(Debug)]
pub(crate) enum PermitEvent {
    /// Asks for a permit; a dropped `reply` refuses it.
    Ask {
        /// Target to send to.
        target: TargetName,
        /// How long the request waits.
        wait: Duration,
        /// Takes the permit.
        reply: oneshot::Sender<Permit>,
    },
    /// The use of a permit ended.
    End(Permit, Outcome),
    /// A target answered.
    Answered(TargetName, TargetResponse),
}

data! {
    /// What an answer said about the run that gave it.
    pub(crate) struct RunReport {
        /// Run, when stated.
        pub(crate) run: Option<RunId>,
        /// State of the run.
        pub(crate) state: ReportedState,
    }
}

/// Sends to the control thread; a full queue drops the event.
///
/// A dropped question is refused. A dropped end of use only keeps the permit counted longer.
#[derive(Clone, Debug)]
pub(crate) struct PermitSender(mpsc::Sender<PermitEvent>);

impl PermitSender {
    /// Makes the sending end of `tx`.
    pub(crate) const fn new(tx: mpsc::Sender<PermitEvent>) -> Self {
        Self(tx)
    }

    fn send(&self, event: PermitEvent) -> bool {
        self.0.try_send(event).is_ok()
    }

    /// Asks for a permit and waits for it.
    pub(crate) async fn ask(&self, target: &TargetName, wait: Duration) -> Option<Permit> {
        let (reply, granted) = oneshot::channel();
        if !self.send(PermitEvent::Ask { target: target.clone(), wait, reply }) {
            return None;
        }
        granted.await.ok()
    }

    /// Reports an answer that was sent under `permit`, or under none.
    pub(crate) fn answered(
        &self,
        target: &TargetName,
        report: &RunReport,
        permit: Option<&Permit>,
        sent_at: Tick,
    ) {
        let answer = TargetResponse {
            sent_at,
            run: report.run.clone(),
            state: report.state,
            permit: permit.map(|permit| PermitProof {
                requested_at: permit.requested_at,
                warm_run: permit.warm_run.clone(),
            }),
        };
        self.send(PermitEvent::Answered(target.clone(), answer));
    }
}

/// A permit in use. Dropping it reports nothing: the request may still run.
#[derive(Debug)]
pub(crate) struct PermitUse {
    /// The permit.
    pub(crate) permit: Permit,
    shared: Arc<Shared>,
}

impl PermitUse {
    /// Begins the use of a permit.
    pub(crate) const fn new(permit: Permit, shared: Arc<Shared>) -> Self {
        Self { permit, shared }
    }

    /// Ends the use without a byte sent, or with a refusal of the target.
    pub(crate) fn end_not_run(self) {
        self.end(Outcome::NotSent);
    }

    /// Ends the use after the whole answer arrived.
    pub(crate) fn end_served(self, report: RunReport) {
        self.end(Outcome::Served { run: report.run, state: report.state });
    }

    fn end(self, outcome: Outcome) {
        self.shared.permits.send(PermitEvent::End(self.permit, outcome));
    }
}
