//! Runs a simulated group millisecond by millisecond: messages, syncs, new links and
//! scheduling pauses take a random time within given bounds.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::RangeInclusive,
};

use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::group_simulator::{Envelope, GroupSimulator};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::replica::{ProposalKey, TICK_MILLIS},
};

const STEP_MILLIS: SpanMillis = SpanMillis::new(1);
/// Pause of the disk writer before a refused batch is tried again.
const DISK_RETRY_MILLIS: SpanMillis = SpanMillis::new(200);

/// How long things take, in milliseconds.
#[derive(Debug, Clone)]
pub(super) struct GroupTimings {
    sync: RangeInclusive<u64>,
    message: RangeInclusive<u64>,
    /// From when both replicas run until one can send to the other.
    link: RangeInclusive<u64>,
    /// How long a replica runs between two scheduling pauses.
    running: RangeInclusive<u64>,
    /// Length of a scheduling pause.
    paused: RangeInclusive<u64>,
}

impl GroupTimings {
    /// Creates the timings of idle VMs with fast disks.
    pub(super) fn new() -> Self {
        Self {
            sync: 1..=5,
            message: 1..=2,
            link: 0..=250,
            running: 1..=1,
            paused: 0..=0,
        }
    }

    /// Gives each replica 0.24 of a core, with scheduling pauses of up to 300 ms.
    pub(super) fn with_busy_cores(mut self) -> Self {
        self.running = 1..=94;
        self.paused = 0..=300;
        self
    }
}

/// What a replica has not handled yet, and when it runs.
#[derive(Default)]
struct NodeClock {
    inbox: VecDeque<Envelope>,
    sync_due_at: Option<ClockMillis>,
    /// Syncs end only after the next attempt of the writer on a disk with room.
    has_full_disk: bool,
    tick_due_at: ClockMillis,
    started_at: Option<ClockMillis>,
    pause_starts_at: ClockMillis,
    pause_ends_at: ClockMillis,
}

/// An input that a replica can handle now.
#[derive(Clone, Copy)]
enum ReadyInput {
    Tick,
    Message,
    Sync,
}

/// A simulated group in which everything takes time.
pub(super) struct TimedGroup {
    pub(super) simulator: GroupSimulator,
    timings: GroupTimings,
    rng: StdRng,
    clocks: Vec<NodeClock>,
    links: BTreeMap<(usize, usize), ClockMillis>,
    arrivals: BTreeMap<(ClockMillis, u64), Envelope>,
    last_arrivals: BTreeMap<(usize, usize), ClockMillis>,
    sent: u64,
    /// When which replica notices that which one refuses connections.
    refusals: Vec<(ClockMillis, usize, usize)>,
}

impl TimedGroup {
    /// Creates a group from a simulated one whose replicas all run.
    pub(super) fn new(simulator: GroupSimulator, timings: GroupTimings, seed: u64) -> Self {
        let now = simulator.now;
        let clocks = simulator.nodes.iter().map(|_| NodeClock::default());
        let mut group = Self {
            clocks: clocks.collect(),
            simulator,
            timings,
            rng: StdRng::seed_from_u64(seed),
            links: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            sent: 0,
            refusals: Vec::new(),
        };
        for node in 0..group.clocks.len() {
            group.start_clock(node, ClockMillis::ORIGIN);
            group.clocks[node].tick_due_at = now;
        }
        group
    }

    pub(super) fn set_timings(&mut self, timings: GroupTimings) {
        self.timings = timings;
    }

    /// Proposes a change to a replica.
    pub(super) fn propose(&mut self, node: usize) -> ProposalKey {
        let key = self.simulator.propose(node);
        self.schedule_outputs(node);
        key
    }

    /// Has a replica urge another one to lead.
    pub(super) fn transfer_leadership(&mut self, node: usize) {
        self.simulator.transfer_leadership(node);
        self.schedule_outputs(node);
    }

    /// From now on the disk of a replica refuses every batch, also the one under way.
    pub(super) fn fill_disk(&mut self, node: usize) {
        self.clocks[node].has_full_disk = true;
    }

    /// The disk of a replica has room again; the writer notices with its next attempt.
    pub(super) fn free_disk(&mut self, node: usize) {
        self.clocks[node].has_full_disk = false;
    }

    /// Stops every replica without notice.
    pub(super) fn lose_power(&mut self) {
        for node in 0..self.clocks.len() {
            let kept = self.rng.random_range(0..4);
            self.crash(node, kept);
        }
        self.arrivals.clear();
        self.links.clear();
    }

    /// Stops a replica without notice; see `GroupSimulator::crash`.
    pub(super) fn crash(&mut self, node: usize, kept: usize) {
        self.simulator.crash(node, kept);
        self.clocks[node] = NodeClock::default();
        self.links
            .retain(|(from, to), _| *from != node && *to != node);
    }

    /// Has each of `others` notice within `limit` that a replica refuses connections.
    pub(super) fn schedule_refusals(
        &mut self,
        refusing: usize,
        others: impl IntoIterator<Item = usize>,
        limit: SpanMillis,
    ) {
        for node in others {
            let span = SpanMillis::new(self.rng.random_range(1..=limit.millis()));
            let due_at = self.simulator.now.after(span);
            self.refusals.push((due_at, node, refusing));
        }
    }

