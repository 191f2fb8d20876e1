//! Whether a new connection is accepted, passed on or refused.

mod accept_rule;
mod admission_gate;
mod admission_verdict;
mod agent_phase;
mod connection_offer;
mod verdict_table;

pub(crate) use accept_rule::AcceptRule;
pub(crate) use admission_gate::{AdmissionCounts, AdmissionGate};
pub(crate) use admission_verdict::AdmissionVerdict;
pub(crate) use agent_phase::AgentPhase;
pub(crate) use connection_offer::{
    CandidatePlace, ClientCid, ConnectionOffer, PeerLoad, TargetLoad,
};

#[cfg(test)]
mod tests;
