//! Tests of the leases.
