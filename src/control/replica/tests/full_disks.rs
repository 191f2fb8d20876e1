//! Disks that are full for some seconds each, one after another.
//!
//! The writer tries a refused batch again until the disk has room.

use rstest::rstest;

use super::{
    group_simulator::GroupSimulator,
    timed_group::{GroupTimings, TimedGroup},
};
use crate::{
    clock::{ClockMillis, SpanMillis},
    control::replica::{ProposalKey, ProposalOutcome},
};

const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);
const ORDER_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(100);
/// A caller asks another replica after this time without an answer.
const CALLER_PATIENCE_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The deployment's limit for the answer to an order (`ack-ms`).
const ORDER_LIMIT_MILLIS: SpanMillis = SpanMillis::new(5_000);
/// An order that comes this long after the last disk has room is answered within
/// `CALM_ORDER_LIMIT_MILLIS`.
const CALM_AFTER_MILLIS: SpanMillis = SpanMillis::new(1_000);
const CALM_ORDER_LIMIT_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How long the group is watched after the last disk has room.
const CALM_MILLIS: SpanMillis = SpanMillis::new(8_000);
/// How long a transfer of leadership may take if orders come meanwhile: the successor may
/// then lack one, so that it is not elected.
const TRANSFER_MILLIS: SpanMillis = SpanMillis::new(2_000);
const SEEDS: u64 = 2;

/// An order that its caller repeats until it is acknowledged.
#[derive(Debug)]
struct CallerOrder {
    asked_at: ClockMillis,
    attempted_at: ClockMillis,
    keys: Vec<ProposalKey>,
    acknowledged_after: Option<SpanMillis>,
}

/// A timed group with callers that send an order every `ORDER_INTERVAL_MILLIS`.
struct OrderedGroup {
    group: TimedGroup,
    orders: Vec<CallerOrder>,
    /// The orders that are not acknowledged.
    pending: Vec<usize>,
    order_due_at: ClockMillis,
}

impl OrderedGroup {
    fn start(replicas: usize, timings: GroupTimings, seed: u64) -> Self {
        let mut simulator = GroupSimulator::new(replicas, seed).with_founders(3);
        simulator.run(SETTLE_MILLIS);
        let group = TimedGroup::new(simulator, timings, seed);
        let order_due_at = group.simulator.now;
        let mut ordered = Self {
            group,
            orders: Vec::new(),
            pending: Vec::new(),
            order_due_at,
        };
        ordered.run(SpanMillis::new(1_500));
        let voters = ordered.voters();
        assert_eq!(voters, replicas, "seed {seed}");
        ordered
    }

    fn now(&self) -> ClockMillis {
        self.group.simulator.now
    }

    fn voters(&self) -> usize {
        let leader = self.leader();
        let view = self.group.simulator.view(leader).expect("it runs");
        view.members.len()
    }

    fn leader(&self) -> usize {
        self.group.simulator.leader().expect("a leader")
    }

    fn attempt(&mut self, order: usize) {
        if let Some(leader) = self.group.simulator.leader() {
            let key = self.group.propose(leader);
            self.orders[order].keys.push(key);
        }
        self.orders[order].attempted_at = self.now();
    }

    fn run(&mut self, span: SpanMillis) {
        let end = self.now().after(span);
        while self.now() < end {
            self.group.step();
            self.follow_orders();
            if self.now() >= self.order_due_at {
                self.order_due_at = self.now().after(ORDER_INTERVAL_MILLIS);
                self.orders.push(CallerOrder {
                    asked_at: self.now(),
                    attempted_at: self.now(),
                    keys: Vec::new(),
                    acknowledged_after: None,
                });
                self.pending.push(self.orders.len() - 1);
                self.attempt(self.orders.len() - 1);
            }
        }
    }

    fn follow_orders(&mut self) {
        let now = self.now();
        for order in self.pending.clone() {
            let state = &mut self.orders[order];
            let outcomes = &self.group.simulator.history.outcomes;
            let is_committed = |key: &ProposalKey| {
                matches!(outcomes.get(key), Some(ProposalOutcome::Committed { .. }))
            };
            if state.keys.iter().any(is_committed) {
                state.acknowledged_after = Some(now.since(state.asked_at));
            } else if now.since(state.attempted_at) >= CALLER_PATIENCE_MILLIS {
                self.attempt(order);
            }
        }
        let orders = &self.orders;
        self.pending
            .retain(|order| orders[*order].acknowledged_after.is_none());
    }

