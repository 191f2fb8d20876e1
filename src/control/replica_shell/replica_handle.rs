use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use super::PeerPorts;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, timeout},
};

use crate::{
    clock::SpanMillis,
    control::{
        api::{CallRefusal, ReplicaRole, ReplicaStatus},
        formation::GroupProposal,
        replica::{EntryPayload, MAX_ENTRY_BYTES, ReplicaId, ReplicaView, VotingStatus},
        store::LeaderView,
    },
};

/// Time after which the outcome of a proposal counts as unknown.
const PROPOSAL_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// Time after which a read counts as not confirmed.
const READ_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// How long a replica prepares its stop: it announces it and transfers its leadership.
const TRANSFER_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// How long a call waits for a leader to be known. Callers ask another replica after a
/// second without an answer.
const LEADER_WAIT_MILLIS: SpanMillis = SpanMillis::new(800);
/// Silence after which calls no longer wait for a leader: an election takes less, so that
/// there is probably no majority.
const LEADER_SEARCH_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// Pause between two attempts to transfer leadership.
const TRANSFER_RETRY_MILLIS: SpanMillis = SpanMillis::new(20);
/// When a refused client may retry.
const RETRY_AFTER_MILLIS: SpanMillis = SpanMillis::new(200);

/// The state machine's outcome of a proposal, or why there is none.
pub(super) type ProposalAnswer = Result<Vec<u8>, CallRefusal>;
/// Whether the state is confirmed to include every change acknowledged before the
/// read.
pub(super) type ReadAnswer = Result<(), CallRefusal>;

/// A command from a call to the driver.
#[derive(Debug)]
pub(super) enum ReplicaCommand {
    /// Commit and apply a change.
    Propose {
        payload: EntryPayload,
        answer: oneshot::Sender<ProposalAnswer>,
    },
    /// Confirm that the state is current.
    Read { answer: oneshot::Sender<ReadAnswer> },
    /// Tell the others that this replica stops.
    AnnounceStop,
    /// Transfer leadership to another replica.
    TransferLeadership,
    /// Ask these replicas for admission.
    UpdatePeers { replicas: Vec<ReplicaId> },
    /// Form the group that the seeds have agreed on.
    FormGroup { proposal: GroupProposal },
}

/// Sends commands to the replica; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaHandle {
    pub(super) commands: mpsc::Sender<ReplicaCommand>,
    pub(super) view: watch::Receiver<ReplicaView>,
    /// Changes with the leader to send callers to.
    pub(super) leader: watch::Receiver<Option<ReplicaId>>,
    pub(super) call_addresses: Arc<BTreeMap<ReplicaId, SocketAddrV4>>,
    pub(super) ports: Option<PeerPorts>,
}

/// Returns the refusal of an overloaded replica.
pub(super) fn overloaded() -> CallRefusal {
    CallRefusal::Overloaded {
        retry_after_millis: RETRY_AFTER_MILLIS.millis(),
    }
}

/// Returns the refusal for a change that exceeds `MAX_ENTRY_BYTES`.
pub(super) fn too_large() -> CallRefusal {
    CallRefusal::InvalidManifest {
        faults: vec![format!("the change has more than {MAX_ENTRY_BYTES} bytes")],
    }
}

impl ReplicaHandle {
    /// Commits a change; returns the state machine's outcome.
    ///
    /// # Errors
    ///
    /// Fails when the change is rejected or its outcome is unknown.
    pub(crate) async fn propose(&self, bytes: Vec<u8>) -> Result<Vec<u8>, CallRefusal> {
        let (answer, receiver) = oneshot::channel();
        let payload = EntryPayload::new(bytes);
        self.commands
            .try_send(ReplicaCommand::Propose { payload, answer })
            .map_err(|_| overloaded())?;
        match timeout(PROPOSAL_TIMEOUT_MILLIS.duration(), receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(CallRefusal::OutcomeUnknown),
        }
    }

    /// Confirms that the state includes every change acknowledged so far.
    ///
    /// # Errors
    ///
    /// Fails when no majority confirms it in time.
    pub(crate) async fn confirm_read(&self) -> Result<(), CallRefusal> {
        let (answer, receiver) = oneshot::channel();
        self.commands
            .try_send(ReplicaCommand::Read { answer })
            .map_err(|_| overloaded())?;
        match timeout(READ_TIMEOUT_MILLIS.duration(), receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(CallRefusal::NoQuorum),
        }
    }

