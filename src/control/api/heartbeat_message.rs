use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::{IncarnationId, TargetKey},
};

/// An agent renews its lease; the call `heartbeat`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeartbeatRequest {
    /// The agent's tunnel address.
    pub target: TargetKey,
    /// The run of the agent.
    pub incarnation: IncarnationId,
}

/// What became of the renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "lease")]
pub enum HeartbeatReceipt {
    /// The lease runs again from now.
    Renewed {
        /// The time after which it expires without a heartbeat.
        span: SpanMillis,
    },
    /// The registration is gone; announce again.
    Unknown,
}
