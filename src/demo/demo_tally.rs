use std::{
    collections::BTreeSet,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// The cuts that are described in the report.
const MOST_CUTS: usize = 10;

/// What became of one request of the demo.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// The whole answer came from the right service.
    Answered,
    /// An answer came from another service.
    Misrouted,
    /// It was refused with the word that it did not run.
    NotRun,
    /// Another answer than success came.
    Failed,
    /// It was cut after it had been sent.
    Cut,
}

/// Counts what the callers of the demo see.
#[derive(Debug, Default)]
pub(super) struct DemoTally {
    outcomes: [AtomicU64; 5],
    unconnected: AtomicU64,
    slowest_connect_millis: AtomicU64,
    lines: AtomicU64,
    broken_streams: AtomicU64,
    cuts: Mutex<Vec<String>>,
    refused_runs: Mutex<BTreeSet<String>>,
}

impl DemoTally {
    /// Counts a request.
    pub(super) fn count(&self, outcome: RequestOutcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns how many requests had this outcome.
    pub(super) fn read(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes[outcome as usize].load(Ordering::Relaxed)
    }

    /// Returns all requests that were counted.
    pub(super) fn requests(&self) -> u64 {
        self.outcomes
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }

    /// Counts a connection that no agent accepted; no request was sent on it.
    pub(super) fn count_unconnected(&self) {
        self.unconnected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the connections that no agent accepted.
    pub(super) fn unconnected(&self) -> u64 {
        self.unconnected.load(Ordering::Relaxed)
    }

    /// Notes how long a caller waited for a connection.
    pub(super) fn note_connect(&self, span: Duration) {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        self.slowest_connect_millis
            .fetch_max(millis, Ordering::Relaxed);
    }

    /// Returns the longest wait for a connection, in milliseconds.
    pub(super) fn slowest_connect_millis(&self) -> u64 {
        self.slowest_connect_millis.load(Ordering::Relaxed)
    }

    /// Counts lines of a stream.
    pub(super) fn count_lines(&self, lines: u64) {
        self.lines.fetch_add(lines, Ordering::Relaxed);
    }

    /// Returns the lines of all streams.
    pub(super) fn lines(&self) -> u64 {
        self.lines.load(Ordering::Relaxed)
    }

    /// Counts a stream that ended, was cut, or lost a line.
    pub(super) fn count_broken_stream(&self) {
        self.broken_streams.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the broken streams.
    pub(super) fn broken_streams(&self) -> u64 {
        self.broken_streams.load(Ordering::Relaxed)
    }

    /// Remembers how a flow was cut, up to a bound.
    pub(super) fn note_cut(&self, cause: String) {
        let mut cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        if cuts.len() < MOST_CUTS {
            cuts.push(cause);
        }
    }

    /// Returns how flows were cut.
    pub(super) fn cuts(&self) -> Vec<String> {
        let cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        cuts.clone()
    }

    /// Remembers a command that was refused as not run.
    pub(super) fn note_refused_run(&self, id: String) {
        self.lock_refused().insert(id);
    }

    /// Returns whether a command was refused as not run.
    pub(super) fn was_refused(&self, id: &str) -> bool {
        self.lock_refused().contains(id)
    }

    fn lock_refused(&self) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
        self.refused_runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
