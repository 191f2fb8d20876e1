//! Measurements; run with `--release -- --nocapture measure`.
//!
//! A debug build writes fewer entries, as a smoke test.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use tempfile::tempdir_in;

use super::{entries_batch, entry};
use crate::control::{journal::ReplicaJournal, replica::DiskId};

/// The upper bound of the latency histogram.
const MAX_LATENCY_MICROS: u64 = 100_000_000;
const ENTRIES: u64 = if cfg!(debug_assertions) { 64 } else { 2_000 };
const ENTRY_BYTES: usize = 300;

#[test]
fn measure_syncs_with_and_without_group_commit() {
    for group in [1, 4, 16, 64, 256] {
        // Use the build folder, since the system's temporary folder may be in memory.
        let folder = tempdir_in("target").expect("a temporary folder");
        let (mut journal, _) =
            ReplicaJournal::open(folder.path(), DiskId::new(1)).expect("an intact folder");
        let mut latencies =
            Histogram::<u64>::new_with_max(MAX_LATENCY_MICROS, 3).expect("a valid range");
        let start = Instant::now();
        let mut index = 1;
        while index <= ENTRIES {
            let end = (index + group).min(ENTRIES + 1);
            let entries = (index..end)
                .map(|index| entry(index, 1, ENTRY_BYTES))
                .collect();
            let batch_start = Instant::now();
            journal
                .write_batch(&entries_batch(entries))
                .expect("a successful write");
            latencies.saturating_record(micros(batch_start.elapsed()));
            index = end;
        }
        let total = start.elapsed();
        println!(
            "entries per sync {group:>3}: {:>8.0} entries/s, sync p50 {} us, p99 {} us, max {} us",
            f64::from(u32::try_from(ENTRIES).expect("a small number")) / total.as_secs_f64(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
            latencies.max(),
        );
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
