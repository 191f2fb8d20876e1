use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    DiskId, HardState, LogIndex, MemberId, MessageTail, PeerBody, PeerMessage, ReplicaAction,
    ReplicaEvent, ReplicaId, ReplicaReport, SyncToken, TermNumber,
    candidate_state::CoreRole,
    disk_queue::{DeferredMessage, DiskQueue},
    follower_reads::FollowerReads,
    hard_state::RecoveredState,
    limits::{
        ELECTION_MAX_MILLIS, ELECTION_MIN_MILLIS, ELECTION_RETRY_MAX_MILLIS,
        ELECTION_RETRY_MIN_MILLIS, FIRST_ELECTION_MAX_MILLIS, FIRST_ELECTION_MIN_MILLIS,
        MAX_ELECTION_DOUBLINGS, MAX_ELECTION_MILLIS, PROMPT_ELECTIONS,
    },
    replica_log::{LogCompaction, ReplicaLog},
    snapshots::IncomingSnapshot,
};
use crate::clock::{ClockMillis, SpanMillis};

/// The replicas that are known before the log is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReplicaPeers {
    pub(crate) own: ReplicaId,
    pub(crate) others: Vec<ReplicaId>,
    pub(crate) admission: GroupAdmission,
}

/// Which replicas may form and join a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GroupAdmission {
    /// The listed replicas form the group together; no others may join.
    Listed,
    /// Any replica may join, and silent voters are removed automatically. The seeds agree
    /// on the replicas that form the group.
    Open {
        /// Automatic removal leaves at least this many voters.
        min_voters: usize,
    },
}

impl GroupAdmission {
    /// Returns whether the listed replicas form the group.
    pub(super) fn is_listed(self) -> bool {
        matches!(self, Self::Listed)
    }

    /// Returns whether replicas that are not listed may join.
    pub(super) fn is_open(self) -> bool {
        matches!(self, Self::Open { .. })
    }
}

/// One replica of the control group, without access to disk, network or clock.
#[derive(Debug)]
pub(crate) struct ReplicaCore {
    pub(super) peers: ReplicaPeers,
    pub(super) hard_state: HardState,
    pub(super) log: ReplicaLog,
    pub(super) disk: DiskQueue,
    pub(super) role: CoreRole,
    pub(super) leader: Option<MemberId>,
    pub(super) leader_contact_at: ClockMillis,
    pub(super) election_due_at: ClockMillis,
    /// Elections that this replica started since it last heard or was a leader.
    pub(super) fruitless_elections: u64,
    pub(super) commit: LogIndex,
    pub(super) applied: LogIndex,
    /// The commit index that is saved in the data folder.
    pub(super) saved_commit: LogIndex,
    pub(super) compaction: LogCompaction,
    pub(super) snapshot_requested: bool,
    pub(super) incoming_snapshot: Option<IncomingSnapshot>,
    pub(super) follower_reads: FollowerReads,
    pub(super) next_join_at: ClockMillis,
    /// Whether this replica has announced that it stops.
    pub(super) is_stopping: bool,
    /// Data folders of voters that are known to be lost.
    pub(super) lost_disks: BTreeSet<DiskId>,
    /// Those that were known when this replica's last election began.
    pub(super) term_losses: BTreeSet<DiskId>,
    /// Data folders of voters that are known to use joint quorums.
    pub(super) joint_voters: BTreeSet<DiskId>,
    /// Peers that reported an empty disk, and when they did.
    pub(super) empty_peers: BTreeMap<ReplicaId, (DiskId, ClockMillis)>,
    pub(super) foreign_peers: BTreeSet<ReplicaId>,
    pub(super) rng: StdRng,
    pub(super) actions: Vec<ReplicaAction>,
}

