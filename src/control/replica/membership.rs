//! Membership changes, one at a time, each a log entry.
//!
//! A replica with a new data folder joins as a learner. Once it has all committed
//! entries, the data folder that it replaces is removed, then the learner becomes
//! a voter. In an open group a replica that stops gives up its vote first, and silent
//! members are removed.

use super::{
    DiskId, EntryBody, GroupAdmission, GroupMembers, LogIndex, MemberId, ReplicaCore,
    ReplicaReport,
    candidate_state::CoreRole,
    leader_state::LeaderState,
    limits::{ELECTION_MAX_MILLIS, SILENT_REMOVAL_MILLIS},
};
use crate::clock::ClockMillis;

/// A membership change.
#[derive(Debug, Clone, Copy)]
enum MemberChange {
    AddLearner(MemberId),
    RemoveVoter(MemberId),
    RemoveLearner(MemberId),
    PromoteLearner(MemberId),
    DemoteVoter(MemberId),
}

impl MemberChange {
    fn member_id(self) -> MemberId {
        match self {
            Self::AddLearner(member_id)
            | Self::RemoveVoter(member_id)
            | Self::RemoveLearner(member_id)
            | Self::PromoteLearner(member_id)
            | Self::DemoteVoter(member_id) => member_id,
        }
    }

