use std::collections::BTreeMap;

use super::FleetEvent;
use crate::{
    clock::{ClockMillis, SpanMillis},
    event::log_event,
};

/// The most lines of one event in a second; further ones are only counted.
const MAX_LINES_PER_SECOND: u32 = 50;
/// The window over which lines are counted.
const WINDOW_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// Limits the log lines that packets cause and logs how many were omitted.
#[derive(Debug, Default)]
pub(super) struct LogLimiter {
    window_start: ClockMillis,
    line_counts: BTreeMap<u16, u32>,
}

impl LogLimiter {
    /// Returns whether a line of `event` may be written now.
    pub(super) fn allows(&mut self, event: FleetEvent, now: ClockMillis) -> bool {
        if now.since(self.window_start) >= WINDOW_MILLIS {
            self.close_window(now);
        }
        let lines = self.line_counts.entry(event.number()).or_default();
        *lines += 1;
        *lines <= MAX_LINES_PER_SECOND
    }

    fn close_window(&mut self, now: ClockMillis) {
        self.window_start = now;
        for (number, lines) in std::mem::take(&mut self.line_counts) {
            if let Some(omitted) = lines
                .checked_sub(MAX_LINES_PER_SECOND)
                .filter(|lines| *lines > 0)
            {
                log_event!(warn, FleetEvent::LinesOmitted, of = number, omitted);
            }
        }
    }
}
