use super::running_mean::RunningMean;

/// The window grows while the service time is at most this share of the best known
/// one, in percent.
const GROWTH_PERCENT: u64 = 150;
/// The window halves when the service time is above this share of the best known
/// one, in percent.
const BACKOFF_PERCENT: u64 = 200;
/// The number of answers whose mean is compared for a backoff, or the slots if there
/// are more: slots that start together also answer together, and the busy time of
/// all of them then falls on the first answer.
const RECENT_ANSWERS: u64 = 8;
/// The number of answers whose mean may become the best known service time; the
/// least of shorter means would be a matter of chance.
const BASELINE_ANSWERS: u64 = 16;
/// The number of answers before which no means are compared.
const MIN_ANSWERS: u64 = 4;
/// Each answer moves the best known service time by this part towards a higher mean,
/// so that other requests or a lasting change of the target do not hold the window
/// down: after a change to five times the service time it grows again after about
/// twenty answers.
const DRIFT_DIVISOR: u64 = 16;

/// Limits the requests in flight at a target that has just started or recovered,
/// and finds the limit that it bears from how it answers.
#[derive(Debug, Clone)]
pub(super) struct PaceWindow {
    /// The limit, `None` while the usual one holds.
    window: Option<usize>,
    /// Whether the target says that it is cold.
    warming: bool,
    /// Answers since the window last changed.
    round_answers: usize,
    /// Their service time in microseconds.
    round_micros: u64,
    recent: RunningMean,
    baseline: RunningMean,
    /// The best known service time, in microseconds.
    best: Option<u64>,
}

impl Default for PaceWindow {
    fn default() -> Self {
        Self {
            window: None,
            warming: false,
            round_answers: 0,
            round_micros: 0,
            recent: RunningMean::new(RECENT_ANSWERS),
            baseline: RunningMean::new(BASELINE_ANSWERS),
            best: None,
        }
    }
}

impl PaceWindow {
    /// Starts at half of the slots, for a target that is cold or has recovered.
    pub(super) fn begin(&mut self, slots: u32) {
        let start = (slots / 2).max(1) as usize;
        self.window = Some(self.window.map_or(start, |window| window.min(start)));
        self.recent = RunningMean::new(RECENT_ANSWERS.max(slots.into()));
        self.start_round();
    }

    /// Drops the best known service time, since another incarnation runs now.
    pub(super) fn forget_best(&mut self) {
        self.baseline.clear();
        self.best = None;
    }

    /// Sets whether the target says that it is cold. `limit` is the usual limit.
    pub(super) fn set_warming(&mut self, warming: bool, slots: u32, limit: usize) {
        self.warming = warming;
        if warming && self.window.is_none() {
            self.begin(slots);
        }
        self.end_at(limit);
    }

    /// Returns how many requests may be in flight, `None` if the usual limit holds.
    pub(super) fn window(&self) -> Option<usize> {
        self.window
    }

    /// Records an answer with its service time. `limit` is the usual limit.
    pub(super) fn record_answer(&mut self, micros: u64, limit: usize) {
        self.update_best(micros);
        let Some(window) = self.window else {
            return;
        };
        self.round_answers += 1;
        self.round_micros = self.round_micros.saturating_add(micros);
        self.recent.record(micros);
        let recent = self.recent.after(MIN_ANSWERS);
        let is_slow = match (recent, self.best) {
            (Some(recent), Some(best)) => recent * 100 > best * BACKOFF_PERCENT,
            _ => false,
        };
        if is_slow {
            self.window = Some((window / 2).max(1));
            self.recent.clear();
            self.start_round();
        } else if self.round_answers >= window {
            let round_mean = self.round_micros / self.round_answers as u64;
            let is_fast = self
                .best
                .is_none_or(|best| round_mean * 100 <= best * GROWTH_PERCENT);
            if is_fast {
                self.window = Some((window + 1).min(limit));
            }
            self.start_round();
        }
        self.end_at(limit);
    }

    fn update_best(&mut self, micros: u64) {
        self.baseline.record(micros);
        let Some(mean) = self.baseline.after(MIN_ANSWERS) else {
            return;
        };
        self.best = Some(match self.best {
            Some(best) if mean > best => best + (mean - best) / DRIFT_DIVISOR,
            Some(_) | None => mean,
        });
    }

    fn start_round(&mut self) {
        self.round_answers = 0;
        self.round_micros = 0;
    }

    /// Ends the pace once the window has reached the usual limit and the target is
    /// not cold.
    fn end_at(&mut self, limit: usize) {
        if !self.warming && self.window.is_some_and(|window| window >= limit) {
            self.window = None;
        }
    }
}
