use super::{
    DiskBatch, EntryPayload, GroupId, LogIndex, MemberId, PeerMessage, ProposalKey, ReadKey,
    ReplicaId, TermNumber,
};

/// What became of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProposalOutcome {
    /// A majority holds it durably and it is applied here.
    Committed {
        /// Its place in the log.
        index: LogIndex,
    },
    /// It may be committed later or never.
    OutcomeUnknown,
    /// It was not taken: another replica leads.
    NotLeader {
        /// The replica that leads.
        leader: ReplicaId,
    },
    /// It was not taken: no leader is known, or a majority does not answer.
    NoQuorum,
    /// It was not taken: too much waits for its commit.
    Overloaded,
    /// It was not taken: it is too large.
    TooLarge,
}

/// What became of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// Everything that was accepted before the read was asked for is applied.
    Confirmed {
        /// The last applied entry that the read includes.
        index: LogIndex,
    },
    /// The replica can't confirm that it is current.
    Refused,
    /// Too many reads wait for their confirmation.
    Overloaded,
}

/// A change of the replica's state that operators want to know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplicaReport {
    /// This replica has founded the group.
    GroupFormed {
        /// The group.
        group: GroupId,
    },
    /// This replica leads.
    LeaderElected {
        /// Its term.
        term: TermNumber,
    },
    /// This replica no longer leads since another one has a newer term.
    LeaderDeposed {
        /// The term that it led.
        term: TermNumber,
    },
    /// This replica no longer leads since a majority does not answer.
    QuorumLost {
        /// The term that it led.
        term: TermNumber,
    },
    /// A new data folder receives the log and does not count yet.
    LearnerAdded {
        /// The replica and its data folder.
        member_id: MemberId,
    },
    /// A lost data folder no longer counts.
    VoterRemoved {
        /// The replica and its data folder.
        member_id: MemberId,
    },
    /// A repair is done: the new data folder holds everything and counts.
    RepairDone {
        /// The replica and its data folder.
        member_id: MemberId,
    },
    /// A leader wants to replace a committed entry; it is not followed.
    CommittedConflict {
        /// The entry.
        index: LogIndex,
    },
    /// A peer belongs to another group; its messages are dropped.
    ForeignGroup {
        /// The peer.
        replica: ReplicaId,
    },
}

/// What the shell has to do, in this order.
#[derive(Debug, Clone)]
pub(crate) enum ReplicaAction {
    /// Send a message to a peer; it may be lost.
    Send {
        /// The place of the peer in the group.
        to: ReplicaId,
        /// The message.
        message: PeerMessage,
    },
    /// Write a batch, sync it and report it; one batch at a time.
    Persist(DiskBatch),
    /// Apply a committed change to the state machine.
    Apply {
        /// The change's place in the log.
        index: LogIndex,
        /// The change.
        payload: EntryPayload,
    },
    /// Replace the state machine's state.
    Restore {
        /// The state.
        payload: EntryPayload,
    },
    /// Have the state machine write its state, now, and hand it back.
    TakeSnapshot {
        /// The last applied entry.
        index: LogIndex,
    },
    /// Answer a proposal.
    AnswerProposal {
        /// The proposal.
        key: ProposalKey,
        /// What became of it.
        outcome: ProposalOutcome,
    },
    /// Answer a read.
    AnswerRead {
        /// The read.
        key: ReadKey,
        /// What became of it.
        outcome: ReadOutcome,
    },
    /// Log a change of the replica's state.
    Report(ReplicaReport),
}