    /// Announces that this replica stops, and transfers its leadership if another one can
    /// take it in time.
    pub(crate) async fn prepare_stop(&self) {
        let deadline = Instant::now() + TRANSFER_TIMEOUT_MILLIS.duration();
        let mut is_announced = false;
        while Instant::now() < deadline {
            if !is_announced {
                let announced = self.commands.try_send(ReplicaCommand::AnnounceStop);
                is_announced = announced.is_ok();
            }
            let is_leading = matches!(self.leader_view(), LeaderView::Leading { .. });
            if is_announced && !(is_leading && self.has_other_members()) {
                return;
            }
            // If the queue is full, the next attempt follows.
            let _ = self.commands.try_send(ReplicaCommand::TransferLeadership);
            sleep(TRANSFER_RETRY_MILLIS.duration()).await;
        }
    }

    fn has_other_members(&self) -> bool {
        self.view.borrow().members.len() > 1
    }

    /// Sets the replicas to ask for admission while this replica is no voter.
    pub(crate) fn update_peers(&self, replicas: Vec<ReplicaId>) {
        // If the queue is full, a later update replaces this one.
        let _ = self
            .commands
            .try_send(ReplicaCommand::UpdatePeers { replicas });
    }

    /// Passes on the group that the seeds have agreed on; a replica that is one of its
    /// founders and in no group forms it.
    pub(crate) fn form_group(&self, proposal: GroupProposal) {
        // If the queue is full, the replica registers with the seeds again.
        let _ = self
            .commands
            .try_send(ReplicaCommand::FormGroup { proposal });
    }

    /// Returns the latest published view.
    pub(crate) fn view(&self) -> ReplicaView {
        self.view.borrow().clone()
    }

    /// Waits until this replica leads or trusts a leader, for `LEADER_WAIT_MILLIS` at
    /// most, and not at all if leaders have been silent for long.
    ///
    /// During an election a caller would otherwise be sent to the lost leader, or come
    /// back later than a new one is elected.
    pub(crate) async fn wait_for_leader(&self) {
        let mut view = self.view.clone();
        let known = view.wait_for(|view| {
            view.trusted_leader.is_some() || view.leader_silence >= LEADER_SEARCH_MILLIS
        });
        // The caller is told that no leader is known.
        let _ = timeout(LEADER_WAIT_MILLIS.duration(), known).await;
    }

    /// Returns a receiver of the leader to send callers to.
    pub(crate) fn subscribe_leader(&self) -> watch::Receiver<Option<ReplicaId>> {
        self.leader.clone()
    }

    /// Returns whether this replica leads, or else the known leader's call address.
    pub(crate) fn leader_view(&self) -> LeaderView {
        let view = self.view.borrow();
        match view.role {
            ReplicaRole::Leader => LeaderView::Leading {
                term: view.term.number(),
            },
            ReplicaRole::Follower | ReplicaRole::Learner => LeaderView::Following {
                leader: view
                    .trusted_leader
                    .and_then(|member_id| self.call_address(member_id.replica)),
            },
        }
    }

    /// Returns the replicas of the group; `address` is this replica's call address.
    pub(crate) fn replicas(&self, address: SocketAddrV4) -> Vec<ReplicaStatus> {
        let view = self.view.borrow();
        let leader = view.leader.map(|member_id| member_id.disk);
        let members = view.members.iter();
        members
            .filter_map(|member| {
                let replica = member.id.replica;
                let is_own = replica == view.member_id.replica;
                let role = match member.voting_status {
                    _ if leader == Some(member.id.disk) => ReplicaRole::Leader,
                    VotingStatus::Voter => ReplicaRole::Follower,
                    VotingStatus::Learner => ReplicaRole::Learner,
                };
                Some(ReplicaStatus {
                    address: if is_own {
                        address
                    } else {
                        self.call_address(replica)?
                    },
                    role,
                    durable_index: member.match_index.number(),
                })
            })
            .collect()
    }

    /// Returns the call address of a replica.
    pub(super) fn call_address(&self, replica: ReplicaId) -> Option<SocketAddrV4> {
        let listed = self.call_addresses.get(&replica).copied();
        let discovered = |ports: PeerPorts| SocketAddrV4::new(replica.address(), ports.call_port);
        listed.or_else(|| self.ports.map(discovered))
    }
}
