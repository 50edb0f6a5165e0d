//! Keys that ibiscroft uses in the platform's key-value service (the store).

/// Prefix of all keys that a gateway watches.
pub const WATCHED_PREFIX: &str = "ibiscroft/control/";
/// Key of the configuration record.
pub const CONFIGURATION: &str = "ibiscroft/control/configuration";
/// Key of the zone state record.
pub const ZONES: &str = "ibiscroft/control/zones";
/// Prefix of the roster, which has a key with a lease for each running gateway.
pub const ROSTER_PREFIX: &str = "ibiscroft/control/instances/";
/// Prefix of the claim pages.
pub const CLAIMS_PREFIX: &str = "ibiscroft/claims/";
/// Key of the record that states up to which time slot claims are retired.
pub const RETIRED_SLOTS: &str = "ibiscroft/control/claims-retired";
