use crate::clock::{ClockMillis, SpanMillis};

/// The least time between two probes of a path in use.
const PROBE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(250);
/// The least time between two probes of a path that is given up for now.
const RARE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The time after which a probe without an echo counts as missed.
const PROBE_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(250);
/// The missed probes in a row after which a path counts as silent.
const SILENT_AFTER: u8 = 3;

/// Whether a path in use still answers.
///
/// Probes ride on frames that are sent anyway, so an idle path costs nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct PathHealth {
    probed_at: Option<ClockMillis>,
    waiting: Option<u16>,
    number: u16,
    first: u16,
    missed: u8,
    is_unproved: bool,
}

impl PathHealth {
    /// Creates a path of which nothing is known.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns another path to the same peer, to which older echoes don't count.
    ///
    /// It is doubtful until it answers.
    pub(crate) fn moved(self) -> Self {
        Self {
            number: self.number,
            first: self.number.wrapping_add(1),
            missed: 1,
            ..Self::default()
        }
    }

    /// Returns whether the last probe went unanswered.
    pub(crate) fn is_doubtful(&self, now: ClockMillis) -> bool {
        let is_late = self.waiting.is_some()
            && self
                .probed_at
                .is_some_and(|probed_at| now.since(probed_at) >= PROBE_TIMEOUT_MILLIS);
        is_late || self.missed > 0
    }

    /// Returns the number that the next frame should ask to echo, if due.
    pub(crate) fn next_probe(&mut self, now: ClockMillis) -> Option<u16> {
        self.expire_probe(now);
        let is_due = self
            .probed_at
            .is_none_or(|probed_at| now.since(probed_at) >= PROBE_INTERVAL_MILLIS);
        if self.waiting.is_some() || !is_due {
            self.is_unproved = true;
            return None;
        }
        self.is_unproved = false;
        self.number = self.number.wrapping_add(1);
        self.waiting = Some(self.number);
        self.probed_at = Some(now);
        self.waiting
    }

    /// Takes an echo and returns whether it is one of this path.
    ///
    /// A late echo still shows that the path works.
    pub(crate) fn take_echo(&mut self, number: u16) -> bool {
        let is_own = number.wrapping_sub(self.first) <= self.number.wrapping_sub(self.first);
        if !is_own || self.probed_at.is_none() {
            return false;
        }
        if self.waiting == Some(number) {
            self.waiting = None;
        }
        self.missed = 0;
        true
    }

    /// Returns the probe that is due to a path on which a probe was missed, or
    /// frames were sent after the last probe.
    ///
    /// Frames alone would find a silent path slowly where little is sent: each
    /// lost handshake packet is repeated only after a second or more.
    pub(crate) fn doubt_probe(&mut self, now: ClockMillis) -> Option<u16> {
        self.expire_probe(now);
        if self.missed == 0 && !self.is_unproved {
            return None;
        }
        self.next_probe(now)
    }

    /// Returns the probe that is due to a path that is given up for now.
    pub(crate) fn rare_probe(&mut self, now: ClockMillis) -> Option<u16> {
        let is_due = self
            .probed_at
            .is_none_or(|probed_at| now.since(probed_at) >= RARE_INTERVAL_MILLIS);
        if is_due { self.next_probe(now) } else { None }
    }

    /// Returns whether several probes in a row went unanswered.
    pub(crate) fn is_silent(&mut self, now: ClockMillis) -> bool {
        self.expire_probe(now);
        self.missed >= SILENT_AFTER
    }

    fn expire_probe(&mut self, now: ClockMillis) {
        let Some(probed_at) = self.probed_at else {
            return;
        };
        if self.waiting.is_some() && now.since(probed_at) >= PROBE_TIMEOUT_MILLIS {
            self.waiting = None;
            self.missed = self.missed.saturating_add(1);
        }
    }
}
