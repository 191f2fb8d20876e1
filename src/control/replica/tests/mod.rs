//! Tests of the replicated log.

mod measures;
mod promise_record;
mod promises;
mod scenarios;
mod shuffler;
mod single_core;
mod test_node;
