use crate::clock::{ClockMillis, SpanMillis};

/// Whether a target answers, as its agent sees it without asking.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct TargetHealth {
    heard_at: Option<ClockMillis>,
    suspect: bool,
}

impl TargetHealth {
    /// Notes that the target sent something.
    ///
    /// Returns whether it had been suspected.
    pub(crate) fn hear(&mut self, now: ClockMillis) -> bool {
        self.heard_at = Some(now);
        std::mem::take(&mut self.suspect)
    }

    /// Notes that an opening that was sent at `sent_at` got no answer; the
    /// target is suspected if it has sent nothing else since.
    ///
    /// Returns whether it was not suspected before.
    pub(crate) fn miss(&mut self, sent_at: ClockMillis) -> bool {
        let silent = self.heard_at.is_none_or(|heard_at| heard_at <= sent_at);
        let fresh = silent && !self.suspect;
        self.suspect |= silent;
        fresh
    }

    /// Returns how long the target has sent nothing, `None` if it never did.
    pub(crate) fn silence(&self, now: ClockMillis) -> Option<SpanMillis> {
        self.heard_at.map(|heard_at| now.since(heard_at))
    }

    /// Returns whether the target is suspected to be unable to answer.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspect
    }
}
