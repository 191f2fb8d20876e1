use super::{
    GroupId, LogIndex, MemberId, ReplicaCore, TermNumber, VotingStatus, candidate_state::CoreRole,
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::api::ReplicaRole,
};

/// A member as seen by this replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MemberView {
    pub(crate) id: MemberId,
    pub(crate) voting_status: VotingStatus,
    /// The last entry known to be synced on it; zero on a replica that does not lead,
    /// except for itself.
    pub(crate) match_index: LogIndex,
    /// Time since the last contact; only a leader knows it for other members.
    pub(crate) silence: Option<SpanMillis>,
}

/// The state of a replica as shown to the rest of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaView {
    pub(crate) member_id: MemberId,
    /// Its group, if any.
    pub(crate) group: Option<GroupId>,
    /// The latest term seen.
    pub(crate) term: TermNumber,
    pub(crate) role: ReplicaRole,
    /// The leader, if known.
    pub(crate) leader: Option<MemberId>,
    /// The leader to send callers to; none while it is silent.
    pub(crate) trusted_leader: Option<MemberId>,
    /// Time since a leader was last heard, zero on the leader.
    pub(crate) leader_silence: SpanMillis,
    /// The commit index as known here.
    pub(crate) commit: LogIndex,
    /// Index of the last applied entry.
    pub(crate) applied: LogIndex,
    pub(crate) last_index: LogIndex,
    /// Index of the last synced entry.
    pub(crate) durable_index: LogIndex,
    /// Last index included in the latest snapshot, zero without one.
    pub(crate) snapshot_index: LogIndex,
    /// The latest members in the log, committed or not.
    pub(crate) members: Vec<MemberView>,
    /// Whether these members are committed.
    pub(crate) members_committed: bool,
    /// Whether there is a leader and an entry of its term is committed here, so that
    /// nothing acknowledged by earlier leaders is missing.
    pub(crate) caught_up: bool,
}

impl ReplicaCore {
    /// Returns the current state of this replica.
    pub(crate) fn view(&self, now: ClockMillis) -> ReplicaView {
        ReplicaView {
            member_id: self.member_id(),
            group: self.hard_state.group,
            term: self.hard_state.term,
            role: self.public_role(),
            leader: self.leader,
            trusted_leader: self.trusted_leader(now),
            leader_silence: match self.role {
                CoreRole::Leader(_) => SpanMillis::ZERO,
                CoreRole::Follower | CoreRole::Candidate(_) => now.since(self.leader_contact_at),
            },
            commit: self.commit,
            applied: self.applied,
            last_index: self.log.last_index(),
            durable_index: self.disk.durable_index(),
            snapshot_index: self.log.snapshot_index(),
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
                let (match_index, silence) = match &self.role {
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
                    id: member.id,
                    voting_status: member.voting_status,
                    match_index,
                    silence,
                }
            })
            .collect()
    }
}
