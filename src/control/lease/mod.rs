//! Leases of registered targets, kept in memory at the leading replica.

mod lease_keeper;
mod lease_record;
mod lease_table;
mod lease_verdict;
mod service_hold;

pub(crate) use lease_keeper::{
    CountLeases, DecideLeases, LeaseKeeper, RenewLease, ResignLeases, TakeLeases,
};
pub(crate) use lease_record::{LeaseClaim, LeaseRecord};
pub(crate) use lease_table::{LEASE_MILLIS, LeaseTable};
pub(crate) use lease_verdict::{HoldReport, LeaseVerdict};

use service_hold::ServiceHold;

#[cfg(test)]
mod tests;
