//! Token buckets and retry budgets.
