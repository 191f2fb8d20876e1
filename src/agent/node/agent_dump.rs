use std::net::SocketAddrV4;

use serde::Serialize;

use crate::{
    agent::{
        admission::{AdmissionCounts, AgentPhase, TargetLoad},
        drain::DrainReport,
        endpoint::TunnelTotals,
        relay::RequestCounts,
    },
    key::{DomainName, IncarnationId},
};

/// The whole state of an agent, for a dump.
#[derive(Debug, Clone, Serialize)]
pub struct AgentDump {
    /// The agent's name.
    pub name: String,
    /// Where it runs.
    pub domain: DomainName,
    /// The service of its upstream.
    pub service: String,
    /// The number of that service.
    pub service_number: u16,
    /// This run of the agent.
    pub incarnation: IncarnationId,
    /// The revision of its routes.
    pub revision: u64,
    /// Whether control answers.
    pub control_answers: bool,
    /// Whether it takes new work.
    pub(crate) phase: AgentPhase,
    /// How much it has to do.
    pub(crate) load: TargetLoad,
    /// How far a planned stop has come.
    pub(crate) drain: Option<DrainReport>,
    /// Slots, queue, tickets and retries.
    pub(crate) requests: RequestCounts,
    /// How new connections were decided on.
    pub(crate) admission: AdmissionCounts,
    /// The balancers that answers go by, with whether each answers.
    pub balancers: Vec<(SocketAddrV4, bool)>,
    /// What the tunnel has counted.
    pub(crate) tunnel: TunnelTotals,
}
