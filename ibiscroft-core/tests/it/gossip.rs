//! Tests of `gossip`.
