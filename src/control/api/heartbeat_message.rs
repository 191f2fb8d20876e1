use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::{IncarnationId, TargetKey},
};

/// Request of the call `heartbeat`: an agent renews its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatRequest {
    /// The agent's tunnel address.
    pub target: TargetKey,
    /// The agent's current run.
    pub incarnation: IncarnationId,
}

/// Reply to `heartbeat`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "lease")]
pub enum HeartbeatReply {
    /// The lease is renewed from now on.
    Renewed {
        /// The time after which the lease expires without a heartbeat.
        span: SpanMillis,
    },
    /// This run is not registered; the agent must announce again.
    Unknown,
}
