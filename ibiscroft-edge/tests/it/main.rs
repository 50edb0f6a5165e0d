//! Integration tests of the edge daemon's library.

mod catalogue;
mod quota_messages;
