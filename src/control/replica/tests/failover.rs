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

fn kill_leader(replicas: usize, seed: u64) -> FailoverTimes {
    let mut group = start_group(replicas, seed);
    // The leader is killed at a different time between heartbeats with each seed.
    group.run(SpanMillis::new(500 + seed % 150));
    let old_leader = group.simulator.leader().expect("a group is formed");
    group.crash(old_leader, 0);
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
#[case(3)]
#[case(6)]
#[case(8)]
fn a_failover_is_mostly_election_timeout(#[case] replicas: usize) {
    let mut timeouts = Histogram::<u64>::new(3).expect("a valid precision");
    let mut remainders = Histogram::<u64>::new(3).expect("a valid precision");
    for seed in 0..SEEDS {
        let times = kill_leader(replicas, seed);
        let remainder = times.election.saturating_add(times.commit);
        timeouts.saturating_record(times.timeout.millis());
        remainders.saturating_record(remainder.millis());
    }
    for (name, spans) in [("timeout", &timeouts), ("remainder", &remainders)] {
        println!(
            "{replicas} replicas, {SEEDS} seeds, {name}: p50 {} ms, p90 {} ms, max {} ms",
            spans.value_at_quantile(0.5),
            spans.value_at_quantile(0.9),
            spans.max(),
        );
    }
    let usual_remainder = SpanMillis::new(remainders.value_at_quantile(0.9));
    assert!(usual_remainder < ELECTION_MIN_MILLIS, "{usual_remainder}");
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
