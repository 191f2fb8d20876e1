use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::{
    DiskId, LogIndex, MemberId, ProposalKey, ReadKey, TermNumber, peer_progress::PeerProgress,
};
use crate::clock::ClockMillis;

/// A proposal that waits to be committed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingProposal {
    /// Its index in the log.
    pub(crate) index: LogIndex,
    /// Correlates the answer.
    pub(crate) key: ProposalKey,
    /// Size of its payload.
    pub(crate) bytes: usize,
}

/// Where a read came from.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ReadSource {
    /// A client of this replica.
    Local(ReadKey),
    /// A follower.
    Follower {
        /// The follower.
        member_id: MemberId,
        /// The follower's number of the request.
        sequence: u64,
    },
}

/// A read that waits until a majority answers a heartbeat round.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRead {
    /// The round that confirms it.
    pub(crate) round: u64,
    /// The read index: the commit index when the read was requested.
    pub(crate) index: LogIndex,
    pub(crate) source: ReadSource,
}

/// State that only a leader has.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) term: TermNumber,
    /// The replication state of every other member.
    pub(crate) progress: BTreeMap<DiskId, PeerProgress>,
    /// Proposals in log order.
    pub(crate) proposals: VecDeque<PendingProposal>,
    /// Size of the payloads of `proposals`.
    pub(crate) pending_bytes: usize,
    /// Reads in the order of their heartbeat rounds.
    pub(crate) reads: VecDeque<PendingRead>,
    /// The latest heartbeat round that was sent.
    pub(crate) heartbeat_round: u64,
    /// When the next heartbeat is due.
    pub(crate) heartbeat_at: ClockMillis,
    /// Index of the no-op entry that starts this term.
    pub(crate) noop_index: LogIndex,
    /// Replicas that requested to join.
    pub(crate) join_requests: Vec<MemberId>,
    /// Learners that were made voters, and the index of the entry that did so.
    pub(crate) pending_promotions: Vec<(MemberId, LogIndex)>,
}

impl LeaderState {
    /// Creates the state of a new leader whose log ends at `last_index`.
    pub(crate) fn new(term: TermNumber, last_index: LogIndex, now: ClockMillis) -> Self {
        Self {
            term,
            progress: BTreeMap::new(),
            proposals: VecDeque::new(),
            pending_bytes: 0,
            reads: VecDeque::new(),
            heartbeat_round: 0,
            heartbeat_at: now,
            noop_index: last_index.next(),
            join_requests: Vec::new(),
            pending_promotions: Vec::new(),
        }
    }

    /// Tracks these members besides this replica, and forgets all others.
    pub(crate) fn update_members(
        &mut self,
        members: &BTreeSet<MemberId>,
        own: DiskId,
        last_index: LogIndex,
        now: ClockMillis,
    ) {
        let disks: BTreeSet<DiskId> = members.iter().map(|member_id| member_id.disk).collect();
        self.progress.retain(|disk, _| disks.contains(disk));
        for disk in disks.iter().filter(|disk| **disk != own) {
            self.progress
                .entry(*disk)
                .or_insert_with(|| PeerProgress::new(last_index, now));
        }
        self.join_requests
            .retain(|member_id| !disks.contains(&member_id.disk));
    }
}
