//! The pace of a target that is cold or has recovered, and what is measured of it.

use super::{AgentFlows, TargetFigures, TargetLifecycle};
use crate::{
    clock::{ClockMillis, SpanMillis},
    flow::HopHeader,
};

/// Openings that an agent passed on or queued although its target had capacity,
/// counted since the agent started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct HeldOpenings {
    /// Held back by the pace of the target.
    pub(crate) by_pace: u64,
    /// Held back by the limit that the service states for cold targets.
    pub(crate) by_cold_limit: u64,
}

impl AgentFlows {
    /// Sets whether the target says that it is cold. One that has not announced
    /// itself may be cold, so the stated limit is in force for it.
    pub(crate) fn set_warming(&mut self, warming: bool) {
        self.load.set_warming(warming);
        let is_unproved = self.lifecycle == TargetLifecycle::Unproved;
        self.cold_limiter.set_cold(warming || is_unproved);
    }

    /// Sets whether the target has been silent for long, in packets and
    /// announcements; once it is back, its pace is found again.
    pub(crate) fn set_silent(&mut self, silent: bool) {
        if std::mem::replace(&mut self.silent, silent) && !silent {
            self.load.begin_pace();
        }
    }

    /// Sets how many openings a second the service allows for a cold target; the
    /// limit is in force while the target says that it is cold.
    pub(crate) fn set_cold_limit(&mut self, per_second: Option<u32>) {
        self.cold_limiter.set_limit(per_second);
    }

    /// Returns what has been measured of the target.
    pub(crate) fn figures(&mut self, now: ClockMillis) -> TargetFigures {
        self.load.figures(now)
    }

    /// Returns the number of requests that the target failed.
    pub(crate) fn failed_requests(&self) -> u64 {
        self.load.failed()
    }

    /// Returns how many openings were held back for the target's pace or coldness.
    pub(crate) fn held_openings(&self) -> HeldOpenings {
        self.held
    }

    /// Records that the target sent something; returns whether it was suspected.
    pub(super) fn record_activity(&mut self, now: ClockMillis) -> bool {
        let recovered = self.health.record_activity(now);
        if recovered {
            self.load.begin_pace();
        }
        recovered
    }

    /// Returns whether the target may get another opening, and counts it as held
    /// back if a limit for cold or recovered targets forbids it.
    pub(super) fn admits_opening(&mut self, header: &HopHeader, now: ClockMillis) -> bool {
        let admits = self.can_deliver(header, now);
        if !admits {
            let is_cold = !self.cold_limiter.allows(now);
            self.held.by_cold_limit += u64::from(is_cold);
            self.held.by_pace += u64::from(!is_cold && self.load.is_paced(now));
        }
        admits
    }

    /// Returns whether the target may get another opening.
    ///
    /// The pace does not hold back an opening that all its other candidates have passed
    /// on: after a loss of all power every target is cold, and a slot left idle here is
    /// work that no other target can take.
    pub(super) fn can_deliver(&mut self, header: &HopHeader, now: ClockMillis) -> bool {
        let is_last_resort = header.hops > 0 && header.candidates().is_empty();
        let has_capacity =
            self.load.has_capacity(now) || (is_last_resort && self.load.has_unpaced_capacity(now));
        has_capacity && self.cold_limiter.allows(now)
    }

    /// Returns how many openings the target can start within `timeout`, `None` if
    /// that is unknown. The pace does not count: it may change at any time.
    pub(super) fn queue_capacity(&self, timeout: SpanMillis) -> Option<usize> {
        let startable = self.load.capacity_within(timeout);
        let allowed = self.cold_limiter.allowed_within(timeout);
        startable.into_iter().chain(allowed).min()
    }
}
