//! Keeps measuring requests within their budget.
