//! Some replicas, their disks and the messages between them, in any order.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    clock::{ClockMillis, SpanMillis},
    control::replica::{
        DiskBatch, DiskId, EntryPayload, LogCompaction, PeerMessage, ProposalKey, ProposalOutcome,
        ReadKey, ReadOutcome, RecoveredState, ReplicaAction, ReplicaCore, ReplicaEvent, ReplicaId,
        ReplicaPeers, ReplicaReport, ReplicaView, TICK_MILLIS,
    },
};

/// One replica with its disk; the state machine is the list of its changes.
pub(super) struct Node {
    core: Option<ReplicaCore>,
    disk: RecoveredState,
    syncing: Option<DiskBatch>,
    state: BTreeMap<u64, Vec<u8>>,
}

/// A message under way.
struct Flight {
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// The replicas and what was promised to clients.
pub(super) struct Shuffler {
    pub(super) nodes: Vec<Node>,
    flights: Vec<Flight>,
    cuts: BTreeSet<(usize, usize)>,
    pub(super) now: ClockMillis,
    generator: StdRng,
    proposals: BTreeMap<ProposalKey, Vec<u8>>,
    reads: BTreeMap<ReadKey, u64>,
    contents: BTreeMap<u64, Vec<u8>>,
    leaders: BTreeMap<u64, usize>,
    pub(super) accepted: BTreeMap<u64, Vec<u8>>,
    pub(super) outcomes: BTreeMap<ProposalKey, ProposalOutcome>,
    pub(super) read_outcomes: BTreeMap<ReadKey, ReadOutcome>,
    pub(super) reports: Vec<(usize, ReplicaReport)>,
    pub(super) messages: usize,
    pub(super) bytes: usize,
    keys: u64,
}

impl Shuffler {
    pub(super) fn new(count: usize, seed: u64) -> Self {
        let mut generator = StdRng::seed_from_u64(seed);
        let nodes = (0..count).map(|_| Node::new(&mut generator)).collect();
        let mut shuffler = Self {
            nodes,
            flights: Vec::new(),
            cuts: BTreeSet::new(),
            now: ClockMillis::new(1),
            generator,
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            contents: BTreeMap::new(),
            leaders: BTreeMap::new(),
            accepted: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            read_outcomes: BTreeMap::new(),
            reports: Vec::new(),
            messages: 0,
            bytes: 0,
            keys: 0,
        };
        for node in 0..count {
            shuffler.restart(node);
        }
        shuffler
    }

    /// Starts a stopped replica from its disk.
    pub(super) fn restart(&mut self, node: usize) {
        if self.nodes[node].core.is_some() {
            return;
        }
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let peers = ReplicaPeers {
            own: replica(node),
            others: others.map(replica).collect(),
        };
        let compaction = LogCompaction { every: 8, kept: 3 };
        let recovered = self.nodes[node].disk.clone();
        let core = ReplicaCore::new(peers, recovered, self.generator.random(), self.now)
            .with_compaction(compaction);
        self.nodes[node].core = Some(core);
        self.nodes[node].state.clear();
    }

    /// Kills a replica; `kept` entries of the batch under way reach the disk.
    pub(super) fn crash(&mut self, node: usize, kept: usize) {
        let node = &mut self.nodes[node];
        node.core = None;
        if let Some(batch) = node.syncing.take()
            && kept > 0
        {
            node.write(batch, kept - 1);
        }
    }

    /// Kills a replica and gives it an empty disk.
    pub(super) fn lose_disk(&mut self, node: usize) {
        self.crash(node, 0);
        self.nodes[node] = Node::new(&mut self.generator);
    }

    /// Cuts the way from one replica to another.
    pub(super) fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Cuts a replica off in both directions.
    pub(super) fn isolate(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            self.cuts.insert((node, other));
            self.cuts.insert((other, node));
        }
    }

    pub(super) fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(super) fn tick(&mut self, node: usize) {
        self.handle(node, ReplicaEvent::Tick);
    }

    pub(super) fn pass_time(&mut self, span: SpanMillis) {
        self.now = self.now.after(span);
    }

    /// Finishes the sync that is under way at a replica.
    pub(super) fn sync(&mut self, node: usize) {
        if let Some(batch) = self.nodes[node].syncing.take() {
            let token = batch.token;
            self.nodes[node].write(batch, usize::MAX);
            self.handle(node, ReplicaEvent::Synced { token });
        }
    }

    /// Delivers a message under way; a copy may stay.
    pub(super) fn deliver(&mut self, pick: usize, copy: bool) {
        if self.flights.is_empty() {
            return;
        }
        let pick = pick % self.flights.len();
        let flight = if copy {
            let flight = &self.flights[pick];
            Flight {
                message: flight.message.clone(),
                ..*flight
            }
        } else {
            self.flights.remove(pick)
        };
        if !self.cuts.contains(&(flight.from, flight.to)) {
            self.handle(flight.to, ReplicaEvent::Received(flight.message));
        }
    }

