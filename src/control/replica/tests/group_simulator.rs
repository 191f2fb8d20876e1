//! Some replicas, their disks and the messages between them, in any order.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{history_checker::HistoryChecker, test_node::TestNode};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::{
        api::ReplicaRole,
        replica::{
            EntryPayload, GroupAdmission, PeerMessage, ProposalKey, ReadKey, ReplicaAction,
            ReplicaCore, ReplicaEvent, ReplicaId, ReplicaPeers, ReplicaView, TICK_MILLIS,
            replica_log::LogCompaction,
        },
    },
};

/// A message under way.
struct Envelope {
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// The replicas and what was promised to clients.
pub(super) struct GroupSimulator {
    pub(super) nodes: Vec<TestNode>,
    in_flight: Vec<Envelope>,
    blocked_links: BTreeSet<(usize, usize)>,
    pub(super) now: ClockMillis,
    rng: StdRng,
    pub(super) history: HistoryChecker,
    compaction: LogCompaction,
    /// The replicas that found an open group; a listed group has none.
    founders: Option<usize>,
    counted_node: Option<usize>,
    pub(super) messages: usize,
    pub(super) bytes: usize,
}

impl GroupSimulator {
    pub(super) fn new(count: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..count).map(|_| TestNode::new(&mut rng)).collect();
        let mut simulator = Self {
            nodes,
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            now: ClockMillis::new(1),
            rng,
            history: HistoryChecker::default(),
            compaction: LogCompaction {
                interval_entries: 8,
                retained_entries: 3,
            },
            founders: None,
            counted_node: None,
            messages: 0,
            bytes: 0,
        };
        for node in 0..count {
            simulator.restart(node);
        }
        simulator
    }

    /// Makes the group open: the first `founders` replicas form it, and every
    /// other one knows only them.
    pub(super) fn with_founders(mut self, founders: usize) -> Self {
        self.founders = Some(founders);
        for node in 0..self.nodes.len() {
            self.crash(node, 0);
            self.restart(node);
        }
        self
    }

    /// Sets when every replica compacts its log; they start again.
    pub(super) fn with_compaction(mut self, interval_entries: u64, retained_entries: u64) -> Self {
        self.compaction = LogCompaction {
            interval_entries,
            retained_entries,
        };
        for node in 0..self.nodes.len() {
            self.crash(node, 0);
            self.restart(node);
        }
        self
    }

    /// Counts only the messages from or to one replica from now on.
    pub(super) fn count_for(&mut self, node: usize) {
        self.counted_node = Some(node);
        self.messages = 0;
        self.bytes = 0;
    }

    /// Starts a stopped replica from its disk.
    pub(super) fn restart(&mut self, node: usize) {
        if self.nodes[node].core.is_some() {
            return;
        }
        let known_replicas = self.founders.unwrap_or(self.nodes.len());
        let others = (0..known_replicas).filter(|other| *other != node);
        let recovered = self.nodes[node].disk.clone();
        let peers = ReplicaPeers {
            own: replica_id(node),
            others: others.map(replica_id).collect(),
            admission: match self.founders {
                None => GroupAdmission::Listed,
                Some(founders) => GroupAdmission::Open {
                    founds: node < founders && !self.nodes[node].lost_disk,
                    least_voters: 3,
                },
            },
        };
        let core = ReplicaCore::new(peers, recovered, self.rng.random(), self.now)
            .with_compaction(self.compaction);
        self.nodes[node].core = Some(core);
        self.nodes[node].state.clear();
    }

    /// Adds replicas with empty disks; the others start again and know of them.
    pub(super) fn add_replicas(&mut self, count: usize) {
        for node in 0..self.nodes.len() {
            self.crash(node, 0);
        }
        for _ in 0..count {
            self.nodes.push(TestNode::new(&mut self.rng));
        }
        for node in 0..self.nodes.len() {
            self.restart(node);
        }
    }

    /// Kills a replica; `kept` entries of the batch under way reach the disk.
    pub(super) fn crash(&mut self, node: usize, kept: usize) {
        let node = &mut self.nodes[node];
        node.core = None;
        if let Some(batch) = node.pending_sync.take()
            && kept > 0
        {
            node.write(batch, kept - 1);
        }
    }

    /// Kills a replica and gives it an empty disk.
    pub(super) fn lose_disk(&mut self, node: usize) {
        self.crash(node, 0);
        self.nodes[node] = TestNode::new(&mut self.rng);
        self.nodes[node].lost_disk = true;
    }

