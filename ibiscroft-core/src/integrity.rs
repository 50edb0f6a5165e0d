//! Recognises whole, crossed and truncated answers.
