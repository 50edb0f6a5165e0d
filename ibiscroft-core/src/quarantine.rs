//! Contains requests that crash backend servers.
//!
//! A request whose connection is lost and whose target's run ends is a suspect, and so is
//! each innocent request that ran beside it. Suspects are held until all gateways know of the
//! loss, then tried apart from each other and one try at a time, and a request is refused once losses at two
//! targets have it as their only explanation. An answer to the same request clears it.
//!
//! ```
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::ids::{RunId, TargetName};
//! use ibiscroft_core::quarantine::{Fingerprint, Loss, Quarantine, LOSS_PROPAGATION_TIME, QuarantineStatus};
//!
//! let mut quarantine = Quarantine::default();
//! let fingerprint = Fingerprint::new(["register", "GET", "/suppliers?page=-1"]);
//! let now = Tick::ZERO;
//! for (target, run) in [("register-1", "r1"), ("register-2", "r2")] {
//!     let loss = Loss { fingerprint, target: TargetName::new(target), run: RunId::new(run) };
//!     quarantine.note_connection_lost(now, loss.clone());
//!     let told = quarantine.note_run_ended(now, &loss.target, &loss.run);
//!     assert_eq!(told, [loss]);
//! }
//! assert_eq!(quarantine.status(now, fingerprint), QuarantineStatus::Held { until: now + LOSS_PROPAGATION_TIME });
//! let now = now + LOSS_PROPAGATION_TIME;
//! assert!(matches!(quarantine.status(now, fingerprint), QuarantineStatus::Refused { .. }));
//! ```

mod evidence;
mod fingerprint;
mod state;
mod trial;

pub use fingerprint::Fingerprint;
pub use state::{LOSS_PROPAGATION_TIME, Loss, Quarantine, QuarantineSnapshot, QuarantineStatus};
pub use trial::Trial;
