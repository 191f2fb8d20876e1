use std::collections::BTreeMap;

use metrics::{counter, gauge};
use serde::Serialize;

use crate::flow::{HeldOpenings, ResetCause, TargetFigures};

/// The resets that a process has sent to callers since its start, by cause.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
#[serde(transparent)]
pub(super) struct ResetCounters {
    counts: BTreeMap<&'static str, u64>,
}

impl ResetCounters {
    /// Counts a reset.
    pub(super) fn record(&mut self, cause: ResetCause) {
        *self.counts.entry(cause.label()).or_default() += 1;
    }

    /// Exports the counters as metrics, one series per cause.
    fn publish(&self) {
        for (cause, count) in &self.counts {
            counter!("cyclamen_resets_total", "cause" => *cause).absolute(*count);
        }
    }
}

/// The counters of a balancer since its start.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub(super) struct EntryCounters {
    /// Packets received from callers.
    pub(super) received: u64,
    /// Datagrams that could not be decoded as packets.
    pub(super) undecodable: u64,
    /// Packets sent to agents.
    pub(super) forwarded: u64,
    /// Openings among the forwarded packets.
    pub(super) opened: u64,
    /// Openings sent to another agent because the first one did not report.
    pub(super) resent: u64,
    /// Packets of flows whose owner had to be searched for.
    pub(super) looked: u64,
    /// Lookups that asked all agents at once, since a chain did not answer.
    pub(super) widened: u64,
    /// Packets answered with a reset.
    pub(super) refused: u64,
    /// Openings that waited for their turn on the link.
    pub(super) link_waits: u64,
    /// Openings that were refused after such a wait.
    pub(super) link_refused: u64,
    /// Flows reset because no target holds them.
    pub(super) ended: u64,
    /// Packets parked until routes and targets are known.
    pub(super) parked: u64,
    /// Packets that the kernel did not accept for sending.
    pub(super) unsent: u64,
    /// Resets sent to callers, by cause.
    pub(super) resets: ResetCounters,
}

impl EntryCounters {
    /// Exports the counters as metrics, one series per kind.
    pub(super) fn publish(&self) {
        let kinds = [
            ("received", self.received),
            ("undecodable", self.undecodable),
            ("forwarded", self.forwarded),
            ("opened", self.opened),
            ("resent", self.resent),
            ("looked", self.looked),
            ("widened", self.widened),
            ("refused", self.refused),
            ("link_waits", self.link_waits),
            ("link_refused", self.link_refused),
            ("ended", self.ended),
            ("parked", self.parked),
            ("unsent", self.unsent),
        ];
        for (kind, count) in kinds {
            counter!("cyclamen_entry_packets_total", "kind" => kind).absolute(count);
        }
        self.resets.publish();
    }
}

/// The counters of an agent since its start.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize)]
pub(super) struct SideCounters {
    /// Frames received from balancers and other agents.
    pub(super) frames: u64,
    /// Datagrams that could not be decoded as frames or packets.
    pub(super) undecodable: u64,
    /// Packets delivered to the target.
    pub(super) delivered: u64,
    /// Packets of the target sent to callers.
    pub(super) returned: u64,
    /// Packets passed on to other agents.
    pub(super) passed: u64,
    /// Openings that the target did not answer in time.
    pub(super) unanswered: u64,
    /// Openings that waited for a free slot of the target.
    pub(super) waited: u64,
    /// Resets sent to callers.
    pub(super) reset: u64,
    /// Packets dropped.
    pub(super) dropped: u64,
    /// Packets that the kernel did not accept for sending.
    pub(super) unsent: u64,
    /// Resets sent to callers, by cause.
    pub(super) resets: ResetCounters,
}

impl SideCounters {
    /// Exports the counters as metrics, one series per kind.
    pub(super) fn publish(&self) {
        let kinds = [
            ("frames", self.frames),
            ("undecodable", self.undecodable),
            ("delivered", self.delivered),
            ("returned", self.returned),
            ("passed", self.passed),
            ("unanswered", self.unanswered),
            ("waited", self.waited),
            ("reset", self.reset),
            ("dropped", self.dropped),
            ("unsent", self.unsent),
        ];
        for (kind, count) in kinds {
            counter!("cyclamen_side_packets_total", "kind" => kind).absolute(count);
        }
        self.resets.publish();
    }
}

/// Exports what an agent has measured of its target, and for how many openings that
/// mattered.
pub(super) fn publish_figures(figures: TargetFigures, held: HeldOpenings, failed: u64) {
    gauge!("cyclamen_side_speed_tenths").set(f64::from(figures.speed));
    gauge!("cyclamen_side_failures_permille").set(f64::from(figures.failures));
    publish_gauge(
        "cyclamen_side_pace_window",
        figures.pace_window.unwrap_or_default(),
    );
    counter!("cyclamen_side_held_total", "cause" => "pace").absolute(held.by_pace);
    counter!("cyclamen_side_held_total", "cause" => "cold_limit").absolute(held.by_cold_limit);
    counter!("cyclamen_side_failed_requests_total").absolute(failed);
}

/// Exports a gauge.
#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
pub(super) fn publish_gauge(name: &'static str, value: usize) {
    gauge!(name).set(value as f64);
}
