//! The QUIC endpoint behind the tunnel: connection IDs, stateless resets and
//! the paths of answers.

mod answer_paths;
mod connection_refuser;
mod endpoint_config;
mod endpoint_socket;
mod epoch_reset_key;
mod first_packet_gate;
mod frame_dispatch;
mod load_gauge;
mod next_candidates;
mod reset_writer;
mod route_id_generator;
mod target_identity;
mod tunnel_counters;
mod tunnel_poller;
mod tunnel_socket;

pub(crate) use connection_refuser::ConnectionRefuser;
pub(crate) use endpoint_config::{EndpointError, open_endpoint};
pub(crate) use load_gauge::LoadGauge;
pub(crate) use target_identity::TargetIdentity;
pub(crate) use tunnel_counters::{TunnelCounters, TunnelTotals};
pub(crate) use tunnel_socket::{PEER_INBOX_CAPACITY, PeerDatagram, TunnelSocket};

use answer_paths::AnswerPaths;
use epoch_reset_key::EpochResetKey;
use first_packet_gate::{FirstPacketGate, FirstPacketVerdict};
use reset_writer::ResetWriter;
use route_id_generator::RouteIdGenerator;
use tunnel_poller::TunnelPoller;

#[cfg(test)]
mod tests;
