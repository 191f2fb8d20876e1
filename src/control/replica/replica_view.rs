use super::{
    GroupId, LogIndex, MemberId, ReplicaCore, TermNumber, VotingStatus, candidate_state::CoreRole,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::api::ReplicaRole,
};

/// What one member looks like from this replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemberView {
    /// The member and its data folder.
    pub(crate) seat: MemberId,
    /// Whether it counts.
    pub(crate) voting_status: VotingStatus,
    /// The last entry that it is known to hold durably.
    pub(crate) held: LogIndex,
    /// The time since it was heard; only a leader knows it.
    pub(crate) silent: Option<SpanMillis>,
}

/// What a dump shows of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaView {
    /// This replica and its data folder.
    pub(crate) seat: MemberId,
    /// The group, once it belongs to one.
    pub(crate) group: Option<GroupId>,
    /// The newest term.
    pub(crate) term: TermNumber,
    /// What it does.
    pub(crate) role: ReplicaRole,
    /// Who leads, if that is known.
    pub(crate) leader: Option<MemberId>,
    /// The last committed entry that is known here.
    pub(crate) commit: LogIndex,
    /// The last applied entry.
    pub(crate) applied: LogIndex,
    /// The last entry.
    pub(crate) last: LogIndex,
    /// The last entry that is synced here.
    pub(crate) durable: LogIndex,
    /// The last entry that the newest snapshot includes.
    pub(crate) snapshot: LogIndex,
    /// The members at the end of the log.
    pub(crate) members: Vec<MemberView>,
    /// Whether these members are committed.
    pub(crate) members_committed: bool,
    /// Whether a leader is heard, or is this replica, and an entry of its term
    /// is committed: nothing accepted by earlier leaders is missing here.
    pub(crate) caught_up: bool,
}

impl ReplicaCore {
    /// Returns what a dump shows of this replica.
    pub(crate) fn view(&self, now: ClockMillis) -> ReplicaView {
        ReplicaView {
            seat: self.member_id(),
            group: self.hard_state.group,
            term: self.hard_state.term,
            role: self.public_role(),
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            last: self.log.last_index(),
            durable: self.disk.durable_index(),
            snapshot: self.log.snapshot_index(),
            members: self.member_views(now),
            members_committed: self.log.members_index() <= self.commit,
            caught_up: self.leader.is_some()
                && self.log.term_at(self.commit) == Some(self.hard_state.term),
        }
    }

    fn public_role(&self) -> ReplicaRole {
        match self.role {
            CoreRole::Leader(_) => ReplicaRole::Leader,
            _ if self.log.members().is_voter(self.hard_state.disk) => ReplicaRole::Follower,
            _ => ReplicaRole::Learner,
        }
    }

    fn member_views(&self, now: ClockMillis) -> Vec<MemberView> {
        let members = self.log.members().list().iter();
        members
            .map(|member| {
                let (held, silent) = match &self.role {
                    _ if member.id.disk == self.hard_state.disk => {
                        (self.disk.durable_index(), Some(SpanMillis::ZERO))
                    }
                    CoreRole::Leader(leader) => leader.progress.get(&member.id.disk).map_or(
                        (LogIndex::ZERO, None),
                        |progress| {
                            (
                                progress.match_index,
                                Some(now.since(progress.last_contact_at)),
                            )
                        },
                    ),
                    _ => (LogIndex::ZERO, None),
                };
                MemberView {
                    seat: member.id,
                    voting_status: member.voting_status,
                    held,
                    silent,
                }
            })
            .collect()
    }
}
