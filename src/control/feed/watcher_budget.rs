use crate::clock::{ClockMillis, SpanMillis};

/// The bytes a second that a watcher is sent on average.
pub(crate) const BYTES_A_SECOND: u64 = 3_000;
/// The unused bytes that a watcher may save up.
const MOST_SAVED: i64 = 21_000;
/// The bytes that a large reply may overdraw at most.
const MOST_OWED: i64 = 5_400;
/// The bytes of headers around each request and reply.
const FRAME_BYTES: usize = 900;

/// A token bucket in bytes that spaces the replies to one watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WatcherBudget {
    saved: i64,
    at: ClockMillis,
}

impl WatcherBudget {
    /// Starts with all that may be saved up.
    pub(crate) fn new(now: ClockMillis) -> Self {
        Self {
            saved: MOST_SAVED,
            at: now,
        }
    }

    /// Returns how long the next reply has to wait.
    pub(crate) fn pause(&mut self, now: ClockMillis) -> SpanMillis {
        self.refill(now);
        let owed = u64::try_from(-self.saved).unwrap_or(0);
        SpanMillis::new((owed * 1_000).div_ceil(BYTES_A_SECOND))
    }

    /// Counts a reply of `bytes` with the headers around it.
    ///
    /// What goes beyond the allowed debt is forgiven, so that one snapshot
    /// can't hold up later changes for minutes.
    pub(crate) fn charge(&mut self, bytes: usize, now: ClockMillis) {
        self.refill(now);
        let bytes = i64::try_from(bytes + FRAME_BYTES).unwrap_or(i64::MAX);
        self.saved = self.saved.saturating_sub(bytes).max(-MOST_OWED);
    }

    fn refill(&mut self, now: ClockMillis) {
        let earned = now.since(self.at).millis().saturating_mul(BYTES_A_SECOND) / 1_000;
        if earned == 0 {
            return;
        }
        let earned = i64::try_from(earned).unwrap_or(i64::MAX);
        self.saved = self.saved.saturating_add(earned).min(MOST_SAVED);
        self.at = now;
    }
}