    /// Cuts the way from one replica to another.
    pub(super) fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Cuts a replica off in both directions.
    pub(super) fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.blocked_links.insert((node, other));
            self.blocked_links.insert((other, node));
        }
    }

    pub(super) fn heal(&mut self) {
        self.blocked_links.clear();
    }

    pub(super) fn tick(&mut self, node: usize) {
        self.handle(node, ReplicaEvent::Tick);
    }

    pub(super) fn pass_time(&mut self, span: SpanMillis) {
        self.now = self.now.after(span);
    }

    /// Finishes the sync that is under way at a replica.
    pub(super) fn sync(&mut self, node: usize) {
        if let Some(batch) = self.nodes[node].pending_sync.take() {
            let token = batch.token;
            self.nodes[node].write(batch, usize::MAX);
            self.handle(node, ReplicaEvent::Synced { token });
        }
    }

    /// Delivers a message under way; a copy may stay.
    pub(super) fn deliver(&mut self, pick: usize, copy: bool) {
        if self.in_flight.is_empty() {
            return;
        }
        let pick = pick % self.in_flight.len();
        let envelope = if copy {
            let envelope = &self.in_flight[pick];
            Envelope {
                message: envelope.message.clone(),
                ..*envelope
            }
        } else {
            self.in_flight.remove(pick)
        };
        if !self.blocked_links.contains(&(envelope.from, envelope.to)) {
            self.handle(envelope.to, ReplicaEvent::MessageReceived(envelope.message));
        }
    }

    pub(super) fn drop_message(&mut self, pick: usize) {
        if !self.in_flight.is_empty() {
            self.in_flight.remove(pick % self.in_flight.len());
        }
    }

    /// Runs everything in order for a while.
    pub(super) fn run(&mut self, span: SpanMillis) {
        let end = self.now.after(span);
        while self.now < end {
            self.pass_time(TICK_MILLIS);
            for node in 0..self.nodes.len() {
                self.tick(node);
            }
            self.settle();
        }
    }

    /// Delivers and syncs until nothing is under way.
    pub(super) fn settle(&mut self) {
        const MAX_STEPS: usize = 100_000;
        for _ in 0..MAX_STEPS {
            if !self.in_flight.is_empty() {
                self.deliver(0, false);
            } else if let Some(node) =
                (0..self.nodes.len()).find(|node| self.nodes[*node].pending_sync.is_some())
            {
                self.sync(node);
            } else {
                return;
            }
        }
        panic!("the replicas never come to rest");
    }

    pub(super) fn propose(&mut self, node: usize) -> ProposalKey {
        let (key, bytes) = self.history.new_proposal();
        let payload = EntryPayload::new(bytes);
        self.handle(node, ReplicaEvent::Proposed { key, payload });
        key
    }

    pub(super) fn read(&mut self, node: usize) -> ReadKey {
        let key = self.history.new_read();
        self.handle(node, ReplicaEvent::ReadRequested { key });
        key
    }

    pub(super) fn transfer_leadership(&mut self, node: usize) {
        self.handle(node, ReplicaEvent::LeadershipTransferRequested);
    }

    pub(super) fn view(&self, node: usize) -> Option<ReplicaView> {
        let core = self.nodes[node].core.as_ref()?;
        Some(core.view(self.now))
    }

    /// Returns the replica that leads in the newest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let views = (0..self.nodes.len()).filter_map(|node| Some((node, self.view(node)?)));
        views
            .filter(|(_, view)| view.role == ReplicaRole::Leader)
            .max_by_key(|(_, view)| view.term)
            .map(|(node, _)| node)
    }

    /// Checks that a replica has applied everything that was accepted.
    pub(super) fn assert_applied_all_acknowledged(&self, node: usize) {
        for (index, bytes) in &self.history.acknowledged {
            let held = self.nodes[node].state.get(index);
            assert_eq!(held, Some(bytes), "entry {index} is lost at {node}");
        }
    }

    fn handle(&mut self, node: usize, event: ReplicaEvent) {
        let now = self.now;
        let Some(core) = &mut self.nodes[node].core else {
            return;
        };
        for action in core.handle(event, now) {
            self.execute(node, action);
        }
    }

    fn execute(&mut self, node: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                let to = usize::try_from(to.number()).expect("few replicas") - 1;
                if self
                    .counted_node
                    .is_none_or(|counted_node| counted_node == node || counted_node == to)
                {
                    self.messages += 1;
                    self.bytes += postcard::to_stdvec(&message).expect("plain data").len();
                }
                self.in_flight.push(Envelope {
                    from: node,
                    to,
                    message,
                });
            }
            ReplicaAction::Persist(batch) => {
                let earlier = self.nodes[node].pending_sync.replace(batch);
                assert!(earlier.is_none(), "two batches are under way");
            }
            ReplicaAction::Apply { index, payload } => {
                let bytes = payload.bytes().to_vec();
                self.history.check_applied(index.number(), &bytes);
                self.nodes[node].state.insert(index.number(), bytes);
            }
            ReplicaAction::Restore { payload } => {
                self.nodes[node].state = postcard::from_bytes(payload.bytes()).expect("a state");
            }
            ReplicaAction::TakeSnapshot { index } => {
                let bytes = postcard::to_stdvec(&self.nodes[node].state).expect("plain data");
                let payload = EntryPayload::new(bytes);
                self.handle(node, ReplicaEvent::SnapshotTaken { index, payload });
            }
            ReplicaAction::AnswerProposal { key, outcome } => {
                self.history.check_proposal(key, outcome);
            }
            ReplicaAction::AnswerRead { key, outcome } => {
                let applied = self.view(node).expect("it answers").applied;
                self.history.check_read(key, outcome, applied);
            }
            ReplicaAction::Report(report) => self.history.check_report(node, report),
        }
    }
}

fn replica_id(node: usize) -> ReplicaId {
    ReplicaId::new(u32::try_from(node + 1).expect("few replicas"))
}
