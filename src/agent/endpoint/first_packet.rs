use std::sync::{Mutex, MutexGuard, PoisonError};

use super::LoadGauge;
use crate::{
    agent::admission::{
        AdmissionGate, AdmissionVerdict, AgentPhase, CandidatePlace, ClientCid, ConnectionOffer,
        PeerLoad,
    },
    clock::ClockMillis,
    key::TargetKey,
    route::TargetChain,
};

/// What becomes of a first packet at this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FirstVerdict {
    /// The endpoint gets it, and accepts or refuses the connection.
    Deliver,
    /// The next candidate gets it.
    PassOn {
        /// The next candidate.
        next: TargetKey,
        /// The candidates after that one.
        rest: TargetChain,
    },
}

/// Applies the admission gate to first packets.
#[derive(Debug)]
pub(super) struct FirstPacketGate {
    gate: Mutex<AdmissionGate>,
}

impl FirstPacketGate {
    /// Wraps the gate for use by several tasks.
    pub(super) fn new(gate: AdmissionGate) -> Self {
        Self {
            gate: Mutex::new(gate),
        }
    }

    /// Returns the gate for a short use.
    pub(super) fn lock(&self) -> MutexGuard<'_, AdmissionGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts another phase in force.
    pub(super) fn set_phase(&self, phase: AgentPhase) {
        self.lock().set_phase(phase);
    }

    /// Returns what becomes of a first packet with the candidates `chain` left.
    pub(super) fn decide(
        &self,
        destination: &[u8],
        chain: TargetChain,
        next_load: Option<PeerLoad>,
        gauge: &LoadGauge,
        now: ClockMillis,
    ) -> FirstVerdict {
        let Some(cid) = ClientCid::new(destination) else {
            return FirstVerdict::Deliver;
        };
        let place = if chain.is_empty() {
            CandidatePlace::Last
        } else {
            CandidatePlace::Followed
        };
        let offer = ConnectionOffer {
            cid,
            place,
            next: next_load,
        };
        let verdict = self.lock().admit(offer, gauge.read(), now);
        match (verdict, chain.split_first()) {
            (AdmissionVerdict::PassOn, Some((next, rest))) => FirstVerdict::PassOn { next, rest },
            _ => FirstVerdict::Deliver,
        }
    }

    /// Returns the verdict on a connection that the endpoint offers.
    pub(super) fn verdict(
        &self,
        destination: &[u8],
        gauge: &LoadGauge,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        let Some(cid) = ClientCid::new(destination) else {
            return AdmissionVerdict::Accept;
        };
        let offer = ConnectionOffer {
            cid,
            place: CandidatePlace::Last,
            next: None,
        };
        self.lock().admit(offer, gauge.read(), now)
    }
}