    fn apply(self, members: &GroupMembers) -> GroupMembers {
        match self {
            Self::AddLearner(member_id) => members.with_learner(member_id),
            Self::RemoveVoter(member_id) | Self::RemoveLearner(member_id) => {
                members.without(member_id.disk)
            }
            Self::PromoteLearner(member_id) => members.with_voter(member_id.disk),
            Self::DemoteVoter(member_id) => members.without_vote(member_id.disk),
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
        if let Some(change) = self.next_demotion(leader, now) {
            return Some(change);
        }
        if let Some(member_id) = leader.join_requests.first() {
            return Some(MemberChange::AddLearner(*member_id));
        }
        self.next_learner_step(leader, now)
            .or_else(|| self.next_removal(leader, now))
    }

    /// Returns the voters that an open group can do without.
    fn spare_voters(&self) -> impl Iterator<Item = MemberId> {
        let members = self.log.members();
        let has_spare = match self.peers.admission {
            GroupAdmission::Listed => false,
            GroupAdmission::Open { min_voters } => members.voters().count() > min_voters,
        };
        members.voters().filter(move |_| has_spare)
    }

    /// Returns the demotion of a voter of an open group that has announced its stop.
    ///
    /// Left as a voter it would count towards majorities for as long as it takes to call
    /// it silent, while other members stop as well. As a learner it still receives the log,
    /// and is promoted again if it only restarts.
    fn next_demotion(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        let is_stopping = |member_id: &MemberId| {
            let progress = leader.progress.get(&member_id.disk);
            progress.is_some_and(|progress| progress.is_stopping)
        };
        self.spare_voters()
            .filter(is_stopping)
            .map(MemberChange::DemoteVoter)
            .find(|change| self.keeps_quorum(leader, *change, now))
    }

    /// Returns the removal of a silent member of an open group.
    fn next_removal(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        let is_silent = |member_id: &MemberId| {
            let progress = leader.progress.get(&member_id.disk);
            progress.is_some_and(|progress| {
                now.since(progress.last_contact_at) >= SILENT_REMOVAL_MILLIS
            })
        };
        let voters = self.spare_voters().map(MemberChange::RemoveVoter);
        let learners = self.log.members().learners();
        let learners = learners
            .filter(|_| self.peers.admission.is_open())
            .map(MemberChange::RemoveLearner);
        voters
            .chain(learners)
            .filter(|change| is_silent(&change.member_id()))
            .find(|change| self.keeps_quorum(leader, *change, now))
    }

    /// Returns the next step towards promoting a learner that has caught up.
    fn next_learner_step(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        let members = self.log.members();
        let has_lost_voter = members
            .voters()
            .any(|member_id| self.term_losses.contains(&member_id.disk));
        members
            .learners()
            .filter(|member_id| self.is_promotable(leader, *member_id, now))
            .map(
                |member_id| match members.other_voter(member_id.replica, member_id.disk) {
                    Some(replaced) => MemberChange::RemoveVoter(replaced),
                    None => MemberChange::PromoteLearner(member_id),
                },
            )
            // While a lost voter counts, no other one is added: it may use other quorums.
            .filter(|change| !has_lost_voter || matches!(change, MemberChange::RemoveVoter(_)))
            .find(|change| self.keeps_quorum(leader, *change, now))
    }

    /// Returns whether a learner has caught up and stays: a silent one may have stopped
    /// after its last acknowledgement.
    fn is_promotable(&self, leader: &LeaderState, member_id: MemberId, now: ClockMillis) -> bool {
        let disk = member_id.disk;
        let is_stopping = leader
            .progress
            .get(&disk)
            .is_some_and(|progress| progress.is_stopping);
        !is_stopping
            && self.is_responsive(leader, disk, now)
            && self.holds_committed_log(leader, disk)
    }

    /// Returns whether a member has synced all committed entries.
    fn holds_committed_log(&self, leader: &LeaderState, disk: DiskId) -> bool {
        if disk == self.hard_state.disk {
            return self.disk.durable_index() >= self.commit;
        }
        leader
            .progress
            .get(&disk)
            .is_some_and(|progress| progress.match_index >= self.commit)
    }

    /// Returns whether a majority would still be responsive after a change.
    ///
    /// A responsive voter is never removed, not even for a new data folder.
    fn keeps_quorum(&self, leader: &LeaderState, change: MemberChange, now: ClockMillis) -> bool {
        let is_responsive = |disk| self.is_responsive(leader, disk, now);
        let lost = &self.term_losses;
        if !self.has_quorum(lost, is_responsive) {
            return false;
        }
        let remaining = change.apply(self.log.members());
        match change {
            MemberChange::RemoveVoter(member_id) if is_responsive(member_id.disk) => false,
            // The others then hold every acknowledged change without it.
            MemberChange::DemoteVoter(_) => remaining.has_quorum(lost, |disk| {
                is_responsive(disk) && self.holds_committed_log(leader, disk)
            }),
            MemberChange::AddLearner(_)
            | MemberChange::RemoveVoter(_)
            | MemberChange::RemoveLearner(_)
            | MemberChange::PromoteLearner(_) => remaining.has_quorum(lost, is_responsive),
        }
    }

    /// Returns whether this replica, the leader, has heard a member lately or is it.
    pub(super) fn is_responsive(
        &self,
        leader: &LeaderState,
        disk: DiskId,
        now: ClockMillis,
    ) -> bool {
        disk == self.hard_state.disk
            || leader
                .progress
                .get(&disk)
                .is_some_and(|progress| now.since(progress.last_contact_at) < ELECTION_MAX_MILLIS)
    }

    fn change_members(&mut self, change: MemberChange, now: ClockMillis) {
        let members = change.apply(self.log.members());
        let index = self.append_entry(EntryBody::Members(members));
        let own = self.hard_state.disk;
        let tracked = self.tracked_members();
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.update_members(&tracked, own, index, now);
        match change {
            MemberChange::AddLearner(member_id) => {
                self.report(ReplicaReport::LearnerAdded { member_id });
                self.send_heartbeats(now);
            }
            MemberChange::RemoveVoter(member_id) => {
                self.report(ReplicaReport::VoterRemoved { member_id });
            }
            MemberChange::RemoveLearner(member_id) => {
                self.report(ReplicaReport::LearnerRemoved { member_id });
            }
            MemberChange::DemoteVoter(member_id) => {
                self.report(ReplicaReport::VoterDemoted { member_id });
            }
            MemberChange::PromoteLearner(member_id) => {
                leader.pending_promotions.push((member_id, index));
            }
        }
    }

    /// Reports promoted learners that have synced their promotion, once so many voters have
    /// that the group tolerates the loss of another replica.
    fn report_completed_repairs(&mut self) {
        let commit = self.commit;
        let own = (self.hard_state.disk, self.disk.durable_index());
        let voters: Vec<DiskId> = self.log.members().voters().map(|id| id.disk).collect();
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        let progress = &leader.progress;
        let has_synced = |disk: DiskId, index: LogIndex| {
            (disk == own.0 && own.1 >= index)
                || progress
                    .get(&disk)
                    .is_some_and(|progress| progress.match_index >= index)
        };
        let tolerates_loss = |index: LogIndex| {
            let holders = voters.iter().filter(|disk| has_synced(**disk, index));
            let holders = holders.count();
            holders == voters.len() || holders > voters.len() / 2 + 1
        };
        let completed: Vec<(MemberId, LogIndex)> = leader
            .pending_promotions
            .extract_if(.., |(member_id, index)| {
                *index <= commit && has_synced(member_id.disk, *index) && tolerates_loss(*index)
            })
            .collect();
        for (member_id, _) in completed {
            self.report(ReplicaReport::RepairDone { member_id });
        }
    }
}
