//! Measurements; run with `--release -- --ignored --nocapture measure`.

use hdrhistogram::Histogram;

use super::shuffler::Shuffler;
use crate::clock::SpanMillis;

/// The largest time that a measurement records, in its unit.
const MOST_RECORDED: u64 = 100_000_000;
const SEEDS: u64 = 200;
const MISSED_ENTRIES: usize = 500;
const SETTLE_MILLIS: SpanMillis = SpanMillis::new(4_000);
const STEP_MILLIS: SpanMillis = SpanMillis::new(25);

#[test]
#[ignore = "a measurement, not a check"]
fn measure_the_time_without_a_leader() {
    for count in [3, 5] {
        let mut spans = Histogram::<u64>::new_with_max(MOST_RECORDED, 3).expect("a valid range");
        for seed in 0..SEEDS {
            let mut shuffler = Shuffler::new(count, seed);
            shuffler.run(SETTLE_MILLIS);
            let old = shuffler.leader().expect("a group is formed");
            // The leader dies at another point of its heartbeats each time.
            shuffler.pass_time(SpanMillis::new(seed % 150));
            shuffler.crash(old, 0);
            let start = shuffler.now;
            let elected = loop {
                shuffler.run(STEP_MILLIS);
                let leader = shuffler.leader();
                if let Some(leader) = leader {
                    break leader;
                }
            };
            let key = shuffler.propose(elected);
            shuffler.settle();
            assert!(
                shuffler.record.outcomes.contains_key(&key),
                "it accepts at once"
            );
            spans.saturating_record(shuffler.now.since(start).millis());
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
#[ignore = "a measurement, not a check"]
fn measure_the_catching_up() {
    for (name, every, kept) in [("entries", 4_096, 1_024), ("snapshot", 100, 0)] {
        let mut shuffler = Shuffler::new(3, 11).with_compaction(every, kept);
        shuffler.run(SETTLE_MILLIS);
        let leader = shuffler.leader().expect("a group is formed");
        let lagging = (leader + 1) % 3;
        shuffler.crash(lagging, 0);
        for _ in 0..MISSED_ENTRIES {
            shuffler.propose(leader);
            shuffler.settle();
        }
        shuffler.run(SETTLE_MILLIS);
        shuffler.restart(lagging);
        shuffler.count_for(lagging);
        let start = shuffler.now;
        let last = shuffler.view(leader).expect("it runs").commit;
        while shuffler.view(lagging).expect("it runs").applied < last {
            shuffler.run(STEP_MILLIS);
        }
        println!(
            "{MISSED_ENTRIES} missed changes by {name}: {} messages, {} bytes both ways, {} ms",
            shuffler.messages,
            shuffler.bytes,
            shuffler.now.since(start).millis(),
        );
    }
}

#[test]
#[ignore = "a measurement, not a check"]
fn measure_the_messages_of_an_idle_group() {
    for count in [3, 5] {
        let mut shuffler = Shuffler::new(count, 11);
        shuffler.run(SETTLE_MILLIS);
        let leader = shuffler.leader().expect("a group is formed");
        shuffler.count_for(leader);
        shuffler.run(SpanMillis::new(10_000));
        println!(
            "{count} replicas idle, leader, both ways: {} messages/s, {} bytes/s",
            shuffler.messages / 10,
            shuffler.bytes / 10,
        );
    }
}
