use kameo::Reply;

use crate::{
    clock::SpanMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
};

/// A service whose leases are kept past their deadline because more than half of its
/// targets are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HoldReport {
    /// The service.
    pub(crate) service: ServiceNumber,
    /// The number of its silent targets.
    pub(crate) silent: usize,
    /// The number of all its targets.
    pub(crate) targets: usize,
    /// The time until the leases are decided again.
    pub(crate) hold: SpanMillis,
}

/// What to do about leases that are past their deadline.
#[derive(Debug, Clone, PartialEq, Eq, Default, Reply)]
pub(crate) struct ExpiryDecision {
    /// The incarnations to expire with a committed command.
    pub(crate) expired: Vec<(TargetKey, IncarnationId)>,
    /// The services for which a hold starts or is renewed now.
    pub(crate) held: Vec<HoldReport>,
}
