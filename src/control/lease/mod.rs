//! Leases of registered targets, kept in the memory of the leading replica.

mod expiry_decision;
mod expiry_hold;
mod lease_manager;
mod lease_record;
mod lease_table;

pub(crate) use expiry_decision::{ExpiryDecision, HoldReport};
pub(crate) use lease_manager::{
    CountLeases, DecideExpiries, DropAllLeases, GrantAllLeases, LeaseManager, RenewLease,
};
pub(crate) use lease_record::{LeaseHolder, LeaseRecord};
pub(crate) use lease_table::{LEASE_MILLIS, LeaseTable};

use expiry_hold::ExpiryHold;

#[cfg(test)]
mod tests;
