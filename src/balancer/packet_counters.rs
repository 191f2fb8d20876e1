use std::sync::atomic::{AtomicU64, Ordering};

use metrics::counter;
use serde::Serialize;

use super::DropCause;

/// Counters of the packet path since the start.
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

/// A counter other than those of [`DropCause`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CounterKind {
    /// A datagram of a known connection was forwarded to its agent.
    Known,
    /// A first packet was forwarded to a candidate.
    First,
    /// An agent's datagram was forwarded to its caller.
    Answered,
    /// A datagram could not be sent.
    Unsent,
    /// A frame was truncated, of an unknown or unexpected kind, or not authentic.
    BadFrame,
    /// A silent path was moved to another source port.
    MovedPath,
}

/// Values of the packet counters at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct PacketTotals {
    /// Datagrams of known connections that were forwarded to their agents.
    pub known: u64,
    /// First packets that were forwarded to a candidate.
    pub first: u64,
    /// Agents' datagrams that were forwarded to callers.
    pub answered: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
    /// Frames that were truncated, of an unknown or unexpected kind, or not authentic.
    pub bad_frames: u64,
    /// Silent paths that were moved to another source port.
    pub moved_paths: u64,
    /// Datagrams for an address that no service has, and answers for an unknown service.
    pub unknown_address: u64,
    /// Datagrams that were not QUIC, or too short for their header or for opening a connection.
    pub not_quic: u64,
    /// Datagrams whose connection ID is forged, from another deployment or of a retired key epoch.
    pub unknown_connection: u64,
    /// Datagrams whose connection ID belongs to another service.
    pub other_service: u64,
    /// First packets for a service without a target that accepts new connections.
    pub no_target: u64,
}

impl PacketTotals {
    /// Publishes the values as metrics, one series for each `kind`.
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
    /// Creates the counters with value 0.
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Increments a counter.
    pub(crate) fn increment(&self, kind: CounterKind) {
        let counter = match kind {
            CounterKind::Known => &self.known,
            CounterKind::First => &self.first,
            CounterKind::Answered => &self.answered,
            CounterKind::Unsent => &self.unsent,
            CounterKind::BadFrame => &self.bad_frames,
            CounterKind::MovedPath => &self.moved_paths,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Increments the counter of a drop cause.
    pub(crate) fn increment_drop(&self, cause: DropCause) {
        let counter = match cause {
            DropCause::UnknownAddress => &self.unknown_address,
            DropCause::NotQuic => &self.not_quic,
            DropCause::UnknownConnection => &self.unknown_connection,
            DropCause::OtherService => &self.other_service,
            DropCause::NoTarget => &self.no_target,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the current values.
    pub(crate) fn totals(&self) -> PacketTotals {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PacketTotals {
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
