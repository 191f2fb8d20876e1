use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::{DiskId, MemberId, ReplicaId};

/// Whether a member counts towards majorities.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum VotingStatus {
    /// Votes, and its acknowledgements count towards a commit.
    Voter,
    /// Receives the log but counts towards no majority.
    Learner,
}

/// One member of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct GroupMember {
    #[serde(rename = "seat")]
    pub(crate) id: MemberId,
    #[serde(rename = "vote")]
    pub(crate) voting_status: VotingStatus,
}

/// A membership configuration of the group, as set by one log entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(crate) struct GroupMembers {
    members: Vec<GroupMember>,
}

impl GroupMembers {
    /// Creates a group whose members are all voters.
    pub(crate) fn new(member_ids: impl IntoIterator<Item = MemberId>) -> Self {
        let members = member_ids
            .into_iter()
            .map(|id| GroupMember {
                id,
                voting_status: VotingStatus::Voter,
            })
            .collect();
        Self { members }
    }

    /// Returns all members, voters and learners.
    pub(crate) fn list(&self) -> &[GroupMember] {
        &self.members
    }

    /// Returns the member on this data folder.
    pub(crate) fn find(&self, disk: DiskId) -> Option<&GroupMember> {
        self.members.iter().find(|member| member.id.disk == disk)
    }

    /// Returns whether the data folder is a voter.
    pub(crate) fn is_voter(&self, disk: DiskId) -> bool {
        self.find(disk)
            .is_some_and(|member| member.voting_status == VotingStatus::Voter)
    }

    /// Returns the replica's voter on a data folder other than `disk`.
    pub(crate) fn other_voter(&self, replica: ReplicaId, disk: DiskId) -> Option<MemberId> {
        self.voters()
            .find(|member_id| member_id.replica == replica && member_id.disk != disk)
    }

    /// Returns the voters.
    pub(crate) fn voters(&self) -> impl Iterator<Item = MemberId> {
        self.members
            .iter()
            .filter(|member| member.voting_status == VotingStatus::Voter)
            .map(|member| member.id)
    }

    /// Returns the learners.
    pub(crate) fn learners(&self) -> impl Iterator<Item = MemberId> {
        self.members
            .iter()
            .filter(|member| member.voting_status == VotingStatus::Learner)
            .map(|member| member.id)
    }

    /// Returns how many voters that are not `lost` have to agree.
    ///
    /// Any two majorities of an even number of voters have two in common, so that one lost
    /// voter that counted for one of them leaves the other: half of the voters suffice.
    fn quorum_size(&self, lost: &BTreeSet<DiskId>) -> usize {
        let voters = self.voters().count();
        let has_lost = self
            .voters()
            .any(|member_id| lost.contains(&member_id.disk));
        if has_lost && voters.is_multiple_of(2) {
            voters / 2
        } else {
            voters / 2 + 1
        }
    }

    /// Returns whether `is_counted` holds for enough voters that are not `lost`.
    pub(crate) fn has_quorum(
        &self,
        lost: &BTreeSet<DiskId>,
        is_counted: impl Fn(DiskId) -> bool,
    ) -> bool {
        let disks = self.voters().map(|member_id| member_id.disk);
        let counted = disks.filter(|disk| !lost.contains(disk) && is_counted(*disk));
        counted.count() >= self.quorum_size(lost)
    }

    /// Returns the largest value that enough voters that are not `lost` have reached; the
    /// default without them.
    pub(crate) fn quorum_value<T: Ord + Default + Copy>(
        &self,
        lost: &BTreeSet<DiskId>,
        value: impl Fn(DiskId) -> T,
    ) -> T {
        let disks = self.voters().map(|member_id| member_id.disk);
        let mut values: Vec<T> = disks
            .filter(|disk| !lost.contains(disk))
            .map(value)
            .collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        let rank = self.quorum_size(lost) - 1;
        values.get(rank).copied().unwrap_or_default()
    }

    /// Returns whether `is_counted` holds for a majority of the voters.
    pub(crate) fn has_majority(&self, mut is_counted: impl FnMut(DiskId) -> bool) -> bool {
        let voters = self.voters().count();
        let counted = self
            .voters()
            .filter(|member_id| is_counted(member_id.disk))
            .count();
        voters > 0 && counted * 2 > voters
    }

    /// Returns the group with this member added as a learner; it replaces an
    /// earlier learner of the same replica.
    #[must_use]
    pub(crate) fn with_learner(&self, id: MemberId) -> Self {
        let mut members = self.members.clone();
        members.retain(|member| {
            member.voting_status == VotingStatus::Voter || member.id.replica != id.replica
        });
        members.push(GroupMember {
            id,
            voting_status: VotingStatus::Learner,
        });
        Self { members }
    }

    /// Returns the group with the learner on this data folder made a voter.
    #[must_use]
    pub(crate) fn with_voter(&self, disk: DiskId) -> Self {
        self.with_voting_status(disk, VotingStatus::Voter)
    }

    /// Returns the group with the voter on this data folder made a learner.
    #[must_use]
    pub(crate) fn without_vote(&self, disk: DiskId) -> Self {
        self.with_voting_status(disk, VotingStatus::Learner)
    }

    /// Returns the group without the member on this data folder.
    #[must_use]
    pub(crate) fn without(&self, disk: DiskId) -> Self {
        let mut members = self.members.clone();
        members.retain(|member| member.id.disk != disk);
        Self { members }
    }

    fn with_voting_status(&self, disk: DiskId, voting_status: VotingStatus) -> Self {
        let mut members = self.members.clone();
        for member in &mut members {
            if member.id.disk == disk {
                member.voting_status = voting_status;
            }
        }
        Self { members }
    }
}
