use std::net::SocketAddrV4;

use serde::Serialize;

use crate::{
    agent::{
        admission::{AdmissionCounts, AgentPhase, TargetLoad},
        drain::DrainReport,
        endpoint::TunnelTotals,
        relay::RequestCounts,
    },
    key::{FailureDomain, IncarnationId},
};

/// The state of an agent, for a dump.
#[derive(Debug, Clone, Serialize)]
pub struct AgentDump {
    /// The agent's name.
    pub name: String,
    /// The failure domain that it runs in.
    pub domain: FailureDomain,
    /// The name of its service.
    pub service: String,
    /// The service's number.
    pub service_number: u16,
    /// The incarnation of this run.
    pub incarnation: IncarnationId,
    /// The revision of its route table.
    pub revision: u64,
    /// Whether control answers.
    pub control_answers: bool,
    /// Whether it is warming up, serving or leaving.
    pub(crate) phase: AgentPhase,
    /// The current load.
    pub(crate) load: TargetLoad,
    /// The progress of the drain; `None` once the drain actor is gone.
    pub(crate) drain: Option<DrainReport>,
    /// Counts of slots, queue, claims, streams, tickets and retries.
    pub(crate) requests: RequestCounts,
    /// Counts of the admission gate.
    pub(crate) admission: AdmissionCounts,
    /// The balancers used for answers, and whether each path is usable.
    pub balancers: Vec<(SocketAddrV4, bool)>,
    /// Totals of the tunnel's counters.
    pub(crate) tunnel: TunnelTotals,
}
