//! Tests of the feed.

mod budget;
mod convergence;
mod watchers;
