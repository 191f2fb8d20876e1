use serde::{Deserialize, Serialize};

use super::{
    DiskId, EntryPayload, GroupId, GroupMembers, LogEntry, LogIndex, MemberId, TermNumber,
};

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerMessage {
    /// The sender's group, once it has one.
    pub(crate) group: Option<GroupId>,
    /// The sender.
    pub(crate) from: MemberId,
    /// The data folder that is meant; any on that place if absent.
    pub(crate) to: Option<DiskId>,
    /// The term that the message speaks for.
    pub(crate) term: TermNumber,
    /// The content.
    pub(crate) body: PeerBody,
}

/// The content of a message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerBody {
    /// A replica that is in no group asks for admission.
    JoinRequest,
    /// The asked replica is in no group either.
    EmptyDiskResponse,
    /// Asks for a vote in the message's term.
    VoteRequest {
        /// Whether the term is only tried: nothing is promised yet.
        pre_vote: bool,
        /// Whether the leader itself asked for the election.
        leadership_transfer: bool,
        /// The candidate's last entry.
        last_index: LogIndex,
        /// That entry's term.
        last_term: TermNumber,
    },
    /// Answers a request for a vote.
    VoteResponse {
        /// Whether the request was a trial.
        pre_vote: bool,
        /// Whether the vote was given.
        granted: bool,
    },
    /// The leader is alive; confirms reads.
    Heartbeat {
        /// What the receiver holds and is committed.
        commit: LogIndex,
        /// The round that the answer names.
        round: u64,
    },
    /// Answers a heartbeat.
    HeartbeatResponse {
        /// The heartbeat's round.
        round: u64,
    },
    /// Entries that follow a known one.
    AppendEntries {
        /// The entry before the first one.
        previous_index: LogIndex,
        /// That entry's term.
        previous_term: TermNumber,
        /// What is committed.
        commit: LogIndex,
        /// The entries.
        entries: Vec<LogEntry>,
    },
    /// The log up to `match_index` equals the leader's, durably.
    AppendAccepted {
        /// The last entry that is held.
        match_index: LogIndex,
    },
    /// The entry before the first one is not held.
    AppendRejected {
        /// The entry that was not found.
        previous_index: LogIndex,
        /// The last entry that may be held.
        hint: LogIndex,
    },
    /// A part of a snapshot.
    SnapshotChunk {
        /// The last entry that the snapshot includes.
        index: LogIndex,
        /// That entry's term.
        entry_term: TermNumber,
        /// The members after that entry.
        members: GroupMembers,
        /// The bytes of the whole state.
        total: u64,
        /// The place of this part.
        offset: u64,
        /// The part.
        bytes: EntryPayload,
    },
    /// The bytes of a snapshot that have come in.
    SnapshotChunkResponse {
        /// The snapshot.
        index: LogIndex,
        /// The place of the next part.
        received: u64,
    },
    /// A follower wants to read.
    ReadIndexRequest {
        /// Names the read in its answer.
        sequence: u64,
    },
    /// The leader confirms a read, or can't.
    ReadIndexResponse {
        /// The read.
        sequence: u64,
        /// What must be applied before the read.
        index: Option<LogIndex>,
    },
    /// The leader is to be stopped; the receiver is to lead at once.
    TimeoutNow,
    /// The receiver spoke for an old term.
    StaleTerm,
}
