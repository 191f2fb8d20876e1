use std::collections::{BTreeMap, VecDeque};

use super::{
    DiskId, GroupMembers, LogIndex, MemberId, ProposalKey, ReadKey, TermNumber,
    peer_progress::PeerProgress,
};
use crate::clock::ClockMillis;

/// A proposal that waits for its commit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingProposal {
    /// Its place in the log.
    pub(crate) index: LogIndex,
    /// Names it in its answer.
    pub(crate) key: ProposalKey,
    /// Its bytes.
    pub(crate) bytes: usize,
}

/// Who waits for the confirmation of a read.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReadSource {
    /// A client of this replica.
    Local(ReadKey),
    /// A follower.
    Follower {
        /// The follower.
        member_id: MemberId,
        /// The follower's name for the read.
        sequence: u64,
    },
}

/// A read that waits until a majority has answered a heartbeat round.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRead {
    /// The round that confirms it.
    pub(crate) round: u64,
    /// What was committed when it was asked for.
    pub(crate) index: LogIndex,
    /// Who waits.
    pub(crate) source: ReadSource,
}

/// What only a leader keeps.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// The term that it leads.
    pub(crate) term: TermNumber,
    /// Every other member.
    pub(crate) progress: BTreeMap<DiskId, PeerProgress>,
    /// Proposals in the order of the log.
    pub(crate) proposals: VecDeque<PendingProposal>,
    /// The bytes of these proposals.
    pub(crate) pending_bytes: usize,
    /// Reads in the order of their rounds.
    pub(crate) reads: VecDeque<PendingRead>,
    /// The newest heartbeat round that was sent.
    pub(crate) heartbeat_round: u64,
    /// When the next round is due.
    pub(crate) heartbeat_at: ClockMillis,
    /// The empty entry of this term.
    pub(crate) first_index: LogIndex,
    /// Replicas that asked to join.
    pub(crate) join_requests: Vec<MemberId>,
    /// Repaired replicas and the entry that made them count.
    pub(crate) pending_promotions: Vec<(MemberId, LogIndex)>,
}

impl LeaderState {
    /// Creates the state of a leader whose log ends at `last_index`.
    pub(crate) fn new(term: TermNumber, last_index: LogIndex, now: ClockMillis) -> Self {
        Self {
            term,
            progress: BTreeMap::new(),
            proposals: VecDeque::new(),
            pending_bytes: 0,
            reads: VecDeque::new(),
            heartbeat_round: 0,
            heartbeat_at: now,
            first_index: last_index.next(),
            join_requests: Vec::new(),
            pending_promotions: Vec::new(),
        }
    }

    /// Follows a change of the members.
    pub(crate) fn update_members(
        &mut self,
        members: &GroupMembers,
        own: DiskId,
        last_index: LogIndex,
        now: ClockMillis,
    ) {
        self.progress
            .retain(|disk, _| members.find(*disk).is_some());
        for member in members.list() {
            let disk = member.id.disk;
            if disk != own {
                self.progress
                    .entry(disk)
                    .or_insert_with(|| PeerProgress::new(last_index, now));
            }
        }
        self.join_requests
            .retain(|member_id| members.find(member_id.disk).is_none());
    }
}
