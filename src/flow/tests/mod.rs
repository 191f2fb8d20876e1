//! Tests of the flow decisions, without a network.

mod agent_steps;
mod balancer_startup;
mod balancer_verdicts;
mod broken_chains;
mod cold_limit;
mod evacuation;
mod frames;
mod full_target;
mod further_attempts;
mod large_service;
mod moved_fleet;
mod moved_flows;
mod opening_burst;
mod overload;
mod power_loss;
mod ranking;
mod repeated_openings;
mod request_ids;
mod returned_target;
mod target_figures;
mod target_incarnations;
mod target_model;
mod target_pace;
mod thin_link;
mod unheard_agents;
mod uploads;

use std::net::{Ipv4Addr, SocketAddrV4};

use super::{FlowKey, FlowPacket, PacketFlags};
use crate::clock::SpanMillis;

/// The address of the balancer.
const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// Returns the address of an agent.
fn agent(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number)
}

/// Returns the listener of the only route.
fn listener() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

/// Returns the flow of the caller with this port.
fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), port),
        listener: listener(),
    }
}

/// Returns a packet from the caller of a flow.
fn from_caller(flow: FlowKey, flags: PacketFlags) -> FlowPacket {
    FlowPacket {
        source: flow.caller,
        destination: flow.listener,
        flags,
        sequence: 1,
        acknowledged: 7,
        data_bytes: 0,
        age: SpanMillis::ZERO,
        tag: 0,
    }
}

/// Returns a packet from the target of a flow.
fn from_target(flow: FlowKey, flags: PacketFlags) -> FlowPacket {
    FlowPacket {
        source: flow.listener,
        destination: flow.caller,
        ..from_caller(flow, flags)
    }
}

/// Returns a caller's packet as bounced by its target.
fn bounced(flow: FlowKey, flags: PacketFlags, tag: u32) -> FlowPacket {
    FlowPacket {
        tag,
        ..from_caller(flow, flags.with(PacketFlags::BOUNCED))
    }
}