impl ReplicaCore {
    /// Creates a replica from the content of its data folder; `seed` randomizes
    /// its election timeouts.
    pub(crate) fn new(
        peers: ReplicaPeers,
        recovered: RecoveredState,
        seed: u64,
        now: ClockMillis,
    ) -> Self {
        let mut hard_state = recovered.hard_state;
        let recovered_commit = recovered.commit;
        let log = ReplicaLog::new(recovered);
        if log.last_term() > hard_state.term {
            hard_state.term = log.last_term();
            hard_state.voted_for = None;
        }
        let start = log.snapshot_index();
        let mut core = Self {
            peers,
            fruitless_elections: 0,
            hard_state,
            disk: DiskQueue::new(log.last_index()),
            log,
            role: CoreRole::Follower,
            leader: None,
            leader_contact_at: now,
            election_due_at: now,
            commit: start,
            applied: start,
            saved_commit: start,
            compaction: LogCompaction::new(),
            snapshot_requested: false,
            incoming_snapshot: None,
            follower_reads: FollowerReads::default(),
            next_join_at: now,
            is_stopping: false,
            lost_disks: BTreeSet::new(),
            term_losses: BTreeSet::new(),
            joint_voters: BTreeSet::new(),
            empty_peers: BTreeMap::new(),
            foreign_peers: BTreeSet::new(),
            rng: StdRng::seed_from_u64(seed),
            actions: Vec::new(),
        };
        core.restore_snapshot();
        // Committed entries stay committed, so they may be applied before a
        // leader is known.
        core.commit_to(recovered_commit);
        core.saved_commit = core.commit;
        if !core.is_alone() {
            core.set_election_timer(FIRST_ELECTION_MIN_MILLIS, FIRST_ELECTION_MAX_MILLIS, now);
        }
        core
    }

    #[cfg(test)]
    pub(crate) fn with_compaction(mut self, compaction: LogCompaction) -> Self {
        self.compaction = compaction;
        self
    }

    /// Handles an event; the caller executes the returned actions in order.
    pub(crate) fn handle(&mut self, event: ReplicaEvent, now: ClockMillis) -> Vec<ReplicaAction> {
        match event {
            ReplicaEvent::Tick => self.tick(now),
            ReplicaEvent::MessageReceived(message) => self.receive(message, now),
            ReplicaEvent::PeerRefused(replica) => self.handle_refused_connection(replica, now),
            ReplicaEvent::PeersDiscovered(replicas) => self.update_peers(replicas),
            ReplicaEvent::GroupAgreed(proposal) => self.join_as_founder(&proposal, now),
            ReplicaEvent::Proposed { key, payload } => self.propose(key, payload, now),
            ReplicaEvent::ReadRequested { key } => self.handle_read(key, now),
            ReplicaEvent::StopAnnounced => self.announce_stop(),
            ReplicaEvent::LeadershipTransferRequested => self.transfer_leadership(now),
            ReplicaEvent::Synced { token } => self.finish_sync(token, now),
            ReplicaEvent::SnapshotTaken { index, payload } => self.store_snapshot(index, payload),
        }
        self.advance_commit(now);
        self.advance_membership(now);
        self.replicate(now);
        self.request_snapshot();
        self.save_commit_index();
        if let Some(batch) = self.disk.next_batch() {
            self.actions.push(ReplicaAction::Persist(batch));
        }
        std::mem::take(&mut self.actions)
    }

    /// Saves the commit index of an open group, up to the synced entries.
    ///
    /// Replicas that all restart together then have routes before an election.
    fn save_commit_index(&mut self) {
        let commit = self.commit.min(self.disk.durable_index());
        if self.peers.admission.is_open() && commit > self.saved_commit {
            self.saved_commit = commit;
            self.disk.save_commit(commit);
        }
    }

    fn tick(&mut self, now: ClockMillis) {
        self.expire_reads(now);
        self.request_admission(now);
        match self.role {
            CoreRole::Leader(_) => self.tick_leader(now),
            // A term or vote that is being synced may still decide an election.
            CoreRole::Follower | CoreRole::Candidate(_)
                if now >= self.election_due_at && !self.disk.has_unsynced_state() =>
            {
                self.start_pre_vote(now);
            }
            CoreRole::Follower | CoreRole::Candidate(_) => {}
        }
    }

    fn finish_sync(&mut self, token: SyncToken, now: ClockMillis) {
        let had_unsynced_state = self.disk.has_unsynced_state();
        for deferred in self.disk.finish(token) {
            self.actions.push(ReplicaAction::Send {
                to: deferred.to,
                message: deferred.message,
            });
        }
        if had_unsynced_state && !self.disk.has_unsynced_state() {
            self.postpone_election(now);
        }
    }

