use std::net::SocketAddrV4;

use miette::Diagnostic;
use thiserror::Error;

/// Why a listener manifest is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum ListenerFault {
    /// The document can't be read.
    #[error("the manifest cannot be read: {detail}")]
    Unreadable {
        /// What the reader found and where.
        detail: String,
    },
    /// A route names a service that the manifest does not list.
    #[error("route {route} names the service {service}, which the manifest does not list")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes share an address and port.
    #[error("route {route} has the address {address} of another route")]
    AddressTaken {
        /// The later route.
        route: String,
        /// The shared address and port.
        address: SocketAddrV4,
    },
    /// A route has no time in which to answer.
    #[error("route {route} has a timeout of zero")]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A route sends new flows nowhere.
    #[error("route {route} names no service with a weight above zero")]
    NoWeight {
        /// The route.
        route: String,
    },
}
