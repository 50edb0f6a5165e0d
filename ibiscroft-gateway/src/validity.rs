//! Time until which the registers in force may be relied on.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use ibiscroft_core::Tick;

/// End of the validity of the registers in force.
///
/// The control thread extends it, and traffic threads check it right before they send a request.
#[derive(Debug, Default)]
pub(crate) struct Validity {
    until: AtomicU64,
    is_ready: AtomicBool,
    is_confirmed: AtomicBool,
}

impl Validity {
    /// Sets the instant after which no new work may be sent, whether callers may be served, and
    /// whether the store or a peer has confirmed the registers as the newest ones.
    pub(crate) fn set(&self, until: Tick, is_ready: bool, is_confirmed: bool) {
        self.until.store(until.as_micros(), Ordering::Release);
        self.is_ready.store(is_ready, Ordering::Release);
        self.is_confirmed.store(is_confirmed, Ordering::Release);
    }

    /// Returns whether the registers in force are known to be the newest ones at `now`; an isolated
    /// gateway sends new work without that.
    pub(crate) fn is_confirmed(&self, now: Tick) -> bool {
        self.is_confirmed.load(Ordering::Acquire) && self.holds(now)
    }

    /// Returns whether new work may be sent at `now`.
    pub(crate) fn holds(&self, now: Tick) -> bool {
        now.as_micros() <= self.until.load(Ordering::Acquire)
    }

    /// Returns whether callers may be served: a configuration is in force and was confirmed.
    pub(crate) fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }
}
