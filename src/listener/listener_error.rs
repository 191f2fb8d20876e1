use std::net::SocketAddrV4;

use miette::Diagnostic;
use thiserror::Error;

/// Why a listener manifest is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum ListenerError {
    /// The document can't be parsed.
    #[error("the manifest cannot be read: {detail}")]
    Unreadable {
        /// The error and its position.
        detail: String,
    },
    /// A route refers to a service that the manifest does not list.
    #[error("route {route} names the service {service}, which the manifest does not list")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same address and port.
    #[error("route {route} has the address {address} of another route")]
    AddressTaken {
        /// The later route.
        route: String,
        /// The shared address and port.
        address: SocketAddrV4,
    },
    /// A route has a timeout of zero.
    #[error("route {route} has a timeout of zero")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A route has no service with a weight above zero.
    #[error("route {route} names no service with a weight above zero")]
    NoWeight {
        /// The route.
        route: String,
    },
}
