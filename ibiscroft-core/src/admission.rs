//! Bounded waiting and early refusal under overload.
//!
//! Each service at each gateway has one [`Admission`]. It bounds the requests that are sent
//! to targets at once, lets a bounded number wait, and refuses early when a request would
//! wait past its deadline. Only traffic threads touch it; what control decides arrives as
//! [`Limits`].
//!
//! ```
//! use std::time::Duration;
//!
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::admission::{
//!     Admission, AdmissionDecision, CompletedRequest, Limits, Dequeued, Outcome, RequestClass, AdmissionRequest,
//! };
//!
//! let limits = Limits {
//!     slots: 1,
//!     queue: 8,
//!     batch_queue: 8,
//!     queue_wait: Duration::from_millis(250),
//! };
//! let mut admission = Admission::new();
//! let now = Tick::ZERO;
//! let ticket = AdmissionRequest { deadline: Tick::from_millis(500), class: RequestClass::Interactive };
//! assert_eq!(admission.arrive(&limits, now, ticket, "first"), AdmissionDecision::Run("first"));
//! assert_eq!(admission.arrive(&limits, now, ticket, "second"), AdmissionDecision::Queued);
//! let class = RequestClass::Interactive;
//! let ended = CompletedRequest { started: now, class, outcome: Outcome::Answered };
//! let now = Tick::from_millis(5);
//! admission.release(&limits, now, &ended);
//! assert_eq!(admission.next(&limits, now), Dequeued::Run("second"));
//! ```

mod concurrency;
mod departures;
mod queue;

pub use queue::{Admission, AdmissionDecision, Dequeued};

use std::time::Duration;

use crate::{Tick, copy_data};

copy_data! {
    /// What control grants to one service at one gateway.
    pub struct Limits {
        /// Slots of all targets that may receive requests.
        pub slots: u32,
        /// Requests that may wait.
        pub queue: u32,
        /// Patient requests that may wait.
        pub batch_queue: u32,
        /// Longest wait of a request that is not patient.
        pub queue_wait: Duration,
    }

    /// Whether a caller waits for long.
    pub enum RequestClass {
        /// The caller waits for the answer.
        Interactive,
        /// The caller accepts to wait until there is room, overnight if need be.
        Batch,
    }

    /// What admission knows of a request.
    pub struct AdmissionRequest {
        /// When the caller stops waiting.
        pub deadline: Tick,
        /// Whether the caller waits for long.
        pub class: RequestClass,
    }

    /// A request that was sent and ended.
    pub struct CompletedRequest {
        /// When it was sent.
        pub started: Tick,
        /// Whether its caller waits for long.
        pub class: RequestClass,
        /// How it ended.
        pub outcome: Outcome,
    }

    /// How an admitted request ended.
    pub enum Outcome {
        /// A target answered.
        Answered,
        /// A target answered and reported a line of waiting requests.
        Congested,
        /// Each target that was tried refused the request.
        Shed,
        /// The deadline passed.
        TimedOut,
        /// It failed in a way that says nothing of the load.
        Failed,
    }
}
