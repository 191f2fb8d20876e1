//! Measurements; run with `--release -- --ignored --nocapture measure`.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tempfile::tempdir_in;

use super::{entries_batch, entry};
use crate::control::{journal::ReplicaJournal, replica::DiskId};

/// The largest time that a measurement records, in its unit.
const MOST_RECORDED: u64 = 100_000_000;
const ENTRIES: u64 = 2_000;
const ENTRY_BYTES: usize = 300;

#[test]
#[ignore = "a measurement, not a check"]
fn measure_syncs_with_and_without_group_commit() {
    for group in [1, 4, 16, 64, 256] {
        // The build folder lies on a disk; a temporary one may lie in memory.
        let folder = tempdir_in("target").expect("a temporary folder");
        let (mut journal, _) =
            ReplicaJournal::open(folder.path(), DiskId::new(1)).expect("a whole folder");
        let mut latencies =
            Histogram::<u64>::new_with_max(MOST_RECORDED, 3).expect("a valid range");
        let start = Instant::now();
        let mut index = 1;
        while index <= ENTRIES {
            let end = (index + group).min(ENTRIES + 1);
            let entries = (index..end)
                .map(|index| entry(index, 1, ENTRY_BYTES))
                .collect();
            let begun = Instant::now();
            journal.write_batch(&entries_batch(entries)).expect("room");
            latencies.saturating_record(micros(begun.elapsed()));
            index = end;
        }
        let total = start.elapsed();
        println!(
            "entries a sync {group:>3}: {:>8.0} entries/s, sync p50 {} us, p99 {} us, max {} us",
            f64::from(u32::try_from(ENTRIES).expect("few")) / total.as_secs_f64(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
            latencies.max(),
        );
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
