//! Live instances and their leases.
