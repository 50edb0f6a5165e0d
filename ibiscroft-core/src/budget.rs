//! Token buckets and retry budgets.
//!
//! All traffic threads share them; the state of each consists of a few atomics.

mod retry;
mod token_bucket;

pub use retry::{AttemptFailure, RetryBudget, ServiceRetryBudget};
pub use token_bucket::TokenBucket;
