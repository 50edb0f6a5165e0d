//! Contains requests that crash backend servers.
