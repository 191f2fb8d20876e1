use serde::{Deserialize, Serialize};

use super::{
    DiskId, EntryPayload, GroupId, GroupMembers, LogEntry, LogIndex, MemberId, MessageTail,
    TermNumber,
};

/// A message between replicas, encoded with postcard: the order of variants and
/// fields is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PeerMessage {
    /// The sender's group, if any.
    pub(crate) group: Option<GroupId>,
    /// The sender.
    pub(crate) from: MemberId,
    /// The addressed data folder; any of the receiving replica if absent.
    pub(crate) to: Option<DiskId>,
    /// The term of the message: the sender's or, in a pre-vote, the proposed one.
    pub(crate) term: TermNumber,
    pub(crate) body: PeerBody,
    #[serde(skip)]
    pub(crate) tail: MessageTail,
}

/// The content of a peer message.
///
/// The `rename` attributes keep the serialized names of earlier releases; postcard
/// does not write names.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerBody {
    /// Asks for admission to the group.
    #[serde(rename = "JoinAsked")]
    JoinRequest,
    /// Answers a join request: the sender's disk is empty, too.
    #[serde(rename = "JoinEmpty")]
    EmptyDiskResponse,
    /// Raft's `RequestVote`.
    #[serde(rename = "VoteAsked")]
    VoteRequest {
        /// Whether this is a pre-vote, which changes no term and binds no vote.
        #[serde(rename = "trial")]
        pre_vote: bool,
        /// Whether the leader started the election to transfer its leadership.
        #[serde(rename = "urged")]
        leadership_transfer: bool,
        /// Index of the candidate's last entry.
        last_index: LogIndex,
        /// Term of that entry.
        last_term: TermNumber,
    },
    /// Answers a vote request.
    #[serde(rename = "VoteGiven")]
    VoteResponse {
        /// Whether the request was a pre-vote.
        #[serde(rename = "trial")]
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Keeps followers from starting an election, and confirms reads.
    Heartbeat {
        /// The commit index, at most the receiver's match index.
        commit: LogIndex,
        /// The heartbeat round, echoed in the response.
        round: u64,
    },
    /// Answers a heartbeat.
    #[serde(rename = "HeartbeatHeard")]
    HeartbeatResponse {
        /// The round of the heartbeat.
        round: u64,
    },
    /// Raft's `AppendEntries`.
    #[serde(rename = "Append")]
    AppendEntries {
        /// Index of the entry before `entries`.
        previous_index: LogIndex,
        /// Term of that entry.
        previous_term: TermNumber,
        /// The leader's commit index.
        commit: LogIndex,
        /// May be empty while the leader probes for the end of the common log.
        entries: Vec<LogEntry>,
    },
    /// The log up to `match_index` equals the leader's and is synced.
    #[serde(rename = "AppendHeld")]
    AppendAccepted {
        /// The last entry that equals the leader's.
        #[serde(rename = "matched")]
        match_index: LogIndex,
    },
    /// The receiver lacks the entry before the appended ones.
    #[serde(rename = "AppendRefused")]
    AppendRejected {
        /// Index of the missing entry.
        previous_index: LogIndex,
        /// The last entry that may equal the leader's.
        hint: LogIndex,
    },
    /// Raft's `InstallSnapshot`: one chunk of a snapshot.
    SnapshotChunk {
        /// Index of the last included entry.
        index: LogIndex,
        /// Term of that entry.
        entry_term: TermNumber,
        /// The members as of that entry.
        members: GroupMembers,
        /// Size of the whole snapshot in bytes.
        total: u64,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// The chunk.
        bytes: EntryPayload,
    },
    /// Acknowledges the chunks received so far.
    #[serde(rename = "SnapshotHeld")]
    SnapshotChunkResponse {
        /// Index of the snapshot's last included entry.
        index: LogIndex,
        /// Offset of the next chunk in bytes.
        received: u64,
    },
    /// A follower asks for a read index.
    #[serde(rename = "ReadAsked")]
    ReadIndexRequest {
        /// Echoed in the response.
        sequence: u64,
    },
    /// The leader's read index, if it could confirm its leadership.
    #[serde(rename = "ReadAnswered")]
    ReadIndexResponse {
        /// The sequence number of the request.
        sequence: u64,
        /// The index that must be applied before the read.
        index: Option<LogIndex>,
    },
    /// Raft's `TimeoutNow`: the leader transfers its leadership, so the receiver
    /// starts an election at once.
    #[serde(rename = "LeadUrged")]
    TimeoutNow,
    /// The message that this answers had an outdated term.
    #[serde(rename = "TermPassed")]
    StaleTerm,
}
