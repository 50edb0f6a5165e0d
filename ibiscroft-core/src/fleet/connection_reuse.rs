//! Which targets are probed where new connections to targets are expensive.
//!
//! A probe on an open connection costs two small messages, one to another target also a connection,
//! which takes capacity of the target and counts toward its limit. The connections of a gateway that
//! sends few requests to each of many targets are seldom used again, unless it prefers the targets
//! to which it is connected. Their number then follows the load: further ones are opened when the
//! connected targets are slow or busy.

/// Maximum number of new connections in a round of probes that also uses open ones.
const MAX_NEW_PER_ROUND: usize = 1;

/// Returns the order in which a target is probed; the lowest value comes first.
///
/// A target that is expected to be slow comes after one to which a connection must be opened, as a
/// late response costs more than a connection.
#[must_use]
pub fn probe_order(is_likely_slow: bool, has_open_connection: bool) -> (bool, bool) {
    (is_likely_slow, !has_open_connection)
}

/// Returns the number of new connections that are opened in a round of probes with `open` targets
/// to which the gateway is connected and `new` others.
///
/// Without open connections, a limit would only delay the request.
#[must_use]
pub fn new_connections(open: usize, new: usize) -> usize {
    if open == 0 { new } else { new.min(MAX_NEW_PER_ROUND) }
}
