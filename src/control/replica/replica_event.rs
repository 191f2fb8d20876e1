use super::{EntryPayload, LogIndex, PeerMessage, ReplicaId, SyncToken};

/// Names a proposal until it is answered; chosen by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ProposalKey(pub(crate) u64);

/// Names a read until it is answered; chosen by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ReadKey(pub(crate) u64);

/// What a replica reacts to.
#[derive(Debug, Clone)]
pub(crate) enum ReplicaEvent {
    /// Time has passed.
    Tick,
    /// A peer has sent a message; the shell has authenticated it.
    MessageReceived(PeerMessage),
    /// Discovery has found the members of the group.
    PeersDiscovered(Vec<ReplicaId>),
    /// A client wants a change.
    Proposed {
        /// Names the proposal in its answer.
        key: ProposalKey,
        /// The change.
        payload: EntryPayload,
    },
    /// A client wants to read what is committed now.
    ReadRequested {
        /// Names the read in its answer.
        key: ReadKey,
    },
    /// This replica is to be stopped; another one is to lead.
    LeadershipTransferRequested,
    /// A batch is on the disk and will survive a loss of power.
    Synced {
        /// The batch.
        token: SyncToken,
    },
    /// The state machine has written its state after `index`.
    SnapshotTaken {
        /// The last entry that the state includes.
        index: LogIndex,
        /// The state.
        payload: EntryPayload,
    },
}
