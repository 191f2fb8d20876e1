//! Tests of the replicated log.

mod promises;
mod scenarios;
mod shuffler;
