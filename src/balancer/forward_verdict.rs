use std::net::SocketAddrV4;

use crate::{
    key::{ServiceNumber, TargetKey},
    route::{ConnectionRoute, HeaderForm, PacketHeader, RouteTable, TargetChain},
    secret::KeyRing,
};

/// How a caller's datagram is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardVerdict {
    /// It belongs to a connection; its connection ID contains the agent.
    Known {
        /// The service with the address that the datagram arrived at.
        service: ServiceNumber,
        /// The agent that terminates the connection.
        target: TargetKey,
    },
    /// It opens a connection; the candidates decide which of them accepts it.
    First {
        /// The service with the address that the datagram arrived at.
        service: ServiceNumber,
        /// The candidates, best first; at least one.
        chain: TargetChain,
    },
    /// It is dropped.
    Drop(DropCause),
}

/// Why a caller's datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// No service has the address.
    UnknownAddress,
    /// It is not QUIC, or too short for its header or for opening a connection.
    NotQuic,
    /// Its connection ID is forged, from another deployment or of a retired key epoch.
    UnknownConnection,
    /// Its connection ID belongs to another service.
    OtherService,
    /// The service has no target that accepts new connections.
    NoTarget,
}

/// Decides how to handle a datagram that arrived at the service address `arrived_at`.
#[must_use]
pub fn decide_datagram(
    table: &RouteTable,
    keys: &KeyRing,
    arrived_at: SocketAddrV4,
    datagram: &[u8],
) -> ForwardVerdict {
    let Some(service) = table.service_at(arrived_at) else {
        return ForwardVerdict::Drop(DropCause::UnknownAddress);
    };
    let Some(header) = PacketHeader::read(datagram) else {
        return ForwardVerdict::Drop(DropCause::NotQuic);
    };
    match ConnectionRoute::open(header.destination, keys) {
        Some(route) if route.service == service => ForwardVerdict::Known {
            service,
            target: route.target,
        },
        Some(_) => ForwardVerdict::Drop(DropCause::OtherService),
        None => decide_first_packet(table, service, &header, datagram.len()),
    }
}

fn decide_first_packet(
    table: &RouteTable,
    service: ServiceNumber,
    header: &PacketHeader<'_>,
    length: usize,
) -> ForwardVerdict {
    if !header.can_open_connection(length) {
        let cause = match header.form {
            HeaderForm::Long => DropCause::NotQuic,
            HeaderForm::Short => DropCause::UnknownConnection,
        };
        return ForwardVerdict::Drop(cause);
    }
    let chain = table
        .pool(service)
        .map(|pool| pool.choose(header.destination))
        .unwrap_or_default();
    if chain.is_empty() {
        return ForwardVerdict::Drop(DropCause::NoTarget);
    }
    ForwardVerdict::First { service, chain }
}
