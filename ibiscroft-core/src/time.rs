//! Monotonic instants, which the embedding program supplies.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// An instant on the embedding program's monotonic clock, in microseconds since its origin.
///
/// This crate never reads a clock; each event is passed with its instant.
///
/// ```
/// use ibiscroft_core::Tick;
/// use std::time::Duration;
///
/// let later = Tick::ZERO + Duration::from_millis(2);
/// assert_eq!(later.since(Tick::ZERO), Duration::from_millis(2));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tick(u64);

impl Tick {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates an instant from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the instant `span` earlier, or the origin when that would be before it.
    #[must_use]
    pub const fn before(self, span: Duration) -> Self {
        let micros = span.as_micros();
        let micros = if micros > u64::MAX as u128 { u64::MAX } else { micros as u64 };
        Self(self.0.saturating_sub(micros))
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later than `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Tick {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Tick> for Tick {
    type Output = Duration;

    fn sub(self, earlier: Tick) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for Tick {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} us", self.0)
    }
}
