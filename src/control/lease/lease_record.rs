use crate::{
    clock::ClockMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
};

/// A registered incarnation, which holds a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaseHolder {
    /// The target's address.
    pub(crate) target: TargetKey,
    /// The incarnation registered at the address.
    pub(crate) incarnation: IncarnationId,
    /// The service that the target belongs to.
    pub(crate) service: ServiceNumber,
}

/// The lease of one registered incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaseRecord {
    /// The incarnation that holds the lease.
    pub(crate) holder: LeaseHolder,
    /// A number unique to this record, since slots are reused.
    pub(crate) generation: u64,
    /// The time of the last heartbeat or grant.
    pub(crate) renewed_at: ClockMillis,
}
