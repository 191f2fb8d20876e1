use std::net::SocketAddrV4;

use crate::{
    key::{ServiceNumber, TargetKey},
    route::{ConnectionRoute, PacketHeader, PacketKind, RouteTable, TargetChain},
    secret::KeyRing,
};

/// What becomes of a caller's datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardVerdict {
    /// It belongs to a connection; its ID names the agent.
    Known {
        /// The service that owns the address.
        service: ServiceNumber,
        /// The agent that ends the connection.
        target: TargetKey,
    },
    /// It opens a connection; the candidates decide among them.
    First {
        /// The service that owns the address.
        service: ServiceNumber,
        /// The candidates, best first; at least one.
        chain: TargetChain,
    },
    /// It goes nowhere.
    Drop(DropCause),
}

/// Why a datagram goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// No service owns the address.
    UnknownAddress,
    /// It is no QUIC, or too short to be one.
    NotQuic,
    /// Its connection ID is forged, foreign or of a retired epoch.
    UnknownConnection,
    /// Its connection ID belongs to another service.
    OtherService,
    /// The service has no target that takes new connections.
    NoTarget,
}

/// Decides where a datagram goes that arrived at a service address.
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
        None => decide_first(table, service, &header, datagram.len()),
    }
}

fn decide_first(
    table: &RouteTable,
    service: ServiceNumber,
    header: &PacketHeader<'_>,
    length: usize,
) -> ForwardVerdict {
    if !header.can_open_connection(length) {
        let cause = match header.kind {
            PacketKind::Long => DropCause::NotQuic,
            PacketKind::Short => DropCause::UnknownConnection,
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
