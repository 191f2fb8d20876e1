use rand::{Rng, rngs::StdRng};

use super::{
    FormationBody,
    ballot_number::BallotNumber,
    ballot_quorum::{BallotQuorum, SeedView},
    formation_limits::{BALLOT_MILLIS, MAX_BACKOFF_MILLIS, MAX_ROUND_STEP, RANK_DELAY_MILLIS},
    group_proposal::GroupProposal,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::replica::{GroupId, MemberId, ReplicaId},
};

/// A proposal that a seed accepted, with its ballot.
type AcceptedProposal = Option<(BallotNumber, GroupProposal)>;

/// The stage of a proposer.
#[derive(Debug)]
enum ProposerStage {
    /// It proposes at `due_at`, `None` while there is nothing to propose.
    Idle { due_at: Option<ClockMillis> },
    /// Phase 1 of Paxos.
    Preparing {
        founders: Vec<MemberId>,
        promises: BallotQuorum<AcceptedProposal>,
    },
    /// Phase 2 of Paxos.
    Accepting {
        proposal: GroupProposal,
        acceptances: BallotQuorum<()>,
    },
}

/// A proposer of Paxos on a seed.
#[derive(Debug)]
pub(crate) struct SeedProposer {
    own: ReplicaId,
    run: u64,
    seeds: usize,
    /// How many seeds propose before this one.
    rank: usize,
    /// The current ballot or the last one.
    ballot: BallotNumber,
    ballot_until: ClockMillis,
    /// The highest round of any ballot seen.
    highest_round: u64,
    stage: ProposerStage,
}

impl SeedProposer {
    /// Creates the proposer of one of the sorted `seeds`; `run` is a random number of
    /// this process.
    pub(crate) fn new(own: ReplicaId, run: u64, seeds: &[ReplicaId]) -> Self {
        Self {
            own,
            run,
            seeds: seeds.len(),
            rank: seeds.iter().filter(|seed| **seed < own).count(),
            ballot: BallotNumber {
                round: 0,
                proposer: own,
                run,
            },
            ballot_until: ClockMillis::ORIGIN,
            highest_round: 0,
            stage: ProposerStage::Idle { due_at: None },
        }
    }

    /// Starts a ballot if one is due; `founders` are those to propose, and empty if only
    /// a proposal that was accepted is to be completed. Returns the message for all seeds.
    pub(crate) fn tick(
        &mut self,
        founders: Option<Vec<MemberId>>,
        rng: &mut StdRng,
        now: ClockMillis,
    ) -> Option<FormationBody> {
        match &self.stage {
            ProposerStage::Idle { due_at: None } => {
                founders?;
                let rank = u64::try_from(self.rank).unwrap_or(u64::MAX);
                let delay = RANK_DELAY_MILLIS.saturating_mul(rank);
                let due_at = Some(now.after(delay));
                self.stage = ProposerStage::Idle { due_at };
                None
            }
            ProposerStage::Idle {
                due_at: Some(due_at),
            } => {
                if now < *due_at {
                    return None;
                }
                let Some(founders) = founders else {
                    self.stage = ProposerStage::Idle { due_at: None };
                    return None;
                };
                Some(self.prepare(founders, now))
            }
            ProposerStage::Preparing { .. } | ProposerStage::Accepting { .. } => {
                if now >= self.ballot_until {
                    self.retreat(rng, now);
                }
                None
            }
        }
    }

    fn prepare(&mut self, founders: Vec<MemberId>, now: ClockMillis) -> FormationBody {
        self.highest_round = self.highest_round.saturating_add(1);
        self.ballot = BallotNumber {
            round: self.highest_round,
            proposer: self.own,
            run: self.run,
        };
        self.ballot_until = now.after(BALLOT_MILLIS);
        self.stage = ProposerStage::Preparing {
            founders,
            promises: BallotQuorum::new(self.seeds),
        };
        FormationBody::Prepare {
            ballot: self.ballot,
        }
    }

    /// Gives up the current ballot for a random time, so that another seed's can succeed.
    fn retreat(&mut self, rng: &mut StdRng, now: ClockMillis) {
        let pause = SpanMillis::new(rng.random_range(0..=MAX_BACKOFF_MILLIS.millis()));
        let due_at = Some(now.after(pause));
        self.stage = ProposerStage::Idle { due_at };
    }

    /// Handles `Promise`; returns the message for all seeds that follows.
    pub(crate) fn note_promise(
        &mut self,
        from: ReplicaId,
        ballot: BallotNumber,
        view: SeedView,
        accepted: AcceptedProposal,
        rng: &mut StdRng,
    ) -> Option<FormationBody> {
        let ProposerStage::Preparing { founders, promises } = &mut self.stage else {
            return None;
        };
        if ballot != self.ballot {
            return None;
        }
        promises.insert(from, view, accepted);
        let decided = promises.decided()?;
        let newest = decided
            .into_iter()
            .flatten()
            .max_by_key(|(ballot, _)| *ballot);
        let proposal = match newest {
            Some((_, proposal)) => proposal.clone(),
            None if founders.is_empty() => return None,
            None => GroupProposal {
                group: GroupId::new(rng.random()),
                founders: std::mem::take(founders),
            },
        };
        self.stage = ProposerStage::Accepting {
            proposal: proposal.clone(),
            acceptances: BallotQuorum::new(self.seeds),
        };
        Some(FormationBody::Accept { ballot, proposal })
    }

    /// Handles `Accepted`; returns the proposal once the seeds have agreed on it.
    pub(crate) fn note_accepted(
        &mut self,
        from: ReplicaId,
        ballot: BallotNumber,
        view: SeedView,
    ) -> Option<GroupProposal> {
        let ProposerStage::Accepting {
            proposal,
            acceptances,
        } = &mut self.stage
        else {
            return None;
        };
        if ballot != self.ballot {
            return None;
        }
        acceptances.insert(from, view, ());
        acceptances.decided()?;
        Some(proposal.clone())
    }

    /// Handles `Rejected`: gives up the ballot.
    pub(crate) fn note_rejected(
        &mut self,
        ballot: BallotNumber,
        promised: BallotNumber,
        rng: &mut StdRng,
        now: ClockMillis,
    ) {
        if !self.note_round(promised.round) {
            // The other seeds may promise what this one refuses for good.
            return;
        }
        let is_running = !matches!(self.stage, ProposerStage::Idle { .. });
        if ballot == self.ballot && is_running {
            self.retreat(rng, now);
        }
    }

    /// Notes the round of another ballot, so that the next one of this seed is higher;
    /// returns false and ignores it if it can't be true.
    pub(crate) fn note_round(&mut self, round: u64) -> bool {
        let is_possible = round <= self.highest_round.saturating_add(MAX_ROUND_STEP);
        if is_possible {
            self.highest_round = self.highest_round.max(round);
        }
        is_possible
    }
}
