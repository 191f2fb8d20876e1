use crate::key::{IncarnationId, ServiceNumber, TargetKey};

/// The identity of this agent as encoded in its connection IDs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetIdentity {
    /// The service of the upstream.
    pub(crate) service: ServiceNumber,
    /// The agent's tunnel address.
    pub(crate) target: TargetKey,
    /// This run of the agent.
    pub(crate) incarnation: IncarnationId,
}
