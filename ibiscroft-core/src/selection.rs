//! Selects a target for a request.
