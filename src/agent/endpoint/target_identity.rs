use crate::key::{IncarnationId, ServiceNumber, TargetKey};

/// Who this agent is, as its connection IDs say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetIdentity {
    /// The service of the upstream.
    pub(crate) service: ServiceNumber,
    /// The agent's tunnel address.
    pub(crate) target: TargetKey,
    /// This run of the agent.
    pub(crate) incarnation: IncarnationId,
}
