//! Token buckets and retry budgets.
//!
//! Both are shared by all traffic threads: each state is one or two atomics.

mod retry;
mod token_bucket;

pub use retry::{AttemptFailure, RetryBudget, ServiceRetryBudget};
pub use token_bucket::TokenBucket;