    /// Has the leader urge another replica to lead; returns the next leader.
    fn change_leader(&mut self) -> usize {
        self.group.transfer_leadership(self.leader());
        self.run(TRANSFER_MILLIS);
        self.leader()
    }

    /// Checks that the replicas have applied all changes once no orders come.
    fn assert_all_applied(&mut self) {
        self.group.run(CALM_ORDER_LIMIT_MILLIS);
        for node in 0..self.group.simulator.nodes.len() {
            self.group.simulator.assert_applied_all_acknowledged(node);
        }
    }

    /// Fills the disks one after another, with `pause` between them, for `full` each.
    fn fill_in_turn(&mut self, nodes: &[usize], full: SpanMillis, pause: SpanMillis) {
        for node in nodes {
            self.group.fill_disk(*node);
            self.run(full);
            self.group.free_disk(*node);
            self.run(pause);
        }
    }

    /// Returns the longest time until an order was acknowledged, of those asked since
    /// `start`; the last ones may still be under way.
    fn longest_answer(&self, start: ClockMillis, limit: SpanMillis) -> SpanMillis {
        let asked = self.orders.iter().filter(|order| order.asked_at >= start);
        let due = asked.filter(|order| self.now().since(order.asked_at) >= limit);
        let answers = due.map(|order| {
            let waited = self.now().since(order.asked_at);
            order.acknowledged_after.unwrap_or(waited)
        });
        answers.max().expect("some orders")
    }

    fn assert_in_time(&self, start: ClockMillis, limit: SpanMillis, seed: u64) {
        let longest = self.longest_answer(start, limit);
        assert!(longest < limit, "an order took {longest}, seed {seed}");
    }
}

/// In which order the disks become full, and who leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DiskTurn {
    /// The leader's disk and then those of followers.
    LeaderFirst,
    /// Followers' disks, and the leader's last.
    LeaderLast,
    /// Whoever leads when the turn comes, after a transfer of leadership.
    EachLeader,
}

/// Guards against orders that are refused or stay unanswered once disks were full one
/// after another, also to the end of the day.
#[rstest]
fn orders_are_acknowledged_while_disks_are_full_in_turn(
    #[values(3, 5, 8)] replicas: usize,
    #[values(DiskTurn::LeaderFirst, DiskTurn::LeaderLast, DiskTurn::EachLeader)] turn: DiskTurn,
    #[values(0, 1_000)] pause: u64,
) {
    for seed in 0..SEEDS {
        let mut ordered = OrderedGroup::start(replicas, GroupTimings::new(), seed);
        let start = ordered.now();
        let full = SpanMillis::new(1_500 + 900 * (seed % 4));
        let pause = SpanMillis::new(pause);
        let leader = ordered.leader();
        let mut nodes: Vec<usize> = (0..replicas)
            .map(|node| (leader + node) % replicas)
            .collect();
        if turn == DiskTurn::LeaderLast {
            nodes.rotate_left(1);
        }
        for node in nodes {
            let node = if turn == DiskTurn::EachLeader {
                ordered.change_leader()
            } else {
                node
            };
            ordered.fill_in_turn(&[node], full, pause);
        }
        let calm = ordered.now().after(CALM_AFTER_MILLIS);
        ordered.run(CALM_MILLIS);
        ordered.assert_in_time(start, ORDER_LIMIT_MILLIS, seed);
        ordered.assert_in_time(calm, CALM_ORDER_LIMIT_MILLIS, seed);
        assert_eq!(
            ordered.voters(),
            replicas,
            "a voter was removed, seed {seed}"
        );
        ordered.assert_all_applied();
    }
}

