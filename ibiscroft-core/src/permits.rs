//! Permits for requests to targets in cold start.
