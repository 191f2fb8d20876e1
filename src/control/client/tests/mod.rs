//! Tests of the control client.

mod failover;
mod unavailable;
