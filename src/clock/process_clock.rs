use std::time::Instant;

use super::ClockMillis;

/// A monotonic clock; state machines never read it but get the time as an argument.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts a clock whose origin is now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> ClockMillis {
        let elapsed = self.origin.elapsed().as_millis();
        ClockMillis::new(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}
