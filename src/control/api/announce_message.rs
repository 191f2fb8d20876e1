use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::{DomainName, FeedRevision, IncarnationId, ServiceNumber, TargetKey},
    route::TargetPhase,
};

/// An agent announces its target; the call `announce`.
///
/// The same incarnation may announce again: the newest phase and weight hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// The service's name in the manifest.
    pub service: String,
    /// The agent's tunnel address.
    pub target: TargetKey,
    /// The run of the agent.
    pub incarnation: IncarnationId,
    /// Where the target runs.
    pub domain: DomainName,
    /// The address at which the agent answers other agents.
    pub peer_address: SocketAddrV4,
    /// The share of new connections; at least 1.
    pub weight: u16,
    /// Whether the target takes new work.
    pub phase: TargetPhase,
}

/// The registration is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReceipt {
    /// The number of the service.
    pub service: ServiceNumber,
    /// The time after which the lease expires without a heartbeat.
    pub lease: SpanMillis,
    /// The revision from which the feed shows the registration.
    pub revision: FeedRevision,
}

/// An agent takes its target out for good; the call `withdraw`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRequest {
    /// The agent's tunnel address.
    pub target: TargetKey,
    /// The run that is to be withdrawn; another run stays registered.
    pub incarnation: IncarnationId,
}
