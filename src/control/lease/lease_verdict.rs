use kameo::Reply;

use crate::{
    clock::SpanMillis,
    key::{IncarnationId, ServiceNumber, TargetKey},
};

/// Leases of a service that are kept though they ran out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct HoldReport {
    /// The service.
    pub(crate) service: ServiceNumber,
    /// Its targets that are silent.
    pub(crate) silent: usize,
    /// All its targets.
    pub(crate) targets: usize,
    /// The time until this is decided again.
    pub(crate) hold: SpanMillis,
}

/// What is to be done about leases that ran out.
#[derive(Debug, Clone, PartialEq, Eq, Default, Reply)]
pub(crate) struct LeaseVerdict {
    /// The runs to expire, by a committed command.
    pub(crate) expired: Vec<(TargetKey, IncarnationId)>,
    /// The services whose silent targets are kept from now on.
    pub(crate) held: Vec<HoldReport>,
}
