use super::running_mean::RunningMean;
use crate::clock::SpanMillis;

/// The number of answers that the mean service time covers: it is right within 5%
/// also if service times scatter as much as their mean. Each change of the announced
/// speed is sent to all balancers, so a steady target must not seem to change.
const MEAN_ANSWERS: u64 = 256;
/// The number of answers that show a change of the service time: a target of 25
/// answers a second that turns five times slower shows it within a second.
const RECENT_ANSWERS: u64 = 32;
/// The mean starts anew from the recent answers if their service time differs by more
/// than this factor, in percent: the speed has changed by a quarter or more.
const CHANGE_PERCENT: u64 = 133;
/// The weight of the recent answers when the mean starts anew, in answers: most of them
/// are from before the change.
const RESTART_WEIGHT: u64 = 8;
/// The number of answers before which the service time counts as unknown.
const MIN_ANSWERS: u64 = 8;
/// Service times are kept in microseconds, so that a mean of few milliseconds has
/// no rounding error.
const MICROS_PER_MILLI: u64 = 1_000;
/// Shorter mean service times count as this one, in microseconds. Pauses of a busy VM
/// raise the means of targets that answer within a millisecond to up to 4.9 ms, a
/// different one for each of them.
const MIN_SERVICE_MICROS: u64 = 5 * MICROS_PER_MILLI;
/// How long a request counts as busy time of a slot while the service time is
/// unknown. Latency goals are below a second, so a request that takes longer is a
/// matter of the failure rate.
const MAX_BUSY_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// The least time for which a request counts.
const MIN_BUSY_MILLIS: SpanMillis = SpanMillis::new(100);
/// A request counts for this many mean service times at most, so that one without an
/// answer does not make the others look slow: a target that turns five times slower
/// is still measured in full, and raises the mean.
const MAX_BUSY_MEANS: u64 = 8;
/// Tenths of an answer a second at one answer a microsecond.
const TENTHS_PER_MICRO: u64 = 10_000_000;

/// Measures how fast a target answers: the time in which its slots were busy,
/// divided by its answers.
///
/// Time that requests spend in the target's own queue is not busy time of a slot,
/// so the figure holds under queueing too.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceMeter {
    mean: RunningMean,
    recent: RunningMean,
    /// Busy time of slots since the last answer, in slot milliseconds.
    busy_millis: u64,
    /// The mean when the target began to fail, while it fails.
    mean_before_failing: Option<RunningMean>,
}

impl Default for ServiceMeter {
    fn default() -> Self {
        Self {
            mean: RunningMean::new(MEAN_ANSWERS),
            recent: RunningMean::new(RECENT_ANSWERS),
            busy_millis: 0,
            mean_before_failing: None,
        }
    }
}

impl ServiceMeter {
    /// Records that slots were busy for `slot_millis` in total.
    pub(super) fn add_busy(&mut self, slot_millis: u64) {
        self.busy_millis = self.busy_millis.saturating_add(slot_millis);
    }

    /// Records an answer. Returns the busy time since the one before it, in
    /// microseconds; its mean over some answers is their mean service time.
    pub(super) fn record_answer(&mut self) -> u64 {
        let micros = std::mem::take(&mut self.busy_millis).saturating_mul(MICROS_PER_MILLI);
        self.mean.record(micros);
        self.recent.record(micros);
        let means = (self.mean.after(MIN_ANSWERS), self.recent.after(MIN_ANSWERS));
        if let (Some(mean), Some(recent)) = means
            && mean.max(recent) * 100 > mean.min(recent) * CHANGE_PERCENT
        {
            self.mean = RunningMean::new(MEAN_ANSWERS).with_values(recent, RESTART_WEIGHT);
        }
        micros
    }

    /// Returns how long a request counts as busy time of a slot.
    pub(super) fn max_busy(&self) -> SpanMillis {
        let mean = self.mean.after(MIN_ANSWERS);
        let max_busy = mean.map(|mean| SpanMillis::new(mean * MAX_BUSY_MEANS / MICROS_PER_MILLI));
        max_busy.map_or(MAX_BUSY_MILLIS, |max_busy| {
            max_busy.clamp(MIN_BUSY_MILLIS, MAX_BUSY_MILLIS)
        })
    }

    /// Drops the busy time since the last answer, since the target was silent for a
    /// part of it.
    pub(super) fn skip_busy(&mut self) {
        self.busy_millis = 0;
    }

    /// Sets whether the target fails many requests. A target may answer faster
    /// while it fails others, so from then on its speed can fall but not rise. What
    /// was measured meanwhile is forgotten afterwards: one that hung would otherwise
    /// look slow until it has answered some hundred requests.
    pub(super) fn set_failing(&mut self, failing: bool) {
        match (self.mean_before_failing, failing) {
            (None, true) => self.mean_before_failing = Some(self.mean),
            (Some(before), false) => {
                self.mean = before;
                self.recent.clear();
                self.busy_millis = 0;
                self.mean_before_failing = None;
            }
            (None, false) | (Some(_), true) => {}
        }
    }

    /// Returns how many requests the target answers in a second with all of its
    /// `slots` busy, in tenths and at least one; `None` until that is known.
    pub(super) fn speed(&self, slots: u32) -> Option<u32> {
        let mut mean = self.mean.after(MIN_ANSWERS)?;
        if let Some(before) = self.mean_before_failing {
            mean = mean.max(before.after(MIN_ANSWERS)?);
        }
        let speed = u64::from(slots) * TENTHS_PER_MICRO / mean.max(MIN_SERVICE_MICROS);
        // Announcements state zero for an unknown speed.
        Some(u32::try_from(speed).unwrap_or(u32::MAX).max(1))
    }
}
