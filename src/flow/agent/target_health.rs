use crate::clock::{ClockMillis, SpanMillis};

/// Whether a target answers, derived from its packets without probing it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TargetHealth {
    last_heard_at: Option<ClockMillis>,
    suspect: bool,
}

impl TargetHealth {
    /// Records that the target sent something; clears the suspicion.
    ///
    /// Returns whether the target was suspected before.
    pub(crate) fn record_activity(&mut self, now: ClockMillis) -> bool {
        self.last_heard_at = Some(now);
        std::mem::take(&mut self.suspect)
    }

    /// Records that an opening sent at `sent_at` got no answer. The target is
    /// suspected if it has sent nothing since then.
    ///
    /// Returns whether the suspicion is new.
    pub(crate) fn record_unanswered(&mut self, sent_at: ClockMillis) -> bool {
        let silent = self
            .last_heard_at
            .is_none_or(|last_heard_at| last_heard_at <= sent_at);
        let newly_suspected = silent && !self.suspect;
        self.suspect |= silent;
        newly_suspected
    }

    /// Returns the time since the target last sent anything, `None` if it never did.
    pub(crate) fn silence(&self, now: ClockMillis) -> Option<SpanMillis> {
        self.last_heard_at
            .map(|last_heard_at| now.since(last_heard_at))
    }

    /// Returns when the target last sent anything.
    pub(crate) fn heard_at(&self) -> Option<ClockMillis> {
        self.last_heard_at
    }

    /// Returns whether the target is suspected of not answering.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect
    }
}
