use crate::clock::{ClockMillis, SpanMillis};

/// The time for which a mass expiry is held before it is decided again.
const HOLD_MILLIS: SpanMillis = SpanMillis::new(60_000);

/// A hold over the silent leases of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ServiceHold {
    /// When the silent leases are decided again.
    pub(super) until: ClockMillis,
}

impl ServiceHold {
    /// Starts a hold.
    pub(super) fn new(now: ClockMillis) -> Self {
        Self {
            until: now.after(HOLD_MILLIS),
        }
    }

    /// Returns the time that is left.
    pub(super) fn rest(self, now: ClockMillis) -> SpanMillis {
        self.until.since(now)
    }
}
