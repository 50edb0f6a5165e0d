//! Targets and instances that start leaving.
