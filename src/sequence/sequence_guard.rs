use super::sequence_streak::{SequenceStreak, follows};
use crate::clock::{ClockMillis, SpanMillis};

/// Whether a numbered message is the newest of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SequenceVerdict {
    /// It is newer than all before.
    Newest,
    /// It is a copy of the newest one, or older.
    Stale,
    /// Its number can't follow the newest one.
    Odd,
}

/// Tells new messages of a sender from delayed ones by their numbers.
///
/// One message with a wrong number holds off no others for good: those that follow each
/// other win once nothing newer has come for some time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SequenceGuard {
    newest: u64,
    rival: Option<SequenceStreak>,
}

impl SequenceGuard {
    /// Creates the guard of a sender whose first message has this number.
    pub(crate) const fn new(first: u64) -> Self {
        Self {
            newest: first,
            rival: None,
        }
    }

    /// Judges a message. `patience` is how long nothing newer must have come before
    /// messages win that look older: longer than messages may be delayed.
    pub(crate) fn judge(
        &mut self,
        number: u64,
        patience: SpanMillis,
        now: ClockMillis,
    ) -> SequenceVerdict {
        if follows(number, self.newest) {
            self.newest = number;
            self.rival = None;
            return SequenceVerdict::Newest;
        }
        if number == self.newest {
            return SequenceVerdict::Stale;
        }
        let rival = self.rival.map_or_else(
            || SequenceStreak::new(number, now),
            |rival| rival.with_message(number, now),
        );
        if rival.is_believed(patience, now) {
            self.newest = number;
            self.rival = None;
            return SequenceVerdict::Newest;
        }
        self.rival = Some(rival);
        if number < self.newest {
            SequenceVerdict::Stale
        } else {
            SequenceVerdict::Odd
        }
    }
}
