use crate::clock::{ClockMillis, SpanMillis};

/// The average bytes per second sent to a watcher.
pub(crate) const BYTES_PER_SECOND: u64 = 3_000;
/// The capacity of the bucket.
const BURST_BYTES: i64 = 21_000;
/// The largest debt that a reply can leave.
const MAX_DEBT_BYTES: i64 = 5_400;
/// The bytes of headers counted for each request and its reply.
const OVERHEAD_BYTES: usize = 900;

/// A token bucket in bytes that spaces the replies to one watcher.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WatcherBudget {
    balance_bytes: i64,
    refilled_at: ClockMillis,
}

impl WatcherBudget {
    /// Creates a full bucket.
    pub(crate) fn new(now: ClockMillis) -> Self {
        Self {
            balance_bytes: BURST_BYTES,
            refilled_at: now,
        }
    }

    /// Returns how long the next reply has to wait.
    pub(crate) fn reply_delay(&mut self, now: ClockMillis) -> SpanMillis {
        self.refill(now);
        let debt = u64::try_from(-self.balance_bytes).unwrap_or(0);
        SpanMillis::new((debt * 1_000).div_ceil(BYTES_PER_SECOND))
    }

    /// Charges a reply of `bytes` plus `OVERHEAD_BYTES`.
    ///
    /// Debt beyond `MAX_DEBT_BYTES` is not counted, so that one snapshot can't delay later
    /// changes for minutes.
    pub(crate) fn charge(&mut self, bytes: usize, now: ClockMillis) {
        self.refill(now);
        let bytes = i64::try_from(bytes + OVERHEAD_BYTES).unwrap_or(i64::MAX);
        self.balance_bytes = self
            .balance_bytes
            .saturating_sub(bytes)
            .max(-MAX_DEBT_BYTES);
    }

    fn refill(&mut self, now: ClockMillis) {
        let accrued = now
            .since(self.refilled_at)
            .millis()
            .saturating_mul(BYTES_PER_SECOND)
            / 1_000;
        if accrued == 0 {
            return;
        }
        let accrued = i64::try_from(accrued).unwrap_or(i64::MAX);
        self.balance_bytes = self.balance_bytes.saturating_add(accrued).min(BURST_BYTES);
        self.refilled_at = now;
    }
}
