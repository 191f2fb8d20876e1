use crate::{
    clock::ClockMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
};

/// A registered run whose lease is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaseClaim {
    /// The target's address.
    pub(crate) target: TargetKey,
    /// The run that is registered there.
    pub(crate) incarnation: IncarnationId,
    /// The service that the target belongs to.
    pub(crate) service: ServiceNumber,
}

/// The lease of one registered run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LeaseRecord {
    /// Whose lease it is.
    pub(crate) claim: LeaseClaim,
    /// The count of grants at which this one was made; it tells records apart.
    pub(crate) grant: u64,
    /// When the run was last heard, or granted a full lease.
    pub(crate) renewed: ClockMillis,
}
