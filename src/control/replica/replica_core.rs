use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    DiskId, HardState, LogIndex, PeerBody, PeerMessage, ReplicaAction, ReplicaEvent, ReplicaId,
    ReplicaReport, ReplicaSeat, SyncToken, TermNumber,
    candidate_state::CoreRole,
    disk_queue::{DiskQueue, HeldMessage},
    hard_state::RecoveredState,
    limits::{
        ELECTION_MAX_MILLIS, ELECTION_MIN_MILLIS, RETRY_MAX_MILLIS, RETRY_MIN_MILLIS,
        START_MAX_MILLIS, START_MIN_MILLIS,
    },
    read_forward::ReadForward,
    replica_log::{LogCompaction, ReplicaLog},
    snapshots::IncomingSnapshot,
};
use crate::clock::{ClockMillis, SpanMillis};

/// The places of the group that a replica knows of before it reads its log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaPeers {
    /// This replica.
    pub(crate) own: ReplicaId,
    /// The other replicas.
    pub(crate) others: Vec<ReplicaId>,
    /// Who may join the group, and who may form it.
    pub(crate) admission: GroupAdmission,
}

/// Who may join a group, and who may form it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GroupAdmission {
    /// Only the listed places; they form the group together.
    Listed,
    /// Any place; members that are gone are removed without an operator.
    Open {
        /// Whether this replica may form the group with the listed ones.
        founds: bool,
        /// The number of voters that automatic removal never goes below.
        least_voters: usize,
    },
}

impl GroupAdmission {
    /// Returns whether this replica may take part in forming the group.
    pub(super) fn may_found(self) -> bool {
        match self {
            Self::Listed => true,
            Self::Open { founds, .. } => founds,
        }
    }

    /// Returns whether places that are not listed may join.
    pub(super) fn is_open(self) -> bool {
        matches!(self, Self::Open { .. })
    }
}

/// One replica of the control group; it never touches disk, network or clock.
#[derive(Debug)]
pub(crate) struct ReplicaCore {
    pub(super) peers: ReplicaPeers,
    pub(super) hard_state: HardState,
    pub(super) log: ReplicaLog,
    pub(super) disk: DiskQueue,
    pub(super) role: CoreRole,
    pub(super) leader: Option<ReplicaSeat>,
    pub(super) leader_heard_at: ClockMillis,
    pub(super) election_at: ClockMillis,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// The commit that the data folder remembers.
    pub(super) marked: LogIndex,
    pub(super) compaction: LogCompaction,
    pub(super) snapshot_asked: bool,
    pub(super) incoming: Option<IncomingSnapshot>,
    pub(super) forward: ReadForward,
    pub(super) join_at: ClockMillis,
    /// Peers that said that their disk is empty, too.
    pub(super) empties: BTreeMap<ReplicaId, (DiskId, ClockMillis)>,
    pub(super) foreign: BTreeSet<ReplicaId>,
    pub(super) generator: StdRng,
    pub(super) actions: Vec<ReplicaAction>,
}

impl ReplicaCore {
    /// Creates a replica from what its data folder holds; `seed` spreads the
    /// elections.
    pub(crate) fn new(
        peers: ReplicaPeers,
        recovered: RecoveredState,
        seed: u64,
        now: ClockMillis,
    ) -> Self {
        let mut hard_state = recovered.hard_state;
        let known_commit = recovered.commit;
        let log = ReplicaLog::new(recovered);
        if log.last_term() > hard_state.term {
            hard_state.term = log.last_term();
            hard_state.voted_for = None;
        }
        let start = log.snapshot_index();
        let mut core = Self {
            peers,
            hard_state,
            disk: DiskQueue::new(log.last_index()),
            log,
            role: CoreRole::Follower,
            leader: None,
            leader_heard_at: now,
            election_at: now,
            commit: start,
            applied: start,
            marked: start,
            compaction: LogCompaction::new(),
            snapshot_asked: false,
            incoming: None,
            forward: ReadForward::default(),
            join_at: now,
            empties: BTreeMap::new(),
            foreign: BTreeSet::new(),
            generator: StdRng::seed_from_u64(seed),
            actions: Vec::new(),
        };
        core.restore_snapshot();
        // What was committed stays so: it may be shown before a leader is heard.
        core.commit_to(known_commit);
        core.marked = core.commit;
        if !core.is_alone() {
            core.wait_between(START_MIN_MILLIS, START_MAX_MILLIS, now);
        }
        core
    }

    /// Sets when the log is compacted.
    #[cfg(test)]
    pub(crate) fn with_compaction(mut self, compaction: LogCompaction) -> Self {
        self.compaction = compaction;
        self
    }

