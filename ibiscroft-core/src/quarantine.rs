//! Isolates requests that crash backend servers, and refuses them once they are identified.
//!
//! When the run of a target ends with requests in flight, each of these requests is a suspect: one
//! of them may have caused the end of the run. Suspects are held until all gateways know of the
//! loss. Then they are sent to separate targets, each with one attempt at a time. A request is
//! refused once it is the only explanation for losses at two targets. A response to the request
//! clears it.
//!
//! ```
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::ids::{RunId, TargetName};
//! use ibiscroft_core::quarantine::{
//!     Fingerprint, LOSS_PROPAGATION_TIME, Loss, Quarantine, QuarantineStatus,
//! };
//!
//! let mut quarantine = Quarantine::default();
//! let fingerprint = Fingerprint::new(["register", "GET", "/suppliers?page=-1"]);
//! let now = Tick::ZERO;
//! for (target, run) in [("register-1", "r1"), ("register-2", "r2")] {
//!     let loss = Loss { fingerprint, target: TargetName::new(target), run: RunId::new(run) };
//!     quarantine.note_connection_lost(now, loss.clone());
//!     let confirmed = quarantine.note_run_ended(now, &loss.target, &loss.run);
//!     assert_eq!(confirmed, [loss]);
//! }
//! let until = now + LOSS_PROPAGATION_TIME;
//! assert_eq!(quarantine.status(now, fingerprint), QuarantineStatus::Held { until });
//! let now = until;
//! assert!(matches!(quarantine.status(now, fingerprint), QuarantineStatus::Refused { .. }));
//! ```

mod evidence;
mod fingerprint;
mod state;
mod trial;

pub use fingerprint::Fingerprint;
pub use state::{LOSS_PROPAGATION_TIME, Loss, Quarantine, QuarantineSnapshot, QuarantineStatus};
pub use trial::Trial;
