//! Tests of the stores.
