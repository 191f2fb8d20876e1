//! Membership: one change at a time, each an entry of the log.
//!
//! A replica with a new data folder joins as a learner. Once it holds all that
//! is committed, the folder that it replaces stops counting, then it counts.

use super::{
    DiskId, EntryBody, GroupAdmission, GroupMembers, LogIndex, MemberVote, ReplicaCore,
    ReplicaReport, ReplicaSeat,
    candidate_state::CoreRole,
    leader_state::LeaderState,
    limits::{ELECTION_MAX_MILLIS, GONE_MILLIS},
};
use crate::clock::ClockMillis;

/// The next change of the members.
#[derive(Debug, Clone, Copy)]
enum MemberChange {
    AddLearner(ReplicaSeat),
    RemoveVoter(ReplicaSeat),
    PromoteLearner(ReplicaSeat),
}

impl MemberChange {
    fn apply(self, members: &GroupMembers) -> GroupMembers {
        match self {
            Self::AddLearner(seat) => members.with_learner(seat),
            Self::RemoveVoter(seat) => members.without(seat.disk),
            Self::PromoteLearner(seat) => members.with_voter(seat.disk),
        }
    }
}

impl ReplicaCore {
    /// Makes the next change of the members, if the last one is committed.
    pub(super) fn advance_membership(&mut self, now: ClockMillis) {
        self.report_repairs();
        let CoreRole::Leader(leader) = &self.role else {
            return;
        };
        let settled = self.commit >= leader.first_index && self.log.members_index() <= self.commit;
        if !settled {
            return;
        }
        if let Some(change) = self.next_change(leader, now) {
            self.change_members(change, now);
        }
    }

    fn next_change(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        if let Some(seat) = leader.joiners.first() {
            return Some(MemberChange::AddLearner(*seat));
        }
        self.learner_change(leader, now)
            .or_else(|| self.removal_change(leader, now))
    }

    /// Returns the removal of a voter that is gone from an open group.
    fn removal_change(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        let GroupAdmission::Open { least_voters, .. } = self.peers.admission else {
            return None;
        };
        let members = self.log.members();
        if members.voters().count() <= least_voters {
            return None;
        }
        members
            .voters()
            .filter(|seat| {
                leader
                    .progress
                    .get(&seat.disk)
                    .is_some_and(|progress| now.since(progress.heard_at) >= GONE_MILLIS)
            })
            .map(MemberChange::RemoveVoter)
            .find(|change| self.keeps_quorum(leader, *change, now))
    }

    /// Returns the next step of a learner that holds everything.
    fn learner_change(&self, leader: &LeaderState, now: ClockMillis) -> Option<MemberChange> {
        let members = self.log.members();
        members
            .list()
            .iter()
            .filter(|member| member.vote == MemberVote::Learner)
            .map(|member| member.seat)
            .filter(|seat| self.holds_all(leader, seat.disk))
            .map(|seat| match members.other_voter(seat.replica, seat.disk) {
                Some(old) => MemberChange::RemoveVoter(old),
                None => MemberChange::PromoteLearner(seat),
            })
            .find(|change| self.keeps_quorum(leader, *change, now))
    }

    /// Returns whether a learner holds durably all that is committed.
    fn holds_all(&self, leader: &LeaderState, disk: DiskId) -> bool {
        leader
            .progress
            .get(&disk)
            .is_some_and(|progress| progress.matched >= self.commit)
    }

    /// Returns whether a majority still answers after a change; a voter that
    /// answers is never removed in favour of another data folder.
    fn keeps_quorum(&self, leader: &LeaderState, change: MemberChange, now: ClockMillis) -> bool {
        let own = self.hard_state.disk;
        let heard = |disk: DiskId| {
            disk == own
                || leader
                    .progress
                    .get(&disk)
                    .is_some_and(|progress| now.since(progress.heard_at) < ELECTION_MAX_MILLIS)
        };
        if let MemberChange::RemoveVoter(seat) = change
            && heard(seat.disk)
        {
            return false;
        }
        change.apply(self.log.members()).has_majority(heard)
    }

    fn change_members(&mut self, change: MemberChange, now: ClockMillis) {
        let members = change.apply(self.log.members());
        let index = self.append_own(EntryBody::Members(members.clone()));
        let own = self.hard_state.disk;
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        leader.sync_members(&members, own, index, now);
        match change {
            MemberChange::AddLearner(seat) => {
                self.report(ReplicaReport::LearnerAdded { seat });
                self.send_round(now);
            }
            MemberChange::RemoveVoter(seat) => self.report(ReplicaReport::VoterRemoved { seat }),
            MemberChange::PromoteLearner(seat) => leader.repairs.push((seat, index)),
        }
    }

    /// Reports the repairs that outlast the loss of another replica.
    fn report_repairs(&mut self) {
        let commit = self.commit;
        let CoreRole::Leader(leader) = &mut self.role else {
            return;
        };
        let progress = &leader.progress;
        let held = |disk: DiskId, index: LogIndex| {
            progress
                .get(&disk)
                .is_some_and(|progress| progress.matched >= index)
        };
        let done: Vec<(ReplicaSeat, LogIndex)> = leader
            .repairs
            .extract_if(.., |(seat, index)| {
                *index <= commit && held(seat.disk, *index)
            })
            .collect();
        for (seat, _) in done {
            self.report(ReplicaReport::RepairDone { seat });
        }
    }
}
