//! Measurements; run with `--release -- --nocapture measure`.
//!
//! A debug build runs fewer seeds, which only checks that the code works.

use hdrhistogram::Histogram;

use super::group_simulator::GroupSimulator;
use crate::clock::SpanMillis;

/// Upper bound of the histograms in milliseconds.
const MAX_RECORDED: u64 = 100_000_000;
const SEEDS: u64 = if cfg!(debug_assertions) { 5 } else { 200 };
const MISSED_ENTRIES: usize = 500;
const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);
const STEP_MILLIS: SpanMillis = SpanMillis::new(25);

#[test]
fn measure_failover_time() {
    for count in [3, 5] {
        let mut outages = Histogram::<u64>::new_with_max(MAX_RECORDED, 3).expect("a valid range");
        for seed in 0..SEEDS {
            let mut simulator = GroupSimulator::new(count, seed);
            simulator.run(SETTLE_MILLIS);
            let old_leader = simulator.leader().expect("a group is formed");
            // The leader crashes at a different time between heartbeats with each seed.
            simulator.pass_time(SpanMillis::new(seed % 150));
            simulator.crash(old_leader, 0);
            let start = simulator.now;
            let elected = loop {
                simulator.run(STEP_MILLIS);
                let leader = simulator.leader();
                if let Some(leader) = leader {
                    break leader;
                }
            };
            let key = simulator.propose(elected);
            simulator.settle();
            assert!(
                simulator.history.outcomes.contains_key(&key),
                "the proposal is answered at once"
            );
            outages.saturating_record(simulator.now.since(start).millis());
        }
        println!(
            "{count} replicas, {SEEDS} seeds: p50 {} ms, p90 {} ms, p99 {} ms, max {} ms",
            outages.value_at_quantile(0.5),
            outages.value_at_quantile(0.9),
            outages.value_at_quantile(0.99),
            outages.max(),
        );
    }
}

#[test]
fn measure_catch_up() {
    for (name, interval_entries, retained_entries) in
        [("entries", 4_096, 1_024), ("snapshot", 100, 0)]
    {
        let mut simulator =
            GroupSimulator::new(3, 11).with_compaction(interval_entries, retained_entries);
        simulator.run(SETTLE_MILLIS);
        let leader = simulator.leader().expect("a group is formed");
        let lagging = (leader + 1) % 3;
        simulator.crash(lagging, 0);
        for _ in 0..MISSED_ENTRIES {
            simulator.propose(leader);
            simulator.settle();
        }
        simulator.run(SETTLE_MILLIS);
        simulator.restart(lagging);
        simulator.count_messages_of(lagging);
        let start = simulator.now;
        let last = simulator.view(leader).expect("it runs").commit;
        while simulator.view(lagging).expect("it runs").applied < last {
            simulator.run(STEP_MILLIS);
        }
        println!(
            "{MISSED_ENTRIES} missed changes by {name}: {} messages, {} bytes both ways, {} ms",
            simulator.messages,
            simulator.bytes,
            simulator.now.since(start).millis(),
        );
    }
}

#[test]
fn measure_idle_traffic() {
    for count in [3, 5] {
        let mut simulator = GroupSimulator::new(count, 11);
        simulator.run(SETTLE_MILLIS);
        let leader = simulator.leader().expect("a group is formed");
        simulator.count_messages_of(leader);
        simulator.run(SpanMillis::new(10_000));
        println!(
            "{count} replicas idle, leader, both ways: {} messages/s, {} bytes/s",
            simulator.messages / 10,
            simulator.bytes / 10,
        );
    }
}
