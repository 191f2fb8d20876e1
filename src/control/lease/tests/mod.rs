//! Tests of the leases.

mod mass_expiry;
mod measures;
mod renewal;
