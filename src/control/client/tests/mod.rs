//! Tests of the client.

mod plan;
mod silence;
