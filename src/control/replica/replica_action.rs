use super::{
    DiskBatch, EntryPayload, GroupId, LogIndex, MemberId, PeerMessage, ProposalKey, ReadKey,
    ReplicaId, TermNumber,
};

/// The answer to a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProposalOutcome {
    /// It is synced on a majority and applied here.
    Committed {
        /// Its index in the log.
        index: LogIndex,
    },
    /// The leader stepped down first; the proposal may still be committed.
    OutcomeUnknown,
    /// Rejected: another replica leads.
    NotLeader { leader: ReplicaId },
    /// Rejected: this replica knows no leader.
    NoQuorum,
    /// Rejected: too many proposals, or bytes of them, wait to be committed.
    Overloaded,
    /// Rejected: the payload is larger than `MAX_ENTRY_BYTES`.
    TooLarge,
}

/// The answer to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// Everything acknowledged before the read was requested is applied.
    Confirmed {
        /// An applied index that the read observes.
        index: LogIndex,
    },
    /// The replica could not confirm that its state is current.
    Refused,
    /// Too many reads wait for confirmation.
    Overloaded,
}

/// A state change of the replica that is logged for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplicaReport {
    /// This replica has formed the group.
    GroupFormed {
        /// The group.
        group: GroupId,
    },
    /// This replica has become leader.
    LeaderElected { term: TermNumber },
    /// The process of the leader is gone.
    LeaderGone { replica: ReplicaId },
    /// This replica has stepped down because of a newer term.
    LeaderDeposed {
        /// The term in which it led.
        term: TermNumber,
    },
    /// This replica has stepped down because a majority does not answer.
    QuorumLost {
        /// The term in which it led.
        term: TermNumber,
    },
    /// A new data folder has joined as a learner.
    LearnerAdded { member_id: MemberId },
    /// A lost data folder has been removed from the voters.
    VoterRemoved { member_id: MemberId },
    /// A voter that is about to stop has become a learner.
    VoterDemoted { member_id: MemberId },
    /// A silent learner has been removed from the group.
    LearnerRemoved { member_id: MemberId },
    /// A learner has become a voter and holds the entry that promoted it, so
    /// the group tolerates the loss of another replica.
    RepairDone { member_id: MemberId },
    /// A leader tried to replace a committed entry; its entries were rejected.
    CommittedConflict {
        /// The entry.
        index: LogIndex,
    },
    /// A peer belongs to another group, so its messages are dropped.
    ForeignGroup {
        /// The peer.
        replica: ReplicaId,
    },
}

/// An output of the replica core, to be executed by the shell.
#[derive(Debug, Clone)]
pub(crate) enum ReplicaAction {
    /// Send a message to a peer; it may be lost.
    Send {
        /// The peer.
        to: ReplicaId,
        /// The message.
        message: PeerMessage,
    },
    /// Write and sync a batch, then report it as synced. The next batch comes
    /// only after that.
    Persist(DiskBatch),
    /// Apply a committed change to the state machine.
    Apply {
        /// The index of the change in the log.
        index: LogIndex,
        /// The change.
        payload: EntryPayload,
    },
    /// Replace the state of the state machine.
    Restore {
        /// The state.
        payload: EntryPayload,
    },
    /// Have the state machine encode its state, before any later action, and
    /// return it as `ReplicaEvent::SnapshotTaken`.
    TakeSnapshot {
        /// Index of the last applied entry.
        index: LogIndex,
    },
    /// Answer a proposal.
    AnswerProposal {
        key: ProposalKey,
        outcome: ProposalOutcome,
    },
    /// Answer a read.
    AnswerRead { key: ReadKey, outcome: ReadOutcome },
    /// Log a state change of the replica.
    Report(ReplicaReport),
}
