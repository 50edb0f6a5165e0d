//! Determines the organisation of a request from its API key.

use std::time::Duration;

use http::{HeaderMap, HeaderName};
use ibiscroft_core::fleet::{Configuration, Route};
use ibiscroft_core::ids::OrganisationName;

use super::NOT_READY_RETRY_AFTER;
use crate::dialect::{Credential, Dialect};
use crate::reply::{Failure, FailureKind};

/// Staleness up to which the view is taken to contain all keys; above the staleness at which a
/// gateway that can reach the store reads it itself.
const MAX_STALENESS: Duration = Duration::from_secs(2);

/// What the configuration states about the caller of a request.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Identity {
    /// Organisation of the caller, if known.
    pub(super) organisation: Option<OrganisationName>,
    /// Priority of the organisation, or else of the route.
    pub(super) priority: u32,
}

/// Determines the organisation of a request on `route`.
///
/// `staleness` is the time since the configuration was known to be the newest one.
///
/// # Errors
///
/// Returns a failure if the route needs a key and the request has none that is known: `NotReady` if
/// the key may belong to a newer configuration, and otherwise `Unauthorized`.
pub(super) fn identify(
    configuration: &Configuration,
    route: &Route,
    credential: Credential,
    staleness: Duration,
) -> Result<Identity, Failure> {
    let Some(organisations) = &configuration.organisations else {
        return Ok(Identity { organisation: None, priority: route.priority });
    };
    let organisation = match credential {
        Credential::Key(key) => organisations.by_key(key),
        Credential::Missing | Credential::Ambiguous => None,
    };
    if organisation.is_none() && !route.is_public {
        return Err(rejection(configuration, route, credential, staleness));
    }
    let policy = organisation.and_then(|name| organisations.policy(name));
    let priority = policy.and_then(|policy| policy.priority).unwrap_or(route.priority);
    Ok(Identity { organisation: organisation.cloned(), priority })
}

/// Returns the failure for a request whose organisation is not known.
fn rejection(
    configuration: &Configuration,
    route: &Route,
    credential: Credential,
    staleness: Duration,
) -> Failure {
    let (route, version) = (&route.name, configuration.version);
    let reason = match credential {
        Credential::Missing => "the request has no API key",
        Credential::Ambiguous => "the request has several credentials",
        Credential::Key(_) if staleness > MAX_STALENESS => {
            let detail = format!(
                "the API key is not known in version {version}, which may not be the newest one"
            );
            return Failure::new(FailureKind::NotReady, detail).retry_after(NOT_READY_RETRY_AFTER);
        }
        Credential::Key(_) => "the API key is not known",
    };
    let detail = format!("{reason}, route {route}, version {version}");
    Failure::new(FailureKind::Unauthorized, detail)
}

/// Removes the header fields of a caller that targets must not receive.
pub(super) fn remove_withheld<D: Dialect>(headers: &mut HeaderMap) {
    let withheld: Vec<HeaderName> =
        headers.keys().filter(|field| D::is_withheld(field)).cloned().collect();
    for field in withheld {
        headers.remove(field);
    }
}
