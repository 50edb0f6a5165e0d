//! Contains requests that crash backend servers.

use std::sync::Arc;
use std::time::Duration;

use ibiscroft_core::budget;
use ibiscroft_core::quarantine::{Fingerprint, SETTLE, Standing, Trial};
use ibiscroft_wire::ErrorKind;

use crate::exchange::{Exchange, Failure, Reply};
use crate::filters::{Filter, Handler};
use crate::observation::Observation;
use crate::shared::Shared;

/// Pause between looks at a held request.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Refuses requests that crashed backend servers and tries suspects apart from each other.
#[derive(Debug)]
pub(crate) struct Contain {
    shared: Arc<Shared>,
}

impl Contain {
    /// Makes the filter.
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Waits until the request may be sent; returns its trial when it is under suspicion.
    async fn pass(
        &self,
        ex: &mut Exchange,
        fingerprint: Fingerprint,
    ) -> Result<Option<Trial>, Failure> {
        loop {
            let now = self.shared.clock.now();
            let standings = self.shared.standings.load_full();
            match standings.standing(now, fingerprint) {
                Standing::Clear => {
                    ex.place = None;
                    return Ok(None);
                }
                Standing::Refused { until } => {
                    let detail = "this request ended backend servers";
                    let failure = Failure::new(ErrorKind::Quarantined, detail);
                    return Err(failure.retry_after(until.since(now)));
                }
                Standing::Suspect(place) => {
                    if let Some(trial) = standings.begin_trial(fingerprint) {
                        ex.place = Some(place);
                        return Ok(Some(trial));
                    }
                }
                Standing::Held { .. } => {}
            }
            if now >= ex.deadline {
                let detail = "a request like this one was lost with its backend server";
                return Err(Failure::new(ErrorKind::DeadlinePassed, detail));
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Returns whether a lost request is tried again once its standing is known.
    async fn tries_again(&self, ex: &Exchange, failure: &Failure) -> bool {
        let now = self.shared.clock.now();
        let settled = now + SETTLE + LOOK_INTERVAL;
        if failure.kind != ErrorKind::ConnectionLost || settled >= ex.deadline {
            return false;
        }
        if !ex.service.budget.try_again(budget::Failure::Lost, ex.is_safe(), now) {
            return false;
        }
        tokio::time::sleep(settled.since(now)).await;
        true
    }
}

impl Filter for Contain {
    async fn apply<H: Handler>(&self, ex: &mut Exchange, next: &H) -> Reply {
        let mut has_lost = false;
        loop {
            let is_quiet = self.shared.standings.load().is_empty();
            let fingerprint = (!is_quiet).then(|| ex.fingerprint());
            let trial = match fingerprint {
                Some(fingerprint) => self.pass(ex, fingerprint).await?,
                None => None,
            };
            let reply = next.handle(ex).await;
            let was_suspect = trial.is_some();
            drop(trial);
            match reply {
                Ok(answer) => {
                    if let Some(fingerprint) = fingerprint.filter(|_| was_suspect) {
                        self.shared.observe(Observation::Answered { fingerprint });
                    }
                    return Ok(answer);
                }
                Err(failure) if has_lost || !self.tries_again(ex, &failure).await => {
                    return Err(failure);
                }
                Err(_) => has_lost = true,
            }
        }
    }
}
