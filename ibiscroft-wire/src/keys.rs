//! Keys in the platform's key-value service.

/// Prefix of everything a gateway watches.
pub const WATCHED_PREFIX: &str = "ibiscroft/control/";
/// The configuration record.
pub const CONFIGURATION: &str = "ibiscroft/control/configuration";
/// The zone state record.
pub const ZONES: &str = "ibiscroft/control/zones";
/// Prefix of the roster: one leased key for each live instance.
pub const ROSTER_PREFIX: &str = "ibiscroft/control/instances/";
/// Prefix of the claim pages.
pub const CLAIMS_PREFIX: &str = "ibiscroft/claims/";
/// Which time slots of claims are retired.
pub const RETIRED_SLOTS: &str = "ibiscroft/control/claims-retired";
