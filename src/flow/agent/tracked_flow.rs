use std::net::Ipv4Addr;

use super::request_progress::RequestProgress;
use crate::clock::{ClockMillis, SpanMillis};

/// State of a flow at an agent.
#[derive(Debug, Clone, Copy)]
pub(super) struct TrackedFlow {
    /// The balancer that sent the flow's last packet.
    pub(super) balancer: Ipv4Addr,
    /// Whether the flow was reported to that balancer as held.
    pub(super) reported: bool,
    /// Whether the target sent more than the answer to the opening, which only
    /// the target that holds the flow does.
    pub(super) established: bool,
    /// The sequence number that the caller acknowledged last.
    pub(super) acknowledged: u32,
    /// How much of the caller's latest request has arrived.
    pub(super) request: RequestProgress,
    /// The time after which a request of the flow counts as failed.
    pub(super) answer_timeout: SpanMillis,
    pub(super) first_seen_at: ClockMillis,
    pub(super) last_packet_at: ClockMillis,
    /// When the control replicas were last told of the flow, and what the caller had
    /// acknowledged then.
    pub(super) told: Option<(ClockMillis, u32)>,
}
