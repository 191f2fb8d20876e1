use std::{
    collections::BTreeSet,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// The number of cuts described in the report.
const MAX_CUTS: usize = 10;

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestOutcome {
    /// A complete successful answer came from the right service.
    Answered,
    /// A successful answer or a stream line came from another service.
    Misrouted,
    /// It was refused with a guarantee that it did not run.
    NotRun,
    /// Any other unsuccessful answer came.
    Failed,
    /// The connection failed after the request was sent.
    Cut,
}

/// What the callers of the demo observe.
#[derive(Debug, Default)]
pub(super) struct DemoCounters {
    outcomes: [AtomicU64; 5],
    unconnected: AtomicU64,
    slowest_connect_millis: AtomicU64,
    lines: AtomicU64,
    broken_streams: AtomicU64,
    cuts: Mutex<Vec<String>>,
    refused_commands: Mutex<BTreeSet<String>>,
}

impl DemoCounters {
    /// Counts a request.
    pub(super) fn count(&self, outcome: RequestOutcome) {
        self.outcomes[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of requests with this outcome.
    pub(super) fn outcome_count(&self, outcome: RequestOutcome) -> u64 {
        self.outcomes[outcome as usize].load(Ordering::Relaxed)
    }

    /// Returns the number of requests with any outcome.
    pub(super) fn requests(&self) -> u64 {
        self.outcomes
            .iter()
            .map(|count| count.load(Ordering::Relaxed))
            .sum()
    }

    /// Counts a failed connection attempt; no request was sent on it.
    pub(super) fn count_unconnected(&self) {
        self.unconnected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of failed connection attempts.
    pub(super) fn unconnected(&self) -> u64 {
        self.unconnected.load(Ordering::Relaxed)
    }

    /// Records the time of a connection attempt.
    pub(super) fn record_connect_time(&self, span: Duration) {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        self.slowest_connect_millis
            .fetch_max(millis, Ordering::Relaxed);
    }

    /// Returns the longest connection attempt, in milliseconds.
    pub(super) fn slowest_connect_millis(&self) -> u64 {
        self.slowest_connect_millis.load(Ordering::Relaxed)
    }

    /// Counts lines of a stream.
    pub(super) fn count_lines(&self, lines: u64) {
        self.lines.fetch_add(lines, Ordering::Relaxed);
    }

    /// Returns the number of lines of all streams.
    pub(super) fn lines(&self) -> u64 {
        self.lines.load(Ordering::Relaxed)
    }

    /// Counts a stream that ended, failed or lost a line.
    pub(super) fn count_broken_stream(&self) {
        self.broken_streams.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of broken streams.
    pub(super) fn broken_streams(&self) -> u64 {
        self.broken_streams.load(Ordering::Relaxed)
    }

    /// Records the cause of a cut, for the first `MAX_CUTS` cuts.
    pub(super) fn record_cut(&self, cause: String) {
        let mut cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        if cuts.len() < MAX_CUTS {
            cuts.push(cause);
        }
    }

    /// Returns the causes of the first cuts.
    pub(super) fn cut_causes(&self) -> Vec<String> {
        let cuts = self.cuts.lock().unwrap_or_else(PoisonError::into_inner);
        cuts.clone()
    }

    /// Records a command that was refused as not run.
    pub(super) fn record_refused_command(&self, id: String) {
        self.lock_refused_commands().insert(id);
    }

    /// Returns whether a command was refused as not run.
    pub(super) fn is_refused_command(&self, id: &str) -> bool {
        self.lock_refused_commands().contains(id)
    }

    fn lock_refused_commands(&self) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
        self.refused_commands
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
