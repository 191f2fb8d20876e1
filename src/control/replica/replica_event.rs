use super::{EntryPayload, LogIndex, PeerMessage, ReplicaId, SyncToken};
use crate::control::formation::GroupProposal;

/// Correlates a proposal with its answer; chosen by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ProposalKey(pub(crate) u64);

/// Correlates a read with its answer; chosen by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ReadKey(pub(crate) u64);

/// An input of the replica core.
#[derive(Debug, Clone)]
pub(crate) enum ReplicaEvent {
    /// Time has passed; due every `TICK_MILLIS`.
    Tick,
    /// A message from a peer, authenticated by the shell.
    MessageReceived(PeerMessage),
    /// A connection to this replica was refused, so no process of it runs.
    PeerRefused(ReplicaId),
    /// Discovery has found these members of the group.
    PeersDiscovered(Vec<ReplicaId>),
    /// The seeds have agreed on the group to form.
    GroupAgreed(GroupProposal),
    /// A client proposes a change.
    Proposed {
        /// Correlates the answer.
        key: ProposalKey,
        /// The change.
        payload: EntryPayload,
    },
    /// A client requests a linearizable read.
    ReadRequested {
        /// Correlates the answer.
        key: ReadKey,
    },
    /// This replica stops soon; the leader may take its vote away.
    StopAnnounced,
    /// A leader is to transfer its leadership.
    LeadershipTransferRequested,
    /// A batch is synced: it survives a loss of power.
    Synced {
        /// The batch.
        token: SyncToken,
    },
    /// The state machine has encoded its state as of `index`.
    SnapshotTaken {
        /// Index of the last included entry.
        index: LogIndex,
        /// The state.
        payload: EntryPayload,
    },
}