    /// Returns the member that this replica is on its data folder.
    pub(super) fn member_id(&self) -> MemberId {
        MemberId {
            replica: self.peers.own,
            disk: self.hard_state.disk,
        }
    }

    /// Returns whether this replica is the only voter.
    pub(super) fn is_alone(&self) -> bool {
        let own = self.hard_state.disk;
        self.log.members().has_majority(|disk| disk == own)
    }

    /// Restarts the election timer with a random timeout.
    pub(super) fn reset_election_timer(&mut self, now: ClockMillis) {
        self.set_election_timer(ELECTION_MIN_MILLIS, ELECTION_MAX_MILLIS, now);
    }

    /// Schedules the next attempt of a candidate that is not elected.
    ///
    /// The random pause can be short: replicas that hear a leader grant no votes.
    pub(super) fn schedule_election_retry(&mut self, now: ClockMillis) {
        self.set_election_timer(ELECTION_RETRY_MIN_MILLIS, ELECTION_RETRY_MAX_MILLIS, now);
    }

    /// Leaves time for an election that is under way before this replica's next attempt.
    pub(super) fn postpone_election(&mut self, now: ClockMillis) {
        let due_at = self.election_due_at;
        self.schedule_election_retry(now);
        self.election_due_at = self.election_due_at.max(due_at);
    }

    fn set_election_timer(&mut self, shortest: SpanMillis, longest: SpanMillis, now: ClockMillis) {
        let factor = self.election_backoff();
        let longest = longest.saturating_mul(factor).min(MAX_ELECTION_MILLIS);
        let shortest = shortest.saturating_mul(factor);
        let shortest = shortest.min(SpanMillis::new(longest.millis() / 2));
        let range = shortest.millis()..=longest.millis();
        let wait = SpanMillis::new(self.rng.random_range(range));
        self.election_due_at = now.after(wait);
    }

    /// Returns the factor by which elections wait longer after several fruitless ones of
    /// this replica: messages may take longer than the usual pause.
    ///
    /// Terms of others don't count. They may have passed while this replica was stopped.
    fn election_backoff(&self) -> u64 {
        let doublings = self.fruitless_elections.saturating_sub(PROMPT_ELECTIONS);
        1 << doublings.min(MAX_ELECTION_DOUBLINGS)
    }

    /// Becomes a follower in `term`, which is the current term or a newer one.
    pub(super) fn become_follower(&mut self, term: TermNumber) {
        let led_term = self.step_down();
        if let Some(led_term) = led_term {
            self.report(ReplicaReport::LeaderDeposed { term: led_term });
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

    pub(super) fn build_message(
        &self,
        to: Option<DiskId>,
        term: TermNumber,
        body: PeerBody,
    ) -> PeerMessage {
        PeerMessage {
            group: self.hard_state.group,
            from: self.member_id(),
            to,
            term,
            body,
            tail: MessageTail {
                is_stopping: self.is_stopping,
                uses_joint_quorums: true,
                ..MessageTail::default()
            },
        }
    }

    /// Sends a message at once; it must not depend on unsynced state.
    pub(super) fn send(&mut self, to: MemberId, body: PeerBody) {
        let message = self.build_message(Some(to.disk), self.hard_state.term, body);
        self.actions.push(ReplicaAction::Send {
            to: to.replica,
            message,
        });
    }

    /// Sends a message once all earlier writes are synced.
    pub(super) fn send_after_sync(&mut self, to: MemberId, body: PeerBody) {
        self.send_after_sync_in(self.hard_state.term, to, body);
    }

    /// Sends a message with `term` once all earlier writes are synced.
    pub(super) fn send_after_sync_in(&mut self, term: TermNumber, to: MemberId, body: PeerBody) {
        let deferred = DeferredMessage {
            to: to.replica,
            message: self.build_message(Some(to.disk), term, body),
        };
        if let Some(deferred) = self.disk.defer(deferred) {
            self.actions.push(ReplicaAction::Send {
                to: deferred.to,
                message: deferred.message,
            });
        }
    }
}
