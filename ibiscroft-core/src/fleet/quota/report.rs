//! Messages between gateways about quotas.
//!
//! All numbers are unsigned integers, so no message can contain a negative amount or a value that
//! is not a number.

use serde::{Deserialize, Serialize};

use crate::data;
use crate::fleet::target::GatewayCount;
use crate::ids::OrganisationName;

/// Parts into which a fraction is divided in a notice.
const FRACTION_PARTS: f64 = 1e6;

data! {
    /// Requests of one organisation since the previous report.
    #[derive(Copy, Default, Serialize, Deserialize)]
    pub struct Demand {
        /// Requests of callers, admitted or not.
        #[serde(rename = "o")]
        pub offered: u32,
        /// Admitted requests, less those that no target has executed.
        #[serde(rename = "a")]
        pub admitted: u32,
    }

    /// Demand at a gateway and the gateways that follow it, sent to its source.
    #[derive(Serialize, Deserialize)]
    pub struct QuotaReport {
        /// Number of gateways that the report covers.
        pub gateways: GatewayCount,
        /// Demand of the organisations with any requests.
        pub demands: Vec<(OrganisationName, Demand)>,
    }

    /// An organisation of whose requests only a fraction is admitted.
    #[derive(Serialize, Deserialize)]
    pub struct LimitedOrganisation {
        /// Name of the organisation.
        #[serde(rename = "o")]
        pub organisation: OrganisationName,
        /// Fraction to admit, in millionths.
        #[serde(rename = "f")]
        pub fraction_ppm: u32,
        /// Time until a request is expected to be admitted, in milliseconds.
        #[serde(rename = "w")]
        pub wait_ms: u32,
    }

    /// Result of the root, sent to all gateways.
    #[derive(Default, Serialize, Deserialize)]
    pub struct QuotaNotice {
        /// The organisations of whose requests not all are admitted.
        pub limited: Vec<LimitedOrganisation>,
    }
}

impl LimitedOrganisation {
    /// Creates an entry; `fraction` lies in 0..1.
    pub(super) fn new(organisation: OrganisationName, fraction: f64, wait_s: f64) -> Self {
        Self {
            organisation,
            fraction_ppm: (fraction.clamp(0.0, 1.0) * FRACTION_PARTS) as u32,
            wait_ms: (wait_s * 1e3).ceil() as u32,
        }
    }

    /// Returns the fraction to admit, in 0..=1.
    pub(super) fn fraction(&self) -> f64 {
        (f64::from(self.fraction_ppm) / FRACTION_PARTS).min(1.0)
    }
}
