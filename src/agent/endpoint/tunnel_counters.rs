use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;
use serde::Serialize;

/// What the agent's tunnel has counted since the start.
#[derive(Debug, Default)]
pub(crate) struct TunnelCounters {
    counts: [AtomicU64; TunnelCount::ALL],
}

/// One kind of count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TunnelCount {
    /// A datagram went to the QUIC endpoint.
    Delivered,
    /// A first packet went to the next candidate.
    PassedOn,
    /// A datagram went to a caller.
    Answered,
    /// A frame was truncated, unknown or not authentic.
    BadFrame,
    /// A datagram belonged to another service.
    OtherService,
    /// A datagram was meant for another agent.
    OtherTarget,
    /// A datagram belonged to an earlier run at this address.
    OtherIncarnation,
    /// An answer found no balancer or a full kernel buffer.
    Unsent,
    /// A silent path to a balancer was left.
    LeftPath,
    /// A caller was told that a connection at this address is gone.
    Reset,
}

/// The counts at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct TunnelCounts {
    /// Datagrams that went to the QUIC endpoint.
    pub delivered: u64,
    /// First packets that went to the next candidate.
    pub passed_on: u64,
    /// Datagrams that went to callers.
    pub answered: u64,
    /// Frames that were truncated, unknown or not authentic.
    pub bad_frames: u64,
    /// Datagrams of another service.
    pub other_service: u64,
    /// Datagrams for another agent.
    pub other_target: u64,
    /// Datagrams of an earlier run at this address.
    pub other_incarnation: u64,
    /// Answers that could not be sent.
    pub unsent: u64,
    /// Silent paths that were left.
    pub left_paths: u64,
    /// Callers that were told that a connection at this address is gone.
    pub resets: u64,
}

impl TunnelCount {
    /// The number of kinds.
    const ALL: usize = 10;
}

impl TunnelCounts {
    /// Offers the counts as metrics, one series for each kind.
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
    /// Adds one to a count.
    pub(crate) fn add(&self, count: TunnelCount) {
        self.counts[count as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts now.
    pub(crate) fn read(&self) -> TunnelCounts {
        let read = |count: TunnelCount| self.counts[count as usize].load(Ordering::Relaxed);
        TunnelCounts {
            delivered: read(TunnelCount::Delivered),
            passed_on: read(TunnelCount::PassedOn),
            answered: read(TunnelCount::Answered),
            bad_frames: read(TunnelCount::BadFrame),
            other_service: read(TunnelCount::OtherService),
            other_target: read(TunnelCount::OtherTarget),
            other_incarnation: read(TunnelCount::OtherIncarnation),
            unsent: read(TunnelCount::Unsent),
            left_paths: read(TunnelCount::LeftPath),
            resets: read(TunnelCount::Reset),
        }
    }
}
