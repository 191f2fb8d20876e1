use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use super::{PeerPorts, ReplicatedState};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::{Instant, sleep, timeout},
};

use crate::{
    clock::SpanMillis,
    control::{
        api::{CallRefusal, ReplicaRole, ReplicaStatus},
        replica::{EntryPayload, MAX_ENTRY_BYTES, ReplicaId, ReplicaView, VotingStatus},
        store::LeadView,
    },
    key::FeedRevision,
};

/// The time after which a proposal's outcome counts as unknown.
const PROPOSAL_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// The time after which a read counts as not confirmed.
const READ_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// How long a stopping leader tries to hand over.
const HANDOVER_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The pause between two tries to hand over.
const HANDOVER_PAUSE_MILLIS: SpanMillis = SpanMillis::new(20);
/// When a refused client may come back.
const RETRY_MILLIS: SpanMillis = SpanMillis::new(200);

/// What became of a proposal: the state machine's answer, or why there is none.
pub(super) type ProposalAnswer = Result<Vec<u8>, CallRefusal>;
/// Whether the state holds everything that was accepted before the read.
pub(super) type ReadAnswer = Result<(), CallRefusal>;

/// What the calls want of the driver.
#[derive(Debug)]
pub(super) enum ReplicaCommand {
    /// Commit and execute a change.
    Propose {
        payload: EntryPayload,
        answer: oneshot::Sender<ProposalAnswer>,
    },
    /// Confirm that the state is current.
    Read { answer: oneshot::Sender<ReadAnswer> },
    /// Have another replica lead.
    TransferLeadership,
    /// Ask these places for admission.
    UpdatePeers { replicas: Vec<ReplicaId> },
}

/// Hands the calls' work to the replica; clones share it.
#[derive(Debug, Clone)]
pub(crate) struct ReplicaHandle {
    pub(super) commands: mpsc::Sender<ReplicaCommand>,
    pub(super) view: watch::Receiver<ReplicaView>,
    pub(super) calls: Arc<BTreeMap<ReplicaId, SocketAddrV4>>,
    pub(super) ports: Option<PeerPorts>,
    pub(super) state: ReplicatedState,
}

/// Returns the refusal of a replica that has too much to do.
pub(super) fn overloaded() -> CallRefusal {
    CallRefusal::Overloaded {
        retry_after_millis: RETRY_MILLIS.millis(),
    }
}

/// Returns the refusal of a change that the log can't take.
pub(super) fn too_large() -> CallRefusal {
    CallRefusal::InvalidManifest {
        faults: vec![format!("the change has more than {MAX_ENTRY_BYTES} bytes")],
    }
}

impl ReplicaHandle {
    /// Commits a change; returns the state machine's answer.
    ///
    /// # Errors
    ///
    /// Refuses when it was not taken, or when its outcome is unknown.
    pub(crate) async fn propose(&self, bytes: Vec<u8>) -> Result<Vec<u8>, CallRefusal> {
        let (answer, receiver) = oneshot::channel();
        let payload = EntryPayload::new(bytes);
        self.commands
            .try_send(ReplicaCommand::Propose { payload, answer })
            .map_err(|_| overloaded())?;
        match timeout(PROPOSAL_MILLIS.duration(), receiver).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => Err(CallRefusal::OutcomeUnknown),
        }
    }

    /// Returns the revision of a state that holds everything accepted so far.
    ///
    /// # Errors
    ///
    /// Refuses when no majority confirms it in time.
    pub(crate) async fn confirm_read(&self) -> Result<FeedRevision, CallRefusal> {
        let (answer, receiver) = oneshot::channel();
        self.commands
            .try_send(ReplicaCommand::Read { answer })
            .map_err(|_| overloaded())?;
        match timeout(READ_MILLIS.duration(), receiver).await {
            Ok(Ok(outcome)) => outcome.map(|()| self.state.revision()),
            Ok(Err(_)) | Err(_) => Err(CallRefusal::NoQuorum),
        }
    }

    /// Has another replica lead before this one stops, if one can in time.
    pub(crate) async fn step_aside(&self) {
        if self.calls.is_empty() {
            return;
        }
        let deadline = Instant::now() + HANDOVER_MILLIS.duration();
        while matches!(self.lead(), LeadView::Leading { .. }) && Instant::now() < deadline {
            // A driver that has ended leads no more.
            let _ = self.commands.try_send(ReplicaCommand::TransferLeadership);
            sleep(HANDOVER_PAUSE_MILLIS.duration()).await;
        }
    }

    /// Names the places to ask for admission while this replica is no voter.
    pub(crate) fn meet_peers(&self, replicas: Vec<ReplicaId>) {
        // A driver that is busy is told again.
        let _ = self
            .commands
            .try_send(ReplicaCommand::UpdatePeers { replicas });
    }

    /// Returns the replica's view of the group.
    pub(crate) fn view(&self) -> ReplicaView {
        self.view.borrow().clone()
    }

    /// Returns what this replica knows of the leader.
    pub(crate) fn lead(&self) -> LeadView {
        let view = self.view.borrow();
        match view.role {
            ReplicaRole::Leader => LeadView::Leading {
                term: view.term.number(),
            },
            ReplicaRole::Follower | ReplicaRole::Learner => LeadView::Following {
                leader: view
                    .leader
                    .and_then(|member_id| self.call_address(member_id.replica)),
            },
        }
    }

    /// Returns the replicas of the group; `address` is this one's.
    pub(crate) fn replicas(&self, address: SocketAddrV4) -> Vec<ReplicaStatus> {
        let view = self.view.borrow();
        let leader = view.leader.map(|member_id| member_id.disk);
        let members = view.members.iter();
        members
            .filter_map(|member| {
                let replica = member.seat.replica;
                let own = replica == view.seat.replica;
                let role = match member.voting_status {
                    _ if leader == Some(member.seat.disk) => ReplicaRole::Leader,
                    VotingStatus::Voter => ReplicaRole::Follower,
                    VotingStatus::Learner => ReplicaRole::Learner,
                };
                Some(ReplicaStatus {
                    address: if own {
                        address
                    } else {
                        self.call_address(replica)?
                    },
                    role,
                    held: member.held.number(),
                })
            })
            .collect()
    }

    /// Returns where a replica answers calls.
    pub(super) fn call_address(&self, replica: ReplicaId) -> Option<SocketAddrV4> {
        let listed = self.calls.get(&replica).copied();
        let found = |ports: PeerPorts| SocketAddrV4::new(replica.address(), ports.calls);
        listed.or_else(|| self.ports.map(found))
    }
}
