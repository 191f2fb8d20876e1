use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use crate::{
    clock::SpanMillis,
    key::{FailureDomain, FeedRevision, IncarnationId, ServiceNumber, TargetKey},
    route::TargetPhase,
};

/// Request of the call `announce`: an agent registers its target.
///
/// The same incarnation may announce again; the latest phase and weight apply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AnnounceRequest {
    /// The service's name in the manifest.
    pub service: String,
    /// The agent's tunnel address.
    pub target: TargetKey,
    /// The agent's current run.
    pub incarnation: IncarnationId,
    /// The region and failure domain that the target runs in.
    pub domain: FailureDomain,
    /// The address on which the agent serves other agents.
    pub peer_address: SocketAddrV4,
    /// The target's relative share of new connections; at least 1.
    pub weight: u16,
    /// Whether the target accepts new work.
    pub phase: TargetPhase,
}

/// Reply to `announce`; the registration is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// The number of the service.
    pub service: ServiceNumber,
    /// The time after which the lease expires without a heartbeat.
    pub lease: SpanMillis,
    /// The first feed revision that contains the registration.
    pub revision: FeedRevision,
}

/// Request of the call `withdraw`: an agent deregisters its target for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WithdrawRequest {
    /// The agent's tunnel address.
    pub target: TargetKey,
    /// The run to deregister; a registration by another run stays.
    pub incarnation: IncarnationId,
}
