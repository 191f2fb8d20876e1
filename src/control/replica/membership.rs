//! Membership changes, one at a time, each a log entry.
//!
//! A replica with a new data folder joins as a learner. Once it has all committed
//! entries, the data folder that it replaces is removed, then the learner becomes
//! a voter.

use super::{
    DiskId, EntryBody, GroupAdmission, GroupMembers, LogIndex, MemberId, ReplicaCore,
    ReplicaReport, VotingStatus,
    candidate_state::CoreRole,
    leader_state::LeaderState,
    limits::{ELECTION_MAX_MILLIS, VOTER_REMOVAL_MILLIS},
};
use crate::clock::ClockMillis;

/// A membership change.
#[derive(Debug, Clone, Copy)]
enum MemberChange {
    AddLearner(MemberId),
    RemoveVoter(MemberId),
    PromoteLearner(MemberId),
}

impl MemberChange {
    fn apply(self, members: &GroupMembers) -> GroupMembers {
        match self {
            Self::AddLearner(member_id) => members.with_learner(member_id),
            Self::RemoveVoter(member_id) => members.without(member_id.disk),
            Self::PromoteLearner(member_id) => members.with_voter(member_id.disk),
        }
    }
}

impl ReplicaCore {
    /// Appends the next membership change once the last one and this term's no-op
    /// entry are committed.
    pub(super) fn advance_membership(&mut self, now: ClockMillis) {
        self.report_completed_repairs();
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let may_change =
            self.commit >= leader.noop_index && self.log.members_index() <= self.commit;
        if !may_change {
            return;
        }
        if let Some(change) = self.next_change(leader, now) {
            self.change_members(change, now);
        }
    }

    fn next_change(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        if let Some(member_id) = leader.join_requests.first() {
            return Some(MemberChange::AddLearner(*member_id));
        }
        self.next_learner_step(leader, now)
            .or_else(|| self.next_removal(leader, now))
    }

    /// Returns the removal of a silent voter of an open group.
    fn next_removal(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        let GroupAdmission::Open { min_voters, .. } = self.peers.admission else {
            return None;
        };
        let members = self.log.members();
        if members.voters().count() <= min_voters {
            return None;
        }
        members
            .voters()
            .filter(|member_id| {
                leader
                    .progress
                    .get(&member_id.disk)
                    .is_some_and(|progress| {
                        now.since(progress.last_contact_at) >= VOTER_REMOVAL_MILLIS
                    })
            })
            .map(MemberChange::RemoveVoter)
            .find(|change| self.keeps_quorum(leader, *change, now))
    }

    /// Returns the next step towards promoting a learner that has caught up.
    fn next_learner_step(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        let members = self.log.members();
        members
            .list()
            .iter()
            .filter(|member| member.voting_status == VotingStatus::Learner)
            .map(|member| member.id)
            .filter(|member_id| self.holds_committed_log(leader, member_id.disk))
            .map(
                |member_id| match members.other_voter(member_id.replica, member_id.disk) {
                    Some(replaced) => MemberChange::RemoveVoter(replaced),
                    None => MemberChange::PromoteLearner(member_id),
                },
            )
            .find(|change| self.keeps_quorum(leader, *change, now))
    }

    /// Returns whether a member has synced all committed entries.
    fn holds_committed_log(&self, leader: &LeaderState, disk: DiskId) -> bool {
        leader
            .progress
            .get(&disk)
            .is_some_and(|progress| progress.match_index >= self.commit)
    }

    /// Returns whether a majority would still be responsive after a change.
    ///
    /// A responsive voter is never removed, not even for a new data folder.
    fn keeps_quorum(&self, leader: &LeaderState, change: MemberChange, now: ClockMillis) -> bool {
        let own = self.hard_state.disk;
        let is_responsive = |disk: DiskId| {
            disk == own
                || leader.progress.get(&disk).is_some_and(|progress| {
                    now.since(progress.last_contact_at) < ELECTION_MAX_MILLIS
                })
        };
        if let MemberChange::RemoveVoter(member_id) = change
            && is_responsive(member_id.disk)
        {
            return false;
        }
        change.apply(self.log.members()).has_majority(is_responsive)
    }

    fn change_members(&mut self, change: MemberChange, now: ClockMillis) {
        let members = change.apply(self.log.members());
        let index = self.append_entry(EntryBody::Members(members.clone()));
        let own = self.hard_state.disk;
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.update_members(&members, own, index, now);
        match change {
            MemberChange::AddLearner(member_id) => {
                self.report(ReplicaReport::LearnerAdded { member_id });
                self.send_heartbeats(now);
            }
            MemberChange::RemoveVoter(member_id) => {
                self.report(ReplicaReport::VoterRemoved { member_id });
            }
            MemberChange::PromoteLearner(member_id) => {
                leader.pending_promotions.push((member_id, index));
            }
        }
    }

    /// Reports promoted learners that have synced their promotion, so that the group
    /// tolerates the loss of another replica.
    fn report_completed_repairs(&mut self) {
        let commit = self.commit;
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        let progress = &leader.progress;
        let has_synced = |disk: DiskId, index: LogIndex| {
            progress
                .get(&disk)
                .is_some_and(|progress| progress.match_index >= index)
        };
        let completed: Vec<(MemberId, LogIndex)> = leader
            .pending_promotions
            .extract_if(.., |(member_id, index)| {
                *index <= commit && has_synced(member_id.disk, *index)
            })
            .collect();
        for (member_id, _) in completed {
            self.report(ReplicaReport::RepairDone { member_id });
        }
    }
}
