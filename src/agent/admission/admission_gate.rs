use serde::Serialize;

use super::{
    AcceptRule, AdmissionVerdict, AgentPhase, CandidatePlace, ConnectionOffer, TargetLoad,
    verdict_table::VerdictTable,
};
use crate::clock::{ClockMillis, SpanMillis};

/// How long a target takes to reach its full share.
const WARMING_MILLIS: u64 = 30_000;
/// The share that a target takes at first, in thousandths.
const FIRST_SHARE_PERMILLE: u64 = 100;
/// When a caller should come back that found no room.
const FULL_RETRY_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// When a caller should come back that found only leaving targets.
const LEAVING_RETRY_MILLIS: SpanMillis = SpanMillis::new(2_000);

/// How the gate has decided since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub(crate) struct AdmissionCounts {
    /// Connections that were accepted.
    pub(crate) accepted: u64,
    /// Connections that went to the next candidate.
    pub(crate) passed_on: u64,
    /// Connections that were told to come back later.
    pub(crate) refused: u64,
    /// Verdicts that are remembered.
    pub(crate) remembered: usize,
}

/// Decides whether this agent takes a new connection or passes it on.
#[derive(Debug)]
pub(crate) struct AdmissionGate {
    rule: AcceptRule,
    phase: AgentPhase,
    verdicts: VerdictTable,
    counts: AdmissionCounts,
}

impl AdmissionGate {
    /// Creates a gate in the given phase.
    pub(crate) fn new(rule: AcceptRule, phase: AgentPhase) -> Self {
        Self {
            rule,
            phase,
            verdicts: VerdictTable::default(),
            counts: AdmissionCounts::default(),
        }
    }

    /// Puts another phase in force.
    pub(crate) fn set_phase(&mut self, phase: AgentPhase) {
        self.phase = phase;
    }

    /// Returns the phase in force; a warming target serves once it is warm.
    pub(crate) fn phase(&mut self, now: ClockMillis) -> AgentPhase {
        if let AgentPhase::Warming { since } = self.phase
            && now.since(since).millis() >= WARMING_MILLIS
        {
            self.phase = AgentPhase::Serving;
        }
        self.phase
    }

    /// Returns how the gate has decided.
    pub(crate) fn counts(&self) -> AdmissionCounts {
        AdmissionCounts {
            remembered: self.verdicts.len(),
            ..self.counts
        }
    }

    /// Returns the verdict on a first packet that arrives at `now`.
    ///
    /// Every first packet of a connection meets the same verdict, but that the
    /// last candidate of a chain never passes on: it accepts or refuses.
    pub(crate) fn admit(
        &mut self,
        offer: ConnectionOffer,
        load: TargetLoad,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        if let Some(verdict) = self.verdicts.find(&offer.cid, now)
            && (verdict != AdmissionVerdict::PassOn || offer.place == CandidatePlace::Followed)
        {
            return verdict;
        }
        let verdict = self.decide(offer, load, now);
        self.verdicts.remember(offer.cid, verdict, now);
        self.count(verdict);
        verdict
    }

    fn decide(
        &mut self,
        offer: ConnectionOffer,
        load: TargetLoad,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        let phase = self.phase(now);
        let full = load.connections >= load.connection_limit;
        match offer.place {
            CandidatePlace::Last if phase == AgentPhase::Leaving => AdmissionVerdict::Refuse {
                retry_after: LEAVING_RETRY_MILLIS,
            },
            CandidatePlace::Last if full => AdmissionVerdict::Refuse {
                retry_after: FULL_RETRY_MILLIS,
            },
            CandidatePlace::Last => AdmissionVerdict::Accept,
            CandidatePlace::Followed if full => AdmissionVerdict::PassOn,
            CandidatePlace::Followed => self.decide_followed(phase, offer, load, now),
        }
    }

    fn decide_followed(
        &self,
        phase: AgentPhase,
        offer: ConnectionOffer,
        load: TargetLoad,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        let pass_on = match phase {
            AgentPhase::Leaving => true,
            AgentPhase::Warming { since } => {
                offer.cid.draw_permille() >= warming_share(now.since(since))
                    || self.rule.prefers_next(load, offer.next, now)
            }
            AgentPhase::Serving => self.rule.prefers_next(load, offer.next, now),
        };
        if pass_on {
            AdmissionVerdict::PassOn
        } else {
            AdmissionVerdict::Accept
        }
    }

    fn count(&mut self, verdict: AdmissionVerdict) {
        match verdict {
            AdmissionVerdict::Accept => self.counts.accepted += 1,
            AdmissionVerdict::PassOn => self.counts.passed_on += 1,
            AdmissionVerdict::Refuse { .. } => self.counts.refused += 1,
        }
    }
}

/// Returns the share of connections, in thousandths, after warming for `span`.
fn warming_share(span: SpanMillis) -> u64 {
    let grown = (1_000 - FIRST_SHARE_PERMILLE) * span.millis() / WARMING_MILLIS;
    (FIRST_SHARE_PERMILLE + grown).min(1_000)
}
