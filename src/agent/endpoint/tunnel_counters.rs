use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;
use serde::Serialize;

/// Counters of the agent's tunnel since its start.
#[derive(Debug, Default)]
pub(crate) struct TunnelCounters {
    counts: [AtomicU64; CounterKind::COUNT],
}

/// One counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CounterKind {
    /// A datagram was delivered to the QUIC endpoint.
    Delivered,
    /// A first packet was passed on to the next candidate.
    PassedOn,
    /// A datagram was sent towards a caller.
    Answered,
    /// A frame was truncated, unknown, not authentic or not meant for agents.
    BadFrame,
    /// A datagram was for another service.
    OtherService,
    /// A datagram was for another agent.
    OtherTarget,
    /// A datagram belonged to an earlier run at this address.
    OtherIncarnation,
    /// An answer or another frame could not be sent, or a full inbox dropped a
    /// peer's message.
    Unsent,
    /// A path to a balancer was marked silent.
    LeftPath,
    /// A stateless reset was sent for a connection of an earlier target here.
    Reset,
}

/// A snapshot of the counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct TunnelTotals {
    /// Datagrams delivered to the QUIC endpoint.
    pub delivered: u64,
    /// First packets passed on to the next candidate.
    pub passed_on: u64,
    /// Datagrams sent towards callers.
    pub answered: u64,
    /// Frames that were truncated, unknown, not authentic or not meant for agents.
    pub bad_frames: u64,
    /// Datagrams for another service.
    pub other_service: u64,
    /// Datagrams for another agent.
    pub other_target: u64,
    /// Datagrams of an earlier run at this address.
    pub other_incarnation: u64,
    /// Frames that could not be sent, and peers' messages dropped by a full inbox.
    pub unsent: u64,
    /// Paths marked silent.
    pub left_paths: u64,
    /// Stateless resets sent for connections of earlier targets here.
    pub resets: u64,
}

impl CounterKind {
    /// The number of counters.
    const COUNT: usize = 10;
}

impl TunnelTotals {
    /// Publishes the totals as metrics, one series for each kind.
    pub(crate) fn publish(&self) {
        let kinds = [
            ("delivered", self.delivered),
            ("passed_on", self.passed_on),
            ("answered", self.answered),
            ("bad_frames", self.bad_frames),
            ("other_service", self.other_service),
            ("other_target", self.other_target),
            ("other_incarnation", self.other_incarnation),
            ("unsent", self.unsent),
            ("left_paths", self.left_paths),
            ("resets", self.resets),
        ];
        for (kind, count) in kinds {
            counter!("cyclamen_agent_packets_total", "kind" => kind).absolute(count);
        }
    }
}

impl TunnelCounters {
    /// Increments one counter.
    pub(crate) fn increment(&self, kind: CounterKind) {
        self.counts[kind as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current totals.
    pub(crate) fn read(&self) -> TunnelTotals {
        let read = |kind: CounterKind| self.counts[kind as usize].load(Ordering::Relaxed);
        TunnelTotals {
            delivered: read(CounterKind::Delivered),
            passed_on: read(CounterKind::PassedOn),
            answered: read(CounterKind::Answered),
            bad_frames: read(CounterKind::BadFrame),
            other_service: read(CounterKind::OtherService),
            other_target: read(CounterKind::OtherTarget),
            other_incarnation: read(CounterKind::OtherIncarnation),
            unsent: read(CounterKind::Unsent),
            left_paths: read(CounterKind::LeftPath),
            resets: read(CounterKind::Reset),
        }
    }
}