    pub(super) fn lose_message(&mut self, pick: usize) {
        if !self.flights.is_empty() {
            self.flights.remove(pick % self.flights.len());
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
        const MOST_STEPS: usize = 100_000;
        for _ in 0..MOST_STEPS {
            if !self.flights.is_empty() {
                self.deliver(0, false);
            } else if let Some(node) =
                (0..self.nodes.len()).find(|node| self.nodes[*node].syncing.is_some())
            {
                self.sync(node);
            } else {
                return;
            }
        }
        panic!("the replicas never come to rest");
    }

    pub(super) fn propose(&mut self, node: usize) -> ProposalKey {
        self.keys += 1;
        let key = ProposalKey(self.keys);
        let bytes = self.keys.to_be_bytes().to_vec();
        self.proposals.insert(key, bytes.clone());
        let payload = EntryPayload::new(bytes);
        self.handle(node, ReplicaEvent::Proposed { key, payload });
        key
    }

    pub(super) fn read(&mut self, node: usize) -> ReadKey {
        self.keys += 1;
        let key = ReadKey(self.keys);
        let newest = self.accepted.keys().next_back().copied().unwrap_or(0);
        self.reads.insert(key, newest);
        self.handle(node, ReplicaEvent::ReadAsked { key });
        key
    }

    pub(super) fn view(&self, node: usize) -> Option<ReplicaView> {
        let core = self.nodes[node].core.as_ref()?;
        Some(core.view(self.now))
    }

    /// Returns the replica that leads in the newest term.
    pub(super) fn leader(&self) -> Option<usize> {
        let views = (0..self.nodes.len()).filter_map(|node| Some((node, self.view(node)?)));
        views
            .filter(|(_, view)| view.role == crate::control::api::ReplicaRole::Leader)
            .max_by_key(|(_, view)| view.term)
            .map(|(node, _)| node)
    }

    /// Checks that a replica has applied everything that was accepted.
    pub(super) fn assert_holds_accepted(&self, node: usize) {
        for (index, bytes) in &self.accepted {
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
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Send { to, message } => {
                self.messages += 1;
                self.bytes += postcard::to_stdvec(&message).expect("plain data").len();
                let to = usize::from(to.number()) - 1;
                self.flights.push(Flight {
                    from: node,
                    to,
                    message,
                });
            }
            ReplicaAction::Persist(batch) => {
                let earlier = self.nodes[node].syncing.replace(batch);
                assert!(earlier.is_none(), "two batches are under way");
            }
            ReplicaAction::Apply { index, payload } => {
                let bytes = payload.bytes().to_vec();
                let content = self.contents.entry(index.number()).or_insert(bytes.clone());
                assert_eq!(*content, bytes, "two contents of entry {index}");
                self.nodes[node].state.insert(index.number(), bytes);
            }
            ReplicaAction::Restore { payload, .. } => {
                self.nodes[node].state = postcard::from_bytes(payload.bytes()).expect("a state");
            }
            ReplicaAction::TakeSnapshot { index } => {
                let bytes = postcard::to_stdvec(&self.nodes[node].state).expect("plain data");
                let payload = EntryPayload::new(bytes);
                self.handle(node, ReplicaEvent::SnapshotTaken { index, payload });
            }
            ReplicaAction::AnswerProposal { key, outcome } => {
                if let ProposalOutcome::Committed { index } = outcome {
                    let bytes = self.proposals[&key].clone();
                    assert_eq!(self.contents.get(&index.number()), Some(&bytes));
                    self.accepted.insert(index.number(), bytes);
                }
                assert!(self.outcomes.insert(key, outcome).is_none(), "two answers");
            }
            ReplicaAction::AnswerRead { key, outcome } => {
                if let ReadOutcome::Confirmed { index } = outcome {
                    assert!(index.number() >= self.reads[&key], "a read is too old");
                    let applied = self.view(node).expect("it answers").applied;
                    assert!(applied >= index, "a read comes before its state");
                }
                assert!(
                    self.read_outcomes.insert(key, outcome).is_none(),
                    "two answers"
                );
            }
            ReplicaAction::Report(report) => {
                if let ReplicaReport::LeaderElected { term } = report {
                    let leader = self.leaders.insert(term.number(), node);
                    assert!(leader.is_none(), "two leaders in term {term}");
                }
                self.reports.push((node, report));
            }
        }
    }
}

impl Node {
    fn new(generator: &mut StdRng) -> Self {
        Self {
            core: None,
            disk: RecoveredState::new(DiskId::new(generator.random())),
            syncing: None,
            state: BTreeMap::new(),
        }
    }

    fn write(&mut self, batch: DiskBatch, most_entries: usize) {
        if let Some(state) = batch.hard_state {
            self.disk.hard_state = state;
        }
        if let Some(snapshot) = batch.snapshot {
            let drop_to = batch.drop_to;
            let resets = batch.resets_log;
            self.disk
                .entries
                .retain(|entry| !resets && entry.index > drop_to);
            self.disk.snapshot = Some(snapshot);
        }
        for entry in batch.entries.into_iter().take(most_entries) {
            self.disk.entries.retain(|held| held.index < entry.index);
            self.disk.entries.push(entry);
        }
    }
}

fn replica(node: usize) -> ReplicaId {
    ReplicaId::new(u8::try_from(node + 1).expect("few replicas"))
}
