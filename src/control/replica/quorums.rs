//! Majorities of the group, also with voters whose data folders are known to be lost.
//!
//! Until a change of the members is committed, an open group asks majorities of the members
//! before and after it, so that the majorities of each configuration only have to meet each
//! other. They do if the lost data folders are those that were known when the election of
//! the term began: all votes and acknowledgements of the term come after their loss.

use std::collections::BTreeSet;

use super::{
    DiskId, GroupMembers, LogIndex, MemberId, PeerBody, PeerMessage, ReplicaAction, ReplicaCore,
    candidate_state::CoreRole,
};
use crate::clock::ClockMillis;

impl ReplicaCore {
    /// Returns the members whose majorities are needed.
    fn quorum_members(&self) -> impl Iterator<Item = &GroupMembers> {
        let index = self.log.members_index();
        let is_pending = self.peers.admission.is_open() && index > self.commit;
        let previous = is_pending.then(|| self.log.members_at(index.previous()));
        previous
            .filter(|members| members.voters().next().is_some())
            .into_iter()
            .chain([self.log.members()])
    }

    /// Returns the voters among the members whose majorities are needed.
    pub(super) fn quorum_voters(&self) -> BTreeSet<MemberId> {
        self.quorum_members()
            .flat_map(GroupMembers::voters)
            .collect()
    }

    /// Returns the members that a leader replicates to: the latest ones, and the voters
    /// before them until their removal is committed.
    pub(super) fn tracked_members(&self) -> BTreeSet<MemberId> {
        let mut members = self.quorum_voters();
        members.extend(self.log.members().list().iter().map(|member| member.id));
        members
    }

    /// Returns whether `is_counted` holds for enough voters that are not `lost`.
    pub(super) fn has_quorum(
        &self,
        lost: &BTreeSet<DiskId>,
        is_counted: impl Fn(DiskId) -> bool,
    ) -> bool {
        self.quorum_members()
            .all(|members| members.has_quorum(lost, &is_counted))
    }

    /// Returns the largest value that enough voters have reached in this leader's term.
    pub(super) fn quorum_value<T: Ord + Default + Copy>(&self, value: impl Fn(DiskId) -> T) -> T {
        self.quorum_members()
            .map(|members| members.quorum_value(&self.term_losses, &value))
            .min()
            .unwrap_or_default()
    }

    /// Returns the lost data folders that the next election may leave out: all voters must
    /// be known to use joint quorums.
    pub(super) fn usable_losses(&self) -> BTreeSet<DiskId> {
        let voters = self.quorum_voters();
        if voters
            .iter()
            .all(|voter| self.joint_voters.contains(&voter.disk))
        {
            self.lost_disks.clone()
        } else {
            BTreeSet::new()
        }
    }

    /// Returns the index of the latest members if their voters all use joint quorums, as
    /// this leader or, for the silent ones, an earlier leader has heard.
    pub(super) fn find_joint_members(&self) -> Option<LogIndex> {
        let CoreRole::Leader(leader) = &self.role else {
            return None;
        };
        let uses_joint_quorums = |disk: DiskId| {
            let progress = leader.progress.get(&disk);
            let announced = progress.and_then(|progress| progress.uses_joint_quorums);
            disk == self.hard_state.disk
                || announced.unwrap_or_else(|| self.joint_voters.contains(&disk))
        };
        let mut voters = self.log.members().voters();
        let is_joint = self.peers.admission.is_open()
            && voters.all(|member_id| uses_joint_quorums(member_id.disk));
        is_joint.then(|| self.log.members_index())
    }

    /// Records whether the voters of the members at an index all use joint quorums; up to
    /// `matched` this log is known to equal the leader's.
    pub(super) fn note_joint_members(
        &mut self,
        joint_members: Option<LogIndex>,
        matched: LogIndex,
    ) {
        match joint_members {
            Some(index) if index == self.log.members_index() && index <= matched => {
                let voters = self.log.members().voters();
                self.joint_voters
                    .extend(voters.map(|member_id| member_id.disk));
                let voters = self.quorum_voters();
                self.joint_voters
                    .retain(|disk| voters.iter().any(|voter| voter.disk == *disk));
            }
            // One of the two logs lacks the other's latest change.
            Some(_) => {}
            None => self.joint_voters.clear(),
        }
    }

    /// Answers a candidate that has asked another data folder of this replica for its vote:
    /// that folder is lost.
    pub(super) fn report_lost_disk(&mut self, message: &PeerMessage) {
        let is_foreign = self.hard_state.group.is_some() && self.hard_state.group != message.group;
        let asks_for_vote = matches!(message.body, PeerBody::VoteRequest { .. });
        if !self.peers.admission.is_open() || is_foreign || !asks_for_vote {
            return;
        }
        let mut answer = self.build_message(
            Some(message.from.disk),
            self.hard_state.term,
            PeerBody::JoinRequest,
        );
        answer.tail.lost_disk = message.to;
        self.actions.push(ReplicaAction::Send {
            to: message.from.replica,
            message: answer,
        });
    }

    /// Records that a voter's data folder is lost: its replica runs with another one, and
    /// has been asked for the vote of the former.
    pub(super) fn note_lost_disk(&mut self, message: &PeerMessage, now: ClockMillis) {
        let Some(lost) = message.tail.lost_disk else {
            return;
        };
        let is_voter = self
            .quorum_voters()
            .iter()
            .any(|voter| voter.disk == lost && voter.replica == message.from.replica);
        let is_answer = message.to == Some(self.hard_state.disk) && message.from.disk != lost;
        if !self.peers.admission.is_open() || !is_voter || !is_answer {
            return;
        }
        let voters = self.quorum_voters();
        self.lost_disks
            .retain(|disk| voters.iter().any(|voter| voter.disk == *disk));
        self.lost_disks.insert(lost);
        self.count_votes(now);
    }
}
