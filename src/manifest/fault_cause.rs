use std::net::SocketAddrV4;

use miette::Diagnostic;
use thiserror::Error;

/// Why a value in a manifest is invalid, and what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum FaultCause {
    /// The version is not above the one that it replaces.
    #[error("version {version} replaces {replaces}; allowed: a version above the replaced one")]
    VersionOrder {
        /// The manifest's version.
        version: u64,
        /// The version that it replaces.
        replaces: u64,
    },
    /// A list has too many entries.
    #[error("{count} entries; allowed: at most {max}")]
    TooMany {
        /// The number of entries.
        count: usize,
        /// The maximum number of entries.
        max: usize,
    },
    /// A name is empty, too long, `.` or `..`, or has a character that is not allowed.
    #[error("name {name:?}; allowed: 1 to {max} characters of a-z, A-Z, 0-9, `-`, `_` and `.`")]
    InvalidName {
        /// The name, truncated to the maximum length.
        name: String,
        /// The maximum length in characters.
        max: usize,
    },
    /// Two entries of a list have the same name.
    #[error("name {name:?} stands at `{first}` already; allowed: each name once")]
    DuplicateName {
        /// The name.
        name: String,
        /// The place of an earlier entry with that name.
        first: String,
    },
    /// Two services have the same address and port.
    #[error("address {address} stands at `{first}` already; allowed: each address and port once")]
    DuplicateAddress {
        /// The address and port.
        address: SocketAddrV4,
        /// The place of an earlier service with that address.
        first: String,
    },
    /// The address is unspecified, multicast or broadcast.
    #[error("address {address}; allowed: a unicast IPv4 address that callers can send to")]
    UnusableAddress {
        /// The invalid address.
        address: SocketAddrV4,
    },
    /// The port is zero.
    #[error("port 0; allowed: 1 to 65535")]
    PortZero,
    /// A number is out of range.
    #[error("{value}; allowed: {min} to {max}")]
    OutOfRange {
        /// The invalid number.
        value: u64,
        /// The minimum.
        min: u64,
        /// The maximum.
        max: u64,
    },
    /// A path prefix can't match the path of any request, or is too long.
    #[error(
        "path prefix {prefix:?}; allowed: 1 to {max} visible ASCII characters that start with `/`, without `?` and `#`"
    )]
    InvalidPrefix {
        /// The prefix, truncated to the maximum length.
        prefix: String,
        /// The maximum length in characters.
        max: usize,
    },
    /// A method is not an upper-case HTTP method, or is too long.
    #[error("method {method:?}; allowed: 1 to {max} characters of A-Z and `-`")]
    InvalidMethod {
        /// The method, truncated to the maximum length.
        method: String,
        /// The maximum length in characters.
        max: usize,
    },
    /// An earlier rule shadows this one: it matches every request that this one matches.
    #[error("`{by}` matches all of these requests first; allowed: the narrower rule before it")]
    Unreachable {
        /// The place of the earlier rule.
        by: String,
    },
}
