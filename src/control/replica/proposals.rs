//! Proposals: bounded admission, and one answer for each.

use super::{
    EntryBody, EntryPayload, PeerBody, ProposalKey, ProposalOutcome, ReadOutcome, ReplicaAction,
    ReplicaCore,
    candidate_state::CoreRole,
    leader_state::{LeaderState, PendingProposal, ReadSource},
    limits::{MAX_ENTRY_BYTES, MAX_PENDING_BYTES, MAX_PENDING_PROPOSALS},
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Appends a client's change, or refuses it at once.
    pub(super) fn propose(&mut self, key: ProposalKey, payload: EntryPayload, now: ClockMillis) {
        let bytes = payload.bytes().len();
        if let Some(outcome) = self.refusal(bytes, now) {
            self.answer_proposal(key, outcome);
            return;
        }
        let index = self.append_entry(EntryBody::Change(payload));
        if let CoreRole::Leader(leader) = &mut self.role {
            leader.pending_bytes += bytes;
            leader
                .proposals
                .push_back(PendingProposal { index, key, bytes });
        }
    }

    fn refusal(&self, bytes: usize, now: ClockMillis) -> Option<ProposalOutcome> {
        let CoreRole::Leader(leader) = &self.role else {
            return Some(match self.trusted_leader(now) {
                Some(member_id) => ProposalOutcome::NotLeader {
                    leader: member_id.replica,
                },
                None => ProposalOutcome::NoQuorum,
            });
        };
        if bytes > MAX_ENTRY_BYTES {
            return Some(ProposalOutcome::TooLarge);
        }
        let full = leader.proposals.len() >= MAX_PENDING_PROPOSALS
            || leader.pending_bytes + bytes > MAX_PENDING_BYTES;
        full.then_some(ProposalOutcome::Overloaded)
    }

    /// Answers the proposals that have been committed.
    pub(super) fn answer_committed(&mut self) {
        let commit = self.commit;
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        while let Some(proposal) = leader.proposals.front().copied()
            && proposal.index <= commit
        {
            leader.proposals.pop_front();
            leader.pending_bytes -= proposal.bytes;
            self.actions.push(ReplicaAction::AnswerProposal {
                key: proposal.key,
                outcome: ProposalOutcome::Committed {
                    index: proposal.index,
                },
            });
        }
    }

    /// Answers all pending proposals and reads of a leader that has stepped down.
    pub(super) fn fail_pending(&mut self, leader: LeaderState) {
        for proposal in leader.proposals {
            self.answer_proposal(proposal.key, ProposalOutcome::OutcomeUnknown);
        }
        for read in leader.reads {
            match read.source {
                ReadSource::Local(key) => self.answer_read(key, ReadOutcome::Refused),
                ReadSource::Follower {
                    member_id,
                    sequence,
                } => {
                    let index = None;
                    self.send(member_id, PeerBody::ReadIndexResponse { sequence, index });
                }
            }
        }
    }

    fn answer_proposal(&mut self, key: ProposalKey, outcome: ProposalOutcome) {
        self.actions
            .push(ReplicaAction::AnswerProposal { key, outcome });
    }
}
