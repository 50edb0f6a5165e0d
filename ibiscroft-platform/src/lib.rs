//! Client of the platform's key-value service (the store) and instance list.

mod error;
mod store_client;

pub use error::StoreError;
pub use store_client::{LeaseId, StoreClient};
