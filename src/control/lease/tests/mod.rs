//! Tests of the leases.

mod mass_expiry;
mod measures;
mod registration_sync;
mod renewal;
