//! Determines the organisation of a request from its API key.

use http::{HeaderMap, HeaderName};
use ibiscroft_core::fleet::{Configuration, Route};
use ibiscroft_core::ids::OrganisationName;

use super::currency::Currency;
use crate::dialect::{Credential, Dialect};
use crate::reply::{Failure, FailureKind};

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
/// # Errors
///
/// Returns a failure if the route needs a key and the request has none that is known: `NotReady` if
/// a newer configuration may allow the request, and otherwise `Unauthorized`.
pub(super) fn identify(
    configuration: &Configuration,
    route: &Route,
    credential: Credential,
    currency: Currency,
) -> Result<Identity, Failure> {
    let Some(organisations) = &configuration.organisations else {
        return Ok(Identity { organisation: None, priority: route.priority });
    };
    let organisation = match credential {
        Credential::Key(key) => organisations.by_key(key),
        Credential::Missing | Credential::Ambiguous => None,
    };
    if organisation.is_none() && !route.is_public {
        return Err(rejection(route, credential, currency));
    }
    let policy = organisation.and_then(|name| organisations.policy(name));
    let priority = policy.and_then(|policy| policy.priority).unwrap_or(route.priority);
    Ok(Identity { organisation: organisation.cloned(), priority })
}

/// Returns the failure for a request whose organisation is not known.
fn rejection(route: &Route, credential: Credential, currency: Currency) -> Failure {
    let reason = match credential {
        Credential::Missing => "the request has no API key",
        Credential::Ambiguous => "the request has several credentials",
        Credential::Key(_) => "the API key is not known",
    };
    currency.refusal(FailureKind::Unauthorized, &format!("{reason}, route {}", route.name))
}

/// Removes the header fields of a caller that targets must not receive.
pub(super) fn remove_withheld<D: Dialect>(headers: &mut HeaderMap) {
    let withheld: Vec<HeaderName> =
        headers.keys().filter(|field| D::is_withheld(field)).cloned().collect();
    for field in withheld {
        headers.remove(field);
    }
}
