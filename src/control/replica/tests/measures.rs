//! Measurements; run with `--release -- --nocapture measure`.
//!
//! A debug build runs a short form, so that the code keeps working.

use hdrhistogram::Histogram;

use super::group_simulator::GroupSimulator;
use crate::clock::SpanMillis;

/// The largest time that a measurement records, in its unit.
const MAX_RECORDED: u64 = 100_000_000;
const SEEDS: u64 = if cfg!(debug_assertions) { 5 } else { 200 };
const MISSED_ENTRIES: usize = 500;
const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);
const STEP_MILLIS: SpanMillis = SpanMillis::new(25);

#[test]
fn measure_the_time_without_a_leader() {
    for count in [3, 5] {
        let mut spans = Histogram::<u64>::new_with_max(MAX_RECORDED, 3).expect("a valid range");
        for seed in 0..SEEDS {
            let mut simulator = GroupSimulator::new(count, seed);
            simulator.run(SETTLE_MILLIS);
            let old = simulator.leader().expect("a group is formed");
            // The leader dies at another point of its heartbeats each time.
            simulator.pass_time(SpanMillis::new(seed % 150));
            simulator.crash(old, 0);
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
                "it accepts at once"
            );
            spans.saturating_record(simulator.now.since(start).millis());
        }
        println!(
            "{count} replicas, {SEEDS} seeds: p50 {} ms, p90 {} ms, p99 {} ms, max {} ms",
            spans.value_at_quantile(0.5),
            spans.value_at_quantile(0.9),
            spans.value_at_quantile(0.99),
            spans.max(),
        );
    }
}

#[test]
fn measure_the_catching_up() {
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
        simulator.count_for(lagging);
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
fn measure_the_messages_of_an_idle_group() {
    for count in [3, 5] {
        let mut simulator = GroupSimulator::new(count, 11);
        simulator.run(SETTLE_MILLIS);
        let leader = simulator.leader().expect("a group is formed");
        simulator.count_for(leader);
        simulator.run(SpanMillis::new(10_000));
        println!(
            "{count} replicas idle, leader, both ways: {} messages/s, {} bytes/s",
            simulator.messages / 10,
            simulator.bytes / 10,
        );
    }
}
