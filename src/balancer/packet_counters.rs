use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;
use serde::Serialize;

use super::DropCause;

/// What the packet path has counted since the start.
#[derive(Debug, Default)]
pub(crate) struct PacketCounters {
    known: AtomicU64,
    first: AtomicU64,
    answered: AtomicU64,
    unsent: AtomicU64,
    bad_frames: AtomicU64,
    moved_paths: AtomicU64,
    unknown_address: AtomicU64,
    not_quic: AtomicU64,
    unknown_connection: AtomicU64,
    other_service: AtomicU64,
    no_target: AtomicU64,
}

/// One kind of count besides the drops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PacketCount {
    /// A datagram of a connection went to its agent.
    Known,
    /// A first packet went to a candidate.
    First,
    /// An agent's datagram went to its caller.
    Answered,
    /// The kernel did not take a datagram.
    Unsent,
    /// A frame was truncated, unknown or not authentic.
    BadFrame,
    /// A silent path was left for another source port.
    MovedPath,
}

/// The counts at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct PacketCounts {
    /// Datagrams of connections that went to their agents.
    pub known: u64,
    /// First packets that went to a candidate.
    pub first: u64,
    /// Agents' datagrams that went to callers.
    pub answered: u64,
    /// Datagrams that the kernel did not take.
    pub unsent: u64,
    /// Frames that were truncated, unknown or not authentic.
    pub bad_frames: u64,
    /// Silent paths that were left for another source port.
    pub moved_paths: u64,
    /// Datagrams to an address that no service owns.
    pub unknown_address: u64,
    /// Datagrams that were no QUIC.
    pub not_quic: u64,
    /// Datagrams with a forged, foreign or retired connection ID.
    pub unknown_connection: u64,
    /// Datagrams whose connection ID belongs to another service.
    pub other_service: u64,
    /// First packets to a service without targets.
    pub no_target: u64,
}

impl PacketCounts {
    /// Offers the counts as metrics, one series for each kind.
    pub(crate) fn publish(&self) {
        let kinds = [
            ("known", self.known),
            ("first", self.first),
            ("answered", self.answered),
            ("unsent", self.unsent),
            ("bad_frames", self.bad_frames),
            ("moved_paths", self.moved_paths),
            ("unknown_address", self.unknown_address),
            ("not_quic", self.not_quic),
            ("unknown_connection", self.unknown_connection),
            ("other_service", self.other_service),
            ("no_target", self.no_target),
        ];
        for (kind, count) in kinds {
            counter!("cyclamen_balancer_packets_total", "kind" => kind).absolute(count);
        }
    }
}

impl PacketCounters {
    /// Creates counters at zero.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Adds one to a count.
    pub(crate) fn add(&self, count: PacketCount) {
        let counter = match count {
            PacketCount::Known => &self.known,
            PacketCount::First => &self.first,
            PacketCount::Answered => &self.answered,
            PacketCount::Unsent => &self.unsent,
            PacketCount::BadFrame => &self.bad_frames,
            PacketCount::MovedPath => &self.moved_paths,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds one to the count of a cause.
    pub(crate) fn add_drop(&self, cause: DropCause) {
        let counter = match cause {
            DropCause::UnknownAddress => &self.unknown_address,
            DropCause::NotQuic => &self.not_quic,
            DropCause::UnknownConnection => &self.unknown_connection,
            DropCause::OtherService => &self.other_service,
            DropCause::NoTarget => &self.no_target,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts now.
    pub(crate) fn read(&self) -> PacketCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PacketCounts {
            known: read(&self.known),
            first: read(&self.first),
            answered: read(&self.answered),
            unsent: read(&self.unsent),
            bad_frames: read(&self.bad_frames),
            moved_paths: read(&self.moved_paths),
            unknown_address: read(&self.unknown_address),
            not_quic: read(&self.not_quic),
            unknown_connection: read(&self.unknown_connection),
            other_service: read(&self.other_service),
            no_target: read(&self.no_target),
        }
    }
}
