use std::net::Ipv4Addr;

use crate::listener::ServiceTag;

/// An accepting target that was set aside or taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SetAsideChange {
    pub(crate) agent: Ipv4Addr,
    pub(crate) service: ServiceTag,
    /// The failures that decided it, in thousandths of its requests.
    pub(crate) failures: u16,
    /// Whether it was set aside; `false` if it was taken back.
    pub(crate) set_aside: bool,
}
