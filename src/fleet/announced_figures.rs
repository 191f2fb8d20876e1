use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::TargetFigures,
};

/// Steps of the announced speed, as the two leading digits; neighbours differ by
/// about a tenth, so that the scatter of a steady target seldom changes the step.
const SPEED_STEPS: [u32; 24] = [
    10, 11, 12, 13, 15, 16, 18, 20, 22, 24, 27, 30, 33, 36, 39, 43, 47, 51, 56, 62, 68, 75, 82, 91,
];
/// The announced speed changes if the measured one differs by more than this part.
const SPEED_TOLERANCE_DIVISOR: u32 = 10;
/// A speed that differs by more than this part is announced at once.
const SPEED_URGENT_DIVISOR: u32 = 4;
/// The number of steps of the announced failure rate, of two requests each among the
/// 32 that it covers: replicas publish no change by 50 thousandths or less.
const FAILURE_STEPS: u32 = 16;
/// The announced failure rate falls if the measured one is lower by this much, in
/// thousandths.
const FAILURE_TOLERANCE_PERMILLE: u16 = 100;
/// Balancers set a target aside at this failure rate, in thousandths; a change across
/// it is announced at once.
const FAILURE_LIMIT_PERMILLE: u16 = 250;
/// Minimum time between changes that are announced at once.
const URGENT_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(250);
/// Minimum time between other changes, and on average between all changes while the
/// pace of the target is not being found: each change starts a directory revision
/// at every replica and is sent to all its watchers.
const CHANGE_INTERVAL_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The number of urgent changes that may follow each other in shorter intervals.
const MAX_URGENT_CHANGES: u32 = 4;

/// The measured figures of a target as its agent announces them: in steps, and with
/// a limited rate of changes.
#[derive(Debug)]
pub(super) struct AnnouncedFigures {
    speed: u32,
    failures: u16,
    changed_at: Option<ClockMillis>,
    /// Urgent changes that are allowed now.
    urgent_changes: u32,
    /// The time until which `urgent_changes` has been replenished.
    replenished_at: ClockMillis,
}

impl AnnouncedFigures {
    /// Creates the figures of a target of which nothing has been measured.
    pub(super) fn new(now: ClockMillis) -> Self {
        Self {
            speed: 0,
            failures: 0,
            changed_at: None,
            urgent_changes: MAX_URGENT_CHANGES,
            replenished_at: now,
        }
    }

    /// Returns the announced speed, in tenths of an answer a second.
    pub(super) fn speed(&self) -> u32 {
        self.speed
    }

    /// Returns the announced failure rate, in thousandths.
    pub(super) fn failures(&self) -> u16 {
        self.failures
    }

    /// Takes over what was measured, unless it is too similar to what is announced or
    /// the last change is too recent; returns whether anything changed.
    pub(super) fn update(&mut self, measured: TargetFigures, now: ClockMillis) -> bool {
        self.replenish(now);
        let speed = next_speed(self.speed, measured.speed);
        let failures = next_failures(self.failures, measured.failures);
        if (speed, failures) == (self.speed, self.failures) {
            return false;
        }
        let is_urgent = is_urgent_speed(self.speed, measured.speed)
            || is_failing(self.failures) != is_failing(failures);
        let finds_pace = measured.pace_window.is_some();
        let has_budget = finds_pace || self.urgent_changes > 0;
        let interval = if is_urgent && has_budget {
            URGENT_INTERVAL_MILLIS
        } else {
            CHANGE_INTERVAL_MILLIS
        };
        let is_allowed = has_budget
            && self
                .changed_at
                .is_none_or(|changed_at| now.since(changed_at) >= interval);
        if is_allowed {
            if !finds_pace {
                self.urgent_changes -= 1;
            }
            self.set(speed, failures, now);
        }
        is_allowed
    }

    /// Takes over what was measured; for announcements that start a directory
    /// revision anyway.
    pub(super) fn replace(&mut self, measured: TargetFigures, now: ClockMillis) {
        let speed = next_speed(self.speed, measured.speed);
        let failures = next_failures(self.failures, measured.failures);
        if (speed, failures) != (self.speed, self.failures) {
            self.set(speed, failures, now);
        }
    }

    fn set(&mut self, speed: u32, failures: u16, now: ClockMillis) {
        self.speed = speed;
        self.failures = failures;
        self.changed_at = Some(now);
    }

    fn replenish(&mut self, now: ClockMillis) {
        while self.urgent_changes < MAX_URGENT_CHANGES
            && now.since(self.replenished_at) >= CHANGE_INTERVAL_MILLIS
        {
            self.urgent_changes += 1;
            self.replenished_at = self.replenished_at.after(CHANGE_INTERVAL_MILLIS);
        }
        if self.urgent_changes == MAX_URGENT_CHANGES {
            self.replenished_at = now;
        }
    }
}

/// Returns the speed to announce after `announced`.
fn next_speed(announced: u32, measured: u32) -> u32 {
    if announced.abs_diff(measured) <= announced / SPEED_TOLERANCE_DIVISOR {
        announced
    } else {
        nearest_step(measured)
    }
}

/// Returns the step next to a speed.
fn nearest_step(speed: u32) -> u32 {
    let mut scale = 1;
    while speed / scale >= 100 {
        scale *= 10;
    }
    let steps = SPEED_STEPS.into_iter().chain([100]);
    let scaled = steps.map(|step| step.saturating_mul(scale));
    // Below 10 tenths of an answer a second, each value is a step.
    scaled
        .min_by_key(|step| step.abs_diff(speed))
        .filter(|_| speed >= SPEED_STEPS[0])
        .unwrap_or(speed)
}

fn is_urgent_speed(announced: u32, measured: u32) -> bool {
    announced.abs_diff(measured) > announced / SPEED_URGENT_DIVISOR
}

/// Returns the failure rate to announce after `announced`.
fn next_failures(announced: u16, measured: u16) -> u16 {
    let step = failure_step(measured);
    let falls_enough = measured.saturating_add(FAILURE_TOLERANCE_PERMILLE) <= announced;
    if step > announced || falls_enough || measured == 0 {
        step
    } else {
        announced
    }
}

/// Returns the highest step that a failure rate reaches.
fn failure_step(failures: u16) -> u16 {
    let steps = u32::from(failures) * FAILURE_STEPS / 1_000;
    u16::try_from(steps * 1_000 / FAILURE_STEPS).unwrap_or(failures)
}

fn is_failing(failures: u16) -> bool {
    failures >= FAILURE_LIMIT_PERMILLE
}
