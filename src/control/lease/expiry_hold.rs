use crate::clock::{ClockMillis, SpanMillis};

/// How long a mass expiry is held back before it is decided again.
const HOLD_MILLIS: SpanMillis = SpanMillis::new(60_000);

/// Keeps the silent targets of one service registered for a limited time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ExpiryHold {
    /// The time at which the leases are decided again.
    pub(super) until: ClockMillis,
}

impl ExpiryHold {
    /// Starts a hold at `now`.
    pub(super) fn new(now: ClockMillis) -> Self {
        Self {
            until: now.after(HOLD_MILLIS),
        }
    }

    /// Returns the time until the hold ends.
    pub(super) fn remaining(self, now: ClockMillis) -> SpanMillis {
        self.until.since(now)
    }
}
