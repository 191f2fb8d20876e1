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
        let verdict = self.lock().admit(offer, load_gauge.read(), now);
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
        let offer = ConnectionOffer {
            cid,
            place: CandidatePlace::Last,
            next: None,
        };
        self.lock().admit(offer, load_gauge.read(), now)
    }
}
