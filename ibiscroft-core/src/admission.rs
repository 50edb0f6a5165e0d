//! Admission control: bounded queueing and early rejection under overload.
//!
//! Each service at each gateway has one [`Admission`]. It bounds the number of requests that
//! are sent to targets at once, lets a bounded number wait, and rejects a request early when
//! it would wait past its deadline. Only traffic threads use it; the control thread passes its
//! decisions as [`Limits`].
//!
//! ```
//! use std::time::Duration;
//!
//! use ibiscroft_core::Tick;
//! use ibiscroft_core::admission::{
//!     Admission, AdmissionDecision, AdmissionRequest, CompletedRequest, Dequeued, Limits,
//!     Outcome, RequestClass,
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
//! let class = RequestClass::Interactive;
//! let request = AdmissionRequest { deadline: Tick::from_millis(500), class };
//! assert_eq!(admission.arrive(&limits, now, request, "first"), AdmissionDecision::Run("first"));
//! assert_eq!(admission.arrive(&limits, now, request, "second"), AdmissionDecision::Queued);
//! let completed = CompletedRequest { started: now, class, outcome: Outcome::Answered };
//! let now = Tick::from_millis(5);
//! admission.release(&limits, now, &completed);
//! assert_eq!(admission.next(&limits, now), Dequeued::Run("second"));
//! ```

mod concurrency;
mod queue;
mod wait_estimator;

pub use queue::{Admission, AdmissionDecision, Dequeued};

use std::time::Duration;

use crate::{Tick, copy_data};

copy_data! {
    /// Limits that the control thread sets for one service at one gateway.
    pub struct Limits {
        /// Total number of slots of all targets that may receive requests.
        pub slots: u32,
        /// Maximum number of interactive requests that wait.
        pub queue: u32,
        /// Maximum number of batch requests that wait.
        pub batch_queue: u32,
        /// Longest wait of an interactive request.
        pub queue_wait: Duration,
    }

    /// Class of a request, which decides how long it may wait.
    pub enum RequestClass {
        /// The caller expects a response soon: the wait is bounded by [`Limits::queue_wait`].
        Interactive,
        /// The caller accepts to wait for free capacity until its deadline, which may be hours
        /// away.
        Batch,
    }

    /// Properties of an arriving request on which its admission depends.
    pub struct AdmissionRequest {
        /// When the caller stops waiting for a response.
        pub deadline: Tick,
        /// Class of the request.
        pub class: RequestClass,
    }

    /// A request that was sent and has ended.
    pub struct CompletedRequest {
        /// When it was sent.
        pub started: Tick,
        /// Class of the request.
        pub class: RequestClass,
        /// How it ended.
        pub outcome: Outcome,
    }

    /// How an admitted request ended.
    pub enum Outcome {
        /// A target responded.
        Answered,
        /// A target responded and reported that requests wait at it.
        Congested,
        /// All attempted targets shed the request.
        Shed,
        /// The deadline passed.
        TimedOut,
        /// The request failed in a way that does not indicate overload.
        Failed,
    }
}
