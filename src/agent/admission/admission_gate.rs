use serde::Serialize;

use super::{
    AcceptRule, AdmissionVerdict, AgentPhase, CandidatePosition, ConnectionAttempt, TargetLoad,
    verdict_table::VerdictTable,
};
use crate::clock::{ClockMillis, SpanMillis};

/// How long a target warms up before it accepts its full share.
const WARM_UP_MILLIS: u64 = 30_000;
/// The share that a warming target accepts at first, in thousandths.
const INITIAL_SHARE_PERMILLE: u64 = 100;
/// `retry_after` when the last candidate is at its connection limit.
const FULL_RETRY_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// `retry_after` when the last candidate is leaving.
const LEAVING_RETRY_MILLIS: SpanMillis = SpanMillis::new(2_000);

/// Counts of the gate's verdicts since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub(crate) struct AdmissionCounts {
    /// Accepted connections.
    pub(crate) accepted: u64,
    /// Connections passed on to the next candidate.
    pub(crate) passed_on: u64,
    /// Connections refused with a `retry_after`.
    pub(crate) refused: u64,
    /// Verdicts currently in the table.
    pub(crate) remembered: usize,
}

/// Decides whether this agent accepts, passes on or refuses a new connection.
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

    /// Changes the phase.
    pub(crate) fn set_phase(&mut self, phase: AgentPhase) {
        self.phase = phase;
    }

    /// Returns the phase; a target that has warmed up changes to serving.
    pub(crate) fn phase(&mut self, now: ClockMillis) -> AgentPhase {
        if let AgentPhase::Warming { since } = self.phase
            && now.since(since).millis() >= WARM_UP_MILLIS
        {
            self.phase = AgentPhase::Serving;
        }
        self.phase
    }

    /// Returns the verdict counts.
    pub(crate) fn counts(&self) -> AdmissionCounts {
        AdmissionCounts {
            remembered: self.verdicts.len(),
            ..self.counts
        }
    }

    /// Returns the verdict on a first packet that arrives at `now`.
    ///
    /// Every first packet of a connection gets the same verdict, except that
    /// the last candidate never passes on: it accepts or refuses.
    pub(crate) fn admit(
        &mut self,
        attempt: ConnectionAttempt,
        load: TargetLoad,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        if let Some(verdict) = self.verdicts.find(&attempt.cid, now)
            && (verdict != AdmissionVerdict::PassOn
                || attempt.position == CandidatePosition::HasNext)
        {
            return verdict;
        }
        let verdict = self.decide(attempt, load, now);
        self.verdicts.insert(attempt.cid, verdict, now);
        self.count(verdict);
        verdict
    }

    fn decide(
        &mut self,
        attempt: ConnectionAttempt,
        load: TargetLoad,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        let phase = self.phase(now);
        let full = load.connections >= load.connection_limit;
        match attempt.position {
            CandidatePosition::Last if phase == AgentPhase::Leaving => AdmissionVerdict::Refuse {
                retry_after: LEAVING_RETRY_MILLIS,
            },
            CandidatePosition::Last if full => AdmissionVerdict::Refuse {
                retry_after: FULL_RETRY_MILLIS,
            },
            CandidatePosition::Last => AdmissionVerdict::Accept,
            CandidatePosition::HasNext if full => AdmissionVerdict::PassOn,
            CandidatePosition::HasNext => self.decide_with_next(phase, attempt, load, now),
        }
    }

    fn decide_with_next(
        &self,
        phase: AgentPhase,
        attempt: ConnectionAttempt,
        load: TargetLoad,
        now: ClockMillis,
    ) -> AdmissionVerdict {
        let pass_on = match phase {
            AgentPhase::Leaving => true,
            AgentPhase::Warming { since } => {
                attempt.cid.hash_permille() >= warm_up_share_permille(now.since(since))
                    || self.rule.prefers_next(load, attempt.next_load, now)
            }
            AgentPhase::Serving => self.rule.prefers_next(load, attempt.next_load, now),
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

/// Returns the share of connections to accept, in thousandths, `span` into the warm-up.
fn warm_up_share_permille(span: SpanMillis) -> u64 {
    let growth = (1_000 - INITIAL_SHARE_PERMILLE) * span.millis() / WARM_UP_MILLIS;
    (INITIAL_SHARE_PERMILLE + growth).min(1_000)
}
