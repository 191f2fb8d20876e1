//! A replica of the control group's Raft log, as a state machine without I/O:
//! elections, replication, reads, snapshots and membership changes.

mod candidate_state;
mod disk_queue;
mod election;
mod follower_reads;
mod formation;
mod group_members;
mod group_snapshot;
mod hard_state;
mod identity;
mod leader_state;
mod limits;
mod log_entry;
mod log_position;
mod membership;
mod message_dispatch;
mod message_tail;
mod peer_message;
mod peer_progress;
mod planned_stop;
mod proposals;
mod quorums;
mod reads;
mod replica_action;
mod replica_core;
mod replica_event;
mod replica_log;
mod replica_view;
mod replication;
mod snapshots;

pub(crate) use disk_queue::{DiskBatch, SyncToken};
pub(crate) use group_members::{GroupMembers, VotingStatus};
pub(crate) use group_snapshot::GroupSnapshot;
pub(crate) use hard_state::{HardState, RecoveredState};
pub(crate) use identity::{DiskId, GroupId, MemberId, ReplicaId};
pub(crate) use limits::{MAX_ENTRY_BYTES, TICK_MILLIS};
pub(crate) use log_entry::{EntryBody, EntryPayload, LogEntry};
pub(crate) use log_position::{LogIndex, TermNumber};
pub(crate) use message_tail::MessageTail;
pub(crate) use peer_message::{PeerBody, PeerMessage};
pub(crate) use replica_action::{ProposalOutcome, ReadOutcome, ReplicaAction, ReplicaReport};
pub(crate) use replica_core::{GroupAdmission, ReplicaCore, ReplicaPeers};
pub(crate) use replica_event::{ProposalKey, ReadKey, ReplicaEvent};
pub(crate) use replica_view::ReplicaView;

#[cfg(test)]
mod tests;