    fn deliver_refusals(&mut self) {
        let now = self.simulator.now;
        let (due, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.refusals)
            .into_iter()
            .partition(|(due_at, ..)| *due_at <= now);
        self.refusals = pending;
        for (_, node, refusing) in due {
            self.simulator.refuse_connection(node, refusing);
            self.schedule_outputs(node);
        }
    }

    /// Starts a stopped replica.
    pub(super) fn start(&mut self, node: usize) {
        self.simulator.restart(node);
        self.start_clock(node, self.simulator.now);
    }

    fn start_clock(&mut self, node: usize, now: ClockMillis) {
        self.clocks[node] = NodeClock {
            started_at: Some(now),
            tick_due_at: now,
            pause_starts_at: now,
            pause_ends_at: now,
            ..NodeClock::default()
        };
    }

    /// Passes one millisecond.
    pub(super) fn step(&mut self) {
        self.simulator.pass_time(STEP_MILLIS);
        let now = self.simulator.now;
        while let Some(entry) = self.arrivals.first_entry()
            && entry.key().0 <= now
        {
            let envelope = entry.remove();
            let clock = &mut self.clocks[envelope.to];
            if clock.started_at.is_some() {
                clock.inbox.push_back(envelope);
            }
        }
        self.deliver_refusals();
        let mut order: Vec<usize> = (0..self.clocks.len()).collect();
        order.shuffle(&mut self.rng);
        for node in order {
            if self.is_running(node) {
                self.run_node(node);
            }
        }
    }

    pub(super) fn run(&mut self, span: SpanMillis) {
        let end = self.simulator.now.after(span);
        while self.simulator.now < end {
            self.step();
        }
    }

    /// Runs until `is_done` or for `limit`; returns the time that passed if it is done.
    pub(super) fn run_until(
        &mut self,
        limit: SpanMillis,
        is_done: impl Fn(&GroupSimulator) -> bool,
    ) -> Option<SpanMillis> {
        let start = self.simulator.now;
        while !is_done(&self.simulator) {
            if self.simulator.now.since(start) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.simulator.now.since(start))
    }

    fn is_running(&mut self, node: usize) -> bool {
        let now = self.simulator.now;
        let running = self.rng.random_range(self.timings.running.clone());
        let paused = self.rng.random_range(self.timings.paused.clone());
        let clock = &mut self.clocks[node];
        if clock.started_at.is_none() {
            return false;
        }
        if now >= clock.pause_ends_at {
            clock.pause_starts_at = now.after(SpanMillis::new(running));
            clock.pause_ends_at = clock.pause_starts_at.after(SpanMillis::new(paused));
        }
        now < clock.pause_starts_at
    }

    /// Has a replica handle everything that is ready, in a random order of the kinds,
    /// as the driver does.
    fn run_node(&mut self, node: usize) {
        loop {
            let now = self.simulator.now;
            let clock = &mut self.clocks[node];
            let mut ready = Vec::new();
            if clock.tick_due_at <= now {
                ready.push(ReadyInput::Tick);
            }
            if !clock.inbox.is_empty() {
                ready.push(ReadyInput::Message);
            }
            if clock.has_full_disk && clock.sync_due_at.is_some_and(|due_at| due_at <= now) {
                clock.sync_due_at = Some(now.after(DISK_RETRY_MILLIS));
            }
            if clock.sync_due_at.is_some_and(|due_at| due_at <= now) {
                ready.push(ReadyInput::Sync);
            }
            if ready.is_empty() {
                return;
            }
            match ready[self.rng.random_range(0..ready.len())] {
                ReadyInput::Tick => {
                    clock.tick_due_at = now.after(TICK_MILLIS);
                    self.simulator.tick(node);
                }
                ReadyInput::Message => {
                    if let Some(envelope) = clock.inbox.pop_front() {
                        self.simulator.receive(envelope);
                    }
                }
                ReadyInput::Sync => {
                    clock.sync_due_at = None;
                    self.simulator.sync(node);
                }
            }
            self.schedule_outputs(node);
        }
    }

    /// Schedules the sync and the messages that a replica has begun.
    fn schedule_outputs(&mut self, node: usize) {
        let now = self.simulator.now;
        if self.simulator.nodes[node].pending_sync.is_some()
            && self.clocks[node].sync_due_at.is_none()
        {
            let span = self.rng.random_range(self.timings.sync.clone());
            self.clocks[node].sync_due_at = Some(now.after(SpanMillis::new(span)));
        }
        for envelope in self.simulator.take_messages() {
            let path = (envelope.from, envelope.to);
            if self
                .link_ready_at(path)
                .is_none_or(|ready_at| ready_at > now)
            {
                continue;
            }
            let span = self.rng.random_range(self.timings.message.clone());
            let last = self.last_arrivals.get(&path).copied().unwrap_or_default();
            let arrives_at = last.max(now.after(SpanMillis::new(span)));
            self.last_arrivals.insert(path, arrives_at);
            self.sent += 1;
            self.arrivals.insert((arrives_at, self.sent), envelope);
        }
    }

    /// Returns when a link carries messages; `None` while one end does not run.
    fn link_ready_at(&mut self, path: (usize, usize)) -> Option<ClockMillis> {
        let (from, to) = path;
        let both_run_at = self.clocks[from]
            .started_at?
            .max(self.clocks[to].started_at?);
        let span = SpanMillis::new(self.rng.random_range(self.timings.link.clone()));
        let ready_at = self.links.entry(path).or_insert(both_run_at.after(span));
        Some(*ready_at)
    }
}
