use crate::clock::{ClockMillis, SpanMillis};

/// How far a number may be ahead of the one before: a sender whose messages were lost
/// for an hour sends some ten thousand.
const MAX_STEP: u64 = 1 << 16;
/// Messages in a row that are believed, whatever came before.
const MIN_MESSAGES: u32 = 3;

/// Messages whose numbers follow each other, though not the newest one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SequenceStreak {
    last: u64,
    messages: u32,
    since: ClockMillis,
}

impl SequenceStreak {
    /// Creates the streak that a message starts.
    pub(crate) const fn new(number: u64, now: ClockMillis) -> Self {
        Self {
            last: number,
            messages: 1,
            since: now,
        }
    }

    /// Returns the streak with a message, which starts another one if it does not follow.
    /// A copy of the last message changes nothing.
    #[must_use]
    pub(crate) fn with_message(self, number: u64, now: ClockMillis) -> Self {
        if number == self.last {
            return self;
        }
        if !follows(number, self.last) {
            return Self::new(number, now);
        }
        Self {
            last: number,
            messages: self.messages.saturating_add(1),
            ..self
        }
    }

    /// Returns whether the streak outweighs a newer message that nothing has followed:
    /// it has lasted for `patience`, which is longer than messages may be delayed.
    pub(crate) fn is_believed(&self, patience: SpanMillis, now: ClockMillis) -> bool {
        self.messages >= MIN_MESSAGES && now.since(self.since) >= patience
    }
}

/// Returns whether a message may be the next one that arrives after an earlier one.
pub(super) fn follows(number: u64, earlier: u64) -> bool {
    number > earlier && number - earlier <= MAX_STEP
}
