//! Integration tests of the edge daemon's library.

mod catalogue;
