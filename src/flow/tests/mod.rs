//! Tests of flows.
