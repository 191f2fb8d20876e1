//! The QUIC endpoint behind the tunnel: connection IDs, resets, paths.

mod answer_paths;
mod endpoint_config;
mod epoch_reset_key;
mod first_packet;
mod load_gauge;
mod route_id_generator;
mod target_identity;
mod tunnel_counters;
mod tunnel_poller;
mod tunnel_socket;

pub(crate) use endpoint_config::{EndpointError, open_endpoint};
pub(crate) use load_gauge::LoadGauge;
pub(crate) use target_identity::TargetIdentity;
pub(crate) use tunnel_counters::{TunnelCounters, TunnelCounts};
pub(crate) use tunnel_socket::{PEER_INBOX, PeerDatagram, TunnelSocket};

use answer_paths::AnswerPaths;
use epoch_reset_key::EpochResetKey;
use first_packet::{FirstPacketGate, FirstVerdict};
use route_id_generator::RouteIdGenerator;
use tunnel_poller::TunnelPoller;

#[cfg(test)]
mod tests;
