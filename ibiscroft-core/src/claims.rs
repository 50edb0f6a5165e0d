//! At-most-once execution: claims kept in pages of the store.
