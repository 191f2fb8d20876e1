//! Tests of the leases.

mod following;
mod mass_expiry;
mod measures;
mod renewal;