    /// Reacts to an event; the actions are to be done in their order.
    pub(crate) fn handle(&mut self, event: ReplicaEvent, now: ClockMillis) -> Vec<ReplicaAction> {
        match event {
            ReplicaEvent::Tick => self.tick(now),
            ReplicaEvent::Received(message) => self.receive(message, now),
            ReplicaEvent::PeersFound(replicas) => self.meet_peers(replicas),
            ReplicaEvent::Proposed { key, payload } => self.propose(key, payload),
            ReplicaEvent::ReadAsked { key } => self.ask_read(key, now),
            ReplicaEvent::StepAside => self.step_aside(now),
            ReplicaEvent::Synced { token } => self.finish_sync(token),
            ReplicaEvent::SnapshotTaken { index, payload } => self.keep_snapshot(index, payload),
        }
        self.advance_commit();
        self.advance_membership(now);
        self.replicate(now);
        self.ask_snapshot();
        self.mark_commit();
        if let Some(batch) = self.disk.next_batch() {
            self.actions.push(ReplicaAction::Persist(batch));
        }
        std::mem::take(&mut self.actions)
    }

    /// Has an open group's data folder remember the commit, as far as it holds
    /// it, so that all that start again together know routes at once.
    fn mark_commit(&mut self) {
        let commit = self.commit.min(self.disk.durable());
        if self.peers.admission.is_open() && commit > self.marked {
            self.marked = commit;
            self.disk.save_commit(commit);
        }
    }

    fn tick(&mut self, now: ClockMillis) {
        self.expire_reads(now);
        self.seek_group(now);
        match self.role {
            CoreRole::Leader(_) => self.tick_leader(now),
            CoreRole::Follower | CoreRole::Candidate(_) if now >= self.election_at => {
                self.start_trial(now);
            }
            CoreRole::Follower | CoreRole::Candidate(_) => {}
        }
    }

    fn finish_sync(&mut self, token: SyncToken) {
        for held in self.disk.finish(token) {
            self.actions.push(ReplicaAction::Send {
                to: held.to,
                message: held.message,
            });
        }
    }

    /// Returns this replica and its data folder.
    pub(super) fn seat(&self) -> ReplicaSeat {
        ReplicaSeat {
            replica: self.peers.own,
            disk: self.hard_state.disk,
        }
    }

    /// Returns whether this replica is the only voter.
    pub(super) fn is_alone(&self) -> bool {
        let own = self.hard_state.disk;
        self.log.members().has_majority(|disk| disk == own)
    }

    /// Puts the next election off by a random time.
    pub(super) fn reset_election(&mut self, now: ClockMillis) {
        self.wait_between(ELECTION_MIN_MILLIS, ELECTION_MAX_MILLIS, now);
    }

    /// Has a candidate that is not elected try again after a random time; it is
    /// short, since nobody who could vote hears a leader.
    pub(super) fn reset_retry(&mut self, now: ClockMillis) {
        self.wait_between(RETRY_MIN_MILLIS, RETRY_MAX_MILLIS, now);
    }

    fn wait_between(&mut self, shortest: SpanMillis, longest: SpanMillis, now: ClockMillis) {
        let range = shortest.millis()..=longest.millis();
        let wait = SpanMillis::new(self.generator.random_range(range));
        self.election_at = now.after(wait);
    }

    /// Becomes a follower of `term`, which is the own one or a newer one.
    pub(super) fn become_follower(&mut self, term: TermNumber) {
        let led = self.resign();
        if let Some(led) = led {
            self.report(ReplicaReport::LeaderDeposed { term: led });
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.leader = None;
            self.disk.save_hard_state(self.hard_state);
        }
    }

    pub(super) fn report(&mut self, report: ReplicaReport) {
        self.actions.push(ReplicaAction::Report(report));
    }

    pub(super) fn message(
        &self,
        to: Option<DiskId>,
        term: TermNumber,
        body: PeerBody,
    ) -> PeerMessage {
        PeerMessage {
            group: self.hard_state.group,
            from: self.seat(),
            to,
            term,
            body,
        }
    }

    /// Sends a message that promises nothing about the disk.
    pub(super) fn send(&mut self, to: ReplicaSeat, body: PeerBody) {
        let message = self.message(Some(to.disk), self.hard_state.term, body);
        self.actions.push(ReplicaAction::Send {
            to: to.replica,
            message,
        });
    }

    /// Sends a message once everything before it is synced.
    pub(super) fn send_synced(&mut self, to: ReplicaSeat, body: PeerBody) {
        self.send_synced_in(self.hard_state.term, to, body);
    }

    /// Sends a message that speaks for `term` once everything before it is synced.
    pub(super) fn send_synced_in(&mut self, term: TermNumber, to: ReplicaSeat, body: PeerBody) {
        let held = HeldMessage {
            to: to.replica,
            message: self.message(Some(to.disk), term, body),
        };
        if let Some(held) = self.disk.hold(held) {
            self.actions.push(ReplicaAction::Send {
                to: held.to,
                message: held.message,
            });
        }
    }
}
