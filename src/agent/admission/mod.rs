//! Admission of new connections: accept, pass on or refuse.

mod accept_rule;
mod admission_gate;
mod admission_verdict;
mod agent_phase;
mod connection_attempt;
mod verdict_table;

pub(crate) use accept_rule::AcceptRule;
pub(crate) use admission_gate::{AdmissionCounts, AdmissionGate};
pub(crate) use admission_verdict::AdmissionVerdict;
pub(crate) use agent_phase::AgentPhase;
pub(crate) use connection_attempt::{
    CandidatePosition, ClientCid, ConnectionAttempt, PeerLoad, TargetLoad,
};

#[cfg(test)]
mod tests;
