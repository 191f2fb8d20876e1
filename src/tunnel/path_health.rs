use crate::clock::{ClockMillis, SpanMillis};

/// Minimum time between two probes of a path in use.
const PROBE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(250);
/// Minimum time between two probes of a path that is avoided because it is silent.
const SLOW_PROBE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// Time after which a probe without an echo counts as missed.
const PROBE_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(250);
/// Number of consecutive missed probes after which a path is silent.
const SILENT_AFTER_MISSED: u8 = 3;

/// Tracks with probes and echoes whether a path in use still works.
///
/// Probes are piggybacked on frames that are sent anyway, so an idle path costs nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct PathHealth {
    probed_at: Option<ClockMillis>,
    pending_number: Option<u16>,
    last_number: u16,
    first_number: u16,
    missed_probes: u8,
    sent_since_probe: bool,
}

impl PathHealth {
    /// Creates the state of a path that has not been probed.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the state of a new path to the same peer, which ignores older echoes.
    ///
    /// It starts with one missed probe, so it is unconfirmed until it answers.
    pub(crate) fn restarted(self) -> Self {
        Self {
            last_number: self.last_number,
            first_number: self.last_number.wrapping_add(1),
            missed_probes: 1,
            ..Self::default()
        }
    }

    /// Returns whether the last probe went unanswered.
    pub(crate) fn is_unconfirmed(&self, now: ClockMillis) -> bool {
        let is_overdue = self.pending_number.is_some()
            && self
                .probed_at
                .is_some_and(|probed_at| now.since(probed_at) >= PROBE_TIMEOUT_MILLIS);
        is_overdue || self.missed_probes > 0
    }

    /// Returns the echo number for the next frame if a probe is due.
    pub(crate) fn next_probe(&mut self, now: ClockMillis) -> Option<u16> {
        self.expire_probe(now);
        let is_due = self
            .probed_at
            .is_none_or(|probed_at| now.since(probed_at) >= PROBE_INTERVAL_MILLIS);
        if self.pending_number.is_some() || !is_due {
            self.sent_since_probe = true;
            return None;
        }
        self.sent_since_probe = false;
        self.last_number = self.last_number.wrapping_add(1);
        self.pending_number = Some(self.last_number);
        self.probed_at = Some(now);
        self.pending_number
    }

    /// Records an echo and returns whether it belongs to this path.
    ///
    /// A late echo counts too, since it shows that the path works.
    pub(crate) fn record_echo(&mut self, number: u16) -> bool {
        let is_of_this_path = number.wrapping_sub(self.first_number)
            <= self.last_number.wrapping_sub(self.first_number);
        if !is_of_this_path || self.probed_at.is_none() {
            return false;
        }
        if self.pending_number == Some(number) {
            self.pending_number = None;
        }
        self.missed_probes = 0;
        true
    }

    /// Returns the echo number of a due probe if a probe was missed or frames were
    /// sent since the last probe.
    ///
    /// With little traffic, piggybacked probes alone detect a silent path slowly:
    /// a lost handshake packet is retransmitted only after a second or more.
    pub(crate) fn confirmation_probe(&mut self, now: ClockMillis) -> Option<u16> {
        self.expire_probe(now);
        if self.missed_probes == 0 && !self.sent_since_probe {
            return None;
        }
        self.next_probe(now)
    }

    /// Returns the echo number of a due probe for a path that is avoided because it is silent.
    pub(crate) fn slow_probe(&mut self, now: ClockMillis) -> Option<u16> {
        let is_due = self
            .probed_at
            .is_none_or(|probed_at| now.since(probed_at) >= SLOW_PROBE_INTERVAL_MILLIS);
        if is_due { self.next_probe(now) } else { None }
    }

    /// Returns whether too many consecutive probes were missed.
    pub(crate) fn is_silent(&mut self, now: ClockMillis) -> bool {
        self.expire_probe(now);
        self.missed_probes >= SILENT_AFTER_MISSED
    }

    fn expire_probe(&mut self, now: ClockMillis) {
        let Some(probed_at) = self.probed_at else {
            return;
        };
        if self.pending_number.is_some() && now.since(probed_at) >= PROBE_TIMEOUT_MILLIS {
            self.pending_number = None;
            self.missed_probes = self.missed_probes.saturating_add(1);
        }
    }
}
