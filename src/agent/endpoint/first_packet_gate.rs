use std::sync::{Mutex, MutexGuard, PoisonError};

use super::LoadGauge;
use crate::{
    agent::admission::{
        AdmissionGate, AdmissionVerdict, AgentPhase, CandidatePosition, ClientCid,
        ConnectionAttempt, PeerLoad,
    },
    clock::ClockMillis,
    key::TargetKey,
    route::TargetChain,
};

/// The decision on a first packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstPacketVerdict {
    /// Deliver it to the endpoint, which accepts or refuses the connection.
    Deliver,
    /// Pass it on to the next candidate.
    PassOn {
        /// The next candidate.
        next: TargetKey,
        /// The candidates after that one.
        rest: TargetChain,
    },
}

/// Applies the admission gate to first packets; shared by several tasks.
#[derive(Debug)]
pub(super) struct FirstPacketGate {
    gate: Mutex<AdmissionGate>,
}

impl FirstPacketGate {
    /// Wraps the admission gate.
    pub(super) fn new(gate: AdmissionGate) -> Self {
        Self {
            gate: Mutex::new(gate),
        }
    }

    /// Locks the admission gate.
    pub(super) fn lock(&self) -> MutexGuard<'_, AdmissionGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the phase of the agent.
    pub(super) fn set_phase(&self, phase: AgentPhase) {
        self.lock().set_phase(phase);
    }

    /// Decides on a first packet; `chain` holds the candidates after this agent.
    pub(super) fn decide(
        &self,
        destination: &[u8],
        chain: TargetChain,
        next_load: Option<PeerLoad>,
        load_gauge: &LoadGauge,
        now: ClockMillis,
    ) -> FirstPacketVerdict {
        let Some(cid) = ClientCid::new(destination) else {
            return FirstPacketVerdict::Deliver;
        };
        let position = if chain.is_empty() {
            CandidatePosition::Last
        } else {
            CandidatePosition::HasNext
        };
        let attempt = ConnectionAttempt {
            cid,
            position,
            next_load,
        };
        let verdict = self.lock().admit(attempt, load_gauge.read(), now);
        match (verdict, chain.split_first()) {
            (AdmissionVerdict::PassOn, Some((next, rest))) => {
                FirstPacketVerdict::PassOn { next, rest }
            }
            _ => FirstPacketVerdict::Deliver,
        }
    }

    /// Returns the verdict on a connection attempt at the endpoint.
    pub(super) fn verdict(
        &self,
        destination: &[u8],
        load_gauge: &LoadGauge,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        let Some(cid) = ClientCid::new(destination) else {
            return AdmissionVerdict::Accept;
        };
        let attempt = ConnectionAttempt {
            cid,
            position: CandidatePosition::Last,
            next_load: None,
        };
        self.lock().admit(attempt, load_gauge.read(), now)
    }
}
