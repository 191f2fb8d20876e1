use std::net::Ipv4Addr;

use serde::Serialize;

use crate::listener::ServiceTag;

/// The weight in force of an accepting target, for inspection.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub(crate) struct TargetWeightInfo {
    pub(crate) agent: Ipv4Addr,
    pub(crate) service: ServiceTag,
    /// Its share of new flows relative to the other targets.
    pub(crate) weight: f64,
    /// Whether it is set aside because of its failures.
    pub(crate) set_aside: bool,
    /// Answers a second with all slots busy, in tenths; zero until measured.
    pub(crate) speed: u32,
    /// Failed requests in thousandths.
    pub(crate) failures: u16,
}
