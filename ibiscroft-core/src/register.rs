//! Registers whose generation only rises.
