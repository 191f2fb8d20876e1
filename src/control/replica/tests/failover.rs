//! The time until a new leader acknowledges a change, and elections without a cause.

use hdrhistogram::Histogram;
use rstest::rstest;

use super::{
    group_simulator::GroupSimulator,
    timed_group::{GroupTimings, TimedGroup},
};
use crate::{clock::SpanMillis, control::replica::limits::ELECTION_MIN_MILLIS};

const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);
const LIMIT_MILLIS: SpanMillis = SpanMillis::new(20_000);
/// How long a group runs on busy cores.
const BUSY_MILLIS: SpanMillis = SpanMillis::new(120_000);
const SEEDS: u64 = 100;

/// How long it takes until a replica has noticed that the leader refuses connections.
const REFUSAL_MILLIS: u64 = 60;
/// The most that a failover may take where operators wait a second for an answer.
const CALLER_PATIENCE_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// How the other replicas notice that the leader is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderLoss {
    /// Its process has ended: connections to it are refused.
    Refusing,
    /// Its VM has no power: nothing comes.
    Silent,
}

/// How long the parts of a failover took.
#[derive(Debug, Clone, Copy)]
struct FailoverTimes {
    /// From the kill until the first other replica has missed the leader.
    timeout: SpanMillis,
    /// From there until another one is elected.
    election: SpanMillis,
    /// From there until it acknowledges a change that is proposed then.
    commit: SpanMillis,
}

fn start_group(replicas: usize, seed: u64) -> TimedGroup {
    let mut simulator = GroupSimulator::new(replicas, seed);
    simulator.run(SETTLE_MILLIS);
    TimedGroup::new(simulator, GroupTimings::new(), seed)
}

fn misses_leader(simulator: &GroupSimulator, node: usize) -> bool {
    let view = simulator.view(node);
    view.is_some_and(|view| view.leader.is_none())
}

fn kill_leader(replicas: usize, seed: u64, loss: LeaderLoss) -> FailoverTimes {
    let mut group = start_group(replicas, seed);
    // The leader is killed at a different time between heartbeats with each seed.
    group.run(SpanMillis::new(500 + seed % 150));
    let old_leader = group.simulator.leader().expect("a group is formed");
    group.crash(old_leader, 0);
    if loss == LeaderLoss::Refusing {
        let others = (0..replicas).filter(|node| *node != old_leader);
        group.schedule_refusals(old_leader, others, SpanMillis::new(REFUSAL_MILLIS));
    }
    let is_missed =
        |simulator: &GroupSimulator| (0..replicas).any(|node| misses_leader(simulator, node));
    let timeout = group.run_until(LIMIT_MILLIS, is_missed);
    let election = group.run_until(LIMIT_MILLIS, |simulator| simulator.leader().is_some());
    let leader = group.simulator.leader().expect("a leader is elected");
    let key = group.propose(leader);
    let commit = group.run_until(LIMIT_MILLIS, |simulator| {
        simulator.history.outcomes.contains_key(&key)
    });
    FailoverTimes {
        timeout: timeout.expect("the leader is missed"),
        election: election.expect("a leader is elected"),
        commit: commit.expect("the change is answered"),
    }
}

/// Guards against a failover that takes longer than the missing of the leader: what comes
/// after it is a few messages and syncs.
#[rstest]
fn a_failover_is_mostly_election_timeout(
    #[values(3, 6, 8)] replicas: usize,
    #[values(LeaderLoss::Refusing, LeaderLoss::Silent)] loss: LeaderLoss,
) {
    let mut totals = Histogram::<u64>::new(3).expect("a valid precision");
    let mut timeouts = Histogram::<u64>::new(3).expect("a valid precision");
    let mut remainders = Histogram::<u64>::new(3).expect("a valid precision");
    for seed in 0..SEEDS {
        let times = kill_leader(replicas, seed, loss);
        let remainder = times.election.saturating_add(times.commit);
        timeouts.saturating_record(times.timeout.millis());
        remainders.saturating_record(remainder.millis());
        totals.saturating_record(times.timeout.saturating_add(remainder).millis());
    }
    let parts = [
        ("timeout", &timeouts),
        ("remainder", &remainders),
        ("total", &totals),
    ];
    for (name, spans) in parts {
        println!(
            "{loss:?}, {replicas} replicas, {SEEDS} seeds, {name}: p50 {} ms, p90 {} ms, max {} ms",
            spans.value_at_quantile(0.5),
            spans.value_at_quantile(0.9),
            spans.max(),
        );
    }
    let usual_remainder = SpanMillis::new(remainders.value_at_quantile(0.9));
    assert!(usual_remainder < ELECTION_MIN_MILLIS, "{usual_remainder}");
    let usual_total = SpanMillis::new(totals.value_at_quantile(0.5));
    assert!(usual_total < CALLER_PATIENCE_MILLIS, "{usual_total}");
    if loss == LeaderLoss::Refusing {
        // Without the refusal the shortest election timeout alone takes as long.
        assert!(usual_total < ELECTION_MIN_MILLIS, "{usual_total}");
    }
}

/// Guards against election timeouts that a busy core exceeds although the leader runs.
#[rstest]
#[case(3)]
#[case(6)]
#[case(8)]
fn busy_cores_start_no_election(#[case] replicas: usize) {
    let mut group = start_group(replicas, 0);
    group.set_timings(GroupTimings::new().with_busy_cores());
    let end = group.simulator.now.after(BUSY_MILLIS);
    while group.simulator.now < end {
        group.step();
        for node in 0..replicas {
            let now = group.simulator.now;
            assert!(
                !misses_leader(&group.simulator, node),
                "replica {node} misses the leader at {now:?}"
            );
        }
    }
}

/// Guards against a follower that deposes a leader which the others hear, after a refusal
/// that came from another process at its address.
#[rstest]
#[case(3)]
#[case(6)]
fn a_refusal_seen_by_one_replica_deposes_no_leader(#[case] replicas: usize) {
    for seed in 0..SEEDS {
        let mut group = start_group(replicas, seed);
        group.run(SpanMillis::new(500 + seed % 150));
        let leader = group.simulator.leader().expect("a group is formed");
        let term = group.simulator.view(leader).expect("it runs").term;
        let follower = (leader + 1) % replicas;
        group.schedule_refusals(leader, [follower], SpanMillis::new(REFUSAL_MILLIS));
        group.run(SpanMillis::new(2_000));
        assert_eq!(group.simulator.leader(), Some(leader), "seed {seed}");
        let view = group.simulator.view(leader).expect("it runs");
        assert_eq!(view.term, term, "seed {seed}");
        assert!(!misses_leader(&group.simulator, follower), "seed {seed}");
    }
}