/// As above, with as many disks full at once as a group of that size tolerates.
#[rstest]
#[case(5, 2)]
#[case(6, 2)]
#[case(8, 3)]
fn orders_are_acknowledged_while_the_tolerated_number_of_disks_is_full(
    #[case] replicas: usize,
    #[case] tolerated: usize,
) {
    for seed in 0..SEEDS {
        let mut ordered = OrderedGroup::start(replicas, GroupTimings::new(), seed);
        let start = ordered.now();
        for first in 0..replicas {
            let nodes = (first..first + tolerated).map(|node| node % replicas);
            nodes.clone().for_each(|node| ordered.group.fill_disk(node));
            ordered.run(SpanMillis::new(2_500));
            nodes.for_each(|node| ordered.group.free_disk(node));
            ordered.run(SpanMillis::new(500));
        }
        ordered.run(CALM_MILLIS);
        ordered.assert_in_time(start, ORDER_LIMIT_MILLIS, seed);
    }
}

/// Guards against a group that elects no leader any more after the elections that started
/// while no majority had room, on all disks or on a candidate's.
#[rstest]
fn orders_go_on_once_a_majority_has_room_again(
    #[values(3, 5, 8)] replicas: usize,
    #[values(3_000, 30_000)] full: u64,
    #[values(false, true)] leader_crashes: bool,
) {
    for seed in 0..SEEDS {
        let mut ordered = OrderedGroup::start(replicas, GroupTimings::new(), seed);
        let leader = ordered.leader();
        for node in 0..replicas {
            ordered.group.fill_disk(node);
        }
        ordered.run(SpanMillis::new(200));
        if leader_crashes {
            ordered.group.crash(leader, 0);
            ordered.run(SpanMillis::new(full));
            ordered.group.start(leader);
        } else {
            ordered.run(SpanMillis::new(full));
        }
        for node in 0..replicas {
            ordered.group.free_disk(node);
            ordered.run(SpanMillis::new(400));
        }
        let calm = ordered.now().after(CALM_AFTER_MILLIS);
        ordered.run(CALM_MILLIS);
        ordered.assert_in_time(calm, CALM_ORDER_LIMIT_MILLIS, seed);
    }
}

/// Guards against a group without a leader after its leader was killed, or stopped, while
/// the disk of the next candidate was full.
#[rstest]
fn a_candidate_with_a_full_disk_delays_no_election(
    #[values(5, 6, 8)] replicas: usize,
    #[values(false, true)] transferred: bool,
) {
    for seed in 0..SEEDS {
        for offset in [1, replicas / 2, replicas - 1] {
            let mut ordered = OrderedGroup::start(replicas, GroupTimings::new(), seed);
            let leader = ordered.leader();
            let start = ordered.now();
            let full = (leader + offset) % replicas;
            ordered.group.fill_disk(full);
            if transferred {
                ordered.group.transfer_leadership(leader);
                ordered.run(SpanMillis::new(100));
            }
            ordered.group.crash(leader, 0);
            ordered.run(SpanMillis::new(4_000));
            ordered.group.free_disk(full);
            ordered.group.start(leader);
            ordered.run(CALM_MILLIS);
            ordered.assert_in_time(start, ORDER_LIMIT_MILLIS, seed);
        }
    }
}

/// A follower whose disk is full for longer than the leader keeps its entries gets a
/// snapshot, votes again, and holds every change.
#[rstest]
#[case(3)]
#[case(5)]
fn a_follower_catches_up_after_its_disk_was_full_for_long(#[case] replicas: usize) {
    for seed in 0..SEEDS {
        let mut ordered = OrderedGroup::start(replicas, GroupTimings::new(), seed);
        let start = ordered.now();
        let follower = (ordered.leader() + 1) % replicas;
        ordered.group.fill_disk(follower);
        ordered.run(SpanMillis::new(30_000));
        ordered.group.free_disk(follower);
        ordered.run(SpanMillis::new(3_000));
        ordered.assert_in_time(start, ORDER_LIMIT_MILLIS, seed);
        let leader_view = ordered.group.simulator.view(ordered.leader());
        let commit = leader_view.expect("it runs").commit;
        let view = ordered.group.simulator.view(follower).expect("it runs");
        assert!(view.durable_index.number() + 2 >= commit.number());
        ordered.assert_all_applied();
    }
}
