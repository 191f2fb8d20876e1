use std::net::SocketAddrV4;

use miette::Diagnostic;
use thiserror::Error;

/// The rule that a value of a manifest breaks, with what is allowed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum FaultCause {
    /// The version does not follow the one that it replaces.
    #[error("version {version} replaces {replaces}; allowed: a version above the replaced one")]
    VersionOrder {
        /// The version of this content.
        version: u64,
        /// The version that it replaces.
        replaces: u64,
    },
    /// A list holds too many entries.
    #[error("{count} entries; allowed: at most {most}")]
    TooMany {
        /// The entries found.
        count: usize,
        /// The most that are allowed.
        most: usize,
    },
    /// A name is empty, too long, or holds a character that is not allowed.
    #[error("name {name:?}; allowed: 1 to {most} characters of a-z, A-Z, 0-9, `-`, `_` and `.`")]
    BadName {
        /// The name found, cut to the allowed length.
        name: String,
        /// The most characters that are allowed.
        most: usize,
    },
    /// Two entries of one list share a name.
    #[error("name {name:?} stands at `{first}` already; allowed: each name once")]
    DuplicateName {
        /// The shared name.
        name: String,
        /// Where the name stands first.
        first: String,
    },
    /// Two services share an address and port.
    #[error("address {address} stands at `{first}` already; allowed: each address and port once")]
    ClashingAddress {
        /// The shared address.
        address: SocketAddrV4,
        /// Where the address stands first.
        first: String,
    },
    /// Callers can't send to the address.
    #[error("address {address}; allowed: a unicast IPv4 address that callers can send to")]
    UnusableAddress {
        /// The address found.
        address: SocketAddrV4,
    },
    /// The port is zero.
    #[error("port 0; allowed: 1 to 65535")]
    PortZero,
    /// A number lies outside its range.
    #[error("{value}; allowed: {least} to {most}")]
    OutOfRange {
        /// The number found.
        value: u64,
        /// The least that is allowed.
        least: u64,
        /// The most that is allowed.
        most: u64,
    },
    /// A path prefix can't start the path of a request.
    #[error(
        "path prefix {prefix:?}; allowed: 1 to {most} visible ASCII characters that start with `/`, without `?` and `#`"
    )]
    BadPrefix {
        /// The prefix found, cut to the allowed length.
        prefix: String,
        /// The most characters that are allowed.
        most: usize,
    },
    /// A method is no upper-case HTTP method.
    #[error("method {method:?}; allowed: 1 to {most} characters of A-Z and `-`")]
    BadMethod {
        /// The method found, cut to the allowed length.
        method: String,
        /// The most characters that are allowed.
        most: usize,
    },
    /// An earlier rule matches every request that this rule matches.
    #[error("`{by}` matches all of these requests first; allowed: the narrower rule before it")]
    Unreachable {
        /// The place of the earlier rule.
        by: String,
    },
}
